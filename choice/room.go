package choice

// Room: what an engine, cold or warm, and this coordinator can still take.

import "math"

// slotsScarce tells whether this coordinator holds about as many requests as it can, so that each one it
// keeps shuts out another.
func (f *Scheduler) slotsScarce() bool {
	return f.settings.MaxOpenRequests > 0 &&
		float64(len(f.requests)) >= scarceSlotShare*float64(f.settings.MaxOpenRequests)
}

// justifiesSlot tells whether a request is worth holding its slot for so many ms; if not, other requests
// would give more value in it. It is called only where slots are scarce.
func (f *Scheduler) justifiesSlot(q *request, duration float64) bool {
	value, valueRate := q.value, f.servedValue.valueAt(f.now, servedValueWindowMs)/servedValueWindowMs
	if f.now+duration > q.targetAt {
		value *= q.class.LateValueShare
	}
	if q.class.IsLoad {
		valueRate *= slotsPerLoad
	}
	return value >= valueRate/float64(f.settings.MaxOpenRequests)*duration
}

// handleLockWait handles a notice that an attempt waits behind a load: its request moves to an engine where
// it need not wait, or gives up its slot. Client connections are few, and waiting requests may hold half of
// them until they end.
func (f *Scheduler) handleLockWait(a *attempt) {
	q, minLatency := a.request, math.Inf(1)
	a.engine.tableGroupLockedUntil[q.TableGroup] = f.now + lockHeldMs*f.timeScale
	if a.cancelled || q.ended || q.idempotency != Idempotent {
		return
	}
	for _, e := range f.candidates() {
		if e != a.engine && f.isAllowed(e, q) && f.hasRoom(e, q) {
			minLatency = math.Min(minLatency, f.predictLatency(e, q, f.isWarm(e, q)))
		}
	}
	switch wait := f.expectedLockWait(); {
	case minLatency < wait && q.sendCount < f.settings.MaxAttempts && f.withinRation():
		f.cancelAttempt(a)
	case f.slotsScarce() && !f.justifiesSlot(q, wait):
		f.cancelAttempt(a)
		f.refuseOrFail(q, ReasonSlots)
	}
}

// evictLowValue ends requests that have held their slots for longer than they are likely to be worth.
func (f *Scheduler) evictLowValue() {
	if !f.slotsScarce() {
		return
	}
	for _, e := range f.engines {
		for _, a := range e.openAttempts {
			if q := a.request; !q.ended && q.idempotency != AtMostOnce &&
				!f.justifiesSlot(q, f.now-a.sentAt) {
				f.cancelAttempt(a)
				f.refuseOrFail(q, ReasonSlots)
			}
		}
	}
}

// hasRoom tells whether an engine has room for a query: this coordinator's threads there must stay below its
// share of maxThreadsPerCore for each core, but one query always fits. Departure from the design: fallbacks
// need room as well, since an engine's throughput falls once its load is past a knee. An engine that failed
// gets one attempt at a time.
func (f *Scheduler) hasRoom(e *engine, q *request) bool {
	if e.failures > 0 && len(e.openAttempts) > 0 || f.manyPeers && !f.withinThreadBudget(q) ||
		f.memoryExhausted(e) {
		return false
	}
	// Many coordinators act on the same report of an engine that has filled up since. So the fuller it was,
	// the fewer queries may go there. A hash of engine and query selects them, the same ones each time.
	if f.manyPeers && f.settings.MemoryPaging &&
		(f.engineLoad(e)-admitAllLoad)/(admitNoneLoad-admitAllLoad) > unitHash(e.idHash, fnv1a(q.ID)) {
		return false
	}
	limit, minFree := maxThreadsPerCore*e.cores*f.slowStartShare(e)*f.trafficShare, q.class.Threads/2
	// On a busier engine, several coordinators that each exceed their room by one query would crowd it.
	if e.reportedAt > f.now-reportLifetimeMs && e.reportedLoad < maxOvershootLoad {
		minFree = math.SmallestNonzeroFloat32
		if e.reportedLoad < lowLoad {
			limit *= lowLoadRoomRatio
		}
	}
	// An engine short of memory or disk may look idle, but its answers then take far longer than usual.
	if slowdown := e.answerTimes / math.Max(e.lightAnswerTimes, 1); slowdown > crowdedSlowdown {
		limit *= math.Max(crowdedSlowdown/slowdown, minCrowdedRoomShare)
		minFree = q.class.Threads // nor may part of a query exceed its room
	}
	return e.threadsOut+minFree <= math.Max(limit, q.class.Threads)
}

// withinThreadBudget tells whether a query fits in this coordinator's thread budget, its part of the fleet's
// room. A budget may be only a query or two, and chance would fill it, so the mean of threads out counts.
// Queries of lower priority take no room from those that go first, which would otherwise wait for them,
// unless memory runs short before cores do.
func (f *Scheduler) withinThreadBudget(q *request) bool {
	threads, meanThreads := 0.0, 0.0
	for priority := range f.threadsByPriority {
		if !f.settings.PrioritiesHonored || f.settings.MemoryPaging || priority >= f.priority(q) {
			threads, meanThreads = threads+f.threadsByPriority[priority],
				meanThreads+f.meanThreadsByPriority[priority]
		}
	}
	// Else it would be late behind the few that fill the budget.
	if q.valueDensity > highDensityRatio*f.meanValueDensity() {
		meanThreads /= denseBudgetRatio
	}
	return meanThreads <= f.threadBudget &&
		threads+q.class.Threads/2 <= math.Max(burstBudgetRatio*f.threadBudget, q.class.Threads)
}

// updateThreadBudget sets this coordinator's share of the traffic and its thread budget. The share is the
// work that it is asked for, against the work that the fleet has in hand by its reports. A few coordinators
// may get most of the traffic, and an even share would make them refuse requests while engines are idle.
func (f *Scheduler) updateThreadBudget() {
	f.trafficShare = 1 / f.coordinators
	cores, usableCores, weights, weightedLoad := 0.0, 0.0, 1e-9, 0.0
	for _, e := range f.usable {
		cores += e.cores
		usable := f.usableCores(e)
		usableCores += usable
		if weight := e.cores * math.Exp((e.reportedAt-f.now)/reportLifetimeMs); weight > 0 {
			weights, weightedLoad = weights+weight, weightedLoad+weight*e.reportedLoad
		}
	}
	if f.meanReportedAt > f.now-reportLifetimeMs && weightedLoad > 0 {
		f.meanReportedLoad = weightedLoad / weights
		// The cores of engines that run out of memory look idle, but their answers are slow. A few
		// coordinators see their engines well enough, and with this would refuse what these can still take.
		if f.manyPeers {
			f.meanReportedLoad = math.Max(f.meanReportedLoad, targetLoad*f.meanSlowdown()/targetLoadSlowdown)
		}
		// The budget grows while the fleet has room left, whichever coordinator leaves it, and then shrinks
		// again.
		f.budgetGrowth = math.Max(minBudgetGrowth,
			math.Min(math.Pow(targetLoad/f.meanReportedLoad, budgetGrowthPower), maxBudgetGrowth))
	}
	if f.manyPeers && f.meanReportedAt > f.now-reportLifetimeMs {
		demandShare := f.requestedWork.valueAt(f.now, demandWindowMs) / demandWindowMs
		if demandShare /= math.Max(f.meanReportedLoad*cores*threadsPerBusyCore, 1); demandShare >
			unevenShareRatio*f.trafficShare {
			// A smaller difference may be chance.
			f.trafficShare = math.Min(demandShare, 1)
		}
	}
	f.threadBudget = maxThreadsPerCore * usableCores * f.trafficShare * f.budgetGrowth
}

// usableCores is how many cores an engine adds to the fleet's room. An engine that failed twice adds none:
// its share would burden the others.
func (f *Scheduler) usableCores(e *engine) float64 {
	if e.failures > 1 || f.memoryExhausted(e) {
		return 0
	}
	return e.cores * f.slowStartShare(e)
}

// memoryExhausted tells whether a recent report shows an engine's memory as full, where queries beyond it are
// let in and slow down all.
func (f *Scheduler) memoryExhausted(e *engine) bool {
	return f.settings.MemoryPaging && e.grantedMemShare > fullMemoryShare &&
		e.reportedAt > f.now-memoryReportLifetimeMs
}

// slowStartShare is the share of its capacity that an engine is sure to have so long after its start.
func (f *Scheduler) slowStartShare(e *engine) float64 {
	progress := (f.now - math.Max(e.StartedAt, e.assumedStartAt)) / math.Max(f.settings.WarmUpTime, 1)
	if math.Max(e.StartedAt, e.assumedStartAt) <= 0 || progress >= 1.1 {
		return 1
	}
	progress = math.Max(0, math.Min(progress, 1))
	return f.settings.ColdCapacityShare + (1-f.settings.ColdCapacityShare)*progress
}

// withinColdBudget keeps the work sent to a cold engine in any window of the overload rule, by all
// coordinators that use it, well below the rule's limit. An even part of this budget may be too small for any
// query of some class, which would then never go there. So half of the budget is split evenly for queries
// that fit. The rest rotates: in each turn it goes to as many coordinators as it has whole queries for.
func (f *Scheduler) withinColdBudget(e *engine, q *request) bool {
	share := f.slowStartShare(e)
	if share >= 1 || f.settings.OverloadMultiple <= 0 {
		return true
	}
	position, coordinators := f.coordinatorPosition(e)
	if position >= coordinators { // the others leave this coordinator no part of the budget
		return false
	}
	budget := f.settings.OverloadMultiple * share * capacityCoreShare * e.cores * f.settings.OverloadWindow
	perCoordinator := budget * coldBudgetShare / coordinators
	work, heaviest := math.Max(f.predictWork(q), q.class.meanWork), f.maxMeanWork()
	if perCoordinator < heaviest {
		if perCoordinator /= 2; work > perCoordinator {
			perCoordinator = math.Max(heaviest, work)
			// onTurn is how many coordinators have their turn.
			turn, onTurn := uint64(f.now/f.settings.OverloadWindow), budget*coldTurnShare/perCoordinator
			if math.Mod(position+coordinators*unitHash(e.idHash, turn), coordinators) >= onTurn ||
				work > budget*coldBudgetShare/2 {
				return false
			}
		}
	}
	return e.workSent.sumSince(f.now-1.2*f.settings.OverloadWindow)+work <= perCoordinator
}
