package choice

import (
	"fmt"
	"math"
	"testing"
)

// A subscription to the engine list that breaks must be renewed soon, or the scheduler works with an old list. The pauses
// must grow, or a failing discovery service is flooded with subscriptions.
func TestBrokenSubscriptionIsRepeated(t *testing.T) {
	s := testSettings()
	s.MustSubscribe = true
	h := newHarness(t, s)
	subscriptions := 0
	for i := 0; i < 100; i++ {
		var events []Event
		for _, a := range h.step(100, Timer{"check"}) {
			if _, ok := a.(Subscribe); ok {
				subscriptions++
				events = append(events, EngineList{Failed: true})
			}
		}
		h.step(0, events...)
	}
	if subscriptions < 4 || subscriptions > 30 {
		t.Fatalf("subscribed %d times in 10 s, want 4 to 30", subscriptions)
	}
}

// Events about ended or unknown requests, engines and timers may arrive late. They must cause no action, and not disturb
// requests that are open.
func TestEventsOfUnknownRequestsAndEnginesAreIgnored(t *testing.T) {
	h := newHarness(t, testSettings(), testEngine("e1"))
	actions := h.step(1, Outcome{Request: "no", Engine: "e9", Result: OK}, ClientGone{"no"}, Timer{"old"}, Notice{Request: "no"},
		ProbeResult{Engine: "e9", Result: OK}, EngineList{Failed: true},
		Request{ID: "u", Class: "unheard", Deadline: h.now + 900})
	if got := h.requireOneSend(actions); got.Request != "u" {
		t.Fatal(got)
	}
	if len(h.step(1, Outcome{Request: "u", Engine: "e1", Result: OK, RequestEnded: true, Work: math.Inf(1)},
		ClientGone{"u"})) > 1 {
		t.Fatal("an event of an ended request caused an action")
	}
}

// When a client disconnects, its query must be cancelled, or the engine works on an answer that nobody receives.
func TestClientGoneCancelsAttempt(t *testing.T) {
	scheduler := New(testSettings(), 0)
	scheduler.Step(0, []Event{EngineList{Complete: true, Engines: []Engine{{ID: "e0", Zone: "a", Kind: "k8"}}}})
	scheduler.Step(1, []Event{Request{ID: "q", Class: "quick", Deadline: 2000}})
	for _, a := range scheduler.Step(10, []Event{ClientGone{"q"}}) {
		if a == (Cancel{"q", 0}) {
			return
		}
	}
	t.Error("attempt not cancelled after its client disconnected")
}

// The final answer must be given in the step in which it is certain that a request will not succeed. If the request stayed
// open, its client would wait for an answer that never comes.
func TestFinalAnswerComesAtOnce(t *testing.T) {
	answer := func(actions []Action) Action {
		for _, a := range actions {
			switch a.(type) {
			case Refuse, Fail:
				return a
			}
		}
		return nil
	}
	list := EngineList{Complete: true, Engines: []Engine{{ID: "e0", Zone: "a", Kind: "k8"}}}
	t.Run("overload", func(t *testing.T) { // no room: refused once the latency target cannot be met
		scheduler := New(testSettings(), 0)
		scheduler.Step(0, []Event{list})
		refused := 0
		for i := 0; i < 40; i++ {
			if a, ok := answer(scheduler.Step(1, []Event{
				Request{ID: fmt.Sprint("w", i), Class: "quick", Deadline: 2000}})).(Refuse); ok {
				if refused++; a.RetryAfter <= 0 {
					t.Errorf("refused without advice when to try again: %v", a)
				}
			}
		}
		for now := 10.0; now < 420; now += 10 {
			for _, a := range scheduler.Step(now, []Event{Timer{"check"}}) {
				if _, ok := a.(Refuse); ok {
					refused++
				}
			}
		}
		if refused < 20 { // the engine has room for 16
			t.Errorf("%d of 40 refused by their latency target, want at least 20", refused)
		}
	})
	t.Run("latency target passed", func(t *testing.T) { // no engine: refused at the target, not the deadline
		scheduler := New(testSettings(), 0)
		scheduler.Step(0, []Event{Request{ID: "q", Class: "quick", Deadline: 2000}})
		for now := 10.0; now < 420; now += 10 {
			if answer(scheduler.Step(now, []Event{Timer{"check"}})) != nil {
				return
			}
		}
		t.Error("held past its latency target with no answer")
	})
	t.Run("attempts used up", func(t *testing.T) {
		s := testSettings()
		s.MaxAttempts = 1
		scheduler := New(s, 0)
		scheduler.Step(0, []Event{list})
		scheduler.Step(1, []Event{Request{ID: "q", Class: "wide", Deadline: 25000}})
		if answer(scheduler.Step(5, []Event{Outcome{Request: "q", Engine: "e0", Result: Error, Duration: 4}})) == nil {
			t.Error("no answer in the step in which its only attempt failed")
		}
	})
	t.Run("may have run", func(t *testing.T) { // failed at once, neither sent again nor refused
		scheduler := New(testSettings(), 0)
		scheduler.Step(0, []Event{list})
		scheduler.Step(1, []Event{Request{ID: "q", Class: "load", Deadline: 20000}})
		if _, ok := answer(scheduler.Step(5, []Event{
			Outcome{Request: "q", Engine: "e0", Result: Reset, Duration: 4}})).(Fail); !ok {
			t.Error("a load whose attempt was reset is not failed at once")
		}
	})
}

// At shutdown every open request must get its final answer and every attempt be cancelled, or clients and engines are left
// with requests that nobody handles.
func TestShutdownAnswersOpenRequests(t *testing.T) {
	h := newHarness(t, testSettings(), testEngine("e1"))
	h.step(1, testRequest("a", "wide", h), testRequest("b", "load", h))
	actions := h.step(1, ShuttingDown{})
	if got := fmt.Sprint(actions[:4]); got != "[{a 0} "+fmt.Sprint(actions[1])+" {b 0} {b shutdown}]" ||
		len(h.scheduler.waiting) > 0 {
		t.Fatalf("got %v, want a cancel and a final answer for each request", actions)
	}
}

// State of order keys, table groups and engines that are no longer in use must be dropped, or memory grows without bound.
func TestUnusedStateIsDropped(t *testing.T) {
	s := testSettings()
	s.OrderSettleTime = 5
	h := newHarness(t, s, testEngine("e1"))
	for i := 0; i < 50; i++ {
		id := fmt.Sprint("k", i)
		q := testRequest(id, "load", h)
		q.OrderKey, q.TableGroup = id, id
		h.step(10, q)
		h.step(10, Outcome{Request: id, Engine: "e1", Result: Cancelled})
	}
	h.step(0, EngineList{Complete: true, Engines: []Engine{testEngine("e2")}})
	for i := 0; i < 3; i++ {
		h.step(40000, Timer{"check"})
	}
	if scheduler := h.scheduler; len(scheduler.orderKeys)+len(scheduler.tableGroups.byName)+len(scheduler.requests) > 0 ||
		len(scheduler.engines) != 1 || len(scheduler.engines[0].tableGroupSentAt) > 0 {
		t.Errorf("still kept: %d keys, %d table groups, %d requests, %d engines",
			len(scheduler.orderKeys), len(scheduler.tableGroups.byName), len(scheduler.requests), len(scheduler.engines))
	}
}
