package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["pipeline"] = playPipeline }

// Figures of the case.
const (
	pipelineLimit = 3000                               // ms that the client waits for each answer
	pipelineRun   = 2 * time.Second                    // that a query runs
	budgetSlack   = 150                                // ms: "with 0.15 s of slack"
	lostAfter     = (20 + 50 + 500) * time.Millisecond // answerSlackMs, 50 ms on sockets, and half a second
)

// playPipeline plays a client that sends two requests at once. What the worker group is told as the time of the second one must not
// exceed what its client has left.
func playPipeline(trouble bool) (verdict, error) {
	log := &runLog{}
	w := &workerGroup{name: "s-1", log: log, runTime: func(string) time.Duration { return pipelineRun }}
	if err := w.start(); err != nil {
		return notRun, err
	}
	b := &board{}
	if err := b.start(); err != nil {
		return notRun, err
	}
	p, err := startProgram(fleet{classes: usualClasses(), memoryMB: 192, seed: "8c1f30d27a5be964", board: b.addr,
		members: []member{{id: "s-1", addr: w.addr, zone: "room-a", phase: "Ready"}}})
	if err != nil {
		return notRun, err
	}
	c, err := dialPG(p.pgAddr)
	if err != nil {
		return notRun, err
	}
	defer c.close()
	statement := "SELECT day, count(*), max(note) FROM sales_17.orders GROUP BY day"
	request := func(n int) []byte {
		return queryMessage(fields("lookup", fmt.Sprintf("%016x", n), pipelineLimit, ",cpu=2000.0") + statement)
	}
	written, answers := map[string]time.Time{}, map[string]answer{}
	write := func(from, to int) error {
		var bytes []byte
		for n := from; n <= to; n++ {
			bytes = append(bytes, request(n)...)
		}
		if _, err := c.Write(bytes); err != nil {
			return err
		}
		for n := from; n <= to; n++ {
			written[fmt.Sprintf("%016x", n)] = time.Now()
			note("client: has sent %016x, and waits for %d ms", n, pipelineLimit)
		}
		return nil
	}
	read := func(n int) {
		id := fmt.Sprintf("%016x", n)
		answers[id] = c.readAnswer(10 * time.Second)
		note("client: %s is answered after %.0f ms: %v", id, sinceStart(answers[id].at)-sinceStart(written[id]), answers[id])
	}
	if trouble {
		if err := write(1, 2); err != nil {
			return notRun, err
		}
		read(1)
		read(2)
	} else {
		for n := 1; n <= 2; n++ {
			if err := write(n, n); err != nil {
				return notRun, err
			}
			read(n)
		}
	}
	over, late := 0, 0
	for _, r := range log.snapshot() {
		if !strings.HasPrefix(r.id, "0000") {
			continue
		}
		left := pipelineLimit - (sinceStart(r.begunAt) - sinceStart(written[r.id]))
		note("%s: the worker group was told %d ms, the client had %.0f ms left", r.id, r.budgetMs, left)
		if float64(r.budgetMs) > left+budgetSlack {
			over++
		}
	}
	for id, a := range answers {
		if a.at.Sub(written[id]) > pipelineLimit*time.Millisecond+lostAfter {
			note("%s: the answer came %.0f ms after the end of its time", id, sinceStart(a.at)-sinceStart(written[id])-pipelineLimit)
			late++
		}
	}
	note("%d attempts were told more than their client had left, %d answers came too late to count", over, late)
	if over+late > 0 {
		return broken, nil
	}
	if answers["0000000000000001"].kind != "served" {
		return notRun, fmt.Errorf("the first request is not served")
	}
	return held, nil
}
