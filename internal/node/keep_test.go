package node

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"thymeway/internal/conftest"
	"thymeway/internal/deadline"
	"thymeway/internal/logs"
	"thymeway/internal/shape"
	"thymeway/internal/snapshot"
)

// Shapes outlast a restart where a file is set. A torn, foreign or newer one is told with its reason, and the program
// starts empty and replaces it.
func TestShapesAreKept(t *testing.T) {
	c := conftest.Example(t)
	c.Local.Shapes.File, c.Local.Shapes.SaveInterval = filepath.Join(t.TempDir(), "shapes"), 1000
	var out bytes.Buffer
	before := slog.Default()
	slog.SetDefault(logs.New(&out, slog.LevelInfo))
	defer slog.SetDefault(before)
	now := 0.0
	start := func() (*Node, *deadline.Queue) {
		out.Reset()
		q := deadline.New()
		n, err := New(c, &player{t: t}, q, func() float64 { return now }, func() {})
		if err != nil {
			t.Fatal(err)
		}
		return n, q
	}
	n, q := start()
	if !strings.Contains(out.String(), "event=shapes-empty") || !strings.Contains(out.String(), "no such file") {
		t.Errorf("at the first start: %s", out.String())
	}
	for i := range 300 {
		n.Shapes.Recognise("SELECT a FROM t"+strings.Repeat("x", i), shape.Postgres, 0)
	}
	for ; now < 1100; now += 10 { // the file is written while the program runs
		q.RunDue(now)
	}
	n.keeper.Close()
	n.keeper = nil
	for range 2 {
		n, _ = start()
		if s := n.Shapes.Stats(); s.Shapes != 300 || !strings.Contains(out.String(), "event=shapes-loaded") {
			t.Errorf("%d shapes after a restart: %s", s.Shapes, out.String())
		}
		n.Close()
	}
	whole, err := os.ReadFile(c.Local.Shapes.File)
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
		b    []byte
		want string
	}{{whole[:len(whole)/2], "torn"}, {[]byte("something else"), "not a snapshot"}, {snapshot.Encode(shape.DumpKind, shape.DumpVersion+1, nil), "newer"},
		{snapshot.Encode(shape.DumpKind, shape.DumpVersion, []byte("junk")), "can't be read"}} {
		if err := os.WriteFile(c.Local.Shapes.File, x.b, 0o600); err != nil {
			t.Fatal(err)
		}
		n, _ = start()
		if s := n.Shapes.Stats(); s.Shapes != 0 || !strings.Contains(out.String(), x.want) {
			t.Errorf("%s: %d shapes: %s", x.want, s.Shapes, out.String())
		}
		n.Close()
	}
}
