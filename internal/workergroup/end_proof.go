package workergroup

import (
	"maps"
	"slices"

	"thymeway/internal/deadline"
	"thymeway/internal/transport"
)

// This file holds the rules for when an attempt is proven to have ended. Two guarantees depend on them: a request has at most
// one attempt in flight, and the requests of one order key run one at a time. AttemptListener.AttemptEnded must therefore not
// be called for an attempt whose POST was written until one of the proofs below holds.
//
// First, the POST must be settled: it has arrived at the worker group, or it never will. It is settled once one of these holds:
//   - The worker group responded to the POST, or a poll for the query's status found the query running.
//   - The other side ended the POST's connection: it will never read what it had not read by then. If the connection had been
//     silent before, data delayed in the network may still arrive after that end, for as long as a connection may take to be
//     established (setting connectTimeoutMs).
//   - The coordinator aborted the POST's connection, and any segment that the network can still hold has exceeded its maximum
//     lifetime.
//
// Then one of these proves that the attempt has ended:
//   - Final response: the response to the POST, or to a poll written after the POST was settled, was final for the query. (The
//     response to an earlier poll may describe a time before the POST, or a previous attempt; only a complete result for the
//     first attempt of a request can't.) The final responses are a complete result whose last page has been read, an error, and
//     a rejection without effect. "Unknown query" or a lost page may mean that the query was dropped only just now: the query is
//     then deleted, so that both sides consider it ended from the same moment.
//   - Deleted: the response to a DELETE written after the POST was settled has status 204.
//   - Dropped: no call that keeps the query alive can still arrive, the last one was settled at least unpolledTimeout
//     ago, and the worker group has responded to a call written after that time had passed, or refuses connections. An
//     unresponsive worker group drops nothing, and from outside it can't be distinguished from one that is cut off from
//     the network.
//
// The proofs hold whichever process at the address responds. An address is reused only after the process there has ended, and its
// queries with it; a query that arrived later runs on the new process, which is the one that responds.
//
// There is one limit without a proof: once maxUnresponsive has passed since the latest keep-alive call was written and none can
// still arrive, the query is considered dropped.
//
// Nothing else is proof: not silence, not a refused connection (a draining worker group refuses connections and goes on running
// its queries), not a reset, not a list from which the worker group has disappeared, not a list that names another worker group at
// the address (the list is late, so that one may have received the query in the first place), not an unreadable response. Until
// there is proof, the attempt keeps blocking its order key; its client is answered in time regardless. Even if a worker group
// stays silent forever, the key is freed in the end, as the connections to it are aborted after maxConnSilence.

// query tracks the query of one request on one worker group: the calls that keep it alive there, over all attempts of the
// request on that worker group.
type query struct {
	group          *group
	id             string
	unsettledCalls int            // keep-alive calls that were written and may still arrive
	strayDelete    deadline.Entry // scheduled while a DELETE without a response may still arrive
	settledAt      float64        // when the latest keep-alive call was settled
	writtenAt      float64        // when the latest keep-alive call was written
	attempts       []*attempt
}

// queryFor returns the query with the given request id, and creates it if there is none.
func (g *group) queryFor(id string) *query {
	q := g.queries[id]
	if q == nil {
		if g.queries == nil {
			g.queries = map[string]*query{}
		}
		q = &query{group: g, id: id}
		g.queries[id] = q
	}
	return q
}

// callWritten counts a written call that keeps the query alive. The query can't be dropped while the call may still arrive,
// so the drop checks of its attempts are cancelled.
func (q *query) callWritten() {
	q.unsettledCalls++
	q.writtenAt = q.group.fleet.Now()
	for _, a := range q.attempts {
		q.group.fleet.Deadlines.Cancel(&a.dropTimer)
	}
}

// callSettled records that a keep-alive call has arrived or never will, and informs the attempts.
func (q *query) callSettled() {
	q.unsettledCalls--
	q.settledAt = q.group.fleet.Now()
	for _, a := range slices.Clone(q.attempts) {
		a.callSettled()
	}
	q.removeIfUnused()
}

// settle records that the call has arrived or never will.
func (c *call) settle() {
	if c.keepsAlive != nil && !c.settled {
		c.settled = true
		c.keepsAlive.callSettled()
	}
}

// trackStrayDelete records that a DELETE got no response. The DELETE may still arrive late and end the request's next attempt
// on the same worker group, which then looks like an error of that attempt.
func (q *query) trackStrayDelete() {
	q.strayDelete.Do = q.removeIfUnused
	q.group.fleet.Deadlines.Set(&q.strayDelete, q.group.fleet.Now()+maxConnSilence+maxSegmentLifetime)
}

// removeIfUnused removes the query from its group once no call, DELETE or attempt of it is left.
func (q *query) removeIfUnused() {
	if q.unsettledCalls == 0 && !q.strayDelete.Scheduled() && len(q.attempts) == 0 && q.group.queries[q.id] == q {
		delete(q.group.queries, q.id)
	}
}

// retryDeletes is called when a connection has been established: attempts whose DELETE failed try again at once instead of after
// their pause.
func (g *group) retryDeletes() {
	for _, id := range slices.Sorted(maps.Keys(g.queries)) {
		for _, a := range g.queries[id].attempts {
			if a.deleteTries > 0 && a.deleteCall == nil {
				a.fleet.Deadlines.Set(&a.retryTimer, a.fleet.Now())
			}
		}
	}
}

// postSettled reports whether the POST has arrived or never will.
func (a *attempt) postSettled() bool { return a.postArrived || a.postCall.settled }

// endsAttempt reports whether a final response to the call proves the end of this attempt, by the rules at the head of this file.
func (a *attempt) endsAttempt(c *call, r *response) bool {
	return c == a.postCall || c.writtenAfterPostSettled || r.hasResult() && a.Number == 0
}

// finishIfDropped finishes the attempt if its worker group has been running since the time when it must have dropped the
// query, or refuses connections. If that is not known yet, it checks again later. Once maxUnresponsive has passed since the
// latest keep-alive call was written, the query is considered dropped all the same.
func (a *attempt) finishIfDropped() {
	now, q := a.fleet.Now(), a.query
	if a.group.lastRanAt < q.settledAt+unpolledTimeout && !a.group.refusing && now < q.writtenAt+maxUnresponsive {
		a.fleet.Deadlines.Set(&a.dropTimer, now+dropCheckInterval)
		return
	}
	if a.cancelled {
		a.finish(a.cancelReason)
	} else {
		a.finish(transport.NoAnswer)
	}
}

// scheduleDropCheck schedules finishIfDropped for the time when the worker group must have dropped the query, if no call
// that keeps the query alive can still arrive.
func (a *attempt) scheduleDropCheck() {
	if q := a.query; q != nil && q.unsettledCalls == 0 && !a.finished {
		a.fleet.Deadlines.Set(&a.dropTimer, q.settledAt+unpolledTimeout+unpolledSlack)
	}
}
