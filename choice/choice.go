package choice

// The decision module; choice/api.go is its interface, choice/state.go its bookkeeping. The design's five
// points are (1) to (5) below; what goes beyond is marked "departure" or names the danger that it is there
// for.

import (
	"math"
	"slices"
)

const (
	// Design defaults.
	warmFor      = 30000.0 // ms: a table group counts as warm where we sent it this lately (1)
	alpha        = 0.8     // share: warm must promise less than this much of the best fallback time (3)
	beta         = 0.2     // share of the time to the deadline kept as safety margin (5)
	checkEvery   = 100.0   // ms: longest time between checks of what is held (4); scaled, see pace
	threadsACore = 2.0     // threads a core, over all fronts, up to which an engine has room (4)
	// Ours: predictor.
	learnFactor  = 0.15    // weight of one outcome in an engine's factor
	learnWork    = 0.03    // least weight of one outcome in a class's mean work
	clip         = 12.0    // ratio: one outcome counts as at most this much too slow or too fast
	near         = 0.3     // share by which predictions may differ and count as equal, with many fronts
	forget       = 15000.0 // ms: a factor not heard of drifts back to the average (no lingering blame)
	threadsBusy  = 1.3     // threads that keep a core busy, as part of their time goes to disks
	shareBusy    = 0.85    // load to share of disks or memory: these may be fuller than cores
	reportLife   = 3000.0  // ms: older load reports are not believed
	grantFirst   = 1.25    // grant to the estimate of memory: what an engine chooses by itself
	grantUp      = 0.25    // power of what a spilling query misses by which its class's grants grow
	grantDown    = 0.97    // ratio by which one that does not spill lowers them
	memoryFull   = 0.95    // share of an engine's memory in use from which it has no room
	grantOver    = 1.5     // grant that an engine chooses by itself, to what such a query usually needs
	memoryLife   = 3000.0  // ms for which such a report keeps an engine closed
	priorAim     = 1.0 / 3 // share of the aim that a class's latency is taken to be before any is known
	defaultCores = 8.0     // cores of a machine whose kind the settings do not know
	crossPenalty = 1.03    // ratio: tie-breaker against crossing zones where that has a price
	crossQuiet   = 0.5     // ratio added to it as the fleet's reported load falls from full to none
	idleLoad     = 0.7     // reported load below which an engine's room may be overshot by a whole query
	quietLoad    = 0.55    // reported load below which it has more room: our peers use less than their part
	idleRoom     = 1.3     // ratio: how much more
	lightLoad    = 0.55    // load under which an answer shows what a class takes on an engine not crowded
	manyFronts   = 4.0     // fronts from which peers' sends, not our own, decide what an engine keeps warm
	windowSize   = 8       // engines that a front works with, with many fronts
	reportLag    = 300.0   // ms by which a report is older than its coming
	homeSlack    = 1.5     // engines that keep a table group warm, to those that its traffic needs
	homePrior    = 20.0    // requests that must have come before they tell a table group's part
	fullLoad     = 0.8     // mean reported load at which a front's part of the fleet's room stays as it is
	openLoad     = 1.0     // load up to which it is open to all
	closedLoad   = 1.4     // load of an engine from which it gets nothing more
	growPower    = 2.0     // power of the load's distance from that by which it grows or shrinks
	growLeast    = 0.6     // ratio: least change of the part
	growMost     = 1.6     // ratio: most change: one front may have more than its even part
	unevenFrom   = 2.0     // times its even share from which a front's share follows what it is asked for
	askSpan      = 10000.0 // ms over which a front's share of the traffic is measured
	partSpan     = 3000.0  // ms over which a front's threads out count against its part of the room
	partBurst    = 2.0     // times its part that it may have out at a moment
	crowdedAt    = 1.7     // ratio of an engine's answers to light ones from which its room shrinks
	crowdedLeast = 0.6     // share of the room that is left at least
	crowdedFade  = 0.97    // weight of an engine's past answers at each further one
	// Ours: health.
	silentTimes  = 3.0     // times its expected latency that an engine may be silent before it looks slower
	hungTimes    = 8.0     // times its expected latency after which a silent engine is taken to hang
	hungLeast    = 400.0   // ms: and at least this long
	trialFirst   = 400.0   // ms: first pause of an engine that failed, doubled by each further failure
	trialMost    = 4000.0  // ms: longest such pause
	errorsMost   = 3       // engines on which a request may fail before it is taken to be at fault itself
	erredAway    = 4.0     // ratio by which an engine's prediction grows for a request that failed there
	errorsBad    = 3       // errors in a row that make an engine suspect
	lostMoves    = 2       // moves of a request for that reason: it may just be heavy
	tailShare    = 0.97    // share of a class's answers that come sooner than its high percentile
	tailFirst    = 4.0     // times the expected latency: that percentile before any is known
	tailLearn    = 0.3     // step of its logarithm
	lockSpan     = 0.5     // times a load's usual time: the wait of what stands still behind one
	lockMark     = 100.0   // ms for which a table group is taken to be held once a query waits for it
	heldScarce   = 0.9     // share of the requests that a front can hold from which their places are scarce
	loadPlaces   = 3.0     // places that a load counts for, as others stand still behind it
	earnSpan     = 5000.0  // ms over which it is measured what a place earns
	loadAway     = 4.0     // ratio by which a load's prediction grows away from its table group's homes
	lostFirst    = 1.6     // note periods without word after which a new attempt is taken to be lost
	lostNext     = 1.15    // the same after its first note
	badPlan      = 4.0     // ratio: an attempt heading for this many fresh predictions is started anew
	badGuess     = 7.0     // the same where queries carry no estimate
	regainFirst  = 0.3     // share of a slow attempt's length that a fresh one is first thought to take
	regainLearn  = 0.2     // weight of one fresh start in what is known of that share
	regainForget = 20000.0 // ms in which that knowledge fades, so that it is tried again
	moveFree     = 3.0     // attempts that we may give up on ourselves ...
	moveShare    = 0.25    // ... plus this share of the requests taken ...
	moveWindow   = 5000.0  // ms, ... in this time: no retry storm
	// Ours: sharing and refusals.
	coldSafety  = 0.8    // share of a front's part of a cold engine's budget that is used
	turnSafety  = 0.4    // share of it that is used where fronts take turns: a window may touch two slots
	busyShare   = 0.85   // share of its cores that is an engine's capacity
	quotaSlack  = 0.2    // share of its quota by which a tenant's traffic may be uneven over the fronts
	quotaSpan   = 5000.0 // ms over which a tenant's traffic is compared with its quota
	quotaChance = 3.0    // requests of a tenant above its quota in that time that may be chance
	quotaFar    = 0.2    // share within its quota below which a tenant's requests get the lowest priority
	denser      = 1.2    // ratio to the mean worth per work from which a class goes first on an engine
	adviceShare = 0.5    // share of the longest come-back advice that a refusal gives
	lookMost    = 96     // held requests looked at between two full checks
	probeEvery  = 500.0  // ms between probes of an engine
	probeShare  = 0.5    // probes a request taken, at most
	probeFresh  = 300.0  // ms: an engine heard of this lately needs no probe
	tellShare   = 1.0    // full messages to peers a request taken, at most
	probeWait   = 15.0   // ms that a costly query waits for its probes
	unknownAim  = 1000.0 // ms: aim of a class that the settings do not name
	lastCall    = 120.0  // ms before its deadline by which an unsent request is answered
)

// Step takes what happened at one time and returns what to do.
func (f *Front) Step(now float64, events []Event) []Action {
	f.now, f.acts = now, nil
	for _, ev := range events {
		switch ev := ev.(type) {
		case EngineList:
			f.list(ev)
		case Request:
			f.take(ev)
		case Outcome:
			f.outcome(ev)
		case Note:
			f.note(ev)
		case Gone:
			if q := f.requests[ev.Request]; q != nil {
				// Danger: clients that leave early would leave their work on the engines, where it serves no
				// one.
				for _, a := range q.out {
					f.cancel(a)
				}
				f.end(q)
			}
		case Timer:
			if f.wakeAt <= now+1 { // danger: a clock rounded down must not leave us without a timer
				f.wakeAt = math.Inf(1)
			}
		case Probed:
			f.probed(ev)
		case Told:
			f.told(ev)
		case Leaving:
			f.leave()
		}
	}
	f.averages()
	f.shares()
	for r := range f.meanOut {
		f.meanOut[r] += (f.byRank[r] - f.meanOut[r]) * (1 - math.Exp((f.meanOutAt-now)/partSpan))
	}
	f.meanOutAt = now
	full := now >= f.sweepAt
	if full {
		f.sweepAt = now + f.checkEvery
		f.sweep()
	}
	f.dispatch(full)
	f.wake(f.sweepAt)
	return f.acts
}

// list keeps the engine list. A broken subscription is asked for again, ever later, but in time for the drain
// rule.
func (f *Front) list(ev EngineList) {
	if ev.Broken {
		f.asked = false
		f.askPause = math.Max(trialFirst, math.Min(2*f.askPause, f.s.AskEvery/4))
		f.askAt = f.now + f.askPause*(1+f.rng.Float64())/2
		return
	}
	f.askPause = 0
	f.listing++
	if ev.Whole {
		for _, e := range f.engines {
			e.listed = false
		}
	}
	for _, x := range ev.Engines {
		e := f.engine(x)
		if x.Started > e.Started { // restarted: what it kept warm and how it failed is of the past
			e.tables, e.fails, e.badUntil = map[string]float64{}, 0, 0
		}
		e.Engine, e.listed, e.seen = x, x.Status == Healthy, f.now
	}
	f.renew()
	f.window = append(f.window[:0:0], f.candidates()...)
}

// take accepts a request.
func (f *Front) take(r Request) {
	f.taken.add(f.now, 1)
	f.tookAll++
	c := f.class(r.Class)
	q := &request{Request: r, c: c, effect: effect(r, c), arrived: f.now, probedAt: math.Inf(-1)}
	q.worth = c.Worth
	if t := f.tenants[r.Tenant]; t != nil && t.Quota > 0 {
		// Past its quota a tenant's requests are worth little. Which of them no front can tell alone: each is
		// worth their mean. Danger: a front among many sees few of a tenant; some more are chance, no burst.
		t.tokens = t.tokens*math.Exp((t.at-f.now)/quotaSpan) + 1
		t.at = f.now
		quota := t.Quota / 1000 / f.fronts * quotaSpan
		within := (quota + math.Max(quotaChance, quotaSlack*quota)) / t.tokens
		if within < 1 {
			q.worth *= within + (1-within)*f.s.OverWorth
			q.over = within < quotaFar
		}
	}
	f.count(r.Tables, c.Load)
	f.asking, f.askingAt = f.asking*math.Exp((f.askingAt-f.now)/askSpan)+c.work, f.now
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

// queue puts a request among those waiting: worth per predicted work, then slack, decide who goes next.
func (f *Front) queue(q *request) {
	if q.Deadline-f.now < f.lastCall { // danger: a client's next try may come with hardly any time left
		f.giveUp(q)
		return
	}
	q.density = q.worth / f.work(q)
	q.aimAt = math.Min(q.arrived+q.c.Aim+q.c.AimStretch*f.work(q)/q.c.Threads, q.Deadline)
	q.held = -1
	f.insert(q)
}

// work predicts a query's work: its estimate, corrected for its class, or the class's mean (2).
func (f *Front) work(q *request) float64 {
	if w := q.Work * q.hint(); w > 0.01 && w < 1e9 { // nonsense estimates count as none
		return w
	}
	return q.c.work
}

// scale is how much an engine's load slows a query (2): by our threads over its cores and reported
// utilisation, else by what we have there ourselves, taking our peers to be alike.
func (f *Front) scale(e *engine, threads float64) float64 {
	own := (e.threads + threads) / e.cores
	return (1 + own) * (1 + f.load(e))
}

// load is the load of an engine: its report, which with age gives way to the fleet's mean. Departure: a front
// among many sees each engine too seldom, and an attempt of its own there says little about its peers.
func (f *Front) load(e *engine) float64 {
	own := e.threads / e.cores
	age := f.now - e.reportAt
	if f.meanAt < f.now-reportLife && age > reportLife {
		return own + (f.fronts-1)*(f.ownMean+(own-f.ownMean)/f.fronts)
	}
	return math.Max(own, f.meanLoad+(e.report-f.meanLoad)*math.Exp(-age/reportLife)+f.since(e))
}

// since is what an engine's load has grown by since its last report, by what we and, as they tell, our peers
// sent it. Danger: reports are old when they come; a few costly queries of as many fronts fill an engine
// unseen.
func (f *Front) since(e *engine) float64 {
	from, threads := e.reportAt-reportLag, 0.0
	for _, a := range e.abroad { // our own are among them
		if a.at > from && f.many && f.s.CanTell {
			threads += a.threads * math.Exp((a.at-f.now)/a.long)
		}
	}
	return threads / e.cores / threadsACore
}

// factor is an engine's learned slowness, warm or cold (2). One not heard of counts as average; one not heard
// of for long drifts back there.
func (f *Front) factor(e *engine, warm bool) float64 {
	x, other, avg, otherAvg := &e.cold, &e.warm, f.avgCold, f.avgWarm
	if warm {
		x, other, avg, otherAvg = other, x, otherAvg, avg
	}
	v := avg
	if x.n > 0 {
		v = avg + (x.v-avg)*math.Exp((x.at-f.now)/forget)
	} else if other.n > 0 {
		v = avg * (1 + (other.v/otherAvg-1)*math.Exp((other.at-f.now)/forget))
	}
	// Danger: a hung engine answers nothing, so its factor would stay flattering. While it owes answers, its
	// silence is a lower bound on its latency. Covers cut links and stopped machines.
	return v * math.Max(f.silence(e)/silentTimes, 1)
}

// silence is how many answers an engine should have given since it last gave word.
func (f *Front) silence(e *engine) float64 {
	missed := 0.0
	for _, a := range e.out {
		missed += (f.now - math.Max(e.heard, a.sent)) / math.Max(a.expect, 1)
	}
	return missed
}

// predict is the predicted latency of a query on an engine (2).
func (f *Front) predict(e *engine, q *request, warm bool) float64 {
	p := f.work(q) / q.c.Threads * f.factor(e, warm) * f.scale(e, q.c.Threads)
	if e.Zone != f.s.Zone && f.s.CrossZonePrice > 0 {
		p *= crossPenalty + crossQuiet*math.Max(0, 1-f.meanLoad/fullLoad)
	}
	// Danger: loads on every engine hold a table group everywhere, and its readers stand still at all.
	if q.c.Load && !f.many && !slices.Contains(f.homes(q), e) {
		p *= loadAway
	}
	if q.c.Load || q.c.Waits { // a load holds its tables on its engine: what needs them stands still there
		wait := 0.0
		for _, a := range e.out { // the last one's expected time has those ahead of it in it
			if a.q.c.Load && a.q.Tables == q.Tables {
				wait = math.Max(wait, math.Max(a.expect-(f.now-a.sent), a.expect/4))
			}
		}
		p += wait
		switch { // danger: a peer's load is not seen; only what waits for it tells
		case e.locked[q.Tables] > f.now:
			p += f.lockWait()
		case !q.c.Load && !f.many && slices.Contains(f.homes(q), e):
			p += f.lockWait() * f.loadShare(q)
		}
	}
	return p
}

// scarce tells that this front holds about as many requests as it can: what it keeps keeps others out.
func (f *Front) scarce() bool {
	return f.s.MostHeld > 0 && float64(len(f.requests)) >= heldScarce*float64(f.s.MostHeld)
}

// lockWait is how long a query usually stands still behind a load.
func (f *Front) lockWait() (span float64) {
	for _, c := range f.classList {
		if c.Load {
			span = math.Max(span, lockSpan*math.Max(c.light, c.work/c.Threads))
		}
	}
	return span
}

// earns tells whether a request is worth its place for so long; where not, others would earn more in it.
// It is asked only where places are scarce.
func (f *Front) earns(q *request, span float64) bool {
	v, rate := q.worth, f.earned.v*math.Exp((f.earned.at-f.now)/earnSpan)/earnSpan
	if f.now+span > q.aimAt {
		v *= q.c.LateWorth
	}
	if q.c.Load {
		rate *= loadPlaces
	}
	return v >= rate/float64(f.s.MostHeld)*span
}

// blocked takes word that an attempt stands still behind a load: it goes where it need not, or gives its
// place up. Danger: client connections are few, and what stands still may hold half of them to its end.
func (f *Front) blocked(a *attempt) {
	q, best := a.q, math.Inf(1)
	a.e.locked[q.Tables] = f.now + lockMark*f.pace
	if a.cancelled || q.ended || q.effect != Safe {
		return
	}
	for _, e := range f.candidates() {
		if e != a.e && f.allowed(e, q) && f.room(e, q) {
			best = math.Min(best, f.predict(e, q, f.warmOn(e, q)))
		}
	}
	switch wait := f.lockWait(); {
	case best < wait && q.sends < f.s.MaxAttempts && f.rationed():
		f.cancel(a)
	case f.scarce() && !f.earns(q, wait):
		f.cancel(a)
		f.giveUp(q)
	}
}

// yield gives up what has taken its place for longer than it is likely to be worth.
func (f *Front) yield() {
	if !f.scarce() {
		return
	}
	for _, e := range f.engines {
		for _, a := range e.out {
			if q := a.q; !q.ended && q.effect != Unsafe && !f.earns(q, f.now-a.sent) {
				f.cancel(a)
				f.giveUp(q)
			}
		}
	}
}

// warmOn tells whether a query's table group counts as warm there: this front sent it there lately (1).
// Departure: one front among many does not keep an engine's tables warm. There a group's homes count as warm,
// on which fronts that share engines agree by rendezvous hash; whether they really are, the factors learn.
func (f *Front) warmOn(e *engine, q *request) bool {
	at, ok := e.tables[q.Tables]
	return f.many && slices.Contains(f.homes(q), e) || !f.many && ok && f.now-at <= warmFor
}

// homes are the engines that come first for a table group, more of them the larger its part of the traffic.
func (f *Front) homes(q *request) []*engine {
	g := f.group(q.Tables)
	if g.list != f.listing {
		g.list, g.order = f.listing, byHash(q.Tables, f.window)
	}
	// Danger: the first requests say nothing of the parts yet.
	share := g.n * math.Exp((g.at-f.groupSum.at)/warmFor) / (f.groupSum.v + homePrior)
	n := 1 + int(math.Ceil(homeSlack*share*float64(len(g.order))))
	return g.order[:min(n, len(g.order))]
}

// candidates are the engines looked at for a query. Departure: with many fronts each works with a window on
// the ring of engines at its number's place: each engine has its even share of fronts, and these hear of it
// often.
func (f *Front) candidates() []*engine {
	if !f.many {
		return f.engines
	}
	f.cands = f.cands[:0]
	for i := 0; i < len(f.ring) && len(f.cands) < windowSize; i++ {
		if e := f.ring[(f.first(f.s.Front)+i)%len(f.ring)]; e.fails < 2 {
			f.cands = append(f.cands, e)
		}
	}
	return f.cands
}

// first is the place in the ring at which a front's window begins.
func (f *Front) first(front int) int {
	return int(float64(front) * float64(len(f.ring)) / f.fronts)
}

// room is the room test (4): under two threads a core over the gateway count, floored at one query's threads.
// Departure: it also binds fallbacks, since total work falls past a knee. A failed engine gets one attempt.
func (f *Front) room(e *engine, q *request) bool {
	if e.fails > 0 && len(e.out) > 0 || f.many && !f.partLeft(q) || f.full(e) {
		return false
	}
	// Danger: many fronts act on the same news of an engine that has filled up since. So the fuller it was,
	// the fewer queries may go there: a lot by query and engine, the same each time.
	if f.many && f.s.Pages && (f.load(e)-openLoad)/(closedLoad-openLoad) > hash01(e.hash, hash(q.ID)) {
		return false
	}
	limit, over := threadsACore*e.cores*f.coldShare(e)*f.share, q.c.Threads/2
	if e.reportAt > f.now-reportLife && e.report < idleLoad { // else many, each over by one, crowd it
		over = math.SmallestNonzeroFloat32
		if e.report < quietLoad {
			limit *= idleRoom
		}
	}
	// Danger: an engine crowded for memory or disks may look idle; its answers then take far longer than
	// usual.
	if s := e.took / math.Max(e.tookLight, 1); s > crowdedAt {
		limit *= math.Max(crowdedAt/s, crowdedLeast)
		over = q.c.Threads // nor is it overshot by part of a query
	}
	return e.threads+over <= math.Max(limit, q.c.Threads)
}

// partLeft keeps what this front has out to its part of the fleet's room. Danger: a part is a query or two,
// and chance would fill it: its mean counts. Danger: queries that give way must not keep those waiting that
// go first: lower priorities take no room, unless memory is short first.
func (f *Front) partLeft(q *request) bool {
	out, mean := 0.0, 0.0
	for r := range f.byRank {
		if !f.s.RanksHeeded || f.s.Pages || r >= f.rank(q) {
			out, mean = out+f.byRank[r], mean+f.meanOut[r]
		}
	}
	part := f.part * f.grow
	return mean <= part && out+q.c.Threads/2 <= math.Max(partBurst*part, q.c.Threads)
}

// shares finds this front's share of the traffic: the work that it is asked for against what the fleet has in
// hand, which reports tell. Danger: a few fronts may bring most of it; an even part turns it away from idle
// engines.
func (f *Front) shares() {
	f.share = 1 / f.fronts
	cores, room, heard, sum := 0.0, 0.0, 1e-9, 0.0
	f.byRank = [ranks]float64{}
	for _, e := range f.usable {
		cores += e.cores
		g := f.gives(e)
		room += g
		for _, a := range e.out {
			f.byRank[a.rank] += a.q.c.Threads
		}
		if w := e.cores * math.Exp((e.reportAt-f.now)/reportLife); w > 0 {
			heard, sum = heard+w, sum+w*e.report
		}
	}
	if f.meanAt > f.now-reportLife && sum > 0 {
		f.meanLoad = sum / heard
		// Our part of the room grows while the fleet has room left, whoever leaves it, and shrinks again.
		f.grow = math.Max(growLeast, math.Min(math.Pow(fullLoad/f.meanLoad, growPower), growMost))
	}
	if f.many && f.meanAt > f.now-reportLife {
		u := f.asking * math.Exp((f.askingAt-f.now)/askSpan) / askSpan
		if u /= math.Max(f.meanLoad*cores*threadsBusy, 1); u > unevenFrom*f.share { // less may be chance
			f.share = math.Min(u, 1)
		}
	}
	f.part = threadsACore * room * f.share
}

// gives is what an engine adds to the fleet's room, in cores: one that failed twice would burden the others.
func (f *Front) gives(e *engine) float64 {
	if e.fails > 1 || f.full(e) {
		return 0
	}
	return e.cores * f.coldShare(e)
}

func (f *Front) full(e *engine) bool {
	return f.s.Pages && e.memory > memoryFull && e.reportAt > f.now-memoryLife
}

// coldShare is the part of its capacity that an engine is sure to have, given its start.
func (f *Front) coldShare(e *engine) float64 {
	age := (f.now - math.Max(e.Started, e.backAt)) / math.Max(f.s.WarmAfter, 1)
	if math.Max(e.Started, e.backAt) <= 0 || age >= 1.1 {
		return 1
	}
	age = math.Max(0, math.Min(age, 1))
	return f.s.ColdFrom + (1-f.s.ColdFrom)*age
}

// dispatch decides on waiting requests, those first that are worth most per work.
func (f *Front) dispatch(all bool) {
	n := len(f.waiting)
	if !all && n > lookMost {
		n = lookMost
	}
	kept := f.waiting[:0]
	for i, q := range f.waiting {
		if i < n && !q.ended {
			f.decide(q)
		}
		if !q.ended && len(q.out) == 0 {
			kept = append(kept, q)
		} else {
			q.waiting = false
		}
	}
	clear(f.waiting[len(kept):])
	f.waiting = kept
}

// decide is the design's path for one waiting request.
func (f *Front) decide(q *request) {
	if q.Deadline-f.now < f.lastCall || q.sends >= max(f.s.MaxAttempts, 1) {
		f.giveUp(q)
		return
	}
	if f.many && q.sends == 0 && q.probedAt < q.arrived && q.density < f.meanDensity() && f.s.ProbeReports {
		q.probedAt = f.now - probeWait
		if f.probe(f.candidates()) {
			q.probedAt = f.now
			f.wake(f.now + probeWait)
		}
	}
	if f.now < q.probedAt+probeWait {
		return
	}
	type best struct {
		e *engine
		t float64
	}
	none := best{t: math.Inf(1)}
	local, fall, localRoom, fallRoom, open := none, none, none, none, none
	better := func(b *best, e *engine, t float64, may bool) {
		if may && t < b.t {
			*b = best{e, t}
		}
	}
	for _, e := range f.candidates() {
		if !f.allowed(e, q) {
			continue
		}
		warm := f.warmOn(e, q)
		// Danger: fronts that all take the first among equals, or all believe the same stale report, crowd
		// it. So near-equals are drawn by lot.
		t := f.predict(e, q, warm) * (1 + near*f.lot*f.rng.Float64())
		if slices.Contains(q.erred, e) {
			t *= erredAway
		}
		room := f.room(e, q)
		better(&local, e, t, warm)
		better(&localRoom, e, t, warm && room)
		better(&fall, e, t, !warm)
		better(&fallRoom, e, t, !warm && room)
		better(&open, e, t, room)
	}
	if fall.e == nil { // (1) if all are local, all are fallbacks
		fall, fallRoom = local, localRoom
	}
	least := math.Min(local.t, fall.t)
	if f.scarce() && !math.IsInf(least, 1) && !f.earns(q, least) {
		f.giveUp(q)
		return
	}
	switch {
	case local.e == nil || local.t >= alpha*fall.t: // (3)
		if fallRoom.e != nil && f.send(q, fallRoom.e, fallRoom.t) {
			return
		}
	case localRoom.e != nil && localRoom.t < alpha*fall.t: // (4)
		if f.send(q, localRoom.e, localRoom.t) {
			return
		}
	default:
		if q.held < 0 {
			q.held = f.now
		}
		slack := (q.Deadline-f.now)*(1-beta) - fall.t
		gain := fall.t - local.t - (f.now - q.held)
		if slack > 0 && gain > 0 {
			f.wake(f.now + math.Min(slack, gain))
			return
		}
		if fallRoom.e != nil && f.send(q, fallRoom.e, fallRoom.t) { // (5)
			return
		}
	}
	if open.e != nil && f.send(q, open.e, open.t) { // departure: the best one has no room, another has
		return
	}
	// Overload: what can no longer meet its aim and finds no room is refused early, not run in vain.
	if math.IsInf(least, 1) { // no engine may take it now: wait for one as long as the aim allows
		least = f.work(q) / q.c.Threads
	}
	late := q.c.LateWorth > 0 && (open.e != nil || !f.scarce()) // late is better than never
	if !late && f.now+least > q.aimAt || late && f.now+least > q.Deadline {
		f.giveUp(q)
	}
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
		(f.now-q.mayRunAt >= q.c.Window-f.checkEvery || q.c.Group == GroupZone && q.mayRun.Zone != e.Zone ||
			q.c.Group == GroupCell && q.mayRun.Cell != e.Cell)) {
		return false // rule: effects
	}
	return f.coldRoom(e, q)
}

// coldRoom keeps a cold engine's budget in any window, by all fronts, well inside the rule's. Danger: a
// front's part of it may fit no query. So in each slot of time as many fronts as it has whole queries may
// send, by turns.
func (f *Front) coldRoom(e *engine, q *request) bool {
	share := f.coldShare(e)
	if share >= 1 || f.s.FallMultiple <= 0 {
		return true
	}
	budget := f.s.FallMultiple * share * busyShare * e.cores * f.s.FallFor
	part := budget * coldSafety / f.fronts
	work, whole := math.Max(f.work(q), q.c.work), 0.0 // the mean work of the class that takes most
	for _, c := range f.classList {
		whole = math.Max(whole, c.work)
	}
	if part < whole {
		part = whole
		slot, turns := uint64(f.now/f.s.FallFor), budget*turnSafety/whole // fronts on turn
		if math.Mod(float64(f.s.Front)+f.fronts*hash01(e.hash, slot), f.fronts) >= turns || work > budget {
			return false
		}
	}
	return e.coldSent.sum(f.now-1.2*f.s.FallFor)+work <= part
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
	}
	rank, grant := f.rank(q), 0.0
	// Danger: estimates of memory too low by class make queries spill; their extra work then fills the disks.
	if f.s.GrantsHeeded && f.s.NotePeriod > 0 { // spills are told
		grant = q.Mem * q.c.grant
	}
	if f.s.RanksHeeded && rank != 1 || grant > 0 {
		f.do(Terms{q.ID, rank, grant})
	}
	f.do(Send{q.ID, e.ID, 0})
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

// rank is a query's priority on its engine: dense worth first, what is past its aim or share last.
func (f *Front) rank(q *request) int {
	switch {
	case q.over || f.now > q.aimAt:
		return 0
	case q.c.Worth/f.work(q) > denser*f.meanDensity(): // whose it is decides the turn, not the priority
		return 3
	case q.c.Load || q.key != nil && len(q.key.line) > 1: // others stand still behind it
		return 2
	}
	return 1
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
		f.earned.v, f.earned.at = f.earned.v*math.Exp((f.earned.at-f.now)/earnSpan)+v, f.now
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
	}
	if o.Result > Moot && o.Result != OK && q.mayRun == nil {
		q.mayRun, q.mayRunAt = e, a.sent
	}
	if q.key != nil && (o.Result == Timeout || o.Result == Reset || o.Result == Cancelled) {
		q.key.restUntil = math.Max(q.key.restUntil, f.now+f.s.OrderSettle)
	}
	switch {
	case q.ended || o.Ended:
		f.end(q)
	case len(q.out) > 0: // another attempt is still out
	case q.mayRun != nil && q.effect == Unsafe, f.poison(q),
		o.Result == Timeout && f.now >= q.Deadline-f.lastCall:
		f.giveUp(q)
	default:
		f.queue(q)
	}
}

// fail pauses an engine; each further failure doubles the pause, one attempt then tries it again.
func (f *Front) fail(e *engine) {
	if f.now < e.badUntil {
		return
	}
	e.badUntil = f.now + f.pause(e.fails)
	e.fails++
}

func (f *Front) pause(fails int) float64 {
	return math.Min(trialFirst*math.Pow(2, float64(fails)), trialMost) * (1 + f.rng.Float64()/4)
}

// learn takes an answer into the class's mean work and the engine's factor (2), bounded against nonsense.
func (f *Front) learn(a *attempt, o Outcome) {
	c, base := a.q.c, a.base
	work := o.Took / a.scale * c.Threads
	if o.Work > 0 {
		work, base = o.Work, o.Work/c.Threads
		if h := a.q.Work; h > 0.01 && h < 1e9 && !a.q.Learned {
			c.hintRatio += (bound(o.Work/h, clip) - c.hintRatio) * learnWork
		}
	}
	step := tailShare - 1
	if o.Took > c.tail*a.expect {
		step = tailShare
	}
	c.tail *= math.Exp(tailLearn * step)
	if a.light {
		c.nLight++
		c.light += (math.Min(o.Took, math.Max(c.light, 1)*clip) - c.light) * math.Max(learnWork, 1/c.nLight)
	}
	if c.nLight > 0 {
		a.e.took = a.e.took*crowdedFade + math.Min(o.Took, c.light*clip)
		a.e.tookLight = a.e.tookLight*crowdedFade + c.light
	}
	c.n++
	c.work += (math.Min(work, c.work*clip) - c.work) * math.Max(learnWork, 1/(c.n+1))
	x := map[bool]*factor{false: &a.e.cold, true: &a.e.warm}[a.warm]
	r := bound(o.Took/math.Max(base*a.scale, 0.01), clip)
	if x.n++; x.n == 1 {
		x.v = (r + f.factor(a.e, a.warm)) / 2
	} else {
		x.v += (r - x.v) * learnFactor
	}
	x.at = f.now
}

// heed takes a load report.
func (f *Front) heed(e *engine, r Report) {
	switch {
	case r.HasBusy && r.Busy >= 0 || r.HasDiskShare || r.HasMemShare:
		// Danger: an engine out of memory gets nothing done and its cores look idle. What is short first
		// tells.
		e.report = math.Max(r.Busy, shareBusy*math.Max(r.DiskShare, r.MemShare))
		e.report += math.Max(r.Queue, 0) / e.cores
	case r.HasInFlight && r.InFlight >= 0:
		e.report = r.InFlight * f.meanThreads() / e.cores / threadsBusy
	default:
		return
	}
	e.memory = r.MemShare
	if f.s.Pages { // grants lie over the need there; what is in use counts
		e.memory /= grantOver
	}
	e.reportAt = f.now
	f.meanAt = f.now
}

// note takes word on an attempt: it shows that the engine lives and where the attempt is heading.
func (f *Front) note(n Note) {
	q := f.requests[n.Request]
	if q == nil {
		return
	}
	for _, a := range q.out {
		if a.n == n.Attempt {
			if n.Kind == NoteSpill && !a.spilt && q.Mem > 0 { // by the megabytes that it misses
				q.c.grant *= math.Pow(bound(1+n.Level/q.Mem/q.c.grant, clip), grantUp)
			}
			a.e.heard, a.noted, a.spilt = f.now, true, a.spilt || n.Kind == NoteSpill
			if n.Kind == NoteWait && n.Level == 2 {
				f.blocked(a)
			}
			if n.Kind == NoteProgress { // only these come at a steady pace
				a.note = f.now
				if n.Level > 0.001 {
					a.total = (f.now - a.sent) / math.Min(n.Level, 1)
				}
			}
		}
	}
}

// sweep is the regular check of what is out: hung engines, bad plans, probes, the list.
func (f *Front) sweep() {
	for _, e := range f.engines {
		silent := f.silence(e)
		if len(e.out) == 1 { // one silent attempt says little of its engine: its class's tail counts
			silent /= e.out[0].q.c.tail
		}
		hung := silent > hungTimes && f.now-math.Max(e.heard, e.out[0].sent) > f.hungLeast
		if hung {
			f.fail(e)
		}
		for _, a := range e.out {
			fresh := a.base * f.avgCold * a.scale
			// Danger: a bad plan runs many times longer. A fresh attempt is likely to do better, but not
			// twice.
			left := a.total - (f.now - a.sent)
			heavy, again := badPlan, math.Max(2*fresh, 1.5*a.total*f.regain(a.q.c))
			if a.q.Work <= 0 { // with no estimate, a query heavy by itself looks like a bad plan
				heavy = badGuess
			}
			bad := a.total > heavy*fresh && left > again && a.q.moved == 0
			lost := f.lost(a)
			if bad || lost && a.q.slow == 0 {
				a.q.slow = math.Max(a.total, f.now-a.sent)
			}
			if hung || bad || lost {
				f.move(a)
			}
		}
	}
	f.yield()
	f.forget()
	if !f.many { // with many fronts, probes go to a costly query's candidates just before it is sent
		f.probe(f.engines)
	}
	if f.s.Ask && !f.asked && f.now >= f.askAt {
		f.asked = true
		f.do(Subscribe{})
	}
}

// regain is the share of a slow attempt's length that a fresh one takes: small where plans go bad.
func (f *Front) regain(c *class) float64 {
	return regainFirst + (c.regain-regainFirst)*math.Exp((c.regainAt-f.now)/regainForget)
}

// lost tells that an attempt most likely vanished: its notes stay out, or it is silent for longer than nearly
// all answers of its class. It may hurt a very heavy query: without notes, only for first moves.
func (f *Front) lost(a *attempt) bool {
	silent := f.now - math.Max(a.sent, a.note)
	periods := lostNext
	if a.note == a.sent {
		periods = lostFirst
	}
	if f.s.NotePeriod > 0 && silent > math.Max(periods*f.s.NotePeriod, f.hungLeast) {
		return true
	}
	return !a.noted && silent*math.Max(1-f.regain(a.q.c), 0.05) > a.q.c.tail*a.expect && a.q.moved < lostMoves
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

// probe asks engines for their load where reports come no other way, within a share of the traffic.
func (f *Front) probe(engines []*engine) (asked bool) {
	for _, e := range engines {
		if f.s.CanProbe && e.listed && f.now-e.probedAt >= probeEvery && f.now-e.reportAt >= probeFresh &&
			f.probes < probeShare*f.tookAll {
			e.probedAt, asked = f.now, true
			f.probes++
			f.do(Probe{e.ID})
		}
	}
	return asked
}

// told takes a peer's news where they are later than our own.
func (f *Front) told(t Told) {
	f.unpackNews(t.Data, func(kind byte, e *engine, a, b, c float64) {
		at := f.now - c*newsTime
		switch {
		case kind == newsSend:
			e.abroad = append(e.abroad, abroad{f.now, a, math.Max(b*newsLong, 1)})
		case at > e.reportAt && at > math.Max(e.Started, e.backAt):
			e.report, e.memory, e.reportAt = a*newsStep, b*newsStep, at
			f.meanAt = math.Max(f.meanAt, at)
		}
	})
}

// probed takes a probe's result.
func (f *Front) probed(p Probed) {
	e := f.byID[p.Engine]
	if e == nil {
		return
	}
	switch p.Result {
	case OK:
		f.heed(e, p.Report)
		f.tell(e, packNews(newsReport, e, e.report/newsStep, e.memory/newsStep, 0))
	case ConnectFailed, Reset:
		f.fail(e)
		e.backAt = e.badUntil
	}
}

// giveUp gives the final answer at once: a refusal with advice where a new try does no harm, else a failure.
func (f *Front) giveUp(q *request) {
	unrun := q.mayRun == nil && len(q.out) == 0
	if !f.poison(q) && (unrun || q.effect == Safe || q.effect == Keyed && q.c.Group == GroupAll) {
		// The advice is spread by lot: those refused at once must not all be back at once.
		advice := f.s.MaxAdvice * adviceShare * (0.5 + f.rng.Float64())
		if !f.s.CanAdvise {
			advice = 0
		}
		f.do(Refuse{q.ID, advice})
	} else {
		f.do(Fail{q.ID})
	}
	f.end(q)
}

// class finds a class; one never heard of gets careful settings: one try that is never repeated.
func (f *Front) class(name string) *class {
	if c := f.classes[name]; c != nil {
		return c
	}
	return f.addClass(Class{Name: name, Worth: 1, Aim: unknownAim, Effect: Unsafe})
}
