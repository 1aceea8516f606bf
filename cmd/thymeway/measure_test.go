package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"thymeway/internal/standin"
)

// BenchmarkProtocols requests the same small result over each client protocol, and directly from the engine, with 1 and 32
// concurrent clients. The CPU time is that of the whole process: clients, coordinator and fake engine.
func BenchmarkProtocols(b *testing.B) {
	for _, clients := range []int{1, 32} {
		for _, route := range []string{"direct", "postgres", "clickhouse"} {
			b.Run(fmt.Sprintf("%s-%d", route, clients), func(b *testing.B) {
				cluster := startCluster(b, 1, nil)
				requests := requestFuncs(b, cluster, route, clients)
				var mu sync.Mutex
				var latencies []time.Duration
				var next atomic.Int64
				before := processCPUTime()
				b.ResetTimer()
				var done sync.WaitGroup
				for c := range clients {
					done.Add(1)
					go func() {
						defer done.Done()
						var ownLatencies []time.Duration
						for n := next.Add(1); n <= int64(b.N); n = next.Add(1) {
							from := time.Now()
							if err := requests[c](n); err != nil {
								b.Error(err)
								return
							}
							ownLatencies = append(ownLatencies, time.Since(from))
						}
						mu.Lock()
						latencies = append(latencies, ownLatencies...)
						mu.Unlock()
					}()
				}
				done.Wait()
				b.StopTimer()
				slices.Sort(latencies)
				if len(latencies) > 0 {
					b.ReportMetric(float64(latencies[len(latencies)/2].Microseconds()), "p50-us")
					b.ReportMetric(float64(latencies[len(latencies)*99/100].Microseconds()), "p99-us")
				}
				b.ReportMetric(float64((processCPUTime()-before).Microseconds())/float64(b.N), "cpu-us/op")
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "op/s")
			})
		}
	}
}

// processCPUTime returns the user and system CPU time of this process.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// requestFuncs returns one function per client, each with a connection of its own, that sends request n and reads its result.
func requestFuncs(b *testing.B, cluster *testCluster, route string, clients int) (all []func(n int64) error) {
	const text = "SELECT a, b, c FROM sales_3.t WHERE id = %d"
	for range clients {
		switch route {
		case "postgres":
			conn, err := pgx.Connect(context.Background(), pgURL(cluster.pgAddr))
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(func() { _ = conn.Close(context.Background()) })
			all = append(all, func(n int64) error {
				var x, y, z string
				return conn.QueryRow(context.Background(),
					fmt.Sprintf("/* verb=lookup,txn=%016x,limit=3000,team=acme,cpu=5 */ "+text, n, n)).Scan(&x, &y, &z)
			})
		default:
			addr := cluster.httpAddr
			if route == "direct" {
				addr = cluster.engineAddrs[0]
			}
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			b.Cleanup(client.CloseIdleConnections)
			all = append(all, func(n int64) error {
				r, err := client.Post("http://"+addr+"/?user=acme", "text/plain", strings.NewReader(fmt.Sprintf(text, n)))
				if err != nil {
					return err
				}
				defer r.Body.Close()
				if _, err := io.Copy(io.Discard, r.Body); err != nil || r.StatusCode != 200 {
					return fmt.Errorf("%d %v", r.StatusCode, err)
				}
				return nil
			})
		}
	}
	return all
}

// BenchmarkClientMemory reports the heap memory of a ClickHouse client, measured with 300 idle connections and with 300 open
// requests.
func BenchmarkClientMemory(b *testing.B) {
	heap := func() float64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.GC()
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc) / 1024
	}
	for _, text := range []struct{ name, text string }{{"idle", "GET /ping HTTP/1.1\r\nHost: x\r\n\r\n"},
		{"open", "POST /?user=acme HTTP/1.1\r\nHost: x\r\nContent-Length: 38\r\n\r\nSELECT a FROM sales_17.orders -- slow  "}} {
		b.Run(text.name, func(b *testing.B) {
			for b.Loop() {
				cluster := startCluster(b, 1,
					func(int, int, string) standin.Fault { return standin.Fault{Delay: 5 * time.Second} })
				before := heap()
				var conns []net.Conn
				for range 300 {
					c, err := net.Dial("tcp", cluster.httpAddr)
					if err != nil {
						b.Fatal(err)
					}
					conns = append(conns, c)
					if _, err := c.Write([]byte(text.text)); err != nil {
						b.Fatal(err)
					}
					if text.name == "idle" {
						if _, err := bufio.NewReader(c).ReadString('\n'); err != nil {
							b.Fatal(err)
						}
					}
				}
				time.Sleep(300 * time.Millisecond)
				b.ReportMetric((heap()-before)/300, "KB/client")
				for _, c := range conns {
					_ = c.Close()
				}
				cluster.stop()
			}
		})
	}
}
