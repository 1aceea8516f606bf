package choice

import "math"

// Step takes what happened at one time and returns what to do. It hands each event on and decides nothing itself.
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
		case Overdue: // the client has its answer now; the attempt keeps its place in its key's line
			f.overdue(f.requests[ev.Request])
		case Gone:
			f.gone(f.requests[ev.Request])
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
	full := now >= f.sweepAt
	if full || !f.many || f.s.ProbeReports { // danger: work over hundreds of engines at each turn
		f.averages()
		f.shares()
	}
	for r := range f.meanOut {
		f.meanOut[r] += (f.byRank[r] - f.meanOut[r]) * (1 - math.Exp((f.meanOutAt-now)/partSpan))
	}
	f.meanOutAt = now
	if full {
		f.sweepAt = now + f.checkEvery
		f.sweep()
	}
	f.dispatch(full)
	f.wake(f.sweepAt)
	return f.acts
}
