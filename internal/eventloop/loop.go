// Package eventloop runs all connections on one event loop based on epoll: those of clients, to worker groups and to the
// discovery service. All state of the program is accessed only from the goroutine of the loop. System calls that fail
// temporarily end neither the loop nor a connection.
package eventloop

import (
	"fmt"
	"math"
	"sync"

	"golang.org/x/sys/unix"

	"thymeway/internal/deadline"
	"thymeway/internal/transport"
)

const (
	readBufferBytes = 64 << 10 // maximum number of bytes read at a time
	maxWait         = 3600e3   // ms; longest wait for events
)

// Loop is the event loop. Each batch of events, due deadline and request for a turn is followed by one turn.
type Loop struct {
	Deadlines *deadline.Queue
	Now       func() float64 // ms, on the clock of Deadlines
	// Accept returns the handler of a new connection. listener is the index of its address among those given to Run.
	Accept         func(listener int) transport.Handler
	Turn           func() // runs in each turn, after the due deadlines
	OnStart        func() // runs once on the loop, before the first event
	FreeDescriptor func() // called to free a descriptor when the system has none left; may be nil
	// ConnectTimeout is the time in ms within which a dialed connection has to be established.
	ConnectTimeout float64

	syscalls      syscalls
	poller        poller
	buffer        []byte
	conns         map[int]*conn
	pendingDials  map[int]*pendingDial
	listeners     map[int]*listener
	turnRequested bool     // a turn runs after the current batch of events
	deferred      []func() // calls for the next turn: closing and Closed, which must not happen within other calls
	stopped       bool

	mu          sync.Mutex
	running     bool     // the poller is open, so that Do may wake it
	wakePending bool     // the poller was woken, and the jobs have not run yet
	jobs        []func() // functions given to Do that have not run yet
}

// Run listens at addresses of the form IP:PORT and runs the loop until Stop is called.
func (l *Loop) Run(addrs ...string) error {
	if l.syscalls.wait == nil {
		l.syscalls = systemCalls()
	}
	l.buffer = make([]byte, readBufferBytes)
	l.conns, l.pendingDials, l.listeners = map[int]*conn{}, map[int]*pendingDial{}, map[int]*listener{}
	if err := l.poller.open(&l.syscalls); err != nil {
		return err
	}
	l.setRunning(true)
	defer l.close()
	for i, addr := range addrs {
		ln, err := l.listen(i, addr)
		if err != nil {
			return err
		}
		l.listeners[ln.fd] = ln
	}
	if l.OnStart != nil {
		l.OnStart()
	}
	l.turnRequested = true
	return l.runEvents()
}

// runEvents handles events and runs turns until Stop is called.
func (l *Loop) runEvents() error {
	var ready []readyDescriptor
	var err error
	for !l.stopped {
		if ready, err = l.poller.wait(ready[:0], l.waitLimit()); err != nil {
			return fmt.Errorf("waiting for events: %w", err)
		}
		for _, descriptor := range ready {
			l.dispatch(descriptor)
		}
		l.runJobs()
		if l.turnRequested || l.deadlineDue() {
			l.runTurn()
		}
	}
	return nil
}

// dispatch passes an event to its connection, pending dial or listener.
func (l *Loop) dispatch(ready readyDescriptor) {
	if c := l.conns[ready.fd]; c != nil {
		c.handleEvents(ready.events)
	} else if d := l.pendingDials[ready.fd]; d != nil {
		d.finish()
	} else if ln := l.listeners[ready.fd]; ln != nil {
		ln.acceptBatch()
	}
}

// waitLimit returns how many ms the loop may wait for events; -1 means without limit.
func (l *Loop) waitLimit() int {
	if l.turnRequested {
		return 0
	}
	at, ok := l.Deadlines.Next()
	if !ok {
		return -1
	}
	return int(math.Ceil(min(max(at-l.Now(), 0), maxWait)))
}

// deadlineDue reports whether a deadline is due.
func (l *Loop) deadlineDue() bool {
	at, ok := l.Deadlines.Next()
	return ok && at <= l.Now()
}

// RequestTurn requests a turn. It must be called on the loop's goroutine.
func (l *Loop) RequestTurn() { l.turnRequested = true }

// Do runs f on the loop, followed by a turn. It may be called from any goroutine; calls made before Run take effect in Run.
func (l *Loop) Do(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.jobs = append(l.jobs, f)
	if l.running && !l.wakePending {
		l.wakePending = true
		l.poller.wake()
	}
}

// setRunning records whether the poller is open.
func (l *Loop) setRunning(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running = on
}

// runJobs runs the functions given to Do.
func (l *Loop) runJobs() {
	l.mu.Lock()
	jobs := l.jobs
	l.jobs, l.wakePending = nil, false
	l.mu.Unlock()
	for _, f := range jobs {
		f()
		l.turnRequested = true
	}
}

// runTurn runs one turn: the deferred calls, the due deadlines and Turn.
func (l *Loop) runTurn() {
	l.turnRequested = false
	l.runDeferred()
	l.Deadlines.RunDue(l.Now())
	l.Turn()
	l.runDeferred()
}

// runDeferred runs the deferred calls, including those that they defer in turn.
func (l *Loop) runDeferred() {
	for len(l.deferred) > 0 {
		calls := l.deferred
		l.deferred = nil
		for _, f := range calls {
			f()
		}
	}
}

// deferCall schedules a call for the next turn.
func (l *Loop) deferCall(f func()) {
	l.deferred = append(l.deferred, f)
	l.turnRequested = true
}

// Stop makes Run return. It must be called on the loop's goroutine.
func (l *Loop) Stop() { l.stopped = true }

// close closes all descriptors, listeners first: a client that finds its connection closed and reconnects at once must not
// reach this program again.
func (l *Loop) close() {
	l.setRunning(false)
	for fd := range l.listeners {
		_ = unix.Close(fd)
	}
	l.runDeferred()
	for fd := range l.conns {
		discardInput(fd, l.buffer)
		_ = unix.Close(fd)
	}
	for fd := range l.pendingDials {
		_ = unix.Close(fd)
	}
	l.poller.close()
}
