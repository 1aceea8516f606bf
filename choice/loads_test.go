package choice

import (
	"testing"
)

// A load holds its table group on its engine. The prediction for another load of the group must include the wait for it.
func TestLoadWaitsForLoadAhead(t *testing.T) {
	h := newHarness(t, testSettings(), testEngine("e1"))
	e, q := h.scheduler.engines[0], &request{Request: Request{TableGroup: "7"}, class: h.scheduler.classes["load"]}
	other := &request{Request: Request{TableGroup: "8"}, class: h.scheduler.classes["load"]}
	h.step(1, testRequest("a", "load", h))
	if h.scheduler.predictLatency(e, q, true) <= h.scheduler.predictLatency(e, other, true) {
		t.Fatal("the load ahead does not lengthen the prediction")
	}
}

// A lookup that waits for a load's tables occupies a slot of the coordinator. If slots are scarce, it must be refused once
// other requests would serve more value in that slot. Without a limit on open requests it must go on waiting.
func TestBlockedQueryRefusedWhenSlotsAreScarce(t *testing.T) {
	for _, maxOpenRequests := range []int{0, 2} {
		scheduler := New(Settings{CoordinatorCount: 1, MaxAttempts: 6, CanCancel: true, NoticePeriod: 1000,
			MaxOpenRequests: maxOpenRequests,
			Classes: []Class{
				{Name: "lookup", Value: 1, LateValueShare: 0.1, LatencyTarget: 600, Threads: 1, WaitsForLoads: true},
				{Name: "load", Value: 15, LateValueShare: 0.6, LatencyTarget: 4000, Threads: 2, IsLoad: true,
					Idempotency: Deduplicated, DedupWindow: 12000},
			}}, 1000)
		scheduler.Step(1000, []Event{EngineList{Complete: true, Engines: []Engine{{ID: "e1"}}}})
		for i, at := 0, 1010.0; i < 40; i, at = i+1, at+20 { // quick answers set the value served per slot
			id := "q" + string(rune('a'+i%26)) + string(rune('a'+i/26))
			scheduler.Step(at, []Event{Request{ID: id, Class: "lookup", Deadline: at + 3000, Work: 5, TableGroup: "1"}})
			scheduler.Step(at+10, []Event{
				Outcome{Request: id, Engine: "e1", Result: OK, Duration: 10, RequestEnded: true, Work: 5}})
		}
		scheduler.Step(2000, []Event{Request{ID: "s1", Class: "lookup", Deadline: 5000, Work: 5, TableGroup: "2"},
			Request{ID: "s2", Class: "lookup", Deadline: 5000, Work: 5, TableGroup: "2"}})
		refused := 0
		for _, a := range scheduler.Step(2005, []Event{Notice{Request: "s1", Engine: "e1", Kind: NoticeWait, Level: 2}}) {
			if r, ok := a.(Refuse); ok && r.Request == "s1" {
				refused++
			}
		}
		if want := min(maxOpenRequests, 1); refused != want {
			t.Errorf("with %d slots: %d refusals at the wait notice, want %d", maxOpenRequests, refused, want)
		}
	}
}

// Loads of a table group must stay on its home engines. If they were spread over the fleet, they would hold the group
// everywhere, and its readers would find no engine where they need not wait.
func TestLoadsStayOnHomeEngines(t *testing.T) {
	scheduler := New(Settings{CoordinatorCount: 1, MaxAttempts: 6, Kinds: []Kind{{Name: "k", Cores: 100}},
		Classes: []Class{{Name: "load", Value: 15, LatencyTarget: 4000, Threads: 2, IsLoad: true,
			Idempotency: Deduplicated, DedupWindow: 12000}}}, 1000)
	list := EngineList{Complete: true}
	for _, id := range []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"} {
		list.Engines = append(list.Engines, Engine{ID: id, Kind: "k"})
	}
	scheduler.Step(1000, []Event{list})
	used := map[string]bool{}
	for i := 0; i < 4; i++ {
		now := 1000 + float64(10*i)
		for _, a := range scheduler.Step(now, []Event{Request{ID: "l" + string(rune('a'+i)), Class: "load",
			Deadline: now + 20000, Work: 100, TableGroup: "3"}}) {
			if s, ok := a.(Send); ok {
				used[s.Engine] = true
			}
		}
	}
	if len(used) == 0 || len(used) > 3 {
		t.Errorf("four loads of one table group went to %d of 8 engines, want 1 to 3", len(used))
	}
}

// A load makes other queries wait, which also occupy slots. If slots are scarce, a load must therefore serve the value of
// several slots, while a report with the same value must serve that of only one.
func TestLoadMustServeValueOfSeveralSlots(t *testing.T) {
	scheduler := New(Settings{CoordinatorCount: 1, MaxOpenRequests: 10,
		Classes: []Class{{Name: "report", Value: 12}, {Name: "load", Value: 12, IsLoad: true}}}, 1000)
	// Each slot serves a value of 0.01 per ms.
	scheduler.now, scheduler.servedValue = 1000, decayingSum{sum: 10 * 0.01 * servedValueWindowMs, updatedAt: 1000}
	for name, want := range map[string]bool{"report": true, "load": false} {
		q := &request{class: scheduler.classFor(name), value: 12, targetAt: 5000}
		if got := scheduler.justifiesSlot(q, 1000); got != want {
			t.Errorf("%s: justifies a slot for 1,000 ms: %v, want %v", name, got, want)
		}
	}
}

// A query that waits for a load's tables must be moved to another engine at once, even if slots are not scarce. Without
// another engine it stays.
func TestBlockedQueryMovesToOtherEngine(t *testing.T) {
	for _, engines := range []int{1, 2} {
		scheduler := New(Settings{CoordinatorCount: 1, MaxAttempts: 6, CanCancel: true, NoticePeriod: 1000, Classes: []Class{
			{Name: "lookup", Value: 1, LateValueShare: 0.1, LatencyTarget: 600, Threads: 1, WaitsForLoads: true},
			{Name: "load", Value: 15, LateValueShare: 0.6, LatencyTarget: 4000, Threads: 2, IsLoad: true,
				Idempotency: Deduplicated, DedupWindow: 12000}}}, 1000)
		scheduler.Step(1000, []Event{EngineList{Complete: true, Engines: []Engine{{ID: "e1"}, {ID: "e2"}}[:engines]}})
		sentTo := sendActions(scheduler.Step(1010, []Event{
			Request{ID: "s", Class: "lookup", Deadline: 4000, Work: 5, TableGroup: "2"}}))[0].Engine
		moved := false
		for _, a := range scheduler.Step(1012, []Event{Notice{Request: "s", Engine: sentTo, Kind: NoticeWait, Level: 2}}) {
			_, cancel := a.(Cancel)
			moved = moved || cancel
		}
		if moved != (engines == 2) {
			t.Errorf("%d engines: moved is %v", engines, moved)
			continue
		}
		if engines == 2 {
			actions := scheduler.Step(1014, []Event{Outcome{Request: "s", Engine: sentTo, Result: Cancelled, Duration: 4}})
			if s := sendActions(actions); len(s) != 1 || s[0].Engine == sentTo {
				t.Errorf("sends %v after the cancel, want one to the other engine", s)
			}
		}
	}
}

// Loads of other coordinators are not visible. For the home engines of a table group with frequent loads, the prediction must
// include a wait for its readers even if no load is visible there now.
func TestReadersAvoidHomeEnginesOfLoads(t *testing.T) {
	s := testSettings()
	s.Classes[0].WaitsForLoads, s.Classes[2].Idempotency = true, Deduplicated
	h := newHarness(t, s, testEngine("e1"), testEngine("e2"), testEngine("e3"),
		testEngine("e4"), testEngine("e5"), testEngine("e6"))
	q := &request{Request: testRequest("q", "quick", h), class: h.scheduler.classes["quick"]}
	home := h.scheduler.homeEngines(q)[0]
	for i := 0; i < 60; i++ {
		id := "l" + string(rune('0'+i/10)) + string(rune('0'+i%10))
		for _, x := range sendActions(h.step(100, testRequest(id, "load", h))) {
			h.step(1, Outcome{Request: id, Engine: x.Engine, Result: OK, Duration: 900, RequestEnded: true, Work: 1800})
		}
	}
	withLoads := h.scheduler.predictLatency(home, q, false)
	h.scheduler.tableGroups.get("7", h.scheduler.now).loads = 0
	if without := h.scheduler.predictLatency(home, q, false); withLoads < without+h.scheduler.expectedLockWait()/4 {
		t.Errorf("predicted %.0f ms with frequent loads, %.0f ms without: want a longer wait", withLoads, without)
	}
}
