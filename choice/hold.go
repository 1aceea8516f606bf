package choice

// Holding: which waiting request goes where, now or later (1, 3 to 5).

import (
	"cmp"
	"math"
	"slices"
	"sort"
)

// queue puts a request among those waiting: worth per predicted work, then slack, decide who goes next.
func (f *Front) queue(q *request) {
	if q.Deadline-f.now < f.lastCall { // danger: a client's next try may come with hardly any time left
		f.giveUp(q, ReasonDeadline)
		return
	}
	q.density, q.late = q.worth/f.work(q), false
	q.aimAt = math.Min(q.arrived+q.c.Aim+q.c.AimStretch*f.work(q)/q.c.Threads, q.Deadline)
	q.held = -1
	i := sort.Search(len(f.waiting), func(i int) bool {
		w := f.waiting[i]
		if w.density != q.density {
			return w.density < q.density
		}
		return w.aimAt > q.aimAt
	})
	f.waiting = slices.Insert(f.waiting, i, q)
	q.waiting = true
}

// demote puts what can no longer meet its aim behind what can, by what it still earns. Danger: after an
// outage, requests that are late already would go ahead of fresh ones, and these would be late in their turn.
func (f *Front) demote() {
	moved := false
	for _, q := range f.waiting {
		if !q.late && f.now+f.work(q)/q.c.Threads > q.aimAt {
			q.late, q.density, moved = true, q.density*q.c.LateWorth, true
		}
	}
	if moved {
		slices.SortStableFunc(f.waiting, func(a, b *request) int { return cmp.Compare(b.density, a.density) })
	}
}

// dispatch decides on waiting requests, those first that are worth most per work.
func (f *Front) dispatch(all bool) {
	n := len(f.waiting)
	if all {
		f.demote()
	}
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
	if q.Deadline-f.now < f.lastCall {
		f.giveUp(q, ReasonDeadline)
		return
	}
	if q.sends >= max(f.s.MaxAttempts, 1) {
		f.giveUp(q, ReasonAttempts)
		return
	}
	if f.windowOver(q) { // its client would wait in vain, and so would the next requests of its key
		f.giveUp(q, ReasonMayHaveRun)
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
		f.giveUp(q, ReasonPlaces)
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
		f.giveUp(q, ReasonCapacity)
	}
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
	for i := 0; i < len(f.ring) && len(f.cands) < f.reach(); i++ {
		if e := f.ring[(f.first(f.s.Front)+i)%len(f.ring)]; e.fails < 2 {
			f.cands = append(f.cands, e)
		}
	}
	return f.cands
}

// reach is how many engines a front works with, with many fronts: so many that each engine is in a window.
func (f *Front) reach() int {
	return max(windowSize, int(math.Ceil(windowLeast*float64(len(f.ring))/f.fronts)))
}

// first is the place in the ring at which a front's window begins.
func (f *Front) first(front int) int {
	return int(float64(front) * float64(len(f.ring)) / f.fronts)
}

// seat is this front's place among those whose windows hold an engine, and how many these are. Where its
// window has only moved on there, past engines that fail, its place is past the last.
func (f *Front) seat(e *engine) (place, fronts float64) {
	n, reach := float64(len(f.ring)), float64(f.reach())
	if !f.many || n <= reach {
		return float64(f.s.Front), f.fronts
	}
	first := (float64(e.place) - reach + 1) * f.fronts / n
	place = math.Mod(math.Floor(float64(f.s.Front)-first+f.fronts), f.fronts)
	return place, math.Floor(reach*f.fronts/n) + 1
}
