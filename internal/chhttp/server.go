// Package chhttp serves ClickHouse's HTTP interface to clients. A Session handles one client connection: it reads one request
// after another and passes the queries to the same coordinator as the other protocols do.
package chhttp

import (
	"errors"
	"fmt"
	"math"
	"math/rand"
	"strings"

	"thymeway/internal/arrival"
	"thymeway/internal/config"
	"thymeway/internal/connlimit"
	"thymeway/internal/coordinator"
	"thymeway/internal/deadline"
	"thymeway/internal/faultlog"
	"thymeway/internal/http1"
	"thymeway/internal/membudget"
	"thymeway/internal/result"
	"thymeway/internal/transport"
)

// Limits on the resources that one session may use. Times are in ms.
const (
	headTimeout         = 2300.0   // for the first head, from connecting; for each later head, from its first byte
	bodyTimeout         = 2300.0   // for the body of a request
	bodyBytesPerTimeout = 1 << 20  // bytes of Content-Length that extend the limit by another bodyTimeout
	maxHeadBytes        = 64 << 10 // the URL in the head may contain the query
	maxHeadFields       = 100      // header fields of a request
	maxRequestsPerTurn  = 16       // requests of one session handled in an event-loop turn
	maxUnreadBytes      = 4 << 20  // bytes that a client may leave unread, not counting its latest response
	maxFaultsInARow     = 32       // refused requests in a row, after which the connection is closed
	undelayedFaults     = 4        // refused requests in a row that are answered without faultPause
	faultPause          = 50.0     // between a refused request and the handling of the next one
	maxMarginShare      = 0.1      // largest share of the client's time limit that Server.AnswerMargin may take
)

// Coordinator accepts the requests of the sessions. coordinator.Coordinator implements it.
type Coordinator interface {
	Check(r *coordinator.Request) error
	Recognize(r *coordinator.Request)
	Submit(r *coordinator.Request)
	Drop(r *coordinator.Request)
}

// Server holds all sessions of the protocol. Its methods are called from the event loop.
type Server struct {
	Coordinator    Coordinator
	Deadlines      *deadline.Queue
	Faults         *faultlog.FaultLog
	Now            func() float64
	AnswerMargin   float64 // ms by which the deadline precedes the client's time limit, for sending the response
	ConnLimiter    *connlimit.Limiter
	Random         *rand.Rand
	Config         config.Config
	MaxHeldBytes   int  // bytes of requests that all sessions together may hold; 0: no limit
	MaxUnsentBytes int  // bytes of answers to all clients that the system has not accepted, from which queries are refused; 0: no limit
	ShuttingDown   bool // new queries are refused

	startedAt      float64
	held           membudget.Budget // bytes of requests that all sessions hold
	memoryRefusals uint64           // requests that were refused as they did not fit into MaxHeldBytes
	sessions       map[*Session]bool
	queries        map[string]*Session // sessions with an open query, by its query_id
	sessionLocks   map[string]*Session // sessions with an open query, by its user and session_id
}

// Start initializes the server. It must be called before Accept.
func (srv *Server) Start() {
	srv.startedAt = srv.Now()
	srv.sessions, srv.queries, srv.sessionLocks = map[*Session]bool{}, map[string]*Session{}, map[string]*Session{}
}

// Pending returns the number of bytes written to all clients that the operating system has not accepted yet.
func (srv *Server) Pending() (n int) {
	for s := range srv.sessions {
		n += s.conn.Pending()
	}
	return n
}

// Session is the connection of one client.
type Session struct {
	server             *Server
	conn               transport.Conn
	slot               *connlimit.Slot
	excess             bool // the connection exceeds the connection limit, so its queries are refused
	closed             bool
	finishing          bool          // the session has ended, and its connection ends once its last answer is sent
	processing         bool          // processInput is running
	paused             bool          // no request is handled until resumeTimer fires
	faultsInARow       int           // consecutive refused requests
	input              []byte        // received, but not parsed yet
	arrivals           arrival.Times // of the input
	arrivedAt          float64       // when the latest part of a request that was parsed had arrived
	head               *http1.Head   // of the request whose body is being received
	headBytes          int           // bytes of memory that the head counts with
	bodyDecoder        *http1.BodyDecoder
	receivedBody       []byte          // body received so far
	held               membudget.Share // bytes of this session's requests
	query              *query          // the open query, if any
	queryStartedAt     float64         // when the open query was accepted
	headOnly           bool            // the request being answered has the method HEAD: its response has no body
	headSent           bool            // the status line of the response was sent, ahead of progress headers
	closeAfterResponse bool            // the connection is closed after the next response
	requestCount       uint64          // requests received completely
	requestTimer       deadline.Entry  // limits the time for receiving a request
	resumeTimer        deadline.Entry  // ends a pause
	idleTimer          deadline.Entry  // closes an idle connection
}

// Accept creates the session of a new connection.
func (srv *Server) Accept() *Session {
	s := &Session{server: srv, held: membudget.Share{Budget: &srv.held}}
	s.requestTimer.Do = func() {
		srv.Faults.Add("client-slow", "protocol", "clickhouse")
		s.refuseAndClose(408, newException(codeProtocol, "no whole request in time"))
	}
	s.resumeTimer.Do = func() {
		s.paused = false
		s.processInput()
	}
	s.idleTimer.Do = s.finish
	return s
}

// Opened is called when the connection is established, before the other methods.
func (s *Session) Opened(c transport.Conn) {
	s.conn = c
	s.server.sessions[s] = true
	ok := false
	if s.slot, s.excess, ok = s.server.ConnLimiter.Acquire(s); !ok {
		s.close()
		return
	}
	s.server.Deadlines.Set(&s.requestTimer, s.server.Now()+headTimeout)
	s.slot.MarkUnused()
}

// InputEmpty reports whether the connection is open, all received data has been read and all answers have been sent. It implements
// connlimit.Connection.
func (s *Session) InputEmpty() bool { return s.conn.Idle() && s.conn.Pending() == 0 }

// Evict closes the connection in favor of another one.
func (s *Session) Evict() { s.close() }

// Received processes bytes from the client, however they are split.
func (s *Session) Received(b []byte) {
	if s.closed {
		return
	}
	s.slot.MarkBusy()
	s.server.Deadlines.Cancel(&s.idleTimer)
	s.input = append(s.input, b...)
	s.arrivals.Add(len(s.input), s.server.Now(), s.query != nil || s.paused)
	if !s.reserveBytes(s.neededBytes()) {
		s.refuseUnreadForMemory()
		return
	}
	s.processInput()
}

// processInput handles the requests that are complete. Requests that arrive while a query is open wait for its response.
func (s *Session) processInput() {
	// A query that is answered at once calls processInput again from within the loop below. Without this check, the nested call
	// would handle the same bytes a second time.
	if s.processing || s.closed {
		return
	}
	s.processing = true
	defer func() { s.processing = false }()
	srv := s.server
	for n := 0; s.query == nil && !s.closed && !s.paused; n++ {
		if n == maxRequestsPerTurn { // all other connections wait until this event-loop turn ends
			s.pause(0)
			break
		}
		if !s.readNext() {
			break
		}
	}
	if s.closed {
		return
	}
	if !s.reserveBytes(s.neededBytes()) {
		s.refuseUnreadForMemory()
		return
	}
	switch maxInput := maxHeadBytes + srv.Config.Local.ClickHouse.MaxBodyBytes; {
	case len(s.input) > maxInput: // a client that keeps writing while a request is open would use up the memory
		s.refuseAndClose(413, newException(codeTooLarge, "over %d bytes behind an open request", maxInput))
	case s.query == nil && s.head == nil && len(s.input) == 0:
		s.input = nil
		srv.Deadlines.Cancel(&s.requestTimer)
		if s.requestCount > 0 {
			s.slot.MarkIdle()
			srv.Deadlines.Set(&s.idleTimer, srv.Now()+srv.Config.Local.ClickHouse.KeepAlive)
		} else {
			srv.Deadlines.Set(&s.requestTimer, srv.Now()+headTimeout)
		}
	case s.query == nil && !s.requestTimer.Scheduled():
		srv.Deadlines.Set(&s.requestTimer, srv.Now()+headTimeout)
	}
}

// readNext parses the input, and handles the request if it is complete. It returns false if it did not handle a request.
func (s *Session) readNext() bool {
	srv := s.server
	if s.head == nil {
		head, n, err := http1.ParseRequest(s.input, http1.Limits{MaxBytes: maxHeadBytes, MaxFields: maxHeadFields})
		if errors.Is(err, http1.ErrIncomplete) {
			return false
		}
		if err == nil {
			s.bodyDecoder, err = head.NewBodyDecoder(int64(srv.Config.Local.ClickHouse.MaxBodyBytes))
		}
		if err != nil {
			s.refuseMalformed(err)
			return false
		}
		s.head, s.headBytes, s.input = head, headMemory(head, n), s.input[n:]
		s.arrivedAt = s.arrivals.Take(n, srv.Now())
		s.headOnly = head.Method == "HEAD"
		s.receivedBody = nil
		if expectation := head.Get("expect"); expectation != "" {
			if !strings.EqualFold(expectation, "100-continue") {
				s.refuseAndClose(417, newException(codeProtocol, "expectation %.40q", expectation))
				return false
			}
			if !s.bodyDecoder.Done() {
				s.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
			}
		}
		if !s.bodyDecoder.Done() {
			timeout := bodyTimeout * (1 + float64(max(head.ContentLength, 0))/bodyBytesPerTimeout)
			srv.Deadlines.Set(&s.requestTimer, srv.Now()+timeout)
		}
	}
	if !s.reserveBytes(s.neededBytes()) {
		s.refuseUnreadForMemory()
		return false
	}
	received, used, err := s.bodyDecoder.DecodeAll(s.receivedBody, s.input)
	s.receivedBody, s.input = received, s.input[used:]
	if used > 0 {
		s.arrivedAt = s.arrivals.Take(used, srv.Now())
	}
	if err != nil {
		s.refuseMalformed(err)
		return false
	}
	if !s.bodyDecoder.Done() {
		s.input = cloneRest(s.input)
		return false
	}
	s.input = cloneRest(s.input)
	srv.Deadlines.Cancel(&s.requestTimer)
	head, body := s.head, s.receivedBody
	s.head, s.bodyDecoder, s.receivedBody = nil, nil, nil
	s.requestCount++
	s.closeAfterResponse = head.Close
	s.handleRequest(head, body)
	return true
}

// cloneRest returns a copy of input that is not parsed yet, so that the parsed part before it is freed. It returns nil for no input, as
// an empty slice would keep the whole array in memory.
func cloneRest(input []byte) []byte { return append([]byte(nil), input...) }

// pause stops the handling of requests for a duration in ms.
func (s *Session) pause(duration float64) {
	s.paused = true
	s.server.Deadlines.Set(&s.resumeTimer, s.server.Now()+duration)
}

// refuseMalformed answers a request that can't be parsed, and closes the connection.
func (s *Session) refuseMalformed(err error) {
	status := 400
	var fault *http1.ProtocolError
	if errors.As(err, &fault) {
		status = fault.Status
	}
	s.server.Faults.Add("client-garbled", "protocol", "clickhouse", "error", err)
	s.refuseAndClose(status, newException(codeProtocol, "%v", err))
}

// refuseAndClose answers with an exception and closes the connection without reading further input. It drops an open query
// first; otherwise the coordinator would later deliver its result to a session without a query.
func (s *Session) refuseAndClose(status int, err error) {
	s.dropQuery()
	s.closeAfterResponse = true
	s.writeException(status, err, nil)
}

// handleRequest answers a complete request, or passes its query to the coordinator.
func (s *Session) handleRequest(head *http1.Head, body []byte) {
	srv := s.server
	if head.Method != "GET" && head.Method != "POST" && head.Method != "HEAD" {
		s.closeAfterResponse = true
		s.writeResponse(501, mediaPlain, nil, []byte("There is no handle for method "+head.Method+"\n"))
		return
	}
	path, _, _ := strings.Cut(head.Target, "?")
	switch path {
	case "/ping", "/replicas_status":
		s.writeResponse(200, mediaPlain, nil, []byte("Ok.\n"))
		return
	case "/":
	default:
		s.writeResponse(404, mediaPlain, nil, []byte("There is no handle "+path+"\n\nUse / or /ping for health checks.\n"))
		return
	}
	if head.Method == "GET" && head.Target == "/" && len(body) == 0 {
		s.writeResponse(200, mediaPlain, nil, []byte("Ok.\n"))
		return
	}
	q, err := srv.readQuery(head, body, s.textLimit())
	var local *result.Set
	if err == nil {
		if local, err = s.answerLocally(q); local == nil && err == nil {
			err = s.checkAdmission(q)
		}
	}
	if errors.Is(err, errNoMemory) {
		s.refuseForMemory()
		return
	}
	if err != nil {
		s.refuseRequest(err)
		return
	}
	s.faultsInARow = 0
	if local != nil {
		s.query, s.queryStartedAt = q, srv.Now()
		s.writeResult(local)
		return
	}
	s.query, s.queryStartedAt, s.headSent = q, srv.Now(), false
	if !s.reserveBytes(s.neededBytes()) {
		s.query = nil
		s.refuseForMemory()
		return
	}
	if q.id == "" {
		q.id = fmt.Sprintf("%08x-%04x-4%03x-8%03x-%012x", srv.Random.Uint32(), srv.Random.Intn(1<<16), srv.Random.Intn(1<<12),
			srv.Random.Intn(1<<12), srv.Random.Int63n(1<<48))
	}
	srv.queries[q.id] = s
	if q.sessionID != "" {
		srv.sessionLocks[q.user+"\x00"+q.sessionID] = s
	}
	q.Deadline = s.arrivedAt + q.timeLimit - math.Min(srv.AnswerMargin, q.timeLimit*maxMarginShare)
	q.Client, q.Protocol = s, "clickhouse"
	srv.Coordinator.Submit(q.Request)
}

// answerLocally returns the result of a query that needs no engine: a query about the server, or KILL QUERY for an open query of
// the same tenant. The result is nil for all other queries.
func (s *Session) answerLocally(q *query) (*result.Set, error) {
	if set, ok := s.server.answerServerInfo(q.ClickHouse.Text); ok {
		return set, nil
	}
	id, ok := killedQueryID(q.Statement)
	if !ok {
		return nil, nil
	}
	set := &result.Set{Escaped: true, Columns: []result.Column{{Name: "kill_status", Type: "String"},
		{Name: "query_id", Type: "String"}, {Name: "user", Type: "String"}, {Name: "query", Type: "String"}}}
	if target := s.server.queries[id]; target != nil && target.query.Tenant == q.Tenant {
		row := append([]byte("waiting\t"), result.Escape(nil, []byte(id))...)
		row = append(append(row, '\t'), result.Escape(nil, []byte(target.query.user))...)
		row = append(append(row, '\t'), result.Escape(nil, []byte(target.query.ClickHouse.Text))...)
		set.Pages = [][]byte{append(row, '\n')}
		target.dropQuery()
		target.writeException(0, newException(codeCanceled, "Query was cancelled"), nil)
		target.processInput()
	}
	return set, nil
}

// checkAdmission returns an error if a query can't be accepted now: the server is shutting down, the connection exceeds the
// limit, or another query with the same query_id or session_id is open.
func (s *Session) checkAdmission(q *query) error {
	srv := s.server
	switch {
	case srv.ShuttingDown:
		s.closeAfterResponse = s.closeAfterResponse || len(s.input) == 0 // each request that was read gets an answer
		return newException(codeAborted, "the coordinator shuts down")
	case s.excess: // the query is not sent to any engine, so a retry is harmless
		s.closeAfterResponse = true
		return newException(codeTooManyQueries, "Too many connections")
	case !srv.acceptsQueries():
		return errNoMemory
	case q.id != "" && srv.queries[q.id] != nil:
		return newException(codeDuplicateQueryID, "Query with id = %s is already running.", q.id)
	case q.sessionID != "" && srv.sessionLocks[q.user+"\x00"+q.sessionID] != nil:
		return newException(codeSessionLocked, "Session %s is locked by a concurrent client.", q.sessionID)
	}
	return nil
}

// refuseRequest answers a request that is invalid or can't be accepted. After several in a row it delays the next request, and
// finally closes the connection.
func (s *Session) refuseRequest(err error) {
	s.server.Faults.Add("client-fault", "protocol", "clickhouse", "error", err)
	if s.faultsInARow++; s.faultsInARow > maxFaultsInARow {
		s.closeAfterResponse = true
	}
	s.writeException(0, err, nil)
	if s.faultsInARow > undelayedFaults && !s.closed {
		s.pause(faultPause)
	}
}

// dropQuery drops the open query, if any, because its client has disconnected or does not need the result any more.
func (s *Session) dropQuery() {
	if q := s.detachQuery(); q != nil {
		s.server.Coordinator.Drop(q.Request)
	}
}

// detachQuery removes the open query from the session and returns it, or nil if there is none.
func (s *Session) detachQuery() *query {
	q := s.query
	if q == nil {
		return nil
	}
	s.query = nil
	s.held.Set(min(s.neededBytes(), s.held.Bytes()))
	if s.server.queries[q.id] == s {
		delete(s.server.queries, q.id)
	}
	if lockKey := q.user + "\x00" + q.sessionID; s.server.sessionLocks[lockKey] == s {
		delete(s.server.sessionLocks, lockKey)
	}
	return q
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

// Closed is called when the client has closed the connection, the connection has failed, or it is finished. An open query is dropped.
func (s *Session) Closed(transport.EndReason) {
	switch {
	case s.finishing:
		s.releaseConnection()
	case !s.closed:
		s.cleanUp()
	}
}

// cleanUp ends a session whose connection is closed.
func (s *Session) cleanUp() {
	s.endSession()
	s.releaseConnection()
}

// releaseConnection frees what a connection that has ended takes.
func (s *Session) releaseConnection() {
	delete(s.server.sessions, s)
	s.slot.Release()
}

// endSession drops the open query and frees all that the session holds, except for its connection.
func (s *Session) endSession() {
	s.closed, s.input, s.receivedBody, s.head = true, nil, nil, nil
	for _, e := range []*deadline.Entry{&s.requestTimer, &s.resumeTimer, &s.idleTimer} {
		s.server.Deadlines.Cancel(e)
	}
	s.dropQuery()
	s.held.Set(0)
}
