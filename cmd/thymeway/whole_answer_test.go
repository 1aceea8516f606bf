package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"thymeway/internal/standin"
)

// Figures of the large answers.
const (
	largeAnswerRows   = 400000
	smallReadBuffer   = 64 << 10 // of the client's system, so that most of an answer waits in the program
	readsPerSecond    = 50
	bytesPerSlowRead  = 64 << 10 // the answer takes some 3 s
	shortKeepAliveSec = 1
)

// slowReader reads at a limited rate.
type slowReader struct{ io.Reader }

func (r slowReader) Read(b []byte) (int, error) {
	time.Sleep(time.Second / readsPerSecond)
	return r.Reader.Read(b[:min(len(b), bytesPerSlowRead)])
}

// Guards against answers that the program cuts off: the connection is to be closed while the client still reads, as the client asked for
// that, the connection counts as idle, the program shuts down, or the next request is invalid.
func TestAnswerIsCutOffByClose(t *testing.T) {
	for _, c := range []struct {
		name, headers string
		during        func(cluster *testCluster, conn net.Conn) // called when the answer has begun
	}{
		{"client asks for it", "Connection: close\r\n", func(*testCluster, net.Conn) {}},
		{"idle", "", func(*testCluster, net.Conn) {}},
		{"shutdown", "", func(cluster *testCluster, _ net.Conn) { go cluster.stop() }},
		{"invalid request behind it", "", func(_ *testCluster, conn net.Conn) { _, _ = io.WriteString(conn, "\x00\x00\r\n\r\n") }},
		{"request that is refused behind it", "", func(_ *testCluster, conn net.Conn) {
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nExpect: nothing\r\nContent-Length: 1\r\n\r\n")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			cluster := startClusterWith(t, 1, fmt.Sprintf("keep_alive_s = %d\n", shortKeepAliveSec), nil)
			conn, err := net.Dial("tcp", cluster.httpAddr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_ = conn.(*net.TCPConn).SetReadBuffer(smallReadBuffer)
			text := fmt.Sprintf("SELECT number FROM numbers(%d)", largeAnswerRows)
			if _, err := fmt.Fprintf(conn, "POST /?user=acme&default_format=JSONEachRow HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s",
				c.headers, len(text), text); err != nil {
				t.Fatal(err)
			}
			input := bufio.NewReader(slowReader{conn})
			r, err := http.ReadResponse(input, nil)
			if err != nil {
				t.Fatal(err)
			}
			c.during(cluster, conn)
			body, err := io.ReadAll(r.Body)
			if rows := strings.Count(string(body), "\n"); err != nil || r.StatusCode != 200 || rows != largeAnswerRows {
				t.Errorf("status %d, %d rows of %d in %d bytes, %v", r.StatusCode, rows, largeAnswerRows, len(body), err)
			}
		})
	}
}

// Guards against a session that is ended by its own answer: a PostgreSQL client gets a large result of a ClickHouse engine, more than a
// client may leave unread.
func TestLargeResultEndsSession(t *testing.T) {
	cluster := startCluster(t, 1, nil)
	conn, err := pgx.Connect(context.Background(), pgURL(cluster.pgAddr))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close(context.Background())
	for try := range 3 {
		rows, err := conn.Query(context.Background(), fmt.Sprintf(
			"/* verb=report,txn=%016x,limit=15000,team=acme */ SELECT number FROM numbers(%d)", try+1, largeAnswerRows))
		if err != nil {
			t.Fatal(err)
		}
		count := 0
		for rows.Next() {
			count++
		}
		if rows.Err() != nil || count != largeAnswerRows {
			t.Errorf("%d rows of %d, %v", count, largeAnswerRows, rows.Err())
		}
	}
}

// Guards against a process that is killed for its memory: many clients read large answers slowly, over kept and over fresh connections.
// Those for which there is no memory are refused, and no answer that has begun is cut off.
func TestSlowReadersExceedProcessMemory(t *testing.T) {
	for _, interval := range []time.Duration{0, 50 * time.Millisecond} { // between two clients
		t.Run(interval.String(), func(t *testing.T) { playSlowReaders(t, interval) })
	}
}

// playSlowReaders plays slow clients that come one after the other.
func playSlowReaders(t *testing.T, interval time.Duration) {
	const memoryMB, clients, rows = 192, 60, 400000
	engine := &standin.ClickHouse{}
	addr, err := engine.Start("")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(engine.Stop)
	p := startLimitedWith(t, memoryMB, []string{listedGroup("ch-1", addr)}, "[kind std-12]\nprotocol = clickhouse\n")
	var all sync.WaitGroup
	var served, refused atomic.Int64
	for i := range clients {
		all.Go(func() {
			conn, err := net.Dial("tcp", p.httpAddr)
			if err != nil {
				t.Error(err)
				return
			}
			defer conn.Close()
			_ = conn.(*net.TCPConn).SetReadBuffer(smallReadBuffer)
			text := fmt.Sprintf("SELECT number FROM numbers(%d)", rows)
			fmt.Fprintf(conn, "POST /?user=acme&default_format=JSONEachRow HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s",
				[]string{"", "Connection: close\r\n"}[i%2], len(text), text)
			r, err := http.ReadResponse(bufio.NewReader(slowReader{conn}), nil)
			if err != nil {
				t.Error(err)
				return
			}
			body, err := io.ReadAll(r.Body)
			switch {
			case r.StatusCode == 503, r.StatusCode == 500 && r.Header.Get("X-ClickHouse-Exception-Code") == "241":
				refused.Add(1)
			case err != nil || r.StatusCode != 200 || bytes.Count(body, []byte{'\n'}) != rows:
				t.Errorf("status %d, %d bytes, %v", r.StatusCode, len(body), err)
			default:
				served.Add(1)
			}
		})
		time.Sleep(interval)
	}
	done := make(chan struct{})
	go func() {
		all.Wait()
		close(done)
	}()
	peakMB := 0.0
	for open := true; open; {
		peakMB = max(peakMB, ownMemoryMB(t, p.pid))
		select {
		case <-done:
			open = false
		case <-time.After(sampleEvery):
		}
	}
	t.Logf("peak %.0f MB of %d, %d served, %d refused", peakMB, memoryMB, served.Load(), refused.Load())
	if peakMB > memoryMB || served.Load() == 0 {
		t.Errorf("peak %.0f MB of %d, %d served", peakMB, memoryMB, served.Load())
	}
}
