package workergroup

import (
	"bytes"
	"math"
	"slices"
	"strconv"
	"unicode/utf8"

	"thymeway/choice"
	"thymeway/internal/coordinator"
	"thymeway/internal/deadline"
	"thymeway/internal/logs"
	"thymeway/internal/result"
	"thymeway/internal/transport"
)

// attempt is one run of a query on a worker group, from its POST to its end. It may use several connections in turn.
type attempt struct {
	coordinator.Attempt
	fleet            *Fleet
	group            *group
	query            *query
	startedAt        float64 // when the attempt was started, before a connection for its POST was available
	postCall         *call
	postedAt         float64 // when the POST was written; 0: not written
	tooLateToPost    bool    // the attempt had expired when its connection became available, so the POST was not written
	postArrived      bool    // a response has shown that the worker group received the query
	runningAt        float64 // latest time at which the query is known to have run; 0 after a failed call or an unusable response
	invalidResponses int     // consecutive invalid responses and failed page requests
	currentCall      *call   // the keep-alive call in progress
	deleteCall       *call   // the DELETE in progress
	deleteTries      int     // failed DELETEs, counted up to 8; they lengthen the pause before the next one
	cancelled        bool
	cancelReason     transport.EndReason // why the attempt was cancelled
	endReported      bool                // since the cancellation, the worker group has reported that the query has ended
	finished         bool
	outcome          coordinator.Outcome
	waitTimer        deadline.Entry // fires at WaitUntil, if the attempt has not ended by then
	retryTimer       deadline.Entry // fires for the next poll, page request or DELETE
	dropTimer        deadline.Entry // fires when the worker group must have dropped the query
}

// noticeKinds maps the values of X-Tell to the kinds of progress notices.
var noticeKinds = map[string]choice.NoticeKind{"advance": choice.NoticeProgress, "disk": choice.NoticeSpill,
	"stall": choice.NoticeWait}

// begin registers the attempt and starts the call that posts its query.
func (a *attempt) begin() {
	a.outcome = coordinator.Outcome{Request: a.ID, Engine: a.Engine, Attempt: a.Number}
	if a.group == nil {
		a.finish(transport.Unreachable)
		return
	}
	if a.fleet.attempts == nil {
		a.fleet.attempts = map[attemptKey]*attempt{}
	}
	a.fleet.attempts[attemptKey{a.ID, a.Number}] = a
	a.group.attemptCount++
	a.query = a.group.queryFor(a.ID)
	a.query.attempts = append(a.query.attempts, a)
	a.dropTimer.Do = a.finishIfDropped
	a.waitTimer.Do = func() {
		if a.postedAt == 0 { // the POST was never written
			a.finish(transport.Unreachable)
			return
		}
		// A query does not end when its time budget does. If its worker group is cut off, or accepts no further connection
		// for the DELETE, the query runs on. So the client is answered now, and the end of the attempt is reported once it is
		// proven.
		a.fleet.Listener.RequestOverdue(a.ID)
		a.cancel(transport.NoAnswer)
	}
	a.fleet.Deadlines.Set(&a.waitTimer, a.WaitUntil)
	a.postCall = &call{build: a.buildPost, timeout: pollTimeout, done: a.postDone}
	a.startKeepAliveCall(a.postCall)
}

// startCall starts a call of the attempt. Once the POST was written, the query may be running, so calls then wait for a
// connection even if the worker group refuses one.
func (a *attempt) startCall(c *call) {
	a.currentCall, c.waitsForConn = c, a.postedAt > 0
	a.group.start(c)
}

// startKeepAliveCall starts a call that keeps the query alive. Its response is used even if it arrives late.
func (a *attempt) startKeepAliveCall(c *call) {
	c.keepsAlive, c.onLateResponse = a.query, func(r *response) { a.acceptLateResponse(c, r) }
	a.startCall(c)
}

// buildPost returns the bytes of the POST, or nil if the attempt has expired. Its X-Budget header states the time left when
// the POST is written, not when the attempt was started.
func (a *attempt) buildPost() []byte {
	if a.tooLateToPost = a.Expired(a.fleet.Now()); a.tooLateToPost {
		return nil
	}
	left := math.Floor(a.WaitUntil - a.fleet.Now())
	a.postedAt = a.fleet.Now()
	a.runningAt = a.postedAt
	logs.Trace("post", a.ID, "engine", a.Engine, "addr", a.group.Addr, "left", left, "waited", a.postedAt-a.startedAt)
	headers := []string{"X-Hop-Id", a.ID, "X-Sort", a.Class, "X-Budget", strconv.Itoa(int(left))}
	if a.IdempotencyKey != "" {
		headers = append(headers, "X-Replay-Key", a.IdempotencyKey)
	}
	if a.Grant > 0 {
		headers = append(headers, "Grant-Mb", strconv.Itoa(int(math.Ceil(a.Grant))))
	}
	headers = append(headers, "Content-Length", strconv.Itoa(len(a.Statement)))
	return buildRequest("POST", "/obj", a.group.Addr, a.Statement, headers)
}

// buildGet returns the bytes of a request for a page of the result.
func (a *attempt) buildGet(page int) []byte {
	return buildRequest("GET", "/obj/"+a.ID+"/"+strconv.Itoa(page), a.group.Addr, "", nil)
}

// postDone handles the end of the POST call. Only a connection that was never established proves that nothing ran.
func (a *attempt) postDone(r *response, reason transport.EndReason) {
	switch {
	case r != nil:
		a.processResponse(a.postCall, r)
	case a.postedAt > 0:
		logs.Trace("post-broke", a.ID, "engine", a.Engine, "wire", a.postCall.connNumber, "end", reason)
		a.pollAfterFailedCall(reason, 0)
	case a.tooLateToPost:
		a.finish(transport.Expired)
	case reason == transport.ConnRefused || reason == transport.NoDescriptor:
		a.finish(reason)
	default:
		a.finish(transport.Unreachable)
	}
}

// poll asks for the status of the query, which is page 0 of its result.
func (a *attempt) poll() {
	c := &call{timeout: pollTimeout}
	c.build = func() []byte {
		c.writtenAfterPostSettled = a.postSettled()
		logs.Trace("ask", a.ID, "engine", a.Engine, "fixed", c.writtenAfterPostSettled)
		return a.buildGet(0)
	}
	c.done = func(r *response, reason transport.EndReason) {
		if r == nil {
			logs.Trace("ask-broke", a.ID, "engine", a.Engine, "wire", c.connNumber, "end", reason)
		}
		switch {
		case r != nil:
			a.processResponse(c, r)
		case reason == transport.Unreachable || reason == transport.NoAnswer:
			a.pollAfter(retryPause)
		default:
			a.pollAfterFailedCall(reason, reconnectPause)
		}
	}
	a.startKeepAliveCall(c)
}

// pollAfterFailedCall polls again after a call without a response. If responses can't be read several times in a row, the query is
// cancelled, so that its request may be sent elsewhere.
func (a *attempt) pollAfterFailedCall(reason transport.EndReason, pause float64) {
	if reason == transport.Malformed && a.countInvalidResponse() {
		return
	}
	a.pollAfter(pause)
}

// countInvalidResponse counts a response that can't be used. After more than maxInvalidResponses in a row it cancels the query and
// returns true.
func (a *attempt) countInvalidResponse() bool {
	if a.invalidResponses++; a.invalidResponses <= maxInvalidResponses {
		return false
	}
	a.currentCall = nil
	a.cancel(transport.Malformed)
	return true
}

// pollAfter polls again after a pause, in milliseconds. Without a pause, polling would loop without end where connections break
// as soon as they are established.
func (a *attempt) pollAfter(pause float64) {
	a.currentCall, a.runningAt = nil, 0
	a.retryTimer.Do = a.poll
	a.fleet.Deadlines.Set(&a.retryTimer, a.fleet.Now()+pause)
	a.scheduleDropCheck()
}

// acceptLateResponse handles a response that arrived after its call had timed out or after the attempt was cancelled.
func (a *attempt) acceptLateResponse(c *call, r *response) {
	logs.Trace("late", a.ID, "engine", a.Engine, "wire", c.connNumber, "status", r.status, "after", a.fleet.Now()-c.writtenAt,
		"own", c == a.postCall, "fixed", c.writtenAfterPostSettled)
	final := r.endsWithoutResult() || r.hasResult() && r.pageCount == 1
	switch {
	case a.finished:
	case a.cancelled:
		a.postArrived = a.postArrived || r.status == 202
		if a.endReported = a.endReported || final && a.endsAttempt(c, r); a.endReported &&
			(a.deleteCall == nil || a.deleteCall.isWaiting()) {
			// A DELETE that was written may arrive after the next POST of the same query and end it. So the attempt ends only
			// once no DELETE is in flight.
			a.finish(a.cancelReason)
			return
		}
		a.callSettled()
	case r.status == 202:
		a.postArrived = true
	case (r.endsWithoutResult() || r.hasResult()) && a.endsAttempt(c, r) && a.outcome.Result == nil:
		if a.currentCall != nil {
			a.currentCall.abandon()
		}
		a.fleet.Deadlines.Cancel(&a.retryTimer)
		a.processResponse(c, r)
	}
}

// callSettled is called when a call that keeps the query alive has arrived or never will. A cancelled attempt then sends another
// DELETE, since the response to one that was written earlier proves nothing.
func (a *attempt) callSettled() {
	if !a.cancelled || a.finished {
		return
	}
	a.scheduleDropCheck()
	if a.postSettled() && a.deleteCall == nil {
		a.fleet.Deadlines.Set(&a.retryTimer, a.fleet.Now())
	}
}

// processResponse handles the response to the POST or to a poll.
func (a *attempt) processResponse(c *call, r *response) {
	logs.Trace("news", a.ID, "engine", a.Engine, "wire", c.connNumber, "status", r.status, "pages", r.pageCount,
		"own", c == a.postCall)
	if r.report != (choice.Report{}) {
		a.outcome.Report = r.report
	}
	switch {
	case r.status == 202:
		a.postArrived, a.invalidResponses = true, 0
		kind, known := noticeKinds[r.notice]
		// A worker group also delivers stored progress notices of a query that it has dropped in the meantime, so only a
		// response without a notice shows that the query is running.
		if r.notice == "" {
			a.runningAt = c.writtenAt
		}
		a.poll()
		if known {
			a.fleet.Listener.NoticeReceived(a.ID, a.Engine, a.Number, kind, r.level)
		}
	case !a.endsAttempt(c, r) && (r.hasResult() || r.endsWithoutResult()):
		// The response may describe a time before the POST arrived, or a previous attempt.
		a.pollAfter(retryPause)
	case r.hasResult():
		a.outcome.Duration = a.fleet.Now() - a.startedAt // fetching further pages says nothing about the worker group's speed
		a.outcome.Work, a.outcome.Mem = r.workMs, r.peakMB
		a.outcome.Result = &result.Set{Pages: make([][]byte, r.pageCount)}
		a.acceptPage(0, r)
	case r.endsWithoutResult() && r.status == 503:
		a.finish(transport.Full)
	case r.endsWithoutResult() && r.status == 504:
		a.finish(transport.Expired)
	case r.endsWithoutResult() &&
		(a.fleet.Now() > a.lastKnownRunning(c)+unpolledTimeout-unpolledSlack || a.query.strayDelete.Scheduled()):
		// The error may come from the query itself, or the worker group may no longer know the query, because it was dropped
		// or lost with its process a moment ago. The query is deleted, so that both sides consider it ended from then on.
		a.cancel(transport.QueryLost)
	case r.endsWithoutResult():
		a.finish(transport.Failed)
	default:
		a.pollAfterInvalidResponse("result", r)
	}
}

// lastKnownRunning returns the latest time at which the query is known to have run, when a response to c is processed. For a
// poll this is 0 after a failed call or an unusable response, until another response shows that the query is running.
func (a *attempt) lastKnownRunning(c *call) float64 {
	if c == a.postCall {
		return c.writtenAt
	}
	return a.runningAt
}

// pollAfterInvalidResponse polls again after an invalid response: the query has run, and its worker group will repeat the
// response. A new attempt instead would run the query twice, and possibly while this attempt is still running.
func (a *attempt) pollAfterInvalidResponse(what string, r *response) {
	a.fleet.Faults.Add("engine-spoilt", "engine", a.Engine, "what", what, "status", r.status, "bytes", len(r.body))
	a.group.closeRespondingConn()
	if !a.countInvalidResponse() {
		a.pollAfter(reconnectPause)
	}
}

// acceptPage stores a valid page and requests the next one. The attempt lasts until the last page is read. Nothing is sent to the
// client before all pages have been received, so that a query whose result can't be completed may still be tried elsewhere.
func (a *attempt) acceptPage(page int, r *response) {
	a.outcome.Result.Pages[page] = r.body
	a.postArrived, a.invalidResponses = true, 0
	if page+1 < len(a.outcome.Result.Pages) {
		a.fetchPage(page + 1)
		return
	}
	if a.outcome.Result.Size() > maxResultBytes {
		a.pollAfterInvalidResponse("size", r)
		return
	}
	a.finish(transport.Served)
}

// fetchPage requests a page after the first and tries again after a broken connection or an invalid response. After more than
// maxInvalidResponses failures in a row, it cancels the query.
func (a *attempt) fetchPage(page int) {
	retry := func(reason transport.EndReason) {
		if a.invalidResponses++; a.invalidResponses > maxInvalidResponses {
			logs.Trace("page-given-up", a.ID, "engine", a.Engine, "end", reason)
			a.cancel(transport.QueryLost)
			return
		}
		a.currentCall = nil
		a.retryTimer.Do = func() { a.fetchPage(page) }
		a.fleet.Deadlines.Set(&a.retryTimer, a.fleet.Now()+reconnectPause)
		a.scheduleDropCheck()
	}
	a.startKeepAliveCall(&call{build: func() []byte { return a.buildGet(page) }, timeout: callTimeout,
		done: func(r *response, reason transport.EndReason) {
			logs.Trace("page", a.ID, "engine", a.Engine, "page", page, "answered", r != nil, "end", reason)
			switch {
			case r == nil:
				retry(transport.ConnReset)
			case r.status == 200 && r.pageNumber == page && validRows(r.body, false):
				a.acceptPage(page, r)
			case r.endsWithoutResult(): // the page is lost: the query was not polled for too long, or the process has died
				a.cancel(transport.QueryLost)
			default:
				a.fleet.Faults.Add("engine-spoilt", "engine", a.Engine, "what", "page", "status", r.status, "bytes", len(r.body))
				a.group.closeRespondingConn()
				retry(transport.Malformed)
			}
		}})
}

// validRows reports whether a page holds complete rows of three text columns. A page without rows is valid only if it is the only
// page of its result.
func validRows(page []byte, onlyPage bool) bool {
	if len(page) == 0 {
		return onlyPage
	}
	if !utf8.Valid(page) {
		return false
	}
	for len(page) > 0 {
		lineEnd := bytes.IndexByte(page, '\n')
		if lineEnd < 0 || bytes.Count(page[:lineEnd], []byte("\t")) != 2 || bytes.IndexByte(page[:lineEnd], 0) >= 0 {
			return false
		}
		page = page[lineEnd+1:]
	}
	return true
}

// cancel deletes the query on the worker group. Once the end of the attempt is proven, the attempt finishes with the given
// reason. A request may have only one attempt in flight, so its next attempt has to wait until then, as do the next requests of
// its order key.
func (a *attempt) cancel(reason transport.EndReason) {
	if a.cancelled || a.finished {
		return
	}
	a.cancelled, a.cancelReason = true, reason
	if a.postedAt == 0 { // the POST was never written
		a.finish(reason)
		return
	}
	if c := a.currentCall; c != nil && !c.group.removeWaiting(c) && c.keepsAlive != nil {
		c.done = func(r *response, _ transport.EndReason) { // the response may still report that the query has ended
			if r != nil {
				a.acceptLateResponse(c, r)
			}
		}
	}
	a.scheduleDropCheck()
	a.retryTimer.Do = func() {
		if a.deleteCall == nil {
			a.sendDelete()
		}
	}
	a.fleet.Deadlines.Cancel(&a.retryTimer)
	if deleteAt := a.postedAt + deleteDelay; deleteAt > a.fleet.Now() {
		a.fleet.Deadlines.Set(&a.retryTimer, deleteAt)
		return
	}
	a.retryTimer.Do()
}

// sendDelete asks the worker group to delete the query. The response to a DELETE that was written before the POST was
// settled proves nothing, as the POST may arrive after the DELETE.
func (a *attempt) sendDelete() {
	c := &call{timeout: callTimeout, waitsForConn: true}
	c.build = func() []byte {
		c.writtenAfterPostSettled = a.postSettled()
		return buildRequest("DELETE", "/obj/"+a.ID, a.group.Addr, "", nil)
	}
	c.done = func(r *response, reason transport.EndReason) {
		a.deleteCall = nil
		if r == nil && c.writtenAt > 0 {
			a.query.trackStrayDelete()
		}
		status := 0
		if r != nil {
			status = r.status
		}
		logs.Trace("deleted", a.ID, "engine", a.Engine, "wire", c.connNumber, "status", status, "end", reason,
			"fixed", c.writtenAfterPostSettled)
		switch {
		case a.finished:
		case a.endReported, status == 204 && c.writtenAfterPostSettled:
			a.finish(a.cancelReason)
		case status == 204 && !a.postSettled(): // another DELETE is sent once the POST is settled
		case status == 204:
			a.fleet.Deadlines.Set(&a.retryTimer, a.fleet.Now())
		default:
			// Without a growing pause, a worker group that stays silent would be sent a DELETE many times a second.
			a.deleteTries = min(a.deleteTries+1, 8)
			a.fleet.Deadlines.Set(&a.retryTimer,
				a.fleet.Now()+min(reconnectPause*float64(int(1)<<a.deleteTries)/2, unpolledTimeout))
		}
	}
	a.deleteCall = c
	a.group.start(c)
}

// finish ends the attempt and reports its outcome. Every attempt ends here, once.
func (a *attempt) finish(reason transport.EndReason) {
	if a.finished {
		return
	}
	a.finished = true
	if key := (attemptKey{a.ID, a.Number}); a.fleet.attempts[key] == a {
		delete(a.fleet.attempts, key)
		a.group.attemptCount--
		a.query.attempts = slices.DeleteFunc(a.query.attempts, func(x *attempt) bool { return x == a })
		a.query.removeIfUnused()
		defer a.fleet.removeIfUnused(a.group)
	}
	for _, timer := range []*deadline.Entry{&a.waitTimer, &a.retryTimer, &a.dropTimer} {
		a.fleet.Deadlines.Cancel(timer)
	}
	for _, c := range []*call{a.currentCall, a.deleteCall} {
		if c != nil {
			c.abandon()
		}
	}
	a.outcome.EndReason = reason
	if reason != transport.Served {
		a.outcome.Duration, a.outcome.Result = a.fleet.Now()-a.startedAt, nil
	}
	a.fleet.Listener.AttemptEnded(a.outcome)
}
