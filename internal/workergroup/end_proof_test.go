package workergroup

import (
	"fmt"
	"testing"

	"thymeway/choice"
	"thymeway/internal/coordinator"
	"thymeway/internal/deadline"
	"thymeway/internal/faultlog"
	"thymeway/internal/transport"
)

// silentNetwork is a network whose worker groups accept connections and never respond.
type silentNetwork struct {
	opened, open int
	pendingDials []func()
}

func (n *silentNetwork) Dial(_ string, h transport.Handler) {
	n.pendingDials = append(n.pendingDials, func() {
		n.opened++
		n.open++
		h.Opened(&silentConn{n})
	})
}

// silentConn is an open connection of a silentNetwork.
type silentConn struct{ network *silentNetwork }

func (c *silentConn) Write([]byte) {}
func (c *silentConn) Close()       { c.network.open-- }
func (c *silentConn) CloseWrite()  {}
func (c *silentConn) Abort()       { c.network.open-- }
func (c *silentConn) Finish()      { c.Close() }
func (c *silentConn) Pending() int { return 0 }
func (c *silentConn) Idle() bool   { return true }

// countingListener counts the ended attempts and the overdue reports, by request.
type countingListener struct {
	ended, overdue map[string]int
}

func (l *countingListener) AttemptEnded(o coordinator.Outcome)                             { l.ended[o.Request]++ }
func (l *countingListener) RequestOverdue(id string)                                       { l.overdue[id]++ }
func (l *countingListener) NoticeReceived(string, string, int, choice.NoticeKind, float64) {}
func (l *countingListener) ProbeEnded(coordinator.Outcome)                                 {}

// Guards against a leak: with worker groups that accept connections and never respond, silent connections are kept open and
// the end of attempts stays unproven. The connection limit must hold all the same, and in the end no attempt, connection, call
// or deadline may be left.
func TestPermanentlySilentWorkerGroups(t *testing.T) {
	now, network, listener := 0.0, &silentNetwork{}, &countingListener{map[string]int{}, map[string]int{}}
	queue := deadline.New()
	fleet := &Fleet{Dialer: network, Deadlines: queue, Now: func() float64 { return now }, Listener: listener,
		Faults:         &faultlog.FaultLog{Now: func() float64 { return now }},
		ConnectTimeout: 250, ConnIdleTimeout: 10000, MaxConns: 20}
	for i := range 3 {
		fleet.Update(coordinator.ListedEngine{Engine: choice.Engine{ID: fmt.Sprint("s", i)},
			Addr: fmt.Sprint("127.0.0.1:410", i)})
	}
	run := func(until float64) {
		for {
			for len(network.pendingDials) > 0 {
				dials := network.pendingDials
				network.pendingDials = nil
				for _, dial := range dials {
					dial()
				}
			}
			if network.open > 20 {
				t.Fatalf("%d connections are open", network.open)
			}
			at, ok := queue.Next()
			if !ok || at > until {
				now = until
				return
			}
			now = max(now, at)
			queue.RunDue(now)
		}
	}
	const attempts = 200
	for i := range attempts {
		fleet.Send(coordinator.Attempt{Request: &coordinator.Request{Request: choice.Request{ID: fmt.Sprint("r", i)}},
			Engine: fmt.Sprint("s", i%3), WaitUntil: now + 3000})
		run(now + 100)
	}
	run(now + 400e3)
	posted := 0
	for i := range attempts {
		id := fmt.Sprint("r", i)
		posted += listener.overdue[id]
		if listener.ended[id] != 1 {
			t.Errorf("%s ended %d times", id, listener.ended[id])
		}
	}
	if posted < 20 {
		t.Errorf("only %d attempts had their POST written", posted)
	}
	if fleet.InFlight() != 0 || fleet.connCount != 0 {
		t.Errorf("%d attempts and %d connections are left", fleet.InFlight(), fleet.connCount)
	}
	for _, g := range fleet.groups.All() {
		if len(g.queries) != 0 || len(g.silent) != 0 || len(g.waiting) != 0 {
			t.Errorf("%s: %d queries, %d silent connections and %d calls are left",
				g.Addr, len(g.queries), len(g.silent), len(g.waiting))
		}
	}
	if _, ok := queue.Next(); ok {
		t.Error("a deadline is left")
	}
}
