package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"thymeway/internal/standin"
)

// runsOf returns how often worker groups have got a query with the text.
func (p *limitedProgram) runsOf(text string) (runs int) {
	for _, g := range p.groups {
		for _, q := range g.Queries() {
			if strings.Contains(q.Statement, text) {
				runs++
			}
		}
	}
	return runs
}

// sendPostgres sends a query on a connection of its own, leaves after a time and reports whether it was served.
func (p *limitedProgram) sendPostgres(text string, leaveAfter time.Duration) bool {
	ctx, cancel := context.WithTimeout(context.Background(), leaveAfter)
	defer cancel()
	conn, err := pgx.Connect(ctx, pgURL(p.pgAddr))
	if err != nil {
		p.t.Fatal(err)
	}
	defer conn.Close(context.Background())
	_, err = conn.Exec(ctx, text)
	return err == nil
}

// sendClickHouse does the same over ClickHouse's interface.
func (p *limitedProgram) sendClickHouse(target, text string, leaveAfter time.Duration) bool {
	client := &http.Client{Timeout: leaveAfter, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Post("http://"+p.httpAddr+target, "text/plain", strings.NewReader(text))
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == 200
}

// Guards against a second effect: a request of a class that must not run twice comes again under the same id, while it runs after its
// client has left, or after it has run. Requests that may be repeated at will are served again.
func TestRequestRunsTwiceWhenItComesAgain(t *testing.T) {
	const runTime, tries = 300 * time.Millisecond, 4
	p := startLimited(t, 64, func(standin.Query) standin.Answer { return standin.Answer{RunTime: runTime} },
		`"idempotency": "deduplicated"`, `"idempotency": "at_most_once"`)
	for i, leaveAfter := range []time.Duration{100 * time.Millisecond, 5 * time.Second} {
		for try := range tries {
			wait := leaveAfter
			if try > 0 {
				wait = 5 * time.Second
			}
			p.sendPostgres(fmt.Sprintf("/* verb=load,txn=%016x,limit=5000,team=acme,item=a */ INSERT INTO sales_1.t VALUES (1%d)", i+1, i), wait)
			p.sendClickHouse(fmt.Sprintf("/?user=acme&query_id=q%d&order_key=b", i), fmt.Sprintf("INSERT INTO sales_2.t VALUES (2%d)", i), wait)
			p.sendClickHouse("/?user=acme&order_key=c", fmt.Sprintf(
				"/* verb=load,txn=%016x,limit=5000,team=acme,item=c */ INSERT INTO sales_3.t VALUES (3%d)", i+101, i), wait)
			read := fmt.Sprintf("/* verb=lookup,txn=%016x,limit=2500,team=acme */ SELECT a FROM sales_4.t WHERE b = 4%d", i+201, i)
			if !p.sendPostgres(read, 5*time.Second) || !p.sendClickHouse("/?user=acme&query_id=r", "SELECT 1 FROM sales_5.t", 5*time.Second) {
				t.Errorf("a read is not served on try %d", try)
			}
		}
		// A query_id may be used again once its query is answered, as in ClickHouse.
		for text, want := range map[string]int{"VALUES (1%d)": 1, "VALUES (2%d)": 1 + i*(tries-1), "VALUES (3%d)": 1} {
			if runs := p.runsOf(fmt.Sprintf(text, i)); runs != want {
				t.Errorf("%s, client leaves after %v: ran %d times, want %d", fmt.Sprintf(text, i), leaveAfter, runs, want)
			}
		}
	}
}
