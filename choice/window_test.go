package choice

import "testing"

// A keyed request that could not be repeated any more was held to its deadline, and then refused as harmless to try again.
func TestKeyedRequestIsHeldOrRefusedBehindItsWindow(t *testing.T) {
	s := base()
	for i := range s.Classes {
		if s.Classes[i].Name == "keyed" {
			s.Classes[i].Group, s.Classes[i].LateWorth = GroupAll, 0.5
		}
	}
	r := newRig(t, s, eng("e1"))
	r.one(r.step(1, req("k", "keyed", r)))
	gone := eng("e1")
	gone.Status = Draining
	acts := r.step(10, EngineList{Engines: []Engine{gone}}, Outcome{Request: "k", Engine: "e1", Result: Error})
	r.none(acts)
	for range 48 { // the window is 5,000 ms from the send
		r.none(r.step(100, Timer{"check"}))
	}
	acts = r.step(300, Timer{"check"})
	for _, a := range acts {
		if f, ok := a.(Fail); ok && f.Reason == ReasonMayHaveRun {
			return
		}
	}
	t.Fatalf("behind its window it is not failed: %v", acts)
}
