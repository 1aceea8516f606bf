package choice

// Health: which engines get no requests, or none of one class, and for how long.

import (
	"math"
	"slices"
)

// sweep is the regular check of what is out: unresponsive engines, lost attempts, bad plans and slots. It
// also sends probes and subscribes to the engine list.
func (f *Scheduler) sweep() {
	for _, e := range f.engines {
		missed := f.missedAnswers(e)
		// One silent attempt says little about its engine, so its class's tail is allowed for.
		if len(e.openAttempts) == 1 {
			missed /= e.openAttempts[0].request.class.tailRatio
		}
		unresponsive := missed > unresponsiveMissedAnswers &&
			f.now-math.Max(e.lastHeardAt, e.openAttempts[0].sentAt) > f.minUnresponsiveSilence
		if unresponsive {
			f.pauseEngine(e)
		}
		for _, a := range e.openAttempts {
			freshTime := a.unloadedTime * f.meanColdFactor * a.loadSlowdown
			// A bad plan makes a query run many times longer. A restarted attempt is likely to do better, but
			// a second restart is not.
			timeLeft := a.projectedTime - (f.now - a.sentAt)
			maxRatio, restartTime := badPlanRatio,
				math.Max(2*freshTime, 1.5*a.projectedTime*f.restartShare(a.request.class))
			if a.request.Work <= 0 { // without an estimate, a heavy query looks like a bad plan
				maxRatio = badPlanRatioNoEstimate
			}
			badPlan := a.projectedTime > maxRatio*freshTime &&
				timeLeft > restartTime && a.request.moveCount == 0
			lost := f.isLost(a)
			if badPlan || lost && a.request.slowDuration == 0 {
				a.request.slowDuration = math.Max(a.projectedTime, f.now-a.sentAt)
			}
			if unresponsive || badPlan || lost {
				f.moveAttempt(a)
			}
		}
	}
	f.evictLowValue()
	f.dropExpiredState()
	if !f.manyPeers { // else decideRequest probes a costly query's candidates just before it is sent
		f.probe(f.engines)
	}
	if f.settings.MustSubscribe && !f.subscribed && f.now >= f.subscribeAt {
		f.subscribed = true
		f.emit(Subscribe{})
	}
}

// isLost tells whether an attempt has most likely vanished: its progress notices stay out, or, without any
// notice, it is silent for longer than nearly all answers of its class take. The second test may also hit a
// very heavy query, so it applies only until the request was moved maxLostMoves times.
func (f *Scheduler) isLost(a *attempt) bool {
	silence := f.now - math.Max(a.sentAt, a.lastProgressAt)
	noticePeriods := lostNoticePeriods
	if a.lastProgressAt == a.sentAt {
		noticePeriods = initialLostNoticePeriods
	}
	if f.settings.NoticePeriod > 0 &&
		silence > math.Max(noticePeriods*f.settings.NoticePeriod, f.minUnresponsiveSilence) {
		return true
	}
	return !a.hasNotice &&
		silence*math.Max(1-f.restartShare(a.request.class), 0.05) >
			a.request.class.tailRatio*a.expectedTime &&
		a.request.moveCount < maxLostMoves
}

// pauseEngine sends an engine nothing for a while. Each further failure doubles the pause, after which one
// attempt tries the engine again.
func (f *Scheduler) pauseEngine(e *engine) {
	if f.now < e.pausedUntil {
		return
	}
	e.pausedUntil = f.now + f.pauseDuration(e.failures)
	e.failures++
}

// pauseDuration is the length in ms of a pause after so many failures, with a random part.
func (f *Scheduler) pauseDuration(fails int) float64 {
	return math.Min(initialPauseMs*math.Pow(2, float64(fails)), maxPauseMs) * (1 + f.rng.Float64()/4)
}

// countError counts an error against its engine. Once a request has failed on two engines it counts against
// none: a request that fails wherever it goes would otherwise pause every engine.
func (f *Scheduler) countError(q *request, e *engine) {
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

// pauseForClass pauses an engine for one class. An engine that fails one class and answers the others looks
// healthy, and pausing it for all classes would take it from the others.
func (f *Scheduler) pauseForClass(e *engine, c *class) {
	health := e.healthFor(c)
	if f.now >= health.pausedUntil {
		health.pausedUntil = f.now + f.pauseDuration(health.failures)
		health.failures++
		e.healthByClass[c] = health
	}
}

// pausedFor tells whether requests of a class must not go to the engine now: it is paused for the class, or
// an attempt of the class is already trying it again.
func (e *engine) pausedFor(c *class, now float64) bool {
	health := e.healthByClass[c]
	trying := func(a *attempt) bool { return a.request.class == c }
	return now < health.pausedUntil || health.failures > 0 && slices.ContainsFunc(e.openAttempts, trying)
}

// isFaulty tells whether a request is itself at fault: an engine rejected it, or it failed on several
// engines.
func (f *Scheduler) isFaulty(q *request) bool {
	return q.rejected || len(q.failedOn) >= max(2, min(maxFailedEngines, len(f.usable)))
}

// probe asks engines for their load reports where these come no other way, at most maxProbesPerRequest per
// request received, and tells whether it asked any.
func (f *Scheduler) probe(engines []*engine) (sent bool) {
	for _, e := range engines {
		if f.settings.CanProbe && e.listed && f.now-e.probedAt >= probeIntervalMs &&
			f.now-e.reportedAt >= probeMinReportAgeMs && f.totalProbes < maxProbesPerRequest*f.totalRequests {
			e.probedAt, sent = f.now, true
			f.totalProbes++
			f.emit(Probe{e.ID})
		}
	}
	return sent
}

// handleProbeResult applies a probe's load report and sends it to the peers. A failed connection pauses the
// engine, which counts as restarted when the pause ends.
func (f *Scheduler) handleProbeResult(result ProbeResult) {
	e := f.engineByID[result.Engine]
	if e == nil {
		return
	}
	switch result.Result {
	case OK:
		f.applyReport(e, result.Report)
		f.sendToPeers(e, encodePeerItem(peerItemReport, e,
			e.reportedLoad/peerLoadStep, e.grantedMemShare/peerLoadStep, 0))
	case ConnectFailed, Reset:
		f.pauseEngine(e)
		e.assumedStartAt = e.pausedUntil
	}
}
