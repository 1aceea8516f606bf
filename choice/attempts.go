package choice

// Attempts: accepting requests, sending, sending again, refusing and cancelling. Every rule is checked here.

import (
	"maps"
	"math"
	"slices"
)

// acceptRequest takes a new request in: its value by its tenant's quota, its order key, and its turn among
// the waiting requests.
func (f *Scheduler) acceptRequest(r Request) {
	f.arrivals.add(f.now, 1)
	f.totalRequests++
	c := f.classFor(r.Class)
	q := &request{Request: r, class: c, idempotency: c.Idempotency, arrivedAt: f.now, probedAt: math.Inf(-1)}
	if r.AtMostOnce { // whatever its class allows
		q.idempotency = AtMostOnce
	}
	q.value = c.Value
	if t := f.tenants[r.Tenant]; t != nil && t.Quota > 0 {
		// Requests of a tenant above its quota are worth little. No coordinator alone can tell which of them
		// are above it, so each is worth their mean. One of many coordinators sees few requests of a tenant:
		// a few above the quota are chance, not a burst.
		t.recentRequests.add(f.now, 1, quotaWindowMs)
		quota := t.Quota / 1000 / f.coordinators * quotaWindowMs
		withinQuota := (quota + math.Max(quotaSlackRequests, quotaSlackShare*quota)) / t.recentRequests.sum
		if withinQuota < 1 {
			q.value *= withinQuota + (1-withinQuota)*f.settings.OverQuotaValueShare
			q.overQuota = withinQuota < lowPriorityQuotaShare
		}
	}
	f.countRequest(r.TableGroup, c.IsLoad)
	f.requestedWork.add(f.now, c.meanWork, demandWindowMs)
	f.requests[r.ID] = q
	if c.InOrder && r.OrderKey != "" {
		k := f.orderKeys[r.OrderKey]
		if k == nil {
			k = &orderKey{}
			f.orderKeys[r.OrderKey] = k
		}
		q.orderKey = k
		k.queue = append(k.queue, q)
	}
	f.enqueue(q)
}

// isAllowed tells whether the rules and the health of an engine let a request go there now.
func (f *Scheduler) isAllowed(e *engine, q *request) bool {
	if !e.listed || f.now < e.pausedUntil || e.pausedFor(q.class, f.now) {
		return false
	}
	if len(q.class.Zones) > 0 && !contains(q.class.Zones, e.Zone) ||
		len(q.class.Kinds) > 0 && !contains(q.class.Kinds, e.Kind) {
		return false // placement rule
	}
	if q.mayHaveRunOn != nil && (q.idempotency == AtMostOnce || q.idempotency == Deduplicated &&
		(f.dedupWindowExpired(q) || q.class.DedupScope == DedupInZone && q.mayHaveRunOn.Zone != e.Zone ||
			q.class.DedupScope == DedupInCell && q.mayHaveRunOn.Cell != e.Cell)) {
		return false // rule on repeats of requests that may have run
	}
	return f.withinColdBudget(e, q)
}

// withinRation tells whether one more attempt beyond a request's first fits the retry ration.
func (f *Scheduler) withinRation() bool {
	if !f.settings.HasRetryRation {
		return true
	}
	period := f.settings.RetryRationWindow
	allowed := f.settings.RetryRationFree +
		f.settings.RetryRationShare*f.arrivals.sumSince(f.now-period+f.checkInterval)
	return f.retries.sumSince(f.now-period-f.checkInterval)+1 <= allowed
}

// send is the only place that sends attempts. It checks every rule, whatever path led to it, and tells
// whether it sent.
func (f *Scheduler) send(q *request, e *engine, expected float64) bool {
	switch {
	case q.ended, q.sendCount >= max(f.settings.MaxAttempts, 1),
		len(q.openAttempts) > 0 && !(f.settings.ParallelAttempts && q.idempotency == Idempotent),
		!f.isAllowed(e, q), // drains, repeats, cold engines, placement
		q.orderKey != nil && (q.orderKey.queue[0] != q || f.now < q.orderKey.settlesAt), // order key
		q.sendCount > 0 && !f.withinRation():                                            // retry ration
		return false
	}
	if q.sendCount > 0 {
		f.retries.add(f.now, 1)
		f.restOrderKey(q)
	}
	priority, grant := f.priority(q), 0.0
	// Where a class's memory estimates are too low, its queries spill, and this extra work fills the disks.
	if f.settings.GrantsHonored && f.settings.NoticePeriod > 0 { // progress notices report spills
		grant = q.Mem * q.class.grantRatio
	}
	if f.settings.PrioritiesHonored && priority != 1 || grant > 0 {
		f.emit(SendOptions{q.ID, priority, grant})
	}
	f.emit(Send{Request: q.ID, Engine: e.ID, NotAfter: f.dedupWindowEnd(q)})
	a := &attempt{request: q, engine: e, number: q.sendCount, priority: priority, sentAt: f.now,
		expectedTime: expected, warm: f.isWarm(e, q),
		underLightLoad: f.engineLoad(e) < uncrowdedLoad, loadSlowdown: f.loadSlowdown(e, q.class.Threads),
		unloadedTime: f.predictWork(q) / q.class.Threads}
	a.lastProgressAt = a.sentAt
	q.sendCount++
	q.openAttempts = append(q.openAttempts, a)
	e.openAttempts = append(e.openAttempts, a)
	e.threadsOut += q.class.Threads
	f.threadsOut += q.class.Threads
	f.threadsByPriority[priority] += q.class.Threads
	e.tableGroupSentAt[q.TableGroup] = f.now
	e.recentSends = append(e.recentSends, recentSend{f.now, q.class.Threads, math.Max(expected, 1)})
	if q.valueDensity < f.meanValueDensity() { // only costly ones, which are few
		f.sendToPeers(e, encodePeerItem(peerItemSend, e, q.class.Threads, expected/peerRunStepMs, 0))
	}
	e.workSent.add(f.now, math.Max(f.predictWork(q), q.class.meanWork))
	return true
}

// dedupWindowEnd is the time until which a request that may have run may be sent again, since a connection
// for it may open late; 0 means no bound.
func (f *Scheduler) dedupWindowEnd(q *request) float64 {
	if q.mayHaveRunOn == nil || q.idempotency != Deduplicated {
		return 0
	}
	return q.mayHaveRunSince + q.class.DedupWindow
}

// handleOutcome handles the end of an attempt: it learns from it, then ends the request, refuses it or puts
// it back in the queue.
func (f *Scheduler) handleOutcome(o Outcome) {
	q := f.requests[o.Request]
	if q == nil {
		return
	}
	a := f.removeAttempt(q, o.Attempt)
	if a == nil {
		return
	}
	e, c := a.engine, q.class
	f.applyReport(e, o.Report)
	switch o.Result {
	case OK:
		f.learnFromAnswer(a, o)
		value := q.value
		if f.now > q.targetAt {
			value *= c.LateValueShare
		}
		f.servedValue.add(f.now, value, servedValueWindowMs)
		if !a.spilled {
			c.grantRatio = math.Max(c.grantRatio*grantDecayRatio, 1/maxOutcomeRatio)
		}
		if q.slowDuration > 0 {
			c.restartShare, c.restartShareAt = f.restartShare(c)+
				(math.Min(o.Duration/q.slowDuration, 2)-f.restartShare(c))*restartLearnRate, f.now
		}
		e.lastHeardAt, e.lastOKAt, e.failures, e.errorsInRow = f.now, f.now, 0, 0
		delete(e.healthByClass, c)
	case Full: // an engine that takes nothing answers at once and, with no attempts out, looks idle
		e.lastHeardAt = f.now
		if f.pauseForClass(e, c); f.now-e.lastOKAt > initialPauseMs {
			f.pauseEngine(e)
		}
	case Error, Reset:
		// An engine that fails fast looks idle and draws all traffic. A single reset may be due to a poor
		// link.
		if o.Result == Error {
			e.lastHeardAt = f.now
		}
		if f.countError(q, e); e.healthFor(c).errorsInRow >= suspectAfterErrors {
			f.pauseForClass(e, c)
		}
		if e.errorsInRow >= suspectAfterErrors {
			f.pauseEngine(e)
			if o.Result == Reset {
				e.assumedStartAt = e.pausedUntil
			}
		}
	case ConnectFailed:
		f.pauseEngine(e)
		e.assumedStartAt = e.pausedUntil
	case Rejected:
		q.rejected = true
	}
	if o.Result.MayHaveRun() && q.mayHaveRunOn == nil {
		q.mayHaveRunOn, q.mayHaveRunSince = e, a.sentAt
	}
	if o.Result == Timeout || o.Result == Reset || o.Result == Cancelled {
		q.mayStillRun = true
		f.restOrderKey(q)
	}
	switch {
	case q.ended || o.RequestEnded:
		f.endRequest(q)
	case len(q.openAttempts) > 0: // another attempt is still out
	case f.isFaulty(q):
		f.refuseOrFail(q, ReasonFaulty)
	case q.mayHaveRunOn != nil && q.idempotency == AtMostOnce:
		f.refuseOrFail(q, ReasonMayHaveRun)
	case o.Result == Timeout && f.now >= q.Deadline-f.finalAnswerMargin:
		f.refuseOrFail(q, ReasonDeadline)
	default:
		f.enqueue(q)
	}
}

// restOrderKey keeps the next request of an order key back for a while if an attempt ended without proof that
// it runs no more. The time counts from the next send or the final answer, as nobody else knows before then
// that the attempt is taken to be over.
func (f *Scheduler) restOrderKey(q *request) {
	if q.orderKey != nil && q.mayStillRun {
		q.orderKey.settlesAt = math.Max(q.orderKey.settlesAt, f.now+f.settings.OrderSettleTime)
	}
}

// moveAttempt cancels an attempt so that its request can go to another engine, where its class, the retry
// ration and the bound on such moves allow it.
func (f *Scheduler) moveAttempt(a *attempt) {
	q := a.request
	if !f.settings.CanCancel || a.cancelled || q.ended || q.idempotency != Idempotent {
		return
	}
	if q.sendCount >= f.settings.MaxAttempts || !f.withinRation() ||
		f.moves.sumSince(f.now-moveWindowMs) >= freeMoves+
			movesPerRequest*f.arrivals.sumSince(f.now-moveWindowMs) {
		return
	}
	f.moves.add(f.now, 1)
	q.moveCount++
	f.cancelAttempt(a)
}

// cancelAttempt cancels an attempt once, where attempts can be cancelled.
func (f *Scheduler) cancelAttempt(a *attempt) {
	if f.settings.CanCancel && !a.cancelled {
		a.cancelled = true
		f.emit(Cancel{a.request.ID, a.number})
	}
}

// refuseOrFail gives the final answer at once: a refusal with retry advice where a repeat does no harm, else
// a failure.
func (f *Scheduler) refuseOrFail(q *request, reason Reason) {
	f.restOrderKey(q)
	if !f.isFaulty(q) && f.safeToRepeat(q) {
		// The advice is random, so that clients refused at the same time do not all return at the same time.
		retryAfter := f.settings.MaxRetryAfter * retryAdviceShare * (0.5 + f.rng.Float64())
		if !f.settings.CanAdviseRetry {
			retryAfter = 0
		}
		f.emit(Refuse{q.ID, retryAfter, reason})
	} else {
		f.emit(Fail{q.ID, reason})
	}
	f.endRequest(q)
}

// safeToRepeat tells whether a client's retry of a request does no harm now.
func (f *Scheduler) safeToRepeat(q *request) bool {
	firstSent := q.mayHaveRunSince
	if q.mayHaveRunOn == nil {
		if len(q.openAttempts) == 0 {
			return true
		}
		firstSent = q.openAttempts[0].sentAt
	}
	inWindow := f.now < firstSent+q.class.DedupWindow-f.checkInterval
	return q.idempotency == Idempotent ||
		q.idempotency == Deduplicated && q.class.DedupScope == DedupEverywhere && inWindow
}

// dedupWindowExpired tells whether a request with deduplicated repeats may have run so long ago that engines
// no longer discard a repeat.
func (f *Scheduler) dedupWindowExpired(q *request) bool {
	return q.mayHaveRunOn != nil && q.idempotency == Deduplicated &&
		f.now >= q.mayHaveRunSince+q.class.DedupWindow-f.checkInterval
}

// cancelAndRefuse cancels a request's attempts and gives its final answer.
func (f *Scheduler) cancelAndRefuse(q *request, reason Reason) {
	if q == nil || q.ended {
		return
	}
	f.cancelAttempts(q)
	f.refuseOrFail(q, reason)
}

// cancelRequest cancels the attempts of a request whose client has left and ends it; no answer is owed.
func (f *Scheduler) cancelRequest(q *request) {
	if q == nil || q.ended {
		return
	}
	f.cancelAttempts(q)
	f.endRequest(q)
}

// cancelAttempts cancels a request's attempts, so that engines do no work that no client waits for.
func (f *Scheduler) cancelAttempts(q *request) {
	for _, a := range q.openAttempts {
		f.cancelAttempt(a)
	}
}

// shutDown gives every open request its final answer, in the order of their ids, so that equal events give
// equal actions.
func (f *Scheduler) shutDown() {
	for _, id := range slices.Sorted(maps.Keys(f.requests)) {
		f.cancelAndRefuse(f.requests[id], ReasonShutdown)
	}
}
