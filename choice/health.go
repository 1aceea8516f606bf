package choice

// Health: which engines are kept from what, and for how long.

import (
	"math"
	"slices"
)

// sweep is the regular check of what is out: hung engines, bad plans, probes, the list.
func (f *Front) sweep() {
	for _, e := range f.engines {
		silent := f.silence(e)
		if len(e.out) == 1 { // one silent attempt says little of its engine: its class's tail counts
			silent /= e.out[0].q.c.tail
		}
		hung := silent > hungTimes && f.now-math.Max(e.heard, e.out[0].sent) > f.hungLeast
		if hung {
			f.fail(e)
		}
		for _, a := range e.out {
			fresh := a.base * f.avgCold * a.scale
			// Danger: a bad plan runs many times longer. A fresh attempt is likely to do better, but not
			// twice.
			left := a.total - (f.now - a.sent)
			heavy, again := badPlan, math.Max(2*fresh, 1.5*a.total*f.regain(a.q.c))
			if a.q.Work <= 0 { // with no estimate, a query heavy by itself looks like a bad plan
				heavy = badGuess
			}
			bad := a.total > heavy*fresh && left > again && a.q.moved == 0
			lost := f.lost(a)
			if bad || lost && a.q.slow == 0 {
				a.q.slow = math.Max(a.total, f.now-a.sent)
			}
			if hung || bad || lost {
				f.move(a)
			}
		}
	}
	f.yield()
	f.forget()
	if !f.many { // with many fronts, probes go to a costly query's candidates just before it is sent
		f.probe(f.engines)
	}
	if f.s.Ask && !f.asked && f.now >= f.askAt {
		f.asked = true
		f.do(Subscribe{})
	}
}

// lost tells that an attempt most likely vanished: its notes stay out, or it is silent for longer than nearly
// all answers of its class. It may hurt a very heavy query: without notes, only for first moves.
func (f *Front) lost(a *attempt) bool {
	silent := f.now - math.Max(a.sent, a.note)
	periods := lostNext
	if a.note == a.sent {
		periods = lostFirst
	}
	if f.s.NotePeriod > 0 && silent > math.Max(periods*f.s.NotePeriod, f.hungLeast) {
		return true
	}
	return !a.noted && silent*math.Max(1-f.regain(a.q.c), 0.05) > a.q.c.tail*a.expect && a.q.moved < lostMoves
}

// fail pauses an engine; each further failure doubles the pause, one attempt then tries it again.
func (f *Front) fail(e *engine) {
	if f.now < e.badUntil {
		return
	}
	e.badUntil = f.now + f.pause(e.fails)
	e.fails++
}

func (f *Front) pause(fails int) float64 {
	return math.Min(trialFirst*math.Pow(2, float64(fails)), trialMost) * (1 + f.rng.Float64()/4)
}

// blame counts an error against its engine. Danger: a request that fails wherever it goes would have every
// engine paused; from the second engine on it counts against none.
func (f *Front) blame(q *request, e *engine) {
	if !slices.Contains(q.erred, e) {
		if q.erred = append(q.erred, e); len(q.erred) == 2 {
			q.erred[0].errors = max(q.erred[0].errors-1, 0)
		}
	}
	if len(q.erred) < 2 {
		e.errors++
		i := e.ill(q.c)
		i.errors++
		e.ills[q.c] = i
	}
}

// sicken pauses an engine for one class. Danger: an engine that fails one class and answers the others looks
// well; and were it paused for all, the others would lose it.
func (f *Front) sicken(e *engine, c *class) {
	i := e.ill(c)
	if f.now >= i.until {
		i.until = f.now + f.pause(i.fails)
		i.fails++
		e.ills[c] = i
	}
}

// sick tells whether a class must not go there now: it is paused, or one attempt is trying it again.
func (e *engine) sick(c *class, now float64) bool {
	i := e.ills[c]
	trying := func(a *attempt) bool { return a.q.c == c }
	return now < i.until || i.fails > 0 && slices.ContainsFunc(e.out, trying)
}

// poison tells that a request is at fault itself: an engine said so, or it has failed on so many.
func (f *Front) poison(q *request) bool {
	return q.rejected || len(q.erred) >= max(2, min(errorsMost, len(f.usable)))
}

// probe asks engines for their load where reports come no other way, within a share of the traffic.
func (f *Front) probe(engines []*engine) (asked bool) {
	for _, e := range engines {
		if f.s.CanProbe && e.listed && f.now-e.probedAt >= probeEvery && f.now-e.reportAt >= probeFresh &&
			f.probes < probeShare*f.tookAll {
			e.probedAt, asked = f.now, true
			f.probes++
			f.do(Probe{e.ID})
		}
	}
	return asked
}

// probed takes a probe's result.
func (f *Front) probed(p Probed) {
	e := f.byID[p.Engine]
	if e == nil {
		return
	}
	switch p.Result {
	case OK:
		f.heed(e, p.Report)
		f.tell(e, packNews(newsReport, e, e.report/newsStep, e.memory/newsStep, 0))
	case ConnectFailed, Reset:
		f.fail(e)
		e.backAt = e.badUntil
	}
}
