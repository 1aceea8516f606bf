package choice

import (
	"fmt"
	"math"
	"testing"
)

// Discovery by asking: a broken call is repeated, at first soon, within the time that the rule allows.
func TestAsk(t *testing.T) {
	s := base()
	s.Ask = true
	r := newRig(t, s)
	asks := 0
	for i := 0; i < 100; i++ {
		var ev []Event
		for _, a := range r.step(100, Timer{"check"}) {
			if _, ok := a.(Subscribe); ok {
				asks++
				ev = append(ev, EngineList{Broken: true})
			}
		}
		r.step(0, ev...)
	}
	if asks < 4 || asks > 30 {
		t.Fatalf("asked %d times in 10 s", asks)
	}
}

// Events for ended or unknown things are harmless.
func TestStrayEvents(t *testing.T) {
	r := newRig(t, base(), eng("e1"))
	acts := r.step(1, Outcome{Request: "no", Engine: "e9", Result: OK}, Gone{"no"}, Timer{"old"}, Note{Request: "no"},
		Probed{Engine: "e9", Result: OK}, EngineList{Broken: true}, Request{ID: "u", Class: "unheard", Deadline: r.now + 900})
	if got := r.one(acts); got.Request != "u" {
		t.Fatal(got)
	}
	if len(r.step(1, Outcome{Request: "u", Engine: "e1", Result: OK, Ended: true, Work: math.Inf(1)}, Gone{"u"})) > 1 {
		t.Fatal("acts on stray events")
	}
}

// Danger: clients that leave early would leave their work on the engines.
func TestGoneFreesEngine(t *testing.T) {
	f := New(base(), 0)
	f.Step(0, []Event{EngineList{Whole: true, Engines: []Engine{{ID: "e0", Zone: "a", Kind: "k8"}}}})
	f.Step(1, []Event{Request{ID: "q", Class: "quick", Deadline: 2000}})
	for _, a := range f.Step(10, []Event{Gone{"q"}}) {
		if a == (Cancel{"q", 0}) {
			return
		}
	}
	t.Error("the attempt of a client that has left goes on")
}

// Given up means answered: the final answer comes in the very step in which the request is given up, with advice
// where a new try does no harm, and nothing of it is held back.
func TestGivenUpIsAnswered(t *testing.T) {
	answer := func(acts []Action) Action {
		for _, a := range acts {
			switch a.(type) {
			case Refuse, Fail:
				return a
			}
		}
		return nil
	}
	engine := EngineList{Whole: true, Engines: []Engine{{ID: "e0", Zone: "a", Kind: "k8"}}}
	t.Run("overload", func(t *testing.T) { // what finds no room is refused once its aim is out of reach
		f := New(base(), 0)
		f.Step(0, []Event{engine})
		refused := 0
		for i := 0; i < 40; i++ {
			if a, ok := answer(f.Step(1, []Event{Request{ID: fmt.Sprint("w", i), Class: "quick", Deadline: 2000}})).(Refuse); ok {
				if refused++; a.ComeBack <= 0 {
					t.Errorf("refused with no advice: %v", a)
				}
			}
		}
		for now := 10.0; now < 420; now += 10 {
			for _, a := range f.Step(now, []Event{Timer{"check"}}) {
				if _, ok := a.(Refuse); ok {
					refused++
				}
			}
		}
		if refused < 20 { // the engine has room for 16
			t.Errorf("%d of 40 answered by their aim, the others held", refused)
		}
	})
	t.Run("aim passed", func(t *testing.T) { // no engine may take it: refused with its aim, not at its deadline
		f := New(base(), 0)
		f.Step(0, []Event{Request{ID: "q", Class: "quick", Deadline: 2000}})
		for now := 10.0; now < 420; now += 10 {
			if answer(f.Step(now, []Event{Timer{"check"}})) != nil {
				return
			}
		}
		t.Error("held past its aim with no answer")
	})
	t.Run("attempts used up", func(t *testing.T) {
		s := base()
		s.MaxAttempts = 1
		f := New(s, 0)
		f.Step(0, []Event{engine})
		f.Step(1, []Event{Request{ID: "q", Class: "wide", Deadline: 25000}})
		if answer(f.Step(5, []Event{Outcome{Request: "q", Engine: "e0", Result: Error, Took: 4}})) == nil {
			t.Error("its only attempt failed, and no answer came with that")
		}
	})
	t.Run("may have run", func(t *testing.T) { // a load that may have run fails at once, is not sent again nor refused
		f := New(base(), 0)
		f.Step(0, []Event{engine})
		f.Step(1, []Event{Request{ID: "q", Class: "load", Deadline: 20000}})
		if _, ok := answer(f.Step(5, []Event{Outcome{Request: "q", Engine: "e0", Result: Reset, Took: 4}})).(Fail); !ok {
			t.Error("a load whose only attempt was reset is not failed at once")
		}
	})
}

// A front that ends answers all that is open, and calls off what is out.
func TestLeaving(t *testing.T) {
	r := newRig(t, base(), eng("e1"))
	r.step(1, req("a", "wide", r), req("b", "load", r))
	acts := r.step(1, Leaving{})
	if got := fmt.Sprint(acts[:4]); got != "[{a 0} "+fmt.Sprint(acts[1])+" {b 0} {b shutdown}]" || len(r.f.waiting) > 0 {
		t.Fatalf("got %v", acts)
	}
}

// What is known of keys, table groups and engines goes with them.
func TestForgets(t *testing.T) {
	s := base()
	s.OrderSettle = 5
	r := newRig(t, s, eng("e1"))
	for i := 0; i < 50; i++ {
		id := fmt.Sprint("k", i)
		q := req(id, "load", r)
		q.Key, q.Tables = id, id
		r.step(10, q)
		r.step(10, Outcome{Request: id, Engine: "e1", Result: Cancelled})
	}
	r.step(0, EngineList{Whole: true, Engines: []Engine{eng("e2")}})
	for i := 0; i < 3; i++ {
		r.step(40000, Timer{"check"})
	}
	if f := r.f; len(f.keys)+len(f.groups)+len(f.requests) > 0 || len(f.engines) != 1 || len(f.engines[0].tables) > 0 {
		t.Errorf("left: %d keys, %d groups, %d requests, %d engines", len(f.keys), len(f.groups), len(f.requests), len(f.engines))
	}
}
