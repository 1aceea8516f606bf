package choice

// This file records what the scheduler learns: engine lists, load reports, progress notices, answers and peer messages.
// It decides nothing.

import "math"

// handleEngineList updates the engine list. A failed subscription is renewed after growing pauses, which stay well below
// SubscribePeriod so that drains are noticed in time.
func (f *Scheduler) handleEngineList(ev EngineList) {
	if ev.Failed {
		f.subscribed = false
		f.subscribePause = math.Max(initialPauseMs, math.Min(2*f.subscribePause, f.settings.SubscribePeriod/4))
		f.subscribeAt = f.now + f.subscribePause*(1+f.rng.Float64())/2
		return
	}
	f.subscribePause = 0
	f.listVersion++
	if ev.Complete {
		for _, e := range f.engines {
			e.listed = false
		}
	}
	for _, entry := range ev.Engines {
		e := f.engineFor(entry)
		if entry.StartedAt > e.StartedAt { // it has restarted: its warm tables and its failures are gone
			e.tableGroupSentAt, e.failures, e.pausedUntil = map[string]float64{}, 0, 0
		}
		e.Engine, e.listed, e.lastListedAt = entry, entry.Status == Healthy, f.now
	}
	f.rebuildRing()
	f.preferred = append(f.preferred[:0:0], f.candidates()...)
}

// applyReport updates an engine by its load report.
func (f *Scheduler) applyReport(e *engine, r Report) {
	switch {
	case r.HasBusy && r.Busy >= 0 || r.HasDiskShare || r.HasMemShare:
		// Danger: an engine that is out of memory makes no progress and its cores look idle. So the load is that of its
		// scarcest resource.
		e.reportedLoad = math.Max(r.Busy, diskMemLoadWeight*math.Max(r.DiskShare, r.MemShare))
		e.reportedLoad += math.Max(r.Queue, 0) / e.cores
	case r.HasInFlight && r.InFlight >= 0:
		e.reportedLoad = r.InFlight * f.meanThreads() / e.cores / threadsPerBusyCore
	default:
		return
	}
	e.grantedMemShare = r.MemShare
	if f.settings.MemoryPaging { // grants exceed the need there, and only memory in use slows queries down
		e.grantedMemShare /= grantToNeedRatio
	}
	e.reportedAt = f.now
	f.meanReportedAt = f.now
}

// learnFromAnswer updates the class's mean work and the engine's learned factor by a good answer. Each answer counts
// within bounds, so that one wrong value does little harm.
func (f *Scheduler) learnFromAnswer(a *attempt, o Outcome) {
	c, unloaded := a.request.class, a.unloadedTime
	work := o.Duration / a.loadSlowdown * c.Threads
	if o.Work > 0 {
		work, unloaded = o.Work, o.Work/c.Threads
		f.slowdownLogs.add(f.now, math.Log(clampRatio(o.Duration/math.Max(unloaded, minUnloadedTimeMs), maxOutcomeRatio)), threadAverageMs)
		f.slowdownAnswers.add(f.now, 1, threadAverageMs)
		if estimate := a.request.Work; estimate > 0.01 && estimate < 1e9 && !a.request.EstimateLearned {
			c.estimateRatio += (clampRatio(o.Work/estimate, maxOutcomeRatio) - c.estimateRatio) * minWorkLearnRate
		}
	}
	logStep := tailPercentile - 1
	if o.Duration > c.tailRatio*a.expectedTime {
		logStep = tailPercentile
	}
	c.tailRatio *= math.Exp(tailLearnStep * logStep)
	if a.underLightLoad {
		c.lightAnswers++
		c.lightAnswerTime += (math.Min(o.Duration, math.Max(c.lightAnswerTime, 1)*maxOutcomeRatio) - c.lightAnswerTime) *
			math.Max(minWorkLearnRate, 1/c.lightAnswers)
	}
	if c.lightAnswers > 0 {
		a.engine.answerTimes = a.engine.answerTimes*answerTimeDecay + math.Min(o.Duration, c.lightAnswerTime*maxOutcomeRatio)
		a.engine.lightAnswerTimes = a.engine.lightAnswerTimes*answerTimeDecay + c.lightAnswerTime
	}
	c.answers++
	c.meanWork += (math.Min(work, c.meanWork*maxOutcomeRatio) - c.meanWork) * math.Max(minWorkLearnRate, 1/(c.answers+1))
	learned := map[bool]*learnedFactor{false: &a.engine.coldFactor, true: &a.engine.warmFactor}[a.warm]
	ratio := clampRatio(o.Duration/math.Max(unloaded*a.loadSlowdown, 0.01), maxOutcomeRatio)
	if learned.answers++; learned.answers == 1 {
		learned.ratio = (ratio + f.slownessFactor(a.engine, a.warm)) / 2
	} else {
		learned.ratio += (ratio - learned.ratio) * slownessLearnRate
	}
	learned.updatedAt = f.now
}

// handleNotice handles a progress notice: it shows that the engine is alive, and projects the time of the attempt.
func (f *Scheduler) handleNotice(n Notice) {
	q := f.requests[n.Request]
	if q == nil {
		return
	}
	for _, a := range q.openAttempts {
		if a.number == n.Attempt {
			if n.Kind == NoticeSpill && !a.spilled && q.Mem > 0 { // the more memory it lacks, the larger the step
				q.class.grantRatio *= math.Pow(clampRatio(1+n.Level/q.Mem/q.class.grantRatio, maxOutcomeRatio), grantGrowthPower)
			}
			a.engine.lastHeardAt, a.hasNotice, a.spilled = f.now, true, a.spilled || n.Kind == NoticeSpill
			if n.Kind == NoticeWait && n.Level == 2 {
				f.handleLockWait(a)
			}
			if n.Kind == NoticeProgress { // only these come at regular intervals
				a.lastProgressAt = f.now
				if n.Level > 0.001 {
					a.projectedTime = (f.now - a.sentAt) / math.Min(n.Level, 1)
				}
			}
		}
	}
}

// handlePeerMessage applies what a peer reports of engines, unless a later report is known.
func (f *Scheduler) handlePeerMessage(message PeerMessage) {
	f.decodePeerItems(message.Data, func(kind byte, e *engine, a, b, c float64) {
		reportedAt := f.now - c*peerAgeStepMs
		switch {
		case kind == peerItemSend:
			e.recentSends = append(e.recentSends, recentSend{f.now, a, math.Max(b*peerRunStepMs, 1)})
		case reportedAt > e.reportedAt && reportedAt > math.Max(e.StartedAt, e.assumedStartAt):
			e.reportedLoad, e.grantedMemShare, e.reportedAt = a*peerLoadStep, b*peerLoadStep, reportedAt
			f.meanReportedAt = math.Max(f.meanReportedAt, reportedAt)
		}
	})
}

// classFor finds a class by its name. An unknown one is added with safe settings: its requests are never repeated once
// they may have run.
func (f *Scheduler) classFor(name string) *class {
	if c := f.classes[name]; c != nil {
		return c
	}
	return f.addClass(Class{Name: name, Value: 1, LatencyTarget: unknownClassTargetMs, Idempotency: AtMostOnce})
}
