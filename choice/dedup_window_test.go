package choice

import "testing"

// A keyed request that may have run and whose window has passed cannot be repeated. It must be failed then, neither held to
// its deadline nor refused, since a refusal promises that a new try does no harm.
func TestKeyedRequestFailsAfterItsWindow(t *testing.T) {
	s := testSettings()
	for i := range s.Classes {
		if s.Classes[i].Name == "keyed" {
			s.Classes[i].DedupScope, s.Classes[i].LateValueShare = DedupEverywhere, 0.5
		}
	}
	h := newHarness(t, s, testEngine("e1"))
	h.requireOneSend(h.step(1, testRequest("k", "keyed", h)))
	draining := testEngine("e1")
	draining.Status = Draining
	actions := h.step(10, EngineList{Engines: []Engine{draining}}, Outcome{Request: "k", Engine: "e1", Result: Error})
	h.requireNoSend(actions)
	for range 48 { // the window ends 5,000 ms after the send
		h.requireNoSend(h.step(100, Timer{"check"}))
	}
	actions = h.step(300, Timer{"check"})
	for _, a := range actions {
		if f, ok := a.(Fail); ok && f.Reason == ReasonMayHaveRun {
			return
		}
	}
	t.Fatalf("not failed as possibly run after its window: %v", actions)
}
