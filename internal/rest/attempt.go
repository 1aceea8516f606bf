package rest

import (
	"bytes"
	"math"
	"slices"
	"strconv"
	"unicode/utf8"

	"thymeway/choice"
	"thymeway/internal/coordinator"
	"thymeway/internal/deadline"
	"thymeway/internal/link"
	"thymeway/internal/logs"
	"thymeway/internal/result"
)

// attempt is one run of a query on a worker group, from its POST to its end. Connections come and go under it.
type attempt struct {
	coordinator.Attempt
	f         *Fleet
	g         *group
	query     *query
	sent      float64
	post      *call
	postedAt  float64 // when the POST was written; 0: it was not
	withdrawn bool    // it was too late to write the POST as its connection was there
	known     bool    // the worker group has shown that it has the query
	aliveAt   float64 // when the query is known to have run last, as calls were answered without a gap since; 0: there was one
	spoilt    int     // answers in a row that can't be used
	call      *call   // the call under way
	control   *call   // the DELETE
	tries     int     // DELETEs without an answer that is proof
	cancelled bool
	reason    link.End // why it was given up
	told      bool     // the worker group has told its end since
	over      bool
	ended     coordinator.Outcome
	budget    deadline.Entry // the end of the wait
	again     deadline.Entry // the next try to reach a silent worker group
	lapse     deadline.Entry // when a given-up query can't be out any more
}

var notes = map[string]choice.NoticeKind{"advance": choice.NoticeProgress, "disk": choice.NoticeSpill, "stall": choice.NoticeWait}

func (a *attempt) begin() {
	a.ended = coordinator.Outcome{Request: a.ID, Engine: a.Engine, Attempt: a.Number}
	if a.g == nil || a.g.Addr == "" {
		a.finish(link.Unreached)
		return
	}
	if a.f.attempts == nil {
		a.f.attempts = map[key]*attempt{}
	}
	a.f.attempts[key{a.ID, a.Number}] = a
	a.g.attempts++
	a.query = a.g.query(a.ID)
	a.query.attempts = append(a.query.attempts, a)
	a.lapse.Do = a.dropped
	a.budget.Do = func() {
		if a.postedAt == 0 { // it was never written
			a.finish(link.Unreached)
			return
		}
		// Danger: a query does not end with its budget. One whose worker group is cut off, or takes no further
		// connection for the DELETE, runs on: the client is answered now, the end is told once it is known.
		a.f.Watcher.Overdue(a.ID)
		a.giveUp(link.Silent)
	}
	a.f.Deadlines.Set(&a.budget, a.Until)
	a.post = &call{build: a.first, within: pollWithin, done: a.posted}
	a.inquire(a.post)
}

func (a *attempt) start(c *call) {
	a.call, c.stays = c, a.postedAt > 0
	a.g.start(c)
}

// inquire makes a call that keeps the query alive. What it answers counts late too.
func (a *attempt) inquire(c *call) {
	c.asks, c.late = a.query, func(r *reply) { a.late(c, r) }
	a.start(c)
}

// first makes the bytes of the POST. The budget is what is left when it is written, not when it was asked for.
func (a *attempt) first() []byte {
	if a.withdrawn = a.Expired(a.f.Now()); a.withdrawn {
		return nil
	}
	left := math.Floor(a.Until - a.f.Now())
	a.postedAt = a.f.Now()
	a.aliveAt = a.postedAt
	logs.Trace("post", a.ID, "engine", a.Engine, "addr", a.g.Addr, "left", left, "waited", a.postedAt-a.sent)
	h := []string{"X-Hop-Id", a.ID, "X-Sort", a.Class, "X-Budget", strconv.Itoa(int(left))}
	if a.Idem != "" {
		h = append(h, "X-Replay-Key", a.Idem)
	}
	if a.Grant > 0 {
		h = append(h, "Grant-Mb", strconv.Itoa(int(math.Ceil(a.Grant))))
	}
	h = append(h, "Content-Length", strconv.Itoa(len(a.Statement)))
	return request("POST", "/obj", a.g.Addr, a.Statement, h)
}

func (a *attempt) get(page int) []byte {
	return request("GET", "/obj/"+a.ID+"/"+strconv.Itoa(page), a.g.Addr, "", nil)
}

// posted is the end of the first call. Only a connection that never came up proves that nothing ran.
func (a *attempt) posted(r *reply, e link.End) {
	switch {
	case r != nil:
		a.news(a.post, r)
	case a.postedAt > 0:
		logs.Trace("post-broke", a.ID, "engine", a.Engine, "wire", a.post.wire, "end", e)
		a.askIn(0)
	case a.withdrawn:
		a.finish(link.Over)
	case e == link.Refused || e == link.Crowded:
		a.finish(e)
	default:
		a.finish(link.Unreached)
	}
}

func (a *attempt) ask() {
	c := &call{within: pollWithin}
	c.build = func() []byte {
		c.after = a.fixed()
		logs.Trace("ask", a.ID, "engine", a.Engine, "fixed", c.after)
		return a.get(0)
	}
	c.done = func(r *reply, e link.End) {
		if r == nil {
			logs.Trace("ask-broke", a.ID, "engine", a.Engine, "wire", c.wire, "end", e)
		}
		switch {
		case r != nil:
			a.news(c, r)
		case e == link.Refused && a.g.replaced():
			a.finish(link.Died)
		case e == link.Unreached || e == link.Silent:
			a.askIn(retryPause)
		default:
			a.askIn(quickPause)
		}
	}
	a.inquire(c)
}

// askIn asks again after a pause. Danger: asking at once would spin where connections break at once.
func (a *attempt) askIn(pause float64) {
	a.call, a.aliveAt = nil, 0
	a.again.Do = a.ask
	a.f.Deadlines.Set(&a.again, a.f.Now()+pause)
	a.watch()
}

// late takes an answer that came after its call was taken for silent, or after the attempt was given up.
func (a *attempt) late(c *call, r *reply) {
	logs.Trace("late", a.ID, "engine", a.Engine, "wire", c.wire, "status", r.status, "after", a.f.Now()-c.wrote, "own", c == a.post, "fixed", c.after)
	end := r.ends() || r.good() && r.pages == 1
	switch {
	case a.over:
	case a.cancelled:
		a.known = a.known || r.status == 202
		if a.told = a.told || end && a.ends(c, r); a.told && (a.control == nil || a.control.waits()) {
			// Danger: a DELETE on its way could overtake the next POST of the same query. It is waited for.
			a.finish(a.reason)
			return
		}
		a.settled()
	case r.status == 202:
		a.known = true
	case (r.ends() || r.good()) && a.ends(c, r) && a.ended.Result == nil:
		if a.call != nil {
			a.call.drop()
		}
		a.f.Deadlines.Clear(&a.again)
		a.news(c, r)
	}
}

// settled comes once a call that keeps the query alive has come or never will. What was given up is deleted anew then:
// a DELETE from before proves nothing.
func (a *attempt) settled() {
	if !a.cancelled || a.over {
		return
	}
	a.watch()
	if a.fixed() && a.control == nil {
		a.f.Deadlines.Set(&a.again, a.f.Now())
	}
}

// news takes the answer to a POST or to a call for page 0.
func (a *attempt) news(c *call, r *reply) {
	logs.Trace("news", a.ID, "engine", a.Engine, "wire", c.wire, "status", r.status, "pages", r.pages, "own", c == a.post)
	if r.report != (choice.Report{}) {
		a.ended.Report = r.report
	}
	switch {
	case r.status == 202:
		a.known, a.spoilt = true, 0
		kind, known := notes[r.tell]
		// Danger: a worker group hands out the notes that it has kept, also those of a query that it has dropped since.
		if r.tell == "" {
			a.aliveAt = c.wrote
		}
		a.ask()
		if known {
			a.f.Watcher.Noted(a.ID, a.Engine, a.Number, kind, r.figure)
		}
	case !a.ends(c, r) && (r.good() || r.ends()): // of a time before the POST came, or of an attempt before
		a.askIn(retryPause)
	case r.good():
		a.ended.Took = a.f.Now() - a.sent // the pages' way is ours and says nothing of the worker group
		a.ended.Work, a.ended.Mem = r.work, r.peak
		a.ended.Result = &result.Set{Pages: make([][]byte, r.pages)}
		a.page(0, r)
	case r.ends() && r.status == 503:
		a.finish(link.Full)
	case r.ends() && r.status == 504:
		a.finish(link.Over)
	case r.ends() && (a.f.Now() > a.alive(c)+unasked-unaskedSlack || a.query.stray.Waits()):
		// Danger: it may be an error, or the query is not known any more: dropped, or lost with its process, a moment ago.
		// Its worker group is told that it is given up, so that both sides take it for over from then.
		a.giveUp(link.Lost)
	case r.ends():
		a.finish(link.Failed)
	default:
		a.askAnew("result", r)
	}
}

// alive is when the query was known to run last, by what its connections told without a gap.
func (a *attempt) alive(c *call) float64 {
	if c == a.post {
		return c.wrote
	}
	return a.aliveAt
}

// askAnew asks for the news again, as what came is spoilt: the query has run, and its worker group gives the answer
// again. Danger: a new attempt would run it twice, and this one might still be out.
func (a *attempt) askAnew(what string, r *reply) {
	a.f.Faults.Add("engine-spoilt", "engine", a.Engine, "what", what, "status", r.status, "bytes", len(r.body))
	a.g.spoil()
	if a.spoilt++; a.spoilt > mostSpoilt {
		a.giveUp(link.Garbled)
		return
	}
	a.askIn(quickPause)
}

// page takes a page that can be used and asks for the next. The attempt is out until the last one is read. Nothing goes to
// the client before all are here: what can't be finished may then still be tried elsewhere.
func (a *attempt) page(n int, r *reply) {
	a.ended.Result.Pages[n] = r.body
	a.known, a.spoilt = true, 0
	if n+1 < len(a.ended.Result.Pages) {
		a.fetch(n + 1)
		return
	}
	if a.ended.Result.Size() > mostResult {
		a.askAnew("size", r)
		return
	}
	a.finish(link.Served)
}

func (a *attempt) fetch(n int) {
	again := func(e link.End) {
		if a.spoilt++; a.spoilt > mostSpoilt {
			logs.Trace("page-given-up", a.ID, "engine", a.Engine, "end", e)
			a.giveUp(link.Lost)
			return
		}
		a.call = nil
		a.again.Do = func() { a.fetch(n) }
		a.f.Deadlines.Set(&a.again, a.f.Now()+quickPause)
		a.watch()
	}
	a.inquire(&call{build: func() []byte { return a.get(n) }, within: callWithin, done: func(r *reply, e link.End) {
		logs.Trace("page", a.ID, "engine", a.Engine, "page", n, "answered", r != nil, "end", e)
		switch {
		case e == link.Refused && a.g.replaced():
			a.finish(link.Died)
		case r == nil:
			again(link.Broken)
		case r.status == 200 && r.page == n && rows(r.body, false):
			a.page(n, r)
		case r.ends(): // the page is lost: nobody had asked for it, or its process died
			a.giveUp(link.Lost)
		default:
			a.f.Faults.Add("engine-spoilt", "engine", a.Engine, "what", "page", "status", r.status, "bytes", len(r.body))
			a.g.spoil()
			again(link.Garbled)
		}
	}})
}

// rows tells whether a page holds whole rows of three columns of text. Only a result of one page may have none.
func rows(b []byte, only bool) bool {
	if len(b) == 0 {
		return only
	}
	if !utf8.Valid(b) {
		return false
	}
	for len(b) > 0 {
		i := bytes.IndexByte(b, '\n')
		if i < 0 || bytes.Count(b[:i], []byte("\t")) != 2 || bytes.IndexByte(b[:i], 0) >= 0 {
			return false
		}
		b = b[i+1:]
	}
	return true
}

// giveUp has the query deleted; e is the end that the attempt comes to once that is proved. Danger: a request may have one
// attempt out, so its next send has to wait until then, and so have the next requests of its key.
func (a *attempt) giveUp(e link.End) {
	if a.cancelled || a.over {
		return
	}
	a.cancelled, a.reason = true, e
	if a.postedAt == 0 { // it was never written
		a.finish(e)
		return
	}
	if c := a.call; c != nil && !c.g.forget(c) && c.asks != nil {
		c.done = func(r *reply, _ link.End) { // a call under way may still tell that the query has ended
			if r != nil {
				a.late(c, r)
			}
		}
	}
	a.watch()
	a.again.Do = func() {
		if a.control == nil {
			a.delete()
		}
	}
	a.f.Deadlines.Clear(&a.again)
	if at := a.postedAt + sendApart; at > a.f.Now() {
		a.f.Deadlines.Set(&a.again, at)
		return
	}
	a.again.Do()
}

// delete tells the worker group that the query is given up. Danger: before the POST has come it is no word on it.
func (a *attempt) delete() {
	c := &call{within: callWithin, stays: true}
	c.build = func() []byte {
		c.after = a.fixed()
		return request("DELETE", "/obj/"+a.ID, a.g.Addr, "", nil)
	}
	c.done = func(r *reply, e link.End) {
		a.control = nil
		if r == nil && c.wrote > 0 {
			a.query.strayed()
		}
		status := 0
		if r != nil {
			status = r.status
		}
		logs.Trace("deleted", a.ID, "engine", a.Engine, "wire", c.wire, "status", status, "end", e, "fixed", c.after)
		switch {
		case a.over:
		case a.told, status == 204 && c.after, e == link.Refused && a.g.replaced():
			a.finish(a.reason)
		case status == 204 && !a.fixed(): // deleted anew once the POST has come
		case status == 204:
			a.f.Deadlines.Set(&a.again, a.f.Now())
		default: // danger: an engine silent for long would be tried many times a second
			a.tries = min(a.tries+1, 8)
			a.f.Deadlines.Set(&a.again, a.f.Now()+min(quickPause*float64(int(1)<<a.tries)/2, unasked))
		}
	}
	a.control = c
	a.g.start(c)
}

// finish is the one end of an attempt.
func (a *attempt) finish(e link.End) {
	if a.over {
		return
	}
	a.over = true
	if k := (key{a.ID, a.Number}); a.f.attempts[k] == a {
		delete(a.f.attempts, k)
		a.g.attempts--
		a.query.attempts = slices.DeleteFunc(a.query.attempts, func(x *attempt) bool { return x == a })
		a.query.forget()
		defer a.f.forget(a.g)
	}
	for _, t := range []*deadline.Entry{&a.budget, &a.again, &a.lapse} {
		a.f.Deadlines.Clear(t)
	}
	for _, c := range []*call{a.call, a.control} {
		if c != nil {
			c.drop()
		}
	}
	a.ended.End = e
	if e != link.Served {
		a.ended.Took, a.ended.Result = a.f.Now()-a.sent, nil
	}
	a.f.Watcher.Ended(a.ended)
}
