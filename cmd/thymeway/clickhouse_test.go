package main

import (
	"bytes"
	"context"
	"database/sql"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/ClickHouse/clickhouse-go/v2"
	"github.com/google/uuid"
	"github.com/jackc/pgx/v5"
	"github.com/shopspring/decimal"

	"thymeway/internal/config"
	"thymeway/internal/standin"
)

// testCluster is the program, run within the test process, with fake ClickHouse engines.
type testCluster struct {
	t                testing.TB
	pgAddr, httpAddr string
	engineAddrs      []string // addresses of the engines, in the same order
	engines          []*standin.ClickHouse
	stop             func()
}

// freeAddr returns a local address on which nothing listens.
func freeAddr(t testing.TB) string {
	l, addr := listen(t)
	_ = l.Close()
	return addr
}

// startCluster starts the program with the given number of ClickHouse engines, and waits until it serves clients.
func startCluster(t testing.TB, engines int, script func(engine, n int, text string) standin.Fault) *testCluster {
	t.Helper()
	return startClusterWith(t, engines, "", script)
}

// startClusterWith is like startCluster, with further lines in the section [clickhouse] of the local settings.
func startClusterWith(t testing.TB, engines int, settings string, script func(engine, n int, text string) standin.Fault) *testCluster {
	t.Helper()
	cluster := &testCluster{t: t, pgAddr: freeAddr(t), httpAddr: freeAddr(t)}
	var groups []string
	clock := &standin.LogicalClock{}
	for i := range engines {
		e := &standin.ClickHouse{Clock: clock}
		if script != nil {
			e.Script = func(n int, text string) standin.Fault { return script(i, n, text) }
		}
		addr, err := e.Start("")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Stop)
		cluster.engines, cluster.engineAddrs = append(cluster.engines, e), append(cluster.engineAddrs, addr)
		groups = append(groups, listedGroup(fmt.Sprint("ch-", i), addr))
	}
	dir := t.TempDir()
	configFile, localFile := filepath.Join(dir, "config.json"), filepath.Join(dir, "thymeway.ini")
	writeConfig(t, configFile, groups, "127.0.0.1:5499", cluster.pgAddr, "127.0.0.1:8599", freeAddr(t))
	if err := os.WriteFile(localFile,
		[]byte("[clickhouse]\nlisten = "+cluster.httpAddr+"\n"+settings+"[kind std-12]\nprotocol = clickhouse\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("EDGE_CONFIG", configFile)
	read := func() (config.Config, error) { return config.FromEnvironment(os.Getenv, localFile) }
	c, err := read()
	if err != nil {
		t.Fatal(err)
	}
	signals, ended := make(chan os.Signal, 4), make(chan error, 1)
	go func() { ended <- serve(c, read, signals) }()
	once := sync.Once{}
	cluster.stop = func() {
		once.Do(func() {
			signals <- os.Interrupt
			select {
			case err := <-ended:
				if err != nil {
					t.Error(err)
				}
			case <-time.After(60 * time.Second):
				t.Error("the program does not end")
			}
		})
	}
	t.Cleanup(cluster.stop)
	for range 500 {
		if r, err := http.Get("http://" + cluster.httpAddr + "/ping"); err == nil {
			_ = r.Body.Close()
			return cluster
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the ClickHouse interface does not answer")
	return nil
}

// openClient opens a connection of the ClickHouse client library to the coordinator.
func (c *testCluster) openClient(compression clickhouse.CompressionMethod) clickhouse.Conn {
	c.t.Helper()
	conn, err := clickhouse.Open(&clickhouse.Options{Protocol: clickhouse.HTTP, Addr: []string{c.httpAddr},
		Auth:        clickhouse.Auth{Database: "default", Username: "acme"},
		Compression: &clickhouse.Compression{Method: compression}, DialTimeout: 20 * time.Second, ReadTimeout: 20 * time.Second})
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// runs returns the runs of all engines.
func (c *testCluster) runs() (all []standin.Run) {
	for _, e := range c.engines {
		all = append(all, e.Runs()...)
	}
	return all
}

// With each compression method, the ClickHouse client library can connect, pass parameters, read all types, insert a batch and
// cancel a query through its context.
func TestClickHouseClient(t *testing.T) {
	for _, method := range []clickhouse.CompressionMethod{clickhouse.CompressionNone, clickhouse.CompressionLZ4,
		clickhouse.CompressionZSTD, clickhouse.CompressionGZIP} {
		t.Run(method.String(), func(t *testing.T) {
			cluster := startCluster(t, 1, func(_, _ int, text string) standin.Fault {
				if strings.Contains(text, "slow") {
					return standin.Fault{Delay: time.Minute}
				}
				return standin.Fault{}
			})
			c, ctx := cluster.openClient(method), context.Background()
			var n uint64
			rows, err := c.Query(ctx, "SELECT number FROM numbers(1000)")
			if err != nil {
				t.Fatal(err)
			}
			sum := uint64(0)
			for rows.Next() {
				if err := rows.Scan(&n); err != nil {
					t.Fatal(err)
				}
				sum += n
			}
			if rows.Err() != nil || sum != 499500 {
				t.Errorf("sum %d, %v", sum, rows.Err())
			}
			var s, l, e string
			var u uint64
			var i int32
			var f float64
			var day, at, at3 time.Time
			var null *string
			var dec decimal.Decimal
			var id uuid.UUID
			var b bool
			row, err := c.Query(ctx, "SELECT * FROM typed WHERE a = {a:String}", clickhouse.Named("a", `it's \ "x" -- y`))
			if err != nil {
				t.Fatal(err)
			}
			if !row.Next() {
				t.Fatal(row.Err())
			}
			if err := row.Scan(&s, &u, &i, &f, &day, &at, &at3, &null, &l, &e, &dec, &id, &b); err != nil {
				t.Fatal(err)
			}
			_ = row.Close()
			if s != "it's\ta \\ tab" || u != 18446744073709551615 || i != -5 || f != 1.5 ||
				day.Format("2006-01-02") != "2026-12-01" || at.Unix() != 1796120430 ||
				at3.UnixMilli() != 1796120430125 || null != nil || l != "low" || e != "b" ||
				fmt.Sprint(dec) != "-12.3" || fmt.Sprint(id) != "61f0c404-5cb3-11e7-907b-a6006ad3dba0" || !b {
				t.Error(s, u, i, f, day, at, at3, null, l, e, dec, id, b)
			}
			if r := cluster.runs(); r[len(r)-1].Params["a"] == "" {
				t.Errorf("the engine got %+v", r[len(r)-1])
			}
			batch, err := c.PrepareBatch(ctx, "INSERT INTO sales_3.t (a, b)")
			if err != nil {
				t.Fatal(err)
			}
			for k := range 10 {
				if err := batch.Append(uint32(k), fmt.Sprint("row ", k)); err != nil {
					t.Fatal(err)
				}
			}
			if err := batch.Send(); err != nil {
				t.Fatal(err)
			}
			if r := cluster.runs(); !strings.HasPrefix(r[len(r)-1].Text, "INSERT INTO sales_3.t") ||
				!strings.Contains(r[len(r)-1].Text+r[len(r)-1].Data, "row 9") || r[len(r)-1].Token == "" {
				t.Errorf("the engine got %.200q", fmt.Sprint(r[len(r)-1]))
			}
			short, cancel := context.WithTimeout(ctx, 300*time.Millisecond)
			defer cancel()
			if err := c.Exec(short, "SELECT slow FROM sales_3.t"); err == nil {
				t.Error("a cancelled query succeeded")
			}
			cluster.stop()
			r := cluster.runs()
			if last := r[len(r)-1]; !last.Killed || last.EndedAt == 0 {
				t.Errorf("the query goes on running after its client cancelled it: %+v", last)
			}
		})
	}
}

// Guards against errors that reach a client although another engine can run the query, and against invalid answers that are
// passed on as results.
func TestClickHouseEngineFaults(t *testing.T) {
	faults := map[string]standin.Fault{"too many queries": {TooManyQueries: true}, "exception": {ExceptionCode: 241},
		"late exception": {LateException: true}, "truncated row": {TruncatedRow: true},
		"connection reset": {ConnReset: true}, "malformed answer": {MalformedAnswer: true},
		"connection closed":          {CloseConn: true, Delay: 400 * time.Millisecond},
		"connection closed, no kill": {CloseConn: true, IgnoreKill: true, Delay: 400 * time.Millisecond}}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			var mu sync.Mutex
			faultDue := true
			cluster := startCluster(t, 2, func(_, _ int, text string) standin.Fault {
				mu.Lock()
				defer mu.Unlock()
				if faultDue && strings.Contains(text, "numbers") {
					faultDue = false
					return fault
				}
				return standin.Fault{}
			})
			r, err := http.Post("http://"+cluster.httpAddr+"/?user=acme", "text/plain",
				strings.NewReader("SELECT number FROM numbers(3) FORMAT CSV"))
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(r.Body)
			_ = r.Body.Close()
			if err != nil || r.StatusCode != 200 || string(body) != "0\n1\n2\n" {
				t.Errorf("%d %q %v", r.StatusCode, body, err)
			}
			checkNoOverlap(t, cluster)
		})
	}
}

// checkNoOverlap checks that no two runs of one request overlap, on the same or on different engines.
func checkNoOverlap(t *testing.T, cluster *testCluster) {
	t.Helper()
	all := cluster.runs()
	slices.SortFunc(all, func(a, b standin.Run) int { return a.StartedAt - b.StartedAt })
	last := map[string]standin.Run{}
	for _, r := range all {
		id, _, _ := strings.Cut(r.ID, "-")
		if previous, ok := last[id]; ok && (previous.EndedAt == 0 || previous.EndedAt > r.StartedAt) {
			t.Errorf("two concurrent runs of %s: %+v and %+v", id, previous, r)
		}
		last[id] = r
	}
}

// The same statement returns the same result over both protocols, and the statements of one order key run one after another,
// whichever protocol they arrive over.
func TestMixedProtocols(t *testing.T) {
	cluster := startCluster(t, 1, func(_, n int, text string) standin.Fault {
		if strings.HasPrefix(text, "INSERT") {
			return standin.Fault{Delay: 30 * time.Millisecond}
		}
		return standin.Fault{}
	})
	ctx := context.Background()
	conn, err := pgx.Connect(ctx, pgURL(cluster.pgAddr))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close(ctx)
	var a, b, c string
	text := "SELECT a, b, c FROM sales_3.t"
	if err := conn.QueryRow(ctx,
		"/* verb=lookup,txn=9b1f03aa5c7e2d41,limit=2000,team=acme */ "+text).Scan(&a, &b, &c); err != nil || a+b+c != "xyz" {
		t.Errorf("%s%s%s, %v", a, b, c, err)
	}
	post := func(target, text string) (int, string) {
		r, err := http.Post("http://"+cluster.httpAddr+"/?user=acme"+target, "text/plain", strings.NewReader(text))
		if err != nil {
			t.Error(err)
			return 0, ""
		}
		defer r.Body.Close()
		body, _ := io.ReadAll(r.Body)
		return r.StatusCode, string(body)
	}
	if status, body := post("", text); status != 200 || body != "x\ty\tz\n" {
		t.Errorf("%d %q", status, body)
	}
	// Loads of one order key, alternately over PostgreSQL and ClickHouse. They are sent without waiting for earlier ones to
	// end, so that they queue in the coordinator.
	var done sync.WaitGroup
	const loads = 12
	for i := range loads {
		done.Add(1)
		load := fmt.Sprintf("INSERT INTO sales_3.t VALUES (%d)", i)
		sent := make(chan struct{})
		go func() {
			defer done.Done()
			if i%2 == 0 {
				loadConn, err := pgx.Connect(ctx, pgURL(cluster.pgAddr))
				close(sent)
				if err != nil {
					t.Error(err)
					return
				}
				defer loadConn.Close(ctx)
				if _, err := loadConn.Exec(ctx,
					fmt.Sprintf("/* verb=load,txn=%016x,limit=15000,team=acme,unique=u%d,item=k */ %s", 0xabc0+i, i,
						load)); err != nil {
					t.Error(err)
				}
				return
			}
			close(sent)
			if status, body := post(fmt.Sprintf("&order_key=k&insert_deduplication_token=u%d", i), load); status != 200 {
				t.Errorf("load %d: %d %s", i, status, body)
			}
		}()
		<-sent
	}
	done.Wait()
	checkNoOverlap(t, cluster)
	lastEnd, n := 0, 0
	for _, r := range cluster.runs() {
		if !strings.HasPrefix(r.Text, "INSERT") {
			continue
		}
		n++
		if r.StartedAt < lastEnd {
			t.Errorf("two concurrent loads of one order key: %+v", r)
		}
		lastEnd = r.EndedAt
	}
	if n != loads {
		t.Errorf("%d loads ran, %d were sent", n, loads)
	}
}

// The database/sql driver of the client library works as well, and errors carry ClickHouse's codes.
func TestDatabaseSQL(t *testing.T) {
	cluster := startCluster(t, 1, func(_, _ int, text string) standin.Fault {
		if strings.Contains(text, "broken") {
			return standin.Fault{ExceptionCode: 60}
		}
		return standin.Fault{}
	})
	db, err := sql.Open("clickhouse", "http://acme@"+cluster.httpAddr+"/default")
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	var n uint64
	if err := db.QueryRow("SELECT number FROM numbers(1)").Scan(&n); err != nil {
		t.Error(err)
	}
	var ex *clickhouse.Exception
	if err := db.QueryRow("SELECT broken FROM sales_3.t").Scan(&n); !errors.As(err, &ex) || ex.Code != 60 {
		t.Errorf("got %v", err)
	}
	// Clients that disconnect during an upload or a result, or send malformed requests, do not affect other clients.
	for _, text := range []string{"POST /?user=acme HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\nSELECT",
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\n",
		"POST /?user=acme HTTP/1.1\r\nHost: x\r\nContent-Length: 62914560\r\n\r\n", "\x16\x03\x01",
		"GET /?user=acme&query=SELECT+number+FROM+numbers(100000) HTTP/1.1\r\nHost: x\r\n\r\n"} {
		c, err := net.Dial("tcp", cluster.httpAddr)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write([]byte(text))
		_, _ = c.Read(make([]byte, 10))
		_ = c.Close()
		if r, err := http.Post("http://"+cluster.httpAddr+"/?user=acme", "",
			bytes.NewReader([]byte("SELECT number FROM numbers(2)"))); err != nil || r.StatusCode != 200 {
			t.Errorf("after %.40q: %v", text, err)
		} else {
			_ = r.Body.Close()
		}
	}
}
