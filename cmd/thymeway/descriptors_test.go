package main

import (
	"context"
	"errors"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"thymeway/internal/standin"
)

// Guards against the program ending when accept fails because all file descriptors are in use. It must wait until descriptors
// are free, and then serve again.
func TestProgramEndsWhenAcceptHasNoDescriptor(t *testing.T) {
	g, engine := startGroup(t, nil)
	discovery := &standin.Discovery{}
	discoveryAddr, err := discovery.Start(1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(discovery.Stop)
	addr, file, log := freeAddr(t), filepath.Join(t.TempDir(), "config.json"), &strings.Builder{}
	writeConfig(t, file, []string{listedGroup("s-1", engine)}, "127.0.0.1:5499", addr, "127.0.0.1:8599", discoveryAddr)
	// Far fewer descriptors than the configuration allows.
	cmd := exec.Command("/bin/sh", "-c", "ulimit -n 40; exec "+os.Args[0])
	cmd.Env, cmd.Stderr = append(os.Environ(), "THYMEWAY_AS_PROGRAM=1", "EDGE_CONFIG="+file), log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-ended
		if t.Failed() {
			t.Logf("log of the program:\n%s", log)
		}
	})
	for end := time.Now().Add(30 * time.Second); !discovery.HasWatcher(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the program does not start")
		}
	}
	var idle []net.Conn
	for range 60 {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		idle = append(idle, conn)
	}
	select {
	case err := <-ended:
		ended <- err
		t.Fatalf("the program ended: %v", err)
	case <-time.After(500 * time.Millisecond):
	}
	for _, conn := range idle {
		_ = conn.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	conn, err := pgx.Connect(ctx, pgURL(addr))
	if err != nil {
		t.Fatalf("no connection once descriptors are free: %v", err)
	}
	defer conn.Close(ctx)
	var x, y, z string
	err = conn.QueryRow(ctx,
		"/* verb=lookup,txn=000000000000000a,limit=3000,team=acme */ SELECT a FROM sales_1.t").Scan(&x, &y, &z)
	if err != nil || len(g.Queries()) != 1 {
		t.Errorf("%v, %d queries", errors.Join(err), len(g.Queries()))
	}
}
