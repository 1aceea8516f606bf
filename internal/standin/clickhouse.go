// Package standin provides small fake servers of the kinds that the coordinator connects to: engines, worker groups and
// discovery. Their faults are scripted. They are used by tests and examples and do not depend on the coordinator.
package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Fault describes how the engine processes a query. The zero value answers it at once with a result.
type Fault struct {
	Delay           time.Duration // time between the query and its answer
	TooManyQueries  bool          // the query is rejected with exception 202 and does not run
	ExceptionCode   int           // if not 0, the answer is this exception with status 500
	LateException   bool          // status 200 and some rows, followed by an exception
	TruncatedRow    bool          // the last row is cut, but the response ends normally
	ConnReset       bool          // the query runs, then the connection is reset without an answer
	NoAnswer        bool          // the query runs until it is killed, without an answer
	MalformedAnswer bool          // the answer is not valid HTTP
	IgnoreKill      bool          // KILL QUERY does not stop the query
	CloseConn       bool          // the connection closes at once, and the query goes on running
}

// Run is one execution of a query by an engine, which may have ended. Data is the body of a request whose Text is in the URL, and
// Token its insert_deduplication_token. Params holds its query parameters, without the prefix "param_".
type Run struct {
	ID, Text, Data, Token string
	Params                map[string]string
	StartedAt, EndedAt    int // ticks of the engine's logical clock; EndedAt is 0 while the query runs
	Killed                bool
}

// LogicalClock numbers the starts and ends of runs, across all engines that share it.
type LogicalClock struct{ ticks atomic.Int64 }

// tick advances the clock and returns its new time.
func (c *LogicalClock) tick() int { return int(c.ticks.Add(1)) }

// ClickHouse is a fake engine that implements as much of the ClickHouse HTTP interface as the tests need. It has no tables:
// the result depends on the statement's text alone.
type ClickHouse struct {
	// Script returns the fault of the n-th query, counted from 1. If it is nil, no query has a fault.
	Script func(n int, text string) Fault

	Clock *LogicalClock // if nil, Start creates one

	mu          sync.Mutex
	runs        []*Run
	running     map[string]chan struct{} // by query ID; KILL QUERY closes the channel
	ignoresKill map[string]bool
	server      *http.Server
	addr        string
}

// Start listens on addr, or on a free local port if it is empty, and returns the address.
func (c *ClickHouse) Start(addr string) (string, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	if c.Clock == nil {
		c.Clock = &LogicalClock{}
	}
	c.running, c.ignoresKill = map[string]chan struct{}{}, map[string]bool{}
	c.server = &http.Server{Handler: c}
	go func() { _ = c.server.Serve(l) }()
	c.addr = l.Addr().String()
	return c.addr, nil
}

// Stop closes the listener and all connections.
func (c *ClickHouse) Stop() { _ = c.server.Close() }

// Runs returns copies of all runs so far.
func (c *ClickHouse) Runs() []Run {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make([]Run, 0, len(c.runs))
	for _, r := range c.runs {
		out = append(out, *r)
	}
	return out
}

var (
	killPattern      = regexp.MustCompile(`^KILL QUERY WHERE query_id = '([^']*)'`)
	processesPattern = regexp.MustCompile(`FROM system\.processes WHERE query_id = '([^']*)'`)
	numbersPattern   = regexp.MustCompile(`FROM numbers\((\d+)\)`)
)

// ServeHTTP answers pings, KILL QUERY, queries of system.processes, and any other statement by the script.
func (c *ClickHouse) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	params := r.URL.Query()
	text, data := params.Get("query"), ""
	if text == "" {
		text = string(body)
	} else {
		data = string(body)
	}
	if r.URL.Path == "/ping" {
		_, _ = io.WriteString(w, "Ok.\n")
		return
	}
	if m := killPattern.FindStringSubmatch(text); m != nil {
		c.mu.Lock()
		if stop := c.running[m[1]]; stop != nil && !c.ignoresKill[m[1]] {
			close(stop)
			delete(c.running, m[1])
		}
		c.mu.Unlock()
		return
	}
	if m := processesPattern.FindStringSubmatch(text); m != nil {
		c.mu.Lock()
		running := 0
		for _, run := range c.runs {
			if run.ID == m[1] && run.EndedAt == 0 {
				running++
			}
		}
		c.mu.Unlock()
		fmt.Fprintf(w, "%d\n", running)
		return
	}
	c.execute(w, r, params.Get("query_id"), text, data)
}

// writeException answers with an exception in ClickHouse's format.
func writeException(w http.ResponseWriter, status, code int, text string) {
	w.Header().Set("X-ClickHouse-Exception-Code", strconv.Itoa(code))
	w.WriteHeader(status)
	fmt.Fprintf(w, "Code: %d. DB::Exception: %s\n", code, text)
}

// execute runs one statement with the fault that the script returns for it.
func (c *ClickHouse) execute(w http.ResponseWriter, r *http.Request, id, text, data string) {
	c.mu.Lock()
	var fault Fault
	if c.Script != nil {
		fault = c.Script(len(c.runs)+1, text)
	}
	if fault.TooManyQueries {
		c.mu.Unlock()
		writeException(w, 500, 202, "Too many simultaneous queries. Maximum: 100. (TOO_MANY_SIMULTANEOUS_QUERIES)")
		return
	}
	run := &Run{ID: id, Text: text, Data: data, Token: r.URL.Query().Get("insert_deduplication_token"), StartedAt: c.Clock.tick(),
		Params: map[string]string{}}
	for name, value := range r.URL.Query() {
		if strings.HasPrefix(name, "param_") {
			run.Params[name[6:]] = value[0]
		}
	}
	c.runs = append(c.runs, run)
	stop := make(chan struct{})
	c.running[id], c.ignoresKill[id] = stop, fault.IgnoreKill
	c.mu.Unlock()
	if fault.CloseConn {
		if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
			_ = conn.Close()
		}
	}
	killed := false
	select {
	case <-time.After(fault.Delay):
	case <-stop:
		killed = true
	}
	if fault.NoAnswer && !killed {
		<-stop
		killed = true
	}
	c.mu.Lock()
	run.EndedAt, run.Killed = c.Clock.tick(), killed
	delete(c.running, id)
	c.mu.Unlock()
	switch {
	case fault.CloseConn:
	case killed:
		writeException(w, 500, 394, "Query was cancelled. (QUERY_WAS_CANCELLED)")
	case fault.ExceptionCode > 0:
		writeException(w, 500, fault.ExceptionCode, "as the script says")
	case fault.ConnReset, fault.MalformedAnswer:
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		if fault.MalformedAnswer {
			_, _ = io.WriteString(conn, "HTTP/1.1 2000 noise\r\n\x00\r\n\r\n")
		} else if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	default:
		w.Header().Set("X-ClickHouse-Summary", `{"read_rows":"1","elapsed_ns":"7000000","memory_usage":"4194304"}`)
		result := resultOf(text)
		if fault.LateException {
			result += "Code: 241. DB::Exception: Memory limit exceeded. (MEMORY_LIMIT_EXCEEDED)\n"
		}
		if fault.TruncatedRow {
			result = result[:len(result)-3]
		}
		_, _ = io.WriteString(w, result)
	}
}

// typedResult is a result of one row with a column of each of the common types.
const typedResult = "s\tu\ti\tf\td\tt\tt3\tn\tl\te\tdec\tid\tb\n" +
	"String\tUInt64\tInt32\tFloat64\tDate\tDateTime\tDateTime64(3)\tNullable(String)\tLowCardinality(String)\tEnum8('a' = 1, 'b' = 2)\tDecimal(9, 2)\tUUID\tBool\n" +
	"it\\'s\\ta \\\\ tab\t18446744073709551615\t-5\t1.5\t2026-12-01\t2026-12-01 10:20:30\t2026-12-01 10:20:30.125\t\\N\tlow\tb\t-12.30\t61f0c404-5cb3-11e7-907b-a6006ad3dba0\ttrue\n"

// resultOf returns the result of a statement in the format TabSeparatedWithNamesAndTypes.
func resultOf(text string) string {
	upper := strings.ToUpper(strings.TrimSpace(text))
	switch m := numbersPattern.FindStringSubmatch(text); {
	case strings.HasPrefix(upper, "INSERT"), strings.HasPrefix(upper, "ALTER"),
		strings.HasPrefix(upper, "CREATE"), strings.HasPrefix(upper, "DROP"):
		return ""
	case strings.HasPrefix(upper, "DESCRIBE"):
		return "name\ttype\tdefault_type\tdefault_expression\tcomment\tcodec_expression\tttl_expression\n" +
			strings.Repeat("String\t", 6) + "String\n" +
			"a\tUInt32\t\t\t\t\t\nb\tString\t\t\t\t\t\n"
	case m != nil:
		n, _ := strconv.Atoi(m[1])
		var b strings.Builder
		b.WriteString("number\nUInt64\n")
		for i := range n {
			fmt.Fprintf(&b, "%d\n", i)
		}
		return b.String()
	case strings.Contains(text, "typed"):
		return typedResult
	}
	return "a\tb\tc\nString\tString\tString\nx\ty\tz\n"
}
