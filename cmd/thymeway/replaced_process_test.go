package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"thymeway/internal/standin"
)

// Figures of the plays in which engines are killed and new ones come up at their addresses.
const (
	replacements        = 15
	replacementInterval = 100 * time.Millisecond
	replacedRunTime     = 80 * time.Millisecond // of a write
	writersPerProtocol  = 8
)

// writers sends writes that must not run twice, over both protocols, until it is stopped.
type writers struct {
	t                *testing.T
	pgAddr, httpAddr string
	stopped          atomic.Bool
	done             sync.WaitGroup
	served, failed   atomic.Int64
}

// start starts the writers.
func (w *writers) start() {
	for i := range writersPerProtocol {
		w.done.Go(func() { w.writePostgres(i) })
		w.done.Go(func() { w.writeClickHouse(i) })
	}
}

// stop ends the writers and checks that some writes were served.
func (w *writers) stop() {
	w.stopped.Store(true)
	w.done.Wait()
	if w.t.Logf("%d writes served, %d failed", w.served.Load(), w.failed.Load()); w.served.Load() == 0 {
		w.t.Error("no write is served")
	}
}

// count counts the end of a write.
func (w *writers) count(served bool) {
	if served {
		w.served.Add(1)
	} else {
		w.failed.Add(1)
	}
}

// writePostgres sends the writes of PostgreSQL client i.
func (w *writers) writePostgres(i int) {
	ctx := context.Background()
	conn, err := pgx.Connect(ctx, pgURL(w.pgAddr))
	if err != nil {
		w.t.Error(err)
		return
	}
	defer conn.Close(ctx)
	for n := 0; !w.stopped.Load(); n++ {
		_, err := conn.Exec(ctx, fmt.Sprintf(
			"/* verb=load,txn=%08x%08x,limit=3000,team=acme,item=k%d,unique=u%d-%d */ ALTER TABLE sales_1.t UPDATE n = n + 1 WHERE a = %d%05d",
			i+1, n, i, i, n, i+1, n))
		if conn.IsClosed() {
			w.t.Errorf("a session is ended: %v", err)
			return
		}
		w.count(err == nil)
	}
}

// writeClickHouse sends the writes of ClickHouse client i.
func (w *writers) writeClickHouse(i int) {
	for n := 0; !w.stopped.Load(); n++ {
		r, err := http.Post(fmt.Sprintf("http://%s/?user=acme&order_key=h%d", w.httpAddr, i), "text/plain",
			strings.NewReader(fmt.Sprintf("ALTER TABLE sales_2.t UPDATE n = n + 1 WHERE b = %d%05d", i+1, n)))
		if err != nil {
			w.t.Errorf("a request has no answer: %v", err)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_ = r.Body.Close()
		w.count(r.StatusCode == 200)
	}
}

// replaceEngines calls replace with one engine after another, in turn.
func replaceEngines(t *testing.T, engines int, replace func(engine int) error) {
	t.Helper()
	for n := range replacements {
		time.Sleep(replacementInterval)
		err := replace(n % engines)
		for try := 0; err != nil && try < 100; try++ { // the address may not be free at once
			time.Sleep(time.Millisecond)
			err = replace(n % engines)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
}

// checkRunOnce checks that no statement ran twice.
func checkRunOnce(t *testing.T, statements []string) {
	t.Helper()
	runs := map[string]int{}
	for _, statement := range statements {
		if runs[statement]++; runs[statement] == 2 {
			t.Errorf("ran twice: %s", statement)
		}
	}
}

// Guards against writes that run twice: worker groups are killed, and new processes come up at their addresses at once, which know
// nothing of the queries that were sent there.
func TestWriteRunsTwiceAsWorkerGroupIsReplaced(t *testing.T) {
	p := startLimited(t, 64, func(standin.Query) standin.Answer { return standin.Answer{RunTime: replacedRunTime} },
		`"idempotency": "deduplicated"`, `"idempotency": "at_most_once"`)
	all := append([]*standin.WorkerGroup(nil), p.groups...)
	w := &writers{t: t, pgAddr: p.pgAddr, httpAddr: p.httpAddr}
	w.start()
	replaceEngines(t, len(p.groups), func(i int) error {
		p.groups[i].Stop()
		next := &standin.WorkerGroup{Script: p.groups[i].Script}
		if _, err := next.Start(p.groups[i].Addr()); err != nil {
			return err
		}
		t.Cleanup(next.Stop)
		p.groups[i], all = next, append(all, next)
		return nil
	})
	w.stop()
	var statements []string
	for _, group := range all {
		for _, q := range group.Queries() {
			statements = append(statements, q.Statement)
		}
	}
	checkRunOnce(t, statements)
}

// Guards against the same on ClickHouse engines.
func TestWriteRunsTwiceAsClickHouseEngineIsReplaced(t *testing.T) {
	cluster := startCluster(t, 3, func(int, int, string) standin.Fault { return standin.Fault{Delay: replacedRunTime} })
	all := append([]*standin.ClickHouse(nil), cluster.engines...)
	w := &writers{t: t, pgAddr: cluster.pgAddr, httpAddr: cluster.httpAddr}
	w.start()
	replaceEngines(t, len(cluster.engines), func(i int) error {
		cluster.engines[i].Stop()
		next := &standin.ClickHouse{Clock: cluster.engines[i].Clock, Script: cluster.engines[i].Script}
		if _, err := next.Start(cluster.engineAddrs[i]); err != nil {
			return err
		}
		t.Cleanup(next.Stop)
		cluster.engines[i], all = next, append(all, next)
		return nil
	})
	w.stop()
	var statements []string
	for _, engine := range all {
		for _, run := range engine.Runs() {
			statements = append(statements, run.Text)
		}
	}
	checkRunOnce(t, statements)
}

// Guards against writes that are lost and results that are foreign: the program is killed and comes up at its addresses with the same
// configuration. Worker groups would take requests under ids and idempotency keys of the old process for the old requests.
func TestNewProcessUsesIDsOfOldOne(t *testing.T) {
	const requests = 5
	var mu sync.Mutex
	statementsByID, statementsByKey := map[string]string{}, map[string]string{}
	p := startLimited(t, 64, func(q standin.Query) standin.Answer {
		mu.Lock()
		defer mu.Unlock()
		if statement := statementsByID[q.ID]; statement != "" {
			t.Errorf("id %s stands for %q and %q", q.ID, statement, q.Statement)
		}
		if statement := statementsByKey[q.ReplayKey]; statement != "" && q.ReplayKey != "" {
			t.Errorf("idempotency key %s stands for %q and %q", q.ReplayKey, statement, q.Statement)
		}
		statementsByID[q.ID], statementsByKey[q.ReplayKey] = q.Statement, q.Statement
		return standin.Answer{}
	})
	for process := range 2 {
		if process > 0 {
			p.restart()
		}
		for n := range requests {
			for _, text := range []string{"INSERT INTO sales_1.t VALUES (%d%d)", "SELECT a FROM sales_1.t WHERE b = %d%d"} {
				if !p.sendClickHouse("/?user=acme", fmt.Sprintf(text, process, n), 10*time.Second) {
					t.Errorf("request %d of process %d is not served", n, process)
				}
			}
		}
	}
	if len(statementsByID) != 4*requests {
		t.Errorf("%d ids are used, want %d", len(statementsByID), 4*requests)
	}
}
