package choice

// Attempts: taking requests, sending, sending again, giving up. Every rule is checked here.

import (
	"maps"
	"math"
	"slices"
)

// take accepts a request.
func (f *Front) take(r Request) {
	f.taken.add(f.now, 1)
	f.tookAll++
	c := f.class(r.Class)
	q := &request{Request: r, c: c, effect: c.Effect, arrived: f.now, probedAt: math.Inf(-1)}
	if r.Once { // whatever its class allows
		q.effect = Unsafe
	}
	q.worth = c.Worth
	if t := f.tenants[r.Tenant]; t != nil && t.Quota > 0 {
		// Past its quota a tenant's requests are worth little. Which of them no front can tell alone: each is
		// worth their mean. Danger: a front among many sees few of a tenant; some more are chance, no burst.
		t.tokens.add(f.now, 1, quotaSpan)
		quota := t.Quota / 1000 / f.fronts * quotaSpan
		within := (quota + math.Max(quotaChance, quotaSlack*quota)) / t.tokens.v
		if within < 1 {
			q.worth *= within + (1-within)*f.s.OverWorth
			q.over = within < quotaFar
		}
	}
	f.count(r.Tables, c.Load)
	f.asking.add(f.now, c.work, askSpan)
	f.requests[r.ID] = q
	if c.InOrder && r.Key != "" {
		k := f.keys[r.Key]
		if k == nil {
			k = &key{}
			f.keys[r.Key] = k
		}
		q.key = k
		k.line = append(k.line, q)
	}
	f.queue(q)
}

// allowed says whether a rule or an engine's health keeps a request from an engine now.
func (f *Front) allowed(e *engine, q *request) bool {
	if !e.listed || f.now < e.badUntil || e.sick(q.c, f.now) {
		return false
	}
	if len(q.c.Zones) > 0 && !has(q.c.Zones, e.Zone) || len(q.c.Kinds) > 0 && !has(q.c.Kinds, e.Kind) {
		return false // rule: placement
	}
	if q.mayRun != nil && (q.effect == Unsafe || q.effect == Keyed &&
		(f.windowOver(q) || q.c.Group == GroupZone && q.mayRun.Zone != e.Zone ||
			q.c.Group == GroupCell && q.mayRun.Cell != e.Cell)) {
		return false // rule: effects
	}
	return f.coldRoom(e, q)
}

// rationed tells whether one more attempt past the first fits the ration.
func (f *Front) rationed() bool {
	if !f.s.Rationed {
		return true
	}
	w := f.s.RationWindow
	may := f.s.RationFree + f.s.RationShare*f.taken.sum(f.now-w+f.checkEvery)
	return f.further.sum(f.now-w-f.checkEvery)+1 <= may
}

// send is the one place that sends; every rule is checked here, whatever path led to it.
func (f *Front) send(q *request, e *engine, t float64) bool {
	switch {
	case q.ended, q.sends >= max(f.s.MaxAttempts, 1),
		len(q.out) > 0 && !(f.s.TwoAttempts && q.effect == Safe),
		!f.allowed(e, q), // drains, effects, cold engines, placement
		q.key != nil && (q.key.line[0] != q || f.now < q.key.restUntil), // order
		q.sends > 0 && !f.rationed():                                    // ration
		return false
	}
	if q.sends > 0 {
		f.further.add(f.now, 1)
		f.settle(q)
	}
	rank, grant := f.rank(q), 0.0
	// Danger: estimates of memory too low by class make queries spill; their extra work then fills the disks.
	if f.s.GrantsHeeded && f.s.NotePeriod > 0 { // spills are told
		grant = q.Mem * q.c.grant
	}
	if f.s.RanksHeeded && rank != 1 || grant > 0 {
		f.do(Terms{q.ID, rank, grant})
	}
	f.do(Send{Request: q.ID, Engine: e.ID, NotAfter: f.windowEnd(q)})
	a := &attempt{q: q, e: e, n: q.sends, rank: rank, sent: f.now, expect: t, warm: f.warmOn(e, q),
		light: f.load(e) < lightLoad, scale: f.scale(e, q.c.Threads), base: f.work(q) / q.c.Threads}
	a.note = a.sent
	q.sends++
	q.out = append(q.out, a)
	e.out = append(e.out, a)
	e.threads += q.c.Threads
	f.threads += q.c.Threads
	f.byRank[rank] += q.c.Threads
	e.tables[q.Tables] = f.now
	e.abroad = append(e.abroad, abroad{f.now, q.c.Threads, math.Max(t, 1)})
	if q.density < f.meanDensity() { // few and costly
		f.tell(e, packNews(newsSend, e, q.c.Threads, t/newsLong, 0))
	}
	e.coldSent.add(f.now, math.Max(f.work(q), q.c.work))
	return true
}

// windowEnd is until when a request that may have run may be sent again, as a connection for it may come up
// late. 0: no bound.
func (f *Front) windowEnd(q *request) float64 {
	if q.mayRun == nil || q.effect != Keyed {
		return 0
	}
	return q.mayRunAt + q.c.Window
}

// outcome handles the end of an attempt.
func (f *Front) outcome(o Outcome) {
	q := f.requests[o.Request]
	if q == nil {
		return
	}
	a := f.drop(q, o.Attempt)
	if a == nil {
		return
	}
	e, c := a.e, q.c
	f.heed(e, o.Report)
	switch o.Result {
	case OK:
		f.learn(a, o)
		v := q.worth
		if f.now > q.aimAt {
			v *= c.LateWorth
		}
		f.earned.add(f.now, v, earnSpan)
		if !a.spilt {
			c.grant = math.Max(c.grant*grantDown, 1/clip)
		}
		if q.slow > 0 {
			c.regain, c.regainAt = f.regain(c)+(math.Min(o.Took/q.slow, 2)-f.regain(c))*regainLearn, f.now
		}
		e.heard, e.okAt, e.fails, e.errors = f.now, f.now, 0, 0
		delete(e.ills, c)
	case Full: // danger: an engine that takes nothing answers at once and, with nothing of ours, looks idle
		e.heard = f.now
		if f.sicken(e, c); f.now-e.okAt > trialFirst {
			f.fail(e)
		}
	case Error, Reset:
		// Danger: an engine that fails fast looks idle and draws all traffic. A single reset may be a poor
		// link.
		if o.Result == Error {
			e.heard = f.now
		}
		if f.blame(q, e); e.ill(c).errors >= errorsBad {
			f.sicken(e, c)
		}
		if e.errors >= errorsBad {
			f.fail(e)
			if o.Result == Reset {
				e.backAt = e.badUntil
			}
		}
	case ConnectFailed:
		f.fail(e)
		e.backAt = e.badUntil
	case Rejected:
		q.rejected = true
	}
	if o.Result.MayHaveRun() && q.mayRun == nil {
		q.mayRun, q.mayRunAt = e, a.sent
	}
	if o.Result == Timeout || o.Result == Reset || o.Result == Cancelled {
		q.unproved = true
		f.settle(q)
	}
	switch {
	case q.ended || o.Ended:
		f.end(q)
	case len(q.out) > 0: // another attempt is still out
	case f.poison(q):
		f.giveUp(q, ReasonFaulty)
	case q.mayRun != nil && q.effect == Unsafe:
		f.giveUp(q, ReasonMayHaveRun)
	case o.Result == Timeout && f.now >= q.Deadline-f.lastCall:
		f.giveUp(q, ReasonDeadline)
	default:
		f.queue(q)
	}
}

// settle rests the key of a request whose attempt ended with no proof. Danger: nobody else knows that it is
// taken for over before the next one goes, or the final answer: the rest counts from then.
func (f *Front) settle(q *request) {
	if q.key != nil && q.unproved {
		q.key.restUntil = math.Max(q.key.restUntil, f.now+f.s.OrderSettle)
	}
}

// move cancels an attempt so that its request can go elsewhere, where class, ration and our own bound on such
// moves allow it.
func (f *Front) move(a *attempt) {
	q := a.q
	if !f.s.CanCancel || a.cancelled || q.ended || q.effect != Safe {
		return
	}
	if q.sends >= f.s.MaxAttempts || !f.rationed() ||
		f.moves.sum(f.now-moveWindow) >= moveFree+moveShare*f.taken.sum(f.now-moveWindow) {
		return
	}
	f.moves.add(f.now, 1)
	q.moved++
	f.cancel(a)
}

func (f *Front) cancel(a *attempt) {
	if f.s.CanCancel && !a.cancelled {
		a.cancelled = true
		f.do(Cancel{a.q.ID, a.n})
	}
}

// giveUp gives the final answer at once: a refusal with advice where a new try does no harm, else a failure.
func (f *Front) giveUp(q *request, why Reason) {
	f.settle(q)
	if !f.poison(q) && f.harmless(q) {
		// The advice is spread by lot: those refused at once must not all be back at once.
		advice := f.s.MaxAdvice * adviceShare * (0.5 + f.rng.Float64())
		if !f.s.CanAdvise {
			advice = 0
		}
		f.do(Refuse{q.ID, advice, why})
	} else {
		f.do(Fail{q.ID, why})
	}
	f.end(q)
}

// harmless tells whether a client's new try of a request does no harm now.
func (f *Front) harmless(q *request) bool {
	first := q.mayRunAt
	if q.mayRun == nil {
		if len(q.out) == 0 {
			return true
		}
		first = q.out[0].sent
	}
	inWindow := f.now < first+q.c.Window-f.checkEvery
	return q.effect == Safe || q.effect == Keyed && q.c.Group == GroupAll && inWindow
}

// windowOver tells that a keyed request may have run, and that no engine drops a repeat of it any more.
func (f *Front) windowOver(q *request) bool {
	return q.mayRun != nil && q.effect == Keyed && f.now >= q.mayRunAt+q.c.Window-f.checkEvery
}

// abandon calls off what is out of a request and gives it up.
func (f *Front) abandon(q *request, why Reason) {
	if q == nil || q.ended {
		return
	}
	f.cancelAll(q)
	f.giveUp(q, why)
}

// gone calls off what is out of a request whose client has left, and ends it: no answer is owed.
func (f *Front) gone(q *request) {
	if q == nil || q.ended {
		return
	}
	f.cancelAll(q)
	f.end(q)
}

// cancelAll keeps work that no client waits for any more from staying on the engines.
func (f *Front) cancelAll(q *request) {
	for _, a := range q.out {
		f.cancel(a)
	}
}

// leave gives all open requests up, in the order of their ids: equal events give equal actions.
func (f *Front) leave() {
	for _, id := range slices.Sorted(maps.Keys(f.requests)) {
		f.abandon(f.requests[id], ReasonShutdown)
	}
}
