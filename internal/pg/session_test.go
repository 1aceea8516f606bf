package pg

import (
	"bytes"
	"math/rand"
	"testing"

	"thymeway/internal/deadline"
	"thymeway/internal/seats"
	"thymeway/internal/tally"
)

// sink counts the bytes that a session writes.
type sink struct{ n int }

func (s *sink) Write(b []byte) { s.n += bytes.Count(b, []byte("I\x00\x00\x00\x04")) }
func (s *sink) Close()         {}
func (s *sink) Pending() int   { return 0 }
func (s *sink) Idle() bool     { return true }
func (s *sink) CloseWrite()    {}
func (s *sink) Abort()         { s.Close() }

// A flood of good messages takes several turns: other clients come in between.
func TestTurns(t *testing.T) {
	now := func() float64 { return 0 }
	a := &Sessions{Deadlines: deadline.New(), Faults: &tally.FaultLog{Now: now}, Now: now, Seats: &seats.Limiter{}, MostInput: 1 << 16, Random: rand.New(rand.NewSource(1))}
	c, s := &sink{}, a.Accept()
	s.Opened(c)
	s.Received([]byte("\x00\x00\x00\x08\x00\x03\x00\x00"))
	s.Received(bytes.Repeat([]byte("Q\x00\x00\x00\x06;\x00"), 100))
	for turn := 1; turn <= 4; turn++ {
		if want := min(turn*mostATurn, 100); c.n < want-1 || c.n > want {
			t.Errorf("turn %d: %d answers, want %d", turn, c.n, want)
		}
		a.Deadlines.RunDue(0)
	}
}
