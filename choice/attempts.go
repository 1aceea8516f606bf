package choice

// This file accepts requests, and sends, repeats, refuses and cancels them. Every rule is checked here.

import (
	"maps"
	"math"
	"slices"
)

// acceptRequest adds a new request: it sets the request's value by its tenant's quota, and puts the request
// in the queue of its order key and among the waiting requests.
func (s *Scheduler) acceptRequest(r Request) {
	s.arrivals.add(s.now, 1)
	s.totalRequests++
	c := s.classFor(r.Class)
	q := &request{Request: r, class: c, idempotency: c.Idempotency, arrivedAt: s.now, probedAt: math.Inf(-1)}
	if r.AtMostOnce { // overrides the class
		q.idempotency = AtMostOnce
	}
	q.value = c.Value
	if t := s.tenants[r.Tenant]; t != nil && t.Quota > 0 {
		// Requests beyond a tenant's quota have little value. No coordinator alone can tell which requests
		// are beyond it, so each gets the mean value of all. One of many coordinators sees few requests of a
		// tenant, so a few above the quota are allowed for: they are likely chance, not a burst.
		t.recentRequests.add(s.now, 1, quotaWindowMs)
		quota := t.Quota / 1000 / s.coordinators * quotaWindowMs
		withinQuota := (quota + math.Max(quotaSlackRequests, quotaSlackShare*quota)) / t.recentRequests.sum
		if withinQuota < 1 {
			q.value *= withinQuota + (1-withinQuota)*s.settings.OverQuotaValueShare
			q.overQuota = withinQuota < lowPriorityQuotaShare
		}
	}
	s.countRequest(r.TableGroup, c.IsLoad)
	s.requestedWork.add(s.now, c.meanWork, demandWindowMs)
	s.requests[r.ID] = q
	if c.InOrder && r.OrderKey != "" {
		k := s.orderKeys[r.OrderKey]
		if k == nil {
			k = &orderKey{}
			s.orderKeys[r.OrderKey] = k
		}
		q.orderKey = k
		k.queue = append(k.queue, q)
	}
	s.enqueue(q)
}

// isAllowed reports whether the rules and the health of an engine allow a request to be sent there now.
func (s *Scheduler) isAllowed(e *engine, q *request) bool {
	if !e.listed || s.now < e.pausedUntil || e.pausedFor(q.class, s.now) {
		return false
	}
	if len(q.class.Zones) > 0 && !contains(q.class.Zones, e.Zone) ||
		len(q.class.Kinds) > 0 && !contains(q.class.Kinds, e.Kind) {
		return false // placement rule of the class
	}
	if q.mayHaveRunOn != nil && (q.idempotency == AtMostOnce || q.idempotency == Deduplicated &&
		(s.dedupWindowExpired(q) || q.class.DedupScope == DedupInZone && q.mayHaveRunOn.Zone != e.Zone ||
			q.class.DedupScope == DedupInCell && q.mayHaveRunOn.Cell != e.Cell)) {
		return false // rule on repeats of requests that may have run
	}
	return s.withinColdBudget(e, q)
}

// withinRation reports whether the retry ration allows one more attempt beyond a request's first.
func (s *Scheduler) withinRation() bool {
	if !s.settings.HasRetryRation {
		return true
	}
	period := s.settings.RetryRationWindow
	allowed := s.settings.RetryRationFree +
		s.settings.RetryRationShare*s.arrivals.sumSince(s.now-period+s.checkInterval)
	return s.retries.sumSince(s.now-period-s.checkInterval)+1 <= allowed
}

// send is the only function that sends attempts. It checks every rule, whichever function calls it, and
// reports whether it sent the attempt.
func (s *Scheduler) send(q *request, e *engine, expected float64) bool {
	switch {
	case q.ended, q.sendCount >= max(s.settings.MaxAttempts, 1),
		len(q.openAttempts) > 0 && !(s.settings.ParallelAttempts && q.idempotency == Idempotent),
		!s.isAllowed(e, q), // drains, repeats, cold engines, placement
		q.orderKey != nil && (q.orderKey.queue[0] != q || s.now < q.orderKey.settlesAt), // order key
		q.sendCount > 0 && !s.withinRation():                                            // retry ration
		return false
	}
	if q.sendCount > 0 {
		s.retries.add(s.now, 1)
		s.delayOrderKey(q)
	}
	priority, grant := s.priority(q), 0.0
	// If a class's memory estimates are too low, its queries spill to disk, and the extra work fills the
	// disks.
	if s.settings.GrantsHonored && s.settings.NoticePeriod > 0 { // progress notices report spills
		grant = q.Mem * q.class.grantRatio
	}
	if s.settings.PrioritiesHonored && priority != 1 || grant > 0 {
		s.emit(SendOptions{q.ID, priority, grant})
	}
	s.emit(Send{Request: q.ID, Engine: e.ID, NotAfter: s.dedupWindowEnd(q)})
	a := &attempt{request: q, engine: e, number: q.sendCount, priority: priority, sentAt: s.now,
		expectedTime: expected, warm: s.isWarm(e, q),
		underLightLoad: s.engineLoad(e) < lightLoad, loadSlowdown: s.loadSlowdown(e, q.class.Threads),
		unloadedTime: s.predictWork(q) / q.class.Threads}
	a.lastProgressAt = a.sentAt
	q.sendCount++
	q.openAttempts = append(q.openAttempts, a)
	e.openAttempts = append(e.openAttempts, a)
	e.threadsInFlight += q.class.Threads
	s.threadsInFlight += q.class.Threads
	s.threadsByPriority[priority] += q.class.Threads
	e.tableGroupSentAt[q.TableGroup] = s.now
	e.recentSends = append(e.recentSends, recentSend{s.now, q.class.Threads, math.Max(expected, 1)})
	if q.valueDensity < s.meanValueDensity() { // peers are informed only of costly queries, which are few
		s.sendToPeers(e, encodePeerItem(peerItemSend, e, q.class.Threads, expected/peerRunStepMs, 0))
	}
	e.workSent.add(s.now, math.Max(s.predictWork(q), q.class.meanWork))
	return true
}

// dedupWindowEnd returns the point in time until which a request that may have run may be sent again, or 0 if
// there is no bound. Send carries it because a connection for the request may open late.
func (s *Scheduler) dedupWindowEnd(q *request) float64 {
	if q.mayHaveRunOn == nil || q.idempotency != Deduplicated {
		return 0
	}
	return q.mayHaveRunSince + q.class.DedupWindow
}

// handleOutcome handles the end of an attempt: it updates what is learned and the engine's health, then ends
// the request, refuses it or puts it back among the waiting ones.
func (s *Scheduler) handleOutcome(o Outcome) {
	q := s.requests[o.Request]
	if q == nil {
		return
	}
	a := s.removeAttempt(q, o.Attempt)
	if a == nil {
		return
	}
	e, c := a.engine, q.class
	s.applyReport(e, o.Report)
	switch o.Result {
	case OK:
		s.learnFromAnswer(a, o)
		value := q.value
		if s.now > q.targetAt {
			value *= c.LateValueShare
		}
		s.servedValue.add(s.now, value, servedValueWindowMs)
		if !a.spilled {
			c.grantRatio = math.Max(c.grantRatio*grantDecayRatio, 1/maxOutcomeRatio)
		}
		if q.slowDuration > 0 {
			c.restartShare, c.restartShareAt = s.restartShare(c)+
				(math.Min(o.Duration/q.slowDuration, 2)-s.restartShare(c))*restartLearnRate, s.now
		}
		e.lastResponseAt, e.lastOKAt, e.failures, e.errorsInRow = s.now, s.now, 0, 0
		delete(e.healthByClass, c)
	case Full: // an engine that rejects every query answers at once and, with no open attempts, looks idle
		e.lastResponseAt = s.now
		if s.pauseForClass(e, c); s.now-e.lastOKAt > initialPauseMs {
			s.pauseEngine(e)
		}
	case Error, Reset:
		// An engine that fails fast looks idle and would attract all traffic. A single reset may be due to a
		// poor network link.
		if o.Result == Error {
			e.lastResponseAt = s.now
		}
		if s.countError(q, e); e.healthFor(c).errorsInRow >= suspectAfterErrors {
			s.pauseForClass(e, c)
		}
		if e.errorsInRow >= suspectAfterErrors {
			s.pauseEngine(e)
			if o.Result == Reset {
				e.assumedStartAt = e.pausedUntil
			}
		}
	case ConnectFailed:
		s.pauseEngine(e)
		e.assumedStartAt = e.pausedUntil
	case Rejected:
		q.rejected = true
	}
	if o.Result.MayHaveRun() && q.mayHaveRunOn == nil {
		q.mayHaveRunOn, q.mayHaveRunSince = e, a.sentAt
	}
	if o.Result == Timeout || o.Result == Reset || o.Result == Cancelled {
		q.mayStillRun = true
		s.delayOrderKey(q)
	}
	switch {
	case q.ended || o.RequestEnded:
		s.endRequest(q)
	case len(q.openAttempts) > 0: // another attempt is still open
	case s.isFaulty(q):
		s.refuseOrFail(q, ReasonFaulty)
	case q.mayHaveRunOn != nil && q.idempotency == AtMostOnce:
		s.refuseOrFail(q, ReasonMayHaveRun)
	case o.Result == Timeout && s.now >= q.Deadline-s.finalAnswerMargin:
		s.refuseOrFail(q, ReasonDeadline)
	default:
		s.enqueue(q)
	}
}

// delayOrderKey delays the next request of an order key by OrderSettleTime if an attempt ended without proof
// that it no longer runs. The time counts from the next send or the final answer, because until then nothing
// outside the scheduler shows that it considers the attempt to have ended.
func (s *Scheduler) delayOrderKey(q *request) {
	if q.orderKey != nil && q.mayStillRun {
		q.orderKey.settlesAt = math.Max(q.orderKey.settlesAt, s.now+s.settings.OrderSettleTime)
	}
}

// moveAttempt cancels an attempt so that its request can be sent to another engine, if its idempotency, the
// retry ration and the limit on moves allow it.
func (s *Scheduler) moveAttempt(a *attempt) {
	q := a.request
	if !s.settings.CanCancel || a.cancelled || q.ended || q.idempotency != Idempotent {
		return
	}
	if q.sendCount >= s.settings.MaxAttempts || !s.withinRation() ||
		s.moves.sumSince(s.now-moveWindowMs) >= freeMoves+
			movesPerRequest*s.arrivals.sumSince(s.now-moveWindowMs) {
		return
	}
	s.moves.add(s.now, 1)
	q.moveCount++
	s.cancelAttempt(a)
}

// cancelAttempt cancels an attempt if that is possible and has not been done yet.
func (s *Scheduler) cancelAttempt(a *attempt) {
	if s.settings.CanCancel && !a.cancelled {
		a.cancelled = true
		s.emit(Cancel{a.request.ID, a.number})
	}
}

// refuseOrFail gives the final answer at once: a refusal with retry advice if the client may safely repeat
// the request, else a failure.
func (s *Scheduler) refuseOrFail(q *request, reason Reason) {
	s.delayOrderKey(q)
	if !s.isFaulty(q) && s.safeToRepeat(q) {
		// The pause is random, so that clients refused at the same time do not all retry at the same time.
		retryAfter := s.settings.MaxRetryAfter * retryAdviceShare * (0.5 + s.rng.Float64())
		if !s.settings.CanAdviseRetry {
			retryAfter = 0
		}
		s.emit(Refuse{q.ID, retryAfter, reason})
	} else {
		s.emit(Fail{q.ID, reason})
	}
	s.endRequest(q)
}

// safeToRepeat reports whether the client can repeat a request now without the risk of a second effect.
func (s *Scheduler) safeToRepeat(q *request) bool {
	firstSent := q.mayHaveRunSince
	if q.mayHaveRunOn == nil {
		if len(q.openAttempts) == 0 {
			return true
		}
		firstSent = q.openAttempts[0].sentAt
	}
	inWindow := s.now < firstSent+q.class.DedupWindow-s.checkInterval
	return q.idempotency == Idempotent ||
		q.idempotency == Deduplicated && q.class.DedupScope == DedupEverywhere && inWindow
}

// dedupWindowExpired reports whether a Deduplicated request may have run so long ago that engines no longer
// discard a repeat of it.
func (s *Scheduler) dedupWindowExpired(q *request) bool {
	return q.mayHaveRunOn != nil && q.idempotency == Deduplicated &&
		s.now >= q.mayHaveRunSince+q.class.DedupWindow-s.checkInterval
}

// cancelAndRefuse cancels a request's attempts and gives its final answer.
func (s *Scheduler) cancelAndRefuse(q *request, reason Reason) {
	if q == nil || q.ended {
		return
	}
	s.cancelAttempts(q)
	s.refuseOrFail(q, reason)
}

// cancelRequest cancels the attempts of a request whose client has disconnected, and ends it without an
// answer.
func (s *Scheduler) cancelRequest(q *request) {
	if q == nil || q.ended {
		return
	}
	s.cancelAttempts(q)
	s.endRequest(q)
}

// cancelAttempts cancels a request's attempts, so that engines do not work on queries for which no client
// waits.
func (s *Scheduler) cancelAttempts(q *request) {
	for _, a := range q.openAttempts {
		s.cancelAttempt(a)
	}
}

// shutDown gives every open request its final answer. The order is that of the request IDs, so that equal
// events give equal actions.
func (s *Scheduler) shutDown() {
	for _, id := range slices.Sorted(maps.Keys(s.requests)) {
		s.cancelAndRefuse(s.requests[id], ReasonShutdown)
	}
}
