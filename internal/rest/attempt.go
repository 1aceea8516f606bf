package rest

import (
	"bytes"
	"log"
	"math"
	"strconv"

	"thymeway/choice"
	"thymeway/internal/coordinator"
	"thymeway/internal/deadline"
	"thymeway/internal/link"
)

// attempt is one run of a query on a worker group, from its POST to its end. Connections come and go under it.
type attempt struct {
	coordinator.Attempt
	f         *Fleet
	g         *group
	sent      float64
	askedAt   float64 // when a call that keeps the query alive was last written; 0: none was
	call      *call   // the call under way
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
	if a.g == nil || a.g.addr == "" {
		a.finish(link.Unreached)
		return
	}
	a.f.attempts[key{a.ID, a.Number}] = a
	a.budget.Do = func() {
		switch {
		case a.askedAt == 0: // it was never written
			a.finish(link.Unreached)
		case a.cancelled: // the worker group has seen the same budget end
			a.finish(link.GivenUp)
		default:
			a.delete(nil)
			a.finish(link.Silent)
		}
	}
	a.f.Deadlines.Set(&a.budget, a.Until)
	a.start(a.post, pollWithin, a.posted)
}

func (a *attempt) start(build func() []byte, within float64, done func(*reply, link.End)) {
	a.call = &call{build: build, within: within, done: done}
	a.g.start(a.call)
}

// post makes the first call. The budget is what is left when it is written, not when it was asked for.
func (a *attempt) post() []byte {
	left := math.Floor(a.Until - a.f.Now())
	if left < 1 {
		return nil
	}
	a.askedAt = a.f.Now()
	h := []string{"X-Hop-Id", a.ID, "X-Sort", a.Class, "X-Budget", strconv.Itoa(int(left))}
	if a.Idem != "" {
		h = append(h, "X-Replay-Key", a.Idem)
	}
	if a.Grant > 0 {
		h = append(h, "Grant-Mb", strconv.Itoa(int(math.Ceil(a.Grant))))
	}
	h = append(h, "Content-Length", strconv.Itoa(len(a.Statement)))
	return request("POST", "/obj", a.g.addr, a.Statement, h)
}

func (a *attempt) get(page int) []byte {
	if page == 0 {
		a.askedAt = a.f.Now()
	}
	return request("GET", "/obj/"+a.ID+"/"+strconv.Itoa(page), a.g.addr, "", nil)
}

// posted is the end of the first call. Only a connection that never came up proves that nothing ran.
func (a *attempt) posted(r *reply, e link.End) {
	switch {
	case r != nil:
		a.news(r)
	case a.askedAt == 0:
		a.finish(e)
	default:
		a.askIn(quickPause)
	}
}

func (a *attempt) ask() {
	a.start(func() []byte { return a.get(0) }, pollWithin, func(r *reply, e link.End) {
		switch {
		case r != nil:
			a.news(r)
		case e == link.Refused: // its process has died, and the query with it
			a.finish(link.Died)
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
		kind, known := notes[r.tell]
		a.ask()
		if known {
			a.f.Watcher.Noted(a.ID, a.Engine, a.Number, kind, r.figure)
		}
	case r.status == 200:
		a.ended.Took = a.f.Now() - a.sent // the pages' way is ours and says nothing of the worker group
		a.ended.Work, a.ended.Mem = r.work, r.peak
		if r.pages > mostPages {
			a.garbled("pages", r.pages)
			return
		}
		a.ended.Pages = make([][]byte, r.pages)
		a.page(0, r)
	case r.status == 503 && r.noEffect:
		a.finish(link.Full)
	case r.status == 504 && r.noEffect:
		a.finish(link.Over)
	default:
		a.finish(link.Failed)
	}
}

// page takes a page and asks for the next. Nothing goes to the client before all are here: what can't be
// finished may then still be tried elsewhere.
func (a *attempt) page(n int, r *reply) {
	if n > 0 && (r.status != 200 || r.page >= 0 && r.page != n) || !rows(r.body) {
		if r.status != 200 {
			a.finish(link.Failed)
		} else {
			a.garbled("page", n)
		}
		return
	}
	a.ended.Pages[n] = r.body
	if n+1 == len(a.ended.Pages) {
		if size(a.ended.Pages) > mostResult {
			a.garbled("bytes", size(a.ended.Pages))
			return
		}
		a.finish(link.Served)
		return
	}
	a.fetch(n+1, 0)
}

func (a *attempt) fetch(n, tries int) {
	a.start(func() []byte { return a.get(n) }, callWithin, func(r *reply, e link.End) {
		switch {
		case r != nil:
			a.page(n, r)
		case e == link.Refused:
			a.finish(link.Died)
		case tries >= 3:
			a.finish(link.Broken)
		default:
			a.again.Do = func() { a.fetch(n, tries+1) }
			a.f.Deadlines.Set(&a.again, a.f.Now()+quickPause)
		}
	})
}

func (a *attempt) garbled(what string, n int) {
	log.Printf("event=engine-result-garbled engine=%s %s=%d", a.Engine, what, n)
	a.delete(nil)
	a.finish(link.Garbled)
}

// rows tells whether a page holds whole rows of three columns.
func rows(b []byte) bool {
	for len(b) > 0 {
		i := bytes.IndexByte(b, '\n')
		if i < 0 || bytes.Count(b[:i], []byte("\t")) != 2 {
			return false
		}
		b = b[i+1:]
	}
	return true
}

func size(pages [][]byte) (n int) {
	for _, p := range pages {
		n += len(p)
	}
	return n
}

// cancel gives the attempt up. Danger: a request may have one attempt out, so its next send has to wait until
// this one is known to be over: its DELETE is answered, its process is dead, or nobody has asked for it for so
// long that the worker group has dropped it.
func (a *attempt) cancel() {
	if a.cancelled || a.over {
		return
	}
	a.cancelled = true
	a.f.Deadlines.Clear(&a.again)
	if a.call != nil {
		a.call.drop()
	}
	if a.askedAt == 0 {
		a.finish(link.GivenUp)
		return
	}
	a.lapse.Do = func() { a.finish(link.GivenUp) }
	a.f.Deadlines.Set(&a.lapse, math.Min(a.askedAt+unasked, a.Until)+unaskedSlack)
	a.revoke()
}

func (a *attempt) revoke() {
	a.delete(func(r *reply, e link.End) {
		switch {
		case a.over:
		case r != nil || e == link.Refused:
			a.finish(link.GivenUp)
		default:
			a.again.Do = a.revoke
			a.f.Deadlines.Set(&a.again, a.f.Now()+quickPause)
		}
	})
}

// delete tells the worker group that the query is given up.
func (a *attempt) delete(done func(*reply, link.End)) {
	if done == nil {
		done = func(*reply, link.End) {}
	}
	a.g.start(&call{build: func() []byte { return request("DELETE", "/obj/"+a.ID, a.g.addr, "", nil) }, within: callWithin, done: done})
}

// finish is the one end of an attempt.
func (a *attempt) finish(e link.End) {
	if a.over {
		return
	}
	a.over = true
	delete(a.f.attempts, key{a.ID, a.Number})
	for _, t := range []*deadline.Entry{&a.budget, &a.again, &a.lapse} {
		a.f.Deadlines.Clear(t)
	}
	if a.call != nil {
		a.call.drop()
	}
	a.ended.End = e
	if e != link.Served {
		a.ended.Took, a.ended.Pages = a.f.Now()-a.sent, nil
	}
	a.f.Watcher.Ended(a.ended)
}
