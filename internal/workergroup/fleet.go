// Package workergroup implements the client side of the worker groups' HTTP/1.1 protocol. A connection carries one call at a
// time, and a query is not tied to a connection: any connection to its worker group can be used to poll or delete it.
package workergroup

import (
	"thymeway/choice"
	"thymeway/internal/coordinator"
	"thymeway/internal/deadline"
	"thymeway/internal/directory"
	"thymeway/internal/faultlog"
	"thymeway/internal/transport"
)

// Timeouts, pauses (in milliseconds) and limits.
const (
	pollTimeout            = 650.0  // for the POST and for polls, to which worker groups respond within 250 ms
	callTimeout            = 500.0  // for other calls
	partialResponseTimeout = 60.0   // for the rest of a response after its first bytes
	probeTimeout           = 250.0  // for a probe
	unpolledTimeout        = 2000.0 // a worker group drops a query that was not polled for this long
	unpolledSlack          = 350.0  // for network delay, and for the last response that the worker group delays
	retryPause             = 150.0  // before polling again without a response, or after one that may describe an earlier state
	reconnectPause         = 20.0   // before calling again after a broken connection or an invalid response
	trailingBytesPause     = 4.0    // after a response other than 202, to detect excess bytes before the connection is reused
	refusedPause           = 50.0   // after a refused connection, before another one is opened
	deleteDelay            = 30.0   // from a POST to the DELETE of its query, which must not overtake it on another connection
	dropCheckInterval      = 250.0  // between checks whether a worker group has run since it must have dropped a query
	maxUnresponsive        = 100e3  // a worker group may be unresponsive for this long and still resume its queries
	maxConnSilence         = 100e3  // a silent connection is kept this long, the minimum for TCP to retry (RFC 1122, 4.2.3.5)
	maxSegmentLifetime     = 120e3  // the network may deliver a segment this late (RFC 9293, 3.4.1)
	maxFailedDials         = 4      // failed dials since the latest response that are tolerated before a reset dial fails a call
	maxInvalidResponses    = 8      // consecutive invalid responses and failed page requests before a query is cancelled
	maxPages               = 64     // of a result
	maxResultBytes         = 48000  // of a whole result
)

// Fleet holds the worker groups named by the discovery service, and the addresses of earlier ones that still have attempts or
// connections. It implements coordinator.Backend.
type Fleet struct {
	Dialer          transport.Dialer
	Deadlines       *deadline.Queue
	Now             func() float64
	Listener        coordinator.AttemptListener
	Faults          *faultlog.FaultLog
	ConnectTimeout  float64 // in ms, for the wait for a connection
	ConnIdleTimeout float64 // in ms, after which an idle connection is closed
	MaxConns        int     // limit over all worker groups

	groups      directory.Directory[*group]
	attempts    map[attemptKey]*attempt
	connCount   int // open connections and those being established, over all worker groups
	dialedCount int // connections dialed so far; numbers them for the log
}

// attemptKey identifies an attempt by its request and its number within the request.
type attemptKey struct {
	request string
	number  int
}

// Update adds or updates a listed worker group. If it is not healthy, attempts that were not yet sent to it are ended.
func (f *Fleet) Update(e coordinator.ListedEngine) {
	if e.Status == choice.Removed {
		f.groups.Remove(e.ID)
		return
	}
	if g, known := f.groups.Get(e.ID); known && e.Status != choice.Healthy {
		g.finishUnsent(e.ID)
	}
	f.groups.Update(e.ID, e.Addr, func(endpoint directory.Endpoint) *group { return &group{fleet: f, Endpoint: endpoint} })
}

// RemoveUnlisted applies a complete list: worker groups that are not in it are removed, and attempts that were not yet sent to
// them are ended.
func (f *Fleet) RemoveUnlisted(listed map[string]bool) { f.groups.RemoveUnlisted(listed) }

// removeIfUnused deletes a group without a listed worker group once it has no connection, attempt or waiting call.
func (f *Fleet) removeIfUnused(g *group) {
	if f.groups.RemoveIfUnused(g) {
		f.Deadlines.Cancel(&g.redialTimer)
	}
}

// ensureConnCapacity reports whether one more connection may be opened. At the limit it closes an idle connection, or else
// aborts the one that has been silent for longest. Without that, silent connections could use up the limit, and no worker
// group could be reached.
func (f *Fleet) ensureConnCapacity() bool {
	if f.connCount < f.MaxConns {
		return true
	}
	return f.CloseIdleConn() || f.abortSilent()
}

// CloseIdleConn closes an idle connection of the worker group that has the most of them. It returns false if there is none.
func (f *Fleet) CloseIdleConn() bool {
	var mostIdle *group
	for _, g := range f.groups.All() {
		if mostIdle == nil || len(g.idle) > len(mostIdle.idle) {
			mostIdle = g
		}
	}
	if mostIdle == nil || len(mostIdle.idle) == 0 {
		return false
	}
	cn := mostIdle.idle[0]
	cn.removeIdle()
	cn.transport.Close()
	cn.detach()
	return true
}

// abortSilent aborts the connection that has been silent for longest. It returns false if there is none.
func (f *Fleet) abortSilent() bool {
	var longestSilent *conn
	for _, g := range f.groups.All() {
		if len(g.silent) > 0 && (longestSilent == nil || g.silent[0].call.writtenAt < longestSilent.call.writtenAt) {
			longestSilent = g.silent[0]
		}
	}
	if longestSilent == nil {
		return false
	}
	longestSilent.abort()
	return true
}

// dialForWaiting opens connections for calls that had to wait because of the connection limit.
func (f *Fleet) dialForWaiting() {
	for _, g := range f.groups.All() {
		g.dial()
	}
}

// InFlight returns the number of attempts that have not ended.
func (f *Fleet) InFlight() int { return len(f.attempts) }

// Send starts an attempt.
func (f *Fleet) Send(spec coordinator.Attempt) {
	g, _ := f.groups.Get(spec.Engine)
	a := &attempt{Attempt: spec, fleet: f, group: g, startedAt: f.Now()}
	a.begin()
}

// Cancel cancels an attempt, if it is in flight. AttemptListener.AttemptEnded follows once the attempt is proven to have ended.
func (f *Fleet) Cancel(request string, number int) {
	if a := f.attempts[attemptKey{request, number}]; a != nil {
		a.cancel(transport.Cancelled)
	}
}

// Probe requests a worker group's load report and passes it to AttemptListener.ProbeEnded.
func (f *Fleet) Probe(engine string) {
	g, _ := f.groups.Get(engine)
	sentAt := f.Now()
	done := func(r *response, reason transport.EndReason) {
		outcome := coordinator.Outcome{Engine: engine, EndReason: reason, Duration: f.Now() - sentAt}
		if r != nil {
			outcome.Report = r.report
			if r.status != 200 {
				outcome.EndReason = transport.Full
			}
		}
		f.Listener.ProbeEnded(outcome)
	}
	if g == nil {
		done(nil, transport.Unreachable)
		return
	}
	g.start(&call{build: func() []byte { return buildRequest("GET", "/busy", g.Addr, "", nil) },
		timeout: probeTimeout, done: done})
}

// buildRequest returns the bytes of an HTTP request; headers holds names and values in turn.
func buildRequest(method, path, host, body string, headers []string) []byte {
	const usualHeadBytes = 256
	b := make([]byte, 0, usualHeadBytes+len(body))
	b = append(b, method+" "+path+" HTTP/1.1\r\nHost: "+host+"\r\n"...)
	for i := 0; i+1 < len(headers); i += 2 {
		b = append(b, headers[i]+": "+headers[i+1]+"\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, body...)
}
