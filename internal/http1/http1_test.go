package http1

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
)

var limits = Limits{Bytes: 4096, Fields: 20}

// What two readers could read in two ways is refused, as is what is not HTTP, each with its status.
func TestRequestsRefused(t *testing.T) {
	const ok = "Host: a\r\n"
	for _, c := range []struct {
		text   string
		status int
	}{
		{"GET / HTTP/1.1\n" + ok + "\r\n", 400},                            // bare line feed
		{"GET / HTTP/1.1\r\n" + "Host: a\n\r\n\r\n", 400},                  // within the head
		{"GET / HTTP/1.1\r\n" + ok + "A: b\r\n c\r\n\r\n", 400},            // folded
		{"GET / HTTP/1.1\r\n" + ok + "A : b\r\n\r\n", 400},                 // white space ahead of the colon
		{"GET / HTTP/1.1\r\n" + ok + "A\r\n\r\n", 400},                     // no colon
		{"GET / HTTP/1.1\r\n" + ok + "A: \x00\r\n\r\n", 400},               // NUL
		{"GET / HTTP/1.1\r\n\r\n", 400},                                    // no host
		{"GET / HTTP/1.1\r\n" + ok + ok + "\r\n", 400},                     // two
		{"GET / HTTP/2.0\r\n" + ok + "\r\n", 505},                          //
		{"GET  / HTTP/1.1\r\n" + ok + "\r\n", 400},                         // two spaces
		{"G(T / HTTP/1.1\r\n" + ok + "\r\n", 400},                          //
		{"GET /\x80 HTTP/1.1\r\n" + ok + "\r\n", 400},                      //
		{"\x16\x03\x01", 400},                                              // TLS
		{"POST / HTTP/1.1\r\n" + ok + "Content-Length: -5\r\n\r\n", 400},   //
		{"POST / HTTP/1.1\r\n" + ok + "Content-Length: +5\r\n\r\n", 400},   //
		{"POST / HTTP/1.1\r\n" + ok + "Content-Length: 0x5\r\n\r\n", 400},  //
		{"POST / HTTP/1.1\r\n" + ok + "Content-Length: 5, 5\r\n\r\n", 400}, //
		{"POST / HTTP/1.1\r\n" + ok + "Content-Length: 99999999999999999999\r\n\r\n", 400},
		{"POST / HTTP/1.1\r\n" + ok + "Content-Length: 5\r\nContent-Length: 5\r\n\r\n", 400},
		{"POST / HTTP/1.1\r\n" + ok + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
		{"POST / HTTP/1.1\r\n" + ok + "Transfer-Encoding: gzip, chunked\r\n\r\n", 501},
		{"POST / HTTP/1.1\r\n" + ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
		{"POST / HTTP/1.0\r\n" + ok + "Transfer-Encoding: chunked\r\n\r\n", 400},
		{"GET / HTTP/1.1\r\n" + ok + strings.Repeat("A: b\r\n", 25) + "\r\n", 431},
		{"GET / HTTP/1.1\r\n" + ok + "A: " + strings.Repeat("b", 5000), 431},
	} {
		_, _, err := ParseRequest([]byte(c.text), limits)
		var f *Fault
		if !errors.As(err, &f) || f.Status != c.status {
			t.Errorf("%.80q: %v, want %d", c.text, err, c.status)
		}
	}
}

// A good request is read however it is cut, with its body in either form.
func TestRequests(t *testing.T) {
	for _, c := range []struct{ text, body string }{
		{"POST /?a=b HTTP/1.1\r\nHost: x\r\nX-Y:  z \r\nContent-Length: 5\r\n\r\nhello", "hello"},
		{"POST /?a=b HTTP/1.1\r\nhost: x\r\nX-Y: z\r\nTransfer-Encoding: Chunked\r\n\r\n2;x=y\r\nhe\r\n3 \r\nllo\r\n0\r\nT: r\r\n\r\n", "hello"},
		{"POST /?a=b HTTP/1.1\r\nHost: x\r\nX-Y: z\r\n\r\n", ""},
	} {
		for cut := 1; cut <= len(c.text); cut++ {
			var head *Head
			var body *Body
			var buf, got []byte
			for from := 0; from < len(c.text); from += cut {
				buf = append(buf, c.text[from:min(from+cut, len(c.text))]...)
				if head == nil {
					h, n, err := ParseRequest(buf, limits)
					if errors.Is(err, ErrShort) {
						continue
					}
					if err != nil {
						t.Fatalf("%q by %d: %v", c.text, cut, err)
					}
					head, buf = h, buf[n:]
					if body, err = h.Body(100); err != nil {
						t.Fatal(err)
					}
				}
				var n int
				var err error
				if got, n, err = body.TakeAll(got, buf); err != nil {
					t.Fatalf("%q by %d: %v", c.text, cut, err)
				}
				buf = buf[n:]
			}
			if head == nil || !body.Done() || string(got) != c.body || head.Get("x-y") != "z" || head.Target != "/?a=b" || len(buf) > 0 {
				t.Fatalf("%q by %d: %+v, %q", c.text, cut, head, got)
			}
		}
	}
}

// Chunks with wrong, negative or huge sizes are refused, and no more than the bound is ever taken.
func TestChunksRefused(t *testing.T) {
	for _, text := range []string{"-1\r\nx", "+1\r\nx", "g\r\n", "\r\n", " 1\r\nx\r\n", "0x1\r\nx\r\n", "1_0\r\n", "ffffffffffffffff\r\n",
		"7fffffffffffffff\r\n", "65\r\n", "1\r\nxx\r\n", "1\nx\r\n", strings.Repeat("0", 80), "1;" + strings.Repeat("e", 80) + "\r\n",
		"0\r\n" + strings.Repeat("a: b\r\n", 1000), "0\r\na: b\n\r\n", "32\r\n" + strings.Repeat("x", 50) + "\r\n33\r\n"} {
		h := &Head{Chunked: true, Length: -1}
		b, err := h.Body(100)
		if err != nil {
			t.Fatal(err)
		}
		got, _, err := b.TakeAll(nil, []byte(text))
		if err == nil || b.Done() || len(got) > 100 {
			t.Errorf("%.40q: %v, %d bytes", text, err, len(got))
		}
	}
	h := &Head{Length: 60 << 20}
	if _, err := h.Body(1 << 20); err == nil {
		t.Error("a body of 60 MB is begun")
	}
}

func TestResponses(t *testing.T) {
	h, n, err := ParseResponse([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: y\r\n\r\nab"), limits)
	if err != nil || n != 44 || h.Status != 200 || h.Length != 2 || h.Get("x") != "y" || h.Close {
		t.Errorf("%+v, %d, %v", h, n, err)
	}
	for _, bad := range []string{"HTTP/1.1 20x OK\r\n\r\n", "HTTP/1.1 99 OK\r\n\r\n", "SPDY 200\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 200 OK\r\nfoo\r\nContent-Length: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: zip\r\n\r\n"} {
		if _, _, err := ParseResponse([]byte(bad), limits); err == nil || errors.Is(err, ErrShort) {
			t.Errorf("%q: %v", bad, err)
		}
	}
	if h, _, err := ParseResponse([]byte("HTTP/1.0 204 -\r\n\r\n"), limits); err != nil || h.Length != 0 || !h.Close {
		t.Errorf("%+v, %v", h, err)
	}
}

// Whatever comes, reading it in one piece and byte by byte gives the same, and a request that is read can be written
// and read again.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("POST /?a=b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n0\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabcGET"))
	f.Fuzz(func(t *testing.T, text []byte) {
		h, n, err := ParseRequest(text, limits)
		if err != nil {
			return
		}
		body, err := h.Body(1000)
		if err != nil {
			return
		}
		got, used, err := body.TakeAll(nil, text[n:])
		again, _ := h.Body(1000)
		var slow []byte
		var slowErr error
		at := n
		for end := n; end <= len(text) && slowErr == nil && !again.Done(); end++ {
			var k int
			slow, k, slowErr = again.TakeAll(slow, text[at:end])
			at += k
		}
		if (err == nil) != (slowErr == nil) || body.Done() != again.Done() || body.Done() && (!bytes.Equal(got, slow) || at != n+used) {
			t.Errorf("%q: %q %v, then %q %v", text, got, err, slow, slowErr)
		}
		var b strings.Builder
		fmt.Fprintf(&b, "%s %s HTTP/1.%d\r\n", h.Method, h.Target, h.Minor)
		for _, x := range h.Fields {
			fmt.Fprintf(&b, "%s: %s\r\n", x.Name, x.Value)
		}
		b.WriteString("\r\n")
		if b.Len() > limits.Bytes {
			return
		}
		if o, _, err := ParseRequest([]byte(b.String()), limits); err != nil || fmt.Sprint(*o) != fmt.Sprint(*h) {
			t.Errorf("%q: %+v, again %+v, %v", text, h, o, err)
		}
	})
}
