package choice

import (
	"fmt"
	"math"
	"math/rand"
	"reflect"
	"testing"
)

// TestRandomEventsKeepRules passes random valid events to a scheduler, with fixed seeds. It checks every action against the
// rules, and that two runs with the same seed give the same actions.
func TestRandomEventsKeepRules(t *testing.T) {
	for seed := int64(1); seed <= 40; seed++ {
		a, b := runRandomEvents(t, seed), runRandomEvents(t, seed)
		if !reflect.DeepEqual(a, b) {
			t.Fatalf("seed %d: two runs with this seed gave different actions", seed)
		}
	}
}

// runRandomEvents does one run, fails the test at the first action that breaks a rule, and returns all actions.
func runRandomEvents(t *testing.T, seed int64) []Action {
	rng := rand.New(rand.NewSource(seed))
	s := testSettings()
	s.Seed, s.CoordinatorCount, s.MaxAttempts = seed, 1+rng.Intn(4), 1+rng.Intn(4)
	s.CanProbe, s.ParallelAttempts, s.CanCancel = rng.Intn(2) == 0, rng.Intn(2) == 0, rng.Intn(3) > 0
	s.OrderSettleTime, s.NoticePeriod = float64(rng.Intn(3))*200, float64(rng.Intn(3))*500
	s.HasRetryRation, s.RetryRationFree, s.RetryRationShare, s.RetryRationWindow = rng.Intn(2) == 0, 2, 0.1, 5000
	h := &harness{t: t, scheduler: New(s, 1000), now: 1000}
	type sentAttempt struct {
		id, engine     string
		number         int
		sentAt, endsAt float64
		cancelled      bool
	}
	type requestState struct {
		Request
		class            Class
		sends            int
		finished         bool
		attemptsInFlight int
		mayHaveRun       bool
		mayRunSince      float64
		mayRunOn         string
	}
	requests, keySettlesAt := map[string]*requestState{}, map[string]float64{}
	var arrivals []*requestState
	var attemptsInFlight []sentAttempt
	engines := map[string]Engine{}
	var allActions []Action
	var retries, arrivalTimes []float64
	for turn := 0; turn < 700; turn++ {
		h.now += float64(rng.Intn(30))
		var events []Event
		if turn%50 == 0 {
			id := fmt.Sprint("e", rng.Intn(6))
			e := Engine{ID: id, Zone: []string{"a", "b"}[rng.Intn(2)], Kind: "k8",
				Cell: rng.Intn(2), Status: Status(rng.Intn(5) / 3)}
			if old, ok := engines[id]; ok {
				e.Zone, e.Cell = old.Zone, old.Cell
			}
			if rng.Intn(2) == 0 {
				e.StartedAt = h.now
			}
			engines[id] = e
			events = append(events, EngineList{Engines: []Engine{e}})
		}
		if turn < 500 {
			for i := rng.Intn(3); i > 0; i-- {
				c := s.Classes[rng.Intn(len(s.Classes))]
				q := &requestState{Request: Request{ID: fmt.Sprintf("q%d.%d", turn, i), Class: c.Name,
					TableGroup: fmt.Sprint(rng.Intn(5)), Deadline: h.now + c.ClientTimeout*rng.Float64()}, class: c}
				if c.InOrder {
					q.OrderKey = fmt.Sprint("k", rng.Intn(2))
				}
				requests[q.ID] = q
				arrivals = append(arrivals, q)
				arrivalTimes = append(arrivalTimes, h.now)
				events = append(events, q.Request)
			}
		}
		var stillInFlight []sentAttempt
		for _, o := range attemptsInFlight {
			q := requests[o.id]
			result := OK
			switch k := rng.Intn(12); {
			case o.cancelled:
				result = Cancelled
			case h.now >= q.Deadline:
				result = Timeout
			case h.now < o.endsAt:
				stillInFlight = append(stillInFlight, o)
				continue
			case k < 3:
				result = []Result{Full, ConnectFailed, Error, Reset}[rng.Intn(4)]
			}
			q.attemptsInFlight--
			if result > NotRun && result != OK && !q.mayHaveRun {
				q.mayHaveRun, q.mayRunSince, q.mayRunOn = true, o.sentAt, o.engine
			}
			if q.OrderKey != "" && (result == Timeout || result == Reset || result == Cancelled) {
				keySettlesAt[q.OrderKey] = math.Max(keySettlesAt[q.OrderKey], h.now+s.OrderSettleTime)
			}
			q.finished = q.finished || result == OK
			events = append(events, Outcome{Request: o.id, Attempt: o.number, Engine: o.engine, Result: result,
				Duration: h.now - o.sentAt, RequestEnded: q.finished})
		}
		attemptsInFlight = stillInFlight
		actions := h.step(0, append(events, Timer{"check"})...)
		allActions = append(allActions, actions...)
		for _, a := range actions {
			switch a := a.(type) {
			case Send:
				q, e := requests[a.Request], engines[a.Engine]
				violation := func(why string) { t.Fatalf("seed %d at %v: %s: %+v to %+v", seed, h.now, why, q, e) }
				switch {
				case q.finished:
					violation("sent after the request had ended")
				case e.Status != Healthy:
					violation("sent to an engine that is draining or removed")
				case q.attemptsInFlight > 0 && !s.ParallelAttempts:
					violation("second attempt while one is open")
				case q.mayHaveRun && q.class.Idempotency == AtMostOnce:
					violation("at-most-once request repeated")
				case q.mayHaveRun && q.class.Idempotency == Deduplicated &&
					(engines[q.mayRunOn].Cell != e.Cell || h.now > q.mayRunSince+q.class.DedupWindow):
					violation("deduplicated request repeated outside its cell or window")
				case len(q.class.Zones) > 0 && e.Zone != "b":
					violation("sent to a zone that its class does not allow")
				case q.sends >= s.MaxAttempts:
					violation("more attempts than allowed")
				}
				if q.OrderKey != "" {
					for _, p := range arrivals {
						if p == q {
							break
						}
						if p.OrderKey == q.OrderKey && (!p.finished || p.attemptsInFlight > 0) {
							violation("sent before an earlier request of its order key ended")
						}
					}
					if h.now < keySettlesAt[q.OrderKey] {
						violation("sent before its order key had settled")
					}
				}
				if q.sends > 0 {
					retries = append(retries, h.now)
					if k := countSince(retries, h.now-5000); s.HasRetryRation &&
						k > 2+0.1*countSince(arrivalTimes, h.now-5000) {
						violation("more retries than the retry ration allows")
					}
				}
				q.attemptsInFlight++
				attemptsInFlight = append(attemptsInFlight, sentAttempt{id: a.Request, engine: a.Engine, number: q.sends,
					sentAt: h.now, endsAt: h.now + rng.ExpFloat64()*300})
				q.sends++
			case Cancel:
				for i := range attemptsInFlight {
					if attemptsInFlight[i].id == a.Request && attemptsInFlight[i].number == a.Attempt {
						attemptsInFlight[i].cancelled = true
					}
				}
			case Refuse:
				q := requests[a.Request]
				if q.finished || q.class.Idempotency == AtMostOnce && (q.mayHaveRun || q.attemptsInFlight > 0) ||
					q.class.Idempotency == Deduplicated && (q.mayHaveRun || q.attemptsInFlight > 0) {
					t.Fatalf("seed %d: refused though it ended or may have run: %+v", seed, q)
				}
				q.finished = true
			case Fail:
				if requests[a.Request].finished {
					t.Fatalf("seed %d: second final answer", seed)
				}
				requests[a.Request].finished = true
			}
		}
		for _, q := range arrivals {
			if !q.finished && h.now > q.Deadline+50 {
				t.Fatalf("seed %d at %v: no answer within 50 ms of the deadline: %+v", seed, h.now, q)
			}
		}
	}
	return allActions
}

// countSince counts the points in time that are later than from.
func countSince(at []float64, from float64) (n float64) {
	for _, x := range at {
		if x > from {
			n++
		}
	}
	return n
}
