package choice

// The state of a front and its bookkeeping. What decides stands in the files that policy names.

import (
	"math"
	"math/rand"
	"slices"
	"sort"
)

// ranks is the number of priorities.
const ranks = 4

// Front is one instance of the decision module; see New and Step.
type Front struct {
	s                Settings
	fronts           float64
	rng              *rand.Rand
	now              float64
	acts             []Action
	engines          []*engine // in the order in which they were first heard of
	byID             map[string]*engine
	byNews           map[uint32]*engine // by the part of the hash that news carry
	requests         map[string]*request
	classes          map[string]*class
	classList        []*class
	tenants          map[string]*tenant
	keys             map[string]*key
	waiting          []*request
	taken, further   window
	moves            window
	tookAll, probes  float64
	tells            float64 // full messages sent
	avgWarm, avgCold float64
	threads          float64 // of all attempts out
	part             float64 // our part of the threads for which the listed engines have room
	share            float64 // of the traffic that comes to this front
	asking           fading  // the work asked for
	grow             float64 // by how much that part has grown
	many             bool
	byRank, meanOut  [ranks]float64 // threads out by priority, and their mean over time
	meanOutAt        float64
	groups           map[string]*group
	groupSum         fading    // requests
	listing          int       // counts the news of the engine list
	usable, ring     []*engine // in the list's order, and in that of their hashes
	window, cands    []*engine // those that this front works with first
	ownMean, lot     float64   // our threads a core of the fleet; 1 where peers share the engines
	meanLoad, meanAt float64   // mean of load reports, and when the last one came
	sweepAt, wakeAt  float64
	slower, answers  fading // of answers: logarithms of how much slower they were than alone, and their number
	earned           fading // what answers earned
	asked            bool
	pace             float64 // by which short queries and deadlines scale the times below
	checkEvery       float64
	lastCall         float64
	hungLeast        float64
	askAt, askPause  float64
}

type engine struct {
	Engine
	cores            float64
	listed           bool
	seen             float64 // in a list, for the last time
	warm, cold       factor
	tables           map[string]float64 // table group -> when last sent
	locked           map[string]float64 // table group -> until when a load is taken to hold it
	out              []*attempt         // in the order of their sends
	threads          float64            // of the attempts out
	heard            float64
	report, reportAt float64
	memory           float64 // share granted, as last reported
	fails, errors    int
	badUntil, backAt float64
	okAt             float64        // of its last good answer
	ills             map[*class]ill // classes that it fails
	took, tookLight  float64        // fading sums over answers: their times, and what those would be under light load
	probedAt         float64
	coldSent         window
	hash             uint64
	place            int      // in the ring
	abroad           []abroad // in the order in which they were told
}

// ill is how an engine fails one class: since its last good answer to that class.
type ill struct {
	errors, fails int
	until         float64
}

type factor struct{ v, n, at float64 }

// fading is a sum whose parts fade as they age.
type fading struct{ v, at float64 }

func (s *fading) add(now, v, span float64) { s.v, s.at = s.get(now, span)+v, now }

func (s fading) get(now, span float64) float64 { return s.v * math.Exp((s.at-now)/span) }

type class struct {
	Class
	work, n, hintRatio float64
	regain, regainAt   float64
	tail               float64 // high percentile of its answers' times, against what was expected
	grant              float64 // memory granted to what is estimated
	light, nLight      float64 // mean time of answers under light load
}

type tenant struct {
	Tenant
	tokens fading
}

type key struct {
	line      []*request
	restUntil float64
}

type request struct {
	Request
	c              *class
	effect         Effect // its class's, or Unsafe
	key            *key
	arrived, aimAt float64
	worth, density float64
	over           bool
	held           float64 // since when, or -1
	waiting, ended bool
	rejected       bool
	unproved       bool // an attempt ended with no proof that it runs no more
	late           bool // it waits though it can no longer meet its aim
	sends, moved   int
	probedAt       float64
	erred          []*engine // where it has failed
	slow           float64   // length that a slow attempt was heading for when it was started anew
	out            []*attempt
	mayRun         *engine // where the first attempt that may have run went
	mayRunAt       float64
}

type attempt struct {
	q                      *request
	e                      *engine
	n, rank                int
	sent, expect           float64
	base, scale            float64
	warm, cancelled, light bool
	noted, spilt           bool
	note, total            float64
}

// window is a sum over a sliding span of time.
type window struct{ at, v []float64 }

func (w *window) add(now, v float64) {
	w.at, w.v = append(w.at, now), append(w.v, v)
}

// sum forgets what is older than from and adds up the rest.
func (w *window) sum(from float64) (s float64) {
	i := sort.Search(len(w.at), func(i int) bool { return w.at[i] > from })
	for _, v := range w.v[i:] {
		s += v
	}
	return s
}

// forget drops what no window reaches back to.
func (f *Front) forget() {
	span := math.Max(math.Max(f.s.RationWindow, moveWindow), 2*f.s.FallFor) + 2*f.checkEvery
	for _, w := range []*window{&f.taken, &f.further, &f.moves} {
		w.trim(f.now - span)
	}
	kept := f.engines[:0]
	for _, e := range f.engines {
		e.coldSent.trim(f.now - span)
		for name, at := range e.tables {
			if at < f.now-warmFor {
				delete(e.tables, name)
			}
		}
		for name, until := range e.locked {
			if until < f.now {
				delete(e.locked, name)
			}
		}
		for len(e.abroad) > 0 && e.abroad[0].at < f.now-warmFor/6 {
			e.abroad = e.abroad[1:]
		}
		if e.listed || len(e.out) > 0 || e.seen > f.now-warmFor {
			kept = append(kept, e)
		} else {
			delete(f.byID, e.ID)
			delete(f.byNews, uint32(e.hash))
		}
	}
	clear(f.engines[len(kept):])
	f.engines = kept
	for name, k := range f.keys { // one that rested as its last request ended
		if len(k.line) == 0 && k.restUntil <= f.now {
			delete(f.keys, name)
		}
	}
	for name, g := range f.groups {
		if g.at < f.now-2*warmFor {
			delete(f.groups, name)
		}
	}
}

func (w *window) trim(from float64) {
	if i := sort.Search(len(w.at), func(i int) bool { return w.at[i] > from }); i > 256 {
		w.at, w.v = append([]float64(nil), w.at[i:]...), append([]float64(nil), w.v[i:]...)
	}
}

// New returns a Front that knows nothing but its settings.
func New(s Settings, now float64) *Front {
	f := &Front{s: s, byNews: map[uint32]*engine{}, fronts: math.Max(float64(s.Fronts), 1), rng: rand.New(rand.NewSource(s.Seed)),
		byID: map[string]*engine{}, requests: map[string]*request{}, classes: map[string]*class{},
		tenants: map[string]*tenant{}, keys: map[string]*key{}, avgWarm: 1, avgCold: 1, grow: 1, meanOutAt: now, groups: map[string]*group{}, meanAt: math.Inf(-1),
		sweepAt: now, wakeAt: math.Inf(1)}
	f.many = f.fronts > manyFronts
	f.setPace()
	for _, c := range s.Classes {
		f.addClass(c)
	}
	for _, t := range s.Tenants {
		f.tenants[t.Name] = &tenant{Tenant: t, tokens: fading{at: now}}
	}
	return f
}

// The time that clients wait in the deployments that the constants are for, in ms, and the least that the scaled
// ones may be: under these, ways and turns count for more than what is timed.
const (
	usualLimit = 2000.0
	leastCheck = 10.0
	leastCall  = 14.0
	leastHung  = 100.0
)

// setPace scales the times that go with a query's life. Danger: where queries and deadlines are shorter, a check
// each 100 ms comes too late, and a query with 120 ms left is no lost one.
func (f *Front) setPace() {
	f.pace = 1
	for _, c := range f.s.Classes {
		if c.Limit > 0 {
			f.pace = math.Min(f.pace, c.Limit/usualLimit)
		}
	}
	f.checkEvery = math.Max(checkEvery*f.pace, leastCheck)
	f.lastCall = math.Max(lastCall*f.pace, leastCall)
	f.hungLeast = math.Max(hungLeast*f.pace, leastHung)
}

func (f *Front) do(a Action) { f.acts = append(f.acts, a) }

// wake asks for a Timer at a time, unless an earlier one is coming.
func (f *Front) wake(at float64) {
	if at < f.wakeAt {
		f.wakeAt = at
		f.do(Wake{"check", at})
	}
}

func (f *Front) addClass(c Class) *class {
	c.Threads = math.Max(c.Threads, 1)
	k := &class{Class: c, hintRatio: 1, grant: grantFirst, regain: regainFirst, tail: tailFirst, work: math.Max(c.Aim*priorAim*c.Threads, 1)}
	f.classes[c.Name] = k
	f.classList = append(f.classList, k)
	return k
}

func (f *Front) engine(x Engine) *engine {
	e := f.byID[x.ID]
	if e == nil {
		e = &engine{Engine: x, cores: defaultCores, tables: map[string]float64{}, locked: map[string]float64{}, reportAt: math.Inf(-1),
			probedAt: math.Inf(-1), hash: hash(x.ID)}
		for _, k := range f.s.Kinds {
			if k.Name == x.Kind && k.Cores > 0 {
				e.cores = k.Cores
			}
		}
		f.byID[x.ID], f.byNews[uint32(e.hash)] = e, e
		f.engines = append(f.engines, e)
	}
	return e
}

// drop takes an attempt off its engine and request.
func (f *Front) drop(q *request, n int) *attempt {
	for i, a := range q.out {
		if a.n == n {
			q.out = append(q.out[:i:i], q.out[i+1:]...)
			f.release(a)
			return a
		}
	}
	return nil
}

// release takes an attempt off its engine and out of what this front has out.
func (f *Front) release(a *attempt) {
	e := a.e
	j := slices.Index(e.out, a)
	if j < 0 {
		return
	}
	e.out = append(e.out[:j:j], e.out[j+1:]...)
	e.threads -= a.q.c.Threads
	f.threads -= a.q.c.Threads
	f.byRank[a.rank] -= a.q.c.Threads
}

// overdue takes word that a request's time is over while its attempts may still run. Danger: where their engine is
// silent their end may take long to be known: they keep their places in the key's line, but take no room.
func (f *Front) overdue(q *request) {
	f.abandon(q, ReasonDeadline)
	if q != nil {
		for _, a := range q.out {
			f.release(a)
		}
	}
}

// end marks a request as ended and forgets it once nothing of it is out.
func (f *Front) end(q *request) {
	q.ended = true
	if len(q.out) > 0 {
		return
	}
	delete(f.requests, q.ID)
	if k := q.key; k != nil {
		for i, r := range k.line {
			if r == q {
				k.line = append(k.line[:i:i], k.line[i+1:]...)
				break
			}
		}
		if len(k.line) == 0 && k.restUntil <= f.now {
			delete(f.keys, q.Key)
		}
	}
}

// averages renews the mean factors of the engines heard of.
func (f *Front) averages() {
	var ws, wn, cs, cn, cores float64
	for _, e := range f.engines {
		if e.listed {
			cores += e.cores
		}
		if e.listed && e.warm.n > 0 {
			ws, wn = ws+e.warm.v, wn+1
		}
		if e.listed && e.cold.n > 0 {
			cs, cn = cs+e.cold.v, cn+1
		}
	}
	f.ownMean = f.threads / math.Max(cores, 1)
	if f.many { // one moment of one front says nothing of its peers
		f.ownMean = 0
		for _, v := range f.meanOut {
			f.ownMean += v / math.Max(cores, 1)
		}
	}
	f.lot = 1 - 1/f.fronts
	if wn > 0 {
		f.avgWarm = ws / wn
	}
	if cn > 0 {
		f.avgCold = cs / cn
	}
}

// meanThreads is the mean of threads over the queries in hand at a time.
func (f *Front) meanThreads() float64 {
	s, n := 0.0, 0.0
	for _, c := range f.classList {
		s, n = s+c.work*(c.n+1), n+c.work/c.Threads*(c.n+1)
	}
	return s / math.Max(n, 1e-9)
}

// heaviest is the mean work of the class that takes most.
func (f *Front) heaviest() (work float64) {
	for _, c := range f.classList {
		work = math.Max(work, c.work)
	}
	return work
}

// meanDensity is worth per work over the queries seen.
func (f *Front) meanDensity() float64 {
	s, n := 0.0, 0.0
	for _, c := range f.classList {
		s, n = s+c.Worth*(c.n+1), n+c.work*(c.n+1)
	}
	return s / math.Max(n, 1e-9)
}

func has(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

func bound(v, most float64) float64 { return math.Max(1/most, math.Min(v, most)) }

// hash is the FNV-1a hash of a text.
func hash(s string) uint64 {
	h := uint64(14695981039346656037)
	for i := 0; i < len(s); i++ {
		h = (h ^ uint64(s[i])) * 1099511628211
	}
	return h
}

// hash01 mixes two hashes into a number from 0 to under 1.
func hash01(a, b uint64) float64 {
	x := a ^ (b+0x9e3779b97f4a7c15)*0xbf58476d1ce4e5b9
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}

// group is a table group: its fading count of requests and the engines in the order of their hashes with it.
type group struct {
	n, at float64
	loads float64 // those of them that hold it
	list  int
	order []*engine
}

func (f *Front) group(tables string) *group {
	g := f.groups[tables]
	if g == nil {
		g = &group{at: f.now}
		f.groups[tables] = g
	}
	return g
}

// count adds a request to its table group.
func (f *Front) count(tables string, load bool) {
	g := f.group(tables)
	fade := math.Exp((g.at - f.now) / warmFor)
	g.n, g.loads = g.n*fade+1, g.loads*fade
	if load {
		g.loads++
	}
	g.at = f.now
	f.groupSum.add(f.now, 1, warmFor)
}

// byHash puts engines in the order of their hashes with a table group.
func byHash(tables string, engines []*engine) []*engine {
	h := hash(tables)
	order := append([]*engine(nil), engines...)
	rank := make(map[*engine]float64, len(order))
	for _, e := range order {
		rank[e] = hash01(e.hash, h)
	}
	sort.Slice(order, func(i, j int) bool { return rank[order[i]] < rank[order[j]] })
	return order
}

// renew lists the engines that may be used, and puts them in the ring.
func (f *Front) renew() {
	f.usable = f.usable[:0:0]
	for _, e := range f.engines {
		if e.listed {
			f.usable = append(f.usable, e)
		}
	}
	f.ring = append(f.ring[:0:0], f.usable...)
	sort.Slice(f.ring, func(i, j int) bool { return f.ring[i].hash < f.ring[j].hash })
	for i, e := range f.ring {
		e.place = i
	}
}

func (e *engine) ill(c *class) ill {
	if e.ills == nil {
		e.ills = map[*class]ill{}
	}
	return e.ills[c]
}
