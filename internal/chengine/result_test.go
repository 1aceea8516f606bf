package chengine

import (
	"fmt"
	"testing"

	"thymeway/choice"
	"thymeway/internal/coordinator"
	"thymeway/internal/deadline"
	"thymeway/internal/faultlog"
	"thymeway/internal/shape"
	"thymeway/internal/transport"
)

// Guards against results with missing rows whose response looks whole: the bytes behind the stated length come later than the
// response is processed. The engine's own count of rows and the columns that every read has show that rows are missing.
func TestResultHasFewerRowsThanEngineStates(t *testing.T) {
	const columns = "a\tb\nString\tString\n"
	for _, c := range []struct {
		text, headers, body string
		want                transport.EndReason
	}{
		{"SELECT a, b FROM t", summaryHeader(2), columns + "x\ty\nx\tz\n", transport.Served},
		{"SELECT a, b FROM t", summaryHeader(2), columns + "x\ty\n", transport.Failed},
		{"SELECT a, b FROM t", summaryHeader(2), columns, transport.Failed},
		{"SELECT a, b FROM t", summaryHeader(2), "", transport.Failed},
		{"SELECT a, b FROM t", "", "", transport.Failed},
		{"SELECT count() FROM t", "", "", transport.Failed},
		{"SELECT a, b FROM t", "", columns + "x\ty\n", transport.Served}, // the engine states no count
		{"SELECT a, b FROM t", summaryHeader(0), columns + "x\ty\n", transport.Served},
		{"SELECT a, b FROM t", summaryHeader(1), columns + "x\ty\n\nx\ty\n", transport.Failed},
		{"SELECT a, b FROM t WITH TOTALS", summaryHeader(1), columns + "x\ty\nx\ty\n", transport.Served},
		{"SELECT a, b FROM t FORMAT Null", "X-ClickHouse-Format: Null\r\n", "", transport.Served},
		{"INSERT INTO t VALUES (1)", summaryHeader(1), "", transport.Served}, // counts the rows that were written
		{"ALTER TABLE t DELETE WHERE 1", "", "", transport.Served},
	} {
		now, dialer, listener, queue := 0.0, &silentDialer{}, &recordingListener{}, deadline.New()
		clock := func() float64 { return now }
		fleet := &Fleet{Dialer: dialer, Deadlines: queue, Now: clock, Listener: listener,
			Faults: &faultlog.FaultLog{Now: clock}, MaxConns: 4, MaxResultBytes: 1 << 20}
		fleet.Update(coordinator.ListedEngine{Engine: choice.Engine{ID: "ch-1"}, Addr: "127.0.0.1:4101"})
		catalog := shape.NewCatalog(shape.Options{MaxBytes: 1 << 20})
		fleet.Send(coordinator.Attempt{Request: &coordinator.Request{Request: choice.Request{ID: "r1"}, Statement: c.text,
			Shape: catalog.Recognize(c.text, shape.ClickHouse, 0)}, Engine: "ch-1", WaitUntil: 3000})
		dialer.handlers[0].Opened(silentConn{})
		dialer.handlers[0].Received(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", c.headers, len(c.body), c.body))
		if len(listener.ended) != 1 || listener.ended[0].EndReason != c.want {
			t.Errorf("%s, %q, %q: ended %v, want %v", c.text, c.headers, c.body, listener.ended, c.want)
		}
	}
}

// summaryHeader returns a summary header that states a number of rows.
func summaryHeader(rows int) string {
	return fmt.Sprintf("X-ClickHouse-Summary: {\"read_rows\":\"9\",\"result_rows\":\"%d\"}\r\n", rows)
}
