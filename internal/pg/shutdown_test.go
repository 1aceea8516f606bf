package pg

import (
	"bytes"
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"thymeway/internal/connlimit"
	"thymeway/internal/deadline"
	"thymeway/internal/faultlog"
)

// Guards against queries that are lost at a shutdown: those behind the first one that is refused get an answer too, the last of them a
// fatal one.
func TestQueriesBehindRefusedOneAreLost(t *testing.T) {
	now := func() float64 { return 0 }
	coord := &acceptingCoordinator{}
	srv := &Server{Coordinator: coord, Deadlines: deadline.New(), Faults: &faultlog.FaultLog{Now: now}, Now: now,
		ConnLimiter: &connlimit.Limiter{}, MaxInputBytes: 1 << 16, Random: rand.New(rand.NewSource(1))}
	conn, s := &outputConn{}, srv.Accept()
	s.Opened(conn)
	s.Received([]byte("\x00\x00\x00\x08\x00\x03\x00\x00"))
	var queries []byte
	for n := range 5 {
		text := fmt.Sprintf("/* verb=lookup,txn=%016x,limit=3000 */ SELECT 1\x00", n)
		queries = append(append(queries, 'Q', 0, 0, 0, byte(len(text)+4)), text...)
	}
	s.Received(queries)
	srv.ShuttingDown = true
	s.Refuse(0)
	refusals := bytes.Count(conn.output.Bytes(), []byte("C"+codeShuttingDown+"\x00"))
	fatal := strings.Count(conn.output.String(), "SFATAL\x00")
	if len(coord.open) != 1 || refusals != 4 || fatal != 1 || !conn.closed {
		t.Errorf("%d queries are accepted, %d refused as the program shuts down, %d times fatal, closed %v", len(coord.open), refusals, fatal,
			conn.closed)
	}
}
