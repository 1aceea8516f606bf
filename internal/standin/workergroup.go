package standin

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// pollTimeout is how long a POST or a poll waits for the end of a running query before it is answered with status 202.
const pollTimeout = 250 * time.Millisecond

// Query is a query that a worker group received.
type Query struct {
	ID, Class, ReplayKey, Statement string
	Budget                          time.Duration
	ReceivedAt                      time.Time
}

// Answer describes how a query ends.
type Answer struct {
	RunTime  time.Duration   // how long the query runs
	Until    <-chan struct{} // if not nil, the query runs until this is closed, and RunTime is ignored
	Status   int             // 0 means 200 with a result of one row
	NoEffect bool            // the answer has the header X-No-Effect
}

// WorkerGroup is a fake worker group that implements as much of the REST protocol as the tests need. Results have one page.
type WorkerGroup struct {
	// Script returns how a query ends. If it is nil, each query succeeds at once.
	Script func(q Query) Answer

	mu      sync.Mutex
	queries []Query
	runs    map[string]*run // latest runs, by query ID
	server  *http.Server
	addr    string
}

// run is the execution of a query.
type run struct {
	done   chan struct{} // closed when the query has ended
	once   sync.Once
	answer Answer
}

// finish ends the run with an answer. Only the first call has an effect.
func (r *run) finish(answer Answer) {
	r.once.Do(func() {
		r.answer = answer
		close(r.done)
	})
}

// Start listens on addr, or on a free local port if it is empty, and returns the address.
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
	w.addr = l.Addr().String()
	return w.addr, nil
}

// Addr returns the address that Start has returned.
func (w *WorkerGroup) Addr() string { return w.addr }

// Stop closes the listener and all connections.
func (w *WorkerGroup) Stop() { _ = w.server.Close() }

// Queries returns all queries received so far.
func (w *WorkerGroup) Queries() []Query {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Query(nil), w.queries...)
}

// post starts a query.
func (w *WorkerGroup) post(rw http.ResponseWriter, r *http.Request) {
	statement, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	budget, _ := strconv.Atoi(r.Header.Get("X-Budget"))
	q := Query{ID: r.Header.Get("X-Hop-Id"), Class: r.Header.Get("X-Sort"), ReplayKey: r.Header.Get("X-Replay-Key"),
		Statement: string(statement), Budget: time.Duration(budget) * time.Millisecond, ReceivedAt: time.Now()}
	execution := &run{done: make(chan struct{})}
	w.mu.Lock()
	w.queries = append(w.queries, q)
	w.runs[q.ID] = execution
	w.mu.Unlock()
	go w.execute(q, execution)
	w.writeProgress(rw, execution)
}

// execute runs a query for as long as the script says, or until it is deleted.
func (w *WorkerGroup) execute(q Query, execution *run) {
	var answer Answer
	if w.Script != nil {
		answer = w.Script(q)
	}
	until := answer.Until
	if until == nil {
		timer := time.NewTimer(answer.RunTime)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-execution.done:
		}
	} else {
		select {
		case <-until:
		case <-execution.done:
		}
	}
	execution.finish(answer)
}

// get answers a poll, with status 500 if the query is unknown.
func (w *WorkerGroup) get(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	execution := w.runs[r.PathValue("id")]
	w.mu.Unlock()
	if execution == nil {
		rw.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.writeProgress(rw, execution)
}

// delete cancels a query. An unknown query is ignored.
func (w *WorkerGroup) delete(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	execution := w.runs[r.PathValue("id")]
	w.mu.Unlock()
	if execution != nil {
		execution.finish(Answer{Status: http.StatusInternalServerError})
	}
	rw.WriteHeader(http.StatusNoContent)
}

// writeProgress answers with the result of a query, or with status 202 if it still runs after pollTimeout.
func (w *WorkerGroup) writeProgress(rw http.ResponseWriter, execution *run) {
	timer := time.NewTimer(pollTimeout)
	defer timer.Stop()
	select {
	case <-execution.done:
	case <-timer.C:
		rw.WriteHeader(http.StatusAccepted)
		return
	}
	if execution.answer.NoEffect {
		rw.Header().Set("X-No-Effect", "1")
	}
	if execution.answer.Status > 0 {
		rw.WriteHeader(execution.answer.Status)
		return
	}
	rw.Header().Set("Page-Count", "1")
	_, _ = io.WriteString(rw, "a\tb\tc\n")
}
