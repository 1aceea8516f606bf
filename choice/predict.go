package choice

// Prediction of how long a query will take on an engine.

import (
	"math"
	"slices"
)

// predictWork predicts a query's work in CPU ms: its estimate corrected for its class, or else its class's
// mean work.
func (f *Scheduler) predictWork(q *request) float64 {
	if w := q.Work * q.estimateMultiplier(); w > 0.01 && w < 1e9 { // implausible estimates count as none
		return w
	}
	return q.class.meanWork
}

// estimateMultiplier is the ratio that corrects a query's estimate for its class. A learned estimate needs no
// correction.
func (q *request) estimateMultiplier() float64 {
	if q.EstimateLearned {
		return 1
	}
	return q.class.estimateRatio
}

// loadSlowdown is the ratio by which load slows a query with that many threads on an engine: by the threads
// that this coordinator has there, to the engine's cores, and by the engine's load.
func (f *Scheduler) loadSlowdown(e *engine, threads float64) float64 {
	ownLoad := (e.threadsOut + threads) / e.cores
	return (1 + ownLoad) * (1 + f.engineLoad(e))
}

// engineLoad is an engine's load: its last report, which with age gives way to the fleet's mean. With no
// recent report at all, it is this coordinator's own load there, taking its peers to send alike. Departure
// from the design: one of many coordinators sees each engine too seldom, and its own attempt there says
// little about what its peers send.
func (f *Scheduler) engineLoad(e *engine) float64 {
	ownLoad := e.threadsOut / e.cores
	age := f.now - e.reportedAt
	if f.meanReportedAt < f.now-reportLifetimeMs && age > reportLifetimeMs {
		return ownLoad + (f.coordinators-1)*(f.meanOwnLoad+(ownLoad-f.meanOwnLoad)/f.coordinators)
	}
	return math.Max(ownLoad,
		f.meanReportedLoad+(e.reportedLoad-f.meanReportedLoad)*math.Exp(-age/reportLifetimeMs)+
			f.loadSinceReport(e))
}

// loadSinceReport is the load that an engine has gained since its last report from the queries that this
// coordinator and, by their messages, its peers sent there. Reports are old when they arrive: without this, a
// few costly queries from several coordinators would fill an engine before its next report shows it.
func (f *Scheduler) loadSinceReport(e *engine) float64 {
	since, threads := e.reportedAt-reportDelayMs, 0.0
	for _, a := range e.recentSends { // this coordinator's sends included
		if a.sentAt > since && f.manyPeers && f.settings.CanSendToPeers {
			threads += a.threads * math.Exp((a.sentAt-f.now)/a.expectedRun)
		}
	}
	return threads / e.cores / maxThreadsPerCore
}

// slownessFactor is an engine's learned slowness for warm or for cold table groups. An engine without answers
// counts as average, and one whose answers are old drifts back to the average.
func (f *Scheduler) slownessFactor(e *engine, warm bool) float64 {
	learned, other, mean, otherMean := &e.coldFactor, &e.warmFactor, f.meanColdFactor, f.meanWarmFactor
	if warm {
		learned, other, mean, otherMean = other, learned, otherMean, mean
	}
	slowness := mean
	if learned.answers > 0 {
		slowness = mean + (learned.ratio-mean)*math.Exp((learned.updatedAt-f.now)/slownessDecayMs)
	} else if other.answers > 0 {
		slowness = mean * (1 + (other.ratio/otherMean-1)*math.Exp((other.updatedAt-f.now)/slownessDecayMs))
	}
	// An unresponsive engine gives no answers, so its factor would stay favorable. While it owes answers, its
	// silence is a lower bound on its latency. This covers cut links and stopped machines.
	return slowness * math.Max(f.missedAnswers(e)/toleratedMissedAnswers, 1)
}

// missedAnswers is how many answers an engine should have given since it was last heard from.
func (f *Scheduler) missedAnswers(e *engine) float64 {
	missed := 0.0
	for _, a := range e.openAttempts {
		missed += (f.now - math.Max(e.lastHeardAt, a.sentAt)) / math.Max(a.expectedTime, 1)
	}
	return missed
}

// predictLatency predicts how long a query takes on an engine, in ms.
func (f *Scheduler) predictLatency(e *engine, q *request, warm bool) float64 {
	latency := f.predictWork(q) / q.class.Threads * f.slownessFactor(e, warm) *
		f.loadSlowdown(e, q.class.Threads)
	if e.Zone != f.settings.Zone && f.settings.CrossZonePrice > 0 {
		latency *= crossZonePenalty + idleCrossZonePenalty*math.Max(0, 1-f.meanReportedLoad/targetLoad)
	}
	// Loads on every engine would hold their table group everywhere, and its readers would have to wait on
	// each of them.
	if q.class.IsLoad && !f.manyPeers && !slices.Contains(f.homeEngines(q), e) {
		latency *= loadOffHomePenalty
	}
	// A load holds its tables on its engine, and queries that need these wait there.
	if q.class.IsLoad || q.class.WaitsForLoads {
		lockWait := 0.0
		for _, a := range e.openAttempts { // the expected time of the last load includes those ahead of it
			if a.request.class.IsLoad && a.request.TableGroup == q.TableGroup {
				lockWait = math.Max(lockWait, math.Max(a.expectedTime-(f.now-a.sentAt), a.expectedTime/4))
			}
		}
		latency += lockWait
		switch { // a load sent by a peer is not seen: only a query that waits for it shows it
		case e.tableGroupLockedUntil[q.TableGroup] > f.now:
			latency += f.expectedLockWait()
		case !q.class.IsLoad && !f.manyPeers && slices.Contains(f.homeEngines(q), e):
			latency += f.expectedLockWait() * f.lockedTimeShare(q)
		}
	}
	return latency
}

// expectedLockWait is how long a query usually waits behind a load, in ms.
func (f *Scheduler) expectedLockWait() (wait float64) {
	for _, c := range f.classList {
		if c.IsLoad {
			wait = math.Max(wait, lockWaitShare*math.Max(c.lightAnswerTime, c.meanWork/c.Threads))
		}
	}
	return wait
}

// lockedTimeShare is the share of time that a table group is held at one of its home engines, if each peer
// gets as many loads as this coordinator.
func (f *Scheduler) lockedTimeShare(q *request) float64 {
	g := f.tableGroupFor(q.TableGroup)
	loadRate := g.loads * math.Exp((g.updatedAt-f.now)/warmPeriodMs) / warmPeriodMs * f.coordinators
	return math.Min(loadRate*f.expectedLockWait()/lockWaitShare/float64(len(f.homeEngines(q))), 1)
}

// restartShare is the share of a slow attempt's time that a restarted one takes: small where slow attempts
// had bad plans.
func (f *Scheduler) restartShare(c *class) float64 {
	return initialRestartShare +
		(c.restartShare-initialRestartShare)*math.Exp((c.restartShareAt-f.now)/restartDecayMs)
}

// meanSlowdown is how many times longer than alone on its engine a query took: the geometric mean over the
// answers of the last seconds. It stays close to 1 while there are only a few answers, and is 1 without any.
func (f *Scheduler) meanSlowdown() float64 {
	return math.Exp(f.slowdownLogs.valueAt(f.now, threadAverageMs) /
		(f.slowdownAnswers.valueAt(f.now, threadAverageMs) + 1))
}
