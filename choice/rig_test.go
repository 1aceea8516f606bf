package choice

import (
	"testing"
)

// rig drives a Front by hand.
type rig struct {
	t   *testing.T
	f   *Front
	now float64
}

func base() Settings {
	return Settings{Seed: 1, Fronts: 1, Zone: "a", MaxAttempts: 4, CanCancel: true, CanAdvise: true, MaxAdvice: 1000,
		Kinds: []Kind{{"k8", 8, 16384}},
		Classes: []Class{
			{Name: "quick", Worth: 1, Aim: 400, Limit: 2000, Threads: 1},
			{Name: "wide", Worth: 8, Aim: 3000, AimStretch: 2, Limit: 25000, Threads: 3},
			{Name: "load", Worth: 5, Aim: 4000, Limit: 20000, Threads: 2, Effect: Unsafe, InOrder: true, Load: true},
			{Name: "keyed", Worth: 1, Aim: 4000, Limit: 20000, Threads: 1, Effect: Keyed, Group: GroupCell, Window: 5000},
			{Name: "tied", Worth: 1, Aim: 4000, Limit: 20000, Threads: 1, Zones: []string{"b"}, Kinds: []string{"k8"}},
		},
		DrainGrace: 250, FallMultiple: 3, FallFor: 1500, ColdFrom: 0.35, WarmAfter: 12000, AskEvery: 10000}
}

func newRig(t *testing.T, s Settings, engines ...Engine) *rig {
	r := &rig{t: t, f: New(s, 1000), now: 1000}
	if len(engines) > 0 {
		r.step(0, EngineList{Whole: true, Engines: engines})
	}
	return r
}

func eng(id string) Engine { return Engine{ID: id, Zone: "a", Kind: "k8", Size: 1} }

// step moves time on and lets events happen.
func (r *rig) step(ms float64, ev ...Event) []Action {
	r.now += ms
	return r.f.Step(r.now, ev)
}

func req(id, class string, r *rig) Request {
	limit := 2000.0
	for _, c := range r.f.s.Classes {
		if c.Name == class {
			limit = c.Limit
		}
	}
	return Request{ID: id, Class: class, Deadline: r.now + limit, Tables: "7"}
}

func sends(acts []Action) (s []Send) {
	for _, a := range acts {
		if x, ok := a.(Send); ok {
			s = append(s, x)
		}
	}
	return s
}

func finals(acts []Action) (s []string) {
	for _, a := range acts {
		switch x := a.(type) {
		case Refuse:
			s = append(s, "refuse "+x.Request)
		case Fail:
			s = append(s, "fail "+x.Request)
		}
	}
	return s
}

func (r *rig) one(acts []Action) Send {
	r.t.Helper()
	s := sends(acts)
	if len(s) != 1 {
		r.t.Fatalf("want one send, got %v", acts)
	}
	return s[0]
}

func (r *rig) none(acts []Action) {
	r.t.Helper()
	if s := sends(acts); len(s) > 0 {
		r.t.Fatalf("want no send, got %v", s)
	}
}

// warmUp lets an engine serve a table group until warm is learned to be fast and cold slow.
func (r *rig) warmUp(e, tables string, warm, cold float64) {
	x := r.f.byID[e]
	x.tables[tables] = r.now
	for _, y := range r.f.engines {
		y.warm, y.cold = factor{warm, 9, r.now}, factor{cold, 9, r.now}
	}
}
