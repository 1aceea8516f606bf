package main

import (
	"fmt"
	"net/url"
	"strings"
	"time"
)

func init() { cases["effect"] = playEffect }

// Figures of the case.
const (
	effectRequests = 60
	failingShare   = 3 // one of so many worker groups' answers is an error: fast_errors fails 0.3 to 0.96 of the requests
)

// playEffect plays statements that call a function of a schema, over ClickHouse's interface, whose clients name no class. One worker
// group of seven fails some of what it has run. No such statement may run twice.
func playEffect(trouble bool) (verdict, error) {
	log := &runLog{}
	b := &board{}
	if err := b.start(); err != nil {
		return notRun, err
	}
	f := fleet{classes: usualClasses(), memoryMB: 192, seed: "8c1f30d27a5be964", board: b.addr}
	for i := range 7 { // 0.091 to 0.19 of the worker groups fail
		name := fmt.Sprintf("s-%d", i+1)
		w := &workerGroup{name: name, log: log, runTime: func(string) time.Duration { return 20 * time.Millisecond }}
		if i == 0 && trouble {
			ended := 0
			w.fails = func(string) bool {
				w.mu.Lock()
				defer w.mu.Unlock()
				ended++
				return ended%failingShare == 1
			}
		}
		if err := w.start(); err != nil {
			return notRun, err
		}
		f.members = append(f.members, member{id: name, addr: w.addr, zone: []string{"room-a", "room-b", "room-c"}[i%3], phase: "Ready"})
	}
	httpAddr, err := freeAddr()
	if err != nil {
		return notRun, err
	}
	f.local = "[clickhouse]\nlisten = " + httpAddr + "\n"
	if _, err := startProgram(f); err != nil {
		return notRun, err
	}
	client := newHTTPClient(httpAddr, true)
	for n := range effectRequests {
		text := fmt.Sprintf("SELECT * FROM billing.post_invoice(%d)", n+1)
		a := client.post(text, url.Values{}, 5*time.Second)
		note("client: %s is answered: %v", text, a)
		if !a.whole {
			return notRun, fmt.Errorf("a request is not answered")
		}
		time.Sleep(60 * time.Millisecond)
	}
	begun, twice := map[string]int{}, 0
	for _, r := range log.snapshot() {
		if !strings.Contains(r.statement, "billing.post_invoice") {
			continue
		}
		if begun[r.statement]++; begun[r.statement] == 2 {
			note("%s has run twice, the second time on %s", r.statement, r.engine)
			twice++
		}
	}
	note("%d of %d statements have run more than once", twice, effectRequests)
	if twice > 0 {
		return broken, nil
	}
	return held, nil
}
