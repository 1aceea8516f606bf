package net

import (
	stdnet "net"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"thymeway/internal/clock"
	"thymeway/internal/deadline"
	"thymeway/internal/link"
)

// echo is the accepting side; probe the dialling one. All run on the loop.
type echo struct{ c link.Conn }

func (e *echo) Opened(c link.Conn)    { e.c = c }
func (e *echo) Received(b []byte)     { e.c.Write(b) }
func (e *echo) Closed(link.EndReason) {}

type probe struct {
	c    link.Conn
	got  chan string
	text string
}

func (p *probe) Opened(c link.Conn) { p.c = c; c.Write([]byte("hello")) }
func (p *probe) Received(b []byte) {
	if p.text += string(b); len(p.text) == 5 {
		p.c.Close()
		p.got <- p.text
	}
}
func (p *probe) Closed(e link.EndReason) { p.got <- e.String() }

func free(t *testing.T) string {
	l, err := stdnet.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// A dial tells of a refused port, of an address that is none, and of a port that is up.
func TestDial(t *testing.T) {
	addr, refused := free(t), free(t)
	up, no := &probe{got: make(chan string, 2)}, &probe{got: make(chan string, 2)}
	l := &Loop{Deadlines: deadline.New(), Now: clock.New().Now, ConnectTimeout: 5000, Accept: func(int) link.Handler { return &echo{} }, Turn: func() {}}
	l.Ready = func() {
		l.Dial(refused, no)
		l.Dial(addr, up)
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
			t.Fatalf("no %q", want)
		}
	}
	wait(up.got, "hello")
	wait(no.got, "refused")
	bad := &probe{got: make(chan string, 2)}
	l.Do(func() { l.Dial("nowhere", bad) })
	wait(bad.got, "unreached")
	// Danger: a connection that is reset as it comes up has no far side any more. It has to be told as ended.
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	gone := &probe{got: make(chan string, 2)}
	l.Do(func() { (&dialling{l: l, h: gone, fd: fd}).ready() })
	wait(gone.got, "broken")
	l.Do(l.Stop)
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(30 * time.Second):
		t.Error("the loop does not end")
	}
}
