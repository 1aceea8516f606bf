package choice

// This file applies engine lists, load reports, progress notices, answers and peer messages to the state of the scheduler.
// It makes no decisions.

import "math"

// handleEngineList updates the engine list. A failed subscription is renewed after a pause that grows with each failure but
// stays well below SubscribePeriod, so that drains are noticed in time.
func (s *Scheduler) handleEngineList(ev EngineList) {
	if ev.Failed {
		s.subscribed = false
		s.subscribePause = math.Max(initialPauseMs, math.Min(2*s.subscribePause, s.settings.SubscribePeriod/4))
		s.subscribeAt = s.now + s.subscribePause*(1+s.rng.Float64())/2
		return
	}
	s.subscribePause = 0
	s.listVersion++
	if ev.Complete {
		for _, e := range s.engines {
			e.listed = false
		}
	}
	for _, entry := range ev.Engines {
		e := s.engineFor(entry)
		if entry.StartedAt > e.StartedAt { // it has restarted, so its tables are cold and its failures do not count
			e.tableGroupSentAt, e.failures, e.pausedUntil = map[string]float64{}, 0, 0
		}
		e.Engine, e.listed, e.lastListedAt = entry, entry.Status == Healthy, s.now
	}
	s.rebuildRing()
	s.preferred = append(s.preferred[:0:0], s.candidates()...)
}

// applyReport updates an engine's load and granted memory from its load report. A report without a load has no effect.
func (s *Scheduler) applyReport(e *engine, r Report) {
	switch {
	case r.HasBusy && r.Busy >= 0 || r.HasDiskShare || r.HasMemShare:
		// The load is that of the engine's scarcest resource. By its cores alone, an engine that is out of memory would look
		// idle, although it makes no progress.
		e.reportedLoad = math.Max(r.Busy, diskMemLoadWeight*math.Max(r.DiskShare, r.MemShare))
		e.reportedLoad += math.Max(r.Queue, 0) / e.cores
	case r.HasInFlight && r.InFlight >= 0:
		e.reportedLoad = r.InFlight * s.meanThreads() / e.cores / threadsPerBusyCore
	default:
		return
	}
	e.grantedMemShare = r.MemShare
	if s.settings.MemoryPaging { // then only memory in use slows queries down, and grants exceed the use
		e.grantedMemShare /= grantToNeedRatio
	}
	e.reportedAt = s.now
	s.meanReportedAt = s.now
}

// learnFromAnswer updates the statistics of the class and the engine's learned factors from a successful answer. Each
// value is bounded, so that one wrong value does little harm.
func (s *Scheduler) learnFromAnswer(a *attempt, o Outcome) {
	c, unloaded := a.request.class, a.unloadedTime
	work := o.Duration / a.loadSlowdown * c.Threads
	if o.Work > 0 {
		work, unloaded = o.Work, o.Work/c.Threads
		s.slowdownLogs.add(s.now,
			math.Log(clampRatio(o.Duration/math.Max(unloaded, minUnloadedTimeMs), maxOutcomeRatio)), threadAverageMs)
		s.slowdownAnswers.add(s.now, 1, threadAverageMs)
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
		learned.ratio = (ratio + s.slownessFactor(a.engine, a.warm)) / 2
	} else {
		learned.ratio += (ratio - learned.ratio) * slownessLearnRate
	}
	learned.updatedAt = s.now
}

// handleNotice handles a progress notice, which shows that the engine is alive. The share done projects the total time of
// the attempt, a spill raises the grants of its class, and a wait may move it to another engine.
func (s *Scheduler) handleNotice(n Notice) {
	q := s.requests[n.Request]
	if q == nil {
		return
	}
	for _, a := range q.openAttempts {
		if a.number == n.Attempt {
			if n.Kind == NoticeSpill && !a.spilled && q.Mem > 0 { // the more memory is missing, the larger the step
				q.class.grantRatio *= math.Pow(clampRatio(1+n.Level/q.Mem/q.class.grantRatio, maxOutcomeRatio), grantGrowthPower)
			}
			a.engine.lastResponseAt, a.hasNotice, a.spilled = s.now, true, a.spilled || n.Kind == NoticeSpill
			if n.Kind == NoticeWait && n.Level == 2 {
				s.handleLockWait(a)
			}
			if n.Kind == NoticeProgress { // other kinds are not sent at regular intervals
				a.lastProgressAt = s.now
				if n.Level > 0.001 {
					a.projectedTime = (s.now - a.sentAt) / math.Min(n.Level, 1)
				}
			}
		}
	}
}

// handlePeerMessage applies a peer's sends and the load reports that it passes on, unless a later report is known.
func (s *Scheduler) handlePeerMessage(message PeerMessage) {
	s.decodePeerItems(message.Data, func(kind byte, e *engine, a, b, c float64) {
		reportedAt := s.now - c*peerAgeStepMs
		switch {
		case kind == peerItemSend:
			e.recentSends = append(e.recentSends, recentSend{s.now, a, math.Max(b*peerRunStepMs, 1)})
		case reportedAt > e.reportedAt && reportedAt > math.Max(e.StartedAt, e.assumedStartAt):
			e.reportedLoad, e.grantedMemShare, e.reportedAt = a*peerLoadStep, b*peerLoadStep, reportedAt
			s.meanReportedAt = math.Max(s.meanReportedAt, reportedAt)
		}
	})
}

// classFor returns the class with a name. An unknown class is added as AtMostOnce, so that its requests are never repeated
// once they may have run.
func (s *Scheduler) classFor(name string) *class {
	if c := s.classes[name]; c != nil {
		return c
	}
	return s.addClass(Class{Name: name, Value: 1, LatencyTarget: unknownClassTargetMs, Idempotency: AtMostOnce})
}
