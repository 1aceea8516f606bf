// Package chhttp speaks ClickHouse's HTTP interface to clients. A Session is the object behind a client's connection: it
// takes one request after another, and what it makes of them goes to the same coordinator as that of other protocols.
package chhttp

import (
	"errors"
	"fmt"
	"math"
	"math/rand"

	"strconv"
	"strings"

	"thymeway/internal/config"
	"thymeway/internal/coordinator"
	"thymeway/internal/deadline"
	"thymeway/internal/http1"
	"thymeway/internal/link"
	"thymeway/internal/result"
	"thymeway/internal/seats"
	"thymeway/internal/tally"
)

// Limits of what a session may take from the others, times in ms.
const (
	headWithin  = 2300.0   // from connecting to the first whole head, and for each later one from its first byte
	bodyWithin  = 2300.0   // for a body, and ...
	bodyPace    = 1 << 20  // ... for each so many bytes of it as long again
	mostHead    = 64 << 10 // bytes: a query may stand in the target
	mostFields  = 100
	mostATurn   = 16      // requests handled in one turn
	mostUnread  = 4 << 20 // bytes that a client may leave unread, beyond its last answer
	mostFaults  = 32      // faulty requests in a row before the connection is ended
	faultsFree  = 4       // of them, answered as fast as they come
	faultPause  = 50.0
	marginMost  = 0.1 // share of a client's limit that the margin for the way back may take
	refusedWait = 500 // ms that a client is told to wait where nothing else is known
)

// Coordinator is the side that takes the requests.
type Coordinator interface {
	Check(r *coordinator.Request) error
	Recognise(r *coordinator.Request)
	Take(r *coordinator.Request)
	Drop(r *coordinator.Request)
}

// Front is all sessions of the protocol.
type Front struct {
	Coordinator Coordinator
	Deadlines   *deadline.Queue
	Faults      *tally.FaultLog
	Now         func() float64
	Margin      float64 // ms by which an answer is due before the client's limit: the way back
	Seats       *seats.Limiter
	Random      *rand.Rand
	Config      config.Config
	MostHeld    int  // bytes of requests that all sessions may hold together; 0: no bound
	Leaving     bool // new queries are refused

	started float64
	held    int // bytes that sessions hold
	all     map[*Session]bool
	queries map[string]*Session // open ones by query_id
	locks   map[string]*Session // session_id and user -> whose query runs
}

// Start makes the front ready.
func (f *Front) Start() {
	f.started = f.Now()
	f.all, f.queries, f.locks = map[*Session]bool{}, map[string]*Session{}, map[string]*Session{}
}

// Pending is the number of bytes on their way to all clients that the system has not taken yet.
func (f *Front) Pending() (n int) {
	for s := range f.all {
		n += s.c.Pending()
	}
	return n
}

// Session is one client's connection.
type Session struct {
	f       *Front
	c       link.Conn
	seat    *seats.Slot
	excess  bool
	closed  bool
	busy    bool // requests are being handled
	paused  bool
	faults  int // in a row
	buf     []byte
	head    *http1.Head // of the request whose body is coming
	body    *http1.BodyDecoder
	got     []byte
	holds   int     // bytes that count for it
	q       *query  // the open one
	sent    float64 // when it was taken
	begun   bool    // the head of its answer has gone out, for progress
	lastly  bool    // the connection ends with the open answer
	served  uint64  // requests
	late    deadline.Entry
	again   deadline.Entry
	resting deadline.Entry // the end of an idle connection
}

// Accept makes the object behind a new connection.
func (f *Front) Accept() *Session {
	s := &Session{f: f}
	s.late.Do = func() {
		f.Faults.Add("client-slow", "protocol", "clickhouse")
		s.refuse(408, except(codeProtocol, "no whole request in time"))
	}
	s.again.Do = func() {
		s.paused = false
		s.proceed()
	}
	s.resting.Do = s.close
	return s
}

// Opened comes first.
func (s *Session) Opened(c link.Conn) {
	s.c = c
	s.f.all[s] = true
	ok := false
	if s.seat, s.excess, ok = s.f.Seats.Acquire(s); !ok {
		s.close()
		return
	}
	s.f.Deadlines.Set(&s.late, s.f.Now()+headWithin)
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
	s.f.Deadlines.Cancel(&s.resting)
	s.buf = append(s.buf, b...)
	if !s.hold(s.weight()) {
		s.noRoom()
		return
	}
	s.proceed()
}

// proceed handles the requests that have come whole. Those behind an open one wait for its answer.
func (s *Session) proceed() {
	if s.busy || s.closed { // danger: an answer given at once would handle the same bytes again
		return
	}
	s.busy = true
	defer func() { s.busy = false }()
	f := s.f
	for n := 0; s.q == nil && !s.closed && !s.paused; n++ {
		if n == mostATurn { // danger: others wait for this turn to end
			s.pause(0)
			break
		}
		if !s.next() {
			break
		}
	}
	if s.closed {
		return
	}
	s.hold(s.weight()) // it is less than before
	switch most := mostHead + f.Config.Local.ClickHouse.MaxBodyBytes; {
	case len(s.buf) > most: // danger: a client that writes on and on behind an open request
		s.refuse(413, except(codeTooLarge, "over %d bytes behind an open request", most))
	case s.q == nil && s.head == nil && len(s.buf) == 0:
		s.buf = nil
		f.Deadlines.Cancel(&s.late)
		if s.served > 0 {
			s.seat.MarkIdle()
			f.Deadlines.Set(&s.resting, f.Now()+f.Config.Local.ClickHouse.KeepAlive)
		} else {
			f.Deadlines.Set(&s.late, f.Now()+headWithin)
		}
	case s.q == nil && !s.late.Scheduled():
		f.Deadlines.Set(&s.late, f.Now()+headWithin)
	}
}

// next takes the next part of a request, and tells whether there was one.
func (s *Session) next() bool {
	f := s.f
	if s.head == nil {
		h, n, err := http1.ParseRequest(s.buf, http1.Limits{MaxBytes: mostHead, MaxFields: mostFields})
		if errors.Is(err, http1.ErrIncomplete) {
			return false
		}
		if err == nil {
			s.body, err = h.NewBodyDecoder(int64(f.Config.Local.ClickHouse.MaxBodyBytes))
		}
		if err != nil {
			s.garbled(err)
			return false
		}
		s.head, s.buf = h, s.buf[n:]
		s.got = nil
		if e := h.Get("expect"); e != "" {
			if !strings.EqualFold(e, "100-continue") {
				s.refuse(417, except(codeProtocol, "expectation %.40q", e))
				return false
			}
			if !s.body.Done() {
				s.c.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
			}
		}
		if !s.body.Done() {
			within := bodyWithin * (1 + float64(max(h.ContentLength, 0))/bodyPace)
			f.Deadlines.Set(&s.late, f.Now()+within)
		}
	}
	if !s.hold(s.weight()) {
		s.noRoom()
		return false
	}
	got, used, err := s.body.DecodeAll(s.got, s.buf)
	s.got, s.buf = got, s.buf[used:]
	if err != nil {
		s.garbled(err)
		return false
	}
	if !s.body.Done() {
		if len(s.buf) > 0 { // keep no more than what is left
			s.buf = append([]byte(nil), s.buf...)
		} else {
			s.buf = s.buf[:0:0]
		}
		return false
	}
	s.buf = append([]byte(nil), s.buf...)
	f.Deadlines.Cancel(&s.late)
	h, body := s.head, s.got
	s.head, s.body, s.got = nil, nil, nil
	s.served++
	s.lastly = h.Close
	s.handle(h, body)
	return true
}

// weight is how many bytes a session holds, or will: what waits to be read, a body that is coming, an open query.
func (s *Session) weight() int {
	n := len(s.buf)
	if s.head != nil {
		n += max(int(s.head.ContentLength)-len(s.buf), len(s.got))
	}
	if s.q != nil {
		n += len(s.q.Statement)
	}
	return n
}

// noRoom tells a client that its bytes find no room beside those of others.
func (s *Session) noRoom() {
	s.refuse(503, except(codeMemory, "the requests of all clients take what memory there is for them"))
}

// hold makes so many bytes count for the session, unless that is more than there is room for. Danger: what one client
// sends is bounded, but what a few hundred send at once is not.
func (s *Session) hold(n int) bool {
	f := s.f
	if n > s.holds && f.MostHeld > 0 && f.held-s.holds+n > f.MostHeld {
		return false
	}
	f.held += n - s.holds
	s.holds = n
	return true
}

func (s *Session) pause(span float64) {
	s.paused = true
	s.f.Deadlines.Set(&s.again, s.f.Now()+span)
}

// garbled ends a connection whose bytes can't be read.
func (s *Session) garbled(err error) {
	status := 400
	var f *http1.ProtocolError
	if errors.As(err, &f) {
		status = f.Status
	}
	s.f.Faults.Add("client-garbled", "protocol", "clickhouse", "error", err)
	s.refuse(status, except(codeProtocol, "%v", err))
}

// refuse answers what can't be read, and ends the connection. What still comes is not read. Danger: a query that is
// open there is dropped, or its answer would come to a session that has none.
func (s *Session) refuse(status int, err error) {
	s.abandon()
	s.lastly = true
	s.fail(status, err, nil)
}

func (s *Session) handle(h *http1.Head, body []byte) {
	f := s.f
	if h.Method != "GET" && h.Method != "POST" && h.Method != "HEAD" {
		s.lastly = true
		s.answer(501, mediaPlain, nil, []byte("There is no handle for method "+h.Method+"\n"), h.Method == "HEAD")
		return
	}
	path, _, _ := strings.Cut(h.Target, "?")
	switch path {
	case "/ping", "/replicas_status":
		s.answer(200, mediaPlain, nil, []byte("Ok.\n"), h.Method == "HEAD")
		return
	case "/":
	default:
		s.answer(404, mediaPlain, nil, []byte("There is no handle "+path+"\n\nUse / or /ping for health checks.\n"), h.Method == "HEAD")
		return
	}
	if h.Method == "GET" && h.Target == "/" && len(body) == 0 {
		s.answer(200, mediaPlain, nil, []byte("Ok.\n"), false)
		return
	}
	q, err := f.read(h, body)
	var local *result.Set
	if err == nil {
		if local, err = s.local(q); local == nil && err == nil {
			err = s.admit(q)
		}
	}
	if err != nil {
		s.fault(err)
		return
	}
	s.faults = 0
	if local != nil {
		s.q, s.sent = q, f.Now()
		s.write(local)
		return
	}
	s.q, s.sent, s.begun = q, f.Now(), false
	if q.id == "" {
		q.id = fmt.Sprintf("%08x-%04x-4%03x-8%03x-%012x", f.Random.Uint32(), f.Random.Intn(1<<16), f.Random.Intn(1<<12), f.Random.Intn(1<<12), f.Random.Int63n(1<<48))
	}
	f.queries[q.id] = s
	if q.session != "" {
		f.locks[q.user+"\x00"+q.session] = s
	}
	q.Deadline = f.Now() + q.limit - math.Min(f.Margin, q.limit*marginMost)
	q.Client, q.Protocol = s, "clickhouse"
	f.Coordinator.Take(q.Request)
}

// local answers what runs nowhere: greetings, and KILL QUERY for queries of the same member here.
func (s *Session) local(q *query) (*result.Set, error) {
	if set, ok := s.f.greet(q.ClickHouse.Text); ok {
		return set, nil
	}
	id, ok := killed(q.Statement)
	if !ok {
		return nil, nil
	}
	set := &result.Set{Escaped: true, Columns: []result.Column{{Name: "kill_status", Type: "String"}, {Name: "query_id", Type: "String"}, {Name: "user", Type: "String"}, {Name: "query", Type: "String"}}}
	if o := s.f.queries[id]; o != nil && o.q.Tenant == q.Tenant {
		row := append([]byte("waiting\t"), result.Escape(nil, []byte(id))...)
		row = append(append(row, '\t'), result.Escape(nil, []byte(o.q.user))...)
		row = append(append(row, '\t'), result.Escape(nil, []byte(o.q.ClickHouse.Text))...)
		set.Pages = [][]byte{append(row, '\n')}
		o.abandon()
		o.fail(0, except(codeCanceled, "Query was cancelled"), nil)
		o.proceed()
	}
	return set, nil
}

// admit tells what keeps a query from being taken now.
func (s *Session) admit(q *query) error {
	f := s.f
	switch {
	case f.Leaving:
		s.lastly = true
		return except(codeAborted, "the coordinator shuts down")
	case s.excess: // it never goes out, so a new try is harmless
		s.lastly = true
		return except(codeTooMany, "Too many connections")
	case q.id != "" && f.queries[q.id] != nil:
		return except(codeSameID, "Query with id = %s is already running.", q.id)
	case q.session != "" && f.locks[q.user+"\x00"+q.session] != nil:
		return except(codeLocked, "Session %s is locked by a concurrent client.", q.session)
	}
	return nil
}

// fault answers a request that can't be used.
func (s *Session) fault(err error) {
	s.f.Faults.Add("client-fault", "protocol", "clickhouse", "error", err)
	if s.faults++; s.faults > mostFaults {
		s.lastly = true
	}
	s.fail(0, err, nil)
	if s.faults > faultsFree && !s.closed {
		s.pause(faultPause)
	}
}

// abandon drops the open query: its client has left, or wants it no more.
func (s *Session) abandon() {
	if q := s.release(); q != nil {
		s.f.Coordinator.Drop(q.Request)
	}
}

// release takes the open query off the session.
func (s *Session) release() *query {
	q := s.q
	if q == nil {
		return nil
	}
	s.q = nil
	s.hold(s.weight())
	if s.f.queries[q.id] == s {
		delete(s.f.queries, q.id)
	}
	if k := q.user + "\x00" + q.session; s.f.locks[k] == s {
		delete(s.f.locks, k)
	}
	return q
}

const mediaPlain = "text/plain; charset=UTF-8"

// answer writes a whole answer.
func (s *Session) answer(status int, media string, fields [][2]string, body []byte, headOnly bool) {
	var b []byte
	if !s.begun {
		b = head(status, media, s.lastly)
	}
	for _, x := range fields {
		b = append(b, x[0]+": "+x[1]+"\r\n"...)
	}
	if s.begun { // its status has gone out; the rest is in chunks
		b = append(b, "Transfer-Encoding: chunked\r\n\r\n"...)
		if len(body) > 0 {
			b = append(fmt.Appendf(b, "%x\r\n", len(body)), body...)
			b = append(b, "\r\n"...)
		}
		if status == 200 {
			b = append(b, "0\r\n\r\n"...)
		} else { // danger: with its end, a failed answer would pass for a short good one
			s.lastly = true
		}
	} else {
		b = fmt.Appendf(b, "Content-Length: %d\r\n\r\n", len(body))
		if !headOnly {
			b = append(b, body...)
		}
	}
	s.begun = false
	s.c.Write(b)
	if s.lastly {
		s.close()
	} else if s.c.Pending() > mostUnread+len(b) {
		s.f.Faults.Add("client-deaf", "protocol", "clickhouse")
		s.close()
	}
}

var reasons = map[int]string{200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 408: "Request Timeout", 413: "Payload Too Large",
	417: "Expectation Failed", 423: "Locked", 431: "Request Header Fields Too Large", 500: "Internal Server Error", 501: "Not Implemented",
	503: "Service Unavailable", 505: "HTTP Version Not Supported"}

// head is the begin of an answer.
func head(status int, media string, last bool) []byte {
	b := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nX-ClickHouse-Server-Display-Name: thymeway\r\nX-ClickHouse-Timezone: UTC\r\n",
		status, reasons[status], media)
	if last {
		return append(b, "Connection: close\r\n"...)
	}
	return append(b, "Connection: Keep-Alive\r\n"...)
}

// fail answers with an exception; status 0 stands for that which goes with its code.
func (s *Session) fail(status int, err error, fields [][2]string) {
	var e *exception
	if !errors.As(err, &e) {
		e = &exception{codeProtocol, err.Error()}
	}
	c, known := codes[e.code]
	if !known { // an engine's: its text has the name
		c.status = 400
	}
	if status == 0 {
		status = c.status
	}
	q := s.release()
	if q != nil {
		fields = append(fields, [2]string{"X-ClickHouse-Query-Id", q.id})
	}
	fields = append(fields, [2]string{"X-ClickHouse-Exception-Code", strconv.Itoa(e.code)})
	text := strings.ToValidUTF8(e.text, "?")
	if known {
		text += " (" + c.name + ") (version " + version + ")"
	}
	body := fmt.Appendf(nil, "Code: %d. DB::Exception: %s\n", e.code, text)
	s.answer(status, mediaPlain, fields, body, q != nil && q.head)
}

// Serve answers with a whole result.
func (s *Session) Serve(r *result.Set) {
	s.write(r)
	s.proceed()
}

func (s *Session) write(r *result.Set) {
	q := s.q
	q.options.elapsed = (s.f.Now() - s.sent) / 1000
	fm := formats[q.format]
	body, err := fm.write(nil, r, q.options)
	if err == nil {
		body, err = packed(body, q.encoding, q.pack, q.parameter["network_compression_method"])
	}
	if err != nil { // it has run, and can't be told in the form that was asked for
		s.f.Faults.Add("result-unwritable", "format", q.format, "error", err)
		s.fail(0, except(codeUnsupported, "the result can't be written as %s: %v", q.format, err), nil)
		return
	}
	s.release()
	fields := [][2]string{{"X-ClickHouse-Format", q.format}, {"X-ClickHouse-Summary",
		fmt.Sprintf(`{"read_rows":"%d","read_bytes":"%d","written_rows":"0","written_bytes":"0","total_rows_to_read":"0","result_rows":"%d","result_bytes":"%d","elapsed_ns":"%.0f"}`,
			r.RowCount(), r.Size(), r.RowCount(), r.Size(), q.options.elapsed*1e9)}}
	if q.id != "" {
		fields = append(fields, [2]string{"X-ClickHouse-Query-Id", q.id})
	}
	if q.encoding != "" {
		fields = append(fields, [2]string{"Content-Encoding", q.encoding}, [2]string{"Vary", "Accept-Encoding"})
	}
	s.answer(200, fm.media, fields, body, q.head)
}

// Refuse answers that a new try is harmless, and when to make it.
func (s *Session) Refuse(comeBack float64) {
	fields := [][2]string{}
	if comeBack > 0 {
		fields = append(fields, [2]string{"Retry-After", strconv.Itoa(int(math.Ceil(comeBack / 1000)))},
			[2]string{"X-Retry-After-Ms", strconv.Itoa(int(math.Ceil(comeBack)))})
	}
	s.fail(0, except(codeTooMany, "Too many simultaneous queries: the engines have no room"), fields)
	s.proceed()
}

// Fail answers without a promise.
func (s *Session) Fail(why string) {
	code := codeNoTries
	if s.q != nil && s.f.Now() >= s.q.Deadline-s.f.Margin {
		code = codeTimeout
	}
	// What an engine said of the query goes on with its own code.
	if rest, ok := strings.CutPrefix(why, "Code: "); ok {
		number, text, _ := strings.Cut(rest, ". DB::Exception: ")
		if n, err := strconv.Atoi(number); err == nil && text != "" {
			code, why = n, text
		}
	}
	s.fail(0, except(code, "%s", why), nil)
	s.proceed()
}

// Progress tells the client how far its query is, if it asked to hear.
func (s *Session) Progress(share float64) {
	if s.q == nil || !s.q.progress || s.closed || s.q.head {
		return
	}
	var b []byte
	if !s.begun {
		s.begun = true
		b = head(200, formats[s.q.format].media, s.lastly)
	}
	const whole = 1000 // how many rows a query is said to have
	b = fmt.Appendf(b, "X-ClickHouse-Progress: {\"read_rows\":\"%d\",\"read_bytes\":\"0\",\"total_rows_to_read\":\"%d\",\"elapsed_ns\":\"%.0f\"}\r\n",
		int(math.Max(0, math.Min(share, 1))*whole), whole, (s.f.Now()-s.sent)*1e6)
	s.c.Write(b)
}

func (s *Session) close() {
	if s.closed {
		return
	}
	s.c.Close()
	s.gone()
}

// Closed comes when the connection ends by itself: its client has left, and what it asked for serves no one.
func (s *Session) Closed(link.EndReason) {
	if !s.closed {
		s.gone()
	}
}

func (s *Session) gone() {
	s.closed, s.buf, s.got, s.head = true, nil, nil, nil
	delete(s.f.all, s)
	s.seat.Release()
	for _, e := range []*deadline.Entry{&s.late, &s.again, &s.resting} {
		s.f.Deadlines.Cancel(e)
	}
	s.abandon()
	s.hold(0)
}

func unescaped(s string) string { return string(result.Unescape(nil, []byte(s))) }
