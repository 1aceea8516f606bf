package choice

import (
	"fmt"
	"math"
	"math/rand"
	"reflect"
	"testing"
)

// TestRandom plays seeded random legal events and asserts the rules and that equal runs act alike.
func TestRandom(t *testing.T) {
	for seed := int64(1); seed <= 40; seed++ {
		a, b := play(t, seed), play(t, seed)
		if !reflect.DeepEqual(a, b) {
			t.Fatalf("seed %d: two equal runs differ", seed)
		}
	}
}

func play(t *testing.T, seed int64) []Action {
	rng := rand.New(rand.NewSource(seed))
	s := base()
	s.Seed, s.Fronts, s.MaxAttempts = seed, 1+rng.Intn(4), 1+rng.Intn(4)
	s.CanProbe, s.TwoAttempts, s.CanCancel = rng.Intn(2) == 0, rng.Intn(2) == 0, rng.Intn(3) > 0
	s.OrderSettle, s.NotePeriod = float64(rng.Intn(3))*200, float64(rng.Intn(3))*500
	s.Rationed, s.RationFree, s.RationShare, s.RationWindow = rng.Intn(2) == 0, 2, 0.1, 5000
	r := &rig{t: t, f: New(s, 1000), now: 1000}
	type out struct {
		id, engine string
		n          int
		at, due    float64
		cancelled  bool
	}
	type state struct {
		Request
		c     Class
		sends int
		over  bool
		out   int
		ran   bool
		ranAt float64
		ranOn string
	}
	reqs, keyRest := map[string]*state{}, map[string]float64{}
	var order []*state
	var outs []out
	healthy := map[string]Engine{}
	var all []Action
	var further, taken []float64
	for n := 0; n < 700; n++ {
		r.now += float64(rng.Intn(30))
		var ev []Event
		if n%50 == 0 {
			id := fmt.Sprint("e", rng.Intn(6))
			e := Engine{ID: id, Zone: []string{"a", "b"}[rng.Intn(2)], Kind: "k8", Cell: rng.Intn(2), Status: Status(rng.Intn(5) / 3)}
			if old, ok := healthy[id]; ok {
				e.Zone, e.Cell = old.Zone, old.Cell
			}
			if rng.Intn(2) == 0 {
				e.Started = r.now
			}
			healthy[id] = e
			ev = append(ev, EngineList{Engines: []Engine{e}})
		}
		if n < 500 {
			for i := rng.Intn(3); i > 0; i-- {
				c := s.Classes[rng.Intn(len(s.Classes))]
				q := &state{Request: Request{ID: fmt.Sprintf("q%d.%d", n, i), Class: c.Name, Tables: fmt.Sprint(rng.Intn(5)),
					Deadline: r.now + c.Limit*rng.Float64()}, c: c}
				if c.InOrder {
					q.Key = fmt.Sprint("k", rng.Intn(2))
				}
				reqs[q.ID] = q
				order = append(order, q)
				taken = append(taken, r.now)
				ev = append(ev, q.Request)
			}
		}
		var left []out
		for _, o := range outs {
			q := reqs[o.id]
			res := OK
			switch k := rng.Intn(12); {
			case o.cancelled:
				res = Cancelled
			case r.now >= q.Deadline:
				res = Timeout
			case r.now < o.due:
				left = append(left, o)
				continue
			case k < 3:
				res = []Result{Full, ConnectFailed, Error, Reset}[rng.Intn(4)]
			}
			q.out--
			if res > Moot && res != OK && !q.ran {
				q.ran, q.ranAt, q.ranOn = true, o.at, o.engine
			}
			if q.Key != "" && (res == Timeout || res == Reset || res == Cancelled) {
				keyRest[q.Key] = math.Max(keyRest[q.Key], r.now+s.OrderSettle)
			}
			q.over = q.over || res == OK
			ev = append(ev, Outcome{Request: o.id, Attempt: o.n, Engine: o.engine, Result: res, Took: r.now - o.at, Ended: q.over})
		}
		outs = left
		acts := r.step(0, append(ev, Timer{"check"})...)
		all = append(all, acts...)
		for _, a := range acts {
			switch a := a.(type) {
			case Send:
				q, e := reqs[a.Request], healthy[a.Engine]
				bad := func(why string) { t.Fatalf("seed %d at %v: %s: %+v to %+v", seed, r.now, why, q, e) }
				switch {
				case q.over:
					bad("sent after its end")
				case e.Status != Healthy:
					bad("drain")
				case q.out > 0 && !s.TwoAttempts:
					bad("two attempts out")
				case q.ran && q.c.Effect == Unsafe:
					bad("unsafe repeat")
				case q.ran && q.c.Effect == Keyed && (healthy[q.ranOn].Cell != e.Cell || r.now > q.ranAt+q.c.Window):
					bad("keyed repeat")
				case len(q.c.Zones) > 0 && e.Zone != "b":
					bad("placement")
				case q.sends >= s.MaxAttempts:
					bad("too many attempts")
				}
				if q.Key != "" {
					for _, p := range order {
						if p == q {
							break
						}
						if p.Key == q.Key && (!p.over || p.out > 0) {
							bad("out of order")
						}
					}
					if r.now < keyRest[q.Key] {
						bad("key not settled")
					}
				}
				if q.sends > 0 {
					further = append(further, r.now)
					if k := since(further, r.now-5000); s.Rationed && k > 2+0.1*since(taken, r.now-5000) {
						bad("ration")
					}
				}
				q.out++
				outs = append(outs, out{id: a.Request, engine: a.Engine, n: q.sends, at: r.now, due: r.now + rng.ExpFloat64()*300})
				q.sends++
			case Cancel:
				for i := range outs {
					if outs[i].id == a.Request && outs[i].n == a.Attempt {
						outs[i].cancelled = true
					}
				}
			case Refuse:
				q := reqs[a.Request]
				if q.over || q.c.Effect == Unsafe && (q.ran || q.out > 0) || q.c.Effect == Keyed && (q.ran || q.out > 0) {
					t.Fatalf("seed %d: wrong refusal of %+v", seed, q)
				}
				q.over = true
			case Fail:
				if reqs[a.Request].over {
					t.Fatalf("seed %d: second answer", seed)
				}
				reqs[a.Request].over = true
			}
		}
		for _, q := range order {
			if !q.over && r.now > q.Deadline+50 {
				t.Fatalf("seed %d at %v: no answer for %+v", seed, r.now, q)
			}
		}
	}
	return all
}

func since(at []float64, from float64) (n float64) {
	for _, x := range at {
		if x > from {
			n++
		}
	}
	return n
}
