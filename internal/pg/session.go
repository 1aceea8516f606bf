// Package pg speaks the clients' protocol: PostgreSQL's 3.0, simple queries only. A session is the object behind a
// client's connection.
package pg

import (
	"encoding/binary"
	"fmt"
	"log"
	"math"
	"math/rand"
	"strings"

	"thymeway/internal/coordinator"
	"thymeway/internal/link"
	"thymeway/internal/sql"
)

// Error codes of PostgreSQL. Classes 53 and 57P03 say that a new try is harmless: only what surely may be
// refused gets them.
const (
	codeRefused  = "53000" // insufficient_resources
	codeTooMany  = "53300" // too_many_connections
	codeFailed   = "58000" // system_error
	codeCanceled = "57014" // query_canceled
	codeSyntax   = "42601" // syntax_error
	codeProtocol = "08P01" // protocol_violation
	codeFeature  = "0A000" // feature_not_supported
	codeTooLarge = "54000" // program_limit_exceeded
)

// Coordinator is the side that takes the requests.
type Coordinator interface {
	Take(r *coordinator.Request)
	Drop(r *coordinator.Request)
	Knows(class string) bool
}

// Sessions are all sessions of the program.
type Sessions struct {
	Coordinator Coordinator
	Now         func() float64
	Margin      float64 // ms by which an answer is due before the client's limit: the way back
	Most        int     // sessions beyond these are refused
	Random      *rand.Rand
	open        map[uint32]*Session
	count       int
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
	pid     uint32
	secret  uint32
	req     *coordinator.Request
	verb    string
}

// Accept makes the object behind a new connection.
func (a *Sessions) Accept() *Session {
	if a.open == nil {
		a.open = map[uint32]*Session{}
	}
	return &Session{all: a}
}

// Opened comes first.
func (s *Session) Opened(c link.Conn) {
	s.c = c
	s.all.count++
	s.excess = s.all.Most > 0 && s.all.count > s.all.Most
}

// Received takes bytes, however they are cut.
func (s *Session) Received(b []byte) {
	if s.closed {
		return
	}
	s.buf = append(s.buf, b...)
	s.proceed()
}

// proceed handles the messages that have come whole. Those behind an open query wait for its answer.
func (s *Session) proceed() {
	if s.busy { // danger: an answer given at once would handle the same message again
		return
	}
	s.busy = true
	defer func() { s.busy = false }()
	used := 0
	for s.req == nil && !s.closed {
		m, n, err := cut(s.buf[used:], s.started)
		if err != nil {
			code := codeProtocol
			if s.started && n == 0 && len(s.buf[used:]) >= 5 && binary.BigEndian.Uint32(s.buf[used+1:]) > mostMessage {
				code = codeTooLarge
			}
			s.fatal(code, err.Error())
			return
		}
		if n == 0 {
			break
		}
		used += n
		if s.started {
			s.message(m)
		} else {
			s.startup(m)
		}
	}
	s.buf = append(s.buf[:0], s.buf[used:]...)
	if len(s.buf) > mostMessage+5 { // danger: a client that writes on and on behind an open query
		s.fatal(codeTooLarge, fmt.Sprintf("over %d bytes behind an open query", mostMessage))
	}
	if cap(s.buf) > 8192 && len(s.buf) == 0 {
		s.buf = nil
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
		s.fatal(codeProtocol, fmt.Sprintf("unsupported protocol %d.%d", m.code>>16, m.code&0xffff))
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
			s.fatal(codeProtocol, "query without its end")
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
		s.fatal(codeProtocol, fmt.Sprintf("unknown message %q", m.kind))
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
	r, limit, err := read(text)
	if err == nil && !s.all.Coordinator.Knows(r.Class) {
		err = fmt.Errorf("field verb: no class %q", r.Class)
	}
	switch {
	case err != nil:
		s.fail("ERROR", codeSyntax, err.Error())
		return
	case s.excess: // it never goes out, so a new try is harmless
		s.fail("FATAL", codeTooMany, "too many connections, later=500")
		s.close()
		return
	}
	r.Deadline = s.all.Now() + limit - math.Min(s.all.Margin, limit/2)
	r.Client = s
	s.req, s.verb = r, sql.Verb(r.Statement)
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
func (s *Session) Serve(pages [][]byte) {
	s.answered()
	w := writer{b: make([]byte, 0, 1024)}
	w.result(pages, s.verb)
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

// fatal answers what can't be read, and ends the session.
func (s *Session) fatal(code, text string) {
	log.Printf("event=client-garbled code=%s error=%q", code, text)
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
func (s *Session) Closed(link.End) {
	if !s.closed {
		s.gone()
	}
}

func (s *Session) gone() {
	s.closed = true
	s.all.count--
	if s.started {
		delete(s.all.open, s.pid)
	}
	if r := s.req; r != nil {
		s.answered()
		s.all.Coordinator.Drop(r)
	}
}
