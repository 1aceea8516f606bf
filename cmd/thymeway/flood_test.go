package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"thymeway/internal/standin"
)

// flood is what one client sends on one connection as fast as it can. If the connection ends, it opens another one.
type flood struct {
	name    string
	front   front
	start   []byte             // sent once on each connection
	request func(n int) []byte // the n-th request
}

// query returns a query message.
func query(text string) []byte { return append(queryHeader(len(text)+1), append([]byte(text), 0)...) }

// post returns a request of a ClickHouse client.
func post(target, body string) []byte {
	return fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", target, len(body), body)
}

// floods returns the floods of both protocols.
func floods() []flood {
	lookup := func(n int, fields, text string) []byte {
		return query(fmt.Sprintf("/* verb=lookup,txn=%016x,limit=3000%s */ %s", n+1000000, fields, text))
	}
	return []flood{
		{"empty queries", postgresFront, startupMessage, func(int) []byte { return query(";") }},
		{"syncs", postgresFront, startupMessage, func(int) []byte { return []byte{'S', 0, 0, 0, 4} }},
		{"copy data", postgresFront, startupMessage, func(int) []byte { return []byte{'d', 0, 0, 0, 4} }},
		{"extended queries", postgresFront, startupMessage, func(int) []byte { return []byte{'F', 0, 0, 0, 4} }},
		{"queries without fields", postgresFront, startupMessage, func(n int) []byte { return query(fmt.Sprint("SELECT ", n)) }},
		{"unknown classes", postgresFront, startupMessage, func(n int) []byte {
			return query(fmt.Sprintf("/* verb=c%d,txn=%016x,limit=3000,team=acme */ SELECT 1", n, n))
		}},
		{"new table groups", postgresFront, startupMessage, func(n int) []byte {
			return lookup(n, ",team=acme", fmt.Sprintf("SELECT a%d FROM sales_%d.t", n, n))
		}},
		{"new tenants", postgresFront, startupMessage, func(n int) []byte {
			return lookup(n, fmt.Sprintf(",team=t%d", n), "SELECT a FROM sales_1.t")
		}},
		{"new order keys", postgresFront, startupMessage, func(n int) []byte {
			return query(fmt.Sprintf("/* verb=load,txn=%016x,limit=9000,team=acme,unique=u%d,item=k%d */ INSERT INTO sales_1.t VALUES (1)", n+2000000, n, n))
		}},
		{"noise", postgresFront, nil, func(int) []byte { return []byte("GET / HTTP/1.0\r\n\r\n") }},
		{"pings", clickHouseFront, nil, func(int) []byte { return []byte("GET /ping HTTP/1.1\r\nHost: x\r\n\r\n") }},
		{"unknown paths", clickHouseFront, nil, func(n int) []byte { return fmt.Appendf(nil, "GET /p%d HTTP/1.1\r\nHost: x\r\n\r\n", n) }},
		{"local answers", clickHouseFront, nil, func(n int) []byte { return post("/?user=acme", "SELECT version()") }},
		{"new queries", clickHouseFront, nil, func(n int) []byte {
			return post(fmt.Sprintf("/?user=acme&query_id=q%d&session_id=s%d&p%d=1", n, n, n), fmt.Sprintf("SELECT a%d FROM sales_%d.t", n, n))
		}},
		{"new users", clickHouseFront, nil, func(n int) []byte { return post(fmt.Sprintf("/?user=u%d", n), "SELECT 1") }},
		{"unsound queries", clickHouseFront, nil, func(n int) []byte { return post("/?user=acme", fmt.Sprintf("SELECT (((%d", n)) }},
		{"unknown formats", clickHouseFront, nil, func(n int) []byte { return post("/?user=acme", fmt.Sprintf("SELECT 1 FORMAT F%d", n)) }},
		{"new time zones", clickHouseFront, nil, func(n int) []byte {
			return post("/?user=acme&param_p=2026-01-01+00:00:00", fmt.Sprintf("SELECT {p:DateTime('Zone/Z%d')}", n))
		}},
		{"kills", clickHouseFront, nil, func(n int) []byte {
			return post("/?user=acme", fmt.Sprintf("KILL QUERY WHERE query_id = 'k%d'", n))
		}},
		{"large unsound queries", clickHouseFront, nil, func(n int) []byte {
			return post("/?user=acme", fmt.Sprintf("SELECT %d", n)+strings.Repeat(" + a.b(", 60000))
		}},
		{"new tables, no time", postgresFront, startupMessage, func(n int) []byte {
			return query(fmt.Sprintf("/* verb=lookup,txn=%016x,limit=1,team=acme */ SELECT a%d FROM sales_%d.t", n+1000000, n, n))
		}},
		{"new keys, no time", postgresFront, startupMessage, func(n int) []byte {
			return query(fmt.Sprintf("/* verb=load,txn=%016x,limit=1,team=acme,unique=u%d,item=k%d */ INSERT INTO sales_%d.t VALUES (1)", n+2000000, n, n, n))
		}},
		{"new tables and keys, no time", clickHouseFront, nil, func(n int) []byte {
			return post(fmt.Sprintf("/?user=acme&max_execution_time=0.001&query_id=q%d&order_key=k%d", n, n), fmt.Sprintf("INSERT INTO sales_%d.t VALUES (1)", n))
		}},
		{"many parameters", clickHouseFront, nil, func(n int) []byte {
			return post("/?user=acme&"+strings.Repeat("x", 100)+strings.Repeat("&a=1", 10000), "SELECT 1")
		}},
	}
}

// answerCounter counts the answers that a client has read, by a text that stands once in each.
type answerCounter struct {
	mark []byte
	rest []byte
	read atomic.Int64
}

// Write implements io.Writer.
func (a *answerCounter) Write(b []byte) (int, error) {
	a.rest = append(a.rest, b...)
	a.read.Add(int64(bytes.Count(a.rest, a.mark)))
	if last := bytes.LastIndex(a.rest, a.mark); last >= 0 {
		a.rest = a.rest[last+len(a.mark):]
	}
	a.rest = append([]byte(nil), a.rest[max(len(a.rest)-len(a.mark), 0):]...)
	return len(b), nil
}

// send floods the program until stop is closed and returns the number of requests sent and of connections opened. At most window
// requests are unanswered at a time; 0 means any number.
func (f flood) send(p *limitedProgram, window int, stop chan struct{}) (sent, conns int) {
	addr := map[front]string{clickHouseFront: p.httpAddr, postgresFront: p.pgAddr}[f.front]
	mark := map[front]string{clickHouseFront: "HTTP/1.1 ", postgresFront: "Z\x00\x00\x00\x05I"}[f.front]
	stopped := func() bool {
		select {
		case <-stop:
			return true
		default:
			return false
		}
	}
	for !stopped() {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			return sent, conns
		}
		conns++
		answers, ended := &answerCounter{mark: []byte(mark)}, make(chan struct{})
		go func() {
			defer close(ended)
			_, _ = io.Copy(answers, c)
		}()
		_, _ = c.Write(f.start)
		for first := sent; err == nil && !stopped(); {
			if window > 0 && int64(sent-first)-answers.read.Load() >= int64(window) {
				select {
				case <-ended:
					err = io.EOF
				case <-time.After(100 * time.Microsecond):
				}
				continue
			}
			var batch bytes.Buffer
			for n := 0; batch.Len() < 32<<10 && (window == 0 || n < max(window/2, 1)); n++ {
				batch.Write(f.request(sent))
				sent++
			}
			_, err = c.Write(batch.Bytes())
		}
		_ = c.Close()
		<-ended
	}
	return sent, conns
}

// Figures of the floods.
const (
	floodMemoryMB  = 48
	floodDuration  = 250 * time.Millisecond
	floodWindow    = 64                     // requests unanswered at a time, of clients that wait for answers
	answerBound    = 600 * time.Millisecond // latency target of the class that the other clients use
	otherInterval  = 20 * time.Millisecond
	otherQueryTime = 5 * time.Millisecond
)

// Guards against other clients that get their answers late or never, and against memory over the limit, while one client sends small
// or unsound requests as fast as it can, also under ever new names, whether it waits for answers or not.
func TestFloodDelaysOtherClients(t *testing.T) {
	p := startLimited(t, floodMemoryMB, func(standin.Query) standin.Answer { return standin.Answer{RunTime: otherQueryTime} })
	for _, f := range floods() {
		for _, window := range []int{0, floodWindow} {
			stop := make(chan struct{})
			var all sync.WaitGroup
			var sent, conns int
			all.Go(func() { sent, conns = f.send(p, window, stop) })
			latencies, failures := p.otherClients(floodDuration)
			memoryMB := ownMemoryMB(t, p.pid)
			close(stop)
			all.Wait()
			slowest := slices.Max(latencies)
			t.Logf("%s, window %d: %d sent on %d connections, %d other answers, at most %v, %.0f MB", f.name, window, sent, conns,
				len(latencies), slowest, memoryMB)
			if sent == 0 || slowest > answerBound || len(failures) > 0 || memoryMB > floodMemoryMB {
				t.Errorf("%s, window %d: %d sent, other answers take up to %v, want %v; %d fail: %v; %.0f MB of %d", f.name, window, sent,
					slowest, answerBound, len(failures), failures, memoryMB, floodMemoryMB)
			}
		}
	}
}

// otherClients sends a small request over each protocol every 20 ms and returns how long the answers took.
func (p *limitedProgram) otherClients(duration time.Duration) (latencies []time.Duration, failures []error) {
	client := &http.Client{Timeout: 10 * time.Second}
	ctx, cancel := context.WithTimeout(context.Background(), duration+10*time.Second)
	defer cancel()
	conn, err := pgx.Connect(ctx, pgURL(p.pgAddr))
	if err != nil {
		return []time.Duration{0}, []error{err}
	}
	defer conn.Close(ctx)
	for end := time.Now().Add(duration); time.Now().Before(end); p.requests++ {
		from := time.Now()
		r, err := client.Post("http://"+p.httpAddr+"/?user=acme", "text/plain", strings.NewReader("SELECT a FROM sales_1.t"))
		if err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_ = r.Body.Close()
			if r.StatusCode != 200 {
				err = fmt.Errorf("status %d", r.StatusCode)
			}
		}
		latencies = append(latencies, time.Since(from))
		if err != nil {
			failures = append(failures, err)
		}
		from = time.Now()
		_, err = conn.Exec(ctx, fmt.Sprintf("/* verb=lookup,txn=%016x,limit=3000,team=acme,cpu=5 */ SELECT a FROM sales_2.t", p.requests+1))
		latencies = append(latencies, time.Since(from))
		if err != nil {
			failures = append(failures, err)
		}
		time.Sleep(otherInterval)
	}
	return latencies, failures
}
