package choice

// This file predicts how long a query will take on an engine.

import (
	"math"
	"slices"
)

// predictWork predicts a query's work in CPU ms: its estimate with the correction of its class or, without a
// plausible estimate, the mean work of its class.
func (s *Scheduler) predictWork(q *request) float64 {
	if w := q.Work * q.estimateMultiplier(); w > 0.01 && w < 1e9 { // implausible estimates are ignored
		return w
	}
	return q.class.meanWork
}

// estimateMultiplier returns the ratio that corrects a query's estimate for the usual error of its class. A
// learned estimate needs no correction.
func (q *request) estimateMultiplier() float64 {
	if q.EstimateLearned {
		return 1
	}
	return q.class.estimateRatio
}

// loadSlowdown returns the ratio by which load lengthens a query with a number of threads on an engine. It
// grows with this coordinator's threads per core there and with the engine's load.
func (s *Scheduler) loadSlowdown(e *engine, threads float64) float64 {
	ownLoad := (e.threadsInFlight + threads) / e.cores
	return (1 + ownLoad) * (1 + s.engineLoad(e))
}

// engineLoad returns an engine's load: that of its last report, which with age is replaced by the fleet's
// mean. Without any recent report it is this coordinator's own load there plus that of its peers, which are
// assumed to send as much. One of many coordinators sends to each engine too seldom for its own attempts
// there to show what its peers send, so each peer's part is mostly the mean own load over all engines.
func (s *Scheduler) engineLoad(e *engine) float64 {
	ownLoad := e.threadsInFlight / e.cores
	age := s.now - e.reportedAt
	if s.meanReportedAt < s.now-reportLifetimeMs && age > reportLifetimeMs {
		return ownLoad + (s.coordinators-1)*(s.meanOwnLoad+(ownLoad-s.meanOwnLoad)/s.coordinators)
	}
	return math.Max(ownLoad,
		s.meanReportedLoad+(e.reportedLoad-s.meanReportedLoad)*math.Exp(-age/reportLifetimeMs)+
			s.loadSinceReport(e))
}

// loadSinceReport returns the load that an engine has gained since its last report, from the queries that
// this coordinator and, by their messages, its peers have sent there. Reports are old when they arrive:
// without this, a few costly queries from several coordinators would fill an engine before its next report
// shows it.
func (s *Scheduler) loadSinceReport(e *engine) float64 {
	since, threads := e.reportedAt-reportDelayMs, 0.0
	for _, a := range e.recentSends { // this coordinator's sends included
		if a.sentAt > since && s.manyPeers && s.settings.CanSendToPeers {
			threads += a.threads * math.Exp((a.sentAt-s.now)/a.expectedRun)
		}
	}
	return threads / e.cores / maxThreadsPerCore
}

// slownessFactor returns an engine's learned slowness for warm or for cold table groups. Without answers of
// the engine it is the fleet's mean, and with old answers it drifts back to that mean.
func (s *Scheduler) slownessFactor(e *engine, warm bool) float64 {
	learned, other, mean, otherMean := &e.coldFactor, &e.warmFactor, s.meanColdFactor, s.meanWarmFactor
	if warm {
		learned, other, mean, otherMean = other, learned, otherMean, mean
	}
	slowness := mean
	if learned.answers > 0 {
		slowness = mean + (learned.ratio-mean)*math.Exp((learned.updatedAt-s.now)/slownessDecayMs)
	} else if other.answers > 0 {
		slowness = mean * (1 + (other.ratio/otherMean-1)*math.Exp((other.updatedAt-s.now)/slownessDecayMs))
	}
	// An unresponsive engine gives no answers, so its factor would stay low. While answers are due, its
	// silence is a lower bound on its latency. This covers broken network links and stopped machines.
	return slowness * math.Max(s.missedAnswers(e)/toleratedMissedAnswers, 1)
}

// missedAnswers returns how many answers were due from an engine, by the expected times of its open attempts,
// since its last answer or progress notice.
func (s *Scheduler) missedAnswers(e *engine) float64 {
	missed := 0.0
	for _, a := range e.openAttempts {
		missed += (s.now - math.Max(e.lastResponseAt, a.sentAt)) / math.Max(a.expectedTime, 1)
	}
	return missed
}

// predictLatency predicts how long a query takes on an engine, in ms.
func (s *Scheduler) predictLatency(e *engine, q *request, warm bool) float64 {
	latency := s.predictWork(q) / q.class.Threads * s.slownessFactor(e, warm) *
		s.loadSlowdown(e, q.class.Threads)
	if e.Zone != s.settings.Zone && s.settings.CrossZonePrice > 0 {
		latency *= crossZonePenalty + idleCrossZonePenalty*math.Max(0, 1-s.meanReportedLoad/targetLoad)
	}
	// Loads that run on every engine would hold their table group everywhere, and its readers would have to
	// wait on each engine.
	if q.class.IsLoad && !s.manyPeers && !slices.Contains(s.homeEngines(q), e) {
		latency *= loadOffHomePenalty
	}
	// A load holds its table group on its engine, and queries that need the group wait there.
	if q.class.IsLoad || q.class.WaitsForLoads {
		lockWait := 0.0
		for _, a := range e.openAttempts { // the expected time of the last load includes those ahead of it
			if a.request.class.IsLoad && a.request.TableGroup == q.TableGroup {
				lockWait = math.Max(lockWait, math.Max(a.expectedTime-(s.now-a.sentAt), a.expectedTime/4))
			}
		}
		latency += lockWait
		switch { // a load sent by a peer is visible only through a query that waits for it
		case e.tableGroupLockedUntil[q.TableGroup] > s.now:
			latency += s.expectedLockWait()
		case !q.class.IsLoad && !s.manyPeers && slices.Contains(s.homeEngines(q), e):
			latency += s.expectedLockWait() * s.lockedTimeShare(q)
		}
	}
	return latency
}

// expectedLockWait returns how long a query usually waits for a load to end, in ms.
func (s *Scheduler) expectedLockWait() (wait float64) {
	for _, c := range s.classList {
		if c.IsLoad {
			wait = math.Max(wait, lockWaitShare*math.Max(c.lightAnswerTime, c.meanWork/c.Threads))
		}
	}
	return wait
}

// lockedTimeShare returns the share of time for which loads hold a table group on one of its home engines, if
// each peer gets as many loads as this coordinator.
func (s *Scheduler) lockedTimeShare(q *request) float64 {
	g := s.tableGroups.get(q.TableGroup, s.now)
	loadRate := g.loads * math.Exp((g.updatedAt-s.now)/warmPeriodMs) / warmPeriodMs * s.coordinators
	return math.Min(loadRate*s.expectedLockWait()/lockWaitShare/float64(len(s.homeEngines(q))), 1)
}

// restartShare returns the share of a slow attempt's time that the restarted attempt takes. It is small for a
// class whose slow attempts had bad query plans.
func (s *Scheduler) restartShare(c *class) float64 {
	return initialRestartShare +
		(c.restartShare-initialRestartShare)*math.Exp((c.restartShareAt-s.now)/restartDecayMs)
}

// meanSlowdown returns how many times longer queries took than they would have on an idle engine: the
// geometric mean over the answers of the last seconds. It is 1 without answers and stays close to 1 with only
// a few.
func (s *Scheduler) meanSlowdown() float64 {
	return math.Exp(s.slowdownLogs.valueAt(s.now, threadAverageMs) /
		(s.slowdownAnswers.valueAt(s.now, threadAverageMs) + 1))
}
