package choice

import "math"

// Step processes the events of one point in time and returns the actions to take. It passes each event to its handler,
// runs the sweep if it is due, and then decides on the waiting requests.
func (s *Scheduler) Step(now float64, events []Event) []Action {
	s.now, s.actions = now, nil
	for _, ev := range events {
		switch ev := ev.(type) {
		case EngineList:
			s.handleEngineList(ev)
		case Request:
			s.acceptRequest(ev)
		case Outcome:
			s.handleOutcome(ev)
		case Notice:
			s.handleNotice(ev)
		case Overdue: // the client gets its answer now; the request stays in the queue of its order key
			s.handleOverdue(s.requests[ev.Request])
		case ClientGone:
			s.cancelRequest(s.requests[ev.Request])
		case Timer:
			// A timer may fire early, since its clock rounds down. Without the tolerance of 1 ms, nextWakeAt would then
			// stay set, and requestWake would ask for no further timer.
			if s.nextWakeAt <= now+1 {
				s.nextWakeAt = math.Inf(1)
			}
		case ProbeResult:
			s.handleProbeResult(ev)
		case PeerMessage:
			s.handlePeerMessage(ev)
		case ShuttingDown:
			s.shutDown()
		}
	}
	sweepDue := now >= s.nextSweepAt
	// With many peers there may be hundreds of engines, too many to go through in every event-loop turn.
	if sweepDue || !s.manyPeers || s.settings.ReportsOnlyFromProbes {
		s.updateMeans()
		s.updateThreadBudget()
	}
	for priority := range s.meanThreadsByPriority {
		s.meanThreadsByPriority[priority] += (s.threadsByPriority[priority] - s.meanThreadsByPriority[priority]) *
			(1 - math.Exp((s.meanThreadsAt-now)/threadAverageMs))
	}
	s.meanThreadsAt = now
	if sweepDue {
		s.nextSweepAt = now + s.checkInterval
		s.sweep()
	}
	s.dispatch(sweepDue)
	s.requestWake(s.nextSweepAt)
	return s.actions
}
