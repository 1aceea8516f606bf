package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"
)

// queryRun is one query on an engine.
type queryRun struct {
	engine, id, class, statement, key string
	budgetMs                          int // how long the engine was told that the answer is waited for; -1: not told
	begunAt, endedAt                  time.Time
	deleted                           bool
	stop                              chan struct{}
	stopOnce                          sync.Once
	askedAt, notedAt                  time.Time
	runTime                           time.Duration
	pages                             []string
}

// runLog holds the runs of all engines, in the order of their starts.
type runLog struct {
	mu   sync.Mutex
	runs []*queryRun
}

func (l *runLog) add(r *queryRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
	note("%s: begins %s class=%s budget=%d: %.80s", r.engine, r.id, r.class, r.budgetMs, r.statement)
}

func (l *runLog) end(r *queryRun, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.endedAt = time.Now()
	note("%s: ends %s (%s)", r.engine, r.id, how)
}

// snapshot returns copies of the runs so far.
func (l *runLog) snapshot() (all []queryRunView) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.runs {
		all = append(all, queryRunView{r.engine, r.id, r.class, r.statement, r.budgetMs, r.begunAt, r.endedAt})
	}
	return all
}

// queryRunView is a copy of what a run shows.
type queryRunView struct {
	engine, id, class, statement string
	budgetMs                     int
	begunAt, endedAt             time.Time // endedAt is zero while it runs
}

// workerGroup is an engine that speaks the platform's protocol.
type workerGroup struct {
	name    string
	log     *runLog
	runTime func(statement string) time.Duration
	fails   func(statement string) bool   // a query that ends is answered with an error; nil: none is
	work    func(class string) float64    // the work of a query in ms, in multiples of its run time; nil: 1
	rows    func(statement string) string // the rows of a result, on one page; nil: one row with the request's id
	addr    string
	mu      sync.Mutex
	byID    map[string]*queryRun
	server  *http.Server
	stopped chan struct{} // closed when the process ends
}

const (
	heldAnswer = 250 * time.Millisecond // an answer about a running query is held for this long
	notePeriod = time.Second            // between two notes of the progress, as in the settings
	unasked    = 2 * time.Second        // a query that nobody asks for is dropped after this time
)

// start listens at a free address.
func (w *workerGroup) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.addr, w.byID, w.stopped = l.Addr().String(), map[string]*queryRun{}, make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /obj", w.post)
	mux.HandleFunc("GET /obj/{id}/{page}", w.get)
	mux.HandleFunc("DELETE /obj/{id}", w.delete)
	mux.HandleFunc("GET /alive", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(200) })
	mux.HandleFunc("GET /busy", func(rw http.ResponseWriter, _ *http.Request) { rw.Header().Set("X-Report", "util:0.30;queue:0") })
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(l) }()
	return nil
}

// stop ends the process: its connections are reset, and its queries end with it.
func (w *workerGroup) stop() {
	note("%s: its process ends", w.name)
	_ = w.server.Close()
	close(w.stopped)
}

func (w *workerGroup) post(rw http.ResponseWriter, r *http.Request) {
	statement, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	budget, err := strconv.Atoi(r.Header.Get("X-Budget"))
	if err != nil {
		budget = -1
	}
	now := time.Now()
	q := &queryRun{engine: w.name, id: r.Header.Get("X-Hop-Id"), class: r.Header.Get("X-Sort"), statement: string(statement),
		key: r.Header.Get("X-Replay-Key"), budgetMs: budget, begunAt: now, askedAt: now, notedAt: now,
		runTime: w.runTime(string(statement)), stop: make(chan struct{}),
		pages: []string{fmt.Sprintf("%s\t%s\tok\n", r.Header.Get("X-Hop-Id"), w.name)}}
	if w.rows != nil {
		q.pages = []string{w.rows(q.statement)}
	}
	w.mu.Lock()
	w.byID[q.id] = q
	w.mu.Unlock()
	w.log.add(q)
	go w.execute(q)
	w.answer(rw, q)
}

// execute runs a query until its time is over, it is deleted or nobody has asked for it for long.
func (w *workerGroup) execute(q *queryRun) {
	end := time.NewTimer(q.runTime)
	defer end.Stop()
	check := time.NewTicker(50 * time.Millisecond)
	defer check.Stop()
	for {
		select {
		case <-end.C:
			w.finish(q, "done")
			return
		case <-q.stop:
			return
		case <-w.stopped:
			w.finish(q, "its process has ended")
			return
		case <-check.C:
			w.mu.Lock()
			forgotten := time.Since(q.askedAt) > unasked
			w.mu.Unlock()
			if forgotten {
				w.finish(q, "dropped, as nobody asked for it")
				return
			}
		}
	}
}

// finish ends a query once.
func (w *workerGroup) finish(q *queryRun, how string) {
	q.stopOnce.Do(func() {
		w.mu.Lock()
		q.deleted = how != "done"
		w.mu.Unlock()
		w.log.end(q, how)
		close(q.stop)
	})
}

// answer answers with the end of a query, or with 202 if it still runs after a while.
func (w *workerGroup) answer(rw http.ResponseWriter, q *queryRun) {
	select {
	case <-q.stop:
	case <-time.After(heldAnswer):
		w.touch(q)
		w.addNote(rw, q)
		rw.WriteHeader(http.StatusAccepted)
		return
	}
	w.mu.Lock()
	gone := q.deleted
	w.mu.Unlock()
	if gone || w.fails != nil && w.fails(q.statement) {
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	rw.Header().Set("Page-Count", strconv.Itoa(len(q.pages)))
	work := float64(q.runTime.Milliseconds())
	if w.work != nil {
		work *= w.work(q.class)
	}
	rw.Header().Set("Work-Ms", strconv.FormatFloat(work, 'f', 1, 64))
	rw.Header().Set("X-Report", "util:0.30;queue:0")
	_, _ = io.WriteString(rw, q.pages[0])
}

// addNote adds a note of the progress, one each notePeriod.
func (w *workerGroup) addNote(rw http.ResponseWriter, q *queryRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Since(q.notedAt) >= notePeriod {
		q.notedAt = q.notedAt.Add(notePeriod)
		rw.Header().Set("X-Tell", "advance")
		rw.Header().Set("Figure", fmt.Sprintf("%.2f", min(float64(time.Since(q.begunAt))/float64(q.runTime), 1)))
	}
}

func (w *workerGroup) touch(q *queryRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	q.askedAt = time.Now()
}

func (w *workerGroup) get(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	q := w.byID[r.PathValue("id")]
	w.mu.Unlock()
	if q == nil || r.PathValue("page") != "0" {
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.touch(q)
	w.answer(rw, q)
}

func (w *workerGroup) delete(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	q := w.byID[r.PathValue("id")]
	w.mu.Unlock()
	if q != nil {
		w.finish(q, "deleted")
	}
	rw.WriteHeader(http.StatusNoContent)
}

// clickHouse is an engine that speaks ClickHouse's HTTP interface. A query that it has read runs to its end or until it is killed,
// whatever becomes of its connection.
type clickHouse struct {
	name    string
	log     *runLog
	runTime func(statement string) time.Duration
	result  func(statement string) string
	applied func(statement, token string) // called for each query that has run to its end; nil: nothing is done
	addr    string
	mu      sync.Mutex
	running map[string]*queryRun
}

var (
	killText      = regexp.MustCompile(`^KILL QUERY WHERE query_id = '([^']*)'`)
	processesText = regexp.MustCompile(`FROM system\.processes WHERE query_id = '([^']*)'`)
)

// start listens at a free address.
func (c *clickHouse) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	c.addr, c.running = l.Addr().String(), map[string]*queryRun{}
	go func() { _ = (&http.Server{Handler: c}).Serve(l) }()
	return nil
}

func (c *clickHouse) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	parameters := r.URL.Query()
	text := parameters.Get("query")
	if text == "" {
		text = string(body)
	}
	if r.URL.Path == "/ping" {
		_, _ = io.WriteString(rw, "Ok.\n")
		return
	}
	if m := killText.FindStringSubmatch(text); m != nil {
		c.mu.Lock()
		q := c.running[m[1]]
		c.mu.Unlock()
		note("%s: is told to kill %s", c.name, m[1])
		if q != nil {
			q.stopOnce.Do(func() { close(q.stop) })
		}
		return
	}
	if m := processesText.FindStringSubmatch(text); m != nil {
		c.mu.Lock()
		count := 0
		if c.running[m[1]] != nil {
			count = 1
		}
		c.mu.Unlock()
		fmt.Fprintf(rw, "%d\n", count)
		return
	}
	c.execute(rw, parameters, r.Header.Get("X-Class"), text)
}

// execute runs one statement. It ends itself once max_execution_time is over.
func (c *clickHouse) execute(rw http.ResponseWriter, parameters url.Values, class, text string) {
	budget, id := -1, parameters.Get("query_id")
	if seconds, err := strconv.ParseFloat(parameters.Get("max_execution_time"), 64); err == nil && seconds > 0 {
		budget = int(seconds * 1000)
	}
	q := &queryRun{engine: c.name, id: id, class: class, statement: text, budgetMs: budget, begunAt: time.Now(),
		stop: make(chan struct{})}
	c.mu.Lock()
	c.running[id] = q
	c.mu.Unlock()
	c.log.add(q)
	how, code := "done", 0
	timeLimit := time.Hour
	if budget > 0 {
		timeLimit = time.Duration(budget) * time.Millisecond
	}
	select {
	case <-time.After(c.runTime(text)):
	case <-time.After(timeLimit):
		how, code = "its time is over", 159
	case <-q.stop:
		how, code = "killed", 394
	}
	c.mu.Lock()
	delete(c.running, id)
	c.mu.Unlock()
	c.log.end(q, how)
	if code == 0 && c.applied != nil {
		c.applied(text, parameters.Get("insert_deduplication_token"))
	}
	if code > 0 {
		rw.Header().Set("X-ClickHouse-Exception-Code", strconv.Itoa(code))
		rw.WriteHeader(500)
		fmt.Fprintf(rw, "Code: %d. DB::Exception: %s\n", code, how)
		return
	}
	rw.Header().Set("X-ClickHouse-Query-Id", id)
	rw.Header().Set("X-ClickHouse-Summary", `{"read_rows":"1","elapsed_ns":"7000000","memory_usage":"4194304"}`)
	if !strings.HasPrefix(text, "INSERT") && !strings.HasPrefix(text, "ALTER") {
		_, _ = io.WriteString(rw, c.result(text))
	}
}

// board is the notice board. A coordinator that asks for events waits in turn for delay before its first line.
type board struct {
	addr     string
	delay    time.Duration
	mu       sync.Mutex
	revision int
	events   map[int]string
	asks     int
	listener net.Listener
}

// start listens at a free address. The coordinators know revision 1.
func (b *board) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	b.addr, b.revision, b.events, b.listener = l.Addr().String(), 1, map[int]string{}, l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return nil
}

// publish adds an event to the board.
func (b *board) publish(members ...member) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []any
	for _, m := range members {
		list = append(list, m.json())
	}
	b.revision++
	text, err := json.Marshal(object{"rev": b.revision,
		"pool": object{"revision": b.revision, "complete": false, "members": list}})
	b.events[b.revision] = string(text)
	note("board: event %s", text)
	return err
}

// serve sends a coordinator all events after the one that it has, and the last number each second.
func (b *board) serve(c net.Conn) {
	defer c.Close()
	line, err := bufio.NewReader(c).ReadString('\n')
	var have int
	if _, scanErr := fmt.Sscanf(line, "watch %d", &have); err != nil || scanErr != nil {
		return
	}
	b.mu.Lock()
	b.asks++
	b.mu.Unlock()
	note("board: %s", strings.TrimSpace(line))
	time.Sleep(b.delay)
	for beat := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		b.mu.Lock()
		text := ""
		for ; have < b.revision; have++ {
			text += b.events[have+1] + "\n"
		}
		b.mu.Unlock()
		if text == "" && time.Now().After(beat) {
			text = strconv.Itoa(have) + "\n"
			beat = beat.Add(time.Second)
		}
		if text == "" {
			continue
		}
		if _, err := io.WriteString(c, text); err != nil {
			note("board: the coordinator has closed its connection")
			return
		}
		if len(text) > 10 {
			note("board: has sent the events up to %d", have)
		}
	}
}
