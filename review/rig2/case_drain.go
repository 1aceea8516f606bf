package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["slow-board"] = playSlowBoard }

// Figures of the case.
const (
	boardWait   = 2 * time.Second         // the site's news come after 0.63 to 4.9 s (discovery.notice_s)
	countsTold  = 7 * time.Second         // "counts as told no later than 7 s afterwards"
	drainGrace  = 2050 * time.Millisecond // drainGraceMs, and the 50 ms of the rules on sockets
	drainAt     = 3 * time.Second         // when the drain is published
	endAt       = 14 * time.Second        // when the drained process ends, as all that it may have got is done
	requestsFor = 17 * time.Second
	requestGap  = 50 * time.Millisecond
	loadRun     = 1500 * time.Millisecond // that a load runs; lookups run for 100 ms
)

// playSlowBoard plays requests to two worker groups, one of which is published to drain. The notice board makes each coordinator
// that asks wait for boardWait. No attempt may go to the draining worker group after the grace.
func playSlowBoard(trouble bool) (verdict, error) {
	log := &runLog{}
	b := &board{}
	if trouble {
		b.delay = boardWait
	}
	if err := b.start(); err != nil {
		return notRun, err
	}
	f := fleet{classes: usualClasses(), memoryMB: 192, seed: "8c1f30d27a5be964", board: b.addr}
	f.classes[2].idempotency, f.classes[2].inOrder = "at_most_once", false
	var groups []*workerGroup
	for i, name := range []string{"s-1", "s-2"} {
		w := &workerGroup{name: name, log: log, runTime: func(statement string) time.Duration {
			if strings.HasPrefix(statement, "INSERT") {
				return loadRun
			}
			return 100 * time.Millisecond
		}}
		if err := w.start(); err != nil {
			return notRun, err
		}
		groups = append(groups, w)
		f.members = append(f.members, member{id: name, addr: w.addr, zone: []string{"room-a", "room-b"}[i], phase: "Ready"})
	}
	p, err := startProgram(f)
	if err != nil {
		return notRun, err
	}
	begin := time.Now()
	published := make(chan time.Time, 1)
	time.AfterFunc(drainAt, func() {
		draining := f.members[0]
		draining.phase = "Terminating"
		_ = b.publish(draining)
		published <- time.Now()
	})
	time.AfterFunc(endAt, func() {
		groups[0].stop()
		gone := f.members[0]
		gone.phase = "Gone"
		_ = b.publish(gone)
	})
	var all sync.WaitGroup
	var mu sync.Mutex
	counts := map[string]int{}
	for n := 0; time.Since(begin) < requestsFor; n++ {
		all.Go(func() {
			c, err := dialPG(p.pgAddr)
			if err != nil {
				return
			}
			defer c.close()
			verb, limit, statement := "lookup", 3000, fmt.Sprintf("SELECT day, count(*), max(note) FROM sales_%d.orders GROUP BY day", n%8)
			more := ",cpu=100.0"
			if n%10 == 0 {
				verb, limit, statement = "load", 16000, fmt.Sprintf("INSERT INTO sales_%d.stock VALUES (%d)", n%8, n)
				more = ",cpu=3000.0"
			}
			a := c.query(fields(verb, fmt.Sprintf("%016x", n+1), limit, more)+statement, 20*time.Second)
			if a.kind != "served" {
				note("client: %s %016x is answered: %v", verb, n+1, a)
			}
			mu.Lock()
			counts[verb+" "+a.kind]++
			mu.Unlock()
		})
		time.Sleep(requestGap)
	}
	all.Wait()
	note("answers: %v", counts)
	at := <-published
	bound := at.Add(countsTold + drainGrace)
	before, after := 0, 0
	var last time.Time
	for _, r := range log.snapshot() {
		switch {
		case r.engine != "s-1":
		case r.begunAt.After(bound):
			after, last = after+1, r.begunAt
		case r.begunAt.Before(at):
			before++
		}
	}
	note("s-1 got %d attempts before its drain was published, and %d later than %.1f s after", before, after,
		(countsTold + drainGrace).Seconds())
	if after > 0 {
		note("the last one came %.1f s after", last.Sub(at).Seconds())
		return broken, nil
	}
	if before == 0 {
		return notRun, fmt.Errorf("s-1 got no attempt before its drain")
	}
	return held, nil
}
