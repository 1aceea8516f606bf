package rest

import (
	"log"

	"thymeway/internal/deadline"
	"thymeway/internal/link"
)

// call is one call to a worker group. done comes once, unless the call is dropped.
type call struct {
	g       *group
	build   func() []byte // the bytes, made when they are written; nil calls it off
	within  float64       // ms for the answer, from when the call is written
	done    func(r *reply, e link.End)
	written bool
	wire    *wire          // what it was written to
	timer   deadline.Entry // for a connection, then for the answer
}

// group is a worker group's connections and the calls that wait for one.
type group struct {
	f       *Fleet
	id      string
	addr    string
	gone    bool
	idle    []*wire // the last used last
	waiting []*call // in the order in which they came
	dialing int
}

// wire is a connection to a worker group.
type wire struct {
	g      *group
	addr   string
	c      link.Conn
	parser parser
	call   *call
	timer  deadline.Entry // closes it when idle for long
}

// start writes a call to an idle connection, or waits for one that comes up or falls free.
func (g *group) start(c *call) {
	c.g = g
	if n := len(g.idle); n > 0 {
		w := g.idle[n-1]
		g.idle = g.idle[:n-1]
		w.write(c)
		return
	}
	c.timer.Do = func() { g.fail(c, link.Unreached) }
	g.f.Deadlines.Set(&c.timer, g.f.Now()+g.f.ConnectTimeout)
	g.waiting = append(g.waiting, c)
	if g.dialing < len(g.waiting) {
		g.dial()
	}
}

func (g *group) dial() {
	if !g.f.room() {
		return // the call takes a connection that falls free, or runs out of time
	}
	g.dialing++
	g.f.wires++
	g.f.Dialer.Dial(g.addr, &wire{g: g, addr: g.addr})
}

// fail ends a call that still waits for a connection.
func (g *group) fail(c *call, e link.End) {
	if g.forget(c) {
		c.done(nil, e)
	}
}

// forget takes a call from the line.
func (g *group) forget(c *call) bool {
	for i, x := range g.waiting {
		if x == c {
			g.waiting = append(g.waiting[:i:i], g.waiting[i+1:]...)
			g.f.Deadlines.Clear(&c.timer)
			return true
		}
	}
	return false
}

// drop makes a call come to nothing. What was written is answered on its connection, and nobody looks.
func (c *call) drop() {
	if !c.g.forget(c) {
		c.done = func(*reply, link.End) {}
	}
}

func (w *wire) write(c *call) {
	f := w.g.f
	f.Deadlines.Clear(&w.timer)
	b := c.build()
	if b == nil {
		w.rest()
		c.done(nil, link.Unreached)
		return
	}
	w.call, c.written, c.wire = c, true, w
	c.timer.Do = func() {
		// Danger: a machine that is cut off keeps its connections open and says nothing.
		w.c.Close()
		w.end(link.Silent)
	}
	f.Deadlines.Set(&c.timer, f.Now()+c.within)
	w.c.Write(b)
}

// rest takes the next call, or waits for one.
func (w *wire) rest() {
	g := w.g
	if g.gone || w.addr != g.addr {
		w.c.Close()
		g.f.wires--
		return
	}
	if len(g.waiting) > 0 {
		c := g.waiting[0]
		g.forget(c)
		w.write(c)
		return
	}
	g.idle = append(g.idle, w)
	w.timer.Do = func() {
		if w.unidle() {
			w.c.Close()
			g.f.wires--
		}
	}
	g.f.Deadlines.Set(&w.timer, g.f.Now()+g.f.ConnIdle)
}

func (w *wire) unidle() bool {
	w.g.f.Deadlines.Clear(&w.timer)
	for i, x := range w.g.idle {
		if x == w {
			w.g.idle = append(w.g.idle[:i:i], w.g.idle[i+1:]...)
			return true
		}
	}
	return false
}

// Opened comes when the connection is up.
func (w *wire) Opened(c link.Conn) {
	w.g.dialing--
	w.c = c
	w.rest()
}

// Received takes a part of an answer.
func (w *wire) Received(b []byte) {
	var r *reply
	var err error
	if w.call != nil {
		r, err = w.parser.take(b)
	}
	if err != nil || w.call == nil {
		log.Printf("event=engine-garbled engine=%s addr=%s bytes=%d err=%q", w.g.id, w.addr, len(b), errText(err))
		w.c.Close()
		w.unidle()
		w.end(link.Garbled)
		return
	}
	if r == nil {
		return
	}
	c := w.call
	w.call = nil
	w.g.f.Deadlines.Clear(&c.timer)
	if r.close {
		w.c.Close()
		w.g.f.wires--
	}
	// The answer goes first: what it asks next goes to this connection, and not to a new one.
	if !r.close {
		w.rest()
	}
	c.done(r, link.Served)
}

func errText(err error) string {
	if err == nil {
		return "bytes that no call asked for"
	}
	return err.Error()
}

// Closed comes when the connection ends by itself, or did not come up.
func (w *wire) Closed(e link.End) {
	if w.c == nil {
		w.g.dialing--
		w.g.f.wires--
		// The first in line stands for those that this connection was opened for.
		if g := w.g; len(g.waiting) > g.dialing && len(g.waiting) > 0 {
			if w.addr != g.addr { // it has moved meanwhile
				g.dial()
				return
			}
			g.fail(g.waiting[0], e)
		}
		return
	}
	w.unidle()
	w.end(e)
}

// end is the end of an open connection, whoever caused it.
func (w *wire) end(e link.End) {
	w.g.f.wires--
	if c := w.call; c != nil {
		w.call = nil
		w.g.f.Deadlines.Clear(&c.timer)
		c.done(nil, e)
	}
}
