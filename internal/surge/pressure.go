package surge

import "math"

// State is how a coordinator stands.
type State uint8

// The states.
const (
	Calm       State = iota
	Storm            // repeats take the place of first tries, and much of what is done is in vain
	Recovering       // the fleet gives again, and those turned away come back
)

var stateNames = [...]string{"calm", "storm", "recovering"}

func (s State) String() string { return stateNames[s] }

// Thresholds. All are shares, so that they hold at any size; the chance of few requests is kept out by leastSeen.
const (
	fastSpan   = 1000.0  // ms over which the present is measured
	slowSpan   = 30000.0 // ms over which the usual is
	leastSeen  = 8.0     // arrivals in the fast span from which a share says anything
	stormFrom  = 0.25    // share of repeats among arrivals, and ...
	vainFrom   = 0.25    // ... share of endings that are in vain, from which it is a storm
	stormFor   = 500.0   // ms for which both must hold
	recoverAt  = 0.5     // of the usual service, from which a storm is ending
	vainUnder  = 0.15    // share in vain under which it is
	calmUnder  = 0.10    // share of repeats under which, ...
	calmFor    = 3000.0  // ... for so long, all is calm again
	stormAgain = 0.4     // share in vain from which one that was ending is back
)

// rate is a fading count.
type rate struct{ v, at float64 }

func (r *rate) add(now, span, n float64) {
	r.v, r.at = r.get(now, span)+n, now
}

func (r *rate) get(now, span float64) float64 { return r.v * math.Exp((r.at-now)/span) }

// Pressure follows one flow of requests: a member's, or all.
type Pressure struct {
	arrivals, repeats, served, vain rate // over the fast span
	usual                           rate // served, over the slow span, in calm times only
	state                           State
	since                           float64 // of the state
	signs                           float64 // since when its signs to change hold; 0: they don't
}

// Arrived counts a request, a repeat or a first try.
func (p *Pressure) Arrived(now float64, repeat bool) {
	p.arrivals.add(now, fastSpan, 1)
	if repeat {
		p.repeats.add(now, fastSpan, 1)
	}
	p.step(now)
}

// Ended counts an ending: a good answer in time, or one in vain, as refused, failed or too late.
func (p *Pressure) Ended(now float64, good bool) {
	if good {
		p.served.add(now, fastSpan, 1)
		if p.state == Calm {
			p.usual.add(now, slowSpan, 1)
		}
	} else {
		p.vain.add(now, fastSpan, 1)
	}
	p.step(now)
}

// RepeatShare is the share of repeats among what comes now; 0 while too little does.
func (p *Pressure) RepeatShare(now float64) float64 {
	a := p.arrivals.get(now, fastSpan)
	if a < leastSeen {
		return 0
	}
	return math.Min(p.repeats.get(now, fastSpan)/a, 1)
}

// VainShare is the share of endings in vain; 0 while there are too few.
func (p *Pressure) VainShare(now float64) float64 {
	v, s := p.vain.get(now, fastSpan), p.served.get(now, fastSpan)
	if v+s < leastSeen {
		return 0
	}
	return v / (v + s)
}

// Served is the rate of good answers now, a ms.
func (p *Pressure) Served(now float64) float64 { return p.served.get(now, fastSpan) / fastSpan }

// Usual is the rate of good answers in calm times, a ms.
func (p *Pressure) Usual(now float64) float64 {
	if p.state != Calm { // it stands still while it is not learned
		return p.usual.v / slowSpan
	}
	return p.usual.get(now, slowSpan) / slowSpan
}

// Service is the present rate of good answers against the usual one; 1 while nothing usual is known.
func (p *Pressure) Service(now float64) float64 {
	usual := p.Usual(now)
	if usual*fastSpan < 1 {
		return 1
	}
	return p.Served(now) / usual
}

// State is the present state, and since when.
func (p *Pressure) State(now float64) (State, float64) {
	p.step(now)
	return p.state, p.since
}

// step changes the state where its signs have held for long enough.
func (p *Pressure) step(now float64) {
	next, hold := p.state, 0.0
	repeats, vain := p.RepeatShare(now), p.VainShare(now)
	switch p.state {
	case Calm:
		if repeats >= stormFrom && vain >= vainFrom {
			next, hold = Storm, stormFor
		}
	case Storm:
		switch {
		case vain < vainUnder && p.Service(now) >= recoverAt:
			next, hold = Recovering, stormFor
		case repeats < calmUnder && vain < vainUnder: // all have gone
			next, hold = Calm, calmFor
		}
	case Recovering:
		switch {
		case vain >= stormAgain:
			next, hold = Storm, stormFor
		case repeats < calmUnder && vain < vainUnder:
			next, hold = Calm, calmFor
		}
	}
	switch {
	case next == p.state:
		p.signs = 0
	case p.signs == 0:
		p.signs = now
	case now-p.signs >= hold:
		p.state, p.since, p.signs = next, now, 0
		if next == Calm {
			p.usual.at = now // what was usual before the storm still is
		}
	}
}
