// Package chengine runs attempts on engines that speak ClickHouse's HTTP interface. Each query occupies one connection until
// its response is complete. If that connection breaks, the package asks the engine by query_id whether the query is still
// running.
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
	"thymeway/internal/faultlog"
	"thymeway/internal/membudget"
	"thymeway/internal/result"
	"thymeway/internal/shape"
	"thymeway/internal/transport"
)

// Limits on calls to engines. Times are in ms.
const (
	controlTimeout     = 500.0    // for the response to a control query: KILL QUERY or the check whether a query is running
	probeTimeout       = 250.0    // for the response to a probe
	pollPause          = 100.0    // between two checks whether a query is still running
	responseSlack      = 200.0    // for the response to arrive after the time limit of a query
	progressInterval   = 500      // between two progress headers, as requested from the engine
	maxControlBytes    = 64 << 10 // limit for the response to a control query or probe
	codeTooManyQueries = 202      // TOO_MANY_SIMULTANEOUS_QUERIES: the query was refused and has not run
)

// Fleet sends attempts to all listed engines that speak ClickHouse's HTTP interface. It implements coordinator.Backend.
type Fleet struct {
	Dialer           transport.Dialer
	Deadlines        *deadline.Queue
	Now              func() float64
	Listener         coordinator.AttemptListener
	Faults           *faultlog.FaultLog
	ConnIdleTimeout  float64 // ms after which an idle connection is closed
	MaxConns         int     // limit for the connections to all engines together
	MaxResultBytes   int     // limit for one result
	MaxBufferedBytes int     // limit for all results being received together; 0: no limit
	// Credentials returns the login for engines of a kind. If it is nil or returns an empty user, no login is sent.
	Credentials func(kind string) (user, password string)

	engines  directory.Directory[*engine]
	attempts map[attemptKey]*attempt
	conns    int
	buffered membudget.Budget // bytes of all response bodies being received
}

// attemptKey identifies an attempt by its request and its number within the request.
type attemptKey struct {
	request string
	number  int
}

// Update adds or updates a listed engine. If it is not healthy, attempts whose query was not yet written to it end as expired.
func (f *Fleet) Update(listed coordinator.ListedEngine) {
	if listed.Status == choice.Removed {
		f.engines.Remove(listed.ID)
		return
	}
	if listed.Status != choice.Healthy {
		f.finishUnsent(listed.ID)
	}
	f.engines.Update(listed.ID, listed.Addr,
		func(endpoint directory.Endpoint) *engine { return &engine{fleet: f, Endpoint: endpoint} })
	if e, current := f.engines.Get(listed.ID); current {
		e.kind = listed.Kind
	}
}

// RemoveUnlisted removes the engines that a complete list does not name.
func (f *Fleet) RemoveUnlisted(named map[string]bool) { f.engines.RemoveUnlisted(named) }

// finishUnsent ends the attempts that still wait for a connection to an engine, as the engine accepts no new queries.
func (f *Fleet) finishUnsent(id string) {
	var waiting []*attempt
	for _, a := range f.attempts {
		if a.Engine == id && !a.written {
			waiting = append(waiting, a)
		}
	}
	slices.SortFunc(waiting, func(a, b *attempt) int { return cmp.Compare(a.queryID, b.queryID) })
	for _, a := range waiting {
		a.finish(transport.Expired)
	}
}

// InFlight returns the number of attempts that have not ended.
func (f *Fleet) InFlight() int { return len(f.attempts) }

// Probe checks whether an engine answers, and reports the outcome to Listener.ProbeEnded.
func (f *Fleet) Probe(id string) {
	e, _ := f.engines.Get(id)
	startedAt := f.Now()
	report := func(r *response, reason transport.EndReason) {
		outcome := coordinator.Outcome{Engine: id, EndReason: reason, Duration: f.Now() - startedAt}
		if r != nil && r.Status != 200 {
			outcome.EndReason = transport.Full
		}
		f.Listener.ProbeEnded(outcome)
	}
	if e == nil {
		report(nil, transport.Unreachable)
		return
	}
	e.start(&call{build: func() []byte { return e.buildRequest("GET", "/ping", nil, "") },
		timeout: probeTimeout, maxBodyBytes: maxControlBytes, done: report})
}

// buildRequest returns the bytes of an HTTP request; headers holds complete header lines.
func (e *engine) buildRequest(method, target string, body []byte, headers string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, target, e.Addr)
	if e.fleet.Credentials != nil {
		if user, password := e.fleet.Credentials(e.kind); user != "" {
			fmt.Fprintf(&b, "X-ClickHouse-User: %s\r\nX-ClickHouse-Key: %s\r\n", user, password)
		}
	}
	b.WriteString(headers)
	if method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

// attempt is one run of a query on an engine, from Send to its reported end.
type attempt struct {
	coordinator.Attempt
	fleet         *Fleet
	engine        *engine
	queryID       string // sent to the engine as query_id
	startedAt     float64
	written       bool  // the query was written to a connection
	queryCall     *call // carries the query
	controlCall   *call // the KILL QUERY or check in progress
	overdue       bool  // the client must be answered, and the coordinator was told
	cancelled     bool  // KILL QUERY was sent
	tooLateToSend bool  // the attempt had expired when its connection became available, so the query was not written
	connLost      bool  // the query's connection broke, so the response can't arrive any more
	finished      bool
	endReason     transport.EndReason // the reason to report once the query is known not to be running
	outcome       coordinator.Outcome
	waitTimer     deadline.Entry // fires when the client must be answered, and once more responseSlack later
	retryTimer    deadline.Entry // fires for the next check whether the query is running
}

// Send starts an attempt. Its outcome is reported to Listener.AttemptEnded.
func (f *Fleet) Send(request coordinator.Attempt) {
	e, _ := f.engines.Get(request.Engine)
	a := &attempt{Attempt: request, fleet: f, engine: e, startedAt: f.Now(),
		queryID: request.ID + "-" + strconv.Itoa(request.Number)}
	a.outcome = coordinator.Outcome{Request: a.ID, Engine: a.Engine, Attempt: a.Number}
	if a.engine == nil {
		a.finish(transport.Unreachable)
		return
	}
	if f.attempts == nil {
		f.attempts = map[attemptKey]*attempt{}
	}
	f.attempts[attemptKey{a.ID, a.Number}] = a
	a.engine.attemptCount++
	a.waitTimer.Do = a.waitEnded
	f.Deadlines.Set(&a.waitTimer, a.WaitUntil)
	a.queryCall = &call{build: a.buildQuery, queryID: a.queryID, timeout: a.WaitUntil - f.Now() + responseSlack, maxBodyBytes: f.MaxResultBytes,
		progress: a.reportProgress, done: a.queryDone}
	a.engine.start(a.queryCall)
}

// waitEnded handles the end of the time to wait for the attempt: first when the client must be answered, then when the engine
// must have ended the query itself. The event loop may be so late that the second time has come at the first call.
func (a *attempt) waitEnded() {
	switch {
	case !a.written:
		a.finish(transport.Unreachable)
	case a.overdue: // max_execution_time is over
		a.finish(a.endReason)
	default:
		// The client is answered now. The query may still be running, so the end of the attempt is reported only when the engine
		// confirms it or max_execution_time is over.
		a.overdue = true
		a.fleet.Listener.RequestOverdue(a.ID)
		if !a.cancelled {
			a.cancel(transport.NoAnswer)
		}
		if !a.finished {
			a.fleet.Deadlines.Set(&a.waitTimer, a.WaitUntil+responseSlack)
		}
	}
}

// buildQuery returns the bytes of the query's request, or nil if the attempt has expired. It limits the execution time to what
// is left now, so the engine ends an overdue query itself.
func (a *attempt) buildQuery() []byte {
	if a.tooLateToSend = a.Expired(a.fleet.Now()); a.tooLateToSend {
		return nil
	}
	remaining := a.WaitUntil - a.fleet.Now()
	a.written = true
	parameters := url.Values{}
	set := func(name, value string) { parameters.Set(name, value) }
	text, data, clickHouse := []byte(a.Statement), []byte(nil), a.ClickHouse
	if clickHouse != nil {
		for _, s := range clickHouse.Settings {
			set(s[0], s[1])
		}
		for _, p := range clickHouse.Params {
			set("param_"+p[0], p[1])
		}
		if clickHouse.Database != "" {
			set("database", clickHouse.Database)
		}
		text, data = []byte(clickHouse.Text), clickHouse.Data
	}
	set("query_id", a.queryID)
	set("default_format", "TabSeparatedWithNamesAndTypes")
	set("wait_end_of_query", "1")
	set("send_progress_in_http_headers", "1")
	set("http_headers_progress_interval_ms", strconv.Itoa(progressInterval))
	set("max_execution_time", strconv.FormatFloat(math.Ceil(remaining)/1000, 'f', 3, 64))
	if a.IdempotencyKey != "" {
		set("insert_deduplication_token", a.IdempotencyKey)
	}
	if a.Grant > 0 {
		set("max_memory_usage", strconv.FormatInt(int64(math.Ceil(a.Grant))<<20, 10))
	}
	if len(data) > 0 { // the query goes into the URL, its data into the body
		set("query", string(text))
		text = data
	}
	return a.engine.buildRequest("POST", "/?"+parameters.Encode(), text, "X-Class: "+a.Class+"\r\n")
}

// reportProgress passes on the JSON value of a progress header. Values that can't be parsed are ignored.
func (a *attempt) reportProgress(value string) {
	var rows struct {
		Read  string `json:"read_rows"`
		Total string `json:"total_rows_to_read"`
	}
	if json.Unmarshal([]byte(value), &rows) != nil || a.finished || a.cancelled {
		return
	}
	read, readErr := strconv.ParseFloat(rows.Read, 64)
	total, totalErr := strconv.ParseFloat(rows.Total, 64)
	if readErr == nil && totalErr == nil && total > 0 {
		a.fleet.Listener.NoticeReceived(a.ID, a.Engine, a.Number, choice.NoticeProgress, math.Max(0, math.Min(read/total, 1)))
	}
}

// queryDone handles the end of the query's call. Only a connection that was never established proves that nothing ran.
func (a *attempt) queryDone(r *response, reason transport.EndReason) {
	a.queryCall = nil
	switch {
	case a.finished:
	case r != nil && a.cancelled:
		a.finish(a.endReason)
	case r != nil:
		a.processResponse(r)
	case a.tooLateToSend:
		a.finish(transport.Expired)
	case !a.written && (reason == transport.ConnRefused || reason == transport.NoDescriptor):
		a.finish(reason)
	case !a.written:
		a.finish(transport.Unreachable)
	case a.cancelled: // kill and checkRunning finish the attempt
	case reason == transport.NoDescriptor: // the results being received exceed MaxBufferedBytes
		a.cancel(transport.Failed)
	case reason == transport.Malformed: // the response can't be parsed, and the query may still be running
		a.cancel(transport.Malformed)
	default:
		a.connLost, a.endReason = true, transport.QueryLost
		a.checkRunning()
	}
}

// processResponse finishes the attempt according to the complete response to its query. Status 200 does not prove success: an
// engine that fails after it has sent the status writes the exception into the body, where it would be read as rows of the
// result.
func (a *attempt) processResponse(r *response) {
	code := r.Get("x-clickhouse-exception-code")
	if code == "" && r.Status != 200 {
		if _, rest, ok := strings.Cut(string(r.body[:min(len(r.body), 40)]), "Code: "); ok {
			code, _, _ = strings.Cut(rest, ".")
		}
	}
	switch {
	case code == strconv.Itoa(codeTooManyQueries):
		a.finish(transport.Full)
	case rejectionCodes[code]:
		a.outcome.Message = strings.TrimSpace(string(r.body[:min(len(r.body), maxMessageBytes)]))
		a.finish(transport.Rejected)
	case code != "" || r.Status != 200:
		a.finish(transport.Failed)
	case endsWithException(r):
		a.fleet.Faults.Add("engine-fault-behind-status", "engine", a.Engine, "bytes", len(r.body))
		a.finish(transport.Failed)
	default:
		set, err := result.Parse(r.body)
		summary := parseSummary(r.Get("x-clickhouse-summary"))
		if err == nil {
			err = a.checkComplete(r, set, summary)
		}
		if err != nil {
			a.fleet.Faults.Add("engine-spoilt", "engine", a.Engine, "what", "result", "error", err)
			a.finish(transport.Failed)
			return
		}
		a.outcome.Result = set
		a.outcome.Duration = a.fleet.Now() - a.startedAt
		a.outcome.Work, a.outcome.Mem = summary.elapsed*a.Threads, summary.mem // the scheduler counts the work of all threads
		a.finish(transport.Served)
	}
}

// checkComplete returns an error if a result has fewer rows than its engine states, or no columns although the statement reads.
// Without it, a response whose length is too short and ends with a row would pass for a shorter result.
func (a *attempt) checkComplete(r *response, set *result.Set, summary summary) error {
	reads := a.Shape != nil && (a.Shape.Kind == shape.Read || a.Shape.Kind == shape.Aggregate)
	switch {
	case reads && len(set.Columns) == 0 && !strings.EqualFold(r.Get("x-clickhouse-format"), "Null"):
		return fmt.Errorf("%w: a statement that reads has no columns", result.ErrIncomplete)
	case len(set.Columns) > 0 && float64(set.RowCount()) < summary.resultRows:
		return fmt.Errorf("%w: %d rows of %.0f", result.ErrIncomplete, set.RowCount(), summary.resultRows)
	}
	return nil
}

const maxMessageBytes = 2000 // longest part of an exception's text that is passed on to the client

// rejectionCodes are the exception codes with which an engine rejects a query while analyzing it: nothing has run, and any
// other engine would reject it too. A code that may also occur after rows were read or written must not be listed, because a
// query that failed with it may have had effects.
var rejectionCodes = map[string]bool{
	"16": true, "42": true, "43": true, "46": true, "47": true, "60": true, "62": true, "81": true, "115": true, "215": true,
	"457": true, "497": true,
}

// endsWithException reports whether a body ends with an exception. Newer engines mark it with a random tag, announced in a
// header, that no row can contain; older engines write it as the last line.
func endsWithException(r *response) bool {
	if tag := r.Get("x-clickhouse-exception-tag"); tag != "" {
		return bytes.Contains(r.body, []byte("__exception__\r\n"+tag))
	}
	body := bytes.TrimRight(r.body, "\r\n")
	lastLine := body[bytes.LastIndexByte(body, '\n')+1:]
	return bytes.HasPrefix(lastLine, []byte("Code: ")) && bytes.Contains(lastLine, []byte("DB::Exception: ")) ||
		bytes.Contains(r.body, []byte("\r\n__exception__\r\n"))
}

// summary is what the summary header of a response states of its query; 0: not stated. It does not contain the CPU time.
type summary struct {
	elapsed    float64 // ms
	mem        float64 // MB
	resultRows float64
}

// parseSummary parses the summary header of a response. What can't be parsed counts as not stated.
func parseSummary(text string) summary {
	var fields struct {
		Elapsed    string `json:"elapsed_ns"`
		Memory     string `json:"memory_usage"`
		ResultRows string `json:"result_rows"`
	}
	if json.Unmarshal([]byte(text), &fields) != nil {
		return summary{}
	}
	number := func(text string) float64 {
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || !(value >= 0) || math.IsInf(value, 0) {
			return 0
		}
		return value
	}
	return summary{elapsed: number(fields.Elapsed) / 1e6, mem: number(fields.Memory) / (1 << 20),
		resultRows: number(fields.ResultRows)}
}

// Cancel cancels an attempt, if it is in flight. AttemptListener.AttemptEnded follows once the query is known not to be running.
func (f *Fleet) Cancel(id string, number int) {
	a := f.attempts[attemptKey{id, number}]
	switch {
	case a == nil || a.cancelled || a.finished:
	case !a.written:
		if a.queryCall != nil {
			a.queryCall.abandon()
		}
		a.finish(transport.Cancelled)
	default:
		a.cancel(transport.Cancelled)
	}
}

// cancel kills a query that was written. The attempt finishes with the reason once the query is not running any more.
func (a *attempt) cancel(reason transport.EndReason) {
	a.cancelled, a.endReason = true, reason
	a.fleet.Deadlines.Cancel(&a.retryTimer)
	if a.controlCall != nil {
		a.controlCall.abandon()
		a.controlCall = nil
	}
	a.kill(func(*response, transport.EndReason) { a.checkRunning() })
}

// kill sends KILL QUERY over another connection, and calls done with the engine's response. done may be nil.
func (a *attempt) kill(done func(*response, transport.EndReason)) {
	if done == nil {
		done = func(*response, transport.EndReason) {}
	}
	a.runControlQuery("KILL QUERY WHERE query_id = '"+a.queryID+"' ASYNC", done)
}

// runControlQuery sends a KILL QUERY or a check for this attempt's query. At most one of them is in progress at a time.
func (a *attempt) runControlQuery(text string, done func(*response, transport.EndReason)) {
	c := &call{timeout: controlTimeout, maxBodyBytes: maxControlBytes}
	c.build = func() []byte { return a.engine.buildRequest("POST", "/?default_format=TabSeparated", []byte(text), "") }
	c.done = func(r *response, reason transport.EndReason) {
		if a.controlCall == c {
			a.controlCall = nil
		}
		done(r, reason)
	}
	a.controlCall = c
	a.engine.start(c)
}

// checkRunning asks the engine whether the query is still running, and repeats that until it is not.
func (a *attempt) checkRunning() {
	if a.finished {
		return
	}
	a.runControlQuery("SELECT count() FROM system.processes WHERE query_id = '"+a.queryID+"'",
		func(r *response, reason transport.EndReason) {
			switch {
			case a.finished:
			case r != nil && r.Status == 200 && string(bytes.TrimSpace(r.body)) == "0":
				a.finish(a.endReason)
			case reason == transport.ConnRefused && a.engine.openConns == 0:
				// The engine's process has ended, and the query with it.
				if a.endReason == transport.QueryLost {
					a.endReason = transport.ProcessDied
				}
				a.finish(a.endReason)
			case r != nil && r.Status == 200 && a.connLost && !a.cancelled:
				// The query is running, but its response can't arrive any more.
				a.cancel(a.endReason)
			default:
				a.retryTimer.Do = a.checkRunning
				a.fleet.Deadlines.Set(&a.retryTimer, a.fleet.Now()+pollPause)
			}
		})
}

// finish ends the attempt and reports its outcome. Further calls have no effect.
func (a *attempt) finish(reason transport.EndReason) {
	if a.finished {
		return
	}
	a.finished = true
	fleet := a.fleet
	fleet.Deadlines.Cancel(&a.waitTimer)
	fleet.Deadlines.Cancel(&a.retryTimer)
	if a.queryCall != nil {
		a.queryCall.abandon()
		a.queryCall = nil
	}
	if k := (attemptKey{a.ID, a.Number}); fleet.attempts[k] == a {
		delete(fleet.attempts, k)
		a.engine.attemptCount--
		defer fleet.engines.RemoveIfUnused(a.engine)
	}
	a.outcome.EndReason = reason
	if reason != transport.Served {
		a.outcome.Duration, a.outcome.Result = fleet.Now()-a.startedAt, nil
	}
	fleet.Listener.AttemptEnded(a.outcome)
}
