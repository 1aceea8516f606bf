// Package node assembles a complete coordinator from its parts. It depends on a dialer and a time source but on no socket, so
// that the whole program can be tested with scripted connections.
package node

import (
	"log/slog"
	"maps"
	"slices"

	"thymeway/internal/chengine"
	"thymeway/internal/chhttp"
	"thymeway/internal/clock"
	"thymeway/internal/config"
	"thymeway/internal/connlimit"
	"thymeway/internal/coordinator"
	"thymeway/internal/deadline"
	"thymeway/internal/discovery"
	"thymeway/internal/faultlog"
	"thymeway/internal/metrics"
	"thymeway/internal/pg"
	"thymeway/internal/retrystorm"
	"thymeway/internal/shape"
	"thymeway/internal/snapshot"
	"thymeway/internal/transport"
	"thymeway/internal/workergroup"
)

// Limits, times (in milliseconds) and shares of resources.
const (
	answerMargin          = 25.0      // an answer is due this long before the client's timeout, to allow for the round trip
	connIdleShare         = 0.7       // idle connections are closed after this share of the time after which worker groups do so
	engineDescriptorShare = 0.4       // of the descriptors, for connections to worker groups; most others are for clients
	reservedDescriptors   = 28        // for the program itself, the discovery service and short-lived connections
	inputMemoryShare      = 0.1       // of the memory, for input from clients that is not processed yet
	bodyMemoryShare       = 0.1       // of the memory, for requests of ClickHouse clients; while one is sent, its text is in memory once more
	unsentMemoryShare     = 0.2       // of the memory, for answers that clients have not read, beyond which queries are refused
	resultMemoryShare     = 0.15      // of the memory, for results being received from ClickHouse engines
	minInputBytes         = 16 << 10  // lower bound of the size limit of a client's message
	maxInputBytes         = 256 << 10 // upper bound of that limit
	shutdownGrace         = 800.0     // period after SIGTERM during which new requests are still accepted
	shutdownCheckInterval = 20.0      // between checks whether all requests are answered
	killDelay             = 700.0     // SIGKILL may follow SIGTERM after the longest client timeout plus this delay
	maxKillTimeout        = 3000.0    // upper bound of the client timeout in that sum
	killMargin            = 350.0     // all requests are answered this long before SIGKILL may come
	shapesPerTurn         = 128       // shapes written to the snapshot in one event-loop turn
	clickHouseConnIdle    = 2500.0    // maximum idle time; ClickHouse engines close idle connections after 3 s or more
	maxSnapshotBytes      = 64 << 20  // of the snapshot file
	cancelGrace           = 200.0     // period after the last answers for sending cancellations to the engines
	maxReloadTries        = 20        // attempts to read a configuration while reading fails for a temporary reason
	reloadRetryDelay      = 100.0     // between two attempts to read the configuration
)

// Node is a complete coordinator with its clients, engines and discovery service.
type Node struct {
	Coordinator       *coordinator.Coordinator
	Postgres          *pg.Server
	ClickHouse        *chhttp.Server // nil: ClickHouse clients are not served
	Discovery         *discovery.Watcher
	Shapes            *shape.Catalog
	WallClock         *clock.Monitor // nil: the wall clock is not monitored
	clientSlots       *connlimit.Limiter
	snapshots         *snapshot.AsyncWriter // nil: shapes are not stored
	workerGroups      *workergroup.Fleet
	clickHouseEngines *chengine.Fleet // nil: no kind of engine uses ClickHouse's interface
	deadlines         *deadline.Queue
	now               func() float64
	config            config.Config
	shuttingDown      bool
}

// New assembles a coordinator. wake has to cause an event-loop turn soon, which runs the due deadlines and calls Turn. If New
// returns an error, the events that the configuration holds under "known" are invalid.
func New(cfg config.Config, dialer transport.Dialer, deadlines *deadline.Queue, now func() float64, wake func()) (*Node, error) {
	faults := &faultlog.FaultLog{Now: now}
	workerGroups := &workergroup.Fleet{Dialer: dialer, Deadlines: deadlines, Now: now, Faults: faults,
		ConnectTimeout: cfg.ConnectTimeout, ConnIdleTimeout: cfg.ConnIdleTimeout * connIdleShare,
		MaxConns: int(float64(cfg.Sockets) * engineDescriptorShare)}
	shapes := shape.NewCatalog(shape.Options{MaxBytes: cfg.ShapeBytes(), HashSeed: cfg.Seed})
	snapshots := loadShapes(shapes, cfg.Local.Shapes)
	backend, clickHouse := coordinator.Backend(workerGroups), (*chengine.Fleet)(nil)
	if slices.ContainsFunc(slices.Collect(maps.Values(cfg.Local.Kinds)), config.Kind.IsClickHouse) {
		workerGroups.MaxConns /= 2
		clickHouse = &chengine.Fleet{Dialer: dialer, Deadlines: deadlines, Now: now, Faults: faults,
			ConnIdleTimeout: min(cfg.ConnIdleTimeout*connIdleShare, clickHouseConnIdle),
			MaxConns:        workerGroups.MaxConns, MaxResultBytes: cfg.Local.ClickHouse.MaxResultBytes,
			Credentials: func(kind string) (string, string) {
				return cfg.Local.Kinds[kind].User, cfg.Local.Kinds[kind].Password
			},
			MaxBufferedBytes: int(cfg.MemoryMB * (1 << 20) * resultMemoryShare)}
		backend = &coordinator.Mux{Backends: []coordinator.Backend{workerGroups, clickHouse},
			BackendIndex: func(listed coordinator.ListedEngine) int {
				if cfg.Local.Kinds[listed.Kind].IsClickHouse() {
					return 1
				}
				return 0
			}}
	}
	engineConns := workerGroups.MaxConns
	coord := coordinator.New(cfg.Scheduler, now, deadlines, backend, wake,
		coordinator.StatementOptions{Shapes: shapes, Role: cfg.ClassRules().Role, FillEstimates: cfg.Local.Shapes.FillEstimates,
			Faults: faults, DiscardsRepeats: func(r *coordinator.Request) bool {
				return !cfg.ClassUsesClickHouse(r.Class) || chengine.DiscardsRepeats(r)
			}})
	workerGroups.Listener = coord
	if clickHouse != nil {
		clickHouse.Listener, engineConns = coord, 2*engineConns
	}
	maxClients := max(cfg.Sockets-engineConns-reservedDescriptors, 1)
	clientSlots := &connlimit.Limiter{MaxConnections: maxClients, Faults: faults}
	n := &Node{Coordinator: coord, Shapes: shapes, clientSlots: clientSlots, clickHouseEngines: clickHouse,
		workerGroups: workerGroups, deadlines: deadlines, now: now, config: cfg,
		Postgres: &pg.Server{Coordinator: coord, Deadlines: deadlines, Faults: faults, Now: now, AnswerMargin: answerMargin,
			ConnLimiter:   clientSlots,
			MaxInputBytes: min(max(int(cfg.MemoryMB*(1<<20)*inputMemoryShare)/maxClients, minInputBytes), maxInputBytes),
			MaxHeldBytes:  int(cfg.MemoryMB * (1 << 20) * inputMemoryShare),
			Random:        newRandom(cfg, postgresStream)},
		Discovery: &discovery.Watcher{Dialer: dialer, Deadlines: deadlines, Now: now, Listener: coord, Addr: cfg.DiscoveryAddr,
			ConnectTimeout: 2 * cfg.ConnectTimeout, WarmUpTime: cfg.Scheduler.WarmUpTime}}
	if cfg.Local.ClickHouse.Listen != "" {
		n.ClickHouse = &chhttp.Server{Coordinator: coord, Deadlines: deadlines, Faults: faults, Now: now, AnswerMargin: answerMargin,
			ConnLimiter: clientSlots, Random: newRandom(cfg, clickHouseStream), Config: cfg,
			MaxHeldBytes:   int(cfg.MemoryMB * (1 << 20) * bodyMemoryShare),
			MaxUnsentBytes: int(cfg.MemoryMB * (1 << 20) * unsentMemoryShare)}
		n.ClickHouse.Start()
	}
	if n.snapshots = snapshots; snapshots != nil {
		n.scheduleShapeSaves(cfg.Local.Shapes.SaveInterval)
	}
	return n, n.Discovery.LoadKnown(cfg.Known)
}

// loadShapes fills the shapes from their snapshot file and returns the writer of further snapshots. If the file can't be read or
// is invalid, the reason is logged and the shapes stay empty. Without a configured file, it returns nil.
func loadShapes(shapes *shape.Catalog, settings config.Shapes) *snapshot.AsyncWriter {
	if settings.File == "" {
		return nil
	}
	payload, err := snapshot.Read(settings.File, shape.DumpKind, shape.DumpVersion, maxSnapshotBytes)
	count := 0
	if err == nil {
		count, err = shapes.Load(payload)
	}
	if err != nil {
		slog.Warn("shapes-empty", "file", settings.File, "error", err)
	} else {
		slog.Info("shapes-loaded", "file", settings.File, "shapes", count)
	}
	return snapshot.NewAsyncWriter(settings.File, shape.DumpKind, shape.DumpVersion)
}

// scheduleShapeSaves saves the shapes at the given interval. Each turn writes only some of them, so that it stays short.
func (n *Node) scheduleShapeSaves(interval float64) {
	var dump *shape.Dump
	entry := &deadline.Entry{}
	entry.Do = func() {
		if dump == nil {
			dump = n.Shapes.Dump()
		}
		if !dump.Step(shapesPerTurn) {
			n.deadlines.Set(entry, n.now()+1)
			return
		}
		n.snapshots.Save(dump.Bytes())
		dump = nil
		n.deadlines.Set(entry, n.now()+interval)
	}
	n.deadlines.Set(entry, n.now()+interval)
}

// Turn samples the wall clock and has the scheduler process all events of this event-loop turn.
func (n *Node) Turn() {
	if n.WallClock != nil {
		n.WallClock.Sample()
	}
	n.Coordinator.Turn()
}

// Snapshot returns a copy of all counters, for use outside the event loop.
func (n *Node) Snapshot() metrics.Snapshot {
	s := metrics.Snapshot{Accounts: n.Coordinator.Accounts.Rows(), Shapes: n.Shapes.Stats(), Unproven: map[string]uint64{},
		Unanswered: n.Coordinator.Unanswered(), InFlight: n.inFlight(), ClientConnections: n.clientSlots.Count(),
		RetryReasons: n.Coordinator.RetryReasons.Rows(), UnservedReasons: n.Coordinator.UnservedReasons.Rows()}
	if n.WallClock != nil {
		s.Clock = n.WallClock.State()
	}
	if n.ClickHouse != nil {
		s.HeldBytes, s.MemoryRefusals = n.ClickHouse.HeldBytes(), n.ClickHouse.MemoryRefusals()
	}
	s.StormStates = map[string]retrystorm.State{"": n.Coordinator.StormState("")}
	for _, tenant := range n.config.Scheduler.Tenants {
		s.StormStates[tenant.Name] = n.Coordinator.StormState(tenant.Name)
	}
	for reason := shape.NoReason + 1; reason < shape.NumReasons; reason++ {
		if count := n.Coordinator.Unproven(reason); count > 0 {
			s.Unproven[reason.String()] = count
		}
	}
	return s
}

// Close saves the shapes. It is called after the last turn.
func (n *Node) Close() {
	if n.snapshots == nil {
		return
	}
	dump := n.Shapes.Dump()
	for !dump.Step(shapesPerTurn) {
	}
	n.snapshots.Save(dump.Bytes())
	n.snapshots.Close()
}

// Reload reads the configuration again. An invalid one changes nothing. Of a valid one, only the address of the discovery
// service takes effect; other changes need a restart.
func (n *Node) Reload(read func() (config.Config, error)) { n.reload(read, maxReloadTries) }

// reload reads the configuration and tries again after a temporary failure, such as a lack of descriptors. The request to reload
// is made only once, so without these retries a new address of the discovery service would be lost.
func (n *Node) reload(read func() (config.Config, error), triesLeft int) {
	cfg, err := read()
	if err != nil && triesLeft > 1 && config.Transient(err) {
		slog.Warn("reload-again", "error", err)
		n.deadlines.Set(&deadline.Entry{Do: func() { n.reload(read, triesLeft-1) }}, n.now()+reloadRetryDelay)
		return
	}
	if err != nil {
		slog.Error("reload-refused", "error", err)
		return
	}
	slog.Info("reloaded", "board", cfg.DiscoveryAddr, "for-restart", n.config.RestartKeys(cfg))
	n.Discovery.SetAddr(cfg.DiscoveryAddr)
}

// refuseNewRequests makes the servers of all protocols refuse new requests.
func (n *Node) refuseNewRequests() {
	n.Postgres.ShuttingDown = true
	if n.ClickHouse != nil {
		n.ClickHouse.ShuttingDown = true
	}
}

// inFlight returns the number of attempts that may be running on an engine.
func (n *Node) inFlight() int {
	if n.clickHouseEngines != nil {
		return n.workerGroups.InFlight() + n.clickHouseEngines.InFlight()
	}
	return n.workerGroups.InFlight()
}

// FreeDescriptor closes an idle connection to a worker group, if there is one.
func (n *Node) FreeDescriptor() { n.workerGroups.CloseIdleConn() }

// pendingBytes returns the number of bytes that are still to be sent to clients.
func (n *Node) pendingBytes() int {
	sum := n.Postgres.Pending()
	if n.ClickHouse != nil {
		sum += n.ClickHouse.Pending()
	}
	return sum
}

// Accept returns the handler of a new client connection. listener is the index in ListenAddrs of the address it arrived at.
func (n *Node) Accept(listener int) transport.Handler {
	if listener == 1 {
		return n.ClickHouse.Accept()
	}
	return n.Postgres.Accept()
}

// ListenAddrs returns the addresses at which clients are served.
func (n *Node) ListenAddrs() []string {
	if n.ClickHouse == nil {
		return []string{n.config.Listen}
	}
	return []string{n.config.Listen, n.config.Local.ClickHouse.Listen}
}

// ShutDown accepts requests for a grace period, then refuses new ones and calls stop once all accepted requests are answered
// and the answers are sent. Requests still open shortly before SIGKILL may come are ended, so that their clients can still
// retry elsewhere. Further calls do nothing.
func (n *Node) ShutDown(stop func()) {
	if n.shuttingDown {
		return
	}
	n.shuttingDown = true
	slog.Info("leaving", "owed", n.Coordinator.Unanswered())
	longestTimeout := 0.0
	for _, class := range n.config.Scheduler.Classes {
		longestTimeout = max(longestTimeout, class.ClientTimeout)
	}
	lastAnswerTime := n.now() + min(longestTimeout, maxKillTimeout) + killDelay - killMargin
	n.deadlines.Set(&deadline.Entry{Do: func() {
		n.refuseNewRequests()
		n.Coordinator.ShutDown()
	}}, lastAnswerTime)
	entry := &deadline.Entry{}
	entry.Do = func() {
		n.refuseNewRequests()
		if n.Coordinator.Unanswered() == 0 && n.pendingBytes() == 0 &&
			(n.inFlight() == 0 || n.now() > lastAnswerTime+cancelGrace) {
			stop()
			return
		}
		n.deadlines.Set(entry, n.now()+shutdownCheckInterval)
	}
	n.deadlines.Set(entry, n.now()+shutdownGrace)
}
