package choice

import (
	"fmt"
	"math"
	"testing"
)

// A query is held for its warm engine while that engine has no room, and sent there as soon as it has.
func TestQueryIsHeldForWarmEngine(t *testing.T) {
	s := testSettings()
	s.Kinds[0].Cores = 1 // room for two threads
	h := newHarness(t, s, testEngine("e1"), testEngine("e2"))
	h.setWarmEngine("e1", "7", 0.2, 3)
	h.scheduler.engineByID["e2"].tableGroupSentAt = map[string]float64{}
	a, b := h.requireOneSend(h.step(1, testRequest("a", "quick", h))), h.requireOneSend(h.step(1, testRequest("b", "quick", h)))
	if a.Engine != "e1" || b.Engine != "e1" {
		t.Fatalf("not sent to the warm engine e1: %v %v", a, b)
	}
	h.requireNoSend(h.step(1, testRequest("c", "quick", h)))
	got := h.requireOneSend(h.step(20, Outcome{Request: "a", Engine: "e1", Result: OK, Duration: 20, RequestEnded: true}))
	if got.Request != "c" || got.Engine != "e1" {
		t.Fatalf("held query not sent to e1 once it had room: %v", got)
	}
}

// An engine counts as warm for a table group for 30 s after the last query sent there, and no longer.
func TestEngineIsNoLongerWarmAfterWindow(t *testing.T) {
	h := newHarness(t, testSettings(), testEngine("e1"))
	h.setWarmEngine("e1", "7", 0.2, 3)
	q := &request{Request: Request{TableGroup: "7"}}
	for _, c := range []struct {
		at   float64
		want bool
	}{{0, true}, {29999, true}, {30001, false}} {
		h.scheduler.now = h.now + c.at
		if got := h.scheduler.isWarm(h.scheduler.engines[0], q); got != c.want {
			t.Errorf("%v ms after the last send: warm is %v", c.at, got)
		}
	}
}

// A warm engine is preferred only if its predicted time is less than 0.8 of the best fallback's; else the query is sent to
// the fallback at once.
func TestFallbackTakenUnlessWarmIsClearlyFaster(t *testing.T) {
	for _, c := range []struct {
		warm float64
		want string
	}{{0.5, "e1"}, {0.85, "e2"}} {
		h := newHarness(t, testSettings(), testEngine("e1"), testEngine("e2"))
		h.setWarmEngine("e1", "7", c.warm, 1)
		if got := h.requireOneSend(h.step(1, testRequest("a", "quick", h))); got.Engine != c.want {
			t.Errorf("warm factor %v: sent to %s, want %s", c.warm, got.Engine, c.want)
		}
	}
}

// A held query is sent to the best fallback once a longer wait would miss its deadline or cost more time than the warm
// engine saves.
func TestHeldQueryIsReleasedToFallback(t *testing.T) {
	s := testSettings()
	s.Kinds[0].Cores = 1
	h := newHarness(t, s, testEngine("e1"), testEngine("e2"))
	h.setWarmEngine("e1", "7", 0.2, 3)
	h.step(1, testRequest("a", "quick", h))
	h.step(1, testRequest("b", "quick", h))
	h.requireNoSend(h.step(1, testRequest("c", "quick", h)))
	for i := 0; i < 30; i++ {
		// The progress notice shows that the engine is alive and only busy.
		if got := sendActions(h.step(50, Timer{"check"}, Notice{"a", 0, "e1", NoticeProgress, 0.1})); len(got) > 0 {
			if got[0].Request != "c" || got[0].Engine != "e2" {
				t.Fatalf("released as %v, want c to e2", got[0])
			}
			return
		}
	}
	t.Fatal("still held after 1,500 ms")
}

// A reported load and the coordinator's own attempts on an engine raise the predicted latency. Implausible estimates of work
// (zero, negative, not finite, huge) are ignored, and the mean work of the class counts.
func TestPredictionFollowsLoadAndIgnoresBadEstimates(t *testing.T) {
	h := newHarness(t, testSettings(), testEngine("e1"), testEngine("e2"))
	e, q := h.scheduler.engines[0], &request{Request: Request{TableGroup: "7"}, class: h.scheduler.classes["quick"]}
	h.scheduler.now = h.now
	idle := h.scheduler.predictLatency(e, q, false)
	h.scheduler.applyReport(e, Report{HasBusy: true, Busy: 0.9})
	busy := h.scheduler.predictLatency(e, q, false)
	e.threadsInFlight = 8
	own := h.scheduler.predictLatency(e, q, false)
	if !(idle < busy && busy < own) {
		t.Errorf("predictions do not rise: idle %v, reported busy %v, with own load %v", idle, busy, own)
	}
	for _, w := range []float64{0, -5, math.NaN(), math.Inf(1), 1e300} {
		q.Work = w
		if p := h.scheduler.predictLatency(e, q, false); p != own {
			t.Errorf("estimate %v: predicted %v, want %v as with the class's mean work", w, p, own)
		}
	}
}

// With many requests held, each step decides on only some of them. A request that arrives just before its deadline must still
// be answered in the step in which it arrives, or its client gets no answer in time.
func TestRequestNearDeadlineIsAnsweredAtOnce(t *testing.T) {
	h := newHarness(t, testSettings())
	for i := 0; i < 3*maxHeldChecked; i++ {
		h.step(0.01, testRequest(fmt.Sprint("r", i), "quick", h))
	}
	q := testRequest("last", "quick", h)
	q.Deadline = h.now + 50
	if got := finalAnswers(h.step(0, q)); len(got) != 1 || got[0] != "refuse last" {
		t.Fatal(got)
	}
}

// Progress notices are sent at a fixed period, spill notices are not. If a spill notice counted as progress, an attempt whose
// next notice is sent 1.5 periods later would count as lost.
func TestSpillNoticeDoesNotCountAsProgress(t *testing.T) {
	s := testSettings()
	s.NoticePeriod = 1000
	h := newHarness(t, s, testEngine("e1"))
	h.step(1, testRequest("a", "wide", h))
	h.step(20, Notice{"a", 0, "e1", NoticeSpill, 100})
	for i := 0; i < 14; i++ {
		for _, a := range h.step(100, Timer{"check"}) {
			if c, ok := a.(Cancel); ok {
				t.Fatalf("an attempt that still runs was cancelled: %v", c)
			}
		}
	}
}

// An engine that is overloaded or short of memory answers far slower than under light load, while its reports may show it as
// idle. Its room must shrink, or it is sent more than it can serve.
func TestSlowAnswersShrinkRoom(t *testing.T) {
	h := newHarness(t, testSettings(), testEngine("e1"))
	e, q := h.scheduler.engineFor(testEngine("e1")), &request{class: h.scheduler.classes["quick"]}
	h.scheduler.now, e.threadsInFlight = h.now, 15
	if !h.scheduler.hasRoom(e, q) {
		t.Fatal("no room below two threads per core")
	}
	e.answerTimes, e.lightAnswerTimes = 3000, 1000
	if h.scheduler.hasRoom(e, q) {
		t.Fatal("an engine that answers three times slower than under light load has room")
	}
}

// If each of many coordinators exceeds its share of an engine's room by one query, together they overload the engine. Only
// a report that it is idle permits that.
func TestManyCoordinatorsDoNotOverfillEngine(t *testing.T) {
	s := testSettings()
	s.CoordinatorCount = 5 // each may use 3.2 threads on 8 cores
	h := newHarness(t, s, testEngine("e1"))
	e, q := h.scheduler.engines[0], &request{class: h.scheduler.classes["wide"]}
	h.scheduler.now, e.threadsInFlight = h.now, 3
	if h.scheduler.hasRoom(e, q) {
		t.Fatal("share exceeded by a whole query although no report shows an idle engine")
	}
	e.reportedLoad, e.reportedAt = 0.2, h.now
	if !h.scheduler.hasRoom(e, q) {
		t.Fatal("no room although the engine is reported as idle")
	}
}

// Under overload, a request that finds no room and can no longer meet its latency target is refused at once, with the advice
// when to try again.
func TestRequestWithoutRoomIsRefusedEarly(t *testing.T) {
	s := testSettings()
	s.Kinds[0].Cores = 1
	h := newHarness(t, s, testEngine("e1"))
	for _, a := range h.step(1, testRequest("a", "quick", h), testRequest("b", "quick", h), testRequest("c", "quick", h)) {
		if x, ok := a.(Refuse); ok {
			if x.Request != "c" || x.RetryAfter <= 0 {
				t.Fatal(x)
			}
			return
		}
	}
	t.Fatal("no request refused")
}

// If a class's memory estimates are too low, each query spills and the extra work fills the disks. Grants must grow with
// the reported spills, up to the need and not far beyond it.
func TestGrantsFollowSpills(t *testing.T) {
	s := testSettings()
	s.GrantsHonored, s.NoticePeriod = true, 500
	scheduler := New(s, 0)
	scheduler.Step(0, []Event{EngineList{Complete: true, Engines: []Engine{{ID: "e0", Zone: "a", Kind: "k8"}}}})
	grant, now := 0.0, 0.0
	for i := 0; i < 60; i++ {
		now += 100
		id := fmt.Sprint("q", i)
		for _, a := range scheduler.Step(now, []Event{Request{ID: id, Class: "quick", Deadline: now + 2000, Work: 100, Mem: 200,
			TableGroup: "1"}}) {
			if x, ok := a.(SendOptions); ok {
				grant = x.Grant
			}
		}
		events := []Event{}
		if missing := 600 - grant; missing > 0 {
			events = append(events, Notice{Request: id, Engine: "e0", Kind: NoticeSpill, Level: missing})
		}
		scheduler.Step(now+50, append(events, Outcome{Request: id, Engine: "e0", Result: OK, Duration: 50, RequestEnded: true}))
	}
	if grant < 500 || grant > 900 {
		t.Errorf("queries that need 600 MB and are estimated at 200 MB are granted %.0f MB, want 500 to 900", grant)
	}
}

// If clients wait for 145 ms at most, a query with 100 ms left must still be sent, and held queries must be checked often
// enough to be answered before their deadline.
func TestShortClientTimeoutsAreKept(t *testing.T) {
	scheduler := New(Settings{CoordinatorCount: 1, MaxAttempts: 6,
		Classes: []Class{{Name: "lookup", Value: 1, LatencyTarget: 30, ClientTimeout: 145, Threads: 1}}}, 1000)
	scheduler.Step(1000, []Event{EngineList{Complete: true, Engines: []Engine{{ID: "e1"}}}})
	if s := sendActions(scheduler.Step(1010, []Event{Request{ID: "q", Class: "lookup", Deadline: 1110, Work: 5}})); len(s) != 1 {
		t.Fatalf("sends %v, want one", s)
	}
	scheduler.Step(1011, []Event{EngineList{Complete: true, Engines: []Engine{{ID: "e1", Status: Draining}}},
		Request{ID: "r", Class: "lookup", Deadline: 1060, Work: 5}})
	for now := 1015.0; now <= 1060; now += 5 {
		if len(finalAnswers(scheduler.Step(now, nil))) > 0 {
			return
		}
	}
	t.Error("a held query had no answer before its deadline")
}

// A request that finds no room is held if an answer after its latency target still has value, and otherwise refused.
func TestLateValueDecidesBetweenHoldAndRefusal(t *testing.T) {
	for _, lateValue := range []float64{0, 0.3} {
		s := testSettings()
		s.Kinds[0].Cores, s.Classes[0].LateValueShare = 1, lateValue
		h := newHarness(t, s, testEngine("e1"))
		refused := len(finalAnswers(h.step(1,
			testRequest("a", "quick", h), testRequest("b", "quick", h), testRequest("c", "quick", h)))) > 0
		if refused != (lateValue == 0) {
			t.Errorf("value of a late answer %v: refused is %v", lateValue, refused)
		}
	}
}

// The scheduler learns a correction of clients' estimates for each class. It must neither be applied to an estimate that the
// coordinator itself has learned, nor be changed by it.
func TestLearnedEstimateIsNotCorrected(t *testing.T) {
	h := newHarness(t, testSettings(), testEngine("e1"))
	for i := range 300 {
		q := testRequest(fmt.Sprint("q", i), "quick", h)
		q.Work = 400
		h.requireOneSend(h.step(1, q))
		h.step(50, Outcome{Request: q.ID, Engine: "e1", Result: OK, Duration: 50, Work: 100, RequestEnded: true})
	}
	c := h.scheduler.classes["quick"]
	if c.estimateRatio > 0.3 {
		t.Fatalf("clients' estimates four times too high are corrected by %v, want at most 0.3", c.estimateRatio)
	}
	before := c.estimateRatio
	q := testRequest("l", "quick", h)
	q.Work, q.EstimateLearned = 400, true
	h.step(1, q)
	if got := h.scheduler.predictWork(h.scheduler.requests["l"]); got != 400 {
		t.Errorf("a learned estimate of 400 counts as %v", got)
	}
	h.step(50, Outcome{Request: "l", Engine: "e1", Result: OK, Duration: 50, Work: 400, RequestEnded: true})
	if c.estimateRatio != before {
		t.Errorf("a learned estimate changed the correction from %v to %v", before, c.estimateRatio)
	}
}
