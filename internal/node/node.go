// Package node puts a coordinator together from its parts. It needs a dialer and a clock, but no socket, so the
// whole program can be played from a text file.
package node

import (
	"log/slog"
	"maps"
	"math/rand"
	"slices"

	"thymeway/internal/board"
	"thymeway/internal/chengine"
	"thymeway/internal/chhttp"
	"thymeway/internal/clock"
	"thymeway/internal/config"
	"thymeway/internal/coordinator"
	"thymeway/internal/deadline"
	"thymeway/internal/link"
	"thymeway/internal/metrics"
	"thymeway/internal/pg"
	"thymeway/internal/rest"
	"thymeway/internal/seats"
	"thymeway/internal/shape"
	"thymeway/internal/snapshot"
	"thymeway/internal/surge"
	"thymeway/internal/tally"
)

const (
	answerMargin = 25.0     // ms by which an answer is due before the client's limit: the way there and back
	idleShare    = 0.7      // of the time after which worker groups close idle connections
	engineShare  = 0.4      // of the descriptors, for connections to worker groups; most of the others are the clients'
	reserve      = 28       // descriptors for the program itself, the board and connections that come and go
	inputShare   = 0.1      // of the memory, for bytes from clients that wait
	bodyShare    = 0.05     // of the memory, for bodies of ClickHouse clients; an open one stands there three times
	resultShare  = 0.15     // of the memory, for results of ClickHouse engines that are coming
	leastInput   = 16 << 10 // bytes of a message that are read at least
	mostInput    = 256 << 10
	stayAfter    = 800.0    // ms that new requests may still come after SIGTERM
	stayCheck    = 20.0     // ms between looks whether all is answered
	killAfter    = 700.0    // ms after the longest deadline, or killMost, at which SIGKILL may come
	killMost     = 3000.0   // ms
	answerBefore = 350.0    // ms before that time by which all is answered
	shapesATurn  = 128      // shapes that are written down in one turn
	chIdle       = 2500.0   // ms for which a connection to a ClickHouse engine is kept: these close them after 3 s or more
	mostSnapshot = 64 << 20 // bytes of the file
	cancelWithin = 200.0    // ms from then for worker groups to hear what is given up
	reloadTries  = 20       // readings of a configuration that can't be opened for a moment
	reloadPause  = 100.0    // ms between them
)

// Node is a whole coordinator.
type Node struct {
	Coordinator *coordinator.Coordinator
	Sessions    *pg.Server
	Front       *chhttp.Front // nil: no ClickHouse clients are served
	Watch       *board.Watcher
	Shapes      *shape.Catalog
	Clock       *clock.Monitor // nil: the wall clock is not watched
	seats       *seats.Limiter
	keeper      *snapshot.AsyncWriter // nil: shapes are not kept
	fleet       *rest.Fleet
	ch          *chengine.Fleet // nil: no engine speaks ClickHouse's interface
	queue       *deadline.Queue
	now         func() float64
	config      config.Config
	leaving     bool
}

// New puts a coordinator together. wake must cause a turn soon: a sweep of the queue and a call of Turn.
func New(c config.Config, d link.Dialer, queue *deadline.Queue, now func() float64, wake func()) (*Node, error) {
	faults := &tally.FaultLog{Now: now}
	fleet := &rest.Fleet{Dialer: d, Deadlines: queue, Now: now, Faults: faults, ConnectTimeout: c.ConnectTimeout,
		ConnIdleTimeout: c.ConnIdleTimeout * idleShare, MaxConns: int(float64(c.Sockets) * engineShare)}
	book := shape.NewCatalog(shape.Options{MaxBytes: c.ShapeBytes(), HashSeed: c.Seed})
	keeper := remember(book, c.Local.Shapes)
	engines, ch := coordinator.Backend(fleet), (*chengine.Fleet)(nil)
	speaks := func(k config.Kind) bool { return k.Protocol == "clickhouse" }
	if slices.ContainsFunc(slices.Collect(maps.Values(c.Local.Kinds)), speaks) {
		fleet.MaxConns /= 2
		ch = &chengine.Fleet{Dialer: d, Deadlines: queue, Now: now, Faults: faults, ConnIdle: min(c.ConnIdleTimeout*idleShare, chIdle),
			MostWires: fleet.MaxConns, MostResult: c.Local.ClickHouse.MaxResultBytes,
			Login:    func(kind string) (string, string) { return c.Local.Kinds[kind].User, c.Local.Kinds[kind].Password },
			MostHeld: int(c.MemoryMB * (1 << 20) * resultShare)}
		engines = &coordinator.Mux{Backends: []coordinator.Backend{fleet, ch}, BackendIndex: func(m coordinator.ListedEngine) int {
			if speaks(c.Local.Kinds[m.Kind]) {
				return 1
			}
			return 0
		}}
	}
	wires := fleet.MaxConns
	coord := coordinator.New(c.Scheduler, now, queue, engines, wake,
		coordinator.StatementOptions{Shapes: book, Role: c.ClassRules().Role, FillEstimates: c.Local.Shapes.FillEstimates, Faults: faults})
	fleet.Watcher = coord
	if ch != nil {
		ch.Watcher, wires = coord, 2*wires
	}
	clients := max(c.Sockets-wires-reserve, 1)
	places := &seats.Limiter{MaxConnections: clients, Faults: faults}
	n := &Node{Coordinator: coord, Shapes: book, seats: places, ch: ch, fleet: fleet, queue: queue, now: now, config: c,
		Sessions: &pg.Server{Coordinator: coord, Deadlines: queue, Faults: faults, Now: now, AnswerMargin: answerMargin, ConnLimiter: places,
			MaxInputBytes: min(max(int(c.MemoryMB*(1<<20)*inputShare)/clients, leastInput), mostInput),
			Random:        rand.New(rand.NewSource(int64(c.Seed) + 1))},
		Watch: &board.Watcher{Dialer: d, Deadlines: queue, Now: now, Listener: coord, Addr: c.DiscoveryAddr, ConnectTimeout: 2 * c.ConnectTimeout,
			WarmUpTime: c.Scheduler.WarmUpTime}}
	if c.Local.ClickHouse.Listen != "" {
		n.Front = &chhttp.Front{Coordinator: coord, Deadlines: queue, Faults: faults, Now: now, Margin: answerMargin, Seats: places,
			Random: rand.New(rand.NewSource(int64(c.Seed) + 2)), Config: c, MostHeld: int(c.MemoryMB * (1 << 20) * bodyShare)}
		n.Front.Start()
	}
	if n.keeper = keeper; keeper != nil {
		n.keep(c.Local.Shapes.SaveInterval)
	}
	return n, n.Watch.LoadKnown(c.Known)
}

// remember fills a Book from its file, if there is to be one. What can't be believed is told, and the Book stays empty.
func remember(book *shape.Catalog, s config.Shapes) *snapshot.AsyncWriter {
	if s.File == "" {
		return nil
	}
	payload, err := snapshot.Read(s.File, shape.DumpKind, shape.DumpVersion, mostSnapshot)
	count := 0
	if err == nil {
		count, err = book.Load(payload)
	}
	if err != nil {
		slog.Warn("shapes-empty", "file", s.File, "error", err)
	} else {
		slog.Info("shapes-loaded", "file", s.File, "shapes", count)
	}
	return snapshot.NewAsyncWriter(s.File, shape.DumpKind, shape.DumpVersion)
}

// keep has the shapes written down now and then, a few in a turn.
func (n *Node) keep(every float64) {
	var d *shape.Dump
	e := &deadline.Entry{}
	e.Do = func() {
		if d == nil {
			d = n.Shapes.Dump()
		}
		if !d.Step(shapesATurn) {
			n.queue.Set(e, n.now()+1)
			return
		}
		n.keeper.Save(d.Bytes())
		d = nil
		n.queue.Set(e, n.now()+every)
	}
	n.queue.Set(e, n.now()+every)
}

// Turn lets the module answer what has come in.
func (n *Node) Turn() {
	if n.Clock != nil {
		n.Clock.Sample()
	}
	n.Coordinator.Turn()
}

// Snapshot is a copy of what is counted, for others than the loop.
func (n *Node) Snapshot() metrics.Snapshot {
	s := metrics.Snapshot{Accounts: n.Coordinator.Accounts.Rows(), Shapes: n.Shapes.Stats(), Unproven: map[string]uint64{},
		Unanswered: n.Coordinator.Unanswered(), InFlight: n.out(), ClientConnections: n.seats.Count(),
		RetryReasons: n.Coordinator.RetryReasons.Rows(), UnservedReasons: n.Coordinator.UnservedReasons.Rows()}
	if n.Clock != nil {
		s.Clock = n.Clock.State()
	}
	s.StormStates = map[string]surge.State{"": n.Coordinator.StormState("")}
	for _, t := range n.config.Scheduler.Tenants {
		s.StormStates[t.Name] = n.Coordinator.StormState(t.Name)
	}
	for d := shape.NoReason + 1; d < shape.NumReasons; d++ {
		if k := n.Coordinator.Unproven(d); k > 0 {
			s.Unproven[d.String()] = k
		}
	}
	return s
}

// Close writes down what is to outlast the program. It comes after the last turn.
func (n *Node) Close() {
	if n.keeper == nil {
		return
	}
	d := n.Shapes.Dump()
	for !d.Step(shapesATurn) {
	}
	n.keeper.Save(d.Bytes())
	n.keeper.Close()
}

// Reload takes a configuration read anew. A faulty one leaves all as it is; of a good one the board's address
// counts, and the rest waits for a restart.
func (n *Node) Reload(read func() (config.Config, error)) { n.reload(read, reloadTries) }

// reload tries again where the system is short of something for a moment: nobody asks for the new board a second time.
func (n *Node) reload(read func() (config.Config, error), tries int) {
	c, err := read()
	if err != nil && tries > 1 && config.Transient(err) {
		slog.Warn("reload-again", "error", err)
		n.queue.Set(&deadline.Entry{Do: func() { n.reload(read, tries-1) }}, n.now()+reloadPause)
		return
	}
	if err != nil {
		slog.Error("reload-refused", "error", err)
		return
	}
	slog.Info("reloaded", "board", c.DiscoveryAddr, "for-restart", n.config.RestartKeys(c))
	n.Watch.SetAddr(c.DiscoveryAddr)
}

// close has all fronts refuse what is new.
func (n *Node) close() {
	n.Sessions.ShuttingDown = true
	if n.Front != nil {
		n.Front.Leaving = true
	}
}

// out is the number of attempts that may run on some engine.
func (n *Node) out() int {
	if n.ch != nil {
		return n.fleet.InFlight() + n.ch.Out()
	}
	return n.fleet.InFlight()
}

// FreeDescriptor closes an unused connection to an engine, if there is one.
func (n *Node) FreeDescriptor() { n.fleet.CloseIdleConn() }

// pending is the number of bytes on their way to clients.
func (n *Node) pending() int {
	p := n.Sessions.Pending()
	if n.Front != nil {
		p += n.Front.Pending()
	}
	return p
}

// Accept makes the object behind a new connection, by the number of the address in Listen that it came to.
func (n *Node) Accept(listener int) link.Handler {
	if listener == 1 {
		return n.Front.Accept()
	}
	return n.Sessions.Accept()
}

// Listen are the addresses to serve.
func (n *Node) Listen() []string {
	if n.Front == nil {
		return []string{n.config.Listen}
	}
	return []string{n.config.Listen, n.config.Local.ClickHouse.Listen}
}

// Leave calls stop once nothing new comes and all that was taken is answered and written. What would take longer than
// SIGKILL leaves is given up before that: its client may then still try elsewhere. Asked again, it does nothing.
func (n *Node) Leave(stop func()) {
	if n.leaving {
		return
	}
	n.leaving = true
	slog.Info("leaving", "owed", n.Coordinator.Unanswered())
	longest := 0.0
	for _, c := range n.config.Scheduler.Classes {
		longest = max(longest, c.ClientTimeout)
	}
	last := n.now() + min(longest, killMost) + killAfter - answerBefore
	n.queue.Set(&deadline.Entry{Do: func() {
		n.close()
		n.Coordinator.ShutDown()
	}}, last)
	e := &deadline.Entry{}
	e.Do = func() {
		n.close()
		if n.Coordinator.Unanswered() == 0 && n.pending() == 0 && (n.out() == 0 || n.now() > last+cancelWithin) {
			stop()
			return
		}
		n.queue.Set(e, n.now()+stayCheck)
	}
	n.queue.Set(e, n.now()+stayAfter)
}
