package main

import (
	"fmt"
	"syscall"
	"time"
)

func init() { cases["term"] = playTerm }

// Figures of the case.
const (
	termCommands = 5
	termRun      = 700 * time.Millisecond // that each query runs
	termLimit    = 6000                   // ms that the client waits for each answer
)

// playTerm plays a planned restart while a client has sent several requests at once, before SIGTERM. Each has to get its answer.
func playTerm(trouble bool) (verdict, error) {
	log := &runLog{}
	w := &workerGroup{name: "s-1", log: log, runTime: func(string) time.Duration { return termRun }}
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
	var all []byte
	for n := 1; n <= termCommands; n++ {
		all = append(all, queryMessage(fields("report", fmt.Sprintf("%016x", n), termLimit, ",cpu=700.0")+
			"SELECT day, count(*) FROM sales_17.orders GROUP BY day")...)
	}
	if _, err := c.Write(all); err != nil {
		return notRun, err
	}
	note("client: has sent %d commands at once", termCommands)
	if trouble {
		time.Sleep(100 * time.Millisecond)
		note("platform: SIGTERM")
		if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return notRun, err
		}
	}
	answered := 0
	for n := 1; n <= termCommands; n++ {
		a := c.readAnswer(8 * time.Second)
		note("client: %016x is answered: %v", n, a)
		if a.kind == "lost" {
			break
		}
		answered++
	}
	note("%d of %d commands got an answer", answered, termCommands)
	if answered < termCommands {
		return broken, nil
	}
	return held, nil
}
