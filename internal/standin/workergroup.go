package standin

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// holdNews is for how long a worker group holds a call for the news of a query that runs.
const holdNews = 250 * time.Millisecond

// Query is one that a worker group was sent.
type Query struct {
	ID, Class, ReplayKey, Statement string
	Budget                          time.Duration
	Came                            time.Time
}

// Answer is how a query ends.
type Answer struct {
	After    time.Duration   // that the query runs for
	Until    <-chan struct{} // in place of After: it runs until this is closed
	Status   int             // 0: 200, with one row
	NoEffect bool
}

// WorkerGroup speaks the worker groups' protocol: enough of it for tests. Results have one page.
type WorkerGroup struct {
	// Script tells how a query ends; nil: at once, and well.
	Script func(q Query) Answer

	mu      sync.Mutex
	queries []Query
	runs    map[string]*run
	server  *http.Server
}

// run is a query's life on a worker group.
type run struct {
	over   chan struct{} // closed at its end
	once   sync.Once
	answer Answer
}

func (r *run) end(a Answer) {
	r.once.Do(func() {
		r.answer = a
		close(r.over)
	})
}

// Start listens on an address of the machine's own, or on a free one if it is empty.
func (w *WorkerGroup) Start(addr string) (string, error) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	w.runs = map[string]*run{}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /obj", w.post)
	mux.HandleFunc("GET /obj/{id}/0", w.get)
	mux.HandleFunc("DELETE /obj/{id}", w.delete)
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(l) }()
	return l.Addr().String(), nil
}

// Stop ends the worker group and all its connections.
func (w *WorkerGroup) Stop() { _ = w.server.Close() }

// Queries are all that were sent so far.
func (w *WorkerGroup) Queries() []Query {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Query(nil), w.queries...)
}

func (w *WorkerGroup) post(rw http.ResponseWriter, r *http.Request) {
	statement, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	budget, _ := strconv.Atoi(r.Header.Get("X-Budget"))
	q := Query{ID: r.Header.Get("X-Hop-Id"), Class: r.Header.Get("X-Sort"), ReplayKey: r.Header.Get("X-Replay-Key"),
		Statement: string(statement), Budget: time.Duration(budget) * time.Millisecond, Came: time.Now()}
	x := &run{over: make(chan struct{})}
	w.mu.Lock()
	w.queries = append(w.queries, q)
	w.runs[q.ID] = x
	w.mu.Unlock()
	go w.execute(q, x)
	w.news(rw, x)
}

func (w *WorkerGroup) execute(q Query, x *run) {
	var a Answer
	if w.Script != nil {
		a = w.Script(q)
	}
	until := a.Until
	if until == nil {
		timer := time.NewTimer(a.After)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-x.over:
		}
	} else {
		select {
		case <-until:
		case <-x.over:
		}
	}
	x.end(a)
}

func (w *WorkerGroup) get(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	x := w.runs[r.PathValue("id")]
	w.mu.Unlock()
	if x == nil {
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.news(rw, x)
}

func (w *WorkerGroup) delete(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	x := w.runs[r.PathValue("id")]
	w.mu.Unlock()
	if x != nil {
		x.end(Answer{Status: http.StatusInternalServerError})
	}
	rw.WriteHeader(http.StatusNoContent)
}

// news answers with a query's end, or after a while that it runs.
func (w *WorkerGroup) news(rw http.ResponseWriter, x *run) {
	timer := time.NewTimer(holdNews)
	defer timer.Stop()
	select {
	case <-x.over:
	case <-timer.C:
		rw.WriteHeader(http.StatusAccepted)
		return
	}
	if x.answer.NoEffect {
		rw.Header().Set("X-No-Effect", "1")
	}
	if x.answer.Status > 0 {
		rw.WriteHeader(x.answer.Status)
		return
	}
	rw.Header().Set("Page-Count", "1")
	_, _ = io.WriteString(rw, "a\tb\tc\n")
}
