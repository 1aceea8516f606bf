package node

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"thymeway/internal/configtest"
	"thymeway/internal/deadline"
	"thymeway/internal/logs"
	"thymeway/internal/shape"
	"thymeway/internal/snapshot"
)

// Shapes survive a restart if a snapshot file is configured. If the file is truncated, foreign, invalid or of a newer version,
// the reason is logged, and the program starts without shapes and replaces the file.
func TestShapesSurviveRestart(t *testing.T) {
	c := configtest.Example(t)
	c.Local.Shapes.File, c.Local.Shapes.SaveInterval = filepath.Join(t.TempDir(), "shapes"), 1000
	var logged bytes.Buffer
	previousLogger := slog.Default()
	slog.SetDefault(logs.New(&logged, slog.LevelInfo))
	defer slog.SetDefault(previousLogger)
	now := 0.0
	startNode := func() (*Node, *deadline.Queue) {
		logged.Reset()
		q := deadline.New()
		n, err := New(c, &scriptRunner{t: t}, q, func() float64 { return now }, func() {})
		if err != nil {
			t.Fatal(err)
		}
		return n, q
	}
	n, q := startNode()
	if !strings.Contains(logged.String(), "event=shapes-empty") || !strings.Contains(logged.String(), "no such file") {
		t.Errorf("at the first start: %s", logged.String())
	}
	for i := range 300 {
		n.Shapes.Recognize("SELECT a FROM t"+strings.Repeat("x", i), shape.Postgres, 0)
	}
	for ; now < 1100; now += 10 { // the file is written during operation
		q.RunDue(now)
	}
	n.snapshots.Close()
	n.snapshots = nil
	for range 2 {
		n, _ = startNode()
		if s := n.Shapes.Stats(); s.Shapes != 300 || !strings.Contains(logged.String(), "event=shapes-loaded") {
			t.Errorf("%d shapes after a restart: %s", s.Shapes, logged.String())
		}
		n.Close()
	}
	whole, err := os.ReadFile(c.Local.Shapes.File)
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range []struct {
		content []byte
		want    string
	}{{whole[:len(whole)/2], "torn"}, {[]byte("something else"), "not a snapshot"},
		{snapshot.Encode(shape.DumpKind, shape.DumpVersion+1, nil), "newer"},
		{snapshot.Encode(shape.DumpKind, shape.DumpVersion, []byte("junk")), "can't be read"}} {
		if err := os.WriteFile(c.Local.Shapes.File, file.content, 0o600); err != nil {
			t.Fatal(err)
		}
		n, _ = startNode()
		if s := n.Shapes.Stats(); s.Shapes != 0 || !strings.Contains(logged.String(), file.want) {
			t.Errorf("%s: %d shapes: %s", file.want, s.Shapes, logged.String())
		}
		n.Close()
	}
}
