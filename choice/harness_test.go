package choice

import (
	"testing"
)

// harness drives one scheduler step by step, with the time set by the test.
type harness struct {
	t         *testing.T
	scheduler *Scheduler
	now       float64
}

// testSettings returns the settings of a single coordinator with the classes that the tests need.
func testSettings() Settings {
	return Settings{Seed: 1, CoordinatorCount: 1, Zone: "a", MaxAttempts: 4, CanCancel: true, CanAdviseRetry: true,
		MaxRetryAfter: 1000,
		Kinds:         []Kind{{"k8", 8, 16384}},
		Classes: []Class{
			{Name: "quick", Value: 1, LatencyTarget: 400, ClientTimeout: 2000, Threads: 1},
			{Name: "wide", Value: 8, LatencyTarget: 3000, TargetStretch: 2, ClientTimeout: 25000, Threads: 3},
			{Name: "load", Value: 5, LatencyTarget: 4000, ClientTimeout: 20000, Threads: 2, Idempotency: AtMostOnce,
				InOrder: true, IsLoad: true},
			{Name: "keyed", Value: 1, LatencyTarget: 4000, ClientTimeout: 20000, Threads: 1, Idempotency: Deduplicated,
				DedupScope: DedupInCell, DedupWindow: 5000},
			{Name: "tied", Value: 1, LatencyTarget: 4000, ClientTimeout: 20000, Threads: 1, Zones: []string{"b"},
				Kinds: []string{"k8"}},
		},
		DrainGrace: 250, OverloadMultiple: 3, OverloadWindow: 1500, ColdCapacityShare: 0.35, WarmUpTime: 12000,
		SubscribePeriod: 10000}
}

// newHarness returns a harness whose scheduler knows the given engines.
func newHarness(t *testing.T, s Settings, engines ...Engine) *harness {
	h := &harness{t: t, scheduler: New(s, 1000), now: 1000}
	if len(engines) > 0 {
		h.step(0, EngineList{Complete: true, Engines: engines})
	}
	return h
}

// testEngine returns a healthy engine with 8 cores in the coordinator's zone.
func testEngine(id string) Engine { return Engine{ID: id, Zone: "a", Kind: "k8", Size: 1} }

// step advances the time by elapsed ms, then passes the events to the scheduler.
func (h *harness) step(elapsed float64, events ...Event) []Action {
	h.now += elapsed
	return h.scheduler.Step(h.now, events)
}

// testRequest returns a request whose deadline is its class's client timeout from now.
func testRequest(id, class string, h *harness) Request {
	timeout := 2000.0
	for _, c := range h.scheduler.settings.Classes {
		if c.Name == class {
			timeout = c.ClientTimeout
		}
	}
	return Request{ID: id, Class: class, Deadline: h.now + timeout, TableGroup: "7"}
}

// sendActions returns the sends among the actions.
func sendActions(actions []Action) (list []Send) {
	for _, a := range actions {
		if x, ok := a.(Send); ok {
			list = append(list, x)
		}
	}
	return list
}

// finalAnswers returns the final answers among the actions, as "refuse ID" or "fail ID".
func finalAnswers(actions []Action) (answers []string) {
	for _, a := range actions {
		switch x := a.(type) {
		case Refuse:
			answers = append(answers, "refuse "+x.Request)
		case Fail:
			answers = append(answers, "fail "+x.Request)
		}
	}
	return answers
}

// requireOneSend returns the send among the actions, and fails the test unless there is exactly one.
func (h *harness) requireOneSend(actions []Action) Send {
	h.t.Helper()
	list := sendActions(actions)
	if len(list) != 1 {
		h.t.Fatalf("want one send, got %v", actions)
	}
	return list[0]
}

// requireNoSend fails the test if one of the actions is a send.
func (h *harness) requireNoSend(actions []Action) {
	h.t.Helper()
	if list := sendActions(actions); len(list) > 0 {
		h.t.Fatalf("want no send, got %v", list)
	}
}

// setWarmEngine makes an engine warm for a table group, and sets the learned warm and cold factors of all engines.
func (h *harness) setWarmEngine(id, tables string, warmFactor, coldFactor float64) {
	warmed := h.scheduler.engineByID[id]
	warmed.tableGroupSentAt[tables] = h.now
	for _, each := range h.scheduler.engines {
		each.warmFactor, each.coldFactor = learnedFactor{warmFactor, 9, h.now}, learnedFactor{coldFactor, 9, h.now}
	}
}
