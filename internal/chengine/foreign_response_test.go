package chengine

import (
	"fmt"
	"strings"
	"testing"

	"thymeway/choice"
	"thymeway/internal/coordinator"
	"thymeway/internal/deadline"
	"thymeway/internal/faultlog"
	"thymeway/internal/transport"
)

// namedResponse returns a response that names its query.
func namedResponse(id, body string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-ClickHouse-Query-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// writtenConn is an open connection that keeps what was written last.
type writtenConn struct {
	silentConn
	written string
}

func (c *writtenConn) Write(b []byte) { c.written = string(b) }

// Guards against foreign rows and false proofs: the second copy of a response arrives so late that the connection carries the next call
// by then. Neither a query nor a check whether one is running may take it for its own response.
func TestLateCopyIsTakenForResponse(t *testing.T) {
	const rows = "a\nString\nx\n"
	now, dialer, listener, queue := 0.0, &silentDialer{}, &recordingListener{}, deadline.New()
	clock := func() float64 { return now }
	fleet := &Fleet{Dialer: dialer, Deadlines: queue, Now: clock, Listener: listener,
		Faults: &faultlog.FaultLog{Now: clock}, ConnIdleTimeout: 1e6, MaxConns: 8, MaxResultBytes: 1 << 20}
	fleet.Update(coordinator.ListedEngine{Engine: choice.Engine{ID: "ch-1"}, Addr: "127.0.0.1:4101"})
	send := func(id string) {
		fleet.Send(coordinator.Attempt{Request: &coordinator.Request{Request: choice.Request{ID: id}, Statement: "SELECT a"},
			Engine: "ch-1", WaitUntil: now + 5000})
	}
	send("r1")
	first := &writtenConn{}
	dialer.handlers[0].Opened(first)
	dialer.handlers[0].Received(namedResponse("r1-0", rows))
	if len(listener.ended) != 1 || listener.ended[0].EndReason != transport.Served {
		t.Fatalf("the first query ended %v", listener.ended)
	}
	send("r2") // on the same connection
	dialer.handlers[0].Received(namedResponse("r1-0", rows))
	if len(listener.ended) != 1 {
		t.Fatalf("the copy ended the second query: %v", listener.ended[1])
	}
	// The query is killed, and checked until it does not run any more. A copy of the response to KILL QUERY, or of an earlier check, proves
	// nothing.
	control := &writtenConn{}
	dialer.handlers[1].Opened(control)
	if !strings.Contains(control.written, "KILL QUERY") {
		t.Fatalf("written: %q", control.written)
	}
	dialer.handlers[1].Received(namedResponse("c1", "0\n"))
	if !strings.Contains(control.written, "system.processes") {
		t.Fatalf("written: %q", control.written)
	}
	dialer.handlers[1].Received(namedResponse("c1", "0\n"))
	if len(listener.ended) != 1 {
		t.Fatalf("the copy of a control response ended the second query: %v", listener.ended[1])
	}
	now += 200
	queue.RunDue(now) // the check is repeated on a new connection
	dialer.handlers[2].Opened(control)
	dialer.handlers[2].Received(namedResponse("c3", "0\n"))
	if len(listener.ended) != 2 || listener.ended[1].EndReason != transport.Malformed {
		t.Fatalf("the second query ended %v", listener.ended)
	}
}
