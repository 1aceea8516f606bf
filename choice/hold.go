package choice

// Holding: which waiting request goes to which engine, now or later.

import (
	"cmp"
	"math"
	"slices"
	"sort"
)

// enqueue adds a request to the waiting ones, which are ordered by value per predicted work, then by the end
// of their latency target.
func (f *Scheduler) enqueue(q *request) {
	if q.Deadline-f.now < f.finalAnswerMargin { // a client's retry may arrive with hardly any time left
		f.refuseOrFail(q, ReasonDeadline)
		return
	}
	q.valueDensity, q.missesTarget = q.value/f.predictWork(q), false
	q.targetAt = math.Min(q.arrivedAt+q.class.LatencyTarget+
		q.class.TargetStretch*f.predictWork(q)/q.class.Threads, q.Deadline)
	q.heldSince = -1
	i := sort.Search(len(f.waiting), func(i int) bool {
		other := f.waiting[i]
		if other.valueDensity != q.valueDensity {
			return other.valueDensity < q.valueDensity
		}
		return other.targetAt > q.targetAt
	})
	f.waiting = slices.Insert(f.waiting, i, q)
	q.waiting = true
}

// demoteLate moves requests that can no longer meet their latency target behind those that can, by the value
// that a late answer still has. Without it, requests that are late after an outage would go ahead of fresh
// ones and make these late in turn.
func (f *Scheduler) demoteLate() {
	changed := false
	for _, q := range f.waiting {
		if !q.missesTarget && f.now+f.predictWork(q)/q.class.Threads > q.targetAt {
			q.missesTarget, q.valueDensity, changed = true, q.valueDensity*q.class.LateValueShare, true
		}
	}
	if changed {
		slices.SortStableFunc(f.waiting, func(a, b *request) int {
			return cmp.Compare(b.valueDensity, a.valueDensity)
		})
	}
}

// dispatch decides on the waiting requests, those with the highest value per work first. Between full checks
// it looks at the first maxHeldChecked only.
func (f *Scheduler) dispatch(full bool) {
	limit := len(f.waiting)
	if full {
		f.demoteLate()
	}
	if !full && limit > maxHeldChecked {
		limit = maxHeldChecked
	}
	kept := f.waiting[:0]
	for i, q := range f.waiting {
		if i < limit && !q.ended {
			f.decideRequest(q)
		}
		if !q.ended && len(q.openAttempts) == 0 {
			kept = append(kept, q)
		} else {
			q.waiting = false
		}
	}
	clear(f.waiting[len(kept):])
	f.waiting = kept
}

// decideRequest sends, holds or refuses one waiting request by the rules of the design.
func (f *Scheduler) decideRequest(q *request) {
	if q.Deadline-f.now < f.finalAnswerMargin {
		f.refuseOrFail(q, ReasonDeadline)
		return
	}
	if q.sendCount >= max(f.settings.MaxAttempts, 1) {
		f.refuseOrFail(q, ReasonAttempts)
		return
	}
	if f.dedupWindowExpired(q) { // its client and the next requests of its order key would wait in vain
		f.refuseOrFail(q, ReasonMayHaveRun)
		return
	}
	if f.manyPeers && q.sendCount == 0 && q.probedAt < q.arrivedAt &&
		q.valueDensity < f.meanValueDensity() && f.settings.ReportsOnlyFromProbes {
		q.probedAt = f.now - probeWaitMs
		if f.probe(f.candidates()) {
			q.probedAt = f.now
			f.requestWake(f.now + probeWaitMs)
		}
	}
	if f.now < q.probedAt+probeWaitMs {
		return
	}
	type option struct {
		engine  *engine
		latency float64
	}
	none := option{latency: math.Inf(1)}
	bestWarm, bestFallback, warmWithRoom, fallbackWithRoom, anyWithRoom := none, none, none, none, none
	keepFaster := func(best *option, e *engine, latency float64, eligible bool) {
		if eligible && latency < best.latency {
			*best = option{e, latency}
		}
	}
	for _, e := range f.candidates() {
		if !f.isAllowed(e, q) {
			continue
		}
		warm := f.isWarm(e, q)
		// Coordinators that all choose the first of equal engines, or all believe the same stale report,
		// crowd that engine. So nearly equal predictions are ordered at random.
		latency := f.predictLatency(e, q, warm) * (1 + tieBreakSpread*f.tieBreakShare*f.rng.Float64())
		if slices.Contains(q.failedOn, e) {
			latency *= failedEnginePenalty
		}
		hasRoom := f.hasRoom(e, q)
		keepFaster(&bestWarm, e, latency, warm)
		keepFaster(&warmWithRoom, e, latency, warm && hasRoom)
		keepFaster(&bestFallback, e, latency, !warm)
		keepFaster(&fallbackWithRoom, e, latency, !warm && hasRoom)
		keepFaster(&anyWithRoom, e, latency, hasRoom)
	}
	if bestFallback.engine == nil { // if all engines are warm, all are fallbacks
		bestFallback, fallbackWithRoom = bestWarm, warmWithRoom
	}
	minLatency := math.Min(bestWarm.latency, bestFallback.latency)
	if f.slotsScarce() && !math.IsInf(minLatency, 1) && !f.justifiesSlot(q, minLatency) {
		f.refuseOrFail(q, ReasonSlots)
		return
	}
	switch {
	case bestWarm.engine == nil || bestWarm.latency >= maxWarmToFallbackRatio*bestFallback.latency:
		// No warm engine is faster by enough to prefer it.
		if fallbackWithRoom.engine != nil && f.send(q, fallbackWithRoom.engine, fallbackWithRoom.latency) {
			return
		}
	case warmWithRoom.engine != nil && warmWithRoom.latency < maxWarmToFallbackRatio*bestFallback.latency:
		if f.send(q, warmWithRoom.engine, warmWithRoom.latency) {
			return
		}
	default: // hold while that is likely to save time and the deadline allows it
		if q.heldSince < 0 {
			q.heldSince = f.now
		}
		slack := (q.Deadline-f.now)*(1-deadlineMarginShare) - bestFallback.latency
		gain := bestFallback.latency - bestWarm.latency - (f.now - q.heldSince)
		if slack > 0 && gain > 0 {
			f.requestWake(f.now + math.Min(slack, gain))
			return
		}
		if fallbackWithRoom.engine != nil && f.send(q, fallbackWithRoom.engine, fallbackWithRoom.latency) {
			return
		}
	}
	// Departure from the design: the best engine has no room, but another one has.
	if anyWithRoom.engine != nil && f.send(q, anyWithRoom.engine, anyWithRoom.latency) {
		return
	}
	// Overload: a request that can no longer meet its latency target and finds no room is refused early
	// instead of run in vain.
	if math.IsInf(minLatency, 1) { // no engine may take it now: wait for one while the target allows it
		minLatency = f.predictWork(q) / q.class.Threads
	}
	// A late answer is better than none.
	lateAllowed := q.class.LateValueShare > 0 && (anyWithRoom.engine != nil || !f.slotsScarce())
	if !lateAllowed && f.now+minLatency > q.targetAt || lateAllowed && f.now+minLatency > q.Deadline {
		f.refuseOrFail(q, ReasonCapacity)
	}
}

// priority is a query's priority on its engine, from 0 to 3: classes of high value per work come first,
// requests past their latency target or far above their tenant's quota last.
func (f *Scheduler) priority(q *request) int {
	switch {
	case q.overQuota || f.now > q.targetAt:
		return 0
	case q.class.Value/f.predictWork(q) > highDensityRatio*f.meanValueDensity():
		// The class's value counts: the tenant's quota decides the order of dispatch, not this priority.
		return 3
	case q.class.IsLoad || q.orderKey != nil && len(q.orderKey.queue) > 1: // other requests wait behind it
		return 2
	}
	return 1
}

// isWarm tells whether a query's table group counts as warm on an engine: whether this coordinator sent a
// query for it there within warmPeriodMs. Departure from the design: one of many coordinators alone does not
// keep an engine's tables warm. Then a table group's home engines count as warm. Coordinators that share
// engines agree on them by rendezvous hashing, and the slowness factors learn whether they really are warm.
func (f *Scheduler) isWarm(e *engine, q *request) bool {
	sentAt, sent := e.tableGroupSentAt[q.TableGroup]
	return f.manyPeers && slices.Contains(f.homeEngines(q), e) ||
		!f.manyPeers && sent && f.now-sentAt <= warmPeriodMs
}

// homeEngines are the engines that come first for a query's table group by rendezvous hashing; the larger the
// group's share of the traffic, the more they are.
func (f *Scheduler) homeEngines(q *request) []*engine {
	g := f.tableGroupFor(q.TableGroup)
	if g.listVersion != f.listVersion {
		g.listVersion, g.engines = f.listVersion, rankByHash(q.TableGroup, f.preferred)
	}
	// The prior keeps the first requests, which say nothing about the shares yet, from counting in full.
	share := g.requests * math.Exp((g.updatedAt-f.tableGroupRequests.updatedAt)/warmPeriodMs) /
		(f.tableGroupRequests.sum + homePriorRequests)
	count := 1 + int(math.Ceil(homeEnginesRatio*share*float64(len(g.engines))))
	return g.engines[:min(count, len(g.engines))]
}

// candidates are the engines considered for a query. Departure from the design: each of many coordinators
// considers only its preferred engines, which follow each other on the hash ring from an index given by the
// coordinator's number. So every engine gets an even share of the coordinators, and each of these hears of it
// often. Engines that failed twice are skipped.
func (f *Scheduler) candidates() []*engine {
	if !f.manyPeers {
		return f.engines
	}
	f.candidateBuf = f.candidateBuf[:0]
	for i := 0; i < len(f.ring) && len(f.candidateBuf) < f.preferredCount(); i++ {
		if e := f.ring[(f.firstPreferredIndex(f.settings.CoordinatorIndex)+i)%len(f.ring)]; e.failures < 2 {
			f.candidateBuf = append(f.candidateBuf, e)
		}
	}
	return f.candidateBuf
}

// preferredCount is how many engines each of many coordinators prefers: enough that every engine is preferred
// by some.
func (f *Scheduler) preferredCount() int {
	return max(minPreferredEngines,
		int(math.Ceil(minCoordinatorsPerEngine*float64(len(f.ring))/f.coordinators)))
}

// firstPreferredIndex is the index on the hash ring of a coordinator's first preferred engine.
func (f *Scheduler) firstPreferredIndex(coordinator int) int {
	return int(float64(coordinator) * float64(len(f.ring)) / f.coordinators)
}

// coordinatorPosition is this coordinator's position among those that prefer an engine, and how many these
// are. If this coordinator reaches the engine only because it skips engines that fail, its position is past
// the last.
func (f *Scheduler) coordinatorPosition(e *engine) (position, coordinators float64) {
	engines, preferred := float64(len(f.ring)), float64(f.preferredCount())
	if !f.manyPeers || engines <= preferred {
		return float64(f.settings.CoordinatorIndex), f.coordinators
	}
	firstCoordinator := (float64(e.ringIndex) - preferred + 1) * f.coordinators / engines
	position = math.Mod(math.Floor(float64(f.settings.CoordinatorIndex)-firstCoordinator+f.coordinators),
		f.coordinators)
	return position, math.Floor(preferred*f.coordinators/engines) + 1
}
