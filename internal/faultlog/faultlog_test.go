package faultlog

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"thymeway/internal/logs"
)

// A flood of one kind of fault must cause one line at its start and one every ten seconds, with the number of faults.
func TestFloodIsRateLimited(t *testing.T) {
	var out bytes.Buffer
	before := slog.Default()
	slog.SetDefault(logs.New(&out, slog.LevelInfo))
	defer slog.SetDefault(before)
	now := 0.0
	f := &FaultLog{Now: func() float64 { return now }}
	for ; now <= 10000; now += 10 {
		f.Add("garbled", "from", "a")
	}
	lines := strings.Split(out.String(), "\n")
	if len(lines) != 3 || !strings.HasSuffix(lines[0], "event=garbled n=1 from=a") ||
		!strings.HasSuffix(lines[1], "event=garbled n=1000 from=a") {
		t.Errorf("got %q", out.String())
	}
}
