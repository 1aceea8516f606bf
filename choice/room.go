package choice

// This file decides how many more queries an engine, warm or cold, and this coordinator can take.

import "math"

// slotsScarce reports whether this coordinator has almost MaxOpenRequests open, so that each request it keeps
// prevents it from accepting another.
func (s *Scheduler) slotsScarce() bool {
	return s.settings.MaxOpenRequests > 0 &&
		float64(len(s.requests)) >= scarceSlotShare*float64(s.settings.MaxOpenRequests)
}

// justifiesSlot reports whether a request serves at least as much value as other requests would in its slot
// over a duration in ms. It is called only while slots are scarce.
func (s *Scheduler) justifiesSlot(q *request, duration float64) bool {
	value, valueRate := q.value, s.servedValue.valueAt(s.now, servedValueWindowMs)/servedValueWindowMs
	if s.now+duration > q.targetAt {
		value *= q.class.LateValueShare
	}
	if q.class.IsLoad {
		valueRate *= slotsPerLoad
	}
	return value >= valueRate/float64(s.settings.MaxOpenRequests)*duration
}

// handleLockWait handles a notice that an attempt waits for a load to end. Its request is moved to an engine
// where it need not wait, or refused if other requests would serve more value in its slot. Client connections
// are limited, and without this, waiting requests may occupy half of them until they end.
func (s *Scheduler) handleLockWait(a *attempt) {
	q, minLatency := a.request, math.Inf(1)
	a.engine.tableGroupLockedUntil[q.TableGroup] = s.now + lockHeldMs*s.timeScale
	if a.cancelled || q.ended || q.idempotency != Idempotent {
		return
	}
	for _, e := range s.candidates() {
		if e != a.engine && s.isAllowed(e, q) && s.hasRoom(e, q) {
			minLatency = math.Min(minLatency, s.predictLatency(e, q, s.isWarm(e, q)))
		}
	}
	switch wait := s.expectedLockWait(); {
	case minLatency < wait && q.sendCount < s.settings.MaxAttempts && s.withinRation():
		s.cancelAttempt(a)
	case s.slotsScarce() && !s.justifiesSlot(q, wait):
		s.cancelAttempt(a)
		s.refuseOrFail(q, ReasonSlots)
	}
}

// evictLowValue ends requests that have occupied their slots for longer than their value justifies, while
// slots are scarce.
func (s *Scheduler) evictLowValue() {
	if !s.slotsScarce() {
		return
	}
	for _, e := range s.engines {
		for _, a := range e.openAttempts {
			if q := a.request; !q.ended && q.idempotency != AtMostOnce &&
				!s.justifiesSlot(q, s.now-a.sentAt) {
				s.cancelAttempt(a)
				s.refuseOrFail(q, ReasonSlots)
			}
		}
	}
}

// hasRoom reports whether an engine has room for a query: this coordinator's threads there must stay below
// its share of maxThreadsPerCore for each core, but one query always fits. Fallbacks need room as well, since
// an engine's throughput falls once its load is too high. An engine that failed gets one attempt at a time.
func (s *Scheduler) hasRoom(e *engine, q *request) bool {
	if e.failures > 0 && len(e.openAttempts) > 0 || s.manyPeers && !s.withinThreadBudget(q) ||
		s.memoryExhausted(e) {
		return false
	}
	// Many coordinators may act on the same report of an engine that has filled up since. So the higher its
	// load, the fewer queries are admitted. A hash of engine and query selects them, so that each check of a
	// query has the same result.
	if s.manyPeers && s.settings.MemoryPaging &&
		(s.engineLoad(e)-admitAllLoad)/(admitNoneLoad-admitAllLoad) > unitHash(e.idHash, fnv1a(q.ID)) {
		return false
	}
	limit, minFree := maxThreadsPerCore*e.cores*s.slowStartShare(e)*s.trafficShare, q.class.Threads/2
	// Unless an engine's load is low, several coordinators that each exceed their room there by a whole query
	// would overload it.
	if e.reportedAt > s.now-reportLifetimeMs && e.reportedLoad < maxOvershootLoad {
		minFree = math.SmallestNonzeroFloat32
		if e.reportedLoad < lowLoad {
			limit *= lowLoadRoomRatio
		}
	}
	// An engine short of memory or disk throughput may look idle, but its answers take far longer than usual.
	if slowdown := e.answerTimes / math.Max(e.lightAnswerTimes, 1); slowdown > crowdedSlowdown {
		limit *= math.Max(crowdedSlowdown/slowdown, minCrowdedRoomShare)
		minFree = q.class.Threads // and the whole query must fit
	}
	return e.threadsInFlight+minFree <= math.Max(limit, q.class.Threads)
}

// withinThreadBudget reports whether a query fits in this coordinator's thread budget, its part of the
// fleet's room. A budget may be as small as one or two queries and fill up by chance, so the mean number of
// threads in flight over time is compared with it. Queries of lower priority do not count: a query of higher
// priority is served before them on an engine, and would otherwise wait for them here. Under MemoryPaging all
// queries count, since memory runs short before cores do.
func (s *Scheduler) withinThreadBudget(q *request) bool {
	threads, meanThreads := 0.0, 0.0
	for priority := range s.threadsByPriority {
		if !s.settings.PrioritiesHonored || s.settings.MemoryPaging || priority >= s.priority(q) {
			threads, meanThreads = threads+s.threadsByPriority[priority],
				meanThreads+s.meanThreadsByPriority[priority]
		}
	}
	// Without this, a query of high value per work would wait for a few long ones that fill the budget.
	if q.valueDensity > highDensityRatio*s.meanValueDensity() {
		meanThreads /= denseBudgetRatio
	}
	return meanThreads <= s.threadBudget &&
		threads+q.class.Threads/2 <= math.Max(burstBudgetRatio*s.threadBudget, q.class.Threads)
}

// updateThreadBudget sets this coordinator's share of the traffic and its thread budget. The share is the
// work requested from this coordinator, divided by the work in progress on the fleet by its load reports. A
// few coordinators may get most of the traffic, and with an even share they would refuse requests while
// engines are idle.
func (s *Scheduler) updateThreadBudget() {
	s.trafficShare = 1 / s.coordinators
	cores, usableCores, weights, weightedLoad := 0.0, 0.0, 1e-9, 0.0
	for _, e := range s.listedEngines {
		cores += e.cores
		usable := s.usableCores(e)
		usableCores += usable
		if weight := e.cores * math.Exp((e.reportedAt-s.now)/reportLifetimeMs); weight > 0 {
			weights, weightedLoad = weights+weight, weightedLoad+weight*e.reportedLoad
		}
	}
	if s.meanReportedAt > s.now-reportLifetimeMs && weightedLoad > 0 {
		s.meanReportedLoad = weightedLoad / weights
		// The cores of engines that run out of memory look idle, but their answers are slow. One of a few
		// coordinators sees enough of each engine without this, and with it would refuse queries for which
		// the engines still have room.
		if s.manyPeers {
			s.meanReportedLoad = math.Max(s.meanReportedLoad, targetLoad*s.meanSlowdown()/targetLoadSlowdown)
		}
		// The budget grows while the fleet has unused room, whichever coordinators do not use their part of
		// it, and shrinks when the fleet's load is above targetLoad.
		s.budgetGrowth = math.Max(minBudgetGrowth,
			math.Min(math.Pow(targetLoad/s.meanReportedLoad, budgetGrowthPower), maxBudgetGrowth))
	}
	if s.manyPeers && s.meanReportedAt > s.now-reportLifetimeMs {
		demandShare := s.requestedWork.valueAt(s.now, demandWindowMs) / demandWindowMs
		if demandShare /= math.Max(s.meanReportedLoad*cores*threadsPerBusyCore, 1); demandShare >
			unevenShareRatio*s.trafficShare {
			// A smaller difference from the even share may be chance.
			s.trafficShare = math.Min(demandShare, 1)
		}
	}
	s.threadBudget = maxThreadsPerCore * usableCores * s.trafficShare * s.budgetGrowth
}

// usableCores returns how many cores an engine adds to the fleet's room. An engine that failed twice adds
// none, since the queries for its cores would be sent to the other engines.
func (s *Scheduler) usableCores(e *engine) float64 {
	if e.failures > 1 || s.memoryExhausted(e) {
		return 0
	}
	return e.cores * s.slowStartShare(e)
}

// memoryExhausted reports whether a recent report shows an engine's memory as full, on a fleet whose engines
// accept queries beyond their memory, which slows down all of them.
func (s *Scheduler) memoryExhausted(e *engine) bool {
	return s.settings.MemoryPaging && e.grantedMemShare > fullMemoryShare &&
		e.reportedAt > s.now-memoryReportLifetimeMs
}

// slowStartShare returns the share of its capacity that an engine is certain to have now, by the time since
// its start.
func (s *Scheduler) slowStartShare(e *engine) float64 {
	progress := (s.now - math.Max(e.StartedAt, e.assumedStartAt)) / math.Max(s.settings.WarmUpTime, 1)
	if math.Max(e.StartedAt, e.assumedStartAt) <= 0 || progress >= 1.1 {
		return 1
	}
	progress = math.Max(0, math.Min(progress, 1))
	return s.settings.ColdCapacityShare + (1-s.settings.ColdCapacityShare)*progress
}

// withinColdBudget reports whether a query may be sent to an engine without exceeding its cold budget. The
// budget keeps the work that all coordinators together send to a cold engine within an OverloadWindow well
// below the limit of OverloadMultiple. An even part of the budget may be smaller than any query of some
// class, which would then never be sent there. So half of the budget is split evenly for queries that fit.
// The rest rotates: in each turn it goes to as many coordinators as it has whole queries for.
func (s *Scheduler) withinColdBudget(e *engine, q *request) bool {
	share := s.slowStartShare(e)
	if share >= 1 || s.settings.OverloadMultiple <= 0 {
		return true
	}
	position, coordinators := s.coordinatorPosition(e)
	if position >= coordinators { // the budget is divided among the coordinators that prefer the engine
		return false
	}
	budget := s.settings.OverloadMultiple * share * capacityCoreShare * e.cores * s.settings.OverloadWindow
	perCoordinator := budget * coldBudgetShare / coordinators
	work, heaviest := math.Max(s.predictWork(q), q.class.meanWork), s.maxMeanWork()
	if perCoordinator < heaviest {
		if perCoordinator /= 2; work > perCoordinator {
			perCoordinator = math.Max(heaviest, work)
			// onTurn is the number of coordinators that have their turn now.
			turn, onTurn := uint64(s.now/s.settings.OverloadWindow), budget*coldTurnShare/perCoordinator
			if math.Mod(position+coordinators*unitHash(e.idHash, turn), coordinators) >= onTurn ||
				work > budget*coldBudgetShare/2 {
				return false
			}
		}
	}
	return e.workSent.sumSince(s.now-1.2*s.settings.OverloadWindow)+work <= perCoordinator
}
