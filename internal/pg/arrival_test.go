package pg

import (
	"fmt"
	"math/rand"
	"testing"

	"thymeway/internal/connlimit"
	"thymeway/internal/deadline"
	"thymeway/internal/faultlog"
)

// Guards against a client that is answered too late: the time of a query behind an open one counts from when it arrived.
func TestTimeOfWaitingQueryCountsFromAnswer(t *testing.T) {
	const limit = 3000.0
	now := 1000.0
	coord := &acceptingCoordinator{}
	srv := &Server{Coordinator: coord, Deadlines: deadline.New(), Faults: &faultlog.FaultLog{Now: func() float64 { return now }},
		Now: func() float64 { return now }, ConnLimiter: &connlimit.Limiter{}, MaxInputBytes: 1 << 16, Random: rand.New(rand.NewSource(1))}
	query := func(n int) []byte {
		text := fmt.Sprintf("/* verb=lookup,txn=%016x,limit=%.0f */ SELECT 1\x00", n, limit)
		return append([]byte{'Q', 0, 0, 0, byte(len(text) + 4)}, text...)
	}
	s := srv.Accept()
	s.Opened(&outputConn{})
	s.Received([]byte("\x00\x00\x00\x08\x00\x03\x00\x00"))
	s.Received(append(query(1), query(2)...))
	now = 2500
	third := query(3)
	s.Received(third[:len(third)/2])
	now = 2900
	s.Received(third[len(third)/2:])
	now = 3500
	for range 2 {
		s.Refuse(0)
	}
	for i, arrivedAt := range []float64{1000, 1000, 2900} {
		if got := coord.open[i].Deadline; got != arrivedAt+limit {
			t.Errorf("query %d is due at %v, want %v", i+1, got, arrivedAt+limit)
		}
	}
}
