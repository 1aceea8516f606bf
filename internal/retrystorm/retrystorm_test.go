package retrystorm

import (
	"math/rand"
	"testing"
)

// Repeats within the window must always be recognized, as often as clients repeat a request. A further request with the
// same key is not a repeat, and refusals are dropped after two windows.
func TestRepeatsAreRecognized(t *testing.T) {
	r := NewRepeatSketch(2000)
	for i := range uint64(500) {
		r.AddRefusal(i*7919+1, 100)
	}
	for i := range uint64(500) {
		for range repeatsPerRefusal {
			if !r.MatchArrival(i*7919+1, 1900) {
				t.Fatalf("repeat %d is not recognized", i)
			}
		}
	}
	r = NewRepeatSketch(2000)
	r.AddRefusal(42, 0)
	if !r.MatchArrival(42, 3999) {
		t.Error("a repeat in the second window is not recognized")
	}
	if r.MatchArrival(42, 4001) {
		t.Error("a repeat is recognized after two windows")
	}
	r = NewRepeatSketch(2000)
	r.AddRefusal(42, 0)
	r.MatchArrival(42, 1)
	r.MatchArrival(42, 1)
	if r.MatchArrival(42, 1) {
		t.Error("a third request counts as a repeat of the same refusal")
	}
}

// Limits how many first tries are mistaken for repeats: 0.1% with 100 refusals in memory, 1% with 500, and 50% with 2,000.
func TestFalseRepeats(t *testing.T) {
	for _, c := range []struct {
		refused  int
		maxShare float64
	}{{100, 0.001}, {500, 0.01}, {2000, 0.5}} {
		r, random := NewRepeatSketch(2000), rand.New(rand.NewSource(3))
		for range c.refused {
			r.AddRefusal(random.Uint64(), 0)
		}
		falseMatches, n := 0, 20000
		for range n {
			g := r.current
			if g.minCount(random.Uint64()) > 0 {
				falseMatches++
			}
		}
		share := float64(falseMatches) / float64(n)
		t.Logf("%d refusals: %.4f of first tries are mistaken for repeats", c.refused, share)
		if share > c.maxShare {
			t.Errorf("%d refusals: %.4f of first tries are mistaken for repeats", c.refused, share)
		}
	}
}

// playRequests sends requests to a detector for some ms, at a rate and with shares of repeats and failures. It returns the
// time of the last one.
func playRequests(d *Detector, r *rand.Rand, now, ms, perSecond, repeatShare, failureShare float64) float64 {
	for end := now + ms; now < end; {
		now += r.ExpFloat64() * 1000 / perSecond
		d.Arrived(now, r.Float64() < repeatShare)
		d.Ended(now, r.Float64() >= failureShare)
	}
	return now
}

func checkState(t *testing.T, d *Detector, now float64, want State, when string) {
	t.Helper()
	if got, _ := d.State(now); got != want {
		t.Errorf("%s: %v, want %v (repeats %.2f, failures %.2f, goodput ratio %.2f)", when, got, want, d.RepeatShare(now),
			d.FailureShare(now), d.GoodputRatio(now))
	}
}

// The state must follow a storm from its start to its end, at any request rate. A burst of first tries is not a storm.
func TestStates(t *testing.T) {
	for _, perSecond := range []float64{30, 100, 3000} {
		d, r := &Detector{}, rand.New(rand.NewSource(1))
		now := playRequests(d, r, 0, 40000, perSecond, 0.02, 0.02)
		checkState(t, d, now, Calm, "without a storm")
		now = playRequests(d, r, now, 3000, 3*perSecond, 0.02, 0.5)
		checkState(t, d, now, Calm, "in a burst of first tries")
		now = playRequests(d, r, now, 5000, perSecond, 0.02, 0.02)
		now = playRequests(d, r, now, 3000, 2*perSecond, 0.6, 0.9)
		checkState(t, d, now, Storm, "in a storm")
		now = playRequests(d, r, now, 20000, 2*perSecond, 0.6, 0.9)
		checkState(t, d, now, Storm, "in a long storm")
		now = playRequests(d, r, now, 3000, 1.5*perSecond, 0.4, 0.05)
		checkState(t, d, now, Recovering, "as goodput recovers")
		now = playRequests(d, r, now, 3000, 2*perSecond, 0.5, 0.8)
		checkState(t, d, now, Storm, "in a relapse")
		now = playRequests(d, r, now, 3000, 1.2*perSecond, 0.3, 0.05)
		now = playRequests(d, r, now, 8000, perSecond, 0.02, 0.02)
		checkState(t, d, now, Calm, "after the storm")
	}
}

// A few requests are not a storm, whatever their shares, and the state does not flap at its thresholds.
func TestFewRequestsAreNoStorm(t *testing.T) {
	d, r := &Detector{}, rand.New(rand.NewSource(2))
	now := playRequests(d, r, 0, 30000, 4, 1, 1)
	checkState(t, d, now, Calm, "with four requests per second, all repeats that fail")
	changes, last := 0, Calm
	d = &Detector{}
	now = 0
	for range 600 {
		now = playRequests(d, r, now, 100, 100, stormRepeatShare, stormFailureShare)
		if s, _ := d.State(now); s != last {
			changes, last = changes+1, s
		}
	}
	if changes > 12 {
		t.Errorf("%d changes of state in one minute at the thresholds", changes)
	}
}
