package choice

import "testing"

// A Deduplicated request that may have run cannot be repeated once its window has passed. It must be failed then, neither
// held until its deadline nor refused, since a refusal promises that a new try is safe.
func TestDeduplicatedRequestFailsAfterItsWindow(t *testing.T) {
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
	for range 48 { // the deduplication window ends 5,000 ms after the send
		h.requireNoSend(h.step(100, Timer{"check"}))
	}
	actions = h.step(300, Timer{"check"})
	for _, a := range actions {
		if f, ok := a.(Fail); ok && f.Reason == ReasonMayHaveRun {
			return
		}
	}
	t.Fatalf("no failure with the reason may-have-run after the window: %v", actions)
}
