package choice

import (
	"testing"
)

// A load behind another on the same tables of an engine is predicted to wait for it.
func TestLoadAhead(t *testing.T) {
	r := newRig(t, base(), eng("e1"))
	e, q := r.f.engines[0], &request{Request: Request{Tables: "7"}, c: r.f.classes["load"]}
	other := &request{Request: Request{Tables: "8"}, c: r.f.classes["load"]}
	r.step(1, req("a", "load", r))
	if r.f.predict(e, q, true) <= r.f.predict(e, other, true) {
		t.Fatal("the load ahead does not count")
	}
}

// Where places are scarce, a lookup that stands still behind a load gives its place up once others earn more in
// it; where they are not, it keeps waiting.
func TestStandingStillWherePlacesAreScarce(t *testing.T) {
	for _, held := range []int{0, 2} {
		f := New(Settings{Fronts: 1, MaxAttempts: 6, CanCancel: true, NotePeriod: 1000, MostHeld: held, Classes: []Class{
			{Name: "lookup", Worth: 1, LateWorth: 0.1, Aim: 600, Threads: 1, Waits: true},
			{Name: "load", Worth: 15, LateWorth: 0.6, Aim: 4000, Threads: 2, Load: true, Effect: Keyed, Window: 12000}}}, 1000)
		f.Step(1000, []Event{EngineList{Whole: true, Engines: []Engine{{ID: "e1"}}}})
		for i, at := 0, 1010.0; i < 40; i, at = i+1, at+20 { // quick answers: what a place earns
			id := "q" + string(rune('a'+i%26)) + string(rune('a'+i/26))
			f.Step(at, []Event{Request{ID: id, Class: "lookup", Deadline: at + 3000, Work: 5, Tables: "1"}})
			f.Step(at+10, []Event{Outcome{Request: id, Engine: "e1", Result: OK, Took: 10, Ended: true, Work: 5}})
		}
		f.Step(2000, []Event{Request{ID: "s1", Class: "lookup", Deadline: 5000, Work: 5, Tables: "2"},
			Request{ID: "s2", Class: "lookup", Deadline: 5000, Work: 5, Tables: "2"}})
		refused := 0
		for _, a := range f.Step(2005, []Event{Note{Request: "s1", Engine: "e1", Kind: NoteWait, Level: 2}}) {
			if r, ok := a.(Refuse); ok && r.Request == "s1" {
				refused++
			}
		}
		if want := min(held, 1); refused != want {
			t.Errorf("with %d places: %d refusals at the note, want %d", held, refused, want)
		}
	}
}

// Loads of a table group keep to its homes, so that its readers find engines where no load holds it.
func TestLoadsKeepToHomes(t *testing.T) {
	f := New(Settings{Fronts: 1, MaxAttempts: 6, Kinds: []Kind{{Name: "k", Cores: 100}},
		Classes: []Class{{Name: "load", Worth: 15, Aim: 4000, Threads: 2, Load: true, Effect: Keyed, Window: 12000}}}, 1000)
	list := EngineList{Whole: true}
	for _, id := range []string{"e1", "e2", "e3", "e4", "e5", "e6", "e7", "e8"} {
		list.Engines = append(list.Engines, Engine{ID: id, Kind: "k"})
	}
	f.Step(1000, []Event{list})
	used := map[string]bool{}
	for i := 0; i < 4; i++ {
		now := 1000 + float64(10*i)
		for _, a := range f.Step(now, []Event{Request{ID: "l" + string(rune('a'+i)), Class: "load", Deadline: now + 20000, Work: 100, Tables: "3"}}) {
			if s, ok := a.(Send); ok {
				used[s.Engine] = true
			}
		}
	}
	if len(used) == 0 || len(used) > 3 {
		t.Errorf("four loads of one table group went to %d of 8 engines", len(used))
	}
}

// A load holds up others, so near the limit of places it has to earn for more than its own.
func TestLoadsCountForMore(t *testing.T) {
	f := New(Settings{Fronts: 1, MostHeld: 10, Classes: []Class{{Name: "report", Worth: 12}, {Name: "load", Worth: 12, Load: true}}}, 1000)
	f.now, f.earned = 1000, fading{v: 10 * 0.01 * earnSpan, at: 1000} // a place earns 0.01 a millisecond
	for name, want := range map[string]bool{"report": true, "load": false} {
		q := &request{c: f.class(name), worth: 12, aimAt: 5000}
		if got := f.earns(q, 1000); got != want {
			t.Errorf("%s: worth its place for a second: %v, want %v", name, got, want)
		}
	}
}

// What stands still behind a load goes elsewhere at once, whether or not places are scarce; with nowhere to go it
// stays.
func TestStandingStillMoves(t *testing.T) {
	for _, engines := range []int{1, 2} {
		f := New(Settings{Fronts: 1, MaxAttempts: 6, CanCancel: true, NotePeriod: 1000, Classes: []Class{
			{Name: "lookup", Worth: 1, LateWorth: 0.1, Aim: 600, Threads: 1, Waits: true},
			{Name: "load", Worth: 15, LateWorth: 0.6, Aim: 4000, Threads: 2, Load: true, Effect: Keyed, Window: 12000}}}, 1000)
		f.Step(1000, []Event{EngineList{Whole: true, Engines: []Engine{{ID: "e1"}, {ID: "e2"}}[:engines]}})
		on := sends(f.Step(1010, []Event{Request{ID: "s", Class: "lookup", Deadline: 4000, Work: 5, Tables: "2"}}))[0].Engine
		moved := false
		for _, a := range f.Step(1012, []Event{Note{Request: "s", Engine: on, Kind: NoteWait, Level: 2}}) {
			_, cancel := a.(Cancel)
			moved = moved || cancel
		}
		if moved != (engines == 2) {
			t.Errorf("%d engines: moved %v", engines, moved)
			continue
		}
		if engines == 2 {
			acts := f.Step(1014, []Event{Outcome{Request: "s", Engine: on, Result: Cancelled, Took: 4}})
			if s := sends(acts); len(s) != 1 || s[0].Engine == on {
				t.Errorf("sent on as %v", s)
			}
		}
	}
}

// Readers keep off the homes of a table group that loads hold most of the time, though none is seen there now.
func TestReadersAvoidHomesOfLoads(t *testing.T) {
	s := base()
	s.Classes[0].Waits, s.Classes[2].Effect = true, Keyed
	r := newRig(t, s, eng("e1"), eng("e2"), eng("e3"), eng("e4"), eng("e5"), eng("e6"))
	q := &request{Request: req("q", "quick", r), c: r.f.classes["quick"]}
	home := r.f.homes(q)[0]
	for i := 0; i < 60; i++ {
		id := "l" + string(rune('0'+i/10)) + string(rune('0'+i%10))
		for _, x := range sends(r.step(100, req(id, "load", r))) {
			r.step(1, Outcome{Request: id, Engine: x.Engine, Result: OK, Took: 900, Ended: true, Work: 1800})
		}
	}
	held := r.f.predict(home, q, false)
	r.f.group("7").loads = 0
	if free := r.f.predict(home, q, false); held < free+r.f.lockWait()/4 {
		t.Errorf("predicted %.0f ms where loads come, %.0f where none do", held, free)
	}
}
