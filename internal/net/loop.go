// Package net puts connection objects on one event loop. It serves clients, worker groups and discovery; all state of the
// program belongs to its goroutine. A system call that fails for a moment ends neither the loop nor a connection.
package net

import (
	"fmt"
	"math"
	"sync"

	"golang.org/x/sys/unix"

	"thymeway/internal/deadline"
	"thymeway/internal/link"
)

const (
	readBuffer  = 64 << 10 // bytes read at a time
	longestWait = 3600e3   // ms
)

// Loop is the event loop. Turn runs once after each batch of events and when a deadline is due.
type Loop struct {
	Deadlines *deadline.Queue
	Now       func() float64                  // ms, by the clock of the deadlines
	Accept    func(listener int) link.Handler // by the number of the address that Run was given
	Turn      func()
	Ready     func() // runs once, on the loop, before any event
	Exhausted func() // may free a descriptor where the system gives none; nil: nothing can be freed
	// ConnectTimeout is the time in ms in which a connection has to come up.
	ConnectTimeout float64

	calls     syscalls
	poll      poller
	buffer    []byte
	conns     map[int]*conn
	dialling  map[int]*dialling
	listeners map[int]*listener
	asked     bool     // a turn is due
	later     []func() // for the next turn: ends and closes, which must not come from within other calls
	stopped   bool

	mu      sync.Mutex
	running bool     // the poller is open
	woken   bool     // its wait was told to end
	jobs    []func() // asked for by Do
}

// Run serves addresses of the form IP:PORT until Stop.
func (l *Loop) Run(addrs ...string) error {
	if l.calls.wait == nil {
		l.calls = systemCalls()
	}
	l.buffer = make([]byte, readBuffer)
	l.conns, l.dialling, l.listeners = map[int]*conn{}, map[int]*dialling{}, map[int]*listener{}
	if err := l.poll.open(&l.calls); err != nil {
		return err
	}
	l.setRunning(true)
	defer l.close()
	for i, addr := range addrs {
		x, err := l.listen(i, addr)
		if err != nil {
			return err
		}
		l.listeners[x.fd] = x
	}
	if l.Ready != nil {
		l.Ready()
	}
	l.asked = true
	return l.serve()
}

// serve takes events and runs turns until Stop.
func (l *Loop) serve() error {
	var list []ready
	var err error
	for !l.stopped {
		if list, err = l.poll.wait(list[:0], l.waitLimit()); err != nil {
			return fmt.Errorf("waiting for events: %w", err)
		}
		for _, r := range list {
			l.take(r)
		}
		l.runJobs()
		if l.asked || l.due() {
			l.turn()
		}
	}
	return nil
}

// take hands an event to whom it concerns.
func (l *Loop) take(r ready) {
	if c := l.conns[r.fd]; c != nil {
		c.ready(r.events)
	} else if d := l.dialling[r.fd]; d != nil {
		d.ready()
	} else if x := l.listeners[r.fd]; x != nil {
		x.accept()
	}
}

// waitLimit is how many ms the loop may wait for events; -1: without end.
func (l *Loop) waitLimit() int {
	if l.asked {
		return 0
	}
	at, ok := l.Deadlines.Next()
	if !ok {
		return -1
	}
	return int(math.Ceil(min(max(at-l.Now(), 0), longestWait)))
}

func (l *Loop) due() bool {
	at, ok := l.Deadlines.Next()
	return ok && at <= l.Now()
}

// Ask asks for a turn, from the loop's own goroutine.
func (l *Loop) Ask() { l.asked = true }

// Do has something done on the loop, with a turn behind it, from any goroutine. What comes before Run waits for it.
func (l *Loop) Do(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs = append(l.jobs, f)
	if l.running && !l.woken {
		l.woken = true
		l.poll.wake()
	}
}

func (l *Loop) setRunning(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running = on
}

func (l *Loop) runJobs() {
	l.mu.Lock()
	jobs := l.jobs
	l.jobs, l.woken = nil, false
	l.mu.Unlock()
	for _, f := range jobs {
		f()
		l.asked = true
	}
}

func (l *Loop) turn() {
	l.asked = false
	l.flush()
	l.Deadlines.RunDue(l.Now())
	l.Turn()
	l.flush()
}

// flush runs what was put off. What that puts off in turn is run too.
func (l *Loop) flush() {
	for len(l.later) > 0 {
		todo := l.later
		l.later = nil
		for _, f := range todo {
			f()
		}
	}
}

// put puts something off to the next turn.
func (l *Loop) put(f func()) {
	l.later = append(l.later, f)
	l.asked = true
}

// Stop ends the loop; Run returns.
func (l *Loop) Stop() { l.stopped = true }

// close frees all descriptors, listeners first: who finds his connection ended must not come back to this program.
func (l *Loop) close() {
	l.setRunning(false)
	for fd := range l.listeners {
		_ = unix.Close(fd)
	}
	l.flush()
	for fd := range l.conns {
		_ = unix.Close(fd)
	}
	for fd := range l.dialling {
		_ = unix.Close(fd)
	}
	l.poll.close()
}
