// Package pg serves clients over version 3.0 of the PostgreSQL protocol, for simple queries only.
package pg

import (
	"encoding/binary"
	"fmt"
	"math"
	"math/rand"
	"strings"

	"thymeway/internal/arrival"
	"thymeway/internal/connlimit"
	"thymeway/internal/coordinator"
	"thymeway/internal/deadline"
	"thymeway/internal/faultlog"
	"thymeway/internal/membudget"
	"thymeway/internal/queryfields"
	"thymeway/internal/result"
	"thymeway/internal/transport"
)

// SQLSTATE codes sent to clients. Class 53 and 57P03 tell the client that a retry is harmless, so they are sent only where
// that is certain.
const (
	codeRefused      = "53000" // insufficient_resources
	codeTooManyConns = "53300" // too_many_connections
	codeNoMemory     = "53200" // out_of_memory
	codeShuttingDown = "57P03" // cannot_connect_now
	codeFailed       = "58000" // system_error
	codeCanceled     = "57014" // query_canceled
	codeSyntax       = "42601" // syntax_error
	codeProtocol     = "08P01" // protocol_violation
	codeFeature      = "0A000" // feature_not_supported
	codeTooLarge     = "54000" // program_limit_exceeded
)

// Limits that keep one session from taking resources from the others. Times are in ms.
const (
	messageTimeout     = 2300.0  // to receive a message: the first from connecting on, each later one from its first byte on
	maxUndelayedFaults = 4       // invalid queries in a row that are answered without delay
	faultDelay         = 50.0    // after each further invalid query; immediate repeats would occupy the event loop
	maxFaults          = 64      // invalid queries in a row after which the session is closed
	maxMessagesPerTurn = 32      // messages of a session handled in one event-loop turn
	maxUnreadBytes     = 1 << 20 // bytes of answers that a client may leave unread, beside its latest result
	maxMarginShare     = 0.1     // share of a client's time limit that the answer margin may take
)

// Coordinator processes requests. Check validates a request and returns the error for the client. Submit accepts a request; the
// answer is one call to a method of its Client. Drop withdraws an accepted request, which then gets no answer.
type Coordinator interface {
	Check(r *coordinator.Request) error
	Submit(r *coordinator.Request)
	Drop(r *coordinator.Request)
}

// Server serves PostgreSQL clients. It holds all sessions and the state and settings that they share.
type Server struct {
	Coordinator   Coordinator
	Deadlines     *deadline.Queue
	Faults        *faultlog.FaultLog
	Now           func() float64 // ms, on the clock of Deadlines
	AnswerMargin  float64        // ms by which the answer is due before the client's time limit, to allow for its transfer
	ConnLimiter   *connlimit.Limiter
	MaxInputBytes int // largest size of a message, and of the messages that wait for the end of an open query
	MaxHeldBytes  int // bytes of large messages and queries that all sessions together may hold; 0: no limit
	Random        *rand.Rand
	ShuttingDown  bool                // new queries are rejected
	sessions      map[uint32]*Session // started sessions, by process id
	held          membudget.Budget    // bytes of large messages and queries that all sessions hold
}

// Pending returns the number of bytes to all clients that the system has not accepted yet.
func (srv *Server) Pending() (n int) {
	for _, s := range srv.sessions {
		n += s.conn.Pending()
	}
	return n
}

// Session is one client's connection.
type Session struct {
	server       *Server
	conn         transport.Conn
	input        []byte
	arrivals     arrival.Times // of the input
	moreComplete bool          // while shutting down: a complete message follows the one being handled
	arrivedAt    float64       // when the message being handled had arrived
	started      bool
	closed       bool
	finishing    bool   // the session has ended, and its connection ends once its last answer is sent
	answerBytes  int    // of the latest result
	processing   bool   // processInput is running
	skipToSync   bool   // an extended query was rejected: messages are ignored up to its Sync
	overLimit    bool   // the limit of connections is exceeded: queries are rejected
	paused       bool   // messages are not handled until resumeTimer is due
	faultsInRow  int    // invalid queries since the last valid one
	pid          uint32 // process id and secret key of the session, for CancelRequest
	secret       uint32
	request      *coordinator.Request // the open query; nil: none
	slot         *connlimit.Slot
	held         membudget.Share // bytes of this session's large messages and query
	messageTimer deadline.Entry  // ends the wait for a complete message
	resumeTimer  deadline.Entry  // ends a pause
}

// Accept returns the session for a new connection.
func (srv *Server) Accept() *Session {
	if srv.sessions == nil {
		srv.sessions = map[uint32]*Session{}
	}
	s := &Session{server: srv, held: membudget.Share{Budget: &srv.held}}
	s.messageTimer.Do = func() { s.failSession("client-slow", codeProtocol, "no whole message in time") }
	s.resumeTimer.Do = func() {
		s.paused = false
		s.processInput()
	}
	return s
}

// Opened implements transport.Handler.
func (s *Session) Opened(c transport.Conn) {
	srv := s.server
	s.conn = c
	ok := false
	if s.slot, s.overLimit, ok = srv.ConnLimiter.Acquire(s); !ok {
		s.close()
		return
	}
	srv.Deadlines.Set(&s.messageTimer, srv.Now()+messageTimeout)
	s.slot.MarkUnused()
}

// InputEmpty implements connlimit.Connection: it reports whether the connection is open, has no unread input and all is sent.
func (s *Session) InputEmpty() bool { return s.conn.Idle() && s.conn.Pending() == 0 }

// Evict implements connlimit.Connection: it closes the session in favor of a new connection.
func (s *Session) Evict() { s.close() }

// Received implements transport.Handler. A message may arrive in any number of pieces.
func (s *Session) Received(b []byte) {
	if s.closed {
		return
	}
	s.slot.MarkBusy()
	s.input = append(s.input, b...)
	s.arrivals.Add(len(s.input), s.server.Now(), s.request != nil || s.paused)
	if s.reserveMemory() {
		s.processInput()
	}
}

// processInput handles the complete messages of the input. While a query is open, the messages after it wait for its answer.
func (s *Session) processInput() {
	// A query that is answered at once calls processInput again. Without this check, that call would handle the same message a
	// second time.
	if s.processing || s.closed {
		return
	}
	s.processing = true
	defer func() { s.processing = false }()
	srv, consumed, complete := s.server, 0, true
	for handled := 0; s.request == nil && !s.closed && !s.paused; handled++ {
		if handled == maxMessagesPerTurn { // without this pause, a flood of messages would make all other sessions wait
			s.pause(0)
			break
		}
		m, size, err := parseMessage(s.input[consumed:], s.started, srv.MaxInputBytes)
		if err != nil {
			code := codeProtocol
			if s.started && err == errMessageTooLarge {
				code = codeTooLarge
			}
			s.failSession("client-garbled", code, err.Error())
			return
		}
		if complete = size > 0; !complete {
			break
		}
		consumed += size
		s.arrivedAt = s.arrivals.Take(size, srv.Now())
		if !s.started {
			s.handleStartup(m)
			continue
		}
		srv.Deadlines.Cancel(&s.messageTimer)
		s.moreComplete = srv.ShuttingDown && s.hasCompleteMessage(consumed)
		s.handleMessage(m)
	}
	if s.closed {
		return
	}
	s.input = append(s.input[:0], s.input[consumed:]...)
	if !s.reserveMemory() {
		return
	}
	switch {
	case len(s.input) > srv.MaxInputBytes+5: // a client that keeps sending while a query is open would exhaust the memory
		s.failSession("client-garbled", codeTooLarge, fmt.Sprintf("over %d bytes behind an open query", srv.MaxInputBytes))
		return
	case s.conn.Pending() > maxUnreadBytes+s.answerBytes:
		s.failSession("client-deaf", codeTooLarge, "answers are not read")
		return
	case len(s.input) == 0:
		s.input = nil
		if s.started && s.request == nil {
			s.slot.MarkIdle()
		}
	case !complete && !s.messageTimer.Scheduled():
		srv.Deadlines.Set(&s.messageTimer, srv.Now()+messageTimeout)
	}
}

// hasCompleteMessage reports whether a complete message starts at an offset of the input.
func (s *Session) hasCompleteMessage(offset int) bool {
	_, size, err := parseMessage(s.input[offset:], true, s.server.MaxInputBytes)
	return err == nil && size > 0
}

// pause stops handling messages for a period in ms. A period of 0 lasts until the next turn.
func (s *Session) pause(period float64) {
	s.paused = true
	s.server.Deadlines.Set(&s.resumeTimer, s.server.Now()+period)
}

// rejectQuery answers an invalid query with an error. If a client sends many invalid queries in a row, it delays the messages
// after them and finally closes the session.
func (s *Session) rejectQuery(code, text string) {
	s.server.Faults.Add("client-fault", "code", code, "error", text)
	if s.faultsInRow++; s.faultsInRow > maxFaults {
		s.sendError("FATAL", code, text)
		s.finish()
		return
	}
	s.sendError("ERROR", code, text)
	if s.faultsInRow > maxUndelayedFaults {
		s.pause(faultDelay)
	}
}

// handleStartup handles a message before the start of the session.
func (s *Session) handleStartup(m message) {
	switch m.code {
	case sslRequestCode, gssRequestCode:
		s.conn.Write([]byte{'N'})
	case cancelRequestCode:
		if len(m.body) == 8 {
			s.server.cancelQuery(binary.BigEndian.Uint32(m.body), binary.BigEndian.Uint32(m.body[4:]))
		}
		s.close()
	case protocolVersion3:
		s.started = true
		for s.pid == 0 || s.server.sessions[s.pid] != nil {
			s.pid = uint32(s.server.Random.Int31())
		}
		s.secret = s.server.Random.Uint32()
		s.server.sessions[s.pid] = s
		var w messageWriter
		w.sessionStarted(s.pid, s.secret)
		s.conn.Write(w.buf)
	default:
		s.failSession("client-garbled", codeProtocol, fmt.Sprintf("unsupported protocol %d.%d", m.code>>16, m.code&0xffff))
	}
}

// cancelQuery handles a CancelRequest. A request with a wrong key is ignored, as in PostgreSQL.
func (srv *Server) cancelQuery(pid, secret uint32) {
	s := srv.sessions[pid]
	if s == nil || s.secret != secret || s.request == nil {
		return
	}
	r := s.request
	s.clearRequest()
	srv.Coordinator.Drop(r)
	s.sendError("ERROR", codeCanceled, "canceling statement due to user request")
	s.processInput()
}

// handleMessage handles a message of a started session.
func (s *Session) handleMessage(m message) {
	if s.skipToSync && m.kind != 'S' && m.kind != 'X' {
		return
	}
	switch m.kind {
	case 'Q':
		text, ok := strings.CutSuffix(string(m.body), "\x00")
		if !ok || strings.IndexByte(text, 0) >= 0 {
			s.failSession("client-garbled", codeProtocol, "query without its end")
			return
		}
		s.handleQuery(text)
	case 'X':
		s.close()
	case 'S':
		s.skipToSync = false
		var w messageWriter
		w.readyForQuery()
		s.conn.Write(w.buf)
	case 'P', 'B', 'D', 'E', 'C', 'F', 'H':
		s.skipToSync = m.kind != 'F' // a function call has no Sync
		var w messageWriter
		w.errorResponse("ERROR", codeFeature, "only simple queries are served")
		if !s.skipToSync {
			w.readyForQuery()
		}
		s.conn.Write(w.buf)
	case 'd', 'c', 'f': // CopyData, CopyDone and CopyFail are ignored outside a COPY, as in PostgreSQL
	default:
		s.failSession("client-garbled", codeProtocol, fmt.Sprintf("unknown message %q", m.kind))
	}
}

// handleQuery passes a query to the coordinator, or answers it with an error.
func (s *Session) handleQuery(text string) {
	if strings.Trim(text, " \t\r\n;") == "" {
		var w messageWriter
		w.emptyMessage('I')
		w.readyForQuery()
		s.conn.Write(w.buf)
		return
	}
	r, timeLimit, err := queryfields.Parse(text)
	if err == nil {
		err = s.server.Coordinator.Check(r)
	}
	switch {
	case err != nil:
		s.rejectQuery(codeSyntax, err.Error())
		return
	case s.server.ShuttingDown && s.moreComplete: // each query that was read gets an answer before the session ends
		s.sendError("ERROR", codeShuttingDown, "the coordinator shuts down")
		return
	case s.server.ShuttingDown:
		s.sendError("FATAL", codeShuttingDown, "the coordinator shuts down")
		s.finish()
		return
	case s.overLimit: // the query was not sent to any engine, so a retry is harmless
		s.sendError("FATAL", codeTooManyConns, "too many connections, later=500")
		s.finish()
		return
	}
	r.Deadline = s.arrivedAt + timeLimit - math.Min(s.server.AnswerMargin, timeLimit*maxMarginShare)
	r.Client, r.Protocol = s, "postgres"
	s.request, s.faultsInRow = r, 0
	s.server.Coordinator.Submit(r)
}

// clearRequest removes the open request from the session, which has been answered or withdrawn.
func (s *Session) clearRequest() { s.request = nil }

// sendError sends an error and, if its severity lets the session continue, ReadyForQuery.
func (s *Session) sendError(severity, code, text string) {
	var w messageWriter
	w.errorResponse(severity, code, text)
	if severity == "ERROR" {
		w.readyForQuery()
	}
	s.conn.Write(w.buf)
}

// Serve implements coordinator.Client: it sends a complete result.
func (s *Session) Serve(set *result.Set) {
	s.clearRequest()
	w := messageWriter{buf: make([]byte, 0, 1024)}
	w.resultSet(set)
	w.readyForQuery()
	s.answerBytes = len(w.buf)
	s.conn.Write(w.buf)
	s.processInput()
}

// Refuse implements coordinator.Client: it sends an error whose code tells the client that a retry is harmless.
func (s *Session) Refuse(retryAfter float64) {
	s.clearRequest()
	text := "the worker groups have no room"
	if retryAfter > 0 {
		text += fmt.Sprintf(", later=%d", int(math.Ceil(retryAfter)))
	}
	s.sendError("ERROR", codeRefused, text)
	s.processInput()
}

// Fail implements coordinator.Client: it sends an error that does not promise that a retry is harmless.
func (s *Session) Fail(message string) {
	s.clearRequest()
	s.sendError("ERROR", codeFailed, message)
	s.processInput()
}

// failSession logs a fault, sends it as a fatal error and closes the session. Further input is not read.
func (s *Session) failSession(event, code, text string) {
	s.server.Faults.Add(event, "code", code, "error", text)
	s.sendError("FATAL", code, text)
	s.finish()
}

// close closes the connection and ends the session.
func (s *Session) close() {
	if s.closed {
		return
	}
	s.conn.Close()
	s.cleanUp()
}

// finish ends the session, and its connection once all answers are sent. Until then the connection keeps its slot. Closing it at once
// would cut off an answer that the client has not read yet.
func (s *Session) finish() {
	if s.closed {
		return
	}
	if s.InputEmpty() {
		s.close()
		return
	}
	s.finishing = true
	s.slot.MarkBusy()
	s.endSession()
	s.conn.Finish()
}

// Closed implements transport.Handler. As in PostgreSQL, a client that closes its sending side counts as disconnected, because
// a half-closed connection cannot be distinguished from a closed one.
func (s *Session) Closed(transport.EndReason) {
	switch {
	case s.finishing:
		s.releaseConnection()
	case !s.closed:
		s.cleanUp()
	}
}

// cleanUp releases everything that the session holds and withdraws its open request.
func (s *Session) cleanUp() {
	s.endSession()
	s.releaseConnection()
}

// releaseConnection frees what a connection that has ended takes.
func (s *Session) releaseConnection() {
	s.slot.Release()
	if s.started {
		delete(s.server.sessions, s.pid)
	}
}

// endSession withdraws the open request and frees all that the session holds, except for its connection.
func (s *Session) endSession() {
	s.closed, s.input = true, nil
	s.held.Set(0)
	s.server.Deadlines.Cancel(&s.messageTimer)
	s.server.Deadlines.Cancel(&s.resumeTimer)
	if r := s.request; r != nil {
		s.clearRequest()
		s.server.Coordinator.Drop(r)
	}
}
