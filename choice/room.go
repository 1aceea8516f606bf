package choice

// Room: what an engine, cold or warm, and this front can still take (4).

import "math"

// scarce tells that this front holds about as many requests as it can: what it keeps keeps others out.
func (f *Front) scarce() bool {
	return f.s.MostHeld > 0 && float64(len(f.requests)) >= heldScarce*float64(f.s.MostHeld)
}

// earns tells whether a request is worth its place for so long; where not, others would earn more in it.
// It is asked only where places are scarce.
func (f *Front) earns(q *request, span float64) bool {
	v, rate := q.worth, f.earned.get(f.now, earnSpan)/earnSpan
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
		f.giveUp(q, ReasonPlaces)
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
				f.giveUp(q, ReasonPlaces)
			}
		}
	}
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
	if q.density > denser*f.meanDensity() { // danger: it would be late behind the few that fill the part
		mean /= partDense
	}
	return mean <= f.part && out+q.c.Threads/2 <= math.Max(partBurst*f.part, q.c.Threads)
}

// shares finds this front's share of the traffic: the work that it is asked for against what the fleet has in
// hand, which reports tell. Danger: a few fronts may bring most of it; an even part turns it away from idle
// engines.
func (f *Front) shares() {
	f.share = 1 / f.fronts
	cores, room, heard, sum := 0.0, 0.0, 1e-9, 0.0
	for _, e := range f.usable {
		cores += e.cores
		g := f.gives(e)
		room += g
		if w := e.cores * math.Exp((e.reportAt-f.now)/reportLife); w > 0 {
			heard, sum = heard+w, sum+w*e.report
		}
	}
	if f.meanAt > f.now-reportLife && sum > 0 {
		f.meanLoad = sum / heard
		// Danger: the cores of engines that run out of memory look idle; their answers tell. Few fronts see
		// their engines well enough, and would turn away what these can still take.
		if f.many {
			f.meanLoad = math.Max(f.meanLoad, fullLoad*f.slowed()/slowFull)
		}
		// Our part of the room grows while the fleet has room left, whoever leaves it, and shrinks again.
		f.grow = math.Max(growLeast, math.Min(math.Pow(fullLoad/f.meanLoad, growPower), growMost))
	}
	if f.many && f.meanAt > f.now-reportLife {
		u := f.asking.get(f.now, askSpan) / askSpan
		if u /= math.Max(f.meanLoad*cores*threadsBusy, 1); u > unevenFrom*f.share { // less may be chance
			f.share = math.Min(u, 1)
		}
	}
	f.part = threadsACore * room * f.share * f.grow
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

// coldRoom keeps a cold engine's budget in any window, by all fronts that use it, well inside the rule's.
// Danger: a front's part of it may fit no query of a class, which would then never go there. So half of it
// goes evenly to queries that fit; the rest by turns, in each slot to the fronts it has whole queries for.
func (f *Front) coldRoom(e *engine, q *request) bool {
	share := f.coldShare(e)
	if share >= 1 || f.s.FallMultiple <= 0 {
		return true
	}
	seat, fronts := f.seat(e)
	if seat >= fronts { // nobody counts with it there
		return false
	}
	budget := f.s.FallMultiple * share * busyShare * e.cores * f.s.FallFor
	part := budget * coldSafety / fronts
	work, whole := math.Max(f.work(q), q.c.work), f.heaviest()
	if part < whole {
		if part /= 2; work > part {
			part = math.Max(whole, work)
			slot, turns := uint64(f.now/f.s.FallFor), budget*turnSafety/part // fronts on turn
			if math.Mod(seat+fronts*hash01(e.hash, slot), fronts) >= turns || work > budget*coldSafety/2 {
				return false
			}
		}
	}
	return e.coldSent.sum(f.now-1.2*f.s.FallFor)+work <= part
}
