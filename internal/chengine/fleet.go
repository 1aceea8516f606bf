// Package chengine runs attempts on engines that speak ClickHouse's HTTP interface. There a connection carries a query to
// its end; what became of one whose connection broke is asked of the engine by its query_id.
package chengine

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"thymeway/choice"
	"thymeway/internal/coordinator"
	"thymeway/internal/deadline"
	"thymeway/internal/directory"
	"thymeway/internal/link"
	"thymeway/internal/result"
	"thymeway/internal/tally"
)

// Limits and pauses, in ms.
const (
	controlWithin = 500.0    // for the answer to KILL QUERY or to what runs
	probeWithin   = 250.0    // for a probe
	askPause      = 100.0    // between two questions whether a query still runs
	answerSlack   = 200.0    // beyond the time that a query may take, for its answer to come
	progressEvery = 500      // between two lines of progress, as the engine is told
	mostControl   = 64 << 10 // bytes of an answer to such a question
	tooMany       = 202      // TOO_MANY_SIMULTANEOUS_QUERIES: turned away unseen
)

// Fleet is all engines of this kind that were ever named.
type Fleet struct {
	Dialer     link.Dialer
	Deadlines  *deadline.Queue
	Now        func() float64
	Watcher    coordinator.AttemptListener
	Faults     *tally.FaultLog
	ConnIdle   float64 // ms for which an unused connection is kept
	MostWires  int
	MostResult int                                       // bytes of one result
	MostHeld   int                                       // and of all that are coming; 0: no bound
	Login      func(kind string) (user, password string) // of engines of a kind; nil or "": none is told

	engines  directory.Directory[*engine]
	attempts map[key]*attempt
	wires    int
	held     int // bytes of answers that are coming
}

type key struct {
	id string
	n  int
}

// Know takes an entry of the list.
func (f *Fleet) Update(m coordinator.ListedEngine) {
	if e, known := f.engines.Get(m.ID); known && m.Status != choice.Healthy {
		f.withdraw(e)
	}
	f.engines.Update(m.ID, m.Addr, m.Status == choice.Removed, func(p directory.Record) *engine { return &engine{f: f, Record: p, kind: m.Kind} })
}

// Only takes a whole list: engines that it does not name have gone.
func (f *Fleet) RemoveUnlisted(named map[string]bool) {
	for _, e := range f.engines.All() {
		if !named[e.ID] {
			f.withdraw(e)
		}
	}
	f.engines.RemoveUnlisted(named)
}

// withdraw ends the attempts that still wait for a connection to an engine: it takes nothing new.
func (f *Fleet) withdraw(e *engine) {
	var waiting []*attempt
	for _, a := range f.attempts {
		if a.e == e && !a.written {
			waiting = append(waiting, a)
		}
	}
	slices.SortFunc(waiting, func(a, b *attempt) int { return cmp.Compare(a.query, b.query) })
	for _, a := range waiting {
		a.finish(link.Expired)
	}
}

// Out is the number of attempts that may run on some engine.
func (f *Fleet) Out() int { return len(f.attempts) }

// Probe asks whether an engine answers.
func (f *Fleet) Probe(id string) {
	e, _ := f.engines.Get(id)
	sent := f.Now()
	tell := func(a *answer, why link.EndReason) {
		p := coordinator.Outcome{Engine: id, EndReason: why, Duration: f.Now() - sent}
		if a != nil && a.Status != 200 {
			p.EndReason = link.Full
		}
		f.Watcher.ProbeEnded(p)
	}
	if e == nil || e.Addr == "" {
		tell(nil, link.Unreachable)
		return
	}
	e.start(&call{build: func() []byte { return e.request("GET", "/ping", nil, "") }, within: probeWithin, most: mostControl, done: tell})
}

// request makes the bytes of a call.
func (e *engine) request(method, target string, body []byte, extra string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, target, e.Addr)
	if e.f.Login != nil {
		if user, password := e.f.Login(e.kind); user != "" {
			fmt.Fprintf(&b, "X-ClickHouse-User: %s\r\nX-ClickHouse-Key: %s\r\n", user, password)
		}
	}
	b.WriteString(extra)
	if method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

// attempt is one run of a query on an engine.
type attempt struct {
	coordinator.Attempt
	f         *Fleet
	e         *engine
	query     string // its query_id
	sent      float64
	written   bool
	call      *call // the query's own
	control   *call // a question about it
	cancelled bool
	withdrawn bool // it was too late to write it as its connection was there
	lost      bool // its connection broke: whether it runs is asked
	over      bool
	end       link.EndReason // how it ends once it is known not to run
	outcome   coordinator.Outcome
	budget    deadline.Entry
	again     deadline.Entry
}

// Send starts an attempt.
func (f *Fleet) Send(s coordinator.Attempt) {
	e, _ := f.engines.Get(s.Engine)
	a := &attempt{Attempt: s, f: f, e: e, sent: f.Now(), query: s.ID + "-" + strconv.Itoa(s.Number)}
	a.outcome = coordinator.Outcome{Request: a.ID, Engine: a.Engine, Attempt: a.Number}
	if a.e == nil || a.e.Addr == "" {
		a.finish(link.Unreachable)
		return
	}
	if f.attempts == nil {
		f.attempts = map[key]*attempt{}
	}
	f.attempts[key{a.ID, a.Number}] = a
	a.e.attempts++
	a.budget.Do = func() {
		switch {
		case !a.written:
			a.finish(link.Unreachable)
		case f.Now() >= a.WaitUntil+answerSlack: // the engine has ended it by itself
			a.finish(a.end)
		default: // danger: what the engine has not confirmed may still run
			f.Watcher.RequestOverdue(a.ID)
			if !a.cancelled {
				a.revoke(link.NoAnswer)
			}
			if !a.over {
				f.Deadlines.Set(&a.budget, a.WaitUntil+answerSlack)
			}
		}
	}
	f.Deadlines.Set(&a.budget, a.WaitUntil)
	a.call = &call{build: a.build, within: a.WaitUntil - f.Now() + answerSlack, most: f.MostResult, progress: a.progress, done: a.answered}
	a.e.start(a.call)
}

// build makes the query's request. The engine ends it by itself when its time is over.
func (a *attempt) build() []byte {
	if a.withdrawn = a.Expired(a.f.Now()); a.withdrawn {
		return nil
	}
	left := a.WaitUntil - a.f.Now()
	a.written = true
	v := url.Values{}
	set := func(name, value string) { v.Set(name, value) }
	text, data, ch := []byte(a.Statement), []byte(nil), a.ClickHouse
	if ch != nil {
		for _, s := range ch.Settings {
			set(s[0], s[1])
		}
		for _, p := range ch.Params {
			set("param_"+p[0], p[1])
		}
		if ch.Database != "" {
			set("database", ch.Database)
		}
		text, data = []byte(ch.Text), ch.Data
	}
	set("query_id", a.query)
	set("default_format", "TabSeparatedWithNamesAndTypes")
	set("wait_end_of_query", "1")
	set("send_progress_in_http_headers", "1")
	set("http_headers_progress_interval_ms", strconv.Itoa(progressEvery))
	set("max_execution_time", strconv.FormatFloat(math.Ceil(left)/1000, 'f', 3, 64))
	if a.IdempotencyKey != "" {
		set("insert_deduplication_token", a.IdempotencyKey)
	}
	if a.Grant > 0 {
		set("max_memory_usage", strconv.FormatInt(int64(math.Ceil(a.Grant))<<20, 10))
	}
	if len(data) > 0 { // the text goes into the target, its data behind it
		set("query", string(text))
		text = data
	}
	return a.e.request("POST", "/?"+v.Encode(), text, "X-Class: "+a.Class+"\r\n")
}

// progress is a line of it, as JSON.
func (a *attempt) progress(value string) {
	var p struct {
		Read  string `json:"read_rows"`
		Total string `json:"total_rows_to_read"`
	}
	if json.Unmarshal([]byte(value), &p) != nil || a.over || a.cancelled {
		return
	}
	read, err1 := strconv.ParseFloat(p.Read, 64)
	total, err2 := strconv.ParseFloat(p.Total, 64)
	if err1 == nil && err2 == nil && total > 0 {
		a.f.Watcher.NoticeReceived(a.ID, a.Engine, a.Number, choice.NoticeProgress, math.Max(0, math.Min(read/total, 1)))
	}
}

// answered is the end of the query's own call. Only a connection that never came up proves that nothing ran.
func (a *attempt) answered(r *answer, why link.EndReason) {
	a.call = nil
	switch {
	case a.over:
	case r != nil && a.cancelled:
		a.finish(a.end)
	case r != nil:
		a.judge(r)
	case a.withdrawn:
		a.finish(link.Expired)
	case !a.written && (why == link.ConnRefused || why == link.NoDescriptor):
		a.finish(why)
	case !a.written:
		a.finish(link.Unreachable)
	case a.cancelled: // what asks goes on
	case why == link.NoDescriptor: // its result does not fit beside the others
		a.revoke(link.Failed)
	case why == link.Malformed: // what came can't be read, and the query may run on
		a.revoke(link.Malformed)
	default:
		a.lost, a.end = true, link.QueryLost
		a.ask()
	}
}

// judge tells a good answer from a failed one. Danger: a fault that comes after the status stands in the body, where it
// would pass for rows.
func (a *attempt) judge(r *answer) {
	code := r.Get("x-clickhouse-exception-code")
	if code == "" && r.Status != 200 {
		if _, rest, ok := strings.Cut(string(r.body[:min(len(r.body), 40)]), "Code: "); ok {
			code, _, _ = strings.Cut(rest, ".")
		}
	}
	switch {
	case code == strconv.Itoa(tooMany):
		a.finish(link.Full)
	case rejections[code]:
		a.outcome.Message = strings.TrimSpace(string(r.body[:min(len(r.body), mostWhy)]))
		a.finish(link.Rejected)
	case code != "" || r.Status != 200:
		a.finish(link.Failed)
	case faulty(r):
		a.f.Faults.Add("engine-fault-behind-status", "engine", a.Engine, "bytes", len(r.body))
		a.finish(link.Failed)
	default:
		set, err := result.Parse(r.body)
		if err != nil {
			a.f.Faults.Add("engine-spoilt", "engine", a.Engine, "what", "result", "error", err)
			a.finish(link.Failed)
			return
		}
		a.outcome.Result = set
		a.outcome.Duration = a.f.Now() - a.sent
		elapsed, mem := summary(r.Get("x-clickhouse-summary"))
		a.outcome.Work, a.outcome.Mem = elapsed*a.Threads, mem // of all its threads, as the module counts work
		a.finish(link.Served)
	}
}

const mostWhy = 2000 // bytes of an exception that are passed on

// rejections are the codes with which an engine turns a query away as it reads it: nothing has run, and no other engine
// would take it. Danger: a code that may also come once rows were read or written is none of them.
var rejections = map[string]bool{
	"16": true, "42": true, "43": true, "46": true, "47": true, "60": true, "62": true, "81": true, "115": true, "215": true,
	"457": true, "497": true,
}

// faulty tells whether a body ends with an exception. Newer engines mark one with a tag that no row can hold; of older
// ones it is the last line.
func faulty(r *answer) bool {
	if tag := r.Get("x-clickhouse-exception-tag"); tag != "" {
		return bytes.Contains(r.body, []byte("__exception__\r\n"+tag))
	}
	b := bytes.TrimRight(r.body, "\r\n")
	last := b[bytes.LastIndexByte(b, '\n')+1:]
	return bytes.HasPrefix(last, []byte("Code: ")) && bytes.Contains(last, []byte("DB::Exception: ")) ||
		bytes.Contains(r.body, []byte("\r\n__exception__\r\n"))
}

// summary gives the time on the engine in ms and the memory in MB of a query; it tells no processor time.
func summary(text string) (elapsed, mem float64) {
	var s struct {
		Elapsed string `json:"elapsed_ns"`
		Memory  string `json:"memory_usage"`
	}
	if json.Unmarshal([]byte(text), &s) != nil {
		return 0, 0
	}
	number := func(s string) float64 {
		v, err := strconv.ParseFloat(s, 64)
		if err != nil || !(v >= 0) || math.IsInf(v, 0) {
			return 0
		}
		return v
	}
	return number(s.Elapsed) / 1e6, number(s.Memory) / (1 << 20)
}

// Cancel gives an attempt up. Its end comes once it can't be out any more.
func (f *Fleet) Cancel(id string, n int) {
	a := f.attempts[key{id, n}]
	switch {
	case a == nil || a.cancelled || a.over:
	case !a.written:
		if a.call != nil {
			a.call.drop()
		}
		a.finish(link.Cancelled)
	default:
		a.revoke(link.Cancelled)
	}
}

// revoke has the query killed, and ends the attempt once it does not run any more.
func (a *attempt) revoke(e link.EndReason) {
	a.cancelled, a.end = true, e
	a.f.Deadlines.Cancel(&a.again)
	if a.control != nil {
		a.control.drop()
		a.control = nil
	}
	a.kill(func(*answer, link.EndReason) { a.ask() })
}

// kill tells the engine to end the query, over another connection.
func (a *attempt) kill(done func(*answer, link.EndReason)) {
	if done == nil {
		done = func(*answer, link.EndReason) {}
	}
	a.ctl("KILL QUERY WHERE query_id = '"+a.query+"' ASYNC", done)
}

// ctl runs a short query about this one.
func (a *attempt) ctl(text string, done func(*answer, link.EndReason)) {
	c := &call{within: controlWithin, most: mostControl}
	c.build = func() []byte { return a.e.request("POST", "/?default_format=TabSeparated", []byte(text), "") }
	c.done = func(r *answer, e link.EndReason) {
		if a.control == c {
			a.control = nil
		}
		done(r, e)
	}
	a.control = c
	a.e.start(c)
}

// ask asks whether the query still runs, until it does not.
func (a *attempt) ask() {
	if a.over {
		return
	}
	a.ctl("SELECT count() FROM system.processes WHERE query_id = '"+a.query+"'", func(r *answer, e link.EndReason) {
		switch {
		case a.over:
		case r != nil && r.Status == 200 && string(bytes.TrimSpace(r.body)) == "0":
			a.finish(a.end)
		case e == link.ConnRefused && (a.e.open == 0 || a.e.Addr == ""): // its process has ended, and the query with it
			if a.end == link.QueryLost {
				a.end = link.ProcessDied
			}
			a.finish(a.end)
		case r != nil && r.Status == 200 && a.lost && !a.cancelled: // it runs, and its answer can't come any more
			a.revoke(a.end)
		default:
			a.again.Do = a.ask
			a.f.Deadlines.Set(&a.again, a.f.Now()+askPause)
		}
	})
}

// finish is the one end of an attempt.
func (a *attempt) finish(e link.EndReason) {
	if a.over {
		return
	}
	a.over = true
	f := a.f
	f.Deadlines.Cancel(&a.budget)
	f.Deadlines.Cancel(&a.again)
	if a.call != nil {
		a.call.drop()
		a.call = nil
	}
	if k := (key{a.ID, a.Number}); f.attempts[k] == a {
		delete(f.attempts, k)
		a.e.attempts--
		defer f.engines.RemoveIfUnused(a.e)
	}
	a.outcome.EndReason = e
	if e != link.Served {
		a.outcome.Duration, a.outcome.Result = f.Now()-a.sent, nil
	}
	f.Watcher.AttemptEnded(a.outcome)
}
