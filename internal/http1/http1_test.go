package http1

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"
)

var limits = Limits{MaxBytes: 4096, MaxFields: 20}

// Guards against request smuggling: requests that another parser could interpret differently, and input that is not HTTP, must be
// rejected with the right status.
func TestRequestsRefused(t *testing.T) {
	const ok = "Host: a\r\n"
	for _, c := range []struct {
		text   string
		status int
	}{
		{"GET / HTTP/1.1\n" + ok + "\r\n", 400},                          // bare line feed
		{"GET / HTTP/1.1\r\n" + "Host: a\n\r\n\r\n", 400},                // bare line feed within the head
		{"GET / HTTP/1.1\r\n" + ok + "A: b\r\n c\r\n\r\n", 400},          // folded line
		{"GET / HTTP/1.1\r\n" + ok + "A : b\r\n\r\n", 400},               // white space before the colon
		{"GET / HTTP/1.1\r\n" + ok + "A\r\n\r\n", 400},                   // no colon
		{"GET / HTTP/1.1\r\n" + ok + "A: \x00\r\n\r\n", 400},             // NUL
		{"GET / HTTP/1.1\r\n\r\n", 400},                                  // no host
		{"GET / HTTP/1.1\r\n" + ok + ok + "\r\n", 400},                   // two hosts
		{"GET / HTTP/2.0\r\n" + ok + "\r\n", 505},                        // unsupported version
		{"GET  / HTTP/1.1\r\n" + ok + "\r\n", 400},                       // two spaces
		{"G(T / HTTP/1.1\r\n" + ok + "\r\n", 400},                        // invalid method
		{"GET /\x80 HTTP/1.1\r\n" + ok + "\r\n", 400},                    // invalid byte in the target
		{"\x16\x03\x01", 400},                                            // TLS
		{"POST / HTTP/1.1\r\n" + ok + "Content-Length: -5\r\n\r\n", 400}, // lengths that are not digits only
		{"POST / HTTP/1.1\r\n" + ok + "Content-Length: +5\r\n\r\n", 400},
		{"POST / HTTP/1.1\r\n" + ok + "Content-Length: 0x5\r\n\r\n", 400},
		{"POST / HTTP/1.1\r\n" + ok + "Content-Length: 5, 5\r\n\r\n", 400},
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
		var f *ProtocolError
		if !errors.As(err, &f) || f.Status != c.status {
			t.Errorf("%.80q: %v, want %d", c.text, err, c.status)
		}
	}
}

// A valid request must be parsed in pieces of any size, with a length, with chunks, or without a body.
func TestRequests(t *testing.T) {
	for _, c := range []struct{ text, body string }{
		{"POST /?a=b HTTP/1.1\r\nHost: x\r\nX-Y:  z \r\nContent-Length: 5\r\n\r\nhello", "hello"},
		{"POST /?a=b HTTP/1.1\r\nhost: x\r\nX-Y: z\r\nTransfer-Encoding: Chunked\r\n\r\n2;x=y\r\nhe\r\n3 \r\nllo\r\n0\r\nT: r\r\n\r\n",
			"hello"},
		{"POST /?a=b HTTP/1.1\r\nHost: x\r\nX-Y: z\r\n\r\n", ""},
	} {
		for cut := 1; cut <= len(c.text); cut++ {
			var head *Head
			var body *BodyDecoder
			var buf, got []byte
			for from := 0; from < len(c.text); from += cut {
				buf = append(buf, c.text[from:min(from+cut, len(c.text))]...)
				if head == nil {
					h, n, err := ParseRequest(buf, limits)
					if errors.Is(err, ErrIncomplete) {
						continue
					}
					if err != nil {
						t.Fatalf("%q by %d: %v", c.text, cut, err)
					}
					head, buf = h, buf[n:]
					if body, err = h.NewBodyDecoder(100); err != nil {
						t.Fatal(err)
					}
				}
				var n int
				var err error
				if got, n, err = body.DecodeAll(got, buf); err != nil {
					t.Fatalf("%q by %d: %v", c.text, cut, err)
				}
				buf = buf[n:]
			}
			if head == nil || !body.Done() || string(got) != c.body || head.Get("x-y") != "z" ||
				head.Target != "/?a=b" || len(buf) > 0 {
				t.Fatalf("%q by %d: %+v, %q", c.text, cut, head, got)
			}
		}
	}
}

// Guards against invalid framing of chunks: wrong, negative or huge sizes must be rejected, and no more bytes than the limit may
// be accepted.
func TestChunksRefused(t *testing.T) {
	for _, text := range []string{"-1\r\nx", "+1\r\nx", "g\r\n", "\r\n", " 1\r\nx\r\n", "0x1\r\nx\r\n", "1_0\r\n",
		"ffffffffffffffff\r\n", "7fffffffffffffff\r\n", "65\r\n", "1\r\nxx\r\n", "1\nx\r\n", strings.Repeat("0", 80),
		"1;" + strings.Repeat("e", 80) + "\r\n",
		"0\r\n" + strings.Repeat("a: b\r\n", 1000), "0\r\na: b\n\r\n", "32\r\n" + strings.Repeat("x", 50) + "\r\n33\r\n"} {
		h := &Head{Chunked: true, ContentLength: -1}
		b, err := h.NewBodyDecoder(100)
		if err != nil {
			t.Fatal(err)
		}
		got, _, err := b.DecodeAll(nil, []byte(text))
		if err == nil || b.Done() || len(got) > 100 {
			t.Errorf("%.40q: %v, %d bytes", text, err, len(got))
		}
	}
	h := &Head{ContentLength: 60 << 20}
	if _, err := h.NewBodyDecoder(1 << 20); err == nil {
		t.Error("a body of 60 MB is accepted")
	}
}

// Guards against responses whose end is unclear: a response with an invalid head, or with a missing or contradictory length of
// its body, must be rejected.
func TestResponses(t *testing.T) {
	h, n, err := ParseResponse([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX: y\r\n\r\nab"), limits)
	if err != nil || n != 44 || h.Status != 200 || h.ContentLength != 2 || h.Get("x") != "y" || h.Close {
		t.Errorf("%+v, %d, %v", h, n, err)
	}
	for _, bad := range []string{"HTTP/1.1 20x OK\r\n\r\n", "HTTP/1.1 99 OK\r\n\r\n", "SPDY 200\r\n\r\n",
		"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 200 OK\r\nfoo\r\nContent-Length: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: zip\r\n\r\n"} {
		if _, _, err := ParseResponse([]byte(bad), limits); err == nil || errors.Is(err, ErrIncomplete) {
			t.Errorf("%q: %v", bad, err)
		}
	}
	if h, _, err := ParseResponse([]byte("HTTP/1.0 204 -\r\n\r\n"), limits); err != nil || h.ContentLength != 0 || !h.Close {
		t.Errorf("%+v, %v", h, err)
	}
}

// Decoding a body at once and byte by byte must give the same result. A request head that was parsed, written out and parsed
// again must be the same.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("POST /?a=b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n0\r\n\r\n"))
	f.Add([]byte("GET / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabcGET"))
	f.Fuzz(func(t *testing.T, text []byte) {
		h, n, err := ParseRequest(text, limits)
		if err != nil {
			return
		}
		body, err := h.NewBodyDecoder(1000)
		if err != nil {
			return
		}
		got, used, err := body.DecodeAll(nil, text[n:])
		byteDecoder, _ := h.NewBodyDecoder(1000)
		var gotByBytes []byte
		var byBytesErr error
		offset := n
		for end := n; end <= len(text) && byBytesErr == nil && !byteDecoder.Done(); end++ {
			var k int
			gotByBytes, k, byBytesErr = byteDecoder.DecodeAll(gotByBytes, text[offset:end])
			offset += k
		}
		if (err == nil) != (byBytesErr == nil) || body.Done() != byteDecoder.Done() ||
			body.Done() && (!bytes.Equal(got, gotByBytes) || offset != n+used) {
			t.Errorf("%q: %q %v, then %q %v", text, got, err, gotByBytes, byBytesErr)
		}
		var b strings.Builder
		fmt.Fprintf(&b, "%s %s HTTP/1.%d\r\n", h.Method, h.Target, h.MinorVersion)
		for _, x := range h.Fields {
			fmt.Fprintf(&b, "%s: %s\r\n", x.Name, x.Value)
		}
		b.WriteString("\r\n")
		if b.Len() > limits.MaxBytes {
			return
		}
		if o, _, err := ParseRequest([]byte(b.String()), limits); err != nil || fmt.Sprint(*o) != fmt.Sprint(*h) {
			t.Errorf("%q: %+v, again %+v, %v", text, h, o, err)
		}
	})
}

// Guards against rows that are cut off or foreign: only a copy of a response may follow it. Everything else shows that its length is
// wrong or that it belongs to another call.
func TestBytesBehindResponseCountAsCopy(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\nPage-Count: 1\r\n\r\na\tb\tc\n"
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\na\tb\r\n3\r\n\tc\n\r\n0\r\n\r\n"
	for _, c := range []struct {
		response, rest string
		want           bool
	}{
		{response, response, true},
		{response, response[:len(response)-3], true}, // the rest is still on its way
		{response, response + response, true},
		{chunked, chunked, true},
		{response, response[:20], false}, // without its whole head it may be anything
		{response, "d\te\tf\n", false},
		{response, strings.Replace(response, "a\tb", "x\tb", 1), false},
		{response, strings.Replace(response, "200 OK", "500 No", 1), false},
		{response, strings.Replace(response, "Page-Count: 1", "Page-Count: 2", 1), false},
		{response, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nPage-Count: 1\r\n\r\na\tb", false},
		{response, "HTTP/1.1 200 OK\r\nPage-Count: 1\r\n\r\n", false},
		{chunked, strings.Replace(chunked, "a\tb", "x\tb", 1), false},
	} {
		head, n, err := ParseResponse([]byte(c.response), Limits{})
		if err != nil {
			t.Fatal(err)
		}
		decoder, err := head.NewBodyDecoder(100)
		if err != nil {
			t.Fatal(err)
		}
		body, _, err := decoder.DecodeAll(nil, []byte(c.response)[n:])
		if err != nil {
			t.Fatal(err)
		}
		if got := head.RepeatedBy(body, []byte(c.rest)); got != c.want {
			t.Errorf("%q behind %q: %v, want %v", c.rest, c.response, got, c.want)
		}
	}
}
