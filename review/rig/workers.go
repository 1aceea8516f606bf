package main

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of a worker group, as the protocol page has them.
const (
	newsAfter  = 250 * time.Millisecond // a call for the news of a running query is answered after this
	unaskedEnd = 2 * time.Second        // a query that nobody asks for ends after this
	notePeriod = time.Second
)

// run is one run of a query on a worker group, from when it has come whole.
type run struct {
	id, class string
	worker    string
	arrivedAt time.Time
	length    time.Duration
	askedAt   time.Time // when it was last asked for
	asking    int       // calls that wait for its news
	notes     int       // notes of progress given out
	endedAt   time.Time // zero: it runs
	how       string    // how it ended: "done", "deleted", "dropped" or "died"
	done      chan struct{}
}

// worker is a worker group. spoil, if set, may answer a call in place of the ordinary answer; it reports whether it did.
type worker struct {
	id, addr string
	record   *record
	runFor   func(class string) time.Duration
	spoil    func(c *workerConn, a answer) bool

	mu       sync.Mutex
	runs     []*run
	latest   map[string]*run
	conns    map[net.Conn]bool
	listener net.Listener
	dead     bool
}

// answer is an answer to a call.
type answer struct {
	status int
	head   string // further header lines, each with its end
	body   []byte
	end    bool   // it tells the good end of a query, or a page of its result
	id     string // of the query
}

// bytes returns an answer with the given Content-Length.
func (a answer) bytes(length int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n%s", a.status, http.StatusText(a.status), a.head)
	if a.status != 204 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", length)
	}
	b.WriteString("\r\n")
	b.Write(a.body)
	return b.Bytes()
}

// workerConn is a connection to a worker group. Writes of two answers don't mix.
type workerConn struct {
	net.Conn
	mu sync.Mutex
}

func (c *workerConn) send(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.Write(b)
}

// startWorker starts a worker group at an address, or at a free one if it is empty.
func startWorker(w *worker, addr string) {
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		notRun("%v", err)
	}
	w.listener, w.addr, w.latest, w.conns = l, l.Addr().String(), map[string]*run{}, map[net.Conn]bool{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(&workerConn{Conn: c})
		}
	}()
}

// die ends the worker group as the death of its process would: nothing listens, and its connections are reset.
func (w *worker) die() {
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead = true
	for c := range w.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	for _, r := range w.runs {
		w.end(r, "died")
	}
	w.record.add("worker %s died", w.id)
}

// serve answers one call after another.
func (w *worker) serve(c *workerConn) {
	w.mu.Lock()
	w.conns[c.Conn] = true
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		delete(w.conns, c.Conn)
		w.mu.Unlock()
		_ = c.Close()
	}()
	reader := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(15 * time.Second)) // connIdleMs
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		a := w.call(request, string(body))
		if w.spoil != nil && w.spoil(c, a) {
			continue
		}
		c.send(a.bytes(len(a.body)))
	}
}

// call carries out a call and returns its answer.
func (w *worker) call(request *http.Request, body string) answer {
	path := strings.Split(strings.TrimPrefix(request.URL.Path, "/"), "/")
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case request.Method == "POST" && request.URL.Path == "/obj":
		id := request.Header.Get("X-Hop-Id")
		r := &run{id: id, class: request.Header.Get("X-Sort"), worker: w.id, arrivedAt: time.Now(), askedAt: time.Now(),
			done: make(chan struct{})}
		r.length = w.runFor(r.class)
		w.runs = append(w.runs, r)
		w.latest[id] = r
		w.record.add("worker %s run id=%s class=%s ms=%d statement=%.80q bytes=%d", w.id, id, r.class, r.length.Milliseconds(),
			body, len(body))
		go w.watch(r)
		return w.news(r)
	case request.Method == "GET" && len(path) == 3 && path[0] == "obj":
		r, page := w.latest[path[1]], path[2]
		if r == nil || r.how != "" && r.how != "done" {
			return answer{status: 500}
		}
		if page == "0" {
			return w.news(r)
		}
		r.askedAt = time.Now()
		n, err := strconv.Atoi(page)
		if pages := resultOf(r.id, r.class); err == nil && r.how == "done" && n > 0 && n < len(pages) {
			return answer{status: 200, head: "Page-No: " + page + "\r\n", body: pages[n], end: true, id: r.id}
		}
		return answer{status: 500}
	case request.Method == "DELETE" && len(path) == 2 && path[0] == "obj":
		if r := w.latest[path[1]]; r != nil {
			w.end(r, "deleted")
		}
		return answer{status: 204}
	case request.Method == "GET" && (request.URL.Path == "/alive" || request.URL.Path == "/busy"):
		return answer{status: 200, head: "X-Report: util:0.40;queue:0\r\n"}
	}
	return answer{status: 500}
}

// news waits for the end of a run or for a note, for at most newsAfter, and returns the answer. w.mu is held, and released
// meanwhile.
func (w *worker) news(r *run) answer {
	r.askedAt = time.Now()
	r.asking++
	wait := newsAfter
	if note := time.Until(r.arrivedAt.Add(time.Duration(r.notes+1) * notePeriod)); note < wait {
		wait = max(note, 0)
	}
	w.mu.Unlock()
	select {
	case <-r.done:
	case <-time.After(wait):
	}
	w.mu.Lock()
	r.asking--
	r.askedAt = time.Now()
	const report = "X-Report: util:0.40;queue:0\r\n"
	switch {
	case r.how == "done":
		pages := resultOf(r.id, r.class)
		return answer{status: 200, body: pages[0], end: true, id: r.id, head: fmt.Sprintf("Page-Count: %d\r\nWork-Ms: %d\r\nPeak-Mb: 40\r\n%s",
			len(pages), r.length.Milliseconds(), report)}
	case r.how != "":
		return answer{status: 500}
	case time.Since(r.arrivedAt) >= time.Duration(r.notes+1)*notePeriod:
		r.notes++
		return answer{status: 202, head: fmt.Sprintf("X-Tell: advance\r\nFigure: %.3f\r\n%s",
			min(float64(time.Since(r.arrivedAt))/float64(r.length), 0.99), report)}
	}
	return answer{status: 202, head: report}
}

// watch ends a run when its time is over or when nobody has asked for it.
func (w *worker) watch(r *run) {
	for {
		w.mu.Lock()
		switch {
		case time.Since(r.arrivedAt) >= r.length:
			w.end(r, "done")
		case r.asking == 0 && time.Since(r.askedAt) >= unaskedEnd:
			w.end(r, "dropped")
		}
		left := r.length - time.Since(r.arrivedAt)
		ended := r.how != ""
		w.mu.Unlock()
		if ended {
			return
		}
		time.Sleep(min(max(left, time.Millisecond), 20*time.Millisecond))
	}
}

// end ends a run that has not ended yet. w.mu is held.
func (w *worker) end(r *run, how string) {
	if r.how == "" {
		r.how, r.endedAt = how, time.Now()
		close(r.done)
		w.record.add("worker %s end id=%s how=%s", w.id, r.id, how)
	}
}

// allRuns returns copies of all runs.
func (w *worker) allRuns() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []run
	for _, r := range w.runs {
		list = append(list, *r)
	}
	return list
}

// resultOf returns the pages of the result of a query, which name it: 4 to 30 rows, on up to two pages for reports.
func resultOf(id, class string) [][]byte {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id))
	rows, pages := 4+int(hash.Sum32()%27), 1
	if class == "report" {
		pages = 2
	}
	list := make([][]byte, pages)
	for row := range rows {
		page := row * pages / rows
		list[page] = fmt.Appendf(list[page], "%s\t%d\tbranch-%03d\n", id, row+1, (row*37)%1000)
	}
	return list
}
