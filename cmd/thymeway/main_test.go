package main

import (
	"bufio"
	"fmt"
	stdnet "net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"thymeway/internal/config"
	"thymeway/internal/conftest"
)

// listen gives a listener of the test's own, and its address.
func listen(t testing.TB) (stdnet.Listener, string) {
	l, err := stdnet.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l, l.Addr().String()
}

// configure writes the example's configuration with parts of it replaced, given as old and new by turns, and with
// worker groups in place of its own unless there are none.
func configure(t testing.TB, file string, members []string, pairs ...string) {
	t.Helper()
	s := string(conftest.ExampleText(t))
	if len(members) > 0 {
		s = regexp.MustCompile(`(?s)"members": \[.*?\]`).ReplaceAllLiteralString(s, `"members": [`+strings.Join(members, ",")+`]`)
	}
	for i := 0; i < len(pairs); i += 2 {
		if !strings.Contains(s, pairs[i]) {
			t.Fatalf("the example has no %s", pairs[i])
		}
	}
	if err := os.WriteFile(file, []byte(strings.NewReplacer(pairs...).Replace(s)), 0o600); err != nil {
		t.Fatal(err)
	}
}

// member is a worker group as the notice board names it.
func member(id, addr string) string {
	return fmt.Sprintf(`{"id": %q, "host_port": %q, "locality": "room-a", "flavor": "std-12", "phase": "Ready", "size": 1, "up_since_ms": 0}`, id, addr)
}

// pgURL is what a PostgreSQL client is given.
func pgURL(addr string) string {
	return "postgres://app@" + addr + "/lake?sslmode=disable&default_query_exec_mode=simple_protocol"
}

// watched waits for a connection and the line that asks for news behind an event.
func watched(t *testing.T, l stdnet.Listener, rev int) stdnet.Conn {
	t.Helper()
	_ = l.(*stdnet.TCPListener).SetDeadline(time.Now().Add(30 * time.Second))
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil || line != fmt.Sprintf("watch %d\n", rev) {
		t.Fatalf("the board hears %q, %v", line, err)
	}
	return c
}

// SIGHUP makes the program ask the board that the file now names, and never ends it; SIGTERM does.
func TestSignals(t *testing.T) {
	addr := free(t)
	file := filepath.Join(t.TempDir(), "config.json")
	t.Setenv("EDGE_CONFIG", file)
	write := func(board string) { configure(t, file, nil, "127.0.0.1:8599", board, "127.0.0.1:5499", addr) }
	one, at := listen(t)
	write(at)
	read := func() (config.Config, error) { return config.FromEnvironment(os.Getenv, config.LocalFile) }
	c, err := read()
	if err != nil {
		t.Fatal(err)
	}
	signals, ended := make(chan os.Signal, 16), make(chan error, 1)
	go func() { ended <- serve(c, read, signals) }()
	watched(t, one, 1)
	write("nowhere")
	signals <- syscall.SIGHUP
	two, at := listen(t)
	write(at)
	signals <- syscall.SIGHUP
	watched(t, two, 1)
	signals <- syscall.SIGTERM
	signals <- syscall.SIGHUP
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(30 * time.Second):
		t.Error("SIGTERM does not end the program")
	}
}
