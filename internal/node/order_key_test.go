package node

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strings"
	"testing"

	"thymeway/choice"
	"thymeway/internal/configtest"
	"thymeway/internal/coordinator"
	"thymeway/internal/deadline"
	"thymeway/internal/transport"
)

// faultyNetwork is a network with worker groups that reset connections, drain, crash, or become unreachable or unresponsive, some
// of them for good. It knows which queries run, and records violations of the rules for order keys and attempts.
type faultyNetwork struct {
	*simulation
	engines                 []*engineStub
	arrivalOrder            map[string]int          // by request id: position in the order in which requests were accepted
	orderKeys               map[string]string       // by request id
	latestSent              map[string]int          // by order key: position of the latest request of which an attempt was sent
	lastCancelled           map[string]cancellation // by order key
	inTransitCountsAsPolled bool                    // a query counts as polled while an answer about it is in transit
	faultRate               float64                 // probability of each of: reset during a call, malformed answer, duplicate
}

// cancellation describes the latest cancellation of an attempt of any request with a given order key.
type cancellation struct {
	at           float64 // time in ms
	arrivalOrder int     // of the request
}

// engineStub is a simulated worker group.
type engineStub struct {
	network                           *faultyNetwork
	id, addr                          string
	unreachableFrom, unreachableUntil float64 // period during which it is unreachable
	suspendedUntil                    float64 // time until which its process is stopped, so that no query ends or is dropped
	draining                          bool    // refuses new connections, but completes its queries
	down                              bool    // its process has died: it refuses connections and ignores calls
	conns                             []*connStub
	queries                           map[string]*runStub
	unsentNotices                     map[string]int    // of ended queries: progress notices that are sent before the end
	finalAnswers                      map[string]string // answers to polls for ended queries, by id
}

// runStub is a query that runs, or whose second page has not been fetched yet.
type runStub struct {
	lastPolled       float64
	ended            bool                  // it has run, and only its second page is left to be fetched
	notices          int                   // progress notices not sent yet
	heldPolls        []func(answer string) // polls that are not answered yet
	answersInTransit int                   // answers about this query
}

// connStub is a connection to an engineStub. Data of each direction is delivered in order, and while the worker group is
// unreachable only once that period has ended.
type connStub struct {
	engine                          *engineStub
	handler                         transport.Handler
	coordinatorClosed, engineClosed bool
	lastToEngine, lastToCoordinator float64 // time of the latest delivery in each direction
	aborted, finSent                bool
}

// orderSettleTime is the pause in ms that the coordinator has to keep on an order key after an attempt that may still run.
const orderSettleTime = 500.0

// deliveryDelay returns the time in ms after which data sent now is delivered. It is not delivered before data that was sent
// earlier in the same direction, whose latest delivery is *last.
func (c *connStub) deliveryDelay(last *float64) float64 {
	network := c.engine.network
	arrival := network.now + 1 + network.rand.Float64()
	if arrival >= c.engine.unreachableFrom && arrival < c.engine.unreachableUntil {
		arrival = c.engine.unreachableUntil + 40*network.rand.Float64()
	}
	*last = max(*last, arrival)
	return *last - network.now
}

// Dial connects to a worker group. An unreachable one times out; one that drains or is down refuses the connection.
func (n *faultyNetwork) Dial(addr string, h transport.Handler) {
	for _, e := range n.engines {
		if e.addr != addr {
			continue
		}
		switch {
		case n.now >= e.unreachableFrom && n.now < e.unreachableUntil:
			n.schedule(250, func() { h.Closed(transport.Unreachable) })
		case e.draining || e.down:
			n.schedule(1, func() { h.Closed(transport.ConnRefused) })
		default:
			c := &connStub{engine: e, handler: h}
			e.conns = append(e.conns, c)
			n.schedule(1, func() { h.Opened(c) })
		}
		return
	}
	n.schedule(1, func() { h.Closed(transport.ConnRefused) })
}

func (c *connStub) Finish()      { c.Close() }
func (c *connStub) Pending() int { return 0 }
func (c *connStub) Idle() bool   { return !c.engineClosed && !c.coordinatorClosed }

// Close closes the coordinator's side. Data written before is still delivered.
func (c *connStub) Close() {
	c.coordinatorClosed = true
	c.sendFin()
}

func (c *connStub) CloseWrite() { c.sendFin() }

// sendFin sends the end of the coordinator's data, once.
func (c *connStub) sendFin() {
	if !c.finSent {
		c.finSent = true
		c.engine.network.schedule(c.deliveryDelay(&c.lastToEngine), func() { c.closeByEngine(transport.PeerClosed) })
	}
}

// Abort closes the coordinator's side and discards data that is not delivered yet.
func (c *connStub) Abort() {
	c.coordinatorClosed, c.aborted = true, true
	c.engine.network.schedule(c.deliveryDelay(&c.lastToEngine), func() { c.closeByEngine(transport.ConnReset) })
}

// closeByEngine closes the worker group's side: it reads and answers nothing more.
func (c *connStub) closeByEngine(reason transport.EndReason) {
	if c.engineClosed {
		return
	}
	c.engineClosed = true
	c.engine.conns = slices.DeleteFunc(c.engine.conns, func(x *connStub) bool { return x == c })
	c.engine.network.schedule(c.deliveryDelay(&c.lastToCoordinator), func() {
		if !c.coordinatorClosed {
			c.coordinatorClosed = true
			c.handler.Closed(reason)
		}
	})
}

// Write sends a call to the worker group.
func (c *connStub) Write(b []byte) {
	if c.coordinatorClosed {
		return
	}
	network, text := c.engine.network, string(b)
	if strings.HasPrefix(text, "POST") {
		network.checkSend(hopIDPattern.FindStringSubmatch(text)[1])
	}
	network.schedule(c.deliveryDelay(&c.lastToEngine), func() {
		if !c.engineClosed && !c.aborted {
			c.engine.handleCall(c, text)
		}
	})
}

// checkSend checks a POST at the time at which the coordinator sends it: no later request of its order key has been sent, no
// other one is running, and orderSettleTime has passed since an attempt of another one was cancelled.
func (n *faultyNetwork) checkSend(id string) {
	key := n.orderKeys[id]
	if key == "" {
		return
	}
	if n.arrivalOrder[id] < n.latestSent[key] {
		n.violations = append(n.violations,
			fmt.Sprintf("%.0f: %s is sent after a later request of its order key", n.now-startTime, id))
	}
	n.latestSent[key] = n.arrivalOrder[id]
	for _, e := range n.engines {
		for otherID := range e.queries {
			if otherID != id && n.orderKeys[otherID] == key {
				n.violations = append(n.violations, fmt.Sprintf("%.0f: %s is sent while %s runs", n.now-startTime, id, otherID))
			}
		}
	}
	if cancelled := n.lastCancelled[key]; cancelled.arrivalOrder != n.arrivalOrder[id] && n.now < cancelled.at+orderSettleTime {
		n.violations = append(n.violations, fmt.Sprintf(
			"%.0f: %s is sent %.0f ms after an attempt of its order key was cancelled", n.now-startTime, id, n.now-cancelled.at))
	}
}

// sendAnswer sends an answer and calls onDelivery when it arrives. At the network's fault rate, the answer is malformed or,
// unless its status is 202, sent twice.
func (e *engineStub) sendAnswer(c *connStub, answer string, onDelivery func()) {
	network := e.network
	if network.rand.Float64() < network.faultRate {
		answer = "HTTP/1.1 2x0 OK\r\n\r\n"
	}
	network.schedule(c.deliveryDelay(&c.lastToCoordinator), func() {
		if onDelivery != nil {
			onDelivery()
		}
		if !c.coordinatorClosed {
			c.handler.Received([]byte(answer))
		}
	})
	if !strings.Contains(answer, " 202 ") && network.rand.Float64() < network.faultRate { // duplicate
		c.lastToCoordinator += 3 * network.rand.Float64()
		network.schedule(c.lastToCoordinator-network.now, func() {
			if !c.coordinatorClosed {
				c.handler.Received([]byte(answer))
			}
		})
	}
}

// unknownQueryAnswer is the answer for a failed query, and for one that the worker group does not know.
const unknownQueryAnswer = "HTTP/1.1 500 -\r\nContent-Length: 0\r\n\r\n"

// handleCall handles a call that has arrived. At the network's fault rate, the connection is reset before or after that.
func (e *engineStub) handleCall(c *connStub, call string) {
	network := e.network
	if e.down {
		return
	}
	roll := network.rand.Float64()
	if roll < network.faultRate { // reset before the call is processed
		c.closeByEngine(transport.ConnReset)
		return
	}
	line := strings.Fields(call)
	id := strings.Split(line[1]+"//", "/")[2]
	switch line[0] {
	case "POST":
		id = hopIDPattern.FindStringSubmatch(call)[1]
		if network.rand.Intn(20) == 0 {
			e.finalAnswers[id] = "HTTP/1.1 503 -\r\nX-No-Effect: 1\r\nContent-Length: 0\r\n\r\n"
			e.sendAnswer(c, e.finalAnswers[id], nil)
			break
		}
		e.startQuery(id)
		e.answerPoll(c, id)
	case "GET":
		if strings.HasSuffix(line[1], "/1") {
			e.answerPage(c, id)
		} else {
			e.answerPoll(c, id)
		}
	case "DELETE":
		e.endQuery(id, unknownQueryAnswer, true)
		e.sendAnswer(c, "HTTP/1.1 204 -\r\n\r\n", nil)
	}
	if roll < 2*network.faultRate {
		c.closeByEngine(transport.ConnReset)
	}
}

// startQuery starts a query and checks that no other query of its order key and no other attempt of its request is running.
// The query ends after a random time, or is dropped if it is not polled for 2 s; a notice is added every 400 ms.
func (e *engineStub) startQuery(id string) {
	network, key := e.network, e.network.orderKeys[id]
	for _, engine := range network.engines {
		for otherID := range engine.queries {
			if otherID == id || key != "" && network.orderKeys[otherID] == key {
				network.violations = append(network.violations, fmt.Sprintf(
					"%.0f: %s begins on %s while %s runs on %s", network.now-startTime, id, e.id, otherID, engine.id))
			}
		}
	}
	if key != "" && network.arrivalOrder[id] < network.latestSent[key] {
		network.violations = append(network.violations, fmt.Sprintf(
			"%.0f: %s begins after a later request of its order key was sent", network.now-startTime, id))
	}
	query := &runStub{lastPolled: network.now}
	e.queries[id] = query
	delete(e.finalAnswers, id)
	delete(e.unsentNotices, id)
	var addNotice func()
	addNotice = func() {
		if e.queries[id] == query && !query.ended {
			query.notices++
			network.schedule(400, addNotice)
		}
	}
	network.schedule(400, addNotice)
	onePage := "HTTP/1.1 200 OK\r\nPage-Count: 1\r\nWork-Ms: 5\r\nPeak-Mb: 8\r\nContent-Length: 6\r\n\r\na\tb\tc\n"
	twoPages := strings.Replace(onePage, "Page-Count: 1", "Page-Count: 2", 1)
	roll := network.rand.Intn(10)
	e.whenRunning(20+network.rand.ExpFloat64()*800, func() {
		switch {
		case e.queries[id] != query:
		case roll == 0:
			e.endQuery(id, unknownQueryAnswer, false)
		case roll < 4:
			query.ended, e.finalAnswers[id] = true, twoPages
			for _, reply := range query.heldPolls {
				reply(twoPages)
			}
		default:
			e.endQuery(id, onePage, false)
		}
	})
	var dropIfUnpolled func()
	dropIfUnpolled = func() {
		if e.queries[id] != query {
			return
		}
		if remaining := query.lastPolled + 2000 - network.now; remaining > 0 || query.answersInTransit > 0 {
			e.whenRunning(max(remaining, 100), dropIfUnpolled)
			return
		}
		e.endQuery(id, unknownQueryAnswer, true)
	}
	e.whenRunning(2000, dropIfUnpolled)
}

// whenRunning calls do after a delay in ms or, if the process is stopped at that time, once it resumes.
func (e *engineStub) whenRunning(delay float64, do func()) {
	e.network.schedule(delay, func() {
		if remaining := e.suspendedUntil - e.network.now; remaining > 0 {
			e.whenRunning(remaining+e.network.rand.Float64(), do)
			return
		}
		do()
	})
}

// endQuery ends a query, which completed or was cancelled, and answers its held polls.
func (e *engineStub) endQuery(id, answer string, cancelled bool) {
	query := e.queries[id]
	if query == nil {
		return
	}
	delete(e.queries, id)
	e.finalAnswers[id] = answer
	if cancelled {
		e.unsentNotices[id] = query.notices
	}
	if key := e.network.orderKeys[id]; cancelled && key != "" {
		e.network.lastCancelled[key] = cancellation{e.network.now, e.network.arrivalOrder[id]}
	}
	for _, reply := range query.heldPolls {
		reply(answer)
	}
}

// answerPage sends the second page of a result and ends the query.
func (e *engineStub) answerPage(c *connStub, id string) {
	query := e.queries[id]
	if query == nil || !query.ended {
		e.sendAnswer(c, unknownQueryAnswer, nil)
		return
	}
	query.lastPolled = e.network.now
	e.endQuery(id, e.finalAnswers[id], false)
	e.sendAnswer(c, "HTTP/1.1 200 OK\r\nPage-No: 1\r\nContent-Length: 6\r\n\r\nd\te\tf\n", nil)
}

// answerPoll answers a poll: with a progress notice, with the end of the query, or after 250 ms with status 202, as it runs on.
func (e *engineStub) answerPoll(c *connStub, id string) {
	network, query := e.network, e.queries[id]
	if query != nil && query.notices > 0 || e.unsentNotices[id] > 0 {
		if query != nil {
			query.lastPolled = network.now
			query.notices--
		} else {
			e.unsentNotices[id]--
		}
		e.sendAnswer(c, "HTTP/1.1 202 -\r\nX-Tell: advance\r\nFigure: 0.5\r\nContent-Length: 0\r\n\r\n", nil)
		return
	}
	if query != nil && query.ended {
		query.lastPolled = network.now
	}
	if query == nil || query.ended {
		answer := e.finalAnswers[id]
		if answer == "" {
			answer = unknownQueryAnswer
		}
		e.sendAnswer(c, answer, nil)
		return
	}
	query.lastPolled = network.now
	answered := false
	reply := func(text string) {
		if !answered && !c.engineClosed {
			answered = true
			if network.inTransitCountsAsPolled {
				query.answersInTransit++
			}
			e.sendAnswer(c, text, func() {
				if network.inTransitCountsAsPolled {
					query.answersInTransit--
					query.lastPolled = network.now
				}
			})
		}
	}
	query.heldPolls = append(query.heldPolls, reply)
	network.schedule(250, func() { reply("HTTP/1.1 202 -\r\nContent-Length: 0\r\n\r\n") })
}

// injectFault causes one random fault at the worker group.
func (e *engineStub) injectFault() {
	network := e.network
	switch network.rand.Intn(6) {
	case 0, 1: // unreachable, for shorter or longer than any timeout of the coordinator
		if network.now >= e.unreachableUntil {
			e.unreachableFrom, e.unreachableUntil = network.now, network.now+200+network.rand.Float64()*12000
		}
	case 2: // drains; it is announced late, and the same process becomes healthy again
		e.draining = true
		network.schedule(network.rand.Float64()*3000, func() { e.announce(choice.Draining) })
		network.schedule(3000+network.rand.Float64()*3000, func() { e.draining = false; e.announce(choice.Healthy) })
	case 3: // its process dies, and a new one starts
		e.killProcess()
		network.schedule(100+network.rand.Float64()*2000, func() { e.down = false })
	case 5: // its process is stopped: it is unreachable, and its queries neither end nor are dropped
		if network.now < e.unreachableUntil {
			break
		}
		if network.rand.Intn(2) == 0 { // its connections are reset at the start
			for _, c := range slices.Clone(e.conns) {
				c.closeByEngine(transport.ConnReset)
			}
		}
		e.unreachableFrom, e.unreachableUntil = network.now, network.now+200+network.rand.Float64()*12000
		e.suspendedUntil = e.unreachableUntil
	case 4: // all its connections are reset, while its queries run on
		for _, c := range slices.Clone(e.conns) {
			c.closeByEngine(transport.ConnReset)
		}
	}
}

// killProcess ends the process: its connections are reset and its queries are gone.
func (e *engineStub) killProcess() {
	for _, c := range slices.Clone(e.conns) {
		c.closeByEngine(transport.ConnReset)
	}
	for _, id := range slices.Sorted(maps.Keys(e.queries)) {
		e.endQuery(id, unknownQueryAnswer, true)
	}
	e.finalAnswers, e.unsentNotices, e.down = map[string]string{}, map[string]int{}, true
}

// announce passes the worker group's status to the coordinator, as the discovery service would.
func (e *engineStub) announce(status choice.Status) { e.announceAs(e.id, status) }

// announceAs passes the status of a worker group that has, or once had, the address.
func (e *engineStub) announceAs(id string, status choice.Status) {
	e.network.node.Coordinator.UpdateEngines(false, []coordinator.ListedEngine{{
		Engine: choice.Engine{ID: id, Zone: "room-a", Kind: "std-12", Size: 1, Status: status}, Addr: e.addr}})
}

// runWithFaults sends 150 loads with 4 order keys to a coordinator whose worker groups suffer faults. lateness holds, for each
// request, the time in ms from its limit to its answer, negative if the answer came before the limit; -1 also means a
// client that disconnected, and 0 for a missing answer. served is the number of requests that succeeded. injectFault causes a
// random fault at a worker group and is called now and then for each.
func runWithFaults(t *testing.T, seed int64, injectFault func(e *engineStub)) (network *faultyNetwork, lateness []float64,
	served int) {
	c := configtest.Example(t)
	sim := &simulation{t: t, now: startTime, deadlines: deadline.New(), rand: rand.New(rand.NewSource(seed))}
	network = &faultyNetwork{simulation: sim, arrivalOrder: map[string]int{}, orderKeys: map[string]string{},
		latestSent: map[string]int{}, lastCancelled: map[string]cancellation{}}
	network.inTransitCountsAsPolled, network.faultRate = sim.rand.Intn(2) == 0, 0.06*sim.rand.Float64()
	var err error
	if sim.node, err = New(c, network, sim.deadlines, func() float64 { return sim.now },
		func() { sim.wakeRequested = true }); err != nil {
		t.Fatal(err)
	}
	for i := range 4 {
		e := &engineStub{network: network, id: fmt.Sprintf("s-toy%d", i+1), addr: fmt.Sprintf("127.0.0.1:%d", 4101+i),
			queries: map[string]*runStub{}, finalAnswers: map[string]string{}, unsentNotices: map[string]int{}}
		network.engines = append(network.engines, e)
		sim.schedule(0, func() { e.announce(choice.Healthy) })
		for at := 500.0; at < 30000; at += 500 + sim.rand.Float64()*8000 {
			if sim.rand.Intn(3) > 0 {
				sim.schedule(at, func() { injectFault(e) })
			}
		}
	}
	silentEngine := network.engines[3]
	// One worker group becomes unreachable for good; the queries running there end later.
	sim.schedule(25000, func() { silentEngine.unreachableFrom, silentEngine.unreachableUntil = sim.now, sim.now+1e9 })
	sim.schedule(85000, func() {
		silentEngine.down = true
		for _, id := range slices.Sorted(maps.Keys(silentEngine.queries)) {
			silentEngine.endQuery(id, unknownQueryAnswer, true)
		}
	})
	const count = 150
	lateness = make([]float64, count)
	for i := range count {
		at, limit := float64(i)*200+60+sim.rand.Float64()*100, 1500+sim.rand.Float64()*8000
		if i >= count-10 { // much later, when no earlier attempt may run and no order key may be blocked any more
			at, limit = 300e3+float64(i)*1000, 15000
		}
		key := fmt.Sprintf("k%d", sim.rand.Intn(4))
		disconnects := sim.rand.Intn(12) == 0
		sim.schedule(at, func() {
			id := fmt.Sprintf("%016x", i+1)
			network.arrivalOrder[id], network.orderKeys[id] = i+1, key
			c := &simulatedClient{sim: sim}
			c.handler = sim.node.Accept(0)
			c.handler.Opened(c)
			c.onAnswer = func(string, bool) {
				c.onAnswer = func(_ string, ok bool) {
					if ok {
						served++
					}
					lateness[i] = sim.now - startTime - at - limit
					if lateness[i] == 0 {
						lateness[i] = -1
					}
				}
				text := fmt.Sprintf(
					"/* verb=load,txn=%s,limit=%.0f,team=acme,unique=u%d,item=%s,cpu=900,heap_mb=90 */ INSERT INTO sales_17.orders SELECT %d FROM staging.b",
					id, limit, i, key, i)
				c.handler.Received(pgMessage("Q", text+"\x00"))
			}
			c.handler.Received(append(binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, 17), 3<<16),
				"user\x00app\x00\x00"[:9]...))
			if disconnects && i < count-10 {
				sim.schedule(sim.rand.Float64()*2000, func() {
					if lateness[i] == 0 {
						lateness[i] = -1
						c.handler.Closed(transport.ConnReset)
					}
				})
			}
		})
	}
	sim.endTime = startTime + 500e3
	sim.schedule(500e3, func() {})
	sim.run()
	return network, lateness, served
}

// Guards against attempts that count as ended while they may still run, and against order keys that stay blocked. Whatever the
// faults of the network and the worker groups, requests of an order key must run in order and one at a time, each request must
// have one attempt at a time, the order key must pause after a cancelled attempt, and clients must be answered in time.
func TestOrderKeysUnderFaults(t *testing.T) {
	checkUnderFaults(t, 40, (*engineStub).injectFault)
}

// checkUnderFaults plays runWithFaults with the given number of seeds, checks that the rules hold, and checks that no attempt or
// order key is left in the end.
func checkUnderFaults(t *testing.T, seeds int64, injectFault func(e *engineStub)) {
	t.Helper()
	total := 0
	for seed := int64(1); seed <= seeds; seed++ {
		network, lateness, served := runWithFaults(t, seed, injectFault)
		for i, violation := range network.violations {
			if i < 3 {
				t.Errorf("seed %d: %s", seed, violation)
			}
		}
		for i, late := range lateness {
			if late == 0 || late > 50 {
				t.Errorf("seed %d: request %d: answered %.0f ms after its limit (0: never)", seed, i+1, late)
			}
		}
		total += served
		for i := len(lateness) - 10; i < len(lateness); i++ {
			if lateness[i] > -1000 {
				t.Errorf("seed %d: request %d waited until its limit: its order key is blocked", seed, i+1)
			}
		}
		if network.node.Coordinator.Unanswered() != 0 || network.node.inFlight() != 0 {
			t.Errorf("seed %d: %d requests without an answer, %d attempts in flight at the end", seed,
				network.node.Coordinator.Unanswered(), network.node.inFlight())
		}
	}
	if total < 50*int(seeds) { // of 150 a seed; a coordinator that never sends a request would violate no other rule
		t.Errorf("only %d requests were served", total)
	}
}
