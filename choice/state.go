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

// Scheduler decides which engine runs which query of one coordinator, and when. New creates one, and Step passes it events.
type Scheduler struct {
	settings     Settings
	coordinators float64 // number of coordinators, at least 1
	rng          *rand.Rand
	now          float64
	actions      []Action  // actions of the current Step
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
	threadsInFlight                          float64 // of all attempts on engines
	threadBudget                             float64 // this coordinator's part of the fleet's room, in threads
	trafficShare                             float64 // share of all coordinators' traffic that arrives here
	requestedWork                            decayingSum
	budgetGrowth                             float64                // factor that adapts threadBudget to the fleet's load
	manyPeers                                bool                   // there are more than manyCoordinators coordinators
	threadsByPriority, meanThreadsByPriority [priorityCount]float64 // threadsInFlight by priority, and its mean over time
	meanThreadsAt                            float64
	tableGroups                              tableGroups
	tableGroupRequests                       decayingSum // over all table groups
	listVersion                              int         // counts the updates of the engine list
	listedEngines, ring                      []*engine   // listed engines, as in engines, and by idHash
	preferred, candidateBuf                  []*engine   // candidates at the last list update, and a buffer for candidates
	meanOwnLoad, tieBreakShare               float64     // threadsInFlight per fleet core; 0 for one coordinator, near 1 for many
	meanReportedLoad, meanReportedAt         float64
	nextSweepAt, nextWakeAt                  float64
	// Sums over answers: logarithms of how many times longer than on an idle engine they took, and their number.
	slowdownLogs, slowdownAnswers decayingSum
	servedValue                   decayingSum // value of the successful answers
	subscribed                    bool
	timeScale                     float64 // factor of the next three times, under 1 if clients wait for short times only
	checkInterval                 float64
	finalAnswerMargin             float64 // a request that is not sent this long before its deadline is answered
	minUnresponsiveSilence        float64 // shorter silence does not make an engine unresponsive
	subscribeAt, subscribePause   float64 // time of the next Subscribe, and the last pause between two of them
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
	threadsInFlight             float64            // of openAttempts
	lastResponseAt              float64            // time of its last answer or progress notice
	reportedLoad, reportedAt    float64
	grantedMemShare             float64 // of its memory, by its last report; under MemoryPaging, the share in use
	failures, errorsInRow       int     // since its last successful answer
	pausedUntil, assumedStartAt float64 // end of its pause, and assumed time of its restart after a failed connection
	lastOKAt                    float64
	healthByClass               map[*class]classHealth // only of classes for which it has failed
	// Sums over its answers that weigh the latest most: their times, and their classes' times under light load.
	answerTimes, lightAnswerTimes float64
	probedAt                      float64
	workSent                      slidingSum
	idHash                        uint64
	ringIndex                     int          // its index in Scheduler.ring
	recentSends                   []recentSend // in the order in which they became known
}

// classHealth counts the failures of an engine for one class since its last successful answer to that class.
type classHealth struct {
	errorsInRow, failures int
	pausedUntil           float64
}

// learnedFactor is the mean ratio of an engine's answer times to those predicted from work and load alone, and the number
// of answers.
type learnedFactor struct{ ratio, answers, updatedAt float64 }

// decayingSum is a sum whose parts decay exponentially with their age.
type decayingSum struct{ sum, updatedAt float64 }

// add adds a value at the time now; decayTime is the time in which a part decays to 1/e.
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
	restartShare, restartShareAt     float64 // share of a slow attempt's time that the restarted one takes, and its last update
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

// request is a Request that has no final answer yet, or still has open attempts.
type request struct {
	Request
	class                *class
	idempotency          Idempotency // its class's, or AtMostOnce
	orderKey             *orderKey   // nil: none
	arrivedAt, targetAt  float64     // when it arrived, and by when its latency target wants the answer
	value, valueDensity  float64     // value of a timely answer, and value per predicted work
	overQuota            bool        // its tenant is far over its quota
	heldSince            float64     // since when it is held for a warm engine; -1: not held
	waiting, ended       bool
	rejected             bool // an engine found it invalid
	mayStillRun          bool // an attempt ended without proof that it no longer runs
	missesTarget         bool // it can no longer meet its latency target
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
	hasNotice, spilled              bool    // it has sent a progress notice; it has reported a spill to disk
	lastProgressAt, projectedTime   float64 // when it last reported progress, and the total time projected from it
}

// slidingSum adds up values over a sliding window of time.
type slidingSum struct{ times, values []float64 }

// add adds a value at the time now, which must not be earlier than that of the last value.
func (s *slidingSum) add(now, value float64) {
	s.times, s.values = append(s.times, now), append(s.values, value)
}

// sumSince returns the sum of the values added after from.
func (s *slidingSum) sumSince(from float64) (sum float64) {
	i := sort.Search(len(s.times), func(i int) bool { return s.times[i] > from })
	for _, v := range s.values[i:] {
		sum += v
	}
	return sum
}

// dropExpiredState drops the state that no time window covers any more.
func (s *Scheduler) dropExpiredState() {
	window := math.Max(math.Max(s.settings.RetryRationWindow, moveWindowMs), 2*s.settings.OverloadWindow) + 2*s.checkInterval
	for _, sum := range []*slidingSum{&s.arrivals, &s.retries, &s.moves} {
		sum.dropBefore(s.now - window)
	}
	kept := s.engines[:0]
	for _, e := range s.engines {
		e.workSent.dropBefore(s.now - window)
		for name, at := range e.tableGroupSentAt {
			if at < s.now-warmPeriodMs {
				delete(e.tableGroupSentAt, name)
			}
		}
		for name, until := range e.tableGroupLockedUntil {
			if until < s.now {
				delete(e.tableGroupLockedUntil, name)
			}
		}
		for len(e.recentSends) > 0 && e.recentSends[0].sentAt < s.now-warmPeriodMs/6 {
			e.recentSends = e.recentSends[1:]
		}
		if e.listed || len(e.openAttempts) > 0 || e.lastListedAt > s.now-warmPeriodMs {
			kept = append(kept, e)
		} else {
			delete(s.engineByID, e.ID)
			delete(s.engineByHash, uint32(e.idHash))
		}
	}
	clear(s.engines[len(kept):])
	s.engines = kept
	for name, k := range s.orderKeys { // endRequest keeps an order key until it settles
		if len(k.queue) == 0 && k.settlesAt <= s.now {
			delete(s.orderKeys, name)
		}
	}
	s.tableGroups.dropBefore(s.now - 2*warmPeriodMs)
}

// dropBefore drops the values added up to a time. It copies the rest only if many values can be dropped, so that its cost
// stays small.
func (s *slidingSum) dropBefore(from float64) {
	if i := sort.Search(len(s.times), func(i int) bool { return s.times[i] > from }); i > 256 {
		s.times, s.values = append([]float64(nil), s.times[i:]...), append([]float64(nil), s.values[i:]...)
	}
}

// New returns a Scheduler with the given settings that knows no engines and has learned nothing.
func New(settings Settings, now float64) *Scheduler {
	s := &Scheduler{settings: settings, engineByHash: map[uint32]*engine{},
		coordinators: math.Max(float64(settings.CoordinatorCount), 1),
		rng:          rand.New(rand.NewSource(settings.Seed)),
		engineByID:   map[string]*engine{}, requests: map[string]*request{}, classes: map[string]*class{},
		tenants: map[string]*tenant{}, orderKeys: map[string]*orderKey{}, meanWarmFactor: 1, meanColdFactor: 1, budgetGrowth: 1,
		meanThreadsAt: now, meanReportedAt: math.Inf(-1),
		nextSweepAt: now, nextWakeAt: math.Inf(1)}
	s.manyPeers = s.coordinators > manyCoordinators
	s.setTimeScale()
	for _, c := range settings.Classes {
		s.addClass(c)
	}
	for _, t := range settings.Tenants {
		s.tenants[t.Name] = &tenant{Tenant: t, recentRequests: decayingSum{updatedAt: now}}
	}
	return s
}

// referenceClientTimeoutMs is the client timeout for which the constants in tuning.go are chosen. The floors are lower
// bounds of the times that setTimeScale shortens: below them, delays of the network and of the event loop outweigh what is
// timed.
const (
	referenceClientTimeoutMs   = 2000.0
	checkIntervalFloorMs       = 10.0
	finalAnswerMarginFloorMs   = 14.0
	unresponsiveSilenceFloorMs = 100.0
)

// setTimeScale scales the times that depend on how long clients wait. Without it, where queries and deadlines are shorter,
// a check every 100 ms would be too late, and a query with 120 ms left would be refused although it can still be served.
func (s *Scheduler) setTimeScale() {
	s.timeScale = 1
	for _, c := range s.settings.Classes {
		if c.ClientTimeout > 0 {
			s.timeScale = math.Min(s.timeScale, c.ClientTimeout/referenceClientTimeoutMs)
		}
	}
	s.checkInterval = math.Max(checkIntervalMs*s.timeScale, checkIntervalFloorMs)
	s.finalAnswerMargin = math.Max(finalAnswerMarginMs*s.timeScale, finalAnswerMarginFloorMs)
	s.minUnresponsiveSilence = math.Max(minUnresponsiveSilenceMs*s.timeScale, unresponsiveSilenceFloorMs)
}

// emit adds an action to those of the current Step.
func (s *Scheduler) emit(a Action) { s.actions = append(s.actions, a) }

// requestWake asks for a Timer event at a point in time, unless one is already pending for that time or an earlier one.
func (s *Scheduler) requestWake(at float64) {
	if at < s.nextWakeAt {
		s.nextWakeAt = at
		s.emit(Wake{"check", at})
	}
}

// addClass adds a class with initial values for what is learned about it.
func (s *Scheduler) addClass(c Class) *class {
	c.Threads = math.Max(c.Threads, 1)
	added := &class{Class: c, estimateRatio: 1, grantRatio: initialGrantRatio, restartShare: initialRestartShare,
		tailRatio: initialTailRatio,
		meanWork:  math.Max(c.LatencyTarget*initialLatencyShare*c.Threads, 1)}
	s.classes[c.Name] = added
	s.classList = append(s.classList, added)
	return added
}

// engineFor returns the engine of a list entry, and adds it if it is new.
func (s *Scheduler) engineFor(entry Engine) *engine {
	e := s.engineByID[entry.ID]
	if e == nil {
		e = &engine{Engine: entry, cores: defaultCores, tableGroupSentAt: map[string]float64{},
			tableGroupLockedUntil: map[string]float64{}, reportedAt: math.Inf(-1),
			probedAt: math.Inf(-1), idHash: fnv1a(entry.ID)}
		for _, kind := range s.settings.Kinds {
			if kind.Name == entry.Kind && kind.Cores > 0 {
				e.cores = kind.Cores
			}
		}
		s.engineByID[entry.ID], s.engineByHash[uint32(e.idHash)] = e, e
		s.engines = append(s.engines, e)
	}
	return e
}

// removeAttempt removes an attempt from its engine and its request and returns it, or nil if it is not open.
func (s *Scheduler) removeAttempt(q *request, number int) *attempt {
	for i, a := range q.openAttempts {
		if a.number == number {
			q.openAttempts = append(q.openAttempts[:i:i], q.openAttempts[i+1:]...)
			s.freeEngineThreads(a)
			return a
		}
	}
	return nil
}

// freeEngineThreads removes an attempt from its engine and its threads from all counts. A second call for the attempt does
// nothing.
func (s *Scheduler) freeEngineThreads(a *attempt) {
	e := a.engine
	index := slices.Index(e.openAttempts, a)
	if index < 0 {
		return
	}
	e.openAttempts = append(e.openAttempts[:index:index], e.openAttempts[index+1:]...)
	e.threadsInFlight -= a.request.class.Threads
	s.threadsInFlight -= a.request.class.Threads
	s.threadsByPriority[a.priority] -= a.request.class.Threads
}

// handleOverdue handles a request whose deadline has passed while its attempts may still run. If their engine is silent, it
// may take long until their end is known. Until then the request stays in the queue of its order key, but its attempts must
// not use up room that other requests need.
func (s *Scheduler) handleOverdue(q *request) {
	s.cancelAndRefuse(q, ReasonDeadline)
	if q != nil {
		for _, a := range q.openAttempts {
			s.freeEngineThreads(a)
		}
	}
}

// endRequest marks a request as ended, and removes it unless attempts of it are still open.
func (s *Scheduler) endRequest(q *request) {
	q.ended = true
	if len(q.openAttempts) > 0 {
		return
	}
	delete(s.requests, q.ID)
	if k := q.orderKey; k != nil {
		for i, r := range k.queue {
			if r == q {
				k.queue = append(k.queue[:i:i], k.queue[i+1:]...)
				break
			}
		}
		if len(k.queue) == 0 && k.settlesAt <= s.now {
			delete(s.orderKeys, q.OrderKey)
		}
	}
}

// updateMeans recomputes the means over the listed engines.
func (s *Scheduler) updateMeans() {
	var warmSum, warmCount, coldSum, coldCount, cores float64
	for _, e := range s.engines {
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
	s.meanOwnLoad = s.threadsInFlight / math.Max(cores, 1)
	if s.manyPeers { // the momentary load of one of many coordinators says nothing about that of its peers
		s.meanOwnLoad = 0
		for _, v := range s.meanThreadsByPriority {
			s.meanOwnLoad += v / math.Max(cores, 1)
		}
	}
	s.tieBreakShare = 1 - 1/s.coordinators
	if warmCount > 0 {
		s.meanWarmFactor = warmSum / warmCount
	}
	if coldCount > 0 {
		s.meanColdFactor = coldSum / coldCount
	}
}

// meanThreads returns the mean number of threads per running query.
func (s *Scheduler) meanThreads() float64 {
	work, duration := 0.0, 0.0
	for _, c := range s.classList {
		work, duration = work+c.meanWork*(c.answers+1), duration+c.meanWork/c.Threads*(c.answers+1)
	}
	return work / math.Max(duration, 1e-9)
}

// maxMeanWork returns the mean work of the heaviest class, in CPU ms.
func (s *Scheduler) maxMeanWork() (work float64) {
	for _, c := range s.classList {
		work = math.Max(work, c.meanWork)
	}
	return work
}

// meanValueDensity returns the mean value per work over the queries answered so far.
func (s *Scheduler) meanValueDensity() float64 {
	value, work := 0.0, 0.0
	for _, c := range s.classList {
		value, work = value+c.Value*(c.answers+1), work+c.meanWork*(c.answers+1)
	}
	return value / math.Max(work, 1e-9)
}

// contains reports whether a list contains a string.
func contains(list []string, wanted string) bool {
	for _, item := range list {
		if item == wanted {
			return true
		}
	}
	return false
}

// clampRatio bounds a ratio to at most the given one and at least its inverse.
func clampRatio(ratio, limit float64) float64 { return math.Max(1/limit, math.Min(ratio, limit)) }

// fnv1a returns the 64-bit FNV-1a hash of a string.
func fnv1a(s string) uint64 {
	hash := uint64(14695981039346656037)
	for i := 0; i < len(s); i++ {
		hash = (hash ^ uint64(s[i])) * 1099511628211
	}
	return hash
}

// unitHash mixes two hashes into a number in [0, 1).
func unitHash(a, b uint64) float64 {
	mixed := a ^ (b+0x9e3779b97f4a7c15)*0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return float64((mixed^mixed>>31)>>11) / (1 << 53)
}

// countRequest counts a request for its table group.
func (s *Scheduler) countRequest(tables string, isLoad bool) {
	s.tableGroups.count(tables, isLoad, s.now, warmPeriodMs)
	s.tableGroupRequests.add(s.now, 1, warmPeriodMs)
}

// rankByHash returns the engines in the order of their rendezvous hashes with a table group.
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
func (s *Scheduler) rebuildRing() {
	s.listedEngines = s.listedEngines[:0:0]
	for _, e := range s.engines {
		if e.listed {
			s.listedEngines = append(s.listedEngines, e)
		}
	}
	s.ring = append(s.ring[:0:0], s.listedEngines...)
	sort.Slice(s.ring, func(i, j int) bool { return s.ring[i].idHash < s.ring[j].idHash })
	for i, e := range s.ring {
		e.ringIndex = i
	}
}

// healthFor returns the health of an engine for a class. It creates healthByClass, so that the caller can write to it.
func (e *engine) healthFor(c *class) classHealth {
	if e.healthByClass == nil {
		e.healthByClass = map[*class]classHealth{}
	}
	return e.healthByClass[c]
}
