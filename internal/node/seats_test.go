package node

import (
	"testing"

	"thymeway/internal/conftest"
	"thymeway/internal/deadline"
)

// Clients of both protocols share one bound: where there is no place for a newcomer, whichever session has rested longest
// gives way, over either protocol, and never one that has an open request.
func TestProtocolsShareSeats(t *testing.T) {
	c := conftest.Example(t)
	c.Local.ClickHouse.Listen = "127.0.0.1:8123"
	p := &player{t: t, now: start, queue: deadline.New(), clients: map[string]*side{}, keys: map[string][]byte{}}
	n, err := New(c, p, p.queue, func() float64 { return p.now }, func() { p.woken = true })
	if err != nil {
		t.Fatal(err)
	}
	p.n, n.seats.MaxConnections = n, 3
	step := func(lines ...string) {
		for _, l := range lines {
			p.play(l)
			p.settle()
		}
	}
	step("A start", "h1 GET /ping", "B start", `B query /* verb=lookup,txn=9b1f03aa5c7e2d01,limit=1500,team=acme */ SELECT 1 FROM t`)
	for _, x := range []struct{ line, gives string }{{"h2 GET /ping", "A"}, {"C start", "h1"}, {"h3 GET /ping", "h2"}, {"D start", "C"}} {
		step(x.line)
		if !p.clients[x.gives].closed || p.clients["B"].closed || n.seats.Count() != 3 {
			t.Errorf("%s: %s is closed %v, B %v, %d seats taken", x.line, x.gives, p.clients[x.gives].closed, p.clients["B"].closed, n.seats.Count())
		}
	}
}
