package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
)

// TestMain runs the real program instead of the tests if THYMEWAY_AS_PROGRAM is set, so that tests can start it as a separate
// process.
func TestMain(m *testing.M) {
	if os.Getenv("THYMEWAY_AS_PROGRAM") != "" {
		main()
	}
	os.Exit(m.Run())
}

// startProgram starts the program as a separate process and returns it with its log.
func startProgram(t *testing.T) (*exec.Cmd, *strings.Builder) {
	t.Helper()
	c, log := exec.Command(os.Args[0]), &strings.Builder{}
	c.Env, c.Stderr = append(os.Environ(), "THYMEWAY_AS_PROGRAM=1"), log
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Process.Kill() })
	return c, log
}

// sendLookups waits until the program accepts connections, and sends 40 requests over 20 table groups.
func sendLookups(t *testing.T, addr string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	conn, err := pgx.Connect(ctx, pgURL(addr))
	for ; err != nil && ctx.Err() == nil; conn, err = pgx.Connect(ctx, pgURL(addr)) {
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close(ctx)
	for i := range 40 {
		var x, y, z string
		if err := conn.QueryRow(ctx, fmt.Sprintf("/* verb=lookup,txn=%016x,limit=3000,team=acme */ SELECT a FROM sales_%d.t",
			i+1, i%20)).Scan(&x, &y, &z); err != nil || x+y+z != "abc" {
			t.Fatalf("request %d: %q %v", i, x+y+z, err)
		}
	}
}

// The program works with hundreds and with 1,024 coordinators and worker groups, within 32 MB and 256 descriptors. It accepts a
// complete list in one line from the discovery service, changes to another discovery service on SIGHUP, ends on SIGTERM, and
// starts again after SIGKILL.
func TestLargeFleet(t *testing.T) {
	engine := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Page-Count", "1")
		fmt.Fprint(w, "a\tb\tc\n")
	})}
	t.Cleanup(func() { _ = engine.Close() })
	for _, size := range [][2]int{{350, 300}, {1024, 1024}} {
		var groups []string
		for i := range size[1] {
			l, addr := listen(t)
			groups = append(groups, listedGroup(fmt.Sprintf("s-%08x", i*2654435761), addr))
			go func() { _ = engine.Serve(l) }()
		}
		first, firstAddr := listen(t)
		second, secondAddr := listen(t)
		addr, file := freeAddr(t), filepath.Join(t.TempDir(), "config.json")
		t.Setenv("EDGE_CONFIG", file)
		write := func(discovery string) {
			writeConfig(t, file, groups, "127.0.0.1:5499", addr, "127.0.0.1:8599", discovery, `"sockets": 1024`, `"sockets": 256`,
				`"memory_mb": 192`, `"memory_mb": 32`,
				`"index": 0, "instances": 1,`, fmt.Sprintf(`"index": %d, "instances": %d,`, size[0]*2/3, size[0]))
		}
		write(firstAddr)
		c, log := startProgram(t)
		sendLookups(t, addr)
		acceptWatch(t, first, 1)
		write(secondAddr)
		_ = c.Process.Signal(syscall.SIGHUP)
		watch := acceptWatch(t, second, 1)
		list := strings.ReplaceAll(strings.Join(groups[:size[1]/2], ","), "Ready", "Terminating") + "," +
			strings.Join(groups[size[1]/2:], ",")
		fmt.Fprintf(watch, `{"rev":2,"pool":{"revision":2,"complete":true,"members":[%s]}}`+"\n", list)
		_ = watch.Close()
		acceptWatch(t, second, 2) // the long line was applied
		sendLookups(t, addr)
		if kb := processMemoryKB(c.Process.Pid, "VmHWM"); kb == 0 || kb > 32<<10 {
			t.Errorf("%v: %d KB at most", size, kb)
		} else {
			t.Logf("%v: %d KB at most", size, kb)
		}
		_ = c.Process.Signal(syscall.SIGTERM)
		if err := c.Wait(); err != nil || strings.Contains(log.String(), "level=ERROR") {
			t.Errorf("SIGTERM: %v\n%s", err, log)
		}
		for range 2 {
			c, _ = startProgram(t)
			sendLookups(t, addr)
			_ = c.Process.Kill()
			_ = c.Wait()
		}
	}
}
