package main

import (
	"bytes"
	"fmt"
	"math/rand"
	"sort"
	"sync"
	"time"
)

// world holds all parts of a play.
type world struct {
	record  *record
	trouble bool
	command string
	folder  string

	mu       sync.Mutex
	random   *rand.Rand
	workers  []*worker
	requests []*request
	board    *board
	node     *coordinator
}

// cases holds the play of each case. It returns the exit code and a line that tells what was seen. Those from 4 on have
// no folder.
var cases = map[int]func(w *world) (int, string){1: lateCopies, 2: manyInserts, 3: reusedAddress, 4: wrongLengths,
	5: goneClients}

// draw returns a random number under n.
func (w *world) draw(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Intn(n)
}

// chance reports true for one in n.
func (w *world) chance(n int) bool { return w.draw(n) == 0 }

// between returns a random time from a to b.
func (w *world) between(a, b time.Duration) time.Duration {
	return a + time.Duration(w.draw(int(b-a)+1))
}

// newWorker returns a worker group with a new id, which is not started yet. Lookups run for 60 to 200 ms, reports for 0.8 to
// 1.8 s, loads for 0.6 to 1.2 s.
func (w *world) newWorker() *worker {
	k := &worker{id: fmt.Sprintf("s-%08x", w.draw(1<<31-1)), record: w.record}
	k.runFor = func(class string) time.Duration {
		switch class {
		case "report":
			return w.between(800*time.Millisecond, 1800*time.Millisecond)
		case "load":
			return w.between(600*time.Millisecond, 1200*time.Millisecond)
		}
		return w.between(60*time.Millisecond, 200*time.Millisecond)
	}
	w.mu.Lock()
	w.workers = append(w.workers, k)
	w.mu.Unlock()
	return k
}

// entry returns the list entry of a worker group.
func (k *worker) entry(number int, phase string, startedAt int64) member {
	return member{k.id, k.addr, zones[number%len(zones)], "std-12", number / 3, phase, 1, startedAt}
}

// start starts count worker groups, the notice board and the coordinator. prepare may change a worker group before it starts.
func (w *world) start(d *deployment, count int, prepare func(k *worker)) {
	for i := range count {
		k := w.newWorker()
		if prepare != nil {
			prepare(k)
		}
		startWorker(k, "")
		d.members = append(d.members, k.entry(i, "Ready", 0))
	}
	w.board = startBoard(w.record, d.members)
	d.board = w.board.addr
	w.node = startCoordinator(w.command, w.folder, d)
	w.record.add("ready coordinator=%s workers=%d trouble=%v", w.node.addr, count, w.trouble)
}

// client asks one request after another until the time end, on a connection that it closes now and then.
func (w *world) client(number int, end time.Time, pick func() (class string, limit time.Duration, work float64)) {
	var s *session
	for time.Now().Before(end) && !w.node.killed.Load() {
		class, limit, work := pick()
		r := &request{id: fmt.Sprintf("%08x%08x", w.draw(1<<31-1), w.draw(1<<31-1)), class: class, limit: limit}
		if s != nil && (time.Since(s.usedAt) > 3*time.Second || w.chance(200)) {
			s.close()
			s = nil
		}
		if s == nil {
			var err error
			if s, err = connect(w.node.addr); err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		w.record.add("client %d sent id=%s class=%s limit=%d", number, r.id, class, limit.Milliseconds())
		err := s.ask(r, w.statement(r, tenants[number%len(tenants)], fmt.Sprintf("%016x", number), work))
		w.record.add("client %d answer id=%s outcome=%s rows=%d text=%q", number, r.id, r.outcome, bytes.Count(r.rows, []byte("\n")), r.text)
		w.mu.Lock()
		w.requests = append(w.requests, r)
		w.mu.Unlock()
		if err != nil || r.outcome != "served" {
			s.close()
			s = nil
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(w.between(0, 100*time.Millisecond))
	}
	if s != nil {
		s.close()
	}
}

// playClients lets clients ask for a time. Of ten clients one sends loads under a key of its own, reports are sent by the given
// number of them, the others send lookups.
func (w *world) playClients(clients, reports int, length time.Duration) {
	end := time.Now().Add(length)
	var all sync.WaitGroup
	for number := range clients {
		pick := func() (string, time.Duration, float64) { return "lookup", 2800 * time.Millisecond, 130 }
		switch {
		case number%10 == 9:
			pick = func() (string, time.Duration, float64) { return "load", 19 * time.Second, 1800 }
		case number%10 < reports:
			pick = func() (string, time.Duration, float64) { return "report", 19 * time.Second, 3900 }
		}
		all.Go(func() { w.client(number, end, pick) })
	}
	all.Wait()
}

// servedCount returns how many requests were served.
func (w *world) servedCount() (n int) {
	for _, r := range w.requests {
		if r.outcome == "served" {
			n++
		}
	}
	return n
}

// wrongResults compares each served result with the one that worker groups make for its request. It returns how many differ.
func (w *world) wrongResults() (foreign, short int) {
	for _, r := range w.requests {
		want := bytes.Join(resultOf(r.id, r.class), nil)
		if r.outcome != "served" || bytes.Equal(r.rows, want) {
			continue
		}
		if bytes.Count(r.rows, []byte(r.id)) == bytes.Count(r.rows, []byte("\n")) {
			short++
		} else {
			foreign++
		}
		w.record.add("BROKEN id=%s class=%s got=%q want=%q", r.id, r.class, r.rows, want)
	}
	return foreign, short
}

// judgeResults ends a play whose rule is that a served answer holds the rows that a worker group made for the request.
func (w *world) judgeResults(disrupted int) (int, string) {
	served := w.servedCount()
	foreign, short := w.wrongResults()
	text := fmt.Sprintf("requests=%d served=%d disrupted-answers=%d rows-of-others=%d rows-missing=%d", len(w.requests), served,
		disrupted, foreign, short)
	switch {
	case foreign+short > 0:
		return exitBroken, text
	case served < 200 || w.trouble && disrupted < 20:
		return exitNotRun, text
	}
	return exitHeld, text
}

// counter counts from several goroutines.
type counter struct {
	mu sync.Mutex
	n  int
}

func (c *counter) add() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
}

// lateCopies: a second copy of one in ten good answers comes 2 to 6 ms after the first.
func lateCopies(w *world) (int, string) {
	var copies counter
	w.start(&deployment{sockets: 1024}, 6, func(k *worker) {
		k.spoil = func(c *workerConn, a answer) bool {
			b := a.bytes(len(a.body))
			c.send(b)
			if w.trouble && a.end && w.chance(10) {
				copies.add()
				wait := w.between(2*time.Millisecond, 6*time.Millisecond)
				w.record.add("worker %s copy id=%s after=%s", k.id, a.id, wait)
				time.AfterFunc(wait, func() { c.send(b) })
			}
			return true
		}
	})
	w.playClients(40, 2, 50*time.Second)
	w.node.stop()
	return w.judgeResults(copies.n)
}

// wrongLengths: one in ten good answers comes with a Content-Length that does not fit, drawn evenly from 0 to twice the right
// one. Its connection is of no further use.
func wrongLengths(w *world) (int, string) {
	var spoilt counter
	w.start(&deployment{sockets: 1024}, 6, func(k *worker) {
		k.spoil = func(c *workerConn, a answer) bool {
			if !w.trouble || !a.end || !w.chance(10) {
				return false
			}
			length := w.draw(2*len(a.body) + 1)
			if length == len(a.body) {
				return false
			}
			spoilt.add()
			w.record.add("worker %s length id=%s right=%d told=%d", k.id, a.id, len(a.body), length)
			c.send(a.bytes(length))
			return true
		}
	})
	w.playClients(40, 2, 60*time.Second)
	w.node.stop()
	return w.judgeResults(spoilt.n)
}

// manyInserts: besides the usual clients 280 others send one request each over ClickHouse's HTTP interface. With trouble they do so
// within 2 s, else eight at a time, one after the other.
func manyInserts(w *world) (int, string) {
	const inserts, atOnce, memoryMB = 280, 8, 192
	w.start(&deployment{sockets: 1024}, 6, nil)
	memory := w.node.watchMemory(w.record, memoryMB)
	var answered counter
	var all sync.WaitGroup
	all.Go(func() { w.playClients(40, 2, 55*time.Second) })
	time.Sleep(5 * time.Second)
	turns := make(chan struct{}, inserts+atOnce)
	for range atOnce {
		turns <- struct{}{}
	}
	for number := range inserts {
		if w.trouble {
			time.Sleep(2 * time.Second / inserts)
		} else {
			<-turns
		}
		all.Go(func() {
			if w.insertOverHTTP(number) > 0 {
				answered.add()
			}
			turns <- struct{}{}
		})
	}
	all.Wait()
	peakMB, killed := memory()
	w.node.stop()
	unanswered := 0
	for _, r := range w.requests {
		if r.outcome == "none" || r.outcome == "closed" {
			unanswered++
		}
	}
	text := fmt.Sprintf("requests=%d served=%d unanswered=%d inserts=%d answered=%d peak-mb=%d limit-mb=%d", len(w.requests),
		w.servedCount(), unanswered, inserts, answered.n, peakMB, memoryMB)
	switch {
	case killed:
		return exitBroken, text
	case w.servedCount() < 200 || answered.n < inserts/2:
		return exitNotRun, text
	}
	return exitHeld, text
}

// goneClients: half of 80 clients close their connections 20 to 120 ms after each request, on a deployment where an attempt can't be
// cancelled and a coordinator has 256 descriptors. Without trouble they wait for their answers. An attempt must not begin later
// than 0.1 s, and 50 ms more, after its client has closed.
func goneClients(w *world) (int, string) {
	w.start(&deployment{sockets: 256, noCancel: true}, 6, func(k *worker) {
		k.runFor = func(string) time.Duration { return w.between(700*time.Millisecond, 1500*time.Millisecond) }
	})
	end := time.Now().Add(30 * time.Second)
	goneAt := map[string]time.Time{}
	var all sync.WaitGroup
	for number := range 80 {
		all.Go(func() {
			for time.Now().Before(end) {
				s, err := connect(w.node.addr)
				if err != nil {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				r := &request{id: fmt.Sprintf("%08x%08x", w.draw(1<<31-1), w.draw(1<<31-1)), class: "lookup", limit: 2800 * time.Millisecond}
				text := w.statement(r, tenants[number%len(tenants)], "", 130)
				w.record.add("client %d sent id=%s", number, r.id)
				if !w.trouble || number%2 == 1 {
					_ = s.ask(r, text)
					s.close()
					w.record.add("client %d answer id=%s outcome=%s", number, r.id, r.outcome)
					continue
				}
				_ = s.write(text)
				time.Sleep(w.between(20*time.Millisecond, 120*time.Millisecond))
				s.close()
				w.record.add("client %d gone id=%s", number, r.id)
				w.mu.Lock()
				goneAt[r.id] = time.Now()
				w.mu.Unlock()
				time.Sleep(w.between(0, 100*time.Millisecond))
			}
		})
	}
	all.Wait()
	time.Sleep(time.Second)
	w.node.stop()
	runs, late, latest := 0, 0, time.Duration(0)
	for _, k := range w.workers {
		for _, r := range k.allRuns() {
			runs++
			if at, gone := goneAt[r.id]; gone && r.arrivedAt.Sub(at) > 150*time.Millisecond {
				late, latest = late+1, max(latest, r.arrivedAt.Sub(at))
				w.record.add("BROKEN id=%s begun %s after its client had gone", r.id, r.arrivedAt.Sub(at))
			}
		}
	}
	text := fmt.Sprintf("gone=%d runs=%d begun-too-late=%d latest=%s", len(goneAt), runs, late, latest)
	switch {
	case late > 0:
		return exitBroken, text
	case runs < 200:
		return exitNotRun, text
	}
	return exitHeld, text
}

// reusedAddress: every nine seconds the process of a worker group dies, and half a second later a new worker group, with a new id,
// is up. The notice board tells of both 2.4 s after that start, first that the old one has gone, then that the new one is ready.
// With trouble the new one has the address of the old one, else an address of its own.
func reusedAddress(w *world) (int, string) {
	const groups, replacements = 6, 8
	w.start(&deployment{sockets: 1024}, groups, nil)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		slots := append([]*worker(nil), w.workers...)
		time.Sleep(4 * time.Second)
		for n := range replacements {
			number := n % groups
			old := slots[number]
			old.die()
			time.Sleep(500 * time.Millisecond)
			addr := ""
			if w.trouble {
				addr = old.addr
			}
			k, startedAt := w.newWorker(), time.Now()
			startWorker(k, addr)
			w.record.add("worker %s started addr=%s", k.id, k.addr)
			slots[number] = k
			time.Sleep(2400 * time.Millisecond)
			w.board.tell(old.entry(number, "Gone", 0))
			w.board.tell(k.entry(number, "Ready", startedAt.UnixMilli()))
			time.Sleep(6100 * time.Millisecond)
		}
	}()
	w.playClients(40, 4, 78*time.Second)
	<-finished
	w.node.stop()
	return w.judgeAttempts()
}

// judgeAttempts looks for requests with two attempts out at a time. An attempt is taken to be out from when it has come whole
// until its run is done, deleted, dropped or dead, which is not longer than the pages have it. Both may overlap by 50 ms.
func (w *world) judgeAttempts() (int, string) {
	byID := map[string][]run{}
	for _, k := range w.workers {
		for _, r := range k.allRuns() {
			byID[r.id] = append(byID[r.id], r)
		}
	}
	broken, lost := 0, 0
	for id, runs := range byID {
		sort.Slice(runs, func(i, j int) bool { return runs[i].arrivedAt.Before(runs[j].arrivedAt) })
		for i := 1; i < len(runs); i++ {
			before, next := runs[i-1], runs[i]
			if over := before.endedAt.Sub(next.arrivedAt); over > 50*time.Millisecond {
				broken++
				w.record.add("BROKEN id=%s class=%s two attempts out for %s: on %s from %s, on %s from %s", id, before.class, over,
					before.worker, w.since(before.arrivedAt), next.worker, w.since(next.arrivedAt))
			}
		}
	}
	for _, r := range w.requests {
		if r.outcome == "none" || r.outcome == "closed" {
			lost++
		}
	}
	text := fmt.Sprintf("requests=%d served=%d unanswered=%d two-attempts-out=%d", len(w.requests), w.servedCount(), lost, broken)
	switch {
	case broken > 0:
		return exitBroken, text
	case w.servedCount() < 200:
		return exitNotRun, text
	}
	return exitHeld, text
}

// since returns a time as seconds since the start of the record.
func (w *world) since(t time.Time) string {
	return fmt.Sprintf("%.4f", t.Sub(w.record.startAt).Seconds())
}
