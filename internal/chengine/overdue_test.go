package chengine

import (
	"testing"

	"thymeway/choice"
	"thymeway/internal/coordinator"
	"thymeway/internal/deadline"
	"thymeway/internal/faultlog"
	"thymeway/internal/transport"
)

// silentDialer opens connections on which nothing is ever received.
type silentDialer struct{ handlers []transport.Handler }

func (d *silentDialer) Dial(_ string, h transport.Handler) { d.handlers = append(d.handlers, h) }

// silentConn is an open connection of a silentDialer.
type silentConn struct{}

func (silentConn) Write([]byte) {}
func (silentConn) Close()       {}
func (silentConn) CloseWrite()  {}
func (silentConn) Abort()       {}
func (c silentConn) Finish()    { c.Close() }
func (silentConn) Pending() int { return 0 }
func (silentConn) Idle() bool   { return true }

// recordingListener records what is reported of attempts.
type recordingListener struct {
	overdue int
	ended   []coordinator.Outcome
}

func (l *recordingListener) AttemptEnded(o coordinator.Outcome)                             { l.ended = append(l.ended, o) }
func (l *recordingListener) RequestOverdue(string)                                          { l.overdue++ }
func (l *recordingListener) NoticeReceived(string, string, int, choice.NoticeKind, float64) {}
func (l *recordingListener) ProbeEnded(coordinator.Outcome)                                 {}

// Guards against a crash after the event loop has stood still: the timer of an attempt then fires only after the query must have
// ended, and the attempt was reported as served without a result.
func TestStalledEventLoopReportsAttemptAsServed(t *testing.T) {
	const waitUntil = 3000.0
	for _, lateness := range []float64{0, responseSlack / 2, responseSlack, 10 * responseSlack} {
		now, dialer, listener, queue := 0.0, &silentDialer{}, &recordingListener{}, deadline.New()
		clock := func() float64 { return now }
		fleet := &Fleet{Dialer: dialer, Deadlines: queue, Now: clock, Listener: listener,
			Faults: &faultlog.FaultLog{Now: clock}, MaxConns: 4, MaxResultBytes: 1 << 20}
		fleet.Update(coordinator.ListedEngine{Engine: choice.Engine{ID: "ch-1"}, Addr: "127.0.0.1:4101"})
		fleet.Send(coordinator.Attempt{Request: &coordinator.Request{Request: choice.Request{ID: "r1"}, Statement: "SELECT 1"},
			Engine: "ch-1", WaitUntil: waitUntil})
		dialer.handlers[0].Opened(silentConn{})
		now = waitUntil + lateness
		queue.RunDue(now)
		now += 2 * responseSlack
		queue.RunDue(now)
		if listener.overdue != 1 || len(listener.ended) != 1 || listener.ended[0].EndReason != transport.NoAnswer {
			t.Errorf("%v ms late: reported overdue %d times, ended %v", lateness, listener.overdue, listener.ended)
		}
		if fleet.InFlight() != 0 {
			t.Errorf("%v ms late: %d attempts are in flight", lateness, fleet.InFlight())
		}
	}
}
