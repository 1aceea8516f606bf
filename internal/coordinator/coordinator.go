// Package coordinator drives the scheduler and follows each request from its arrival to its answer. It is independent
// of protocols: clients and engines are reached through the Client and Backend interfaces.
package coordinator

import (
	"fmt"
	"log/slog"

	"thymeway/choice"
	"thymeway/internal/accounting"
	"thymeway/internal/deadline"
	"thymeway/internal/faultlog"
	"thymeway/internal/logs"
	"thymeway/internal/result"
	"thymeway/internal/shape"
	"thymeway/internal/transport"
)

// Request is a client's request, received over any protocol.
type Request struct {
	choice.Request
	IdempotencyKey string // sent by the client, or generated from the request's id
	KeyGenerated   bool   // the IdempotencyKey is generated: the client has not asked for repeats to be discarded
	IDGenerated    bool   // the ID is generated: the client has given none
	QueryID        string // query_id that a ClickHouse client has given its query; "": none
	Statement      string
	Protocol       string // protocol over which it arrived; requests are counted by it
	Dialect        shape.Dialect
	Shape          *shape.Shape // of the statement; set by Recognize
	Client         Client
	ClickHouse     *ClickHouse // further data of a request received over ClickHouse's HTTP interface; otherwise nil
	clientEstimate float64     // estimate of its work that the client sent, in CPU ms; 0: none
	unproven       bool        // the statement is not proven safe to repeat, although its class promises that
	ended          bool        // it is answered, or its client has gone
}

// ClickHouse holds the parts of a request received over ClickHouse's HTTP interface. The Statement of the Request is the
// same query with parameters and data filled in.
type ClickHouse struct {
	Text     string      // the query, without its FORMAT clause
	Data     []byte      // the data that follows the query of an INSERT
	Params   [][2]string // names, without the prefix param_, and values
	Settings [][2]string // names and values
	Database string
}

// ProgressReceiver is implemented by a Client that receives the progress of its request, as the share done, from 0 to 1.
type ProgressReceiver interface{ Progress(share float64) }

// AttemptListener receives the events of attempts and probes. Its methods may be called before the call that starts the
// attempt or probe has returned.
type AttemptListener interface {
	AttemptEnded(Outcome)
	// RequestOverdue reports that the time to wait for an attempt of a request is over, while the end of the attempt is
	// not known yet. AttemptEnded follows.
	RequestOverdue(request string)
	NoticeReceived(request, engine string, attempt int, kind choice.NoticeKind, level float64)
	ProbeEnded(Outcome)
}

// Client receives the answer to a request. Exactly one of its methods is called for each request, and none after
// Coordinator.Drop.
type Client interface {
	Serve(r *result.Set)
	Refuse(retryAfter float64) // ms after which a retry is advised; 0: no advice
	Fail(message string)
}

// Attempt is one send of a request.
type Attempt struct {
	*Request
	Engine    string
	Number    int
	Grant     float64 // MB; 0: chosen by the engine
	Threads   float64 // number of threads on which queries of its class run
	WaitUntil float64 // time at which waiting for its end stops

	NotAfter float64 // time after which it must not be sent any more; 0: only WaitUntil applies
}

// Expired reports whether the attempt must not be sent any more: its time is over, or nobody waits for its result. An attempt that
// waits for a connection may come to that without being cancelled, where the settings allow no cancelling.
func (a *Attempt) Expired(now float64) bool {
	return a.ended || a.WaitUntil-now < 1 || a.NotAfter > 0 && now > a.NotAfter
}

// Outcome describes the end of an attempt or a probe.
type Outcome struct {
	Request   string
	Attempt   int
	Engine    string
	EndReason transport.EndReason
	Duration  float64 // ms
	Work, Mem float64 // CPU ms and MB used, as reported by the engine; 0: not reported
	Report    choice.Report
	Result    *result.Set // of a served attempt
	Message   string      // error text of the engine, if it rejected the query
}

// Backend runs attempts on engines. Each Send is followed by one AttemptEnded, and each Probe by one ProbeEnded, of an
// AttemptListener.
type Backend interface {
	Update(e ListedEngine)
	RemoveUnlisted(listed map[string]bool)
	Send(a Attempt)
	Cancel(request string, attempt int)
	Probe(engine string)
}

// ListedEngine is an entry of the engine list, with the address of the engine.
type ListedEngine struct {
	choice.Engine
	Addr string
}

// openRequest is a request that has no answer yet or still has attempts in flight.
type openRequest struct {
	*Request
	acceptedAt  float64
	counts      *accounting.Counts
	failMessage string // sent to the client on failure; the error text of the engine, if one rejected the query
	grantMB     float64
	sends       int // attempts sent
	inFlight    int // attempts that have not ended
	answered    bool
	clientLeft  bool      // the client has gone without an answer
	ran         bool      // an attempt was served, or has ended without proof that it never ran
	ids         clientIDs // with which it must not come again

	sentAt           float64             // when the latest attempt was sent
	lastEnd          transport.EndReason // of the attempt that ended last
	mayHaveRun       bool                // an attempt has ended without proof that it never ran
	mayHaveRunSentAt float64             // when the first attempt that may have run was sent
}

// Coordinator connects the scheduler with clients and backends, and holds all open requests. All its methods are called
// from the event loop.
type Coordinator struct {
	scheduler       *choice.Scheduler
	now             func() float64
	deadlines       *deadline.Queue
	backend         Backend
	wake            func() // requests a call of Turn
	requests        map[string]*openRequest
	repeatedIDs     repeatedIDs
	pendingEvents   []choice.Event
	unanswered      int                     // requests without an answer
	classes         map[string]choice.Class // by name
	tenantIndexes   map[string]int          // positions in the settings
	statements      StatementOptions
	roles           map[string]shape.Role    // by class
	unprovenCounts  [shape.NumReasons]uint64 // requests whose statements were not proven safe to repeat, by reason
	Accounts        accounting.Counters      // requests by tenant, class and protocol
	RetryReasons    accounting.ReasonCounts  // repeated attempts, by the end of the previous attempt
	UnservedReasons accounting.ReasonCounts  // refused and failed requests, by reason
	storms          *stormMonitor
	stormsLoggedAt  float64 // when retry storm states were last checked for changes to log
}

// StatementOptions configures how statements are recognized.
type StatementOptions struct {
	Shapes        *shape.Catalog
	Role          func(class string) shape.Role // what the statements of a class may do
	FillEstimates bool                          // use the learned estimate for requests without one
	// DiscardsRepeats reports whether every engine that may run a recognized request discards repeats of it, as a deduplicated
	// class promises. If it is nil, all engines do.
	DiscardsRepeats func(r *Request) bool
	Faults          *faultlog.FaultLog
}

// New creates a Coordinator. wake must cause a call of Turn soon, but must not call it directly.
func New(settings choice.Settings, now func() float64, deadlines *deadline.Queue, backend Backend, wake func(),
	statements StatementOptions) *Coordinator {
	c := &Coordinator{scheduler: choice.New(settings, now()), now: now, deadlines: deadlines, backend: backend, wake: wake,
		statements: statements, requests: map[string]*openRequest{}, classes: map[string]choice.Class{},
		tenantIndexes: map[string]int{}, roles: map[string]shape.Role{}}
	for _, class := range settings.Classes {
		c.classes[class.Name], c.roles[class.Name] = class, statements.Role(class.Name)
	}
	for i, tenant := range settings.Tenants {
		c.tenantIndexes[tenant.Name] = i
	}
	c.storms = newStormMonitor(c.tenantIndexes)
	return c
}

// Check returns an error if the settings do not allow a request to be accepted.
func (c *Coordinator) Check(r *Request) error {
	class, ok := c.classes[r.Class]
	switch {
	case !ok:
		return fmt.Errorf("no class %q", r.Class)
	case len(c.tenantIndexes) > 0 && !c.knowsTenant(r.Tenant):
		return fmt.Errorf("no tenant %q", r.Tenant)
	case class.Idempotency == choice.Deduplicated && r.IdempotencyKey == "":
		return fmt.Errorf("class %s needs an idempotency key", r.Class)
	case class.InOrder && r.OrderKey == "":
		return fmt.Errorf("class %s needs a key for its order", r.Class)
	}
	return nil
}

// knowsTenant reports whether the settings name the tenant.
func (c *Coordinator) knowsTenant(tenant string) bool {
	_, ok := c.tenantIndexes[tenant]
	return ok
}

// Recognize determines the shape of a request's statement. It sets Shape and TableGroup on the first call.
func (c *Coordinator) Recognize(r *Request) {
	if r.Shape == nil {
		r.Shape = c.statements.Shapes.Recognize(r.Statement, r.Dialect, c.tenantIndexes[r.Tenant])
		r.TableGroup = r.Shape.TableGroup
	}
}

// prepare recognizes a request's statement and fills in a missing estimate of its work. A request whose statement is not
// proven to keep the promise of its class is still accepted and passed on unchanged, but it is never sent again once it may
// have run. Without this, a write that its client sends under a class of lookups could run twice.
func (c *Coordinator) prepare(r *Request) {
	c.Recognize(r)
	if reason := c.unprovenReason(r); reason != shape.NoReason {
		r.AtMostOnce, r.unproven = true, true
		c.unprovenCounts[reason]++
		c.statements.Faults.Add("statement-doubted", "why", reason, "class", r.Class, "kind", r.Shape.Kind,
			"shape", r.Shape.Name())
	}
	if r.clientEstimate = r.Work; r.Work <= 0 && c.statements.FillEstimates {
		if estimate := c.statements.Shapes.Estimate(r.Shape); estimate.Usable() {
			r.Work, r.EstimateLearned = estimate.Work, true
			if r.Mem <= 0 {
				r.Mem = estimate.Mem
			}
		}
	}
}

// unprovenReason returns why a recognized request is not proven to keep the promise of its class, or NoReason.
func (c *Coordinator) unprovenReason(r *Request) shape.Reason {
	reason := shape.CheckRole(c.roles[r.Class], &r.Shape.Info)
	if reason == shape.NoReason && c.classes[r.Class].Idempotency == choice.Deduplicated &&
		c.statements.DiscardsRepeats != nil && !c.statements.DiscardsRepeats(r) {
		return shape.RepeatNotDiscarded
	}
	return reason
}

// Unproven returns the number of requests whose statements were not proven safe to repeat for the given reason.
func (c *Coordinator) Unproven(reason shape.Reason) uint64 { return c.unprovenCounts[reason] }

// Unanswered returns the number of requests without an answer.
func (c *Coordinator) Unanswered() int { return c.unanswered }

// enqueue adds an event for the next turn.
func (c *Coordinator) enqueue(event choice.Event) {
	c.pendingEvents = append(c.pendingEvents, event)
	c.wake()
}

// Submit accepts a request. A request that cannot be passed to the scheduler is failed immediately.
func (c *Coordinator) Submit(r *Request) {
	if c.requests[r.ID] != nil {
		// Neither the scheduler nor a worker group can tell two requests with the same id apart.
		r.Client.Fail(errIDOpen.Error())
		return
	}
	c.prepare(r)
	ids := c.clientIDsOf(r)
	if err := c.repeatedIDs.admit(ids, c.now()); err != nil {
		c.statements.Faults.Add("request-repeated", "protocol", r.Protocol, "id", r.ID, "query_id", r.QueryID, "error", err)
		r.Client.Fail(err.Error())
		return
	}
	open := &openRequest{Request: r, ids: ids, acceptedAt: c.now(), failMessage: "no worker group could finish it",
		counts: c.Accounts.CountsFor(c.accountKey(r))}
	open.counts.Accepted++
	c.storms.requestArrived(r, open.acceptedAt)
	open.counts.ValueRequested += c.classes[r.Class].Value
	if r.Repeat {
		open.counts.MarkedRepeats++
	}
	if r.unproven {
		open.counts.Unproven++
	}
	c.requests[r.ID] = open
	c.unanswered++
	logs.Trace("taken", r.ID, "class", r.Class, "key", r.OrderKey, "ms", r.Deadline-open.acceptedAt, "work", r.Work)
	c.enqueue(r.Request)
}

// accountKey returns the key under which a request is counted. If the settings name no tenants, clients may send any tenant
// name. These names are counted together, since separate counts for each would grow without bound.
func (c *Coordinator) accountKey(r *Request) accounting.Key {
	key := accounting.Key{Tenant: r.Tenant, Class: r.Class, Protocol: r.Protocol}
	if !c.knowsTenant(r.Tenant) {
		key.Tenant = ""
	}
	return key
}

// Drop ends a request whose client has disconnected. The client receives no further calls.
func (c *Coordinator) Drop(r *Request) {
	open := c.requests[r.ID]
	if open == nil || open.Request != r || open.answered {
		return
	}
	logs.Trace("dropped", r.ID)
	open.clientLeft = true
	c.finish(open, accounting.Dropped, 0)
	c.enqueue(choice.ClientGone{Request: r.ID})
}

// finish marks a request as answered, counts its ending, and removes it once no attempt is in flight. The latency target grows
// with work, which is the work reported with the result, or 0 to use the estimate.
func (c *Coordinator) finish(open *openRequest, ending accounting.Ending, work float64) {
	if !open.answered {
		open.answered, open.ended = true, true
		c.unanswered--
		class := c.classes[open.Class]
		if work <= 0 {
			work = open.Work
		}
		elapsed, target := c.now()-open.acceptedAt,
			accounting.LatencyTarget(class.LatencyTarget, class.TargetStretch, work, class.Threads)
		open.counts.RecordEnd(ending, elapsed, target, class.Value, class.LateValueShare)
		c.storms.requestEnded(open.Request, ending, ending == accounting.Served && elapsed <= target, c.now())
	}
	c.removeIfDone(open)
}

// removeIfDone removes a request that is answered and has no attempt in flight.
func (c *Coordinator) removeIfDone(open *openRequest) {
	if open.answered && open.inFlight == 0 && c.requests[open.ID] == open {
		delete(c.requests, open.ID)
		c.repeatedIDs.close(open.ids, open.ran, open.clientLeft, c.now())
	}
}

const stormLogInterval = 100.0 // ms between checks for changed retry storm states

// ShutDown makes the scheduler answer all open requests, since the program is about to exit.
func (c *Coordinator) ShutDown() { c.enqueue(choice.ShuttingDown{}) }

// UpdateEngines applies a change of the engine list, or a complete list.
func (c *Coordinator) UpdateEngines(complete bool, engines []ListedEngine) {
	list := choice.EngineList{Complete: complete}
	listed := map[string]bool{}
	for _, e := range engines {
		listed[e.ID] = true
		c.backend.Update(e)
		list.Engines = append(list.Engines, e.Engine)
	}
	if complete {
		c.backend.RemoveUnlisted(listed)
	}
	c.enqueue(list)
}

// AttemptEnded processes the end of an attempt. A result is sent to the client at once, which ends the request.
func (c *Coordinator) AttemptEnded(o Outcome) {
	open := c.requests[o.Request]
	if open == nil {
		return
	}
	open.inFlight--
	open.recordEnd(o.EndReason)
	logs.Trace("ended", o.Request, "attempt", o.Attempt, "engine", o.Engine, "end", o.EndReason, "took", o.Duration,
		"answered", open.answered)
	if o.EndReason == transport.Served {
		c.statements.Shapes.Learn(open.Shape, open.clientEstimate, o.Work, o.Mem)
	}
	if o.EndReason == transport.Served && !open.answered {
		o.Result.Verb = open.Shape.Verb
		open.Client.Serve(o.Result)
		c.finish(open, accounting.Served, o.Work)
	}
	if o.Message != "" {
		open.failMessage = o.Message
	}
	answered := open.answered
	c.removeIfDone(open)
	c.enqueue(choice.Outcome{Request: o.Request, Attempt: o.Attempt, Engine: o.Engine, Result: o.EndReason.Result(),
		Duration: o.Duration, RequestEnded: answered, Work: o.Work, Mem: o.Mem, Report: o.Report})
}

// RequestOverdue reports to the scheduler that the time of a request is over while its attempt may still be running.
func (c *Coordinator) RequestOverdue(request string) {
	if c.requests[request] != nil {
		logs.Trace("overdue", request)
		c.enqueue(choice.Overdue{Request: request})
	}
}

// NoticeReceived processes a progress notice of an attempt in flight.
func (c *Coordinator) NoticeReceived(request, engine string, attempt int, kind choice.NoticeKind, level float64) {
	if open := c.requests[request]; open != nil {
		if receiver, ok := open.Client.(ProgressReceiver); ok && kind == choice.NoticeProgress && !open.answered {
			receiver.Progress(level)
		}
		c.enqueue(choice.Notice{Request: request, Attempt: attempt, Engine: engine, Kind: kind, Level: level})
	}
}

// ProbeEnded processes the end of a probe.
func (c *Coordinator) ProbeEnded(o Outcome) {
	c.enqueue(choice.ProbeResult{Engine: o.Engine, Result: o.EndReason.Result(), Duration: o.Duration, Report: o.Report})
}

// Turn passes all pending events to the scheduler in one step and performs the resulting actions. Events that these
// actions cause immediately are left for the next turn.
func (c *Coordinator) Turn() {
	if len(c.pendingEvents) == 0 {
		return
	}
	events := c.pendingEvents
	c.pendingEvents = nil
	if now := c.now(); now >= c.stormsLoggedAt+stormLogInterval {
		c.stormsLoggedAt = now
		c.storms.logChanges(now)
	}
	for _, a := range c.scheduler.Step(c.now(), events) {
		c.perform(a)
	}
}

// perform carries out one action of the scheduler.
func (c *Coordinator) perform(a choice.Action) {
	switch a := a.(type) {
	case choice.Send:
		c.send(a)
	case choice.SendOptions:
		if open := c.requests[a.Request]; open != nil {
			open.grantMB = a.Grant
		}
	case choice.Cancel:
		logs.Trace("cancel", a.Request, "attempt", a.Attempt)
		c.backend.Cancel(a.Request, a.Attempt)
	case choice.Refuse:
		if open := c.requests[a.Request]; open != nil && !open.answered {
			logs.Trace("refused", a.Request, "sends", open.sends, "why", a.Reason)
			c.UnservedReasons.Add(open.Class, a.Reason.String())
			c.finish(open, accounting.Refused, 0)
			open.Client.Refuse(a.RetryAfter)
		}
	case choice.Fail:
		if open := c.requests[a.Request]; open != nil && !open.answered {
			logs.Trace("failed", a.Request, "sends", open.sends, "why", a.Reason)
			c.UnservedReasons.Add(open.Class, a.Reason.String())
			c.finish(open, accounting.Failed, 0)
			open.Client.Fail(open.failMessage)
		}
	case choice.Wake:
		entry := &deadline.Entry{Do: func() { c.enqueue(choice.Timer{Token: a.Token}) }}
		c.deadlines.Set(entry, a.At)
	case choice.Probe:
		c.backend.Probe(a.Engine)
	case choice.Log:
		slog.Info("module", "text", a.Text)
	}
	// Subscribe and SendToPeer are ignored: the discovery service sends changes without a request, and coordinators
	// exchange no messages.
}

// send starts an attempt of a request.
func (c *Coordinator) send(a choice.Send) {
	open := c.requests[a.Request]
	if open == nil || open.answered {
		return // no attempt is needed: the scheduler knows that the request has ended, or learns it in its next step
	}
	number := open.sends
	open.sends++
	open.inFlight++
	open.counts.Attempts++
	if number > 0 {
		c.recordRetry(open, a.Engine, number)
	}
	open.sentAt = c.now()
	logs.Trace("send", a.Request, "attempt", number, "engine", a.Engine)
	waitUntil := open.Deadline
	if t := c.now() + a.Timeout; a.Timeout > 0 && t < waitUntil {
		waitUntil = t
	}
	c.backend.Send(Attempt{Request: open.Request, Engine: a.Engine, Number: number, Grant: open.grantMB, WaitUntil: waitUntil,
		NotAfter: a.NotAfter, Threads: max(c.classes[open.Class].Threads, 1)})
}
