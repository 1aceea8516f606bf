package workergroup

import (
	"maps"
	"slices"

	"thymeway/internal/deadline"
	"thymeway/internal/directory"
	"thymeway/internal/logs"
	"thymeway/internal/transport"
)

// call is one HTTP call to a worker group. done is called once, unless the call is abandoned. The connection of a call that
// keeps a query alive stays open until the call is settled.
type call struct {
	group                   *group
	build                   func() []byte // returns the bytes just before they are written; nil withdraws the call
	timeout                 float64       // for the response, in ms from when the call is written
	done                    func(r *response, e transport.EndReason)
	onLateResponse          func(r *response) // called with a response that arrives after the timeout; nil ignores it
	waitsForConn            bool              // concerns a query that may be running, so a refused connection does not fail it
	keepsAlive              *query            // the query that the call keeps alive, if any
	writtenAt               float64           // when the call was written
	connNumber              int               // the connection that the call was written to, for the log
	writtenAfterPostSettled bool              // the call was written after the query's POST was settled
	settled                 bool              // the call has arrived at the worker group or never will
	timer                   deadline.Entry    // ends the wait for a connection or for the response, or settles the call
}

// group holds the connections to the address of a worker group, the calls that wait for a connection, and the queries that were
// sent there. If another worker group is listed with the address, both share the group: the queries may run on either.
type group struct {
	directory.Endpoint
	fleet          *Fleet
	idle           []*conn        // most recently used last
	respondingConn *conn          // the connection whose response is being processed
	waiting        []*call        // in order of arrival
	dialingCount   int            // connections of the present generation being established
	pausingCount   int            // connections that pause after a response and are then free for the next call
	connCount      int            // all connections, including those being established
	silent         []*conn        // connections whose keep-alive call timed out or got a malformed response, longest silent first
	redialTimer    deadline.Entry // scheduled after a refused connection; no connection is opened before it fires
	failedDials    int            // failures to establish a connection for a waiting call since the latest response
	lastRanAt      float64        // when the latest call with a response was written: the process was running then or later
	refusing       bool           // the latest connection was refused; an unresponsive process would accept it
	attemptCount   int
	queries        map[string]*query // by request id
}

// conn is a connection to a worker group.
type conn struct {
	group         *group
	number        int    // for the log
	server        string // id of the worker group that was listed with the address when the connection was dialed, for the log
	generation    int    // of the endpoint when the connection was dialed
	transport     transport.Conn
	parser        parser
	call          *call
	responseBegun bool      // part of a response has arrived
	unconfirmed   *response // complete by its length, while there is unread input that may show that its length is wrong
	ignoresInput  bool      // input is discarded: the connection is kept only to learn of its end
	pausing       bool
	timer         deadline.Entry // ends the pause, or closes the connection after a long idle or silent time
}

// start writes a call to an idle connection, or queues it until a connection is established or becomes free.
func (g *group) start(c *call) {
	c.group = g
	if cn := g.respondingConn; cn != nil {
		g.respondingConn = nil
		cn.writeCall(c)
		return
	}
	for n := len(g.idle); n > 0; n = len(g.idle) {
		cn := g.idle[n-1]
		cn.removeIdle()
		// Without this check, stray bytes or a reset that arrived in the meantime would count as the outcome of this call.
		if cn.transport.Idle() {
			cn.writeCall(c)
			return
		}
		cn.close()
	}
	c.timer.Do = func() {
		reason := transport.Unreachable
		if g.dialingCount == 0 {
			reason = transport.NoDescriptor
		}
		g.failWaiting(c, reason)
	}
	g.fleet.Deadlines.Set(&c.timer, g.fleet.Now()+g.fleet.ConnectTimeout)
	g.waiting = append(g.waiting, c)
	g.dial()
}

// dial opens a connection if more calls wait than connections are being established or pause, and if the connection limit
// allows it. Otherwise a waiting call takes a connection that becomes free, or times out.
func (g *group) dial() {
	if g.dialingCount+g.pausingCount >= len(g.waiting) || g.redialTimer.Scheduled() || !g.fleet.ensureConnCapacity() {
		return
	}
	g.dialingCount++
	g.connCount++
	g.fleet.connCount++
	g.fleet.dialedCount++
	g.fleet.Dialer.Dial(g.Addr, &conn{group: g, number: g.fleet.dialedCount, server: g.ServerID(), generation: g.Generation()})
}

// failWaiting fails a call that still waits for a connection.
func (g *group) failWaiting(c *call, reason transport.EndReason) {
	if g.removeWaiting(c) {
		c.done(nil, reason)
	}
}

// failFirstWaiting fails the first waiting call that the failed connection may have been meant for. A draining worker group
// refuses connections and goes on running its queries, so after a refused connection the calls that concern those queries keep
// waiting for an open connection.
func (g *group) failFirstWaiting(reason transport.EndReason) {
	for _, c := range g.waiting {
		if !c.waitsForConn || reason != transport.ConnRefused {
			g.failWaiting(c, reason)
			return
		}
	}
}

// removeWaiting removes a call from the waiting calls and reports whether it was among them.
func (g *group) removeWaiting(c *call) bool {
	for i, x := range g.waiting {
		if x == c {
			g.waiting = append(g.waiting[:i:i], g.waiting[i+1:]...)
			g.fleet.Deadlines.Cancel(&c.timer)
			return true
		}
	}
	return false
}

// finishUnsent ends the attempts on a worker group whose POST still waits for a connection, as it accepts no new queries.
func (g *group) finishUnsent(server string) {
	for _, id := range slices.Sorted(maps.Keys(g.queries)) {
		for _, a := range slices.Clone(g.queries[id].attempts) {
			if a.postedAt == 0 && a.Engine == server {
				a.finish(transport.Expired)
			}
		}
	}
}

// Unused reports whether the group has no connection, attempt or waiting call.
func (g *group) Unused() bool { return g.connCount == 0 && g.attemptCount == 0 && len(g.waiting) == 0 }

// ServerReplaced ends the attempts that were not yet sent to a worker group, as it was removed or another one is listed with its
// address, and closes the idle connections. Queries that were sent may be running on the new one: nothing proves that they have
// ended.
func (g *group) ServerReplaced(server string) {
	g.dialingCount = 0
	g.finishUnsent(server)
	for len(g.idle) > 0 {
		cn := g.idle[0]
		cn.removeIdle()
		cn.close()
	}
}

// abandon discards the outcome of a call. If the call was written already, its response is still read from the connection.
func (c *call) abandon() {
	if !c.group.removeWaiting(c) {
		c.done = func(*response, transport.EndReason) {}
	}
}

// isWaiting reports whether a call still waits for a connection.
func (c *call) isWaiting() bool { return slices.Contains(c.group.waiting, c) }

// writeCall builds a call, writes it and starts its timeout.
func (cn *conn) writeCall(c *call) {
	f := cn.group.fleet
	b := c.build()
	if b == nil {
		cn.makeAvailable(0)
		c.done(nil, transport.Unreachable)
		return
	}
	cn.call, c.writtenAt, c.connNumber = c, f.Now(), cn.number
	c.timer.Do = func() {
		// A connection to a machine that is cut off from the network stays open without any sign of failure, so only this
		// timeout ends the wait.
		if c.keepsAlive == nil {
			cn.close()
			cn.failCall(transport.NoAnswer)
			return
		}
		done := c.done
		c.done = func(r *response, _ transport.EndReason) {
			if r != nil && c.onLateResponse != nil {
				c.onLateResponse(r)
			}
		}
		cn.keepSilent()
		done(nil, transport.NoAnswer)
	}
	f.Deadlines.Set(&c.timer, f.Now()+c.timeout)
	if c.keepsAlive != nil {
		c.keepsAlive.callWritten()
	}
	cn.transport.Write(b)
}

// keepSilent keeps a connection open whose call has timed out. After a close, the operating system would go on sending what
// was written and never report whether it arrived. A query could then start, or be kept alive, once the network recovers.
func (cn *conn) keepSilent() {
	g := cn.group
	g.silent = append(g.silent, cn)
	cn.timer.Do = func() {
		cn.abort()
		g.fleet.dialForWaiting()
		g.fleet.removeIfUnused(g)
	}
	g.fleet.Deadlines.Set(&cn.timer, g.fleet.Now()+maxConnSilence)
}

// removeSilent removes the connection from the silent connections, if it is among them.
func (cn *conn) removeSilent() {
	if index := slices.Index(cn.group.silent, cn); index >= 0 {
		cn.group.silent = slices.Delete(cn.group.silent, index, index+1)
		cn.group.fleet.Deadlines.Cancel(&cn.timer)
	}
}

// abort makes the operating system discard what it has not sent yet. What is already in the network may still arrive for up to
// maxSegmentLifetime, so the call is settled only after that.
func (cn *conn) abort() {
	f := cn.group.fleet
	f.Faults.Add("engine-aborted", "engine", cn.server, "addr", cn.group.Addr, "silent", f.Now()-cn.call.writtenAt)
	cn.transport.Abort()
	cn.detach()
	c := cn.call
	cn.call = nil
	c.timer.Do = c.settle
	f.Deadlines.Set(&c.timer, f.Now()+maxSegmentLifetime)
}

// makeAvailable uses the connection for the next waiting call, after a pause in ms, or adds it to the idle connections. It
// closes a connection that was opened for an earlier worker group, and one that is not needed any more.
func (cn *conn) makeAvailable(pause float64) {
	g := cn.group
	if cn.generation != g.Generation() || g.ServerID() == "" && len(g.waiting) == 0 {
		cn.close()
		return
	}
	if pause > 0 {
		cn.pausing = true
		g.pausingCount++
		cn.timer.Do = func() {
			cn.endPause()
			if cn.transport.Idle() {
				cn.makeAvailable(0)
			} else {
				cn.close()
			}
		}
		g.fleet.Deadlines.Set(&cn.timer, g.fleet.Now()+pause)
		return
	}
	if len(g.waiting) > 0 {
		c := g.waiting[0]
		g.removeWaiting(c)
		cn.writeCall(c)
		return
	}
	g.idle = append(g.idle, cn)
	cn.timer.Do = func() {
		cn.removeIdle()
		cn.close()
	}
	g.fleet.Deadlines.Set(&cn.timer, g.fleet.Now()+g.fleet.ConnIdleTimeout)
	g.fleet.dialForWaiting()
}

// endPause ends the pause after a response.
func (cn *conn) endPause() {
	if cn.pausing {
		cn.pausing = false
		cn.group.pausingCount--
	}
}

// endDialing stops counting the connection among those being established.
func (cn *conn) endDialing() {
	if cn.generation == cn.group.Generation() {
		cn.group.dialingCount--
	}
}

// removeIdle stops the connection's timer and removes it from the idle connections, if it is among them.
func (cn *conn) removeIdle() {
	cn.group.fleet.Deadlines.Cancel(&cn.timer)
	for i, x := range cn.group.idle {
		if x == cn {
			cn.group.idle = append(cn.group.idle[:i:i], cn.group.idle[i+1:]...)
			return
		}
	}
}

// close closes an open connection.
func (cn *conn) close() {
	cn.transport.Close()
	cn.discard()
}

// discard stops counting a closed connection, so that a waiting call may open another one in its place.
func (cn *conn) discard() {
	cn.detach()
	cn.group.fleet.dialForWaiting()
	cn.group.fleet.removeIfUnused(cn.group)
}

// detach stops the timer of a closed connection and removes it from all counts.
func (cn *conn) detach() {
	cn.endPause()
	cn.removeSilent()
	cn.group.fleet.Deadlines.Cancel(&cn.timer)
	cn.group.connCount--
	cn.group.fleet.connCount--
}

// Opened implements transport.Handler: it makes the established connection available for calls.
func (cn *conn) Opened(transportConn transport.Conn) {
	cn.endDialing()
	cn.group.refusing = false
	cn.transport = transportConn
	cn.makeAvailable(0)
	cn.group.retryDeletes()
}

// Received implements transport.Handler: it parses received bytes and completes the call once its response is complete.
func (cn *conn) Received(b []byte) {
	f := cn.group.fleet
	if cn.ignoresInput {
		return
	}
	if cn.call == nil {
		f.Faults.Add("engine-unasked", "engine", cn.server, "addr", cn.group.Addr, "bytes", len(b))
		cn.removeIdle()
		cn.close()
		return
	}
	r, err := cn.parse(b)
	if err != nil {
		f.Faults.Add("engine-garbled", "engine", cn.server, "addr", cn.group.Addr, "bytes", len(b), "error", err)
		cn.handleMalformed()
		return
	}
	if r == nil {
		if !cn.responseBegun && !slices.Contains(cn.group.silent, cn) {
			// A truncated response looks like a slow one, so the rest of a response has a short timeout of its own.
			cn.responseBegun = true
			f.Deadlines.Set(&cn.call.timer, f.Now()+partialResponseTimeout)
		}
		return
	}
	cn.completeCall(r)
}

// parse adds received bytes and returns the response that is complete with them, or nil. If more input has arrived behind a
// result, the result is returned only once that input is read or the connection has ended: it may be the rest of a result whose
// length is too short.
func (cn *conn) parse(b []byte) (*response, error) {
	if r := cn.unconfirmed; r != nil {
		cn.unconfirmed = nil
		return r, r.checkTrailing(b)
	}
	r, err := cn.parser.feed(b)
	if err == nil && r != nil && r.status == 200 && !r.repeated && !cn.transport.Idle() {
		cn.unconfirmed = r
		return nil, nil
	}
	return r, err
}

// completeCall passes a complete response to its call and makes the connection available for the next one.
func (cn *conn) completeCall(r *response) {
	f := cn.group.fleet
	cn.responseBegun = false
	cn.removeSilent()
	c := cn.call
	cn.call = nil
	f.Deadlines.Cancel(&c.timer)
	cn.group.failedDials, cn.group.lastRanAt = 0, max(cn.group.lastRanAt, c.writtenAt)
	c.settle()
	if r.closeConn {
		cn.close()
		c.done(r, transport.Served)
		return
	}
	// The response is processed before the connection is made available, so that a follow-up call uses it and opens no new one.
	cn.group.respondingConn = cn
	c.done(r, transport.Served)
	if cn.group.respondingConn != cn {
		return
	}
	cn.group.respondingConn = nil
	if r.status == 202 {
		cn.makeAvailable(0)
	} else {
		// A second copy of the response may follow. Without the pause it would be read as the response to the next call, for
		// example as the end of another query or as the response to a DELETE.
		cn.makeAvailable(trailingBytesPause)
	}
}

// handleMalformed ends a connection that delivered unreadable bytes. They do not show what became of the call, which may not
// even have arrived yet. So for a call that keeps a query alive only this side of the connection is closed: once the other
// side closes in turn, it has read the call or never will.
func (cn *conn) handleMalformed() {
	c := cn.call
	if c.keepsAlive == nil {
		cn.close()
		cn.failCall(transport.Malformed)
		return
	}
	cn.ignoresInput = true
	cn.transport.CloseWrite()
	cn.group.fleet.Deadlines.Cancel(&c.timer)
	if !slices.Contains(cn.group.silent, cn) {
		cn.keepSilent()
	}
	done := c.done
	c.done = func(*response, transport.EndReason) {}
	done(nil, transport.Malformed)
}

// closeRespondingConn closes the connection whose response is being processed, as that response was invalid.
func (g *group) closeRespondingConn() {
	if cn := g.respondingConn; cn != nil {
		g.respondingConn = nil
		cn.close()
	}
}

// Closed implements transport.Handler: the connection was ended by the other side or by an error, or could not be established.
func (cn *conn) Closed(reason transport.EndReason) {
	if r := cn.unconfirmed; r != nil && cn.call != nil { // nothing has come behind the response
		cn.unconfirmed = nil
		r.closeConn = true
		cn.completeCall(r)
		return
	}
	if cn.transport != nil {
		wasSilent := slices.Contains(cn.group.silent, cn)
		cn.removeIdle()
		cn.discard()
		c := cn.call
		if c != nil && c.keepsAlive != nil {
			logs.Trace("closed-under", c.keepsAlive.id, "engine", cn.server, "end", reason,
				"after", cn.group.fleet.Now()-c.writtenAt)
			if !wasSilent {
				c.settle()
			}
		}
		cn.failCall(reason)
		if wasSilent {
			// When a network partition ends, a reset may overtake data of the call that was delayed in the network and still
			// reaches the worker group. So the call is settled only after another ConnectTimeout.
			c.timer.Do = c.settle
			cn.group.fleet.Deadlines.Set(&c.timer, cn.group.fleet.Now()+cn.group.fleet.ConnectTimeout)
		}
		return
	}
	g := cn.group
	cn.endDialing()
	cn.detach()
	g.refusing = reason == transport.ConnRefused
	if g.refusing {
		g.redialTimer.Do = g.dial
		g.fleet.Deadlines.Set(&g.redialTimer, g.fleet.Now()+refusedPause)
	}
	// If more calls wait than connections are being established, this connection counts as the one of the first waiting call.
	if len(g.waiting) > g.dialingCount && cn.generation == g.Generation() {
		// A connection that was reset while being established says nothing about the worker group, so another one is opened.
		if g.failedDials++; reason == transport.ConnRefused || reason == transport.Unreachable ||
			g.failedDials > maxFailedDials {
			g.failFirstWaiting(reason)
		}
	}
	g.fleet.dialForWaiting()
	g.fleet.removeIfUnused(g)
}

// failCall fails the call on a connection that has ended, if any.
func (cn *conn) failCall(reason transport.EndReason) {
	if c := cn.call; c != nil {
		cn.call = nil
		cn.group.fleet.Deadlines.Cancel(&c.timer)
		c.done(nil, reason)
	}
}
