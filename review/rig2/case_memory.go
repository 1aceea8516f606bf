package main

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["memory"] = playMemory }

// Figures of the case.
const (
	memoryMB      = 192                    // limits.memory_mb, as on the scored days
	reportClients = 20                     // head offices that fetch a report; clients may hold 341 connections
	reportGap     = 300 * time.Millisecond // between two of them
	reportBytes   = 3 << 20                // of a report in the engine's form, below the 4 MB of max_result_kb
	slowLink      = 1 << 20                // bytes a second over a slow link
)

// stockReport returns a result of reportBytes.
func stockReport() string {
	var b strings.Builder
	b.WriteString("branch\tarticle\tcollected\tin_stock\nUInt32\tUInt32\tUInt32\tUInt32\n")
	for i := 0; b.Len() < reportBytes; i++ {
		fmt.Fprintf(&b, "%d\t%d\t%d\t%d\n", i%90, i%5000, i%7, i%40)
	}
	return b.String()
}

// playMemory plays reports that are asked for as JSON. The platform kills the coordinator once it takes more than its memory.
func playMemory(trouble bool) (verdict, error) {
	log := &runLog{}
	report := stockReport()
	e := &clickHouse{name: "stock-1", log: log, runTime: func(string) time.Duration { return 300 * time.Millisecond },
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
	f := fleet{classes: usualClasses(), memoryMB: memoryMB, seed: "8c1f30d27a5be964", board: b.addr,
		members: []member{{id: "stock-1", addr: e.addr, zone: "room-a", phase: "Ready"}},
		local:   "[clickhouse]\nlisten = " + httpAddr + "\n[kind std-12]\nprotocol = clickhouse\n"}
	p, err := startProgram(f)
	if err != nil {
		return notRun, err
	}
	note("a report has %d bytes in the engine's form", len(report))

	// The platform: "Over memory_mb the coordinator is killed."
	stop, watched := make(chan struct{}), make(chan float64)
	go func() {
		peak := 0.0
		for {
			now := p.ownMB()
			peak = max(peak, now)
			if now > memoryMB {
				note("platform: the coordinator takes %.0f MB of %d and is killed", now, memoryMB)
				_ = p.cmd.Process.Kill()
				<-stop
				watched <- peak
				return
			}
			select {
			case <-stop:
				watched <- peak
				return
			case <-time.After(time.Millisecond):
			}
		}
	}()
	counts, all, mu := map[string]int{}, sync.WaitGroup{}, sync.Mutex{}
	for i := range reportClients {
		all.Go(func() {
			client := newHTTPClient(httpAddr, true)
			if trouble {
				client.bytesPerSecond = slowLink
			}
			note("client %d: asks for a report", i)
			a := client.post("SELECT branch, article, sum(collected) AS collected, any(in_stock) AS in_stock "+
				"FROM sales_17.stock GROUP BY branch, article", url.Values{"default_format": {"JSON"}}, 40*time.Second)
			note("client %d: report is answered: %v", i, a)
			how := "lost"
			if a.whole {
				how = strconv.Itoa(a.status)
			}
			mu.Lock()
			counts[how]++
			mu.Unlock()
		})
		time.Sleep(reportGap)
		if !p.running() {
			break
		}
	}
	all.Wait()
	close(stop)
	peak := <-watched
	note("peak %.0f MB of %d, answers %v", peak, memoryMB, counts)
	if peak > memoryMB {
		return broken, nil
	}
	if counts["lost"] > 0 {
		return notRun, fmt.Errorf("the memory sufficed, but %d answers were lost", counts["lost"])
	}
	return held, nil
}
