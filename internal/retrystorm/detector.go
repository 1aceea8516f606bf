package retrystorm

import "math"

// State is the state of retry storm detection.
type State uint8

// The states.
const (
	Calm       State = iota
	Storm            // many requests are repeats, and many end without a timely result
	Recovering       // requests are served again, while clients that were refused still repeat theirs
)

var stateNames = [...]string{"calm", "storm", "recovering"}

// String returns the name of the state in logs and metrics.
func (s State) String() string { return stateNames[s] }

// Windows and thresholds. The thresholds are ratios, so that they apply at any request rate; minSamples excludes ratios of too
// few requests.
const (
	shortWindow           = 1000.0  // ms of the decaying average for present rates
	longWindow            = 30000.0 // ms of the decaying average for the baseline
	minSamples            = 8.0     // requests in the short window below which shares count as 0
	stormRepeatShare      = 0.25    // minimum share of repeats among arrivals in a storm
	stormFailureShare     = 0.25    // minimum share of failures among endings in a storm
	stormConfirmTime      = 500.0   // ms for which the conditions of Storm or Recovering must hold
	recoveryGoodputRatio  = 0.5     // minimum goodput, relative to the baseline, at which a storm is ending
	recoveredFailureShare = 0.15    // maximum share of failures at which a storm is ending or over
	calmRepeatShare       = 0.10    // maximum share of repeats at which a storm is over
	calmConfirmTime       = 3000.0  // ms for which the conditions of Calm must hold
	relapseFailureShare   = 0.4     // minimum share of failures at which Recovering turns back into Storm
)

// decayingCount is a count that decays exponentially with time.
type decayingCount struct{ value, updatedAt float64 }

// add adds an amount at the time now; the count decays by a factor of e in each window.
func (c *decayingCount) add(now, window, amount float64) {
	c.value, c.updatedAt = c.get(now, window)+amount, now
}

// get returns the count as decayed until now.
func (c *decayingCount) get(now, window float64) float64 {
	return c.value * math.Exp((c.updatedAt-now)/window)
}

// Detector detects retry storms in one stream of requests: those of a tenant, or all. A success is a request served within
// its latency target; any other ending is a failure.
type Detector struct {
	arrivals, repeats, successes, failures decayingCount // over the short window
	baseline                               decayingCount // successes over the long window, counted only in state Calm
	state                                  State
	stateSince                             float64 // time of the last change of state
	conditionSince                         float64 // time since which the conditions for another state hold; 0: they do not
}

// Arrived counts the arrival of a request, either a repeat or a first try.
func (d *Detector) Arrived(now float64, repeat bool) {
	d.arrivals.add(now, shortWindow, 1)
	if repeat {
		d.repeats.add(now, shortWindow, 1)
	}
	d.updateState(now)
}

// Ended counts the end of a request: a success, or a failure such as a refusal, an error or a late result.
func (d *Detector) Ended(now float64, success bool) {
	if success {
		d.successes.add(now, shortWindow, 1)
		if d.state == Calm {
			d.baseline.add(now, longWindow, 1)
		}
	} else {
		d.failures.add(now, shortWindow, 1)
	}
	d.updateState(now)
}

// RepeatShare returns the present share of repeats among arrivals; 0 for too few arrivals.
func (d *Detector) RepeatShare(now float64) float64 {
	arrivals := d.arrivals.get(now, shortWindow)
	if arrivals < minSamples {
		return 0
	}
	return math.Min(d.repeats.get(now, shortWindow)/arrivals, 1)
}

// FailureShare returns the present share of failures among endings; 0 for too few endings.
func (d *Detector) FailureShare(now float64) float64 {
	failures, successes := d.failures.get(now, shortWindow), d.successes.get(now, shortWindow)
	if failures+successes < minSamples {
		return 0
	}
	return failures / (failures + successes)
}

// Goodput returns the present rate of successes per ms.
func (d *Detector) Goodput(now float64) float64 {
	return d.successes.get(now, shortWindow) / shortWindow
}

// BaselineGoodput returns the rate of successes per ms in state Calm.
func (d *Detector) BaselineGoodput(now float64) float64 {
	if d.state != Calm { // the baseline does not decay while no successes are added to it
		return d.baseline.value / longWindow
	}
	return d.baseline.get(now, longWindow) / longWindow
}

// GoodputRatio returns the present goodput relative to the baseline; 1 while the baseline is not known.
func (d *Detector) GoodputRatio(now float64) float64 {
	baseline := d.BaselineGoodput(now)
	if baseline*shortWindow < 1 {
		return 1
	}
	return d.Goodput(now) / baseline
}

// State returns the present state and the time of its last change.
func (d *Detector) State(now float64) (State, float64) {
	d.updateState(now)
	return d.state, d.stateSince
}

// updateState changes the state once the conditions for another one have held for long enough.
func (d *Detector) updateState(now float64) {
	next, confirmTime := d.state, 0.0
	repeatShare, failureShare := d.RepeatShare(now), d.FailureShare(now)
	switch d.state {
	case Calm:
		if repeatShare >= stormRepeatShare && failureShare >= stormFailureShare {
			next, confirmTime = Storm, stormConfirmTime
		}
	case Storm:
		switch {
		case failureShare < recoveredFailureShare && d.GoodputRatio(now) >= recoveryGoodputRatio:
			next, confirmTime = Recovering, stormConfirmTime
		case repeatShare < calmRepeatShare && failureShare < recoveredFailureShare: // clients have given up: no repeats are left
			next, confirmTime = Calm, calmConfirmTime
		}
	case Recovering:
		switch {
		case failureShare >= relapseFailureShare:
			next, confirmTime = Storm, stormConfirmTime
		case repeatShare < calmRepeatShare && failureShare < recoveredFailureShare:
			next, confirmTime = Calm, calmConfirmTime
		}
	}
	switch {
	case next == d.state:
		d.conditionSince = 0
	case d.conditionSince == 0:
		d.conditionSince = now
	case now-d.conditionSince >= confirmTime:
		d.state, d.stateSince, d.conditionSince = next, now, 0
		if next == Calm {
			d.baseline.updatedAt = now // the baseline from before the storm is kept, without decay for its duration
		}
	}
}
