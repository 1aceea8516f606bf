package choice

// This file decides which engines get no requests, or none of one class, and for how long.

import (
	"math"
	"slices"
)

// sweep is the periodic check of all open attempts: for unresponsive engines, lost attempts, bad query plans
// and slots that others could use better. It also sends probes and subscribes to the engine list.
func (s *Scheduler) sweep() {
	for _, e := range s.engines {
		missed := s.missedAnswers(e)
		// A single silent attempt says little about its engine, since a few answers of a class take much
		// longer than expected. So its silence is divided by the class's tail ratio.
		if len(e.openAttempts) == 1 {
			missed /= e.openAttempts[0].request.class.tailRatio
		}
		unresponsive := missed > unresponsiveMissedAnswers &&
			s.now-math.Max(e.lastResponseAt, e.openAttempts[0].sentAt) > s.minUnresponsiveSilence
		if unresponsive {
			s.pauseEngine(e)
		}
		for _, a := range e.openAttempts {
			freshTime := a.unloadedTime * s.meanColdFactor * a.loadSlowdown
			// A bad query plan makes a query run many times longer. A restarted attempt is likely to be
			// faster, but a second restart is not.
			timeLeft := a.projectedTime - (s.now - a.sentAt)
			maxRatio, restartTime := badPlanRatio,
				math.Max(2*freshTime, 1.5*a.projectedTime*s.restartShare(a.request.class))
			if a.request.Work <= 0 { // without an estimate, a heavy query looks like a bad plan
				maxRatio = badPlanRatioNoEstimate
			}
			badPlan := a.projectedTime > maxRatio*freshTime &&
				timeLeft > restartTime && a.request.moveCount == 0
			lost := s.isLost(a)
			if badPlan || lost && a.request.slowDuration == 0 {
				a.request.slowDuration = math.Max(a.projectedTime, s.now-a.sentAt)
			}
			if unresponsive || badPlan || lost {
				s.moveAttempt(a)
			}
		}
	}
	s.evictLowValue()
	s.dropExpiredState()
	if !s.manyPeers { // otherwise decideRequest probes the candidates for a costly query before its send
		s.probe(s.engines)
	}
	if s.settings.MustSubscribe && !s.subscribed && s.now >= s.subscribeAt {
		s.subscribed = true
		s.emit(Subscribe{})
	}
}

// isLost reports whether an attempt was most likely lost: its progress notices have stopped, or it has sent
// none and is silent for longer than nearly all answers of its class take. The second test can also match a
// very heavy query, so it no longer applies once the request has been moved maxLostMoves times.
func (s *Scheduler) isLost(a *attempt) bool {
	silence := s.now - math.Max(a.sentAt, a.lastProgressAt)
	noticePeriods := lostNoticePeriods
	if a.lastProgressAt == a.sentAt {
		noticePeriods = initialLostNoticePeriods
	}
	if s.settings.NoticePeriod > 0 &&
		silence > math.Max(noticePeriods*s.settings.NoticePeriod, s.minUnresponsiveSilence) {
		return true
	}
	return !a.hasNotice &&
		silence*math.Max(1-s.restartShare(a.request.class), 0.05) >
			a.request.class.tailRatio*a.expectedTime &&
		a.request.moveCount < maxLostMoves
}

// pauseEngine stops sends to an engine for a while. After the pause, one attempt tries the engine again. Each
// further failure doubles the pause.
func (s *Scheduler) pauseEngine(e *engine) {
	if s.now < e.pausedUntil {
		return
	}
	e.pausedUntil = s.now + s.pauseDuration(e.failures)
	e.failures++
}

// pauseDuration returns the length in ms of a pause after a number of failures, with a random part.
func (s *Scheduler) pauseDuration(fails int) float64 {
	return math.Min(initialPauseMs*math.Pow(2, float64(fails)), maxPauseMs) * (1 + s.rng.Float64()/4)
}

// countError counts a request's error against the engine. Once a request has failed on two engines, its
// errors count against none of them: a request that fails everywhere would otherwise pause every engine.
func (s *Scheduler) countError(q *request, e *engine) {
	if !slices.Contains(q.failedOn, e) {
		if q.failedOn = append(q.failedOn, e); len(q.failedOn) == 2 {
			q.failedOn[0].errorsInRow = max(q.failedOn[0].errorsInRow-1, 0)
		}
	}
	if len(q.failedOn) < 2 {
		e.errorsInRow++
		health := e.healthFor(q.class)
		health.errorsInRow++
		e.healthByClass[q.class] = health
	}
}

// pauseForClass pauses an engine for one class. An engine that fails only one class looks healthy, and
// pausing it for all classes would make it unavailable to those that it serves.
func (s *Scheduler) pauseForClass(e *engine, c *class) {
	health := e.healthFor(c)
	if s.now >= health.pausedUntil {
		health.pausedUntil = s.now + s.pauseDuration(health.failures)
		health.failures++
		e.healthByClass[c] = health
	}
}

// pausedFor reports whether requests of a class must not be sent to the engine now, because it is paused for
// the class or one attempt of the class is already trying it after a pause.
func (e *engine) pausedFor(c *class, now float64) bool {
	health := e.healthByClass[c]
	trying := func(a *attempt) bool { return a.request.class == c }
	return now < health.pausedUntil || health.failures > 0 && slices.ContainsFunc(e.openAttempts, trying)
}

// isFaulty reports whether a request itself causes its failures: an engine rejected it, or it failed on
// several engines.
func (s *Scheduler) isFaulty(q *request) bool {
	return q.rejected || len(q.failedOn) >= max(2, min(maxFailedEngines, len(s.listedEngines)))
}

// probe asks engines for load reports if their last reports are old, and reports whether it sent any probe.
// It sends at most maxProbesPerRequest probes per request received.
func (s *Scheduler) probe(engines []*engine) (sent bool) {
	for _, e := range engines {
		if s.settings.CanProbe && e.listed && s.now-e.probedAt >= probeIntervalMs &&
			s.now-e.reportedAt >= probeMinReportAgeMs && s.totalProbes < maxProbesPerRequest*s.totalRequests {
			e.probedAt, sent = s.now, true
			s.totalProbes++
			s.emit(Probe{e.ID})
		}
	}
	return sent
}

// handleProbeResult applies a probe's load report and sends it to the peers. A failed connection pauses the
// engine, which is assumed to have restarted when the pause ends.
func (s *Scheduler) handleProbeResult(result ProbeResult) {
	e := s.engineByID[result.Engine]
	if e == nil {
		return
	}
	switch result.Result {
	case OK:
		s.applyReport(e, result.Report)
		s.sendToPeers(e, encodePeerItem(peerItemReport, e,
			e.reportedLoad/peerLoadStep, e.grantedMemShare/peerLoadStep, 0))
	case ConnectFailed, Reset:
		s.pauseEngine(e)
		e.assumedStartAt = e.pausedUntil
	}
}
