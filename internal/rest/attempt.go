package rest

import (
	"bytes"
	"math"
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
	sent      float64
	askedAt   float64 // when a call that keeps the query alive was last written; 0: none was
	postedAt  float64
	known     bool  // the worker group has shown that it has the query
	lapsed    bool  // nobody had asked for so long that the worker group may have dropped it
	broke     bool  // the connection of the POST ended without an answer
	spoilt    int   // answers in a row that can't be used
	call      *call // the call under way
	control   *call // the DELETE
	cancelled bool
	over      bool
	ended     coordinator.Outcome
	budget    deadline.Entry // the end of the wait
	again     deadline.Entry // the next try to reach a silent worker group
	lapse     deadline.Entry // when a given-up query can't be out any more
}

var notes = map[string]choice.NoteKind{"advance": choice.NoteProgress, "disk": choice.NoteSpill, "stall": choice.NoteWait}

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
	a.budget.Do = func() {
		if a.askedAt == 0 { // it was never written
			a.finish(link.Unreached)
			return
		}
		// Danger: a query does not end with its budget. One whose worker group is cut off, or takes no further
		// connection for the DELETE, runs on: the client is answered now, the end is told once it is known.
		a.f.Watcher.Overdue(a.ID)
		a.giveUp(link.Silent)
	}
	a.f.Deadlines.Set(&a.budget, a.Until)
	a.start(a.post, pollWithin, a.posted)
}

func (a *attempt) start(build func() []byte, within float64, done func(*reply, link.End)) {
	a.call = &call{build: build, within: within, done: done, stays: a.postedAt > 0}
	a.g.start(a.call)
}

// post makes the first call. The budget is what is left when it is written, not when it was asked for.
func (a *attempt) post() []byte {
	left := math.Floor(a.Until - a.f.Now())
	if left < 1 {
		return nil
	}
	a.askedAt = a.f.Now()
	a.postedAt = a.askedAt
	logs.Trace("post", a.ID, "engine", a.Engine, "addr", a.g.Addr, "left", left, "waited", a.askedAt-a.sent)
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
	if page == 0 {
		a.lapsed = a.lapsed || a.f.Now() > a.askedAt+unasked-unaskedSlack
		a.askedAt = a.f.Now()
	}
	return request("GET", "/obj/"+a.ID+"/"+strconv.Itoa(page), a.g.Addr, "", nil)
}

// posted is the end of the first call. Only a connection that never came up proves that nothing ran.
func (a *attempt) posted(r *reply, e link.End) {
	switch {
	case r != nil:
		a.news(r)
	case a.askedAt > 0:
		logs.Trace("post-broke", a.ID, "engine", a.Engine, "end", e)
		a.broke = true
		a.askIn(0)
	case e == link.Refused || e == link.Crowded:
		a.finish(e)
	default:
		a.finish(link.Unreached)
	}
}

func (a *attempt) ask() {
	a.start(func() []byte { return a.get(0) }, pollWithin, func(r *reply, e link.End) {
		switch {
		case r != nil:
			a.news(r)
		case e == link.Refused && a.g.dead(): // its process has ended, and the query with it
			a.finish(link.Died)
		case a.f.Now() > a.dropped(): // nobody could ask for so long that the query is no more
			a.finish(link.Silent)
		case e == link.Unreached || e == link.Silent:
			a.askIn(retryPause)
		default:
			a.askIn(quickPause)
		}
	})
}

// askIn asks again after a pause. Danger: asking at once would spin where connections break at once.
func (a *attempt) askIn(pause float64) {
	a.call = nil
	a.again.Do = a.ask
	a.f.Deadlines.Set(&a.again, a.f.Now()+pause)
}

// news takes the answer to a POST or to a call for page 0.
func (a *attempt) news(r *reply) {
	if r.report != (choice.Report{}) {
		a.ended.Report = r.report
	}
	switch {
	case r.status == 202:
		a.known, a.spoilt = true, 0
		kind, known := notes[r.tell]
		a.ask()
		if known {
			a.f.Watcher.Noted(a.ID, a.Engine, a.Number, kind, r.figure)
		}
	case r.status == 200 && r.pages > 0 && r.pages <= mostPages && rows(r.body, r.pages == 1):
		a.ended.Took = a.f.Now() - a.sent // the pages' way is ours and says nothing of the worker group
		a.ended.Work, a.ended.Mem = r.work, r.peak
		a.ended.Result = &result.Set{Pages: make([][]byte, r.pages)}
		a.page(0, r)
	case r.status == 503 && r.noEffect:
		a.finish(link.Full)
	case r.status == 504 && r.noEffect:
		a.finish(link.Over)
	case r.status == 500 && (a.broke && !a.known || a.lapsed):
		a.finish(link.Lost)
	case r.status/100 == 5:
		a.finish(link.Failed)
	default:
		a.askAnew("result", r)
	}
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

// page takes a page that can be used and asks for the next. Nothing goes to the client before all are here: what
// can't be finished may then still be tried elsewhere.
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
			a.finish(e)
			return
		}
		a.again.Do = func() { a.fetch(n) }
		a.f.Deadlines.Set(&a.again, a.f.Now()+quickPause)
	}
	a.start(func() []byte { return a.get(n) }, callWithin, func(r *reply, e link.End) {
		switch {
		case e == link.Refused && a.g.dead():
			a.finish(link.Died)
		case r == nil:
			again(link.Broken)
		case r.status == 200 && r.page == n && rows(r.body, false):
			a.page(n, r)
		case r.status/100 == 5: // the page is lost
			a.finish(link.Failed)
		default:
			a.f.Faults.Add("engine-spoilt", "engine", a.Engine, "what", "page", "status", r.status, "bytes", len(r.body))
			a.g.spoil()
			again(link.Garbled)
		}
	})
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

// giveUp has the query deleted; e is the end that the attempt comes to. Danger: a request may have one attempt out, so
// its next send has to wait until this one is known to be over: its DELETE is answered, its process is dead, or nobody
// has asked for it for so long that the worker group has dropped it.
func (a *attempt) giveUp(e link.End) {
	if a.cancelled || a.over {
		return
	}
	a.cancelled = true
	if a.askedAt == 0 { // it was never written
		a.finish(e)
		return
	}
	if c := a.call; c != nil && !c.g.forget(c) {
		c.done = func(r *reply, _ link.End) { // a call under way may still tell that the query has ended
			// Danger: a DELETE on its way could overtake the next POST of the same query. It is waited for.
			if r != nil && (r.status == 200 || r.status/100 == 5) && (a.control == nil || a.control.waits()) {
				a.finish(e)
			}
		}
	}
	a.lapse.Do = func() { a.finish(e) }
	a.f.Deadlines.Set(&a.lapse, a.dropped())
	a.again.Do = func() {
		a.delete(func(r *reply, end link.End) {
			logs.Trace("deleted", a.ID, "engine", a.Engine, "answered", r != nil, "end", end)
			switch {
			case a.over:
			case r != nil && (r.status/100 == 2 || r.status/100 == 5) || end == link.Refused && a.g.dead(): // deleted, not known, or ended
				a.finish(e)
			default:
				a.f.Deadlines.Set(&a.again, a.f.Now()+quickPause)
			}
		})
	}
	a.f.Deadlines.Clear(&a.again)
	if at := a.postedAt + sendApart; at > a.f.Now() {
		a.f.Deadlines.Set(&a.again, at)
		return
	}
	a.again.Do()
}

// dropped is when a worker group has dropped the query at the latest, as nobody asked for it. Danger: it may look only
// once in that time; queries of worker groups that were cut off were seen to run for up to twice as long.
func (a *attempt) dropped() float64 { return a.askedAt + 2*unasked + unaskedSlack }

// delete tells the worker group that the query is given up.
func (a *attempt) delete(done func(*reply, link.End)) {
	c := &call{within: callWithin, stays: true, build: func() []byte { return request("DELETE", "/obj/"+a.ID, a.g.Addr, "", nil) }}
	c.done = func(r *reply, e link.End) {
		a.control = nil
		done(r, e)
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
