package chengine

import (
	"bytes"
	"errors"
	"strings"

	"thymeway/internal/deadline"
	"thymeway/internal/directory"
	"thymeway/internal/http1"
	"thymeway/internal/membudget"
	"thymeway/internal/transport"
)

// response is a complete HTTP response of an engine.
type response struct {
	*http1.Head
	body []byte
}

// call is one HTTP call to an engine. done is called once, unless the call is abandoned.
type call struct {
	build        func() []byte      // returns the request when the call is about to be written; nil withdraws the call
	queryID      string             // sent as query_id; a response that names another one is not to this call; "": none
	timeout      float64            // ms from when the call is written until the response must be complete
	maxBodyBytes int                // limit for the body of the response
	progress     func(value string) // receives progress headers as they arrive; may be nil
	done         func(r *response, reason transport.EndReason)
	conn         *conn
	timer        deadline.Entry
}

// abandon ignores the outcome of a call and closes its connection, because the response might still arrive on it.
func (c *call) abandon() {
	c.done = func(*response, transport.EndReason) {}
	if cn := c.conn; cn != nil {
		cn.close()
	}
}

// engine holds the connections to the address of an engine. If another engine is listed with the address, both share it: queries
// that were sent there may run on either.
type engine struct {
	directory.Endpoint
	fleet        *Fleet
	kind         string
	idle         []*conn // most recently used last
	conns        int     // all connections, including those being established
	openConns    int     // established connections
	attemptCount int
}

// conn is a connection to an engine. It carries at most one call at a time.
type conn struct {
	engine           *engine
	server           string // id of the engine that was listed with the address when the connection was dialed, for the log
	generation       int    // of the endpoint when the connection was dialed
	transport        transport.Conn
	call             *call
	input            []byte      // received, but not parsed yet
	scannedBytes     int         // leading bytes of input that were searched for progress headers
	head             *http1.Head // of the response being received; nil while it is incomplete
	bodyDecoder      *http1.BodyDecoder
	receivedBody     []byte          // body received so far
	unconfirmed      *response       // complete by its length, while there is unread input that may show that its length is wrong
	buffered         membudget.Share // bytes of receivedBody
	interimResponses int             // responses with status 1xx before the final one
	lastQueryID      string          // that the latest response on the connection named
	closed           bool
	timer            deadline.Entry // closes an idle connection
}

const (
	maxHeadBytes        = 64 << 10 // of a response, including its progress headers
	maxInterimResponses = 16
)

// start writes a call to an idle connection, or opens a connection for it.
func (e *engine) start(c *call) {
	for count := len(e.idle); count > 0; count = len(e.idle) {
		cn := e.idle[count-1]
		e.idle = e.idle[:count-1]
		e.fleet.Deadlines.Cancel(&cn.timer)
		// While it was idle, the connection may have been reset or may have received stray bytes. Either would pass for the
		// outcome of this call, so such a connection is closed.
		if cn.transport.Idle() {
			cn.writeCall(c)
			return
		}
		cn.close()
	}
	if !e.fleet.ensureConnCapacity() {
		c.done(nil, transport.NoDescriptor)
		return
	}
	cn := &conn{engine: e, server: e.ServerID(), generation: e.Generation(), call: c,
		buffered: membudget.Share{Budget: &e.fleet.buffered}}
	c.conn = cn
	e.conns++
	e.fleet.conns++
	e.fleet.Dialer.Dial(e.Addr, cn)
}

// ensureConnCapacity reports whether one more connection may be opened. At the limit it closes an idle connection, if any.
func (f *Fleet) ensureConnCapacity() bool {
	if f.conns < f.MaxConns {
		return true
	}
	for _, e := range f.engines.All() {
		if len(e.idle) > 0 {
			e.idle[0].close()
			return true
		}
	}
	return false
}

// Unused reports whether the engine has no connection and no attempt.
func (e *engine) Unused() bool { return e.conns == 0 && e.attemptCount == 0 }

// ServerReplaced ends the attempts whose query was not yet written to an engine, as it was removed or another one is listed with
// its address, and closes the idle connections. Queries that were written may be running on the new one.
func (e *engine) ServerReplaced(server string) {
	e.fleet.finishUnsent(server)
	for len(e.idle) > 0 {
		e.idle[0].close()
	}
}

// writeCall builds a call, writes it and starts its timeout.
func (cn *conn) writeCall(c *call) {
	fleet := cn.engine.fleet
	b := c.build()
	if b == nil {
		cn.call, c.conn = nil, nil
		cn.makeAvailable()
		c.done(nil, transport.Unreachable)
		return
	}
	cn.call, c.conn = c, cn
	c.timer.Do = func() { cn.closeAndFail(transport.NoAnswer) }
	fleet.Deadlines.Set(&c.timer, fleet.Now()+c.timeout)
	cn.transport.Write(b)
}

// makeAvailable keeps the connection idle for the next call, or closes it if it was opened for an earlier engine.
func (cn *conn) makeAvailable() {
	e := cn.engine
	if cn.generation != e.Generation() || e.ServerID() == "" {
		cn.close()
		return
	}
	e.idle = append(e.idle, cn)
	cn.timer.Do = cn.close
	e.fleet.Deadlines.Set(&cn.timer, e.fleet.Now()+e.fleet.ConnIdleTimeout)
}

// close closes the connection and frees its slot. Its call is not notified.
func (cn *conn) close() {
	if cn.closed {
		return
	}
	if cn.transport != nil {
		cn.transport.Close()
	}
	cn.detach()
}

// detach removes a closed connection from its engine and the fleet.
func (cn *conn) detach() {
	cn.closed = true
	cn.buffered.Set(0)
	e := cn.engine
	e.fleet.Deadlines.Cancel(&cn.timer)
	for i, x := range e.idle {
		if x == cn {
			e.idle = append(e.idle[:i:i], e.idle[i+1:]...)
			break
		}
	}
	if c := cn.call; c != nil {
		e.fleet.Deadlines.Cancel(&c.timer)
		c.conn = nil
	}
	if cn.transport != nil {
		e.openConns--
	}
	e.conns--
	e.fleet.conns--
	e.fleet.engines.RemoveIfUnused(e)
}

// closeAndFail closes the connection and fails its call with the reason.
func (cn *conn) closeAndFail(reason transport.EndReason) {
	c := cn.call
	cn.close()
	cn.call = nil
	if c != nil {
		c.done(nil, reason)
	}
}

// Opened is called when the connection is established.
func (cn *conn) Opened(c transport.Conn) {
	cn.transport = c
	cn.engine.openConns++
	if cn.closed || cn.call == nil { // its call was abandoned in the meantime
		cn.engine.openConns--
		c.Close()
		return
	}
	cn.writeCall(cn.call)
}

// Closed is called when the connection was closed by the peer or failed, or could not be established.
func (cn *conn) Closed(reason transport.EndReason) {
	if cn.closed {
		return
	}
	if r := cn.unconfirmed; r != nil && cn.call != nil { // nothing has come behind the response
		cn.unconfirmed = nil
		r.Close = true
		cn.completeCall(r)
		return
	}
	c := cn.call
	cn.detach()
	cn.call = nil
	if c != nil {
		c.done(nil, reason)
	}
}

// Received processes bytes of a response, however they are split.
func (cn *conn) Received(b []byte) {
	fleet := cn.engine.fleet
	if cn.closed {
		return
	}
	if cn.call == nil {
		fleet.Faults.Add("engine-unasked", "engine", cn.server, "addr", cn.engine.Addr, "bytes", len(b))
		cn.close()
		return
	}
	r, err := cn.parseInput(b)
	if errors.Is(err, errBufferLimit) {
		fleet.Faults.Add("result-no-room", "engine", cn.server, "bytes", len(cn.receivedBody))
		cn.closeAndFail(transport.NoDescriptor)
		return
	}
	if err != nil {
		fleet.Faults.Add("engine-garbled", "engine", cn.server, "addr", cn.engine.Addr, "error", err)
		cn.closeAndFail(transport.Malformed)
		return
	}
	if r != nil {
		cn.completeCall(r)
	}
}

// completeCall passes a complete response to its call.
func (cn *conn) completeCall(r *response) {
	c := cn.call
	cn.call, c.conn = nil, nil
	cn.engine.fleet.Deadlines.Cancel(&c.timer)
	if r.Close || len(cn.input) > 0 {
		cn.close()
	} else {
		cn.makeAvailable()
	}
	c.done(r, transport.Served)
}

// parseInput adds bytes to the input, passes on progress headers, and returns the response if it is now complete. If more input
// has arrived behind it, the response is returned only once that input is read or the connection has ended: it may be the rest of
// a result whose length is too short.
func (cn *conn) parseInput(b []byte) (*response, error) {
	cn.input = append(cn.input, b...)
	r := cn.unconfirmed
	if cn.unconfirmed = nil; r == nil {
		var err error
		if r, err = cn.parseResponse(); r == nil || err != nil {
			return nil, err
		}
		if len(cn.input) == 0 && !cn.transport.Idle() {
			cn.unconfirmed = r
			return nil, nil
		}
	}
	if err := r.CheckTrailing(r.body, cn.input); err != nil {
		return nil, err
	}
	return r, cn.checkQueryID(r.Get("x-clickhouse-query-id"))
}

// checkQueryID returns an error if a response is known to be to another query than the call's. Control queries are sent without an id
// and get one from the engine, so theirs is only compared with that of the response before.
func (cn *conn) checkQueryID(id string) error {
	if id == "" {
		return nil
	}
	if expected := cn.call.queryID; expected != "" && id != expected || id == cn.lastQueryID {
		return errOtherQuery
	}
	cn.lastQueryID = id
	return nil
}

// errOtherQuery is returned for a response that names another query than the call's: a second copy of an earlier response, which has
// arrived late.
var errOtherQuery = errors.New("a response to another query")

// parseResponse returns the response that is complete in the input, or nil.
func (cn *conn) parseResponse() (*response, error) {
	for cn.head == nil {
		head, n, err := http1.ParseResponse(cn.input, http1.Limits{MaxBytes: maxHeadBytes})
		if errors.Is(err, http1.ErrIncomplete) {
			cn.scanProgress()
			return nil, nil
		}
		if err != nil {
			return nil, err
		}
		cn.input, cn.scannedBytes = append(cn.input[:0], cn.input[n:]...), 0
		if head.Status/100 == 1 {
			if cn.interimResponses++; cn.interimResponses > maxInterimResponses || head.Status == 101 {
				return nil, errors.New("unexpected interim response (status 1xx)")
			}
			continue
		}
		if cn.bodyDecoder, err = head.NewBodyDecoder(int64(cn.call.maxBodyBytes)); err != nil {
			return nil, err
		}
		cn.head = head
	}
	received, used, err := cn.bodyDecoder.DecodeAll(cn.receivedBody, cn.input)
	cn.receivedBody = received
	cn.input = append(cn.input[:0], cn.input[used:]...)
	// MaxResultBytes limits one result only. Without this check, the results of many attempts together could use up the memory.
	if !cn.buffered.Reserve(len(received), cn.engine.fleet.MaxBufferedBytes) {
		return nil, errBufferLimit
	}
	if err != nil || !cn.bodyDecoder.Done() {
		return nil, err
	}
	cn.buffered.Set(0)
	r := &response{cn.head, cn.receivedBody}
	cn.head, cn.bodyDecoder, cn.receivedBody, cn.interimResponses = nil, nil, nil, 0
	if cap(cn.input) > 8<<10 {
		cn.input = append([]byte(nil), cn.input...)
	}
	return r, nil
}

// errBufferLimit is returned when the results being received would exceed Fleet.MaxBufferedBytes.
var errBufferLimit = errors.New("results being received exceed their memory limit")

// scanProgress passes on the new progress headers in a head that is still incomplete.
func (cn *conn) scanProgress() {
	for cn.call != nil && cn.call.progress != nil {
		i := bytes.IndexByte(cn.input[cn.scannedBytes:], '\n')
		if i < 0 {
			return
		}
		name, value, _ := strings.Cut(string(cn.input[cn.scannedBytes:cn.scannedBytes+i]), ":")
		cn.scannedBytes += i + 1
		if strings.EqualFold(name, "X-ClickHouse-Progress") {
			cn.call.progress(strings.TrimSpace(value))
		}
	}
}
