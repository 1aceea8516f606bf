package choice

// This file decides which waiting request is sent to which engine, now or later.

import (
	"cmp"
	"math"
	"slices"
	"sort"
)

// enqueue adds a request to the waiting ones, which are ordered by value per predicted work, then by the end
// of their latency target.
func (s *Scheduler) enqueue(q *request) {
	if q.Deadline-s.now < s.finalAnswerMargin { // a client's retry may arrive just before its deadline
		s.refuseOrFail(q, ReasonDeadline)
		return
	}
	q.valueDensity, q.missesTarget = q.value/s.predictWork(q), false
	q.targetAt = math.Min(q.arrivedAt+q.class.LatencyTarget+
		q.class.TargetStretch*s.predictWork(q)/q.class.Threads, q.Deadline)
	q.heldSince = -1
	i := sort.Search(len(s.waiting), func(i int) bool {
		other := s.waiting[i]
		if other.valueDensity != q.valueDensity {
			return other.valueDensity < q.valueDensity
		}
		return other.targetAt > q.targetAt
	})
	s.waiting = slices.Insert(s.waiting, i, q)
	q.waiting = true
}

// demoteLate reduces the value of requests that can no longer meet their latency target to that of a late
// answer, and sorts the waiting requests again. Without it, requests that are late after an outage would be
// sent ahead of new ones and make those late in turn.
func (s *Scheduler) demoteLate() {
	changed := false
	for _, q := range s.waiting {
		if !q.missesTarget && s.now+s.predictWork(q)/q.class.Threads > q.targetAt {
			q.missesTarget, q.valueDensity, changed = true, q.valueDensity*q.class.LateValueShare, true
		}
	}
	if changed {
		slices.SortStableFunc(s.waiting, func(a, b *request) int {
			return cmp.Compare(b.valueDensity, a.valueDensity)
		})
	}
}

// dispatch decides on the waiting requests, those with the highest value per work first. Between full checks
// it decides only on the first maxHeldChecked.
func (s *Scheduler) dispatch(full bool) {
	limit := len(s.waiting)
	if full {
		s.demoteLate()
	}
	if !full && limit > maxHeldChecked {
		limit = maxHeldChecked
	}
	kept := s.waiting[:0]
	for i, q := range s.waiting {
		if i < limit && !q.ended {
			s.decideRequest(q)
		}
		if !q.ended && len(q.openAttempts) == 0 {
			kept = append(kept, q)
		} else {
			q.waiting = false
		}
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
}

// decideRequest sends, holds or refuses one waiting request.
func (s *Scheduler) decideRequest(q *request) {
	if q.Deadline-s.now < s.finalAnswerMargin {
		s.refuseOrFail(q, ReasonDeadline)
		return
	}
	if q.sendCount >= max(s.settings.MaxAttempts, 1) {
		s.refuseOrFail(q, ReasonAttempts)
		return
	}
	if s.dedupWindowExpired(q) { // else its client and its order key would wait until the deadline
		s.refuseOrFail(q, ReasonMayHaveRun)
		return
	}
	if s.manyPeers && q.sendCount == 0 && q.probedAt < q.arrivedAt &&
		q.valueDensity < s.meanValueDensity() && s.settings.ReportsOnlyFromProbes {
		q.probedAt = s.now - probeWaitMs
		if s.probe(s.candidates()) {
			q.probedAt = s.now
			s.requestWake(s.now + probeWaitMs)
		}
	}
	if s.now < q.probedAt+probeWaitMs {
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
	for _, e := range s.candidates() {
		if !s.isAllowed(e, q) {
			continue
		}
		warm := s.isWarm(e, q)
		// If all coordinators choose the first of equal engines, or rely on the same stale report, they
		// overload that engine. So nearly equal predictions are ordered at random.
		latency := s.predictLatency(e, q, warm) * (1 + tieBreakSpread*s.tieBreakShare*s.rng.Float64())
		if slices.Contains(q.failedOn, e) {
			latency *= failedEnginePenalty
		}
		hasRoom := s.hasRoom(e, q)
		keepFaster(&bestWarm, e, latency, warm)
		keepFaster(&warmWithRoom, e, latency, warm && hasRoom)
		keepFaster(&bestFallback, e, latency, !warm)
		keepFaster(&fallbackWithRoom, e, latency, !warm && hasRoom)
		keepFaster(&anyWithRoom, e, latency, hasRoom)
	}
	if bestFallback.engine == nil { // all engines are warm, so all are fallbacks
		bestFallback, fallbackWithRoom = bestWarm, warmWithRoom
	}
	minLatency := math.Min(bestWarm.latency, bestFallback.latency)
	if s.slotsScarce() && !math.IsInf(minLatency, 1) && !s.justifiesSlot(q, minLatency) {
		s.refuseOrFail(q, ReasonSlots)
		return
	}
	switch {
	case bestWarm.engine == nil || bestWarm.latency >= maxWarmToFallbackRatio*bestFallback.latency:
		// No warm engine is fast enough to be preferred to the best fallback.
		if fallbackWithRoom.engine != nil && s.send(q, fallbackWithRoom.engine, fallbackWithRoom.latency) {
			return
		}
	case warmWithRoom.engine != nil && warmWithRoom.latency < maxWarmToFallbackRatio*bestFallback.latency:
		if s.send(q, warmWithRoom.engine, warmWithRoom.latency) {
			return
		}
	default: // hold the request while that is likely to save time and the deadline allows it
		if q.heldSince < 0 {
			q.heldSince = s.now
		}
		slack := (q.Deadline-s.now)*(1-deadlineMarginShare) - bestFallback.latency
		gain := bestFallback.latency - bestWarm.latency - (s.now - q.heldSince)
		if slack > 0 && gain > 0 {
			s.requestWake(s.now + math.Min(slack, gain))
			return
		}
		if fallbackWithRoom.engine != nil && s.send(q, fallbackWithRoom.engine, fallbackWithRoom.latency) {
			return
		}
	}
	// The best engine has no room, but another one has: with it the request need not wait.
	if anyWithRoom.engine != nil && s.send(q, anyWithRoom.engine, anyWithRoom.latency) {
		return
	}
	// Under overload, a request that finds no room and can no longer meet its latency target is refused
	// early, since to run it later would waste the work.
	if math.IsInf(minLatency, 1) { // no engine is allowed now: wait while the latency target can be met
		minLatency = s.predictWork(q) / q.class.Threads
	}
	// A late answer is better than none.
	lateAllowed := q.class.LateValueShare > 0 && (anyWithRoom.engine != nil || !s.slotsScarce())
	if !lateAllowed && s.now+minLatency > q.targetAt || lateAllowed && s.now+minLatency > q.Deadline {
		s.refuseOrFail(q, ReasonCapacity)
	}
}

// priority returns a query's priority on its engine, from 0 to 3. Classes with a high value per work have the
// highest one, requests past their latency target or far above their tenant's quota the lowest.
func (s *Scheduler) priority(q *request) int {
	switch {
	case q.overQuota || s.now > q.targetAt:
		return 0
	case q.class.Value/s.predictWork(q) > highDensityRatio*s.meanValueDensity():
		// This compares the value of the class. The tenant's quota lowers the value of the request, which
		// decides the order of dispatch.
		return 3
	case q.class.IsLoad || q.orderKey != nil && len(q.orderKey.queue) > 1: // others are queued after it
		return 2
	}
	return 1
}

// isWarm reports whether a query's table group counts as warm on an engine: whether this coordinator sent a
// query for it there within warmPeriodMs. One of many coordinators alone does not keep an engine's tables
// warm, so with many peers the home engines of a table group count as warm instead. Coordinators that share
// engines agree on the home engines by rendezvous hashing, and the slowness factors learn whether these
// really are warm.
func (s *Scheduler) isWarm(e *engine, q *request) bool {
	sentAt, sent := e.tableGroupSentAt[q.TableGroup]
	return s.manyPeers && slices.Contains(s.homeEngines(q), e) ||
		!s.manyPeers && sent && s.now-sentAt <= warmPeriodMs
}

// homeEngines returns the engines that rank first for a query's table group by rendezvous hashing. Their
// number grows with the group's share of the traffic.
func (s *Scheduler) homeEngines(q *request) []*engine {
	g := s.tableGroups.get(q.TableGroup, s.now)
	if g.listVersion != s.listVersion {
		g.listVersion, g.engines = s.listVersion, rankByHash(q.TableGroup, s.preferred)
	}
	// The first requests say little about the shares of the traffic, so homePriorRequests reduces their
	// weight.
	share := g.requests * math.Exp((g.updatedAt-s.tableGroupRequests.updatedAt)/warmPeriodMs) /
		(s.tableGroupRequests.sum + homePriorRequests)
	count := 1 + int(math.Ceil(homeEnginesRatio*share*float64(len(g.engines))))
	return g.engines[:min(count, len(g.engines))]
}

// candidates returns the engines considered for a query. Each of many coordinators considers only its
// preferred engines, which are consecutive on the hash ring from an index given by the coordinator's number.
// So every engine is preferred by an even share of the coordinators, and each of them gets reports of it
// often. Engines that failed twice are skipped.
func (s *Scheduler) candidates() []*engine {
	if !s.manyPeers {
		return s.engines
	}
	s.candidateBuf = s.candidateBuf[:0]
	for i := 0; i < len(s.ring) && len(s.candidateBuf) < s.preferredCount(); i++ {
		if e := s.ring[(s.firstPreferredIndex(s.settings.CoordinatorIndex)+i)%len(s.ring)]; e.failures < 2 {
			s.candidateBuf = append(s.candidateBuf, e)
		}
	}
	return s.candidateBuf
}

// preferredCount returns how many engines each of many coordinators prefers: enough that every engine is
// preferred by some coordinator.
func (s *Scheduler) preferredCount() int {
	return max(minPreferredEngines,
		int(math.Ceil(minCoordinatorsPerEngine*float64(len(s.ring))/s.coordinators)))
}

// firstPreferredIndex returns the index on the hash ring of a coordinator's first preferred engine.
func (s *Scheduler) firstPreferredIndex(coordinator int) int {
	return int(float64(coordinator) * float64(len(s.ring)) / s.coordinators)
}

// coordinatorPosition returns this coordinator's position among those that prefer an engine, and their
// number. If the engine is a candidate only because failing engines are skipped, the position is beyond the
// last one.
func (s *Scheduler) coordinatorPosition(e *engine) (position, coordinators float64) {
	engines, preferred := float64(len(s.ring)), float64(s.preferredCount())
	if !s.manyPeers || engines <= preferred {
		return float64(s.settings.CoordinatorIndex), s.coordinators
	}
	firstCoordinator := (float64(e.ringIndex) - preferred + 1) * s.coordinators / engines
	position = math.Mod(math.Floor(float64(s.settings.CoordinatorIndex)-firstCoordinator+s.coordinators),
		s.coordinators)
	return position, math.Floor(preferred*s.coordinators/engines) + 1
}
