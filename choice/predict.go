package choice

// Prediction: how long a query will take on an engine (2).

import (
	"math"
	"slices"
)

// work predicts a query's work: its estimate, corrected for its class, or the class's mean (2).
func (f *Front) work(q *request) float64 {
	if w := q.Work * q.hint(); w > 0.01 && w < 1e9 { // nonsense estimates count as none
		return w
	}
	return q.c.work
}

// hint is what an estimate has to be multiplied with.
func (q *request) hint() float64 {
	if q.Learned {
		return 1
	}
	return q.c.hintRatio
}

// scale is how much an engine's load slows a query (2): by our threads over its cores and reported
// utilisation, else by what we have there ourselves, taking our peers to be alike.
func (f *Front) scale(e *engine, threads float64) float64 {
	own := (e.threads + threads) / e.cores
	return (1 + own) * (1 + f.load(e))
}

// load is the load of an engine: its report, which with age gives way to the fleet's mean. Departure: a front
// among many sees each engine too seldom, and an attempt of its own there says little about its peers.
func (f *Front) load(e *engine) float64 {
	own := e.threads / e.cores
	age := f.now - e.reportAt
	if f.meanAt < f.now-reportLife && age > reportLife {
		return own + (f.fronts-1)*(f.ownMean+(own-f.ownMean)/f.fronts)
	}
	return math.Max(own, f.meanLoad+(e.report-f.meanLoad)*math.Exp(-age/reportLife)+f.since(e))
}

// since is what an engine's load has grown by since its last report, by what we and, as they tell, our peers
// sent it. Danger: reports are old when they come; a few costly queries of as many fronts fill an engine
// unseen.
func (f *Front) since(e *engine) float64 {
	from, threads := e.reportAt-reportLag, 0.0
	for _, a := range e.abroad { // our own are among them
		if a.at > from && f.many && f.s.CanTell {
			threads += a.threads * math.Exp((a.at-f.now)/a.long)
		}
	}
	return threads / e.cores / threadsACore
}

// factor is an engine's learned slowness, warm or cold (2). One not heard of counts as average; one not heard
// of for long drifts back there.
func (f *Front) factor(e *engine, warm bool) float64 {
	x, other, avg, otherAvg := &e.cold, &e.warm, f.avgCold, f.avgWarm
	if warm {
		x, other, avg, otherAvg = other, x, otherAvg, avg
	}
	v := avg
	if x.n > 0 {
		v = avg + (x.v-avg)*math.Exp((x.at-f.now)/forget)
	} else if other.n > 0 {
		v = avg * (1 + (other.v/otherAvg-1)*math.Exp((other.at-f.now)/forget))
	}
	// Danger: a hung engine answers nothing, so its factor would stay flattering. While it owes answers, its
	// silence is a lower bound on its latency. Covers cut links and stopped machines.
	return v * math.Max(f.silence(e)/silentTimes, 1)
}

// silence is how many answers an engine should have given since it last gave word.
func (f *Front) silence(e *engine) float64 {
	missed := 0.0
	for _, a := range e.out {
		missed += (f.now - math.Max(e.heard, a.sent)) / math.Max(a.expect, 1)
	}
	return missed
}

// predict is the predicted latency of a query on an engine (2).
func (f *Front) predict(e *engine, q *request, warm bool) float64 {
	p := f.work(q) / q.c.Threads * f.factor(e, warm) * f.scale(e, q.c.Threads)
	if e.Zone != f.s.Zone && f.s.CrossZonePrice > 0 {
		p *= crossPenalty + crossQuiet*math.Max(0, 1-f.meanLoad/fullLoad)
	}
	// Danger: loads on every engine hold a table group everywhere, and its readers stand still at all.
	if q.c.Load && !f.many && !slices.Contains(f.homes(q), e) {
		p *= loadAway
	}
	if q.c.Load || q.c.Waits { // a load holds its tables on its engine: what needs them stands still there
		wait := 0.0
		for _, a := range e.out { // the last one's expected time has those ahead of it in it
			if a.q.c.Load && a.q.Tables == q.Tables {
				wait = math.Max(wait, math.Max(a.expect-(f.now-a.sent), a.expect/4))
			}
		}
		p += wait
		switch { // danger: a peer's load is not seen; only what waits for it tells
		case e.locked[q.Tables] > f.now:
			p += f.lockWait()
		case !q.c.Load && !f.many && slices.Contains(f.homes(q), e):
			p += f.lockWait() * f.loadShare(q)
		}
	}
	return p
}

// lockWait is how long a query usually stands still behind a load.
func (f *Front) lockWait() (span float64) {
	for _, c := range f.classList {
		if c.Load {
			span = math.Max(span, lockSpan*math.Max(c.light, c.work/c.Threads))
		}
	}
	return span
}

// loadShare is the part of the time that a table group is held at one of its homes, if our peers get loads as
// we do.
func (f *Front) loadShare(q *request) float64 {
	g := f.group(q.Tables)
	rate := g.loads * math.Exp((g.at-f.now)/warmFor) / warmFor * f.fronts
	return math.Min(rate*f.lockWait()/lockSpan/float64(len(f.homes(q))), 1)
}

// regain is the share of a slow attempt's length that a fresh one takes: small where plans go bad.
func (f *Front) regain(c *class) float64 {
	return regainFirst + (c.regain-regainFirst)*math.Exp((c.regainAt-f.now)/regainForget)
}

// slowed is how many times longer than alone on its engine a query took, on the geometric mean of the answers
// of the last seconds; a few say little, and none says 1.
func (f *Front) slowed() float64 {
	return math.Exp(f.slower.get(f.now, partSpan) / (f.answers.get(f.now, partSpan) + 1))
}
