package chhttp

import (
	"bytes"
	"math/rand"
	"strings"
	"testing"

	"thymeway/internal/conftest"
	"thymeway/internal/coordinator"
	"thymeway/internal/deadline"
	"thymeway/internal/link"
	"thymeway/internal/result"
	"thymeway/internal/seats"
	"thymeway/internal/shape"
	"thymeway/internal/tally"
)

// sink is the far side of a connection.
type sink struct {
	b      bytes.Buffer
	closed bool
}

func (s *sink) Write(b []byte) { s.b.Write(b) }
func (s *sink) Close()         { s.closed = true }
func (s *sink) Pending() int   { return 0 }
func (s *sink) Idle() bool     { return true }
func (s *sink) CloseWrite()    {}
func (s *sink) Abort()         { s.Close() }

// taker takes requests and keeps them open.
type taker struct {
	book *shape.Catalog
	open map[string]*coordinator.Request
}

func (t *taker) Check(*coordinator.Request) error { return nil }
func (t *taker) Recognise(r *coordinator.Request) {
	if r.Shape == nil {
		r.Shape = t.book.Recognise(r.Statement, r.Dialect, 0)
	}
}
func (t *taker) Take(r *coordinator.Request) { t.open[r.ID] = r }
func (t *taker) Drop(r *coordinator.Request) { delete(t.open, r.ID) }

func front(t testing.TB) (*Front, *taker, *float64) {
	c := conftest.Example(t)
	now := 0.0
	clock := func() float64 { return now }
	k := &taker{shape.NewCatalog(shape.Options{MaxBytes: 1 << 16}), map[string]*coordinator.Request{}}
	faults := &tally.FaultLog{Now: clock}
	f := &Front{Coordinator: k, Deadlines: deadline.New(), Faults: faults, Now: clock, Margin: 25, Seats: &seats.Limiter{MaxConnections: 8, Faults: faults},
		Random: rand.New(rand.NewSource(1)), Config: c}
	f.Start()
	return f, k, &now
}

const post = "POST /?user=acme HTTP/1.1\r\nHost: x\r\nContent-Length: 31\r\n\r\nSELECT a FROM sales_17.orders  "

// A request that fails once its head has gone out ends without its last chunk, so that it can't pass for a short answer.
func TestFailureBehindProgress(t *testing.T) {
	for name, end := range map[string]func(s *Session){"failed": func(s *Session) { s.Fail("no engine") }, "refused": func(s *Session) { s.Refuse(500) },
		"served": func(s *Session) { s.Serve(&result.Set{Pages: [][]byte{[]byte("a\tb\tc\n")}}) }} {
		f, _, _ := front(t)
		s, c := f.Accept(), &sink{}
		s.Opened(c)
		s.Received([]byte(strings.Replace(post, "?user", "?send_progress_in_http_headers=1&user", 1)))
		s.Progress(0.25)
		s.Progress(0.5)
		end(s)
		out := c.b.String()
		whole := strings.HasSuffix(out, "\r\n0\r\n\r\n")
		if strings.Count(out, "HTTP/1.1 200") != 1 || strings.Count(out, "X-ClickHouse-Progress") != 2 || !strings.Contains(out, "Transfer-Encoding: chunked") ||
			whole != (name == "served") || c.closed == whole || name != "served" && !strings.Contains(out, "X-ClickHouse-Exception-Code") {
			t.Errorf("%s: closed %v\n%s", name, c.closed, out)
		}
	}
}

// Where there is no room for more connections, one that rests gives way; one with an open request never does, and who
// gets no place is told that a new try is harmless.
func TestSeats(t *testing.T) {
	f, k, _ := front(t)
	var all []*sink
	open := func(text string) *sink {
		c := &sink{}
		all = append(all, c)
		s := f.Accept()
		s.Opened(c)
		if text != "" {
			s.Received([]byte(text))
		}
		return c
	}
	for range 4 {
		open(post)
	}
	rests := open("GET /ping HTTP/1.1\r\nHost: x\r\n\r\n")
	silent := open("")
	for range 4 {
		open(post)
	}
	if !silent.closed || !rests.closed || len(k.open) != 8 {
		t.Errorf("silent closed %v, resting closed %v, %d open", silent.closed, rests.closed, len(k.open))
	}
	if c := open(post); !strings.Contains(c.b.String(), "503") || !strings.Contains(c.b.String(), "X-ClickHouse-Exception-Code: 202") || !c.closed {
		t.Errorf("one too many hears %q", c.b.String())
	}
	for range 10 {
		open("")
	}
	if n := f.Seats.Count(); n > 8+4 {
		t.Errorf("%d connections are kept", n)
	}
}

// Bodies of all clients together stay within their bound: who has no room is told so, and others are served on.
func TestBodiesAreBoundedTogether(t *testing.T) {
	f, k, _ := front(t)
	f.MostHeld = 130 // two bodies, and a head as it comes
	var all []*Session
	open := func(text string) (*Session, *sink) {
		s, c := f.Accept(), &sink{}
		s.Opened(c)
		s.Received([]byte(text))
		all = append(all, s)
		return s, c
	}
	const half = "POST /?user=acme HTTP/1.1\r\nHost: x\r\nContent-Length: 40\r\n\r\nSELECT"
	one, _ := open(half)
	_, two := open(half)
	_, three := open(half)
	_, chunked := open("POST /?user=acme HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n40\r\n" + strings.Repeat("x", 64))
	for _, c := range []*sink{three, chunked} {
		if !strings.Contains(c.b.String(), "503") || !strings.Contains(c.b.String(), "Code: 241") || !c.closed {
			t.Errorf("one without room hears %q", c.b.String())
		}
	}
	if two.b.Len() > 0 || f.held != 80 {
		t.Errorf("%d bytes are held; the second hears %q", f.held, two.b.String())
	}
	one.Received([]byte(strings.Repeat(" ", 28) + "1 + 1 "))
	if len(k.open) != 1 || f.held != 80 {
		t.Errorf("%d open, %d bytes held", len(k.open), f.held)
	}
	one.Received([]byte("GET /ping")) // what waits behind an open request counts as well
	if f.held != 89 {
		t.Errorf("%d bytes are held with more behind an open request", f.held)
	}
	one.Refuse(0)
	one.Received([]byte(" HTTP/1.1\r\nHost: x\r\n\r\n"))
	if f.held != 40 {
		t.Errorf("%d bytes are held after an answer", f.held)
	}
	for _, s := range all {
		if !s.closed {
			s.Closed(link.ConnReset)
		}
	}
	if f.held != 0 {
		t.Errorf("%d bytes are held by no one", f.held)
	}
}

// A client that writes on and on behind an open request is ended, and its request given up: no answer may come to a
// session that has no request.
func TestFloodBehindOpenRequest(t *testing.T) {
	for _, most := range []int{0, 4096} {
		f, k, _ := front(t)
		f.MostHeld = most
		s, c := f.Accept(), &sink{}
		s.Opened(c)
		s.Received([]byte(post))
		if len(k.open) != 1 {
			t.Fatal("not taken")
		}
		for range 200 {
			s.Received([]byte(strings.Repeat("x", 8192)))
		}
		if !c.closed || len(k.open) != 0 || f.held != 0 || len(f.queries) != 0 {
			t.Errorf("bound %d: closed %v, %d open, %d bytes held", most, c.closed, len(k.open), f.held)
		}
	}
}

// Whatever a client sends and however it is cut, the front keeps its books: each open request is one session's, nothing
// of a closed connection is left, and bytes that wait are bounded.
func FuzzSession(f *testing.F) {
	f.Add([]byte(post+post), uint8(7))
	f.Add([]byte("GET /?user=acme&query=SELECT+1+FORMAT+JSON HTTP/1.1\r\nHost: x\r\n\r\n"), uint8(1))
	f.Add([]byte("POST /?user=acme&decompress=1 HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n0\r\n\r\n"), uint8(200))
	f.Fuzz(func(t *testing.T, text []byte, cut uint8) {
		fr, k, now := front(t)
		s, c := fr.Accept(), &sink{}
		s.Opened(c)
		for n := int(cut) + 1; len(text) > 0 && !s.closed; text = text[min(n, len(text)):] {
			s.Received(text[:min(n, len(text))])
			if len(k.open) > 1 || (len(k.open) == 1) != (s.q != nil) {
				t.Fatalf("%d open, the session's is %v", len(k.open), s.q)
			}
			if s.q != nil && n%2 == 0 {
				r := s.q.Request
				delete(k.open, r.ID)
				r.Client.Serve(&result.Set{Pages: [][]byte{[]byte("a\tb\tc\n")}})
			}
			*now += 10
			fr.Deadlines.RunDue(*now)
		}
		if !s.closed {
			s.Closed(link.ConnReset)
		}
		for range 3 {
			*now += 60000
			fr.Deadlines.RunDue(*now)
		}
		if _, left := fr.Deadlines.Next(); left || len(k.open) > 0 || len(fr.queries) > 0 || len(fr.locks) > 0 || len(fr.all) > 0 || fr.Seats.Count() != 0 || fr.held != 0 {
			t.Fatalf("left: deadlines %v, %d open, %d queries, %d locks, %d sessions, %d seats", left, len(k.open), len(fr.queries), len(fr.locks), len(fr.all), fr.Seats.Count())
		}
	})
}
