package node

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"thymeway/choice"
	"thymeway/internal/config"
	"thymeway/internal/configtest"
	"thymeway/internal/coordinator"
	"thymeway/internal/deadline"
	"thymeway/internal/result"
	"thymeway/internal/shape"
	"thymeway/internal/transport"
)

// arrival is how the bytes of a response arrive at the coordinator.
type arrival int

const (
	arrivesAtOnce     arrival = iota
	arrivesInTwoReads         // the bytes behind the stated length have arrived, but are read separately
	arrivesAndCloses          // as arrivesAtOnce, and the engine closes the connection behind bytes beyond the length
	arrivesWithEnd            // the end of the connection has arrived as well, but is read later
	arrivalCount
)

// shortLengthEngine is an engine whose first response to a query states a length of its own choice. All other responses are right.
type shortLengthEngine struct {
	sim        *simulation
	clickHouse bool
	rows       string
	length     int // stated for the first response
	arrival    arrival
	answered   int // responses to queries so far
}

// shortLengthConn is a connection to a shortLengthEngine.
type shortLengthConn struct {
	engine  *shortLengthEngine
	handler transport.Handler
	closed  bool
	unread  []byte
	ended   bool // the engine has closed the connection, which the coordinator has not read yet
}

func (c *shortLengthConn) Close()       { c.closed = true }
func (c *shortLengthConn) Finish()      { c.Close() }
func (c *shortLengthConn) Pending() int { return 0 }
func (c *shortLengthConn) Idle() bool   { return !c.closed && !c.ended && len(c.unread) == 0 }
func (c *shortLengthConn) CloseWrite()  { c.end() }
func (c *shortLengthConn) Abort()       { c.Close() }

// Dial implements transport.Dialer.
func (e *shortLengthEngine) Dial(_ string, h transport.Handler) {
	conn := &shortLengthConn{engine: e, handler: h}
	e.sim.schedule(1, func() { h.Opened(conn) })
}

// end closes the connection on the engine's side.
func (c *shortLengthConn) end() {
	c.engine.sim.schedule(1, func() {
		if !c.closed {
			c.closed = true
			c.handler.Closed(transport.PeerClosed)
		}
	})
}

// receive passes bytes to the coordinator.
func (c *shortLengthConn) receive(b []byte) {
	if !c.closed && len(b) > 0 {
		c.handler.Received(b)
	}
}

// Write answers a call.
func (c *shortLengthConn) Write(call []byte) {
	e := c.engine
	reply := func(headers, body string, length int) {
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n", headers, length)
		e.sim.schedule(1, func() { c.deliver([]byte(head+body), len(head)+length) })
	}
	switch {
	case bytes.Contains(call, []byte("KILL QUERY")), bytes.HasPrefix(call, []byte("DELETE")):
		reply("", "", 0)
	case bytes.Contains(call, []byte("system.processes")):
		reply("", "0\n", 2)
	default:
		e.answered++
		headers, body := "Page-Count: 1\r\n", e.rows
		if e.clickHouse {
			headers, body = "", "a\tb\tc\nString\tString\tString\n"+e.rows
		}
		length := len(body)
		if e.answered == 1 {
			length = e.length
		}
		reply(headers, body, length)
	}
}

// deliver passes a response to the coordinator in the way that the engine is set to. end is where the response ends by its length.
func (c *shortLengthConn) deliver(response []byte, end int) {
	switch end = min(end, len(response)); c.engine.arrival {
	case arrivesAtOnce:
		c.receive(response)
	case arrivesInTwoReads:
		c.unread = response[end:]
		c.receive(response[:end])
		rest := c.unread
		c.unread = nil
		c.receive(rest)
	case arrivesWithEnd:
		c.ended = c.engine.answered == 1
		c.receive(response)
		if c.ended {
			c.end()
		}
	case arrivesAndCloses:
		c.receive(response)
		if end != len(response) {
			c.end()
		}
	}
}

// answerRecorder records the final answer to a request.
type answerRecorder struct {
	answers int
	served  *result.Set
}

func (a *answerRecorder) Serve(set *result.Set) { a.answers, a.served = a.answers+1, set }
func (a *answerRecorder) Refuse(float64)        { a.answers++ }
func (a *answerRecorder) Fail(string)           { a.answers++ }

// Guards against results with missing rows: engines of both kinds state a length that does not fit, and the bytes behind it show
// that. A result that is served must be whole, however the response arrives, and the right response that follows must be served.
func TestRowsAreMissingAsLengthIsTooShort(t *testing.T) {
	rows := strings.Repeat("17\tmo\t250\n", 8)
	for _, clickHouse := range []bool{false, true} {
		for arrival := range arrivalCount {
			for length := 0; length <= 2*len(rows); length++ {
				answer := playShortLength(t, &shortLengthEngine{clickHouse: clickHouse, rows: rows, length: length, arrival: arrival})
				switch {
				case answer.answers != 1:
					t.Errorf("ClickHouse %v, arrival %d, length %d: %d answers", clickHouse, arrival, length, answer.answers)
				case answer.served != nil && string(bytes.Join(answer.served.Pages, nil)) != rows:
					t.Errorf("ClickHouse %v, arrival %d, length %d: %d rows of %d are served", clickHouse, arrival, length,
						answer.served.RowCount(), strings.Count(rows, "\n"))
				case answer.served == nil && length <= len(rows):
					t.Errorf("ClickHouse %v, arrival %d, length %d: not served, although the next response is right", clickHouse, arrival,
						length)
				}
			}
		}
	}
}

// playShortLength plays one request of an idempotent class and returns its answer.
func playShortLength(t *testing.T, engine *shortLengthEngine) *answerRecorder {
	t.Helper()
	cfg := configtest.Example(t)
	if engine.clickHouse {
		cfg.Local.Kinds = map[string]config.Kind{"std-12": {Protocol: "clickhouse"}}
	}
	sim := &simulation{t: t, now: 1.7e12, deadlines: deadline.New(), endTime: 1.7e12 + 10000}
	engine.sim = sim
	var err error
	sim.node, err = New(cfg, engine, sim.deadlines, func() float64 { return sim.now }, func() { sim.wakeRequested = true })
	if err != nil {
		t.Fatal(err)
	}
	answer := &answerRecorder{}
	sim.schedule(1, func() {
		request := &coordinator.Request{Request: choice.Request{ID: "9b1f03aa5c7e2d01", Class: "lookup", Tenant: "acme",
			Deadline: sim.now + 3000}, Statement: "SELECT a, b, c FROM sales_17.orders", Protocol: "postgres", Client: answer}
		if engine.clickHouse {
			request.Dialect = shape.ClickHouse
		}
		sim.node.Coordinator.Submit(request)
	})
	sim.schedule(9000, func() {}) // all deadlines until then are run
	sim.run()
	return answer
}
