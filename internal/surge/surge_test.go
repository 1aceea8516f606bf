package surge

import (
	"math/rand"
	"testing"
)

// A repeat within its span is always known, as often as clients come back; its mark is then used up, and all is forgotten
// after two spans.
func TestRepeatsAreKnown(t *testing.T) {
	r := NewRepeats(2000)
	for i := range uint64(500) {
		r.Refused(i*7919+1, 100)
	}
	for i := range uint64(500) {
		for range mostTries {
			if !r.Arrived(i*7919+1, 1900) {
				t.Fatalf("repeat %d is not known", i)
			}
		}
	}
	r = NewRepeats(2000)
	r.Refused(42, 0)
	if !r.Arrived(42, 3999) {
		t.Error("a repeat in the second span is not known")
	}
	if r.Arrived(42, 4001) {
		t.Error("a repeat is known after two spans")
	}
	r = NewRepeats(2000)
	r.Refused(42, 0)
	r.Arrived(42, 1)
	r.Arrived(42, 1)
	if r.Arrived(42, 1) {
		t.Error("a third try counts for the same refusal")
	}
}

// First tries that pass for repeats: under 1% with 500 refusals in memory, under 10% with 2,000.
func TestFalseRepeats(t *testing.T) {
	for _, c := range []struct {
		refused int
		most    float64
	}{{100, 0.001}, {500, 0.01}, {2000, 0.5}} {
		r, rnd := NewRepeats(2000), rand.New(rand.NewSource(3))
		for range c.refused {
			r.Refused(rnd.Uint64(), 0)
		}
		wrong, n := 0, 20000
		for range n {
			g := r.young
			if g.least(rnd.Uint64()) > 0 {
				wrong++
			}
		}
		share := float64(wrong) / float64(n)
		t.Logf("%d refusals: %.4f of first tries pass for repeats", c.refused, share)
		if share > c.most {
			t.Errorf("%d refusals: %.4f of first tries pass for repeats", c.refused, share)
		}
	}
}

// flow plays a second of requests at a rate: how many are repeats, and how many end in vain.
func flow(p *Pressure, r *rand.Rand, now, ms, perSecond, repeats, vain float64) float64 {
	for end := now + ms; now < end; {
		now += r.ExpFloat64() * 1000 / perSecond
		p.Arrived(now, r.Float64() < repeats)
		p.Ended(now, r.Float64() >= vain)
	}
	return now
}

func want(t *testing.T, p *Pressure, now float64, s State, when string) {
	t.Helper()
	if got, _ := p.State(now); got != s {
		t.Errorf("%s: %v, want %v (repeats %.2f, vain %.2f, service %.2f)", when, got, s, p.RepeatShare(now), p.VainShare(now), p.Service(now))
	}
}

// The states follow a storm from its begin to its end, at any size, and a burst of honest first tries is none.
func TestStates(t *testing.T) {
	for _, perSecond := range []float64{30, 100, 3000} {
		p, r := &Pressure{}, rand.New(rand.NewSource(1))
		now := flow(p, r, 0, 40000, perSecond, 0.02, 0.02)
		want(t, p, now, Calm, "after a calm time")
		now = flow(p, r, now, 3000, 3*perSecond, 0.02, 0.5)
		want(t, p, now, Calm, "in a burst of first tries")
		now = flow(p, r, now, 5000, perSecond, 0.02, 0.02)
		now = flow(p, r, now, 3000, 2*perSecond, 0.6, 0.9)
		want(t, p, now, Storm, "in a storm")
		now = flow(p, r, now, 20000, 2*perSecond, 0.6, 0.9)
		want(t, p, now, Storm, "in a long storm")
		now = flow(p, r, now, 3000, 1.5*perSecond, 0.4, 0.05)
		want(t, p, now, Recovering, "as the fleet gives again")
		now = flow(p, r, now, 3000, 2*perSecond, 0.5, 0.8)
		want(t, p, now, Storm, "as it breaks down again")
		now = flow(p, r, now, 3000, 1.2*perSecond, 0.3, 0.05)
		now = flow(p, r, now, 8000, perSecond, 0.02, 0.02)
		want(t, p, now, Calm, "once it is over")
	}
}

// A few requests are no storm, whatever their shares are, and a state does not flap at its threshold.
func TestChanceIsNoStorm(t *testing.T) {
	p, r := &Pressure{}, rand.New(rand.NewSource(2))
	now := flow(p, r, 0, 30000, 4, 1, 1)
	want(t, p, now, Calm, "with four requests a second, all in vain")
	changes, last := 0, Calm
	p = &Pressure{}
	now = 0
	for range 600 {
		now = flow(p, r, now, 100, 100, stormFrom, vainFrom)
		if s, _ := p.State(now); s != last {
			changes, last = changes+1, s
		}
	}
	if changes > 12 {
		t.Errorf("%d changes of state in a minute at the threshold", changes)
	}
}
