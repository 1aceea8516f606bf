package chengine

import (
	"bytes"
	"errors"
	"strings"

	"thymeway/internal/deadline"
	"thymeway/internal/directory"
	"thymeway/internal/http1"
	"thymeway/internal/link"
)

// answer is one whole answer of an engine.
type answer struct {
	*http1.Head
	body []byte
}

// call is a request to an engine. done comes once, unless the call is dropped.
type call struct {
	build    func() []byte // the bytes, made when they are written; nil calls it off
	within   float64       // ms for the answer, from when it is written
	most     int           // bytes of the answer's body
	written  bool
	progress func(value string) // of an answer whose head is not whole yet; may be nil
	done     func(a *answer, e link.EndReason)
	wire     *wire
	timer    deadline.Entry
}

// drop makes a call come to nothing. Its connection is of no further use, as its answer may still come.
func (c *call) drop() {
	c.done = func(*answer, link.EndReason) {}
	if w := c.wire; w != nil {
		w.finish()
	}
}

// engine is one server and its connections.
type engine struct {
	directory.Record
	f        *Fleet
	kind     string
	idle     []*wire // the last used last
	wires    int
	open     int
	attempts int
}

// wire is a connection, and the one call on it.
type wire struct {
	e       *engine
	addr    string
	c       link.Conn
	call    *call
	buf     []byte
	seen    int // bytes of buf that were looked at for progress
	head    *http1.Head
	body    *http1.BodyDecoder
	got     []byte
	holds   int // bytes of it that count for the fleet
	interim int
	over    bool
	timer   deadline.Entry
}

const (
	headMost    = 64 << 10 // bytes of a head: progress comes in it
	interimMost = 16
)

// start writes a call to an idle connection, or to one that it opens.
func (e *engine) start(c *call) {
	if e.Addr == "" { // its process has ended: another one listens there
		c.done(nil, link.ConnRefused)
		return
	}
	for n := len(e.idle); n > 0; n = len(e.idle) {
		w := e.idle[n-1]
		e.idle = e.idle[:n-1]
		e.f.Deadlines.Cancel(&w.timer)
		if w.c.Idle() { // danger: what came since would spoil this call
			w.write(c)
			return
		}
		w.finish()
	}
	if !e.f.room() {
		c.done(nil, link.NoDescriptor)
		return
	}
	w := &wire{e: e, addr: e.Addr, call: c}
	c.wire = w
	e.wires++
	e.f.wires++
	e.f.Dialer.Dial(e.Addr, w)
}

// room tells whether one more connection may be opened, closing an idle one if that makes room.
func (f *Fleet) room() bool {
	if f.wires < f.MostWires {
		return true
	}
	for _, e := range f.engines.All() {
		if len(e.idle) > 0 {
			e.idle[0].finish()
			return true
		}
	}
	return false
}

// Left tells whether nothing of the engine's is open or out.
func (e *engine) Unused() bool { return e.wires == 0 && e.attempts == 0 }

// Lose has nothing to end: each call has a connection of its own, which finds out as it comes up.
func (e *engine) AddressTaken() {}

// Leave closes what is idle.
func (e *engine) CloseIdle() {
	for len(e.idle) > 0 {
		e.idle[0].finish()
	}
}

func (w *wire) write(c *call) {
	f := w.e.f
	b := c.build()
	if b == nil {
		w.call, c.wire = nil, nil
		w.rest()
		c.done(nil, link.Unreachable)
		return
	}
	w.call, c.wire, c.written = c, w, true
	c.timer.Do = func() { w.end(link.NoAnswer) }
	f.Deadlines.Set(&c.timer, f.Now()+c.within)
	w.c.Write(b)
}

// rest keeps the connection for the next call.
func (w *wire) rest() {
	e := w.e
	if e.Removed || w.addr != e.Addr {
		w.finish()
		return
	}
	e.idle = append(e.idle, w)
	w.timer.Do = w.finish
	e.f.Deadlines.Set(&w.timer, e.f.Now()+e.f.ConnIdle)
}

// finish closes the connection and gives its place up.
func (w *wire) finish() {
	if w.over {
		return
	}
	if w.c != nil {
		w.c.Close()
	}
	w.off()
}

func (w *wire) off() {
	w.over = true
	w.hold(0)
	e := w.e
	e.f.Deadlines.Cancel(&w.timer)
	for i, x := range e.idle {
		if x == w {
			e.idle = append(e.idle[:i:i], e.idle[i+1:]...)
			break
		}
	}
	if c := w.call; c != nil {
		e.f.Deadlines.Cancel(&c.timer)
		c.wire = nil
	}
	if w.c != nil {
		e.open--
	}
	e.wires--
	e.f.wires--
	e.f.engines.RemoveIfUnused(e)
}

// end closes the connection and tells its call how it ended.
func (w *wire) end(why link.EndReason) {
	c := w.call
	w.finish()
	w.call = nil
	if c != nil {
		c.done(nil, why)
	}
}

// Opened comes when the connection is up.
func (w *wire) Opened(c link.Conn) {
	w.c = c
	w.e.open++
	if w.over || w.call == nil { // its call was dropped on the way
		w.e.open--
		c.Close()
		return
	}
	if w.addr != w.e.Addr { // danger: another engine listens there by now
		w.end(link.ConnRefused)
		return
	}
	w.write(w.call)
}

// Closed comes when the connection ends by itself, or did not come up.
func (w *wire) Closed(why link.EndReason) {
	if w.over {
		return
	}
	c := w.call
	w.off()
	w.call = nil
	if c != nil {
		c.done(nil, why)
	}
}

// Received takes a part of an answer.
func (w *wire) Received(b []byte) {
	f := w.e.f
	if w.over {
		return
	}
	if w.call == nil {
		f.Faults.Add("engine-unasked", "engine", w.e.ID, "addr", w.addr, "bytes", len(b))
		w.finish()
		return
	}
	a, err := w.take(b)
	if errors.Is(err, errNoRoom) {
		f.Faults.Add("result-no-room", "engine", w.e.ID, "bytes", len(w.got))
		w.end(link.NoDescriptor)
		return
	}
	if err != nil {
		f.Faults.Add("engine-garbled", "engine", w.e.ID, "addr", w.addr, "error", err)
		w.end(link.Malformed)
		return
	}
	if a == nil {
		return
	}
	c := w.call
	w.call, c.wire = nil, nil
	f.Deadlines.Cancel(&c.timer)
	if a.Close || len(w.buf) > 0 {
		w.finish()
	} else {
		w.rest()
	}
	c.done(a, link.Served)
}

// take adds bytes, tells of progress, and gives the answer that they complete.
func (w *wire) take(b []byte) (*answer, error) {
	w.buf = append(w.buf, b...)
	for w.head == nil {
		h, n, err := http1.ParseResponse(w.buf, http1.Limits{MaxBytes: headMost})
		if errors.Is(err, http1.ErrIncomplete) {
			w.look()
			return nil, nil
		}
		if err != nil {
			return nil, err
		}
		w.buf, w.seen = append(w.buf[:0], w.buf[n:]...), 0
		if h.Status/100 == 1 {
			if w.interim++; w.interim > interimMost || h.Status == 101 {
				return nil, errors.New("interim answers")
			}
			continue
		}
		if w.body, err = h.NewBodyDecoder(int64(w.call.most)); err != nil {
			return nil, err
		}
		w.head = h
	}
	got, used, err := w.body.DecodeAll(w.got, w.buf)
	w.got = got
	w.buf = append(w.buf[:0], w.buf[used:]...)
	// Danger: each result is bounded, but those of all attempts together are not.
	if f := w.e.f; f.MostHeld > 0 && f.held-w.holds+len(got) > f.MostHeld {
		return nil, errNoRoom
	}
	w.hold(len(got))
	if err != nil || !w.body.Done() {
		return nil, err
	}
	w.hold(0)
	a := &answer{w.head, w.got}
	w.head, w.body, w.got, w.interim = nil, nil, nil, 0
	if cap(w.buf) > 8<<10 {
		w.buf = append([]byte(nil), w.buf...)
	}
	return a, nil
}

var errNoRoom = errors.New("no room for the result beside those of others")

func (w *wire) hold(n int) {
	w.e.f.held += n - w.holds
	w.holds = n
}

// look finds the lines of progress in a head that is not whole yet.
func (w *wire) look() {
	for w.call != nil && w.call.progress != nil {
		i := bytes.IndexByte(w.buf[w.seen:], '\n')
		if i < 0 {
			return
		}
		name, value, _ := strings.Cut(string(w.buf[w.seen:w.seen+i]), ":")
		w.seen += i + 1
		if strings.EqualFold(name, "X-ClickHouse-Progress") {
			w.call.progress(strings.TrimSpace(value))
		}
	}
}
