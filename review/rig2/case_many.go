package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["many"] = playMany }

// Figures of the case.
const (
	manyCommands = 24   // that a client sends at once
	manyNumbers  = 300  // literals in the list of each statement, which make it some 2 KB long
	manyLimit    = 3000 // ms that the client waits for each answer
)

// playMany plays a client that sends many commands at once. Each of them has to get its final answer.
func playMany(trouble bool) (verdict, error) {
	log := &runLog{}
	w := &workerGroup{name: "s-1", log: log, runTime: func(string) time.Duration { return 20 * time.Millisecond }}
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
	var numbers []string
	for i := range manyNumbers {
		numbers = append(numbers, fmt.Sprint(100000+i))
	}
	list := strings.Join(numbers, ",")
	request := func(n int) []byte {
		return queryMessage(fields("lookup", fmt.Sprintf("%016x", n), manyLimit, ",cpu=20.0") +
			"SELECT number, state FROM sales_17.orders WHERE number IN (" + list + ")")
	}
	answered := 0
	read := func(n int) bool {
		a := c.readAnswer(5 * time.Second)
		note("client: %016x is answered: %v", n, a)
		if a.kind == "lost" {
			return false
		}
		answered++
		return true
	}
	if trouble {
		var all []byte
		for n := 1; n <= manyCommands; n++ {
			all = append(all, request(n)...)
		}
		if _, err := c.Write(all); err != nil {
			return notRun, err
		}
		note("client: has sent %d commands at once, %d bytes", manyCommands, len(all))
	}
	for n := 1; n <= manyCommands; n++ {
		if !trouble {
			if _, err := c.Write(request(n)); err != nil {
				return notRun, err
			}
		}
		if !read(n) {
			break
		}
	}
	note("%d of %d commands got an answer, %d were run", answered, manyCommands, len(log.snapshot()))
	if answered < manyCommands {
		return broken, nil
	}
	return held, nil
}
