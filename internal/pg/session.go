// Package pg speaks the clients' protocol: PostgreSQL's 3.0, simple queries only. A session is the object behind a
// client's connection.
package pg

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand"
	"strings"

	"thymeway/internal/coordinator"
	"thymeway/internal/deadline"
	"thymeway/internal/fields"
	"thymeway/internal/link"
	"thymeway/internal/result"
	"thymeway/internal/seats"
	"thymeway/internal/tally"
)

// Error codes of PostgreSQL. Classes 53 and 57P03 say that a new try is harmless: only what surely may be
// refused gets them.
const (
	codeRefused  = "53000" // insufficient_resources
	codeTooMany  = "53300" // too_many_connections
	codeLeaving  = "57P03" // cannot_connect_now
	codeFailed   = "58000" // system_error
	codeCanceled = "57014" // query_canceled
	codeSyntax   = "42601" // syntax_error
	codeProtocol = "08P01" // protocol_violation
	codeFeature  = "0A000" // feature_not_supported
	codeTooLarge = "54000" // program_limit_exceeded
)

// Limits of what a session may take from the others, times in ms.
const (
	firstWithin = 2300.0  // from connecting to the first whole message, and for each later one from its first byte
	faultsFree  = 4       // faulty messages in a row that are answered as fast as they come
	faultPause  = 50.0    // after each further one: a client that repeats it at once would take the turns of others
	mostFaults  = 64      // of them before the session is ended
	mostATurn   = 32      // messages handled in one turn
	mostUnread  = 1 << 20 // bytes that a client may leave unread
	marginMost  = 0.1     // share of a client's limit that the margin for the way back may take
)

// Coordinator is the side that takes the requests.
type Coordinator interface {
	Check(r *coordinator.Request) error
	Take(r *coordinator.Request)
	Drop(r *coordinator.Request)
}

// Sessions are all sessions of the program.
type Sessions struct {
	Coordinator Coordinator
	Deadlines   *deadline.Queue
	Faults      *tally.FaultLog
	Now         func() float64
	Margin      float64 // ms by which an answer is due before the client's limit: the way back
	Seats       *seats.Limiter
	MostInput   int // bytes of a message, and of what waits behind an open query
	Random      *rand.Rand
	Leaving     bool // new queries are refused
	open        map[uint32]*Session
}

// Pending is the number of bytes on their way to all clients that the system has not taken yet.
func (a *Sessions) Pending() (n int) {
	for _, s := range a.open {
		n += s.c.Pending()
	}
	return n
}

// Session is one client's connection.
type Session struct {
	all     *Sessions
	c       link.Conn
	buf     []byte
	started bool
	closed  bool
	busy    bool // messages are being handled
	skip    bool // an extended query failed: messages are passed over up to its Sync
	excess  bool
	paused  bool // until again is due
	faults  int  // in a row
	pid     uint32
	secret  uint32
	req     *coordinator.Request
	seat    *seats.Slot
	late    deadline.Entry // the end of the wait for a whole message
	again   deadline.Entry // when messages are handled again
}

// Accept makes the object behind a new connection.
func (a *Sessions) Accept() *Session {
	if a.open == nil {
		a.open = map[uint32]*Session{}
	}
	s := &Session{all: a}
	s.late.Do = func() { s.fatal("client-slow", codeProtocol, "no whole message in time") }
	s.again.Do = func() {
		s.paused = false
		s.proceed()
	}
	return s
}

// Opened comes first.
func (s *Session) Opened(c link.Conn) {
	a := s.all
	s.c = c
	ok := false
	if s.seat, s.excess, ok = a.Seats.Acquire(s); !ok {
		s.close()
		return
	}
	a.Deadlines.Set(&s.late, a.Now()+firstWithin)
	s.seat.MarkUnused()
}

// Quiet and Push are for the seat.
func (s *Session) InputEmpty() bool { return s.c.Idle() }

// Push makes the session give way.
func (s *Session) Evict() { s.close() }

// Received takes bytes, however they are cut.
func (s *Session) Received(b []byte) {
	if s.closed {
		return
	}
	s.seat.MarkBusy()
	s.buf = append(s.buf, b...)
	s.proceed()
}

// proceed handles the messages that have come whole. Those behind an open query wait for its answer.
func (s *Session) proceed() {
	if s.busy || s.closed { // danger: an answer given at once would handle the same message again
		return
	}
	s.busy = true
	defer func() { s.busy = false }()
	a, used, whole := s.all, 0, true
	for n := 0; s.req == nil && !s.closed && !s.paused; n++ {
		if n == mostATurn { // danger: others wait for this turn to end
			s.pause(0)
			break
		}
		m, size, err := cut(s.buf[used:], s.started, a.MostInput)
		if err != nil {
			code := codeProtocol
			if s.started && err == errTooLarge {
				code = codeTooLarge
			}
			s.fatal("client-garbled", code, err.Error())
			return
		}
		if whole = size > 0; !whole {
			break
		}
		used += size
		if !s.started {
			s.startup(m)
			continue
		}
		a.Deadlines.Cancel(&s.late)
		s.message(m)
	}
	if s.closed {
		return
	}
	s.buf = append(s.buf[:0], s.buf[used:]...)
	switch {
	case len(s.buf) > a.MostInput+5: // danger: a client that writes on and on behind an open query
		s.fatal("client-garbled", codeTooLarge, fmt.Sprintf("over %d bytes behind an open query", a.MostInput))
		return
	case s.c.Pending() > mostUnread:
		s.fatal("client-deaf", codeTooLarge, "answers are not read")
		return
	case len(s.buf) == 0:
		s.buf = nil
		if s.started && s.req == nil {
			s.seat.MarkIdle()
		}
	case !whole && !s.late.Scheduled():
		a.Deadlines.Set(&s.late, a.Now()+firstWithin)
	}
}

// pause puts the next message off.
func (s *Session) pause(span float64) {
	s.paused = true
	s.all.Deadlines.Set(&s.again, s.all.Now()+span)
}

// fault answers a message that can't be used.
func (s *Session) fault(code, text string) {
	s.all.Faults.Add("client-fault", "code", code, "error", text)
	if s.faults++; s.faults > mostFaults {
		s.fail("FATAL", code, text)
		s.close()
		return
	}
	s.fail("ERROR", code, text)
	if s.faults > faultsFree {
		s.pause(faultPause)
	}
}

func (s *Session) startup(m message) {
	switch m.code {
	case sslRequest, gssRequest:
		s.c.Write([]byte{'N'})
	case cancelRequest:
		if len(m.body) == 8 {
			s.all.cancel(binary.BigEndian.Uint32(m.body), binary.BigEndian.Uint32(m.body[4:]))
		}
		s.close()
	case version3:
		s.started = true
		for s.pid == 0 || s.all.open[s.pid] != nil {
			s.pid = uint32(s.all.Random.Int31())
		}
		s.secret = s.all.Random.Uint32()
		s.all.open[s.pid] = s
		var w writer
		w.started(s.pid, s.secret)
		s.c.Write(w.b)
	default:
		s.fatal("client-garbled", codeProtocol, fmt.Sprintf("unsupported protocol %d.%d", m.code>>16, m.code&0xffff))
	}
}

// cancel is a CancelRequest. A wrong key is passed over, as PostgreSQL does.
func (a *Sessions) cancel(pid, secret uint32) {
	s := a.open[pid]
	if s == nil || s.secret != secret || s.req == nil {
		return
	}
	r := s.req
	s.answered()
	a.Coordinator.Drop(r)
	s.fail("ERROR", codeCanceled, "canceling statement due to user request")
	s.proceed()
}

func (s *Session) message(m message) {
	if s.skip && m.kind != 'S' && m.kind != 'X' {
		return
	}
	switch m.kind {
	case 'Q':
		text, ok := strings.CutSuffix(string(m.body), "\x00")
		if !ok || strings.IndexByte(text, 0) >= 0 {
			s.fatal("client-garbled", codeProtocol, "query without its end")
			return
		}
		s.query(text)
	case 'X':
		s.close()
	case 'S':
		s.skip = false
		var w writer
		w.ready()
		s.c.Write(w.b)
	case 'P', 'B', 'D', 'E', 'C', 'F', 'H':
		s.skip = m.kind != 'F' // a function call has no Sync
		var w writer
		w.failure("ERROR", codeFeature, "only simple queries are served")
		if !s.skip {
			w.ready()
		}
		s.c.Write(w.b)
	case 'd', 'c', 'f': // what is left of a copy, as PostgreSQL passes it over
	default:
		s.fatal("client-garbled", codeProtocol, fmt.Sprintf("unknown message %q", m.kind))
	}
}

func (s *Session) query(text string) {
	if strings.Trim(text, " \t\r\n;") == "" {
		var w writer
		w.plain('I')
		w.ready()
		s.c.Write(w.b)
		return
	}
	r, limit, err := fields.Read(text)
	if err == nil {
		err = s.all.Coordinator.Check(r)
	}
	switch {
	case err != nil:
		s.fault(codeSyntax, err.Error())
		return
	case s.all.Leaving:
		s.fail("FATAL", codeLeaving, "the coordinator shuts down")
		s.close()
		return
	case s.excess: // it never goes out, so a new try is harmless
		s.fail("FATAL", codeTooMany, "too many connections, later=500")
		s.close()
		return
	}
	r.Deadline = s.all.Now() + limit - math.Min(s.all.Margin, limit*marginMost)
	r.Client, r.Protocol = s, "postgres"
	s.req, s.faults = r, 0
	s.all.Coordinator.Take(r)
}

// answered takes the open request off the session.
func (s *Session) answered() { s.req = nil }

// fail answers with an error and, if the session goes on, that it is ready.
func (s *Session) fail(severity, code, text string) {
	var w writer
	w.failure(severity, code, text)
	if severity == "ERROR" {
		w.ready()
	}
	s.c.Write(w.b)
}

// Serve answers with a whole result.
func (s *Session) Serve(r *result.Set) {
	s.answered()
	w := writer{b: make([]byte, 0, 1024)}
	w.result(r)
	w.ready()
	s.c.Write(w.b)
	s.proceed()
}

// Refuse answers that a new try is harmless.
func (s *Session) Refuse(comeBack float64) {
	s.answered()
	text := "the worker groups have no room"
	if comeBack > 0 {
		text += fmt.Sprintf(", later=%d", int(math.Ceil(comeBack)))
	}
	s.fail("ERROR", codeRefused, text)
	s.proceed()
}

// Fail answers without a promise.
func (s *Session) Fail(why string) {
	s.answered()
	s.fail("ERROR", codeFailed, why)
	s.proceed()
}

// fatal answers what can't be read, and ends the session. What still comes is not read.
func (s *Session) fatal(event, code, text string) {
	s.all.Faults.Add(event, "code", code, "error", text)
	s.fail("FATAL", code, text)
	s.close()
}

func (s *Session) close() {
	if s.closed {
		return
	}
	s.c.Close()
	s.gone()
}

// Closed comes when the connection ends by itself. Like PostgreSQL, it takes a client that closes its side for one
// that has left: nothing tells a half-closed connection from a closed one.
func (s *Session) Closed(link.EndReason) {
	if !s.closed {
		s.gone()
	}
}

func (s *Session) gone() {
	s.closed, s.buf = true, nil
	s.seat.Release()
	s.all.Deadlines.Cancel(&s.late)
	s.all.Deadlines.Cancel(&s.again)
	if s.started {
		delete(s.all.open, s.pid)
	}
	if r := s.req; r != nil {
		s.answered()
		s.all.Coordinator.Drop(r)
	}
}
