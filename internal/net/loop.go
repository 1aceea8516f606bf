// Package net puts connection objects on gnet's event loop. One loop serves clients, worker groups and the notice
// board; all state of the program belongs to its goroutine.
package net

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"thymeway/internal/deadline"
	"thymeway/internal/link"
)

// Loop is the event loop. Turn runs once after each batch of events and when a deadline is due.
type Loop struct {
	gnet.BuiltinEventEngine
	Deadlines *deadline.Queue
	Now       func() float64                  // ms, by the clock of the deadlines
	Accept    func(listener int) link.Handler // by the number of the address that Run was given
	Turn      func()
	Ready     func() // runs once, on the loop, before any event
	// ConnectTimeout is the time in ms in which a connection has to come up.
	ConnectTimeout float64

	addrs   []string
	eng     gnet.Engine
	el      atomic.Pointer[gnet.EventLoop]
	booted  bool
	asked   atomic.Bool // a turn is on its way
	later   []func()    // for the next turn: ends and closes, which must not come from within other calls
	timer   *time.Timer
	armed   float64 // for when; 0: not
	dialer  dialer
	stopped bool
	mu      sync.Mutex
	early   []func() // asked for by Do before the loop is known
}

// Run serves addresses of the form IP:PORT until Stop.
func (l *Loop) Run(addrs ...string) error {
	l.timer = time.NewTimer(time.Hour)
	if err := l.dialer.open(l); err != nil {
		return err
	}
	// One goroutine for all deadlines, and one for all connections that are coming up: none for a request.
	go func() {
		for range l.timer.C {
			l.Wake()
		}
	}()
	// With ReusePort the one loop accepts by itself; without, gnet would run a second one for that.
	urls := make([]string, len(addrs))
	for i, a := range addrs {
		urls[i] = "tcp://" + a
	}
	l.addrs = addrs
	err := gnet.Rotate(l, urls, gnet.WithNumEventLoop(1), gnet.WithReusePort(true), gnet.WithTicker(true),
		gnet.WithReadBufferCap(64<<10), gnet.WithTCPNoDelay(gnet.TCPNoDelay), gnet.WithLogger(logger{}))
	if err == nil && !l.stopped { // gnet tells of what ended its loop in its log only
		err = errors.New("the event loop ended by itself")
	}
	return err
}

// OnBoot comes before the loop runs.
func (l *Loop) OnBoot(eng gnet.Engine) gnet.Action {
	l.eng = eng
	return gnet.None
}

// OnTick comes once the loop runs. gnet gives the handle of a loop with a connection only, so the first one is
// a pair of sockets of our own.
func (l *Loop) OnTick() (time.Duration, gnet.Action) {
	if !l.booted {
		l.booted = true
		if err := l.boot(); err != nil {
			slog.Error("boot-failed", "error", err)
			return time.Hour, gnet.Shutdown
		}
	}
	return time.Hour, gnet.None
}

func (l *Loop) boot() error {
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	c, err := fileConn(pair[0])
	if err != nil {
		return err
	}
	res, err := l.eng.Register(gnet.NewNetConnContext(gnet.NewContext(context.Background(), &conn{l: l, h: &first{l: l}}), c))
	if err != nil {
		return err
	}
	return (<-res).Err
}

// first is the handler of that connection, which stays open.
type first struct{ l *Loop }

func (f *first) Opened(link.Conn) {}
func (f *first) Received([]byte)  {}
func (f *first) Closed(link.End)  {}

// Wake asks for a turn, from any goroutine.
func (l *Loop) Wake() {
	if l.asked.CompareAndSwap(false, true) {
		l.run(l.turn)
	}
}

// Do has something done in a turn, from any goroutine. What comes before the loop runs, a signal, waits for it.
func (l *Loop) Do(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.el.Load() == nil {
		l.early = append(l.early, f)
		return
	}
	l.run(func() {
		f()
		l.turn()
	})
}

// run has something done on the loop. Before the loop is known nothing else needs it; OnOpen asks for a turn then.
func (l *Loop) run(f func()) {
	el := l.el.Load()
	if el == nil {
		l.asked.Store(false)
		return
	}
	err := (*el).Execute(context.Background(), gnet.RunnableFunc(func(context.Context) error {
		f()
		return nil
	}))
	if err != nil {
		slog.Error("loop-refuses", "error", err)
	}
}

func (l *Loop) turn() {
	l.asked.Store(false)
	if l.Ready != nil {
		ready := l.Ready
		l.Ready = nil
		ready()
	}
	l.flush()
	l.Deadlines.Sweep(l.Now())
	l.Turn()
	l.flush()
	l.arm()
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

// arm sets the timer to the earliest deadline.
func (l *Loop) arm() {
	at, ok := l.Deadlines.Next()
	now := l.Now()
	if !ok || at == l.armed && at > now {
		return
	}
	l.armed = at
	l.timer.Reset(time.Duration((at - now) * 1e6))
}

// put puts something off to the next turn.
func (l *Loop) put(f func()) {
	l.later = append(l.later, f)
	l.Wake()
}

// OnOpen comes for each connection, accepted or dialled.
func (l *Loop) OnOpen(g gnet.Conn) ([]byte, gnet.Action) {
	if l.el.Load() == nil {
		el := g.EventLoop()
		l.mu.Lock()
		l.el.Store(&el)
		l.later = append(l.early, l.later...)
		l.mu.Unlock()
	}
	c, dialled := g.Context().(*conn)
	if !dialled {
		c = &conn{l: l, h: l.Accept(l.listener(g))}
		g.SetContext(c)
	}
	c.g = g
	if c.closed { // given up while it was on its way
		return nil, gnet.Close
	}
	c.h.Opened(c)
	l.Wake()
	return nil, gnet.None
}

// listener is the number of the address that a connection came to.
func (l *Loop) listener(g gnet.Conn) int {
	if len(l.addrs) > 1 {
		at := g.LocalAddr().String()
		for i, a := range l.addrs {
			if a == at {
				return i
			}
		}
	}
	return 0
}

// OnTraffic comes when there are bytes to read.
func (l *Loop) OnTraffic(g gnet.Conn) gnet.Action {
	b, _ := g.Next(-1)
	if c, ok := g.Context().(*conn); ok && !c.closed {
		c.h.Received(b)
	}
	l.Wake()
	return gnet.None
}

// OnClose comes at the end of each connection, also from within our own writes.
func (l *Loop) OnClose(g gnet.Conn, err error) gnet.Action {
	if c, ok := g.Context().(*conn); ok && !c.closed {
		c.closed = true
		l.put(func() { c.h.Closed(ending(err)) })
	}
	return gnet.None
}

// ending is the system's word on the end of a connection.
func ending(err error) link.End {
	switch {
	case err == nil:
		return link.Stopped
	case errors.Is(err, io.EOF):
		return link.Hangup
	case errors.Is(err, unix.ECONNREFUSED):
		return link.Refused
	}
	return link.Broken
}

// conn is a connection.
type conn struct {
	l      *Loop
	g      gnet.Conn
	h      link.Handler
	closed bool
}

func (c *conn) Write(b []byte) {
	if !c.closed && len(b) > 0 {
		_, _ = c.g.Write(b) // its fault ends the connection, which OnClose tells
	}
}

// Close ends the connection after what is written. Its handler hears no more.
func (c *conn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	c.l.put(func() { _ = c.g.EventLoop().Close(c.g) })
}

// Shut ends our side only. Where bytes still wait for the system it is left to Close.
func (c *conn) Shut() {
	if !c.closed && c.g.OutboundBuffered() == 0 {
		_ = unix.Shutdown(c.g.Fd(), unix.SHUT_WR)
	}
}

// Abort closes with a reset: the system drops what the other side has not taken.
func (c *conn) Abort() {
	if !c.closed {
		_ = c.g.SetLinger(0)
		c.Close()
	}
}

func (c *conn) Pending() int {
	if c.closed {
		return 0
	}
	return c.g.OutboundBuffered()
}

// Quiet looks at what the system holds: the loop may not have come to read it yet.
func (c *conn) Quiet() bool {
	if c.closed {
		return false
	}
	var b [1]byte
	_, _, err := unix.Recvfrom(c.g.Fd(), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == unix.EAGAIN
}

// Stop ends the loop; Run returns.
func (l *Loop) Stop() {
	if !l.stopped {
		l.stopped = true
		go func() { _ = l.eng.Stop(context.Background()) }()
	}
}

// logger puts gnet's own lines into the program's form.
type logger struct{}

func (logger) Debugf(string, ...any) {}
func (logger) Infof(string, ...any)  {}
func (logger) Warnf(format string, args ...any) {
	slog.Warn("gnet", "text", fmt.Sprintf(format, args...))
}
func (logger) Errorf(format string, args ...any) {
	slog.Error("gnet", "text", fmt.Sprintf(format, args...))
}
func (logger) Fatalf(format string, args ...any) {
	slog.Error("gnet", "text", fmt.Sprintf(format, args...))
	os.Exit(1)
}
