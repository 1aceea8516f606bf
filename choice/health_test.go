package choice

import (
	"testing"
)

// An engine that stops answering keeps its low predicted latency, so its attempts would never be moved. They must be
// cancelled, and their requests sent to another engine.
func TestAttemptOnUnresponsiveEngineIsMoved(t *testing.T) {
	h := newHarness(t, testSettings(), testEngine("e1"), testEngine("e2"))
	silent := h.requireOneSend(h.step(1, testRequest("a", "quick", h))).Engine
	cancelled := false
	for i := 0; i < 18 && !cancelled; i++ {
		for _, a := range h.step(100, Timer{"check"}) {
			_, ok := a.(Cancel)
			cancelled = cancelled || ok
		}
	}
	if !cancelled {
		t.Fatal("attempt on an unresponsive engine not cancelled within 1,800 ms")
	}
	if got := h.requireOneSend(h.step(1, Outcome{Request: "a", Engine: silent, Result: Cancelled})); got.Engine == silent {
		t.Fatal("sent to the unresponsive engine again")
	}
}

// An attempt may be lost while its engine runs others, so that the engine looks healthy. The attempt's missing progress
// notices must show the loss, and it must be cancelled.
func TestLostAttemptIsMoved(t *testing.T) {
	s := testSettings()
	s.NoticePeriod = 500
	h := newHarness(t, s, testEngine("e1"))
	h.step(1, testRequest("a", "wide", h), testRequest("b", "wide", h))
	for i := 0; i < 20; i++ {
		for _, a := range h.step(100, Timer{"check"}, Notice{"b", 0, "e1", NoticeProgress, 0.5}) {
			if c, ok := a.(Cancel); ok {
				if c.Request != "a" {
					t.Fatalf("an attempt with progress notices was cancelled: %v", c)
				}
				return
			}
		}
	}
	t.Fatal("lost attempt not cancelled within 2,000 ms")
}

// A query with a bad plan runs many times longer than predicted. Its progress shows this early, and it must be cancelled so
// that it can be restarted.
func TestAttemptWithBadPlanIsRestarted(t *testing.T) {
	s := testSettings()
	s.NoticePeriod = 500
	h := newHarness(t, s, testEngine("e1"), testEngine("e2"))
	got := h.requireOneSend(h.step(1, testRequest("a", "wide", h)))
	actions := h.step(500, Notice{"a", 0, got.Engine, NoticeProgress, 0.01}, Timer{"check"})
	if len(actions) == 0 || actions[0] != (Cancel{"a", 0}) {
		t.Fatalf("attempt that would take 50 s not cancelled: %v", actions)
	}
}

// After a failed connection an engine is paused, and then tried with a single attempt. If all waiting requests were sent at
// once, all would fail if the engine is still down.
func TestFailedEngineIsPausedThenTriedOnce(t *testing.T) {
	h := newHarness(t, testSettings(), testEngine("e1"))
	h.step(1, testRequest("a", "load", h))
	h.requireNoSend(h.step(1, Outcome{Request: "a", Engine: "e1", Result: ConnectFailed}))
	h.requireNoSend(h.step(1, testRequest("b", "load", h)))
	if got := sendActions(h.step(600, Timer{"check"})); len(got) != 1 {
		t.Fatalf("want one attempt on the paused engine, got %v", got)
	}
}

// A poor network link occasionally resets a connection. A single reset must neither pause the engine nor make it count as
// restarted and cold.
func TestSingleResetDoesNotPauseEngine(t *testing.T) {
	h := newHarness(t, testSettings(), testEngine("e1"))
	h.step(1, testRequest("a", "quick", h), testRequest("b", "quick", h))
	if got := h.requireOneSend(h.step(1, Outcome{Request: "a", Engine: "e1", Result: Reset})); got.Engine != "e1" {
		t.Fatal(got)
	}
	h.scheduler.now = h.now
	if share := h.scheduler.slowStartShare(h.scheduler.engines[0]); share != 1 {
		t.Fatalf("counts as cold after one reset: share of its capacity %v, want 1", share)
	}
}

// An engine whose attempts all fail fast looks idle and would attract all traffic. It must be paused after three failures in
// a row.
func TestFastFailingEngineIsPaused(t *testing.T) {
	for _, result := range []Result{Error, Reset} {
		h := newHarness(t, testSettings(), testEngine("e1"))
		h.step(1, testRequest("a", "quick", h), testRequest("b", "quick", h), testRequest("c", "quick", h))
		actions := h.step(1, Outcome{Request: "a", Engine: "e1", Result: result},
			Outcome{Request: "b", Engine: "e1", Result: result},
			Outcome{Request: "c", Engine: "e1", Result: result})
		h.requireNoSend(actions)
	}
}

// Queries of some classes take long without a bad plan. Once restarts have saved no time in a class, its slow attempts must
// not be restarted.
func TestHeavyClassIsNotRestarted(t *testing.T) {
	s := testSettings()
	s.NoticePeriod = 500
	h := newHarness(t, s, testEngine("e1"), testEngine("e2"))
	c := h.scheduler.classes["wide"]
	c.restartShare, c.restartShareAt = 1, h.now
	got := h.requireOneSend(h.step(1, testRequest("a", "wide", h)))
	for _, a := range h.step(500, Notice{"a", 0, got.Engine, NoticeProgress, 0.05}, Timer{"check"}) {
		if _, ok := a.(Cancel); ok {
			t.Fatal("restarted although restarts save no time in its class")
		}
	}
}

// A faulty request fails on every engine, and could pause the whole fleet. It must be failed after three engines, and must not
// count against any of them.
func TestRequestFailingOnThreeEnginesIsFailed(t *testing.T) {
	h := newHarness(t, testSettings(), testEngine("e1"), testEngine("e2"), testEngine("e3"), testEngine("e4"))
	for _, id := range []string{"a", "b", "c", "d", "f"} {
		actions, tried := h.step(1, testRequest(id, "quick", h)), map[string]bool{}
		for n := 0; n < 3; n++ {
			s := h.requireOneSend(actions)
			if tried[s.Engine] {
				t.Fatalf("%s: sent to %s again", id, s.Engine)
			}
			tried[s.Engine] = true
			actions = h.step(1, Outcome{Request: id, Attempt: n, Engine: s.Engine, Result: Error})
		}
		if _, ok := actions[len(actions)-1].(Fail); !ok || len(sendActions(actions)) > 0 {
			t.Fatalf("%s: after the third error: %v, want only a failure", id, actions)
		}
	}
	for _, e := range h.scheduler.engines {
		if e.errorsInRow > 0 || e.failures > 0 {
			t.Errorf("%s: %d errors in a row and %d failures count against it, want 0", e.ID, e.errorsInRow, e.failures)
		}
	}
}

// An engine that rejects queries of one class as full and serves another class is paused for the first class only. After the
// pause one attempt of that class tries it, and a successful answer ends the pause.
func TestEngineUnhealthyForOneClassServesOthers(t *testing.T) {
	h := newHarness(t, testSettings(), testEngine("e1"))
	h.step(1, testRequest("ok", "quick", h))
	h.step(1, Outcome{Request: "ok", Engine: "e1", Result: OK, Duration: 1, RequestEnded: true})
	h.requireOneSend(h.step(1, testRequest("w1", "wide", h)))
	h.requireNoSend(h.step(1, Outcome{Request: "w1", Engine: "e1", Result: Full}))
	h.requireOneSend(h.step(1, testRequest("q", "quick", h)))
	h.step(1, Outcome{Request: "q", Engine: "e1", Result: OK, Duration: 1, RequestEnded: true})
	h.requireNoSend(h.step(1, testRequest("w2", "wide", h)))
	got := sendActions(h.step(520, Timer{"check"}))
	if len(got) != 1 {
		t.Fatalf("want one attempt on the paused engine, got %v", got)
	}
	n := h.scheduler.requests[got[0].Request].sendCount - 1
	actions := h.step(1, Outcome{Request: got[0].Request, Attempt: n, Engine: "e1", Result: OK, Duration: 1, RequestEnded: true})
	if actions = append(actions, h.step(60, Timer{"check"}, testRequest("w3", "wide", h))...); len(sendActions(actions)) != 2 {
		t.Fatal("class not sent to the engine again after a successful answer")
	}
}

// A request that an engine rejects as invalid would be rejected everywhere. It must be failed at once, neither sent to
// another engine nor refused, and must not count against the engine.
func TestRejectedRequestFailsAtOnce(t *testing.T) {
	for _, class := range []string{"quick", "keyed", "load"} {
		h := newHarness(t, testSettings(), testEngine("e1"), testEngine("e2"))
		s := h.requireOneSend(h.step(1, testRequest("q", class, h)))
		actions := h.step(5, Outcome{Request: "q", Engine: s.Engine, Result: Rejected, Duration: 5})
		if f := finalAnswers(actions); len(f) != 1 || f[0] != "fail q" || len(sendActions(actions)) > 0 {
			t.Errorf("%s: want only a failure, got %v", class, actions)
		}
		e := h.scheduler.engineByID[s.Engine]
		if e.errorsInRow > 0 || e.failures > 0 || e.pausedUntil > 0 || len(h.scheduler.requests) > 0 {
			t.Errorf("%s: counted against the engine, or request kept: %d errors, %d failures", class, e.errorsInRow, e.failures)
		}
	}
}
