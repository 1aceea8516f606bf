package choice

import "math"

// Step processes the events of one point in time and returns the actions to take. It only passes each event to its
// handler; no rule is decided here.
func (f *Scheduler) Step(now float64, events []Event) []Action {
	f.now, f.actions = now, nil
	for _, ev := range events {
		switch ev := ev.(type) {
		case EngineList:
			f.handleEngineList(ev)
		case Request:
			f.acceptRequest(ev)
		case Outcome:
			f.handleOutcome(ev)
		case Notice:
			f.handleNotice(ev)
		case Overdue: // the client gets its answer now; the attempt keeps its place in the queue of its order key
			f.handleOverdue(f.requests[ev.Request])
		case ClientGone:
			f.cancelRequest(f.requests[ev.Request])
		case Timer:
			// Danger: a timer that comes early, as its clock rounds down, would block all later ones.
			if f.nextWakeAt <= now+1 {
				f.nextWakeAt = math.Inf(1)
			}
		case ProbeResult:
			f.handleProbeResult(ev)
		case PeerMessage:
			f.handlePeerMessage(ev)
		case ShuttingDown:
			f.shutDown()
		}
	}
	sweepDue := now >= f.nextSweepAt
	// Danger: with many peers, this would pass over hundreds of engines in every event-loop turn.
	if sweepDue || !f.manyPeers || f.settings.ReportsOnlyFromProbes {
		f.updateMeans()
		f.updateThreadBudget()
	}
	for priority := range f.meanThreadsByPriority {
		f.meanThreadsByPriority[priority] += (f.threadsByPriority[priority] - f.meanThreadsByPriority[priority]) *
			(1 - math.Exp((f.meanThreadsAt-now)/threadAverageMs))
	}
	f.meanThreadsAt = now
	if sweepDue {
		f.nextSweepAt = now + f.checkInterval
		f.sweep()
	}
	f.dispatch(sweepDue)
	f.requestWake(f.nextSweepAt)
	return f.actions
}
