package choice

// What is heard is kept here for the decisions: news of engines, reports, notes, answers. It decides nothing.

import "math"

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

// learn takes an answer into the class's mean work and the engine's factor (2), bounded against nonsense.
func (f *Front) learn(a *attempt, o Outcome) {
	c, base := a.q.c, a.base
	work := o.Took / a.scale * c.Threads
	if o.Work > 0 {
		work, base = o.Work, o.Work/c.Threads
		f.slower.add(f.now, math.Log(bound(o.Took/math.Max(base, slowLeast), clip)), partSpan)
		f.answers.add(f.now, 1, partSpan)
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

// class finds a class; one never heard of gets careful settings: one try that is never repeated.
func (f *Front) class(name string) *class {
	if c := f.classes[name]; c != nil {
		return c
	}
	return f.addClass(Class{Name: name, Worth: 1, Aim: unknownAim, Effect: Unsafe})
}
