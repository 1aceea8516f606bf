package main

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["copies"] = playCopies }

// Figures of the case.
const (
	copyLate     = 8 * time.Millisecond // "a second answer may come some milliseconds late"
	copyEach     = 20                   // one of so many answers comes twice
	copyRequests = 600
	copyGap      = 10 * time.Millisecond // between two requests: 100 a second
)

// playCopies plays lookups while some answers of the worker groups come a second time. Each client must get its own rows.
func playCopies(trouble bool) (verdict, error) {
	log := &runLog{}
	b := &board{}
	if err := b.start(); err != nil {
		return notRun, err
	}
	f := fleet{classes: usualClasses(), memoryMB: 192, seed: "8c1f30d27a5be964", board: b.addr}
	var mu sync.Mutex
	answered, copied := 0, 0
	for i := range 6 {
		w := &workerGroup{name: fmt.Sprintf("s-%d", i+1), log: log, runTime: func(string) time.Duration { return 15 * time.Millisecond }}
		if err := w.start(); err != nil {
			return notRun, err
		}
		l, err := startLink(w.addr)
		if err != nil {
			return notRun, err
		}
		if trouble {
			l.copies = func(answer []byte) time.Duration {
				mu.Lock()
				defer mu.Unlock()
				if answered++; answered%copyEach > 0 || !bytes.HasPrefix(answer, []byte("HTTP/1.1 200")) {
					return 0
				}
				copied++
				note("network: this answer of %s comes a second time, %v later: %q", w.name, copyLate, answer[bytes.Index(answer, []byte("\r\n\r\n"))+4:])
				return copyLate
			}
		}
		f.members = append(f.members, member{id: w.name, addr: l.addr, zone: []string{"room-a", "room-b", "room-c"}[i%3], phase: "Ready"})
	}
	p, err := startProgram(f)
	if err != nil {
		return notRun, err
	}
	var all sync.WaitGroup
	counts, foreign := map[string]int{}, 0
	for n := range copyRequests {
		all.Go(func() {
			c, err := dialPG(p.pgAddr)
			if err != nil {
				return
			}
			defer c.close()
			id := fmt.Sprintf("%016x", n+1)
			a := c.query(fields("lookup", id, 3000, ",cpu=15.0")+
				fmt.Sprintf("SELECT state FROM sales_%d.orders WHERE number = %d", n%4, n+1), 4*time.Second)
			mu.Lock()
			defer mu.Unlock()
			counts[a.kind]++
			if a.kind == "served" && (len(a.rows) != 1 || !strings.HasPrefix(a.rows[0], id+"\t")) {
				foreign++
				note("client: %s is answered with the rows of another request: %q", id, a.rows)
			}
		})
		time.Sleep(copyGap)
	}
	all.Wait()
	note("answers %v, %d answers came twice, %d clients got the rows of another request", counts, copied, foreign)
	if foreign > 0 {
		return broken, nil
	}
	if counts["served"] < copyRequests/2 {
		return notRun, fmt.Errorf("only %d requests are served", counts["served"])
	}
	return held, nil
}
