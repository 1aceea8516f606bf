package choice

import (
	"testing"
)

// Danger: an engine that goes silent with work out loses its attractiveness, then its work.
func TestHungEngine(t *testing.T) {
	r := newRig(t, base(), eng("e1"), eng("e2"))
	hung := r.one(r.step(1, req("a", "quick", r))).Engine
	cancelled := false
	for i := 0; i < 18 && !cancelled; i++ {
		for _, a := range r.step(100, Timer{"check"}) {
			_, ok := a.(Cancel)
			cancelled = cancelled || ok
		}
	}
	if !cancelled {
		t.Fatal("silent attempt never moved")
	}
	if got := r.one(r.step(1, Outcome{Request: "a", Engine: hung, Result: Cancelled})); got.Engine == hung {
		t.Fatal("sent to the hung engine again")
	}
}

// Danger: a lost attempt on an engine that lives is seen by its missing notes.
func TestLostAttempt(t *testing.T) {
	s := base()
	s.NotePeriod = 500
	r := newRig(t, s, eng("e1"))
	r.step(1, req("a", "wide", r), req("b", "wide", r))
	for i := 0; i < 20; i++ {
		for _, a := range r.step(100, Timer{"check"}, Note{"b", 0, "e1", NoteProgress, 0.5}) {
			if c, ok := a.(Cancel); ok {
				if c.Request != "a" {
					t.Fatalf("moved %v", c)
				}
				return
			}
		}
	}
	t.Fatal("lost attempt never moved")
}

// Danger: an attempt with a bad plan is started anew, once.
func TestBadPlan(t *testing.T) {
	s := base()
	s.NotePeriod = 500
	r := newRig(t, s, eng("e1"), eng("e2"))
	got := r.one(r.step(1, req("a", "wide", r)))
	acts := r.step(500, Note{"a", 0, got.Engine, NoteProgress, 0.01}, Timer{"check"})
	if len(acts) == 0 || acts[0] != (Cancel{"a", 0}) {
		t.Fatalf("not cancelled: %v", acts)
	}
}

// Danger: connection failures pause an engine, ever longer, and one attempt tries it again.
func TestFailedEngine(t *testing.T) {
	r := newRig(t, base(), eng("e1"))
	r.step(1, req("a", "load", r))
	r.none(r.step(1, Outcome{Request: "a", Engine: "e1", Result: ConnectFailed}))
	r.none(r.step(1, req("b", "load", r)))
	if got := sends(r.step(600, Timer{"check"})); len(got) != 1 {
		t.Fatalf("want one trial, got %v", got)
	}
}

// Danger: a poor link resets an attempt now and then; the engine stays in use, and is not taken for cold.
func TestSingleReset(t *testing.T) {
	r := newRig(t, base(), eng("e1"))
	r.step(1, req("a", "quick", r), req("b", "quick", r))
	if got := r.one(r.step(1, Outcome{Request: "a", Engine: "e1", Result: Reset})); got.Engine != "e1" {
		t.Fatal(got)
	}
	r.f.now = r.now
	if share := r.f.coldShare(r.f.engines[0]); share != 1 {
		t.Fatalf("taken for cold: %v", share)
	}
}

// Danger: an engine whose attempts all fail fast looks idle; it is paused after three in a row.
func TestFailsFast(t *testing.T) {
	for _, res := range []Result{Error, Reset} {
		r := newRig(t, base(), eng("e1"))
		r.step(1, req("a", "quick", r), req("b", "quick", r), req("c", "quick", r))
		acts := r.step(1, Outcome{Request: "a", Engine: "e1", Result: res}, Outcome{Request: "b", Engine: "e1", Result: res},
			Outcome{Request: "c", Engine: "e1", Result: res})
		r.none(acts)
	}
}

// Danger: a class whose queries are heavy by themselves gains nothing from fresh starts.
func TestRegain(t *testing.T) {
	s := base()
	s.NotePeriod = 500
	r := newRig(t, s, eng("e1"), eng("e2"))
	c := r.f.classes["wide"]
	c.regain, c.regainAt = 1, r.now
	got := r.one(r.step(1, req("a", "wide", r)))
	for _, a := range r.step(500, Note{"a", 0, got.Engine, NoteProgress, 0.05}, Timer{"check"}) {
		if _, ok := a.(Cancel); ok {
			t.Fatal("started anew in vain")
		}
	}
}

// A request that fails wherever it goes is given up as failed after three engines, and pauses none of them.
func TestPoison(t *testing.T) {
	r := newRig(t, base(), eng("e1"), eng("e2"), eng("e3"), eng("e4"))
	for _, id := range []string{"a", "b", "c", "d", "f"} {
		acts, tried := r.step(1, req(id, "quick", r)), map[string]bool{}
		for n := 0; n < 3; n++ {
			s := r.one(acts)
			if tried[s.Engine] {
				t.Fatalf("%s: sent to %s again", id, s.Engine)
			}
			tried[s.Engine] = true
			acts = r.step(1, Outcome{Request: id, Attempt: n, Engine: s.Engine, Result: Error})
		}
		if _, ok := acts[len(acts)-1].(Fail); !ok || len(sends(acts)) > 0 {
			t.Fatalf("%s: third error brings %v", id, acts)
		}
	}
	for _, e := range r.f.engines {
		if e.errors > 0 || e.fails > 0 {
			t.Errorf("%s is blamed: errors %d, fails %d", e.ID, e.errors, e.fails)
		}
	}
}

// An engine that turns one class away and answers another is paused for the first only; one attempt then tries it.
func TestSickForOneClass(t *testing.T) {
	r := newRig(t, base(), eng("e1"))
	r.step(1, req("ok", "quick", r))
	r.step(1, Outcome{Request: "ok", Engine: "e1", Result: OK, Took: 1, Ended: true})
	r.one(r.step(1, req("w1", "wide", r)))
	r.none(r.step(1, Outcome{Request: "w1", Engine: "e1", Result: Full}))
	r.one(r.step(1, req("q", "quick", r)))
	r.step(1, Outcome{Request: "q", Engine: "e1", Result: OK, Took: 1, Ended: true})
	r.none(r.step(1, req("w2", "wide", r)))
	got := sends(r.step(520, Timer{"check"}))
	if len(got) != 1 {
		t.Fatalf("want one trial, got %v", got)
	}
	n := r.f.requests[got[0].Request].sends - 1
	acts := r.step(1, Outcome{Request: got[0].Request, Attempt: n, Engine: "e1", Result: OK, Took: 1, Ended: true})
	if acts = append(acts, r.step(60, Timer{"check"}, req("w3", "wide", r))...); len(sends(acts)) != 2 {
		t.Fatal("not used again after a good answer")
	}
}

// A request that an engine finds at fault itself is failed at once: it is not sent anywhere else, not refused, and no
// engine is blamed for it.
func TestRejected(t *testing.T) {
	for _, class := range []string{"quick", "keyed", "load"} {
		r := newRig(t, base(), eng("e1"), eng("e2"))
		s := r.one(r.step(1, req("q", class, r)))
		acts := r.step(5, Outcome{Request: "q", Engine: s.Engine, Result: Rejected, Took: 5})
		if f := finals(acts); len(f) != 1 || f[0] != "fail q" || len(sends(acts)) > 0 {
			t.Errorf("%s: %v", class, acts)
		}
		e := r.f.byID[s.Engine]
		if e.errors > 0 || e.fails > 0 || e.badUntil > 0 || len(r.f.requests) > 0 {
			t.Errorf("%s: its engine is blamed: %d errors, %d fails", class, e.errors, e.fails)
		}
	}
}
