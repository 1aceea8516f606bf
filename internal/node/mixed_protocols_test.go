package node

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"thymeway/internal/accounting"
	"thymeway/internal/configtest"
	"thymeway/internal/deadline"
	"thymeway/internal/transport"
)

// simulation runs a coordinator in virtual time, with clients of both protocols and worker groups whose queries take time.
type simulation struct {
	t             *testing.T
	now           float64
	deadlines     *deadline.Queue
	node          *Node
	wakeRequested bool
	rand          *rand.Rand
	events        []scheduledEvent
	runsByID      map[string]*queryRun // latest runs, by the id that is sent to worker groups
	runOrder      []*queryRun
	violations    []string // of the rules checked by the worker groups
	endTime       float64  // time at which the simulation ends; 0: it ends when no events are left
}

// scheduledEvent is a function to be called at a time.
type scheduledEvent struct {
	at  float64
	run func()
}

// queryRun is one run of a query on a worker group.
type queryRun struct {
	statement, orderKey string
	startedAt, endedAt  float64 // endedAt 0: still running
}

// schedule calls run after a delay in ms.
func (s *simulation) schedule(delay float64, run func()) {
	s.events = append(s.events, scheduledEvent{s.now + delay, run})
}

// run processes all events and deadlines in the order of their times, with an event-loop turn after each.
func (s *simulation) run() {
	for i := 0; ; i++ {
		if i > 200000 {
			s.t.Fatal("the simulation does not end within 200000 steps")
		}
		s.wakeRequested = false
		s.deadlines.RunDue(s.now)
		s.node.Coordinator.Turn()
		if s.wakeRequested {
			s.now += 0.001 // a turn takes time; otherwise turns that request another one would stop the virtual time
			continue
		}
		nextTime, nextIndex := 0.0, -1
		for k, e := range s.events {
			if nextIndex < 0 || e.at < nextTime {
				nextTime, nextIndex = e.at, k
			}
		}
		if nextIndex < 0 || s.endTime > 0 && nextTime > s.endTime {
			return
		}
		if at, ok := s.deadlines.Next(); ok && at < nextTime {
			s.now = max(s.now, at)
			continue
		}
		e := s.events[nextIndex]
		s.events = slices.Delete(s.events, nextIndex, nextIndex+1)
		s.now = max(s.now, e.at)
		e.run()
	}
}

// Dial connects to the worker group at 127.0.0.1:4101; other addresses refuse connections.
func (s *simulation) Dial(addr string, h transport.Handler) {
	if addr != "127.0.0.1:4101" {
		s.schedule(1, func() { h.Closed(transport.ConnRefused) })
		return
	}
	conn := &workerGroupConn{sim: s, handler: h}
	s.schedule(1, func() { h.Opened(conn) })
}

// workerGroupConn is a connection to the simulated worker group, with one call at a time.
type workerGroupConn struct {
	sim     *simulation
	handler transport.Handler
	closed  bool
}

func (c *workerGroupConn) Close()       { c.closed = true }
func (c *workerGroupConn) Finish()      { c.Close() }
func (c *workerGroupConn) Pending() int { return 0 }
func (c *workerGroupConn) Idle() bool   { return !c.closed }
func (c *workerGroupConn) CloseWrite()  {}
func (c *workerGroupConn) Abort()       { c.Close() }

// reply sends text after a delay in ms and calls onArrival when it arrives.
func (c *workerGroupConn) reply(delay float64, text string, onArrival func()) {
	c.sim.schedule(delay, func() {
		if onArrival != nil {
			onArrival()
		}
		if !c.closed {
			c.handler.Received([]byte(text))
		}
	})
}

// hopIDPattern matches the header with the id of a query's request.
var hopIDPattern = regexp.MustCompile(`X-Hop-Id: (\S+)`)

// Write handles a call. Statements with an order key run for 250 ms, long enough to be polled. The first run of a statement that
// contains "fails" fails; as this depends on the text only, it happens over either protocol. Two simultaneous attempts of a
// request, or simultaneous statements of an order key, are recorded as violations.
func (c *workerGroupConn) Write(b []byte) {
	sim := c.sim
	head, body, _ := bytes.Cut(b, []byte("\r\n\r\n"))
	line, _, _ := strings.Cut(string(head), "\r\n")
	switch {
	case strings.HasPrefix(line, "POST /obj"):
		id := hopIDPattern.FindStringSubmatch(string(head))[1]
		statement := string(body)
		if other := sim.runsByID[id]; other != nil && other.endedAt == 0 {
			sim.violations = append(sim.violations, fmt.Sprintf("two attempts of %s run at once", statement))
		}
		run := &queryRun{statement: statement, startedAt: sim.now}
		if i := strings.Index(statement, "key_"); i >= 0 {
			run.orderKey, _, _ = strings.Cut(statement[i:], " ")
			for _, other := range sim.runOrder {
				if other.orderKey == run.orderKey && other.endedAt == 0 {
					sim.violations = append(sim.violations, fmt.Sprintf("%q begins while %q runs", statement, other.statement))
				}
			}
		}
		sim.runsByID[id], sim.runOrder = run, append(sim.runOrder, run)
		duration := 5.0
		if run.orderKey != "" {
			duration = 250
		}
		if strings.Contains(statement, "fails") && !slices.ContainsFunc(sim.runOrder[:len(sim.runOrder)-1],
			func(other *queryRun) bool { return other.statement == statement }) {
			c.reply(duration, "HTTP/1.1 500 -\r\nContent-Length: 0\r\n\r\n", func() { run.endedAt = sim.now })
			return
		}
		rows := fmt.Sprintf("%d\tof\t%s\n", len(statement), strings.ReplaceAll(statement, " ", "_"))
		c.reply(duration, fmt.Sprintf(
			"HTTP/1.1 200 OK\r\nPage-Count: 1\r\nWork-Ms: %v\r\nPeak-Mb: 8\r\nContent-Length: %d\r\n\r\n%s",
			duration, len(rows), rows), func() { run.endedAt = sim.now })
	default:
		c.reply(1, "HTTP/1.1 204 -\r\n\r\n", nil)
	}
}

// simulatedClient is a client's connection over either protocol.
type simulatedClient struct {
	sim      *simulation
	handler  transport.Handler
	received bytes.Buffer
	onAnswer func(rows string, ok bool) // called with the next answer, once
	http     bool                       // uses the ClickHouse HTTP interface instead of PostgreSQL
}

func (c *simulatedClient) Close()       {}
func (c *simulatedClient) Finish()      { c.Close() }
func (c *simulatedClient) Pending() int { return 0 }
func (c *simulatedClient) Idle() bool   { return true }
func (c *simulatedClient) CloseWrite()  {}
func (c *simulatedClient) Abort()       { c.Close() }

// Write collects the coordinator's output and delivers each complete answer.
func (c *simulatedClient) Write(b []byte) {
	c.received.Write(b)
	data := c.received.Bytes()
	if c.http {
		head, body, ok := bytes.Cut(data, []byte("\r\n\r\n"))
		if !ok {
			return
		}
		m := regexp.MustCompile(`Content-Length: (\d+)`).FindSubmatch(head)
		n, _ := strconv.Atoi(string(m[1]))
		if len(body) < n {
			return
		}
		rows := string(body[:n])
		c.received.Reset()
		c.deliver(rows, bytes.HasPrefix(head, []byte("HTTP/1.1 200")))
		return
	}
	rows, ok, n := "", true, 0
	for len(data)-n >= 5 {
		size := 1 + int(binary.BigEndian.Uint32(data[n+1:]))
		if len(data)-n < size {
			return
		}
		kind, body := data[n], data[n+5:n+size]
		n += size
		switch kind {
		case 'D':
			var cells []string
			for at := body[2:]; len(at) > 0; {
				end := 4 + int(binary.BigEndian.Uint32(at))
				cells = append(cells, string(at[4:end]))
				at = at[end:]
			}
			rows += strings.Join(cells, "\t") + "\n"
		case 'E':
			ok = false
		case 'Z':
			c.received.Reset()
			c.deliver(rows, ok)
			return
		}
	}
}

// deliver passes an answer to onAnswer.
func (c *simulatedClient) deliver(rows string, ok bool) {
	if onAnswer := c.onAnswer; onAnswer != nil {
		c.onAnswer = nil
		onAnswer(rows, ok)
	}
}

// simulatedRequest is a request that can be sent over both protocols.
type simulatedRequest struct {
	statement, class, orderKey string
	at                         float64
}

// runRequests sends 120 requests that depend on the seed only, each over the protocol that useHTTP selects. It returns the
// answers, the order of runs by order key, and the counts by tenant and class, summed over the protocols.
func runRequests(t *testing.T, seed int64, useHTTP func(i int) bool) (answers []string, runOrder map[string][]string,
	counts map[string]accounting.Counts) {
	c := configtest.Example(t)
	c.Local.ClickHouse.Listen = "127.0.0.1:8123"
	sim := &simulation{t: t, now: startTime, deadlines: deadline.New(), rand: rand.New(rand.NewSource(seed)),
		runsByID: map[string]*queryRun{}}
	var err error
	sim.node, err = New(c, sim, sim.deadlines, func() float64 { return sim.now }, func() { sim.wakeRequested = true })
	if err != nil {
		t.Fatal(err)
	}
	var requests []simulatedRequest
	at := 0.0
	for i := range 120 {
		at += float64(30 + sim.rand.Intn(60))
		request := simulatedRequest{at: at, class: "lookup",
			statement: fmt.Sprintf("SELECT a FROM sales_%d.t WHERE id = %d", sim.rand.Intn(3), i)}
		switch sim.rand.Intn(6) {
		case 0:
			request.class, request.statement = "report",
				fmt.Sprintf("SELECT sum(a) FROM sales_%d.t WHERE id = %d", sim.rand.Intn(3), i)
		case 1, 2:
			request.class, request.orderKey = "load", fmt.Sprintf("key_%d", sim.rand.Intn(2))
			request.statement = fmt.Sprintf("INSERT INTO sales_1%s.t SELECT %d AS %s FROM staging.u",
				request.orderKey[4:], i, request.orderKey)
		case 3:
			if i%2 == 0 {
				request.statement += " AND fails = 1"
			}
		}
		requests = append(requests, request)
	}
	answers = make([]string, len(requests))
	for i, request := range requests {
		sim.schedule(request.at, func() {
			c := &simulatedClient{sim: sim, http: useHTTP(i)}
			c.handler = sim.node.Accept(map[bool]int{false: 0, true: 1}[c.http])
			c.handler.Opened(c)
			done := func(rows string, ok bool) { answers[i] = fmt.Sprintf("%v %s", ok, rows) }
			if c.http {
				c.onAnswer = done
				c.handler.Received([]byte(fmt.Sprintf(
					"POST /?user=acme&max_execution_time=20&order_key=%s&insert_deduplication_token=u%d HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s",
					request.orderKey, i, len(request.statement), request.statement)))
				return
			}
			c.onAnswer = func(string, bool) { // called when the session has started
				c.onAnswer = done
				fields := fmt.Sprintf("/* verb=%s,txn=%016x,limit=20000,team=acme", request.class, i+1)
				if request.orderKey != "" {
					fields += fmt.Sprintf(",unique=u%d,item=%s", i, request.orderKey)
				}
				c.handler.Received(pgMessage("Q", fields+" */ "+request.statement+"\x00"))
			}
			c.handler.Received(append(binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, 17), 3<<16),
				"user\x00app\x00\x00"[:9]...))
		})
	}
	sim.run()
	for _, violation := range sim.violations {
		t.Error(violation)
	}
	runOrder = map[string][]string{}
	waits, lastEnd := 0, map[string]float64{}
	for _, r := range sim.runOrder {
		if r.orderKey != "" {
			runOrder[r.orderKey] = append(runOrder[r.orderKey], r.statement)
			if r.startedAt-lastEnd[r.orderKey] < 5 {
				waits++
			}
			lastEnd[r.orderKey] = r.endedAt
		}
	}
	if waits < 3 {
		t.Errorf("only %d loads had to wait for their order key", waits)
	}
	counts = map[string]accounting.Counts{}
	for _, r := range sim.node.Coordinator.Accounts.Rows() {
		total := counts[r.Tenant+" "+r.Class]
		total.Add(&r.Counts)
		counts[r.Tenant+" "+r.Class] = total
	}
	if sim.node.Coordinator.Unanswered() != 0 || sim.node.inFlight() != 0 {
		t.Errorf("%d requests without an answer, %d attempts in flight at the end",
			sim.node.Coordinator.Unanswered(), sim.node.inFlight())
	}
	return answers, runOrder, counts
}

// The same requests must lead to the same answers, counts and run order of each order key, whether they are sent over PostgreSQL,
// over HTTP or over both. The worker groups check that no request has two attempts at once and no two loads of an order key run
// at once.
func TestProtocolsGiveEqualResults(t *testing.T) {
	for seed := int64(1); seed <= 5; seed++ {
		protocols := map[string]func(int) bool{"postgres": func(int) bool { return false },
			"clickhouse": func(int) bool { return true }, "mixed": func(i int) bool { return i*7%3 == 0 }}
		answers, order, counts := runRequests(t, seed, protocols["postgres"])
		for i, a := range answers {
			if !strings.HasPrefix(a, "true ") {
				t.Errorf("seed %d: request %d: %q", seed, i, a)
			}
		}
		if len(order) != 2 {
			t.Errorf("seed %d: %d order keys", seed, len(order))
		}
		for _, name := range []string{"clickhouse", "mixed"} {
			otherAnswers, otherOrder, otherCounts := runRequests(t, seed, protocols[name])
			for i := range otherAnswers {
				if otherAnswers[i] != answers[i] {
					t.Errorf("seed %d, %s: request %d: %q, over PostgreSQL %q", seed, name, i, otherAnswers[i], answers[i])
				}
			}
			if fmt.Sprint(otherOrder) != fmt.Sprint(order) {
				t.Errorf("seed %d, %s: order %v, over PostgreSQL %v", seed, name, otherOrder, order)
			}
			for tenantAndClass, want := range counts {
				got := otherCounts[tenantAndClass]
				if got.Accepted != want.Accepted || got.Served != want.Served || got.Refused != want.Refused ||
					got.Failed != want.Failed || got.Attempts != want.Attempts || got.ValueRequested != want.ValueRequested ||
					got.ValueServed != want.ValueServed || got.Open() != 0 {
					t.Errorf("seed %d, %s: %s: %+v, over PostgreSQL %+v", seed, name, tenantAndClass, got, want)
				}
			}
		}
	}
}
