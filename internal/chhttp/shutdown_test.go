package chhttp

import (
	"strings"
	"testing"
)

// Guards against requests that are lost at a shutdown: those behind the first one that is refused get an answer too.
func TestRequestsBehindRefusedOneAreLost(t *testing.T) {
	srv, coord, _ := newTestServer(t)
	conn, s := &fakeConn{}, srv.Accept()
	s.Opened(conn)
	s.Received([]byte(strings.Repeat(post, 5)))
	srv.ShuttingDown = true
	s.Refuse(0)
	answers, closing := strings.Count(conn.output.String(), "HTTP/1.1 503 "), strings.Count(conn.output.String(), "Connection: close")
	if len(coord.open) != 1 || answers != 5 || closing != 1 || !conn.closed {
		t.Errorf("%d queries are accepted, %d answered with 503, %d with the end of the connection, closed %v", len(coord.open), answers,
			closing, conn.closed)
	}
}
