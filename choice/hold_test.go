package choice

import (
	"fmt"
	"math"
	"testing"
)

// (1), (4): a query is held for its warm engine while that has no room, and sent there when it has.
func TestHoldsForWarmEngine(t *testing.T) {
	s := base()
	s.Kinds[0].Cores = 1 // room for two threads
	r := newRig(t, s, eng("e1"), eng("e2"))
	r.warmUp("e1", "7", 0.2, 3)
	r.f.byID["e2"].tables = map[string]float64{}
	a, b := r.one(r.step(1, req("a", "quick", r))), r.one(r.step(1, req("b", "quick", r)))
	if a.Engine != "e1" || b.Engine != "e1" {
		t.Fatalf("warm engine not chosen: %v %v", a, b)
	}
	r.none(r.step(1, req("c", "quick", r)))
	got := r.one(r.step(20, Outcome{Request: "a", Engine: "e1", Result: OK, Took: 20, Ended: true}))
	if got.Request != "c" || got.Engine != "e1" {
		t.Fatalf("held query not sent on room: %v", got)
	}
}

// (1): after 30 s without sends an engine is no longer warm.
func TestWarmWindowEnds(t *testing.T) {
	r := newRig(t, base(), eng("e1"))
	r.warmUp("e1", "7", 0.2, 3)
	q := &request{Request: Request{Tables: "7"}}
	for _, c := range []struct {
		at   float64
		want bool
	}{{0, true}, {29999, true}, {30001, false}} {
		r.f.now = r.now + c.at
		if got := r.f.warmOn(r.f.engines[0], q); got != c.want {
			t.Errorf("after %v ms: warm %v", c.at, got)
		}
	}
}

// (3): warm that is not clearly faster does not delay: the best fallback is taken at once.
func TestAlpha(t *testing.T) {
	for _, c := range []struct {
		warm float64
		want string
	}{{0.5, "e1"}, {0.85, "e2"}} {
		r := newRig(t, base(), eng("e1"), eng("e2"))
		r.warmUp("e1", "7", c.warm, 1)
		if got := r.one(r.step(1, req("a", "quick", r))); got.Engine != c.want {
			t.Errorf("warm factor %v: sent to %s, want %s", c.warm, got.Engine, c.want)
		}
	}
}

// (5): with slack or gain gone a held query goes to the best fallback.
func TestHoldEnds(t *testing.T) {
	s := base()
	s.Kinds[0].Cores = 1
	r := newRig(t, s, eng("e1"), eng("e2"))
	r.warmUp("e1", "7", 0.2, 3)
	r.step(1, req("a", "quick", r))
	r.step(1, req("b", "quick", r))
	r.none(r.step(1, req("c", "quick", r)))
	for i := 0; i < 30; i++ {
		// Word from the engine: it lives, it is only busy.
		if got := sends(r.step(50, Timer{"check"}, Note{"a", 0, "e1", NoteProgress, 0.1})); len(got) > 0 {
			if got[0].Request != "c" || got[0].Engine != "e2" {
				t.Fatalf("released to %v", got[0])
			}
			return
		}
	}
	t.Fatal("held for ever")
}

// (2): outcomes, own load and reports move the prediction; nonsense estimates do not.
func TestPrediction(t *testing.T) {
	r := newRig(t, base(), eng("e1"), eng("e2"))
	e, q := r.f.engines[0], &request{Request: Request{Tables: "7"}, c: r.f.classes["quick"]}
	r.f.now = r.now
	idle := r.f.predict(e, q, false)
	r.f.heed(e, Report{HasBusy: true, Busy: 0.9})
	busy := r.f.predict(e, q, false)
	e.threads = 8
	own := r.f.predict(e, q, false)
	if !(idle < busy && busy < own) {
		t.Errorf("idle %v, reported busy %v, own load %v", idle, busy, own)
	}
	for _, w := range []float64{0, -5, math.NaN(), math.Inf(1), 1e300} {
		q.Work = w
		if p := r.f.predict(e, q, false); p != own {
			t.Errorf("estimate %v: predicted %v, want the class mean's %v", w, p, own)
		}
	}
}

// Danger: a client's next try with hardly any time left is answered at once, however many are held.
func TestShortLivedTryAnswered(t *testing.T) {
	r := newRig(t, base())
	for i := 0; i < 3*lookMost; i++ {
		r.step(0.01, req(fmt.Sprint("r", i), "quick", r))
	}
	q := req("last", "quick", r)
	q.Deadline = r.now + 50
	if got := finals(r.step(0, q)); len(got) != 1 || got[0] != "refuse last" {
		t.Fatal(got)
	}
}

// Danger: a note of a spill comes at no steady pace; the next word after it may take a period and a half.
func TestSpillNoteIsNotSteady(t *testing.T) {
	s := base()
	s.NotePeriod = 1000
	r := newRig(t, s, eng("e1"))
	r.step(1, req("a", "wide", r))
	r.step(20, Note{"a", 0, "e1", NoteSpill, 100})
	for i := 0; i < 14; i++ {
		for _, a := range r.step(100, Timer{"check"}) {
			if c, ok := a.(Cancel); ok {
				t.Fatalf("a live query moved: %v", c)
			}
		}
	}
}

// Danger: an engine past its knee or short of memory answers far slower than under light load: its room shrinks.
func TestCrowded(t *testing.T) {
	r := newRig(t, base(), eng("e1"))
	e, q := r.f.engine(eng("e1")), &request{c: r.f.classes["quick"]}
	r.f.now, e.threads = r.now, 15
	if !r.f.room(e, q) {
		t.Fatal("no room under two threads a core")
	}
	e.took, e.tookLight = 3000, 1000
	if r.f.room(e, q) {
		t.Fatal("room on a crowded engine")
	}
}

// Danger: with many fronts each a whole query over its part, an engine is crowded by all of them together.
func TestOvershoot(t *testing.T) {
	s := base()
	s.Fronts = 5 // 3.2 threads of room on 8 cores
	r := newRig(t, s, eng("e1"))
	e, q := r.f.engines[0], &request{c: r.f.classes["wide"]}
	r.f.now, e.threads = r.now, 3
	if r.f.room(e, q) {
		t.Fatal("overshot by a whole query with no word of an idle engine")
	}
	e.report, e.reportAt = 0.2, r.now
	if !r.f.room(e, q) {
		t.Fatal("no room though the engine is reported idle")
	}
}

// Overload: what can no longer meet its aim and has no room is refused at once with advice.
func TestEarlyRefusal(t *testing.T) {
	s := base()
	s.Kinds[0].Cores = 1
	r := newRig(t, s, eng("e1"))
	for _, a := range r.step(1, req("a", "quick", r), req("b", "quick", r), req("c", "quick", r)) {
		if x, ok := a.(Refuse); ok {
			if x.Request != "c" || x.ComeBack <= 0 {
				t.Fatal(x)
			}
			return
		}
	}
	t.Fatal("not refused")
}

// Danger: estimates of memory too low by class make every query spill, and the extra work fills the disks.
func TestGrantsFollowSpills(t *testing.T) {
	s := base()
	s.GrantsHeeded, s.NotePeriod = true, 500
	f := New(s, 0)
	f.Step(0, []Event{EngineList{Whole: true, Engines: []Engine{{ID: "e0", Zone: "a", Kind: "k8"}}}})
	grant, now := 0.0, 0.0
	for i := 0; i < 60; i++ {
		now += 100
		id := fmt.Sprint("q", i)
		for _, a := range f.Step(now, []Event{Request{ID: id, Class: "quick", Deadline: now + 2000, Work: 100, Mem: 200, Tables: "1"}}) {
			if x, ok := a.(Terms); ok {
				grant = x.Grant
			}
		}
		ev := []Event{}
		if missing := 600 - grant; missing > 0 {
			ev = append(ev, Note{Request: id, Engine: "e0", Kind: NoteSpill, Level: missing})
		}
		f.Step(now+50, append(ev, Outcome{Request: id, Engine: "e0", Result: OK, Took: 50, Ended: true}))
	}
	if grant < 500 || grant > 900 {
		t.Errorf("queries that need 600 MB where 200 are estimated get %.0f", grant)
	}
}

// Where clients wait for 145 ms at most, a query with 100 ms left is no lost one, and what is held is looked at often
// enough to be answered in time.
func TestShortDeadlines(t *testing.T) {
	f := New(Settings{Fronts: 1, MaxAttempts: 6, Classes: []Class{{Name: "lookup", Worth: 1, Aim: 30, Limit: 145, Threads: 1}}}, 1000)
	f.Step(1000, []Event{EngineList{Whole: true, Engines: []Engine{{ID: "e1"}}}})
	if s := sends(f.Step(1010, []Event{Request{ID: "q", Class: "lookup", Deadline: 1110, Work: 5}})); len(s) != 1 {
		t.Fatalf("sent as %v", s)
	}
	f.Step(1011, []Event{EngineList{Whole: true, Engines: []Engine{{ID: "e1", Status: Draining}}}, Request{ID: "r", Class: "lookup", Deadline: 1060, Work: 5}})
	for now := 1015.0; now <= 1060; now += 5 {
		if len(finals(f.Step(now, nil))) > 0 {
			return
		}
	}
	t.Error("a held query was not answered before its deadline")
}

// What has no room now but still earns after its aim is held, not refused; what earns nothing then is refused.
func TestHeldWhereLateEarns(t *testing.T) {
	for _, late := range []float64{0, 0.3} {
		s := base()
		s.Kinds[0].Cores, s.Classes[0].LateWorth = 1, late
		r := newRig(t, s, eng("e1"))
		refused := len(finals(r.step(1, req("a", "quick", r), req("b", "quick", r), req("c", "quick", r)))) > 0
		if refused != (late == 0) {
			t.Errorf("late worth %v: refused %v", late, refused)
		}
	}
}

// A learned estimate is not corrected by what told ones are off by, nor does it teach that correction.
func TestLearnedEstimate(t *testing.T) {
	r := newRig(t, base(), eng("e1"))
	for i := range 300 {
		q := req(fmt.Sprint("q", i), "quick", r)
		q.Work = 400
		r.one(r.step(1, q))
		r.step(50, Outcome{Request: q.ID, Engine: "e1", Result: OK, Took: 50, Work: 100, Ended: true})
	}
	c := r.f.classes["quick"]
	if c.hintRatio > 0.3 {
		t.Fatalf("told estimates are corrected by %v", c.hintRatio)
	}
	was := c.hintRatio
	q := req("l", "quick", r)
	q.Work, q.Learned = 400, true
	r.step(1, q)
	if got := r.f.work(r.f.requests["l"]); got != 400 {
		t.Errorf("a learned estimate of 400 counts as %v", got)
	}
	r.step(50, Outcome{Request: "l", Engine: "e1", Result: OK, Took: 50, Work: 400, Ended: true})
	if c.hintRatio != was {
		t.Errorf("it changes the correction from %v to %v", was, c.hintRatio)
	}
}
