package pg

import (
	"bytes"
	"math/rand"
	"testing"

	"thymeway/internal/connlimit"
	"thymeway/internal/deadline"
	"thymeway/internal/faultlog"
)

// connStub counts the answers to empty queries (EmptyQueryResponse) that a session writes.
type connStub struct{ answers int }

func (c *connStub) Write(b []byte) { c.answers += bytes.Count(b, []byte("I\x00\x00\x00\x04")) }
func (c *connStub) Close()         {}
func (c *connStub) Finish()        { c.Close() }
func (c *connStub) Pending() int   { return 0 }
func (c *connStub) Idle() bool     { return true }
func (c *connStub) CloseWrite()    {}
func (c *connStub) Abort()         { c.Close() }

// Guards against a client that occupies the event loop: a flood of valid messages must be handled over several turns, between
// which other clients are served.
func TestMessageFloodTakesSeveralTurns(t *testing.T) {
	now := func() float64 { return 0 }
	srv := &Server{Deadlines: deadline.New(), Faults: &faultlog.FaultLog{Now: now}, Now: now, ConnLimiter: &connlimit.Limiter{},
		MaxInputBytes: 1 << 16, Random: rand.New(rand.NewSource(1))}
	conn, s := &connStub{}, srv.Accept()
	s.Opened(conn)
	s.Received([]byte("\x00\x00\x00\x08\x00\x03\x00\x00"))
	s.Received(bytes.Repeat([]byte("Q\x00\x00\x00\x06;\x00"), 100))
	for turn := 1; turn <= 4; turn++ {
		if want := min(turn*maxMessagesPerTurn, 100); conn.answers < want-1 || conn.answers > want {
			t.Errorf("turn %d: %d answers, want %d", turn, conn.answers, want)
		}
		srv.Deadlines.RunDue(0)
	}
}
