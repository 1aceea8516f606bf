package eventloop

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"thymeway/internal/clock"
	"thymeway/internal/deadline"
	"thymeway/internal/transport"
)

const finishedBytes = 8 << 20 // more than the system takes at once

// finishHandler sends a large text and finishes the connection on the first input.
type finishHandler struct {
	conn     transport.Conn
	received int
	closed   chan transport.EndReason
}

func (h *finishHandler) Opened(c transport.Conn)           { h.conn = c }
func (h *finishHandler) Closed(reason transport.EndReason) { h.closed <- reason }
func (h *finishHandler) Received(b []byte) {
	if h.received += len(b); h.received == len(b) {
		h.conn.Write(make([]byte, finishedBytes))
		h.conn.Finish()
	}
}

// Guards against bytes that are lost as a connection is closed: while the other side reads slowly, sends more, or has closed its sending
// side. One that reads no more, or has gone, must not hold the connection for ever.
func TestFinishedConnectionLosesBytes(t *testing.T) {
	for _, c := range []struct {
		name      string
		during    func(conn *net.TCPConn) // once the text is sent
		stops     bool                    // the other side stops reading
		wantBytes int
	}{
		{"slow reader", func(*net.TCPConn) {}, false, finishedBytes},
		{"sends more", func(conn *net.TCPConn) { _, _ = conn.Write(make([]byte, 1<<20)) }, false, finishedBytes},
		{"closes its sending side", func(conn *net.TCPConn) { _ = conn.CloseWrite() }, false, finishedBytes},
		{"stops reading", func(*net.TCPConn) {}, true, 0},
		{"has gone", func(conn *net.TCPConn) { _ = conn.Close() }, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr, handler := freeAddr(t), &finishHandler{closed: make(chan transport.EndReason, 2)}
			var shift atomic.Int64 // ms by which the loop's clock is ahead
			now := clock.New().Now
			l := &Loop{Deadlines: deadline.New(), Now: func() float64 { return now() + float64(shift.Load()) }, ConnectTimeout: 5000,
				Accept: func(int) transport.Handler { return handler }, Turn: func() {}}
			ended := make(chan error, 1)
			go func() { ended <- l.Run(addr) }()
			defer func() {
				l.Do(l.Stop)
				if err := <-ended; err != nil {
					t.Error(err)
				}
			}()
			var conn net.Conn
			var err error
			for range 500 {
				if conn, err = net.Dial("tcp", addr); err == nil {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := conn.Write([]byte("x")); err != nil {
				t.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond)
			go c.during(conn.(*net.TCPConn))
			if c.stops {
				time.Sleep(50 * time.Millisecond)
				shift.Store(int64(sendTimeout) + 1000)
				l.Do(func() {})
			} else if n := readSlowly(t, conn); n != c.wantBytes {
				t.Errorf("%d bytes of %d arrive", n, c.wantBytes)
			}
			select {
			case reason := <-handler.closed:
				if !c.stops && reason != transport.ClosedLocally {
					t.Errorf("the connection ended with %v", reason)
				}
			case <-time.After(20 * time.Second):
				t.Error("the connection does not end")
			}
			if handler.received != 1 {
				t.Errorf("%d bytes are passed on, want only the first", handler.received)
			}
		})
	}
}

// readSlowly reads to the end with pauses and returns the number of bytes.
func readSlowly(t *testing.T, conn net.Conn) (total int) {
	t.Helper()
	buffer := make([]byte, 256<<10)
	for {
		n, err := conn.Read(buffer)
		if total += n; err == io.EOF {
			_ = conn.Close()
			return total
		}
		if err != nil {
			t.Errorf("after %d bytes: %v", total, err)
			return total
		}
		time.Sleep(5 * time.Millisecond)
	}
}
