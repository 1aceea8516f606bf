package main

import (
	"context"
	"errors"
	stdnet "net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"thymeway/internal/standin"
)

// The program ended as accept failed for want of descriptors. It waits for free ones, and serves again.
func TestProgramEndsWhenAcceptHasNoDescriptor(t *testing.T) {
	g, engine := group(t, nil)
	d := &standin.Discovery{}
	board, err := d.Start(1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Stop)
	addr, file, log := free(t), filepath.Join(t.TempDir(), "config.json"), &strings.Builder{}
	configure(t, file, []string{member("s-1", engine)}, "127.0.0.1:5499", addr, "127.0.0.1:8599", board)
	// Far fewer descriptors than the configuration tells.
	c := exec.Command("/bin/sh", "-c", "ulimit -n 40; exec "+os.Args[0])
	c.Env, c.Stderr = append(os.Environ(), "THYMEWAY_AS_PROGRAM=1", "EDGE_CONFIG="+file), log
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- c.Wait() }()
	t.Cleanup(func() {
		_ = c.Process.Kill()
		<-ended
		if t.Failed() {
			t.Logf("log of the program:\n%s", log)
		}
	})
	for end := time.Now().Add(30 * time.Second); !d.Watched(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the program does not start")
		}
	}
	var idle []stdnet.Conn
	for range 60 {
		conn, err := stdnet.Dial("tcp", addr)
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
	ctx, stop := context.WithTimeout(context.Background(), 20*time.Second)
	defer stop()
	conn, err := pgx.Connect(ctx, pgURL(addr))
	if err != nil {
		t.Fatalf("no connection once descriptors are free: %v", err)
	}
	defer conn.Close(ctx)
	var x, y, z string
	err = conn.QueryRow(ctx, "/* verb=lookup,txn=000000000000000a,limit=3000,team=acme */ SELECT a FROM sales_1.t").Scan(&x, &y, &z)
	if err != nil || len(g.Queries()) != 1 {
		t.Errorf("%v, %d queries", errors.Join(err), len(g.Queries()))
	}
}
