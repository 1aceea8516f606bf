package pg

import (
	"bytes"
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"thymeway/internal/connlimit"
	"thymeway/internal/coordinator"
	"thymeway/internal/deadline"
	"thymeway/internal/faultlog"
)

// outputConn is a client's connection that keeps what the session writes.
type outputConn struct {
	connStub
	output bytes.Buffer
	closed bool
}

func (c *outputConn) Write(b []byte) { c.output.Write(b) }
func (c *outputConn) Close()         { c.closed = true }

// acceptingCoordinator accepts every request and answers none.
type acceptingCoordinator struct{ open []*coordinator.Request }

func (c *acceptingCoordinator) Check(*coordinator.Request) error { return nil }
func (c *acceptingCoordinator) Submit(r *coordinator.Request)    { c.open = append(c.open, r) }
func (c *acceptingCoordinator) Drop(*coordinator.Request)        {}

// Guards against exceeding the memory limit with messages of many sessions that are each within the limit of one: half messages,
// open queries and what is sent behind them. The error must not promise that a retry is harmless if a query is open, and small
// queries must be accepted all the same.
func TestSessionsTogetherExceedMemoryLimit(t *testing.T) {
	const messageBytes, maxHeldBytes, sessions = 16 << 10, 100 << 10, 40
	query := func(i, size int) string {
		text := fmt.Sprintf("/* verb=lookup,txn=%016x,limit=3000 */ SELECT ", i)
		text += strings.Repeat("x", max(size-len(text), 0)) + "\x00"
		return string([]byte{'Q', 0, 0, byte((len(text) + 4) >> 8), byte(len(text) + 4)}) + text
	}
	for _, c := range []struct {
		name, code string
		send       func(i int) []string // each is received by itself
	}{
		{"half a query", codeNoMemory, func(i int) []string { return []string{query(i, messageBytes)[:messageBytes-100]} }},
		{"open queries", codeNoMemory, func(i int) []string { return []string{query(i, messageBytes)} }},
		{"half a query behind an open one", codeTooLarge, func(i int) []string {
			return []string{query(i, 100), query(i, messageBytes)[:messageBytes-100]}
		}},
	} {
		now := func() float64 { return 0 }
		coord := &acceptingCoordinator{}
		srv := &Server{Coordinator: coord, Deadlines: deadline.New(), Faults: &faultlog.FaultLog{Now: now}, Now: now,
			ConnLimiter: &connlimit.Limiter{}, MaxInputBytes: 1 << 16, MaxHeldBytes: maxHeldBytes, Random: rand.New(rand.NewSource(1))}
		var all []*Session
		ended := 0
		for i := range sessions {
			conn, s := &outputConn{}, srv.Accept()
			s.Opened(conn)
			s.Received([]byte("\x00\x00\x00\x08\x00\x03\x00\x00"))
			for _, part := range c.send(i) {
				s.Received([]byte(part))
			}
			all = append(all, s)
			if conn.closed {
				ended++
				if !strings.Contains(conn.output.String(), "C"+c.code+"\x00") {
					t.Errorf("%s: session %d ends with %q, want code %s", c.name, i, conn.output.String(), c.code)
				}
			}
		}
		if ended == 0 || ended == sessions || srv.held.Held() > maxHeldBytes {
			t.Errorf("%s: %d of %d sessions are ended, %d bytes held of %d", c.name, ended, sessions, srv.held.Held(), maxHeldBytes)
		}
		conn, s := &outputConn{}, srv.Accept()
		s.Opened(conn)
		s.Received([]byte("\x00\x00\x00\x08\x00\x03\x00\x00" + query(1000, 1000)))
		if conn.closed || coord.open[len(coord.open)-1].ID != fmt.Sprintf("%016x", 1000) {
			t.Errorf("%s: a small query is not accepted: %q", c.name, conn.output.String())
		}
		for _, s := range append(all, s) {
			if s.request != nil {
				s.Refuse(0)
			}
			s.close()
		}
		if srv.held.Held() != 0 {
			t.Errorf("%s: %d bytes are held after all sessions have ended", c.name, srv.held.Held())
		}
	}
}
