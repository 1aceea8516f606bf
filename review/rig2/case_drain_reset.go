package main

import (
	"errors"
	"net/url"
	"time"
)

func init() { cases["drain-reset"] = playDrainReset }

// playDrainReset plays a report on a ClickHouse engine that begins to drain: it takes no new connection and finishes what it has.
// The connection of the report is reset. No second attempt may go out while the first one runs.
func playDrainReset(trouble bool) (verdict, error) {
	log, b := &runLog{}, &board{}
	if err := b.start(); err != nil {
		return notRun, err
	}
	httpAddr, err := freeAddr()
	if err != nil {
		return notRun, err
	}
	f := fleet{classes: usualClasses(), memoryMB: 192, seed: "8c1f30d27a5be964", board: b.addr,
		local: "[clickhouse]\nlisten = " + httpAddr + "\n[kind std-12]\nprotocol = clickhouse\n"}
	links := map[string]*link{}
	for i, name := range []string{"stock-1", "stock-2"} {
		e := &clickHouse{name: name, log: log, runTime: func(string) time.Duration { return 4 * time.Second },
			result: func(string) string { return "a\nString\nx\n" }}
		if err := e.start(); err != nil {
			return notRun, err
		}
		if links[name], err = startLink(e.addr); err != nil {
			return notRun, err
		}
		f.members = append(f.members, member{id: name, addr: links[name].addr, zone: []string{"room-a", "room-b"}[i], phase: "Ready"})
	}
	if _, err := startProgram(f); err != nil {
		return notRun, err
	}
	answers := make(chan httpAnswer, 1)
	go func() {
		answers <- newHTTPClient(httpAddr, true).post("SELECT branch, sum(collected) FROM sales_17.stock GROUP BY branch",
			url.Values{}, 25*time.Second)
	}()
	time.Sleep(500 * time.Millisecond)
	runs := log.snapshot()
	if len(runs) != 1 {
		return notRun, errors.New("the report is not run")
	}
	for _, m := range f.members {
		if m.id == runs[0].engine {
			m.phase = "Terminating"
			links[m.id].refuse()
			if err := b.publish(m); err != nil {
				return notRun, err
			}
		}
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		note("network: the connections to %s are reset", runs[0].engine)
		links[runs[0].engine].resetAll()
	}
	note("client: report is answered: %v", <-answers)
	runs = log.snapshot()
	for _, second := range runs[1:] {
		if runs[0].endedAt.IsZero() || runs[0].endedAt.After(second.begunAt) {
			note("a second attempt begins on %s while the first one runs on %s", second.engine, runs[0].engine)
			return broken, nil
		}
	}
	return held, nil
}
