package chhttp

import (
	"bytes"
	"math/rand"
	"strings"
	"testing"

	"thymeway/internal/configtest"
	"thymeway/internal/connlimit"
	"thymeway/internal/coordinator"
	"thymeway/internal/deadline"
	"thymeway/internal/faultlog"
	"thymeway/internal/result"
	"thymeway/internal/shape"
	"thymeway/internal/transport"
)

// fakeConn records what a session writes to its connection, and whether it was closed.
type fakeConn struct {
	output bytes.Buffer
	closed bool
}

func (c *fakeConn) Write(b []byte) { c.output.Write(b) }
func (c *fakeConn) Close()         { c.closed = true }
func (c *fakeConn) Finish()        { c.Close() }
func (s *fakeConn) Pending() int   { return 0 }
func (s *fakeConn) Idle() bool     { return true }
func (s *fakeConn) CloseWrite()    {}
func (c *fakeConn) Abort()         { c.Close() }

// fakeCoordinator accepts all requests and keeps them open.
type fakeCoordinator struct {
	catalog *shape.Catalog
	open    map[string]*coordinator.Request
}

func (t *fakeCoordinator) Check(*coordinator.Request) error { return nil }
func (c *fakeCoordinator) Recognize(r *coordinator.Request) {
	if r.Shape == nil {
		r.Shape = c.catalog.Recognize(r.Statement, r.Dialect, 0)
	}
}
func (c *fakeCoordinator) Submit(r *coordinator.Request) { c.open[r.ID] = r }
func (c *fakeCoordinator) Drop(r *coordinator.Request)   { delete(c.open, r.ID) }

// newTestServer returns a server for 8 connections, its coordinator and the clock that it reads.
func newTestServer(t testing.TB) (*Server, *fakeCoordinator, *float64) {
	settings := configtest.Example(t)
	now := 0.0
	clock := func() float64 { return now }
	coord := &fakeCoordinator{shape.NewCatalog(shape.Options{MaxBytes: 1 << 16}), map[string]*coordinator.Request{}}
	faults := &faultlog.FaultLog{Now: clock}
	srv := &Server{Coordinator: coord, Deadlines: deadline.New(), Faults: faults, Now: clock, AnswerMargin: 25,
		ConnLimiter: &connlimit.Limiter{MaxConnections: 8, Faults: faults}, Random: rand.New(rand.NewSource(1)), Config: settings}
	srv.Start()
	return srv, coord, &now
}

// post is a complete request for a query.
const post = "POST /?user=acme HTTP/1.1\r\nHost: x\r\nContent-Length: 31\r\n\r\nSELECT a FROM sales_17.orders  "

// A query that fails after the status line was sent ends without the last chunk. With that chunk, the client would take the
// failed response for a short successful one.
func TestFailureAfterProgress(t *testing.T) {
	for name, end := range map[string]func(session *Session){"failed": func(session *Session) { session.Fail("no engine") },
		"refused": func(session *Session) { session.Refuse(500) },
		"served":  func(session *Session) { session.Serve(&result.Set{Pages: [][]byte{[]byte("a\tb\tc\n")}}) }} {
		srv, _, _ := newTestServer(t)
		session, conn := srv.Accept(), &fakeConn{}
		session.Opened(conn)
		session.Received([]byte(strings.Replace(post, "?user", "?send_progress_in_http_headers=1&user", 1)))
		session.Progress(0.25)
		session.Progress(0.5)
		end(session)
		out := conn.output.String()
		hasLastChunk := strings.HasSuffix(out, "\r\n0\r\n\r\n")
		if strings.Count(out, "HTTP/1.1 200") != 1 || strings.Count(out, "X-ClickHouse-Progress") != 2 ||
			!strings.Contains(out, "Transfer-Encoding: chunked") || hasLastChunk != (name == "served") ||
			conn.closed == hasLastChunk || name != "served" && !strings.Contains(out, "X-ClickHouse-Exception-Code") {
			t.Errorf("%s: closed %v\n%s", name, conn.closed, out)
		}
	}
}

// At the connection limit, a connection that is idle or has sent nothing is closed in favor of a new one. A connection with an
// open request is never closed. A query on a connection beyond the limit is refused with an error that permits a retry.
func TestConnectionLimit(t *testing.T) {
	srv, coord, _ := newTestServer(t)
	var all []*fakeConn
	open := func(text string) *fakeConn {
		conn := &fakeConn{}
		all = append(all, conn)
		session := srv.Accept()
		session.Opened(conn)
		if text != "" {
			session.Received([]byte(text))
		}
		return conn
	}
	for range 4 {
		open(post)
	}
	idle := open("GET /ping HTTP/1.1\r\nHost: x\r\n\r\n")
	unused := open("")
	for range 4 {
		open(post)
	}
	if !unused.closed || !idle.closed || len(coord.open) != 8 {
		t.Errorf("unused connection closed: %v, idle connection closed: %v, %d requests open",
			unused.closed, idle.closed, len(coord.open))
	}
	if conn := open(post); !strings.Contains(conn.output.String(), "503") ||
		!strings.Contains(conn.output.String(), "X-ClickHouse-Exception-Code: 202") || !conn.closed {
		t.Errorf("the connection beyond the limit receives %q", conn.output.String())
	}
	for range 10 {
		open("")
	}
	if n := srv.ConnLimiter.Count(); n > 8+4 {
		t.Errorf("%d connections are open", n)
	}
}

// The requests of all clients together stay within MaxHeldBytes. A request that would exceed it is refused, and the others are
// still served.
func TestBodiesAreBoundedTogether(t *testing.T) {
	srv, coord, _ := newTestServer(t)
	srv.MaxHeldBytes = 130 // two bodies, and one request head while it is received
	var all []*Session
	open := func(text string) (*Session, *fakeConn) {
		session, conn := srv.Accept(), &fakeConn{}
		session.Opened(conn)
		session.Received([]byte(text))
		all = append(all, session)
		return session, conn
	}
	const partialPost = "POST /?user=acme HTTP/1.1\r\nHost: x\r\nContent-Length: 40\r\n\r\nSELECT"
	first, _ := open(partialPost)
	_, second := open(partialPost)
	_, third := open(partialPost)
	_, chunked := open("POST /?user=acme HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n40\r\n" +
		strings.Repeat("x", 64))
	for _, conn := range []*fakeConn{third, chunked} {
		if !strings.Contains(conn.output.String(), "503") || !strings.Contains(conn.output.String(), "Code: 241") ||
			!conn.closed {
			t.Errorf("a request beyond the limit receives %q", conn.output.String())
		}
	}
	if second.output.Len() > 0 || srv.HeldBytes() != 80 {
		t.Errorf("%d bytes are held; the second client receives %q", srv.HeldBytes(), second.output.String())
	}
	first.Received([]byte(strings.Repeat(" ", 28) + "1 + 1 "))
	const parameterBytes = len("user" + "acme") // an open request holds its parameters too
	if len(coord.open) != 1 || srv.HeldBytes() != 80+parameterBytes {
		t.Errorf("%d requests open, %d bytes held", len(coord.open), srv.HeldBytes())
	}
	first.Received([]byte("GET /ping")) // input received while a request is open counts too
	if srv.HeldBytes() != 89+parameterBytes {
		t.Errorf("%d bytes are held with input behind an open request", srv.HeldBytes())
	}
	first.Refuse(0)
	first.Received([]byte(" HTTP/1.1\r\nHost: x\r\n\r\n"))
	if srv.HeldBytes() != 40 {
		t.Errorf("%d bytes are held after an answer", srv.HeldBytes())
	}
	for _, session := range all {
		if !session.closed {
			session.Closed(transport.ConnReset)
		}
	}
	if srv.HeldBytes() != 0 {
		t.Errorf("%d bytes are held after all connections were closed", srv.HeldBytes())
	}
}

// A client that keeps writing while a request is open is disconnected and its request dropped. If the request stayed open, its
// result would be delivered to a session that has no request.
func TestInputLimitBehindOpenRequest(t *testing.T) {
	for _, maxHeldBytes := range []int{0, 4096} {
		srv, coord, _ := newTestServer(t)
		srv.MaxHeldBytes = maxHeldBytes
		session, conn := srv.Accept(), &fakeConn{}
		session.Opened(conn)
		session.Received([]byte(post))
		if len(coord.open) != 1 {
			t.Fatal("the request was not accepted")
		}
		for range 200 {
			session.Received([]byte(strings.Repeat("x", 8192)))
		}
		if !conn.closed || len(coord.open) != 0 || srv.HeldBytes() != 0 || len(srv.queries) != 0 {
			t.Errorf("limit %d: closed %v, %d requests open, %d bytes held",
				maxHeldBytes, conn.closed, len(coord.open), srv.HeldBytes())
		}
	}
}

// Whatever a client sends and however it is split, the state of the server stays consistent: the session has a query exactly
// if the coordinator has an open request, and a closed connection leaves nothing behind.
func FuzzSession(f *testing.F) {
	f.Add([]byte(post+post), uint8(7))
	f.Add([]byte("GET /?user=acme&query=SELECT+1+FORMAT+JSON HTTP/1.1\r\nHost: x\r\n\r\n"), uint8(1))
	f.Add(
		[]byte("POST /?user=acme&decompress=1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n"),
		uint8(200))
	f.Fuzz(func(t *testing.T, text []byte, cut uint8) {
		srv, coord, now := newTestServer(t)
		session, conn := srv.Accept(), &fakeConn{}
		session.Opened(conn)
		for size := int(cut) + 1; len(text) > 0 && !session.closed; text = text[min(size, len(text)):] {
			session.Received(text[:min(size, len(text))])
			if len(coord.open) > 1 || (len(coord.open) == 1) != (session.query != nil) {
				t.Fatalf("%d requests open, the session's query is %v", len(coord.open), session.query)
			}
			if session.query != nil && size%2 == 0 {
				r := session.query.Request
				delete(coord.open, r.ID)
				r.Client.Serve(&result.Set{Pages: [][]byte{[]byte("a\tb\tc\n")}})
			}
			*now += 10
			srv.Deadlines.RunDue(*now)
		}
		if !session.closed {
			session.Closed(transport.ConnReset)
		}
		for range 3 {
			*now += 60000
			srv.Deadlines.RunDue(*now)
		}
		if _, scheduled := srv.Deadlines.Next(); scheduled || len(coord.open) > 0 || len(srv.queries) > 0 ||
			len(srv.sessionLocks) > 0 || len(srv.sessions) > 0 || srv.ConnLimiter.Count() != 0 || srv.HeldBytes() != 0 {
			t.Fatalf("left over: deadlines %v, %d requests, %d queries, %d locks, %d sessions, %d connection slots", scheduled,
				len(coord.open), len(srv.queries), len(srv.sessionLocks), len(srv.sessions), srv.ConnLimiter.Count())
		}
	})
}

// Guards against bytes that a client takes for its next response: the response to a HEAD request never has a body, also if the
// request is refused or fails and the connection stays open.
func TestRefusedHeadRequestGetsBody(t *testing.T) {
	for name, c := range map[string]struct {
		parameters   string
		maxHeldBytes int
		end          func(s *Session)
	}{
		"invalid":   {"query=SELECT+1&default_format=Unknown", 0, nil},
		"no memory": {"query=SELECT+{p:String},{p:String}+FROM+sales_1.t&param_p=" + strings.Repeat("y", 500), 900, nil},
		"failed":    {"query=SELECT+a+FROM+sales_1.t", 0, func(s *Session) { s.Fail("no engine") }},
		"refused":   {"query=SELECT+a+FROM+sales_1.t", 0, func(s *Session) { s.Refuse(500) }},
	} {
		srv, _, _ := newTestServer(t)
		srv.MaxHeldBytes = c.maxHeldBytes
		session, conn := srv.Accept(), &fakeConn{}
		session.Opened(conn)
		session.Received([]byte("HEAD /?user=acme&" + c.parameters + " HTTP/1.1\r\nHost: x\r\n\r\n"))
		if c.end != nil {
			c.end(session)
		}
		head, body, complete := strings.Cut(conn.output.String(), "\r\n\r\n")
		if !complete || body != "" || conn.closed || strings.HasPrefix(head, "HTTP/1.1 200") {
			t.Errorf("%s: closed %v, head %q, body %q", name, conn.closed, head, body)
		}
		conn.output.Reset()
		session.Received([]byte("GET /ping HTTP/1.1\r\nHost: x\r\n\r\n"))
		if out := conn.output.String(); !strings.HasPrefix(out, "HTTP/1.1 200") || !strings.HasSuffix(out, "\r\n\r\nOk.\n") {
			t.Errorf("%s: the next request gets %q", name, out)
		}
	}
}
