package rest

import (
	"maps"
	"slices"

	"thymeway/internal/deadline"
	"thymeway/internal/directory"
	"thymeway/internal/link"
	"thymeway/internal/logs"
)

// call is one call to a worker group. done comes once, unless the call is dropped.
type call struct {
	g       *group
	build   func() []byte // the bytes, made when they are written; nil calls it off
	within  float64       // ms for the answer, from when the call is written
	done    func(r *reply, e link.End)
	late    func(r *reply) // after done told of silence: the answer that came all the same; nil: none is looked at
	stays   bool           // it concerns a query that may run there: it waits for an open connection
	asks    *query         // the query that it keeps alive: its connection is kept until it is known what became of it
	wrote   float64        // when it was written
	wire    int            // the connection that it was written to, for the log
	after   bool           // it was written when its query's POST had come, or was known never to come
	settled bool           // it has come, or never will
	timer   deadline.Entry // for a connection, then for the answer
}

// group is a worker group's connections and the calls that wait for one.
type group struct {
	directory.Place
	f        *Fleet
	idle     []*wire // the last used last
	held     *wire   // whose answer is being taken
	waiting  []*call // in the order in which they came
	dialing  int
	pausing  int            // connections that will be free in a moment
	wires    int            // connections, those on their way too
	kept     []*wire        // that fell silent under a call that keeps a query alive, the first one first
	reopen   deadline.Entry // set after a refusal: no connection is asked for before
	broken   int            // connections in a row that were reset as they came up
	ranAt    float64        // when the latest call was written that was answered: the process ran then or later
	refuses  bool           // its latest connection was refused: it does not hang with an open listener
	attempts int
	queries  map[string]*query // by the request's id
}

// wire is a connection to a worker group.
type wire struct {
	g       *group
	number  int // for the log
	addr    string
	c       link.Conn
	parser  parser
	call    *call
	begun   bool // a part of an answer has come
	deaf    bool // what comes is of no use: it is kept for its end only
	pausing bool
	timer   deadline.Entry // ends its pause, or closes it when idle for long
}

// start writes a call to an idle connection, or waits for one that comes up or falls free.
func (g *group) start(c *call) {
	c.g = g
	if g.Addr == "" { // its process has ended: another one listens there
		c.done(nil, link.Refused)
		return
	}
	if w := g.held; w != nil {
		g.held = nil
		w.write(c)
		return
	}
	for n := len(g.idle); n > 0; n = len(g.idle) {
		w := g.idle[n-1]
		w.unidle()
		// Danger: what came since, a reset or bytes that belong to no call, would spoil this one.
		if w.c.Quiet() {
			w.write(c)
			return
		}
		w.close()
	}
	c.timer.Do = func() {
		e := link.Unreached
		if g.dialing == 0 {
			e = link.Crowded
		}
		g.fail(c, e)
	}
	g.f.Deadlines.Set(&c.timer, g.f.Now()+g.f.ConnectTimeout)
	g.waiting = append(g.waiting, c)
	g.dial()
}

// dial opens a connection for a call that waits and has none on its way, if there is room for one. Else the call
// takes one that falls free, or runs out of time.
func (g *group) dial() {
	if g.dialing+g.pausing >= len(g.waiting) || g.reopen.Waits() || !g.f.room() {
		return
	}
	g.dialing++
	g.wires++
	g.f.wires++
	g.f.dials++
	g.f.Dialer.Dial(g.Addr, &wire{g: g, number: g.f.dials, addr: g.Addr})
}

// fail ends a call that still waits for a connection.
func (g *group) fail(c *call, e link.End) {
	if g.forget(c) {
		c.done(nil, e)
	}
}

// refuse ends the first call that a connection was opened for. Danger: one that drains refuses connections and runs
// its queries on; what concerns those waits for a connection that is open.
func (g *group) refuse(e link.End) {
	for _, c := range g.waiting {
		if !c.stays || e != link.Refused || g.replaced() {
			g.fail(c, e)
			return
		}
	}
}

// replaced tells whether another process listens at the address: the one before has ended. Danger: a refusal proves no
// such thing, as one that drains refuses too and runs its queries on; nor do connections that were reset.
func (g *group) replaced() bool { return g.Addr == "" }

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

// withdraw ends the attempts that still wait for a connection: the worker group takes nothing new.
func (g *group) withdraw() {
	for _, id := range slices.Sorted(maps.Keys(g.queries)) {
		for _, a := range slices.Clone(g.queries[id].attempts) {
			if a.postedAt == 0 {
				a.finish(link.Over)
			}
		}
	}
}

// Left tells whether nothing of the group's is open or out.
func (g *group) Left() bool { return g.wires == 0 && g.attempts == 0 && len(g.waiting) == 0 }

// Lose ends what waits, and what was given up: another one has the group's address.
func (g *group) Lose() {
	for _, id := range slices.Sorted(maps.Keys(g.queries)) {
		for _, a := range slices.Clone(g.queries[id].attempts) {
			if a.cancelled {
				a.finish(a.reason)
			}
		}
	}
	for len(g.waiting) > 0 {
		g.fail(g.waiting[0], link.Refused)
	}
}

// Leave makes nothing of the group's be used any more: it has gone, or another one has its address.
func (g *group) Leave() {
	for len(g.idle) > 0 {
		w := g.idle[0]
		w.unidle()
		w.close()
	}
}

// drop makes a call come to nothing. What was written is answered on its connection, and nobody looks.
func (c *call) drop() {
	if !c.g.forget(c) {
		c.done = func(*reply, link.End) {}
	}
}

// waits tells whether a call still waits for a connection.
func (c *call) waits() bool { return slices.Contains(c.g.waiting, c) }

func (w *wire) write(c *call) {
	f := w.g.f
	b := c.build()
	if b == nil {
		w.rest(0)
		c.done(nil, link.Unreached)
		return
	}
	w.call, c.wrote, c.wire = c, f.Now(), w.number
	c.timer.Do = func() {
		// Danger: a machine that is cut off keeps its connections open and says nothing.
		if c.asks == nil {
			w.close()
			w.end(link.Silent)
			return
		}
		done := c.done
		c.done = func(r *reply, _ link.End) {
			if r != nil && c.late != nil {
				c.late(r)
			}
		}
		w.keep()
		done(nil, link.Silent)
	}
	f.Deadlines.Set(&c.timer, f.Now()+c.within)
	if c.asks != nil {
		c.asks.written()
	}
	w.c.Write(b)
}

// keep leaves a connection open whose call has no answer yet. Danger: the system goes on sending what was written to a
// connection that we close, and never tells what became of it; a query would start, or live on, once the way is clear.
func (w *wire) keep() {
	g := w.g
	g.kept = append(g.kept, w)
	w.timer.Do = func() {
		w.abort()
		g.f.serve()
		g.f.forget(g)
	}
	g.f.Deadlines.Set(&w.timer, g.f.Now()+keptMost)
}

// unkeep ends that.
func (w *wire) unkeep() {
	if i := slices.Index(w.g.kept, w); i >= 0 {
		w.g.kept = slices.Delete(w.g.kept, i, i+1)
		w.g.f.Deadlines.Clear(&w.timer)
	}
}

// abort has the system send nothing more of what was written. What is on the network still may come for a while.
func (w *wire) abort() {
	f := w.g.f
	f.Faults.Add("engine-aborted", "engine", w.g.ID, "addr", w.addr, "silent", f.Now()-w.call.wrote)
	w.c.Abort()
	w.off()
	c := w.call
	w.call = nil
	c.timer.Do = c.settle
	f.Deadlines.Set(&c.timer, f.Now()+segmentLife)
}

// rest takes the next call after a pause, or waits for one.
func (w *wire) rest(pause float64) {
	g := w.g
	if g.Gone || w.addr != g.Addr {
		w.close()
		return
	}
	if pause > 0 {
		w.pausing = true
		g.pausing++
		w.timer.Do = func() {
			w.awake()
			if w.c.Quiet() {
				w.rest(0)
			} else {
				w.close()
			}
		}
		g.f.Deadlines.Set(&w.timer, g.f.Now()+pause)
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
		w.unidle()
		w.close()
	}
	g.f.Deadlines.Set(&w.timer, g.f.Now()+g.f.ConnIdle)
	g.f.serve()
}

// awake ends the pause.
func (w *wire) awake() {
	if w.pausing {
		w.pausing = false
		w.g.pausing--
	}
}

func (w *wire) unidle() {
	w.g.f.Deadlines.Clear(&w.timer)
	for i, x := range w.g.idle {
		if x == w {
			w.g.idle = append(w.g.idle[:i:i], w.g.idle[i+1:]...)
			return
		}
	}
}

// close ends an open connection from our side.
func (w *wire) close() {
	w.c.Close()
	w.gone()
}

// gone lets others have the place of a connection that is none any more.
func (w *wire) gone() {
	w.off()
	w.g.f.serve()
	w.g.f.forget(w.g)
}

func (w *wire) off() {
	w.awake()
	w.unkeep()
	w.g.f.Deadlines.Clear(&w.timer)
	w.g.wires--
	w.g.f.wires--
}

// Opened comes when the connection is up.
func (w *wire) Opened(c link.Conn) {
	w.g.dialing--
	w.g.refuses = false
	w.c = c
	w.rest(0)
	w.g.reached()
}

// Received takes a part of an answer.
func (w *wire) Received(b []byte) {
	f := w.g.f
	if w.deaf {
		return
	}
	if w.call == nil {
		f.Faults.Add("engine-unasked", "engine", w.g.ID, "addr", w.addr, "bytes", len(b))
		w.unidle()
		w.close()
		return
	}
	r, err := w.parser.take(b)
	if err != nil {
		f.Faults.Add("engine-garbled", "engine", w.g.ID, "addr", w.addr, "bytes", len(b), "error", err)
		w.garbled()
		return
	}
	if r == nil {
		if !w.begun && !slices.Contains(w.g.kept, w) { // danger: an answer that stops short looks like one that takes its time
			w.begun = true
			f.Deadlines.Set(&w.call.timer, f.Now()+restWithin)
		}
		return
	}
	w.begun = false
	w.unkeep()
	c := w.call
	w.call = nil
	f.Deadlines.Clear(&c.timer)
	w.g.broken, w.g.ranAt = 0, max(w.g.ranAt, c.wrote)
	c.settle()
	if r.close {
		w.close()
		c.done(r, link.Served)
		return
	}
	// The answer goes first: what it asks next goes to this connection, and not to a new one.
	w.g.held = w
	c.done(r, link.Served)
	if w.g.held != w {
		return
	}
	w.g.held = nil
	if r.status == 202 {
		w.rest(0)
	} else { // danger: a second copy of it may follow, and would be read as the next answer: as an end, as a DELETE's
		w.rest(extraWithin)
	}
}

// garbled ends a connection with bytes that can't be read. They are no word on the call, which may still be on its way:
// the other side's end of the connection, behind ours, tells that it has read or will never read it.
func (w *wire) garbled() {
	c := w.call
	if c.asks == nil {
		w.close()
		w.end(link.Garbled)
		return
	}
	w.deaf = true
	w.c.Shut()
	w.g.f.Deadlines.Clear(&c.timer)
	if !slices.Contains(w.g.kept, w) {
		w.keep()
	}
	done := c.done
	c.done = func(*reply, link.End) {}
	done(nil, link.Garbled)
}

// spoil ends the connection whose answer is being taken: it is of no further use.
func (g *group) spoil() {
	if w := g.held; w != nil {
		g.held = nil
		w.close()
	}
}

// Closed comes when the connection ends by itself, or did not come up.
func (w *wire) Closed(e link.End) {
	if w.c != nil {
		late := slices.Contains(w.g.kept, w)
		w.unidle()
		w.gone()
		c := w.call
		if c != nil && c.asks != nil {
			logs.Trace("closed-under", c.asks.id, "engine", w.g.ID, "end", e, "after", w.g.f.Now()-c.wrote)
			if !late {
				c.settle()
			}
		}
		w.end(e)
		if late {
			// Danger: a cut that ends may reset a connection ahead of what was held up on the way.
			c.timer.Do = c.settle
			w.g.f.Deadlines.Set(&c.timer, w.g.f.Now()+w.g.f.ConnectTimeout)
		}
		return
	}
	g := w.g
	g.dialing--
	w.off()
	g.refuses = e == link.Refused
	if g.refuses {
		g.reopen.Do = g.dial
		g.f.Deadlines.Set(&g.reopen, g.f.Now()+refusedPause)
	}
	// The first in line stands for those that this connection was opened for.
	if len(g.waiting) > g.dialing && w.addr == g.Addr {
		// One that was reset as it came up tells nothing of the worker group: another one is opened.
		if g.broken++; e == link.Refused || e == link.Unreached || g.broken > mostBroken {
			g.refuse(e)
		}
	}
	g.f.serve()
	g.f.forget(g)
}

// end tells the call of a connection that has ended.
func (w *wire) end(e link.End) {
	if c := w.call; c != nil {
		w.call = nil
		w.g.f.Deadlines.Clear(&c.timer)
		c.done(nil, e)
	}
}
