package main

import (
	"errors"
	"net/url"
	"strings"
	"time"
)

func init() { cases["cut"] = playCut }

// Figures of the case.
const (
	cutLength    = 6 * time.Second // split+mass: "for 6 s a zone is partitioned"
	loadPatience = 3.0             // s for which the client of a load waits
)

// playCut plays two loads of one key. The engine that gets the first one is cut off from the network. The first load must not run
// once the second has begun.
func playCut(trouble bool) (verdict, error) {
	log := &runLog{}
	runTime := func(string) time.Duration { return 300 * time.Millisecond }
	engines, links := map[string]*clickHouse{}, map[string]*link{}
	f := fleet{classes: usualClasses(), memoryMB: 192, seed: "8c1f30d27a5be964"}
	f.classes[2].hardLimitMs = loadPatience * 1000
	for i, name := range []string{"stock-1", "stock-2"} {
		e := &clickHouse{name: name, log: log, runTime: runTime,
			result: func(string) string { return "a\tb\tc\nString\tString\tString\nx\ty\tz\n" }}
		if err := e.start(); err != nil {
			return notRun, err
		}
		l, err := startLink(e.addr)
		if err != nil {
			return notRun, err
		}
		engines[name], links[name] = e, l
		f.members = append(f.members, member{id: name, addr: l.addr, zone: []string{"room-a", "room-b"}[i], phase: "Ready"})
	}
	b := &board{}
	if err := b.start(); err != nil {
		return notRun, err
	}
	httpAddr, err := freeAddr()
	if err != nil {
		return notRun, err
	}
	f.board, f.local = b.addr, "[clickhouse]\nlisten = "+httpAddr+"\n[kind std-12]\nprotocol = clickhouse\n"
	if _, err := startProgram(f); err != nil {
		return notRun, err
	}
	client := newHTTPClient(httpAddr, true)
	load := func(number string) httpAnswer {
		statement := "INSERT INTO sales_17.stock SELECT " + number + " AS version"
		note("client: sends load %s", number)
		a := client.post(statement, url.Values{"order_key": {"branch-17"}, "max_execution_time": {"3"},
			"insert_deduplication_token": {"load-" + number}}, 5*time.Second)
		note("client: load %s is answered: %v", number, a)
		return a
	}
	if a := load("0"); a.status != 200 {
		return notRun, errors.New("the first load is not served")
	}
	home := log.snapshot()[0].engine
	note("the loads of the key go to %s", home)
	healed := make(chan struct{})
	time.Sleep(100 * time.Millisecond)
	if trouble {
		note("network: %s is cut off", home)
		if err := links[home].cut(); err != nil {
			return notRun, err
		}
		time.AfterFunc(cutLength, func() {
			note("network: the cut of %s ends", home)
			links[home].heal()
			close(healed)
		})
	} else {
		close(healed)
	}
	answers := make(chan httpAnswer, 2)
	go func() { answers <- load("1") }()
	time.Sleep(1500 * time.Millisecond)
	go func() { answers <- load("2") }()
	<-answers
	<-answers
	<-healed
	time.Sleep(3 * time.Second)

	var first, second *queryRunView
	runs := log.snapshot()
	for i := range runs {
		switch {
		case strings.Contains(runs[i].statement, "SELECT 1 "):
			first = &runs[i]
		case strings.Contains(runs[i].statement, "SELECT 2 ") && second == nil:
			second = &runs[i]
		}
	}
	if second == nil {
		note("the second load was never run, so the order was kept")
		return held, nil
	}
	if first != nil && first.begunAt.After(second.begunAt) {
		note("load 1, which was taken first, begins %.0f ms after load 2 has begun", sinceStart(first.begunAt)-sinceStart(second.begunAt))
		return broken, nil
	}
	if first != nil && (first.endedAt.IsZero() || first.endedAt.After(second.begunAt)) {
		note("load 2 begins while load 1 is running")
		return broken, nil
	}
	return held, nil
}
