package node

import (
	"testing"

	"thymeway/choice"
	"thymeway/internal/config"
	"thymeway/internal/configtest"
	"thymeway/internal/coordinator"
	"thymeway/internal/deadline"
	"thymeway/internal/transport"
)

// lateDialer establishes connections when the test says so.
type lateDialer struct{ handlers []transport.Handler }

func (d *lateDialer) Dial(_ string, h transport.Handler) { d.handlers = append(d.handlers, h) }

// Guards against attempts that begin after their client has gone, or after its request was refused: the connection for the attempt
// comes up only then, and the settings allow no cancelling. What was not written needs none.
func TestAttemptBeginsAfterClientHasGone(t *testing.T) {
	for _, clickHouse := range []bool{false, true} {
		for _, canCancel := range []bool{false, true} {
			for name, end := range map[string]func(n *Node, r *coordinator.Request){
				"client gone":   func(n *Node, r *coordinator.Request) { n.Coordinator.Drop(r) },
				"shutting down": func(n *Node, _ *coordinator.Request) { n.Coordinator.ShutDown() },
			} {
				cfg := configtest.Example(t)
				cfg.Scheduler.CanCancel = canCancel
				if clickHouse {
					cfg.Local.Kinds = map[string]config.Kind{"std-12": {Protocol: "clickhouse"}}
				}
				now, deadlines, dialer := 1.7e12, deadline.New(), &lateDialer{}
				n, err := New(cfg, dialer, deadlines, func() float64 { return now }, func() {})
				if err != nil {
					t.Fatal(err)
				}
				answer := &answerRecorder{}
				request := &coordinator.Request{Request: choice.Request{ID: "9b1f03aa5c7e2d01", Class: "lookup", Tenant: "acme",
					Deadline: now + 3000}, Statement: "SELECT a FROM sales_17.orders", Protocol: "postgres", Client: answer}
				n.Coordinator.Submit(request)
				n.Turn()
				if len(dialer.handlers) != 1 {
					t.Fatalf("%d connections are opened, want 1", len(dialer.handlers))
				}
				now += 50
				end(n, request)
				n.Turn()
				now += 150
				conn := &fakeConn{handler: dialer.handlers[0]}
				conn.handler.Opened(conn)
				n.Turn()
				if len(conn.written) > 0 {
					t.Errorf("ClickHouse %v, cancelling %v, %s: %q is written", clickHouse, canCancel, name, conn.written)
				}
				now += 30000
				deadlines.RunDue(now)
				n.Turn()
				if n.inFlight() != 0 || n.Coordinator.Unanswered() != 0 {
					t.Errorf("ClickHouse %v, cancelling %v, %s: %d attempts and %d requests are left", clickHouse, canCancel, name,
						n.inFlight(), n.Coordinator.Unanswered())
				}
			}
		}
	}
}
