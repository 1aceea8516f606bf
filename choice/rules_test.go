package choice

import (
	"fmt"
	"testing"
)

// Drain rule: an engine that is draining or no longer listed gets no request.
func TestNothingSentToDrainingOrRemovedEngine(t *testing.T) {
	h := newHarness(t, testSettings(), testEngine("e1"))
	draining := testEngine("e1")
	draining.Status = Draining
	h.requireNoSend(h.step(1, EngineList{Engines: []Engine{draining}}, testRequest("a", "quick", h)))
	h.step(1, EngineList{Complete: true})
	h.requireNoSend(h.step(1, testRequest("b", "quick", h)))
}

// Idempotency rule: an AtMostOnce request that may have run must be failed, neither sent again nor refused, since a second run
// would repeat its effect. One that certainly did not run must be sent again.
func TestAtMostOnceRequestThatMayHaveRunIsFailed(t *testing.T) {
	for _, c := range []struct {
		res  Result
		want string
	}{{Timeout, "fail a"}, {Reset, "fail a"}, {Error, "fail a"}, {Cancelled, "fail a"}, {Full, ""}, {ConnectFailed, ""}} {
		h := newHarness(t, testSettings(), testEngine("e1"), testEngine("e2"))
		s := h.requireOneSend(h.step(1, testRequest("a", "load", h)))
		actions := h.step(50, Outcome{Request: "a", Engine: s.Engine, Result: c.res})
		if c.want == "" {
			if got := h.requireOneSend(actions); got.Request != "a" {
				t.Errorf("result %v: sent %v, want a", c.res, actions)
			}
			continue
		}
		if got := finalAnswers(actions); len(got) != 1 || got[0] != c.want || len(sendActions(actions)) > 0 {
			t.Errorf("result %v: got %v, want only a failure", c.res, actions)
		}
	}
}

// Idempotency rule: whichever function calls it, send must not start a second attempt while one is open, nor repeat a load that
// may have run.
func TestSendEnforcesIdempotency(t *testing.T) {
	h := newHarness(t, testSettings(), testEngine("e1"), testEngine("e2"))
	h.step(1, testRequest("a", "quick", h), testRequest("b", "load", h))
	a, b := h.scheduler.requests["a"], h.scheduler.requests["b"]
	if h.scheduler.send(a, h.scheduler.engines[1], 1) {
		t.Error("sent a second attempt while one is open")
	}
	b.openAttempts, b.mayHaveRunOn = nil, h.scheduler.engines[0]
	if h.scheduler.send(b, h.scheduler.engines[1], 1) {
		t.Error("a load that may have run was sent again")
	}
}

// Idempotency rule: engines discard repeats of a Deduplicated request only in the cell of its first attempt and within a time
// window. A request that may have run must not be sent elsewhere, and must be failed after the window.
func TestDeduplicatedRepeatStaysInCellAndWindow(t *testing.T) {
	e2, e3 := testEngine("e2"), testEngine("e3")
	e2.Cell, e3.Cell = 1, 1
	h := newHarness(t, testSettings(), testEngine("e1"), e2, e3)
	first := h.requireOneSend(h.step(1, testRequest("a", "keyed", h)))
	cell := h.scheduler.engineByID[first.Engine].Cell
	actions := h.step(50, Outcome{Request: "a", Engine: first.Engine, Result: Error})
	if got := h.requireOneSend(actions); h.scheduler.engineByID[got.Engine].Cell != cell {
		t.Fatalf("sent out of its cell: %v", got)
	}
	actions = h.step(6000, Outcome{Request: "a", Attempt: 1, Engine: first.Engine, Result: Error})
	h.requireNoSend(actions)
	if got := finalAnswers(actions); len(got) != 1 || got[0] != "fail a" {
		t.Fatal(got)
	}
}

// Order rule: loads of one order key run one at a time, in the order in which they arrived. After an attempt that may still
// run, the next load must not be sent before the OrderSettleTime is over.
func TestLoadsOfOneKeyRunOneAtATime(t *testing.T) {
	s := testSettings()
	s.OrderSettleTime = 300
	h := newHarness(t, s, testEngine("e1"), testEngine("e2"))
	a, b := testRequest("a", "load", h), testRequest("b", "load", h)
	a.OrderKey, b.OrderKey = "k", "k"
	first := h.requireOneSend(h.step(1, a, b))
	if first.Request != "a" {
		t.Fatalf("want a sent first, got %v", first)
	}
	h.requireNoSend(h.step(50, Outcome{Request: "a", Engine: first.Engine, Result: Timeout}))
	h.requireNoSend(h.step(200, Timer{"check"}))
	if got := h.requireOneSend(h.step(201, Timer{"check"})); got.Request != "b" {
		t.Fatal(got)
	}
}

// Placement rule: queries of a class that is limited to zones and kinds of engines are sent only to engines that match both.
func TestClassRunsOnlyInItsZonesAndKinds(t *testing.T) {
	h := newHarness(t, testSettings(), testEngine("e1"), Engine{ID: "e2", Zone: "b", Kind: "other"})
	h.requireNoSend(h.step(1, testRequest("a", "tied", h)))
	if got := h.requireOneSend(h.step(1, EngineList{Engines: []Engine{{ID: "e3", Zone: "b", Kind: "k8"}}})); got.Engine != "e3" {
		t.Fatal(got)
	}
}

// Retry ration: attempts beyond the ration must not be sent, even if every other rule allows them. Otherwise failing engines
// would cause a retry storm.
func TestRetryRationLimitsFurtherAttempts(t *testing.T) {
	s := testSettings()
	s.HasRetryRation, s.RetryRationFree, s.RetryRationShare, s.RetryRationWindow = true, 2, 0, 5000
	h := newHarness(t, s, testEngine("e1"), testEngine("e2"))
	n := 0
	for i := 0; i < 10; i++ {
		id := fmt.Sprint("r", i)
		got := h.requireOneSend(h.step(10, testRequest(id, "quick", h)))
		n += len(sendActions(h.step(10, Outcome{Request: id, Engine: got.Engine, Result: Error},
			Outcome{Request: "x", Engine: got.Engine, Result: OK})))
		h.scheduler.engineByID[got.Engine].errorsInRow, h.scheduler.engineByID[got.Engine].healthByClass = 0, nil
	}
	if n != 2 {
		t.Fatalf("%d further attempts, want 2", n)
	}
}

// Cold engine rule: the work sent to an engine that has just started must stay below its budget, or it overloads the engine.
func TestColdEngineStaysUnderBudget(t *testing.T) {
	s := testSettings()
	s.Kinds[0].Cores = 64 // so that the room test limits nothing
	e := testEngine("e1")
	e.StartedAt = 999
	h := newHarness(t, s, e)
	work := 0.0
	for i := 0; i < 100; i++ { // answered at once, so that the room test limits nothing
		for _, x := range sendActions(h.step(1, testRequest(fmt.Sprint("r", i), "wide", h))) {
			work += 3000
			h.step(0, Outcome{Request: x.Request, Engine: "e1", Result: OK, Duration: 1000, Work: 3000, RequestEnded: true})
		}
	}
	if budget := s.OverloadMultiple * s.ColdCapacityShare * 64 * s.OverloadWindow; work == 0 || work > 0.9*budget {
		t.Fatalf("sent %v ms of work, want some, and at most 0.9 of the budget of %v", work, budget)
	}
}

// Loads of one table group run one after another, and the expected time of each includes those ahead of it. The wait for
// two of them is therefore the time of the last, not the sum.
func TestWaitBehindQueuedLoads(t *testing.T) {
	h := newHarness(t, testSettings(), testEngine("e1"))
	e, q := h.scheduler.engines[0], &request{Request: testRequest("q", "load", h), class: h.scheduler.classes["load"]}
	alone := h.scheduler.predictLatency(e, q, false)
	for i, expect := range []float64{1000, 2000} {
		e.openAttempts = append(e.openAttempts,
			&attempt{request: &request{Request: Request{TableGroup: "7"}, class: q.class}, engine: e, number: i,
				sentAt: h.now, expectedTime: expect})
	}
	e.lastResponseAt = h.now
	if got := h.scheduler.predictLatency(e, q, false) - alone; got != 2000 {
		t.Errorf("the wait behind loads expected to take 1000 and 2000 ms is %.0f ms, want 2000", got)
	}
}

// A request with AtMostOnce set must not run twice, whatever its class allows. Once it may have run it must be neither sent
// again nor refused, and its attempts must not be cancelled to move it. If the engine did not start it, it must be sent again.
func TestAtMostOnceRequestIsNotRepeated(t *testing.T) {
	for _, class := range []string{"quick", "keyed"} {
		for _, c := range []struct {
			result Result
			again  bool
		}{{Full, true}, {NotRun, true}, {Error, false}, {Reset, false}, {Timeout, false}, {Cancelled, false}} {
			h := newHarness(t, testSettings(), testEngine("e1"), testEngine("e2"))
			q := testRequest("q", class, h)
			q.AtMostOnce = true
			s := h.requireOneSend(h.step(1, q))
			actions := h.step(5, Outcome{Request: "q", Engine: s.Engine, Result: c.result, Duration: 5})
			for i := 0; i < 20 && len(sendActions(actions)) == 0 && len(finalAnswers(actions)) == 0; i++ {
				actions = h.step(60, Timer{"check"})
			}
			if got := len(sendActions(actions)) == 1; got != c.again {
				t.Errorf("%s, result %v: sent again is %v", class, c.result, got)
			}
			if f := finalAnswers(actions); !c.again && (len(f) != 1 || f[0] != "fail q") {
				t.Errorf("%s, result %v: want a failure, got %v", class, c.result, f)
			}
		}
	}
	h := newHarness(t, testSettings(), testEngine("e1"), testEngine("e2"))
	q := testRequest("q", "quick", h)
	q.AtMostOnce = true
	h.requireOneSend(h.step(1, q))
	for range 15 { // the attempt is silent for far longer than answers of its class take
		for _, a := range h.step(100, Timer{"check"}) {
			if _, ok := a.(Cancel); ok {
				t.Fatal("its attempt was cancelled")
			}
		}
	}
}
