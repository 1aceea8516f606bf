package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	stdnet "net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"thymeway/internal/conftest"
)

// TestMain lets the test's own program be the real one, as a process with a memory of its own.
func TestMain(m *testing.M) {
	if os.Getenv("THYMEWAY_AS_PROGRAM") != "" {
		main()
	}
	os.Exit(m.Run())
}

// yard is a fleet of worker groups and a notice board that one coordinator of many is told of.
type yard struct {
	t        testing.TB
	listen   string
	file     string
	members  []string
	mu       sync.Mutex
	watchers []stdnet.Conn
	events   []string // written to whoever watches
	asked    chan string
	served   map[string]int // by worker group
	fronts   int
}

func member(id, addr, phase string) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"room-a","flavor":"std-12","cell":0,"phase":%q,"size":1,"up_since_ms":0}`, id, addr, phase)
}

func newYard(t testing.TB, fronts, servers int) *yard {
	t.Helper()
	y := &yard{t: t, file: filepath.Join(t.TempDir(), "config.json"), asked: make(chan string, 16), served: map[string]int{}, fronts: fronts}
	for i := range servers {
		l, addr := listen(t)
		id := fmt.Sprintf("s-%08x", i*2654435761)
		y.members = append(y.members, member(id, addr, "Ready"))
		s := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			y.mu.Lock()
			y.served[id]++
			y.mu.Unlock()
			w.Header().Set("Page-Count", "1")
			w.Header().Set("Work-Ms", "5")
			w.Header().Set("X-Report", "util:0.10;queue:0")
			_, _ = io.WriteString(w, "a\tb\tc\n")
		})}
		go func() { _ = s.Serve(l) }()
		t.Cleanup(func() { _ = s.Close() })
	}
	y.listen = free(t) // last: none of the worker groups may take the port again
	return y
}

// board serves a notice board and gives its address.
func (y *yard) board() string {
	l, addr := listen(y.t)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			line, _ := bufio.NewReader(c).ReadString('\n')
			y.asked <- line
			y.mu.Lock()
			y.watchers = append(y.watchers, c)
			for _, e := range y.events {
				_, _ = io.WriteString(c, e+"\n")
			}
			y.mu.Unlock()
		}
	}()
	return addr
}

// write writes the configuration, with the board's address.
func (y *yard) write(board string) {
	y.t.Helper()
	s := string(conftest.Text(y.t))
	s = regexp.MustCompile(`(?s)"members": \[.*?\]`).ReplaceAllString(s, `"members": [`+strings.Join(y.members, ",")+`]`)
	s = regexp.MustCompile(`"index": *\d+, *"instances": *\d+`).ReplaceAllString(s, fmt.Sprintf(`"index": %d, "instances": %d`, y.fronts*2/3, y.fronts))
	s = strings.NewReplacer("127.0.0.1:5499", y.listen, "127.0.0.1:8599", board, `"sockets": 1024`, `"sockets": 256`, `"memory_mb": 192`, `"memory_mb": 32`).Replace(s)
	if !strings.Contains(s, fmt.Sprintf(`"instances": %d`, y.fronts)) {
		y.t.Fatal("the example names its coordinators otherwise")
	}
	if err := os.WriteFile(y.file, []byte(s), 0o600); err != nil {
		y.t.Fatal(err)
	}
}

// run starts the program as a process and waits until it answers.
func (y *yard) run() (*exec.Cmd, *strings.Builder) {
	y.t.Helper()
	log := &strings.Builder{}
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "THYMEWAY_AS_PROGRAM=1", "EDGE_CONFIG="+y.file)
	c.Stderr = log
	if err := c.Start(); err != nil {
		y.t.Fatal(err)
	}
	y.t.Cleanup(func() { _ = c.Process.Kill() })
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if k, err := stdnet.Dial("tcp", y.listen); err == nil {
			_ = k.Close()
			return c, log
		}
		if time.Now().After(end) {
			y.t.Fatalf("it does not listen:\n%s", log)
		}
	}
}

// ask sends so many lookups of as many table groups.
func (y *yard) ask(from, n int) {
	y.t.Helper()
	k, err := pgx.ParseConfig("postgres://app@" + y.listen + "/lake?sslmode=disable")
	if err != nil {
		y.t.Fatal(err)
	}
	k.DefaultQueryExecMode = pgx.QueryExecModeSimpleProtocol
	ctx, stop := context.WithTimeout(context.Background(), 30*time.Second)
	defer stop()
	conn, err := pgx.ConnectConfig(ctx, k)
	if err != nil {
		y.t.Fatal(err)
	}
	defer conn.Close(ctx)
	for i := from; i < from+n; i++ {
		var a, b, c string
		err := conn.QueryRow(ctx, fmt.Sprintf("/* verb=lookup,txn=%016x,limit=3000,team=acme,cpu=5 */ SELECT a, b, c FROM sales_%d.t", i+1, i%20)).Scan(&a, &b, &c)
		if err != nil || a+b+c != "abc" {
			y.t.Fatalf("request %d: %q %v", i, a+b+c, err)
		}
	}
}

// A fleet of 1,024 coordinators and 1,024 worker groups: the real program starts with it, within 32 MB and 256 descriptors,
// serves, takes a whole list in one line of the board, moves to another board on SIGHUP, ends on SIGTERM and serves again
// after SIGKILL.
func TestWholeFleet(t *testing.T) {
	for _, size := range [][2]int{{350, 300}, {1024, 1024}} {
		y := newYard(t, size[0], size[1])
		y.write(y.board())
		c, log := y.run()
		y.ask(0, 40)
		if line := <-y.asked; line != "watch 1\n" {
			t.Errorf("the board hears %q", line)
		}
		// All of the list anew in one event, with half of them gone: a long line.
		half := append([]string(nil), y.members...)
		for i := range half {
			if i%2 == 0 {
				half[i] = strings.Replace(half[i], "Ready", "Terminating", 1)
			}
		}
		y.mu.Lock()
		y.events = []string{fmt.Sprintf(`{"rev":2,"pool":{"revision":2,"complete":true,"members":[%s]}}`, strings.Join(half, ","))}
		y.mu.Unlock()
		y.write(y.board())
		_ = c.Process.Signal(syscall.SIGHUP)
		if line := <-y.asked; line != "watch 1\n" {
			t.Errorf("the board at another address hears %q", line)
		}
		y.ask(100, 40)
		y.mu.Lock()
		used := len(y.served)
		y.mu.Unlock()
		if kb := memory(c.Process.Pid, "VmHWM"); kb == 0 || kb > 32<<10 {
			t.Errorf("%d coordinators, %d worker groups: %d KB at most", size[0], size[1], kb)
		} else {
			t.Logf("%d coordinators, %d worker groups: %d KB at most, %d worker groups used", size[0], size[1], kb, used)
		}
		_ = c.Process.Signal(syscall.SIGTERM)
		if err := c.Wait(); err != nil {
			t.Errorf("SIGTERM: %v\n%s", err, log)
		}
		if s := log.String(); strings.Contains(s, "level=ERROR") || strings.Contains(s, "board-lost") {
			t.Errorf("it logs\n%s", s)
		}
		c, _ = y.run()
		_ = c.Process.Kill()
		_ = c.Wait()
		c, _ = y.run()
		y.ask(200, 40)
		_ = c.Process.Kill()
		_ = c.Wait()
	}
}
