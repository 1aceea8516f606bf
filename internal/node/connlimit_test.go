package node

import (
	"testing"

	"thymeway/internal/configtest"
	"thymeway/internal/deadline"
)

// Clients of both protocols share one connection limit. At the limit, a new connection evicts the one that has been idle longest,
// whatever the protocols of the two, but never one with an open request.
func TestProtocolsShareConnectionLimit(t *testing.T) {
	c := configtest.Example(t)
	c.Local.ClickHouse.Listen = "127.0.0.1:8123"
	runner := &scriptRunner{t: t, now: startTime, deadlines: deadline.New(), clients: map[string]*scriptedConn{},
		cancelKeys: map[string][]byte{}}
	n, err := New(c, runner, runner.deadlines, func() float64 { return runner.now }, func() { runner.wakeRequested = true })
	if err != nil {
		t.Fatal(err)
	}
	runner.node, n.clientSlots.MaxConnections = n, 3
	play := func(lines ...string) {
		for _, l := range lines {
			runner.playLine(l)
			runner.runTurns()
		}
	}
	play("A start", "h1 GET /ping", "B start",
		`B query /* verb=lookup,txn=9b1f03aa5c7e2d01,limit=1500,team=acme */ SELECT 1 FROM t`)
	for _, x := range []struct{ line, evicted string }{{"h2 GET /ping", "A"}, {"C start", "h1"}, {"h3 GET /ping", "h2"},
		{"D start", "C"}} {
		play(x.line)
		if !runner.clients[x.evicted].closed || runner.clients["B"].closed || n.clientSlots.Count() != 3 {
			t.Errorf("%s: %s closed: %v, B closed: %v, %d slots in use", x.line, x.evicted, runner.clients[x.evicted].closed,
				runner.clients["B"].closed, n.clientSlots.Count())
		}
	}
}
