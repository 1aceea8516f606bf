package main

import (
	"bytes"
	"fmt"
	"math/rand"
	"regexp"
	"strings"
	"sync"
	"time"
)

func init() { cases["lengths"] = playLengths }

// Figures of the case.
const (
	lengthRows     = 30 // of each result
	lengthRequests = 1200
	lengthGap      = 8 * time.Millisecond // between two requests
	wrongEach      = 10                   // one of so many good answers has a length that does not fit
	lengthSeed     = 1
)

var contentLength = regexp.MustCompile(`Content-Length: \d+`)

// playLengths plays lookups while the length that some answers tell does not fit. An answer that a client gets as served has to hold
// all rows.
func playLengths(trouble bool) (verdict, error) {
	log, b := &runLog{}, &board{}
	if err := b.start(); err != nil {
		return notRun, err
	}
	f := fleet{classes: usualClasses(), memoryMB: 192, seed: "8c1f30d27a5be964", board: b.addr}
	var mu sync.Mutex
	random, answered, spoilt := rand.New(rand.NewSource(lengthSeed)), 0, 0
	var wanted []string
	for i := range lengthRows {
		wanted = append(wanted, fmt.Sprintf("%d\t%s\t%d", i+1, []string{"mo", "tu", "we", "th", "fr"}[i%5], i*7%100))
	}
	result := strings.Join(wanted, "\n") + "\n"
	for i := range 6 {
		w := &workerGroup{name: fmt.Sprintf("s-%d", i+1), log: log, runTime: func(string) time.Duration { return 15 * time.Millisecond },
			rows: func(string) string { return result }}
		if err := w.start(); err != nil {
			return notRun, err
		}
		l, err := startLink(w.addr)
		if err != nil {
			return notRun, err
		}
		if trouble {
			l.spoils = func(answer []byte) []byte {
				mu.Lock()
				defer mu.Unlock()
				if !bytes.HasPrefix(answer, []byte("HTTP/1.1 200")) || !bytes.Contains(answer, []byte("Page-Count")) {
					return answer
				}
				if answered++; answered%wrongEach > 0 {
					return answer
				}
				length := random.Intn(2*len(result) + 1)
				spoilt++
				note("%s: an answer of %d bytes tells a length of %d", w.name, len(result), length)
				return contentLength.ReplaceAll(answer, fmt.Appendf(nil, "Content-Length: %d", length))
			}
		}
		f.members = append(f.members, member{id: w.name, addr: l.addr, zone: []string{"room-a", "room-b", "room-c"}[i%3], phase: "Ready"})
	}
	p, err := startProgram(f)
	if err != nil {
		return notRun, err
	}
	var all sync.WaitGroup
	counts, short := map[string]int{}, 0
	for n := range lengthRequests {
		all.Go(func() {
			c, err := dialPG(p.pgAddr)
			if err != nil {
				return
			}
			defer c.close()
			id := fmt.Sprintf("%016x", n+1)
			a := c.query(fields("lookup", id, 3000, ",cpu=15.0")+
				fmt.Sprintf("SELECT branch, day, collected FROM sales_%d.orders WHERE week = %d", n%4, n+1), 4*time.Second)
			mu.Lock()
			defer mu.Unlock()
			counts[a.kind]++
			if a.kind == "served" && strings.Join(a.rows, "\n") != strings.Join(wanted, "\n") {
				short++
				note("client: %s is answered as served with %d of %d rows", id, len(a.rows), lengthRows)
			}
		})
		time.Sleep(lengthGap)
	}
	all.Wait()
	note("answers %v, %d lengths did not fit, %d served answers lack rows", counts, spoilt, short)
	if short > 0 {
		return broken, nil
	}
	if counts["served"] < lengthRequests/2 {
		return notRun, fmt.Errorf("only %d requests are served", counts["served"])
	}
	return held, nil
}
