package chhttp

import (
	"fmt"
	"testing"
)

// Guards against a client that is answered too late: the time of a request behind an open one counts from when it arrived.
func TestTimeOfWaitingRequestCountsFromAnswer(t *testing.T) {
	srv, coord, clock := newTestServer(t)
	s := srv.Accept()
	s.Opened(&fakeConn{})
	request := func(n int) []byte {
		body := fmt.Sprintf("SELECT a FROM sales_1.t WHERE b = %d", n)
		return fmt.Appendf(nil, "POST /?user=acme&max_execution_time=2 HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	start := *clock
	s.Received(append(request(1), request(2)...))
	first := coord.anyOpen().Deadline
	*clock += 1500
	third := request(3)
	s.Received(third[:len(third)-5])
	*clock += 300
	s.Received(third[len(third)-5:])
	*clock += 100
	for i, arrivedAt := range []float64{start, start, start + 1800} {
		open := coord.anyOpen()
		if open == nil {
			t.Fatalf("request %d is not open", i+1)
		}
		if want := first + arrivedAt - start; open.Deadline != want {
			t.Errorf("request %d is due at %v, want %v", i+1, open.Deadline, want)
		}
		delete(coord.open, open.ID)
		s.Refuse(0)
	}
}
