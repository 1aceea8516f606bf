package choice

// This file holds the state of the Scheduler and its bookkeeping. The rules that decide are in hold.go, room.go,
// health.go and attempts.go, the predictions in predict.go, and the constants in tuning.go.

import (
	"math"
	"math/rand"
	"slices"
	"sort"
)

// priorityCount is the number of priorities that an engine knows.
const priorityCount = 4

// Scheduler decides for one coordinator; see New and Step.
type Scheduler struct {
	settings     Settings
	coordinators float64 // their number, at least 1
	rng          *rand.Rand
	now          float64
	actions      []Action  // the answer of the current Step
	engines      []*engine // in the order in which they were first listed
	engineByID   map[string]*engine
	engineByHash map[uint32]*engine // by the lower half of idHash, as in peer messages
	requests     map[string]*request
	classes      map[string]*class
	classList    []*class
	tenants      map[string]*tenant
	orderKeys    map[string]*orderKey
	waiting      []*request // by falling valueDensity
	// Counts of requests, of attempts after the first, and of attempts that were cancelled to run elsewhere.
	arrivals, retries                        slidingSum
	moves                                    slidingSum
	totalRequests, totalProbes               float64
	peerMessagesSent                         float64 // in messages of full length
	meanWarmFactor, meanColdFactor           float64 // over the listed engines
	threadsOut                               float64 // of all attempts on engines
	threadBudget                             float64 // this coordinator's part of the threads for which the fleet has room
	trafficShare                             float64 // share of all coordinators' traffic that arrives here
	requestedWork                            decayingSum
	budgetGrowth                             float64 // factor that adapts threadBudget to the fleet's load
	manyPeers                                bool
	threadsByPriority, meanThreadsByPriority [priorityCount]float64 // current threadsOut, and its mean over time
	meanThreadsAt                            float64
	tableGroups                              map[string]*tableGroup
	tableGroupRequests                       decayingSum // over all table groups
	listVersion                              int         // counts the updates of the engine list
	usable, ring                             []*engine   // listed engines, as in engines, and by idHash
	preferred, candidateBuf                  []*engine   // candidates at the last list update, and a buffer for candidates
	meanOwnLoad, tieBreakShare               float64     // own threads per core of the fleet; 0 for one coordinator, near 1 for many
	meanReportedLoad, meanReportedAt         float64
	nextSweepAt, nextWakeAt                  float64
	// Sums over answers: logarithms of how many times longer than on an idle engine they took, and their number.
	slowdownLogs, slowdownAnswers decayingSum
	servedValue                   decayingSum // value of the good answers
	subscribed                    bool
	timeScale                     float64 // factor of the three times below, under 1 where clients wait for short times only
	checkInterval                 float64
	finalAnswerMargin             float64 // a request that is not sent this long before its deadline is answered
	minUnresponsiveSilence        float64 // shorter silence does not make an engine unresponsive
	subscribeAt, subscribePause   float64 // time of the next try, and the last pause between two tries
}

// engine is what the scheduler knows of one engine.
type engine struct {
	Engine
	cores                       float64
	listed                      bool    // as Healthy
	lastListedAt                float64 // when a list named it last
	warmFactor, coldFactor      learnedFactor
	tableGroupSentAt            map[string]float64 // when a query of a table group was last sent there
	tableGroupLockedUntil       map[string]float64 // until when a load is assumed to hold a table group there
	openAttempts                []*attempt         // in the order of their sends
	threadsOut                  float64            // of openAttempts
	lastHeardAt                 float64            // time of its last answer or progress notice
	reportedLoad, reportedAt    float64
	grantedMemShare             float64 // of its memory, by its last report; under MemoryPaging, the share in use
	failures, errorsInRow       int     // since its last good answer
	pausedUntil, assumedStartAt float64 // no requests before; when it is assumed to be up again after a failed connection
	lastOKAt                    float64
	healthByClass               map[*class]classHealth // of classes that it fails
	// Sums over its answers that weigh the latest most: their times, and their classes' times under light load.
	answerTimes, lightAnswerTimes float64
	probedAt                      float64
	workSent                      slidingSum
	idHash                        uint64
	ringIndex                     int          // its index in Scheduler.ring
	recentSends                   []recentSend // in the order in which they became known
}

// classHealth counts the failures of an engine for one class since its last good answer to that class.
type classHealth struct {
	errorsInRow, failures int
	pausedUntil           float64
}

// learnedFactor is the mean ratio of an engine's answer times to those that work and load alone predict, and the number
// of answers.
type learnedFactor struct{ ratio, answers, updatedAt float64 }

// decayingSum is a sum whose parts decay exponentially with their age.
type decayingSum struct{ sum, updatedAt float64 }

// add adds v at the time now; span is the time in which a part decays to 1/e.
func (s *decayingSum) add(now, value, decayTime float64) {
	s.sum, s.updatedAt = s.valueAt(now, decayTime)+value, now
}

// valueAt returns the sum at the time now.
func (s decayingSum) valueAt(now, decayTime float64) float64 {
	return s.sum * math.Exp((s.updatedAt-now)/decayTime)
}

// class is a Class with what the scheduler has learned of it.
type class struct {
	Class
	meanWork, answers, estimateRatio float64 // mean CPU ms, number of answers, mean ratio of work to the client's estimate
	restartShare, restartShareAt     float64 // share of a slow attempt's time that a fresh one takes
	tailRatio                        float64 // high percentile of the ratio of answer time to expected time
	grantRatio                       float64 // memory grant per estimated memory
	lightAnswerTime, lightAnswers    float64 // mean time, and number, of answers from engines under light load
}

// tenant is a Tenant with the number of its recent requests.
type tenant struct {
	Tenant
	recentRequests decayingSum
}

// orderKey is the queue of the requests with one order key. Only the first may run, and not before settlesAt.
type orderKey struct {
	queue     []*request
	settlesAt float64
}

// request is a Request that has no final answer yet, or still has attempts out.
type request struct {
	Request
	class                *class
	idempotency          Idempotency // its class's, or AtMostOnce
	orderKey             *orderKey   // nil: none
	arrivedAt, targetAt  float64     // arrival, and when its latency target passes
	value, valueDensity  float64     // value of a timely answer, and value per predicted work
	overQuota            bool        // its tenant is far over its quota
	heldSince            float64     // since when it is held for a warm engine, or -1
	waiting, ended       bool
	rejected             bool // an engine found it invalid
	mayStillRun          bool // an attempt ended without proof that it runs no more
	missesTarget         bool // it waits, and can no longer meet its latency target
	sendCount, moveCount int
	probedAt             float64
	failedOn             []*engine
	slowDuration         float64 // projected time of a slow attempt that was restarted; 0: none
	openAttempts         []*attempt
	mayHaveRunOn         *engine // engine of the first attempt that may have run; nil: none
	mayHaveRunSince      float64 // when that attempt was sent
}

// attempt is one send of a request.
type attempt struct {
	request                         *request
	engine                          *engine
	number, priority                int
	sentAt, expectedTime            float64
	unloadedTime, loadSlowdown      float64 // predicted time on an idle engine, and the factor by which load lengthens it
	warm, cancelled, underLightLoad bool
	hasNotice, spilled              bool    // a progress notice has come; a notice said that it spills to disk
	lastProgressAt, projectedTime   float64 // when its progress was last reported, and the total time that this projects
}

// slidingSum adds up values over a sliding window of time.
type slidingSum struct{ times, values []float64 }

// add adds v at the time now, which never goes back.
func (w *slidingSum) add(now, value float64) {
	w.times, w.values = append(w.times, now), append(w.values, value)
}

// sumSince returns the sum of the values added after from.
func (w *slidingSum) sumSince(from float64) (sum float64) {
	i := sort.Search(len(w.times), func(i int) bool { return w.times[i] > from })
	for _, v := range w.values[i:] {
		sum += v
	}
	return sum
}

// dropExpiredState drops what no time window reaches back to.
func (f *Scheduler) dropExpiredState() {
	window := math.Max(math.Max(f.settings.RetryRationWindow, moveWindowMs), 2*f.settings.OverloadWindow) + 2*f.checkInterval
	for _, w := range []*slidingSum{&f.arrivals, &f.retries, &f.moves} {
		w.dropBefore(f.now - window)
	}
	kept := f.engines[:0]
	for _, e := range f.engines {
		e.workSent.dropBefore(f.now - window)
		for name, at := range e.tableGroupSentAt {
			if at < f.now-warmPeriodMs {
				delete(e.tableGroupSentAt, name)
			}
		}
		for name, until := range e.tableGroupLockedUntil {
			if until < f.now {
				delete(e.tableGroupLockedUntil, name)
			}
		}
		for len(e.recentSends) > 0 && e.recentSends[0].sentAt < f.now-warmPeriodMs/6 {
			e.recentSends = e.recentSends[1:]
		}
		if e.listed || len(e.openAttempts) > 0 || e.lastListedAt > f.now-warmPeriodMs {
			kept = append(kept, e)
		} else {
			delete(f.engineByID, e.ID)
			delete(f.engineByHash, uint32(e.idHash))
		}
	}
	clear(f.engines[len(kept):])
	f.engines = kept
	for name, k := range f.orderKeys { // those that endRequest kept until they settle
		if len(k.queue) == 0 && k.settlesAt <= f.now {
			delete(f.orderKeys, name)
		}
	}
	for name, g := range f.tableGroups {
		if g.updatedAt < f.now-2*warmPeriodMs {
			delete(f.tableGroups, name)
		}
	}
}

// dropBefore drops the values added up to from. It copies only where many can go, so that its cost stays small.
func (w *slidingSum) dropBefore(from float64) {
	if i := sort.Search(len(w.times), func(i int) bool { return w.times[i] > from }); i > 256 {
		w.times, w.values = append([]float64(nil), w.times[i:]...), append([]float64(nil), w.values[i:]...)
	}
}

// New returns a Scheduler that knows nothing but its settings.
func New(s Settings, now float64) *Scheduler {
	f := &Scheduler{settings: s, engineByHash: map[uint32]*engine{}, coordinators: math.Max(float64(s.CoordinatorCount), 1),
		rng:        rand.New(rand.NewSource(s.Seed)),
		engineByID: map[string]*engine{}, requests: map[string]*request{}, classes: map[string]*class{},
		tenants: map[string]*tenant{}, orderKeys: map[string]*orderKey{}, meanWarmFactor: 1, meanColdFactor: 1, budgetGrowth: 1,
		meanThreadsAt: now, tableGroups: map[string]*tableGroup{}, meanReportedAt: math.Inf(-1),
		nextSweepAt: now, nextWakeAt: math.Inf(1)}
	f.manyPeers = f.coordinators > manyCoordinators
	f.setTimeScale()
	for _, c := range s.Classes {
		f.addClass(c)
	}
	for _, t := range s.Tenants {
		f.tenants[t.Name] = &tenant{Tenant: t, recentRequests: decayingSum{updatedAt: now}}
	}
	return f
}

// referenceClientTimeoutMs is the time that clients wait in the deployments for which the constants in tuning.go were
// set. The floors bound the times that are scaled to shorter waits: below them, delays of the network and of the event
// loop outweigh what is timed.
const (
	referenceClientTimeoutMs   = 2000.0
	checkIntervalFloorMs       = 10.0
	finalAnswerMarginFloorMs   = 14.0
	unresponsiveSilenceFloorMs = 100.0
)

// setTimeScale scales the times that depend on how long queries live. Danger: where queries and deadlines are shorter,
// a check every 100 ms comes too late, and a query with 120 ms left would be refused though it can still be served.
func (f *Scheduler) setTimeScale() {
	f.timeScale = 1
	for _, c := range f.settings.Classes {
		if c.ClientTimeout > 0 {
			f.timeScale = math.Min(f.timeScale, c.ClientTimeout/referenceClientTimeoutMs)
		}
	}
	f.checkInterval = math.Max(checkIntervalMs*f.timeScale, checkIntervalFloorMs)
	f.finalAnswerMargin = math.Max(finalAnswerMarginMs*f.timeScale, finalAnswerMarginFloorMs)
	f.minUnresponsiveSilence = math.Max(minUnresponsiveSilenceMs*f.timeScale, unresponsiveSilenceFloorMs)
}

// emit adds an action to the answer of the current Step.
func (f *Scheduler) emit(a Action) { f.actions = append(f.actions, a) }

// requestWake asks for a Timer event at a point in time, unless an earlier one is pending.
func (f *Scheduler) requestWake(at float64) {
	if at < f.nextWakeAt {
		f.nextWakeAt = at
		f.emit(Wake{"check", at})
	}
}

// addClass adds a class about which nothing is learned yet.
func (f *Scheduler) addClass(c Class) *class {
	c.Threads = math.Max(c.Threads, 1)
	added := &class{Class: c, estimateRatio: 1, grantRatio: initialGrantRatio, restartShare: initialRestartShare, tailRatio: initialTailRatio,
		meanWork: math.Max(c.LatencyTarget*initialLatencyShare*c.Threads, 1)}
	f.classes[c.Name] = added
	f.classList = append(f.classList, added)
	return added
}

// engineFor finds the engine of a list entry, or adds it.
func (f *Scheduler) engineFor(entry Engine) *engine {
	e := f.engineByID[entry.ID]
	if e == nil {
		e = &engine{Engine: entry, cores: defaultCores, tableGroupSentAt: map[string]float64{},
			tableGroupLockedUntil: map[string]float64{}, reportedAt: math.Inf(-1),
			probedAt: math.Inf(-1), idHash: fnv1a(entry.ID)}
		for _, kind := range f.settings.Kinds {
			if kind.Name == entry.Kind && kind.Cores > 0 {
				e.cores = kind.Cores
			}
		}
		f.engineByID[entry.ID], f.engineByHash[uint32(e.idHash)] = e, e
		f.engines = append(f.engines, e)
	}
	return e
}

// removeAttempt removes an attempt from its engine and its request and returns it, or nil if it is not open.
func (f *Scheduler) removeAttempt(q *request, number int) *attempt {
	for i, a := range q.openAttempts {
		if a.number == number {
			q.openAttempts = append(q.openAttempts[:i:i], q.openAttempts[i+1:]...)
			f.freeEngineThreads(a)
			return a
		}
	}
	return nil
}

// freeEngineThreads removes an attempt from its engine and its threads from all counts. It does so once.
func (f *Scheduler) freeEngineThreads(a *attempt) {
	e := a.engine
	index := slices.Index(e.openAttempts, a)
	if index < 0 {
		return
	}
	e.openAttempts = append(e.openAttempts[:index:index], e.openAttempts[index+1:]...)
	e.threadsOut -= a.request.class.Threads
	f.threadsOut -= a.request.class.Threads
	f.threadsByPriority[a.priority] -= a.request.class.Threads
}

// handleOverdue handles a request whose deadline has passed while its attempts may still run. Danger: if their engine is
// silent, it may take long until their end is known. They keep their place in the queue of their order key until then,
// but must not take up room for other requests.
func (f *Scheduler) handleOverdue(q *request) {
	f.cancelAndRefuse(q, ReasonDeadline)
	if q != nil {
		for _, a := range q.openAttempts {
			f.freeEngineThreads(a)
		}
	}
}

// endRequest marks a request as ended, and removes it unless attempts of it are still open.
func (f *Scheduler) endRequest(q *request) {
	q.ended = true
	if len(q.openAttempts) > 0 {
		return
	}
	delete(f.requests, q.ID)
	if k := q.orderKey; k != nil {
		for i, r := range k.queue {
			if r == q {
				k.queue = append(k.queue[:i:i], k.queue[i+1:]...)
				break
			}
		}
		if len(k.queue) == 0 && k.settlesAt <= f.now {
			delete(f.orderKeys, q.OrderKey)
		}
	}
}

// updateMeans recomputes the means over the listed engines.
func (f *Scheduler) updateMeans() {
	var warmSum, warmCount, coldSum, coldCount, cores float64
	for _, e := range f.engines {
		if e.listed {
			cores += e.cores
		}
		if e.listed && e.warmFactor.answers > 0 {
			warmSum, warmCount = warmSum+e.warmFactor.ratio, warmCount+1
		}
		if e.listed && e.coldFactor.answers > 0 {
			coldSum, coldCount = coldSum+e.coldFactor.ratio, coldCount+1
		}
	}
	f.meanOwnLoad = f.threadsOut / math.Max(cores, 1)
	if f.manyPeers { // the momentary load of one coordinator says nothing about its peers
		f.meanOwnLoad = 0
		for _, v := range f.meanThreadsByPriority {
			f.meanOwnLoad += v / math.Max(cores, 1)
		}
	}
	f.tieBreakShare = 1 - 1/f.coordinators
	if warmCount > 0 {
		f.meanWarmFactor = warmSum / warmCount
	}
	if coldCount > 0 {
		f.meanColdFactor = coldSum / coldCount
	}
}

// meanThreads is the mean number of threads of the queries that run at the same time.
func (f *Scheduler) meanThreads() float64 {
	work, duration := 0.0, 0.0
	for _, c := range f.classList {
		work, duration = work+c.meanWork*(c.answers+1), duration+c.meanWork/c.Threads*(c.answers+1)
	}
	return work / math.Max(duration, 1e-9)
}

// maxMeanWork is the mean work of the heaviest class.
func (f *Scheduler) maxMeanWork() (work float64) {
	for _, c := range f.classList {
		work = math.Max(work, c.meanWork)
	}
	return work
}

// meanValueDensity is the mean value per work over the queries seen.
func (f *Scheduler) meanValueDensity() float64 {
	value, work := 0.0, 0.0
	for _, c := range f.classList {
		value, work = value+c.Value*(c.answers+1), work+c.meanWork*(c.answers+1)
	}
	return value / math.Max(work, 1e-9)
}

// contains reports whether list contains s.
func contains(list []string, s string) bool {
	for _, item := range list {
		if item == s {
			return true
		}
	}
	return false
}

// clampRatio bounds a ratio to at most the given one and at least its inverse.
func clampRatio(ratio, limit float64) float64 { return math.Max(1/limit, math.Min(ratio, limit)) }

// fnv1a is the FNV-1a hash of a string.
func fnv1a(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(s); i++ {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

// unitHash mixes two hashes into a number in [0, 1).
func unitHash(a, b uint64) float64 {
	x := a ^ (b+0x9e3779b97f4a7c15)*0xbf58476d1ce4e5b9
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}

// tableGroup holds the decaying counts of a table group's requests, and the engines in their order of preference for it
// as of listVersion.
type tableGroup struct {
	requests, updatedAt float64
	loads               float64 // those of the requests that are loads
	listVersion         int
	engines             []*engine
}

// tableGroupFor finds a table group by its name, or adds it.
func (f *Scheduler) tableGroupFor(tables string) *tableGroup {
	g := f.tableGroups[tables]
	if g == nil {
		g = &tableGroup{updatedAt: f.now}
		f.tableGroups[tables] = g
	}
	return g
}

// countRequest counts a request for its table group.
func (f *Scheduler) countRequest(tables string, isLoad bool) {
	g := f.tableGroupFor(tables)
	decay := math.Exp((g.updatedAt - f.now) / warmPeriodMs)
	g.requests, g.loads = g.requests*decay+1, g.loads*decay
	if isLoad {
		g.loads++
	}
	g.updatedAt = f.now
	f.tableGroupRequests.add(f.now, 1, warmPeriodMs)
}

// rankByHash sorts engines for a table group by rendezvous hash.
func rankByHash(tables string, engines []*engine) []*engine {
	tablesHash := fnv1a(tables)
	ranked := append([]*engine(nil), engines...)
	hashes := make(map[*engine]float64, len(ranked))
	for _, e := range ranked {
		hashes[e] = unitHash(e.idHash, tablesHash)
	}
	sort.Slice(ranked, func(i, j int) bool { return hashes[ranked[i]] < hashes[ranked[j]] })
	return ranked
}

// rebuildRing collects the listed engines and sorts them into the hash ring.
func (f *Scheduler) rebuildRing() {
	f.usable = f.usable[:0:0]
	for _, e := range f.engines {
		if e.listed {
			f.usable = append(f.usable, e)
		}
	}
	f.ring = append(f.ring[:0:0], f.usable...)
	sort.Slice(f.ring, func(i, j int) bool { return f.ring[i].idHash < f.ring[j].idHash })
	for i, e := range f.ring {
		e.ringIndex = i
	}
}

// healthFor returns the health of an engine for a class. Afterwards healthByClass can be written.
func (e *engine) healthFor(c *class) classHealth {
	if e.healthByClass == nil {
		e.healthByClass = map[*class]classHealth{}
	}
	return e.healthByClass[c]
}
