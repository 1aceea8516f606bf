package eventloop

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"thymeway/internal/clock"
	"thymeway/internal/deadline"
	"thymeway/internal/transport"
)

// echoHandler is the accepting side: it sends back what it receives.
type echoHandler struct{ conn transport.Conn }

func (e *echoHandler) Opened(c transport.Conn)    { e.conn = c }
func (e *echoHandler) Received(b []byte)          { e.conn.Write(b) }
func (e *echoHandler) Closed(transport.EndReason) {}

// helloHandler is the dialing side: it sends a text and reports its echo, or the reason for the end.
type helloHandler struct {
	conn   transport.Conn
	result chan string
	text   string
}

func (h *helloHandler) Opened(c transport.Conn) { h.conn = c; c.Write([]byte("hello")) }
func (h *helloHandler) Received(b []byte) {
	if h.text += string(b); len(h.text) == 5 {
		h.conn.Close()
		h.result <- h.text
	}
}
func (h *helloHandler) Closed(e transport.EndReason) { h.result <- e.String() }

// freeAddr returns an address whose port was free a moment ago.
func freeAddr(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Guards against wrong end reasons of dialed connections: Dial must tell apart an open port, a port on which nothing listens,
// an invalid address, and a connection that was reset while it was being established.
func TestDial(t *testing.T) {
	addr, refused := freeAddr(t), freeAddr(t)
	echoed, rejected := &helloHandler{result: make(chan string, 2)}, &helloHandler{result: make(chan string, 2)}
	l := &Loop{Deadlines: deadline.New(), Now: clock.New().Now, ConnectTimeout: 5000,
		Accept: func(int) transport.Handler { return &echoHandler{} }, Turn: func() {}}
	l.OnStart = func() {
		l.Dial(refused, rejected)
		l.Dial(addr, echoed)
	}
	ended := make(chan error, 1)
	go func() { ended <- l.Run(addr) }()
	wait := func(c chan string, want string) {
		t.Helper()
		select {
		case got := <-c:
			if got != want {
				t.Errorf("got %q, want %q", got, want)
			}
		case err := <-ended:
			t.Fatalf("the loop ended: %v", err)
		case <-time.After(30 * time.Second):
			t.Fatalf("no %q within 30 s", want)
		}
	}
	wait(echoed.result, "hello")
	wait(rejected.result, "refused")
	invalid := &helloHandler{result: make(chan string, 2)}
	l.Do(func() { l.Dial("nowhere", invalid) })
	wait(invalid.result, "unreached")
	// A connection that was reset right after it was established has no peer address any more, like this unconnected
	// socket. It must be reported as ended, not as opened.
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	reset := &helloHandler{result: make(chan string, 2)}
	l.Do(func() { (&pendingDial{loop: l, handler: reset, fd: fd}).finish() })
	wait(reset.result, "broken")
	l.Do(l.Stop)
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(30 * time.Second):
		t.Error("the loop did not end within 30 s")
	}
}
