package main

import (
	"errors"
	"net/url"
	"time"
)

func init() { cases["fresh"] = playFresh }

// Figures of the case.
const (
	freshReports = 5        // that are asked for, one after the other
	freshLink    = 50 << 20 // bytes a second that the client reads at most, with the trouble and without
)

// playFresh plays reports that are asked for on a fresh connection each, which the client ends with the answer. Each answer that
// says 200 has to be whole.
func playFresh(trouble bool) (verdict, error) {
	report := stockReport()
	e := &clickHouse{name: "stock-1", log: &runLog{}, runTime: func(string) time.Duration { return 300 * time.Millisecond },
		result: func(string) string { return report }}
	if err := e.start(); err != nil {
		return notRun, err
	}
	b := &board{}
	if err := b.start(); err != nil {
		return notRun, err
	}
	httpAddr, err := freeAddr()
	if err != nil {
		return notRun, err
	}
	p, err := startProgram(fleet{classes: usualClasses(), memoryMB: memoryMB, seed: "8c1f30d27a5be964", board: b.addr,
		members: []member{{id: "stock-1", addr: e.addr, zone: "room-a", phase: "Ready"}},
		local:   "[clickhouse]\nlisten = " + httpAddr + "\n[kind std-12]\nprotocol = clickhouse\n"})
	if err != nil {
		return notRun, err
	}
	note("a report has %d bytes in the engine's form", len(report))
	client := newHTTPClient(httpAddr, !trouble)
	client.bytesPerSecond = freshLink
	lost := 0
	for range freshReports {
		note("client: asks for a report, fresh connection: %v", trouble)
		a := client.post("SELECT branch, article, sum(collected) AS collected, any(in_stock) AS in_stock "+
			"FROM sales_17.stock GROUP BY branch, article", url.Values{"default_format": {"JSON"}}, 20*time.Second)
		note("client: report is answered: %v", a)
		if !a.whole {
			lost++
		} else if a.status != 200 {
			return notRun, errors.New("a report is not served")
		}
	}
	note("%d of %d answers are not whole; the coordinator runs: %v", lost, freshReports, p.running())
	if lost > 0 {
		return broken, nil
	}
	return held, nil
}
