// Package coordinator owns the decision module and the life of each request. It knows no protocol: requests come
// from some client side and go to some engine side, both behind small interfaces.
package coordinator

import (
	"fmt"
	"log/slog"

	"thymeway/choice"
	"thymeway/internal/account"
	"thymeway/internal/deadline"
	"thymeway/internal/link"
	"thymeway/internal/logs"
	"thymeway/internal/result"
	"thymeway/internal/shape"
	"thymeway/internal/tally"
)

// Request is a client's request, whatever protocol brought it.
type Request struct {
	choice.Request
	Idem      string // the client's idempotency key
	Statement string
	Protocol  string // that brought it, for the accounts
	Dialect   shape.Dialect
	Shape     *shape.Shape // what the statement is taken for; see Recognise
	Client    Client
	CH        *ClickHouse // what came with it over ClickHouse's HTTP interface; else nil
	told      float64     // the estimate of the work that came with it
	doubted   bool
}

// ClickHouse is a request as that interface has it: Statement is the same with its parameters and data put in.
type ClickHouse struct {
	Text     string      // the query, without its FORMAT clause
	Data     []byte      // behind it, of an INSERT
	Params   [][2]string // by name, without param_
	Settings [][2]string
	Database string
}

// Follower is a Client that wants to hear how far its request is: the share done, from 0 to 1.
type Follower interface{ Progress(share float64) }

// Watcher is told what becomes of attempts and probes, sometimes before the call that starts them returns.
type Watcher interface {
	Ended(Outcome)
	Overdue(request string) // the time of a request is over, and the end of its attempt is not known yet: Ended follows
	Noted(request, engine string, attempt int, kind choice.NoticeKind, level float64)
	Probed(Outcome)
}

// Client is owed one of these calls for each request, once; none after Drop.
type Client interface {
	Serve(r *result.Set)
	Refuse(comeBack float64) // ms; 0: no advice
	Fail(why string)
}

// Attempt is one send of a request.
type Attempt struct {
	*Request
	Engine  string
	Number  int
	Grant   float64 // MB; 0: the engine's own choice
	Threads float64 // that its class runs on
	Until   float64 // when the wait for it ends

	NotAfter float64 // time after which it must not be written any more; 0: none but Until
}

// Expired tells whether the attempt must not be written any more.
func (a *Attempt) Expired(now float64) bool {
	return a.Until-now < 1 || a.NotAfter > 0 && now > a.NotAfter
}

// Outcome is how an attempt ended.
type Outcome struct {
	Request   string
	Attempt   int
	Engine    string
	End       link.EndReason
	Took      float64
	Work, Mem float64
	Report    choice.Report
	Result    *result.Set // of a good end
	Why       string      // what an engine says of a query that it rejects
}

// Engines runs attempts. Each Send and each Probe gets one Ended or Probed.
type Engines interface {
	Know(m Member)
	Only(named map[string]bool)
	Send(a Attempt)
	Cancel(request string, attempt int)
	Probe(engine string)
}

// Member is an entry of the engine list with its address.
type Member struct {
	choice.Engine
	Addr string
}

// open is a request that is owed its answer, or that has attempts out.
type open struct {
	*Request
	taken float64
	count *account.Counts
	why   string // what a failure is told as: an engine's own words, if it rejected the query
	grant float64
	sends int
	out   int
	ended bool

	sentAt     float64        // when the latest attempt was sent
	lastEnd    link.EndReason // of the latest attempt that has ended
	mayHaveRun bool           // an attempt has ended without proof that it never ran
	mayRunAt   float64        // when the first such attempt was sent
}

// Coordinator holds the module's front and what it has in hand. All calls come from the event loop.
type Coordinator struct {
	front     *choice.Scheduler
	now       func() float64
	deadlines *deadline.Queue
	engines   Engines
	wake      func() // asks for a Turn soon
	requests  map[string]*open
	events    []choice.Event
	owed      int
	classes   map[string]choice.Class
	tenants   map[string]int // their places in the settings
	read      Reading
	roles     map[string]shape.Role
	doubted   [shape.Doubts]uint64
	Accounts  account.Book
	Repeats   account.Reasons // further attempts, by how the attempt before ended
	GivenUp   account.Reasons // requests refused or failed, by why
	watch     *watch
	toldAt    float64
}

// Reading is how statements are recognised.
type Reading struct {
	Shapes    *shape.Book
	Role      func(class string) shape.Role
	Estimates bool // requests without an estimate get the learned one
	Faults    *tally.Tally
}

// New starts a front. wake must cause a call of Turn soon, and never from within itself.
func New(s choice.Settings, now func() float64, d *deadline.Queue, e Engines, wake func(), r Reading) *Coordinator {
	c := &Coordinator{front: choice.New(s, now()), now: now, deadlines: d, engines: e, wake: wake, read: r,
		requests: map[string]*open{}, classes: map[string]choice.Class{}, tenants: map[string]int{}, roles: map[string]shape.Role{}}
	for _, k := range s.Classes {
		c.classes[k.Name], c.roles[k.Name] = k, r.Role(k.Name)
	}
	for i, t := range s.Tenants {
		c.tenants[t.Name] = i
	}
	c.watch = newWatch(c.tenants)
	return c
}

// Check tells what keeps a request from being taken, by the settings.
func (c *Coordinator) Check(r *Request) error {
	k, ok := c.classes[r.Class]
	switch {
	case !ok:
		return fmt.Errorf("no class %q", r.Class)
	case len(c.tenants) > 0 && !c.knows(r.Tenant):
		return fmt.Errorf("no tenant %q", r.Tenant)
	case k.Idempotency == choice.Deduplicated && r.Idem == "":
		return fmt.Errorf("class %s needs an idempotency key", r.Class)
	case k.InOrder && r.OrderKey == "":
		return fmt.Errorf("class %s needs a key for its order", r.Class)
	}
	return nil
}

func (c *Coordinator) knows(tenant string) bool {
	_, ok := c.tenants[tenant]
	return ok
}

// Recognise tells what a request's statement is: it sets Shape and Tables, once.
func (c *Coordinator) Recognise(r *Request) {
	if r.Shape == nil {
		r.Shape = c.read.Shapes.Look(r.Statement, r.Dialect, c.tenants[r.Tenant])
		r.TableGroup = r.Shape.Group
	}
}

// judge puts a request whose statement does not bear what its class promises on the safe default: it is taken and
// passed on as it is, but never sent again once it may have run. Danger: a write told as a lookup would run twice.
func (c *Coordinator) judge(r *Request) {
	c.Recognise(r)
	if d := shape.Judge(c.roles[r.Class], &r.Shape.Info); d != shape.Sure {
		r.AtMostOnce, r.doubted = true, true
		c.doubted[d]++
		c.read.Faults.Add("statement-doubted", "why", d, "class", r.Class, "kind", r.Shape.Kind, "shape", r.Shape.Name())
	}
	if r.told = r.Work; r.Work <= 0 && c.read.Estimates {
		if e := c.read.Shapes.Estimate(r.Shape); e.Usable() {
			r.Work, r.EstimateLearned = e.Work, true
			if r.Mem <= 0 {
				r.Mem = e.Mem
			}
		}
	}
}

// Doubted is how many requests were put on the safe default for a reason.
func (c *Coordinator) Doubted(d shape.Doubt) uint64 { return c.doubted[d] }

// Owed is the number of requests without their answer.
func (c *Coordinator) Owed() int { return c.owed }

func (c *Coordinator) tell(e choice.Event) {
	c.events = append(c.events, e)
	c.wake()
}

// Take takes a request. It answers at once what it can't hand to the module.
func (c *Coordinator) Take(r *Request) {
	if c.requests[r.ID] != nil {
		// Danger: two requests of one id could not be told apart by the module nor by a worker group.
		r.Client.Fail("a request with this id is still open")
		return
	}
	c.judge(r)
	q := &open{Request: r, taken: c.now(), why: "no worker group could finish it", count: c.Accounts.Of(c.key(r))}
	q.count.Taken++
	c.watch.took(r, q.taken)
	q.count.Asked += c.classes[r.Class].Value
	if r.Repeat {
		q.count.Repeats++
	}
	if r.doubted {
		q.count.Doubted++
	}
	c.requests[r.ID] = q
	c.owed++
	logs.Trace("taken", r.ID, "class", r.Class, "key", r.OrderKey, "ms", r.Deadline-q.taken, "work", r.Work)
	c.tell(r.Request)
}

// key is what a request is counted under. Danger: where the settings name no tenants a client may name any, and what is
// counted apart for each would grow without end.
func (c *Coordinator) key(r *Request) account.Key {
	k := account.Key{Tenant: r.Tenant, Class: r.Class, Protocol: r.Protocol}
	if !c.knows(r.Tenant) {
		k.Tenant = ""
	}
	return k
}

// Drop ends a request whose client has left. It is owed nothing any more.
func (c *Coordinator) Drop(r *Request) {
	q := c.requests[r.ID]
	if q == nil || q.Request != r || q.ended {
		return
	}
	logs.Trace("dropped", r.ID)
	c.end(q, account.Dropped, 0)
	c.tell(choice.ClientGone{Request: r.ID})
}

// end marks a request as answered, counts how, and forgets it once nothing of it is out. work is what a good answer
// told of its work, which its aim grows with.
func (c *Coordinator) end(q *open, e account.Ending, work float64) {
	if !q.ended {
		q.ended = true
		c.owed--
		k := c.classes[q.Class]
		if work <= 0 {
			work = q.Work
		}
		took, aim := c.now()-q.taken, account.Aim(k.LatencyTarget, k.TargetStretch, work, k.Threads)
		q.count.End(e, took, aim, k.Value, k.LateValueShare)
		c.watch.ended(q.Request, e, e == account.Served && took <= aim, c.now())
	}
	c.forget(q)
}

func (c *Coordinator) forget(q *open) {
	if q.ended && q.out == 0 {
		delete(c.requests, q.ID)
	}
}

const watchEvery = 100.0 // ms between two looks at the states of surges

// Leave has the module answer all that is still open, as the program ends.
func (c *Coordinator) Leave() { c.tell(choice.ShuttingDown{}) }

// List takes news of the engine list.
func (c *Coordinator) List(whole bool, members []Member) {
	l := choice.EngineList{Complete: whole}
	named := map[string]bool{}
	for _, m := range members {
		named[m.ID] = true
		c.engines.Know(m)
		l.Engines = append(l.Engines, m.Engine)
	}
	if whole {
		c.engines.Only(named)
	}
	c.tell(l)
}

// Ended takes the end of an attempt. A good one goes to the client at once and ends the request.
func (c *Coordinator) Ended(o Outcome) {
	q := c.requests[o.Request]
	if q == nil {
		return
	}
	q.out--
	q.note(o.End)
	logs.Trace("ended", o.Request, "attempt", o.Attempt, "engine", o.Engine, "end", o.End, "took", o.Took, "answered", q.ended)
	if o.End == link.Served {
		c.read.Shapes.Learn(q.Shape, q.told, o.Work, o.Mem)
	}
	if o.End == link.Served && !q.ended {
		o.Result.Verb = q.Shape.Verb
		q.Client.Serve(o.Result)
		c.end(q, account.Served, o.Work)
	}
	if o.Why != "" {
		q.why = o.Why
	}
	ended := q.ended
	c.forget(q)
	c.tell(choice.Outcome{Request: o.Request, Attempt: o.Attempt, Engine: o.Engine, Result: o.End.Result(),
		Duration: o.Took, RequestEnded: ended, Work: o.Work, Mem: o.Mem, Report: o.Report})
}

// Overdue takes word that a request's time is over while its attempt may still run.
func (c *Coordinator) Overdue(request string) {
	if c.requests[request] != nil {
		logs.Trace("overdue", request)
		c.tell(choice.Overdue{Request: request})
	}
}

// Noted takes word on an attempt that is out.
func (c *Coordinator) Noted(request, engine string, attempt int, kind choice.NoticeKind, level float64) {
	if q := c.requests[request]; q != nil {
		if w, ok := q.Client.(Follower); ok && kind == choice.NoticeProgress && !q.ended {
			w.Progress(level)
		}
		c.tell(choice.Notice{Request: request, Attempt: attempt, Engine: engine, Kind: kind, Level: level})
	}
}

// Probed takes the end of a probe.
func (c *Coordinator) Probed(o Outcome) {
	c.tell(choice.ProbeResult{Engine: o.Engine, Result: o.End.Result(), Duration: o.Took, Report: o.Report})
}

// Turn lets the module answer what has come in, in one step. What its actions bring about at once waits for the
// next turn.
func (c *Coordinator) Turn() {
	if len(c.events) == 0 {
		return
	}
	events := c.events
	c.events = nil
	if now := c.now(); now >= c.toldAt+watchEvery {
		c.toldAt = now
		c.watch.tell(now)
	}
	for _, a := range c.front.Step(c.now(), events) {
		c.perform(a)
	}
}

func (c *Coordinator) perform(a choice.Action) {
	switch a := a.(type) {
	case choice.Send:
		c.send(a)
	case choice.SendOptions:
		if q := c.requests[a.Request]; q != nil {
			q.grant = a.Grant
		}
	case choice.Cancel:
		logs.Trace("cancel", a.Request, "attempt", a.Attempt)
		c.engines.Cancel(a.Request, a.Attempt)
	case choice.Refuse:
		if q := c.requests[a.Request]; q != nil && !q.ended {
			logs.Trace("refused", a.Request, "sends", q.sends, "why", a.Reason)
			c.GivenUp.Add(q.Class, a.Reason.String())
			c.end(q, account.Refused, 0)
			q.Client.Refuse(a.RetryAfter)
		}
	case choice.Fail:
		if q := c.requests[a.Request]; q != nil && !q.ended {
			logs.Trace("failed", a.Request, "sends", q.sends, "why", a.Reason)
			c.GivenUp.Add(q.Class, a.Reason.String())
			c.end(q, account.Failed, 0)
			q.Client.Fail(q.why)
		}
	case choice.Wake:
		e := &deadline.Entry{Do: func() { c.tell(choice.Timer{Token: a.Token}) }}
		c.deadlines.Set(e, a.At)
	case choice.Probe:
		c.engines.Probe(a.Engine)
	case choice.Log:
		slog.Info("module", "text", a.Text)
	}
	// Subscribe and Tell have no counterpart: the notice board tells without being asked, and coordinators do
	// not talk to each other.
}

func (c *Coordinator) send(a choice.Send) {
	q := c.requests[a.Request]
	if q == nil || q.ended {
		return // it has no attempt to end: the module knows of the end, or will at its next step
	}
	n := q.sends
	q.sends++
	q.out++
	q.count.Sends++
	if n > 0 {
		c.repeat(q, a.Engine, n)
	}
	q.sentAt = c.now()
	logs.Trace("send", a.Request, "attempt", n, "engine", a.Engine)
	until := q.Deadline
	if t := c.now() + a.Timeout; a.Timeout > 0 && t < until {
		until = t
	}
	c.engines.Send(Attempt{Request: q.Request, Engine: a.Engine, Number: n, Grant: q.grant, Until: until, NotAfter: a.NotAfter,
		Threads: max(c.classes[q.Class].Threads, 1)})
}
