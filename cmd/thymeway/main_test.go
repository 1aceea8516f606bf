package main

import (
	"bufio"
	stdnet "net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"thymeway/internal/config"
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

// watched waits for a connection and the line that asks for news.
func watched(t *testing.T, l stdnet.Listener) {
	t.Helper()
	_ = l.(*stdnet.TCPListener).SetDeadline(time.Now().Add(30 * time.Second))
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil || line != "watch 1\n" {
		t.Fatalf("the board hears %q, %v", line, err)
	}
}

// SIGHUP makes the program ask the board that the file now names, and never ends it; SIGTERM does.
func TestSignals(t *testing.T) {
	text, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	front, addr := listen(t)
	_ = front.Close()
	file := filepath.Join(t.TempDir(), "config.json")
	t.Setenv("EDGE_CONFIG", file)
	write := func(board string) {
		s := strings.NewReplacer("127.0.0.1:8599", board, "127.0.0.1:5499", addr).Replace(string(text))
		if err := os.WriteFile(file, []byte(s), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	one, at := listen(t)
	write(at)
	read := func() (config.Config, error) { return config.FromEnvironment(os.Getenv, config.OwnFile) }
	c, err := read()
	if err != nil {
		t.Fatal(err)
	}
	signals, ended := make(chan os.Signal, 16), make(chan error, 1)
	go func() { ended <- serve(c, read, signals) }()
	watched(t, one)
	write("nowhere")
	signals <- syscall.SIGHUP
	two, at := listen(t)
	write(at)
	signals <- syscall.SIGHUP
	watched(t, two)
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
