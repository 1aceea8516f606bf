package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"thymeway/internal/config"
	"thymeway/internal/configtest"
)

// listen returns a listener on a free local port, and its address.
func listen(t testing.TB) (net.Listener, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l, l.Addr().String()
}

// writeConfig writes the example configuration with parts replaced: pairs holds old and new texts in turn. groups replaces
// the listed worker groups unless it is empty.
func writeConfig(t testing.TB, file string, groups []string, pairs ...string) {
	t.Helper()
	text := string(configtest.ExampleText(t))
	if len(groups) > 0 {
		text = regexp.MustCompile(`(?s)"members": \[.*?\]`).ReplaceAllLiteralString(text,
			`"members": [`+strings.Join(groups, ",")+`]`)
	}
	for i := 0; i < len(pairs); i += 2 {
		if !strings.Contains(text, pairs[i]) {
			t.Fatalf("the example has no %s", pairs[i])
		}
	}
	if err := os.WriteFile(file, []byte(strings.NewReplacer(pairs...).Replace(text)), 0o600); err != nil {
		t.Fatal(err)
	}
}

// listedGroup returns a worker group in the form in which discovery lists it.
func listedGroup(id, addr string) string {
	return fmt.Sprintf(
		`{"id": %q, "host_port": %q, "locality": "room-a", "flavor": "std-12", "phase": "Ready", "size": 1, "up_since_ms": 0}`,
		id, addr)
}

// pgURL returns the connection URL for PostgreSQL clients.
func pgURL(addr string) string {
	return "postgres://app@" + addr + "/lake?sslmode=disable&default_query_exec_mode=simple_protocol"
}

// acceptWatch accepts a connection on l and reads the request to watch for events after revision rev.
func acceptWatch(t *testing.T, l net.Listener, rev int) net.Conn {
	t.Helper()
	_ = l.(*net.TCPListener).SetDeadline(time.Now().Add(30 * time.Second))
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil || line != fmt.Sprintf("watch %d\n", rev) {
		t.Fatalf("discovery received %q, %v", line, err)
	}
	return c
}

// SIGHUP makes the program connect to the discovery service that the file now names. It never ends the program, even with an
// invalid configuration; SIGTERM does.
func TestSignals(t *testing.T) {
	addr := freeAddr(t)
	file := filepath.Join(t.TempDir(), "config.json")
	t.Setenv("EDGE_CONFIG", file)
	write := func(discovery string) { writeConfig(t, file, nil, "127.0.0.1:8599", discovery, "127.0.0.1:5499", addr) }
	first, discoveryAddr := listen(t)
	write(discoveryAddr)
	read := func() (config.Config, error) { return config.FromEnvironment(os.Getenv, config.LocalFile) }
	c, err := read()
	if err != nil {
		t.Fatal(err)
	}
	signals, ended := make(chan os.Signal, 16), make(chan error, 1)
	go func() { ended <- serve(c, read, signals) }()
	acceptWatch(t, first, 1)
	write("nowhere")
	signals <- syscall.SIGHUP
	second, discoveryAddr := listen(t)
	write(discoveryAddr)
	signals <- syscall.SIGHUP
	acceptWatch(t, second, 1)
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
