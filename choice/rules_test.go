package choice

import (
	"fmt"
	"testing"
)

// Rule: drains. A draining or absent engine gets nothing.
func TestDrain(t *testing.T) {
	r := newRig(t, base(), eng("e1"))
	d := eng("e1")
	d.Status = Draining
	r.none(r.step(1, EngineList{Engines: []Engine{d}}, req("a", "quick", r)))
	r.step(1, EngineList{Whole: true})
	r.none(r.step(1, req("b", "quick", r)))
}

// Rule: effects. A load that may have run is failed, never resent or refused; one that never ran is resent.
func TestUnsafe(t *testing.T) {
	for _, c := range []struct {
		res  Result
		want string
	}{{Timeout, "fail a"}, {Reset, "fail a"}, {Error, "fail a"}, {Cancelled, "fail a"}, {Full, ""}, {ConnectFailed, ""}} {
		r := newRig(t, base(), eng("e1"), eng("e2"))
		s := r.one(r.step(1, req("a", "load", r)))
		acts := r.step(50, Outcome{Request: "a", Engine: s.Engine, Result: c.res})
		if c.want == "" {
			if got := r.one(acts); got.Request != "a" {
				t.Errorf("%v: %v", c.res, acts)
			}
			continue
		}
		if got := finals(acts); len(got) != 1 || got[0] != c.want || len(sends(acts)) > 0 {
			t.Errorf("result %v: %v", c.res, acts)
		}
	}
}

// Rule: effects. Whatever path leads to it, send refuses a second attempt at once, and a repeat of a load.
func TestSendGuards(t *testing.T) {
	r := newRig(t, base(), eng("e1"), eng("e2"))
	r.step(1, req("a", "quick", r), req("b", "load", r))
	a, b := r.f.requests["a"], r.f.requests["b"]
	if r.f.send(a, r.f.engines[1], 1) {
		t.Error("two attempts out")
	}
	b.out, b.mayRun = nil, r.f.engines[0]
	if r.f.send(b, r.f.engines[1], 1) {
		t.Error("a load that may have run was sent again")
	}
}

// Rule: effects. A keyed request that may have run goes only to its cell, and only within the window.
func TestKeyed(t *testing.T) {
	e2, e3 := eng("e2"), eng("e3")
	e2.Cell, e3.Cell = 1, 1
	r := newRig(t, base(), eng("e1"), e2, e3)
	first := r.one(r.step(1, req("a", "keyed", r)))
	cell := r.f.byID[first.Engine].Cell
	acts := r.step(50, Outcome{Request: "a", Engine: first.Engine, Result: Error})
	if got := r.one(acts); r.f.byID[got.Engine].Cell != cell {
		t.Fatalf("sent out of its cell: %v", got)
	}
	acts = r.step(6000, Outcome{Request: "a", Attempt: 1, Engine: first.Engine, Result: Error})
	r.none(acts)
	if got := finals(acts); len(got) != 1 || got[0] != "fail a" {
		t.Fatal(got)
	}
}

// Rule: order. Loads of one key go one at a time, and rest after an attempt that may still run.
func TestOrder(t *testing.T) {
	s := base()
	s.OrderSettle = 300
	r := newRig(t, s, eng("e1"), eng("e2"))
	a, b := req("a", "load", r), req("b", "load", r)
	a.Key, b.Key = "k", "k"
	first := r.one(r.step(1, a, b))
	if first.Request != "a" {
		t.Fatalf("out of turn: %v", first)
	}
	r.none(r.step(50, Outcome{Request: "a", Engine: first.Engine, Result: Timeout}))
	r.none(r.step(200, Timer{"check"}))
	if got := r.one(r.step(201, Timer{"check"})); got.Request != "b" {
		t.Fatal(got)
	}
}

// Rule: placement.
func TestPlacement(t *testing.T) {
	r := newRig(t, base(), eng("e1"), Engine{ID: "e2", Zone: "b", Kind: "other"})
	r.none(r.step(1, req("a", "tied", r)))
	if got := r.one(r.step(1, EngineList{Engines: []Engine{{ID: "e3", Zone: "b", Kind: "k8"}}})); got.Engine != "e3" {
		t.Fatal(got)
	}
}

// Rule: ration. Further attempts past the ration wait or end, even when nothing else speaks against them.
func TestRation(t *testing.T) {
	s := base()
	s.Rationed, s.RationFree, s.RationShare, s.RationWindow = true, 2, 0, 5000
	r := newRig(t, s, eng("e1"), eng("e2"))
	n := 0
	for i := 0; i < 10; i++ {
		id := fmt.Sprint("r", i)
		got := r.one(r.step(10, req(id, "quick", r)))
		n += len(sends(r.step(10, Outcome{Request: id, Engine: got.Engine, Result: Error},
			Outcome{Request: "x", Engine: got.Engine, Result: OK})))
		r.f.byID[got.Engine].errors, r.f.byID[got.Engine].ills = 0, nil
	}
	if n != 2 {
		t.Fatalf("%d further attempts, want 2", n)
	}
}

// Rule: cold engines. What is sent to an engine just started stays under this front's part of its budget.
func TestColdBudget(t *testing.T) {
	s := base()
	s.Kinds[0].Cores = 64 // so that the room test does not bind
	e := eng("e1")
	e.Started = 999
	r := newRig(t, s, e)
	work := 0.0
	for i := 0; i < 100; i++ { // answered at once, so that the room test does not bind
		for _, x := range sends(r.step(1, req(fmt.Sprint("r", i), "wide", r))) {
			work += 3000
			r.step(0, Outcome{Request: x.Request, Engine: "e1", Result: OK, Took: 1000, Work: 3000, Ended: true})
		}
	}
	if most := s.FallMultiple * s.ColdFrom * 64 * s.FallFor; work == 0 || work > 0.9*most {
		t.Fatalf("sent %v ms of work, budget %v", work, most)
	}
}

// Loads of one table group run one after another: the wait behind two of them is that behind the last, whose
// expected time has the first one's in it.
func TestLoadsInLine(t *testing.T) {
	r := newRig(t, base(), eng("e1"))
	e, q := r.f.engines[0], &request{Request: req("q", "load", r), c: r.f.classes["load"]}
	alone := r.f.predict(e, q, false)
	for i, expect := range []float64{1000, 2000} {
		e.out = append(e.out, &attempt{q: &request{Request: Request{Tables: "7"}, c: q.c}, e: e, n: i, sent: r.now, expect: expect})
	}
	e.heard = r.now
	if got := r.f.predict(e, q, false) - alone; got != 2000 {
		t.Errorf("the wait behind loads of 1000 and 2000 ms is %.0f", got)
	}
}

// A request marked Once is not sent again once it may have run, is never moved by us, and its failure makes no promise,
// whatever its class allows; turned away unseen, it goes out again.
func TestOnce(t *testing.T) {
	for _, class := range []string{"quick", "keyed"} {
		for _, c := range []struct {
			result Result
			again  bool
		}{{Full, true}, {Moot, true}, {Error, false}, {Reset, false}, {Timeout, false}, {Cancelled, false}} {
			r := newRig(t, base(), eng("e1"), eng("e2"))
			q := req("q", class, r)
			q.Once = true
			s := r.one(r.step(1, q))
			acts := r.step(5, Outcome{Request: "q", Engine: s.Engine, Result: c.result, Took: 5})
			for i := 0; i < 20 && len(sends(acts)) == 0 && len(finals(acts)) == 0; i++ {
				acts = r.step(60, Timer{"check"})
			}
			if got := len(sends(acts)) == 1; got != c.again {
				t.Errorf("%s, %v: sent again %v", class, c.result, got)
			}
			if f := finals(acts); !c.again && (len(f) != 1 || f[0] != "fail q") {
				t.Errorf("%s, %v: %v", class, c.result, f)
			}
		}
	}
	r := newRig(t, base(), eng("e1"), eng("e2"))
	q := req("q", "quick", r)
	q.Once = true
	r.one(r.step(1, q))
	for range 15 { // silent for far longer than a query of its class
		for _, a := range r.step(100, Timer{"check"}) {
			if _, ok := a.(Cancel); ok {
				t.Fatal("it is moved")
			}
		}
	}
}
