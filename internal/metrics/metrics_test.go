package metrics

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"thymeway/internal/accounting"
	"thymeway/internal/clock"
)

// scrape starts a server and returns the text of one GET /metrics.
func scrape(t *testing.T, takeSnapshot func(context.Context) (Snapshot, error)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := StartServer(l, takeSnapshot)
	defer s.Close()
	response, err := http.Get("http://" + l.Addr().String() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != 200 {
		t.Fatalf("%d %s %v", response.StatusCode, body, err)
	}
	return string(body)
}

// A scrape reports the counters by tenant, class and protocol. If no snapshot can be taken, it succeeds and reports
// scrape_failed.
func TestScrape(t *testing.T) {
	var counters accounting.Counters
	counts := counters.CountsFor(accounting.Key{Tenant: "acme", Class: "lookup", Protocol: "clickhouse"})
	counts.Accepted, counts.ValueRequested, counts.Attempts = 3, 3, 4
	counts.RecordEnd(accounting.Served, 30, 1000, 1, 0.5)
	counts.RecordEnd(accounting.Refused, 0, 0, 1, 0)
	text := scrape(t, func(context.Context) (Snapshot, error) {
		return Snapshot{Accounts: counters.Rows(), Unproven: map[string]uint64{"malformed": 2}, Unanswered: 1,
			RetryReasons: []accounting.ReasonRow{{ReasonKey: accounting.ReasonKey{Class: "load", Reason: "silent"}, Count: 2}},
			UnservedReasons: []accounting.ReasonRow{
				{ReasonKey: accounting.ReasonKey{Class: "lookup", Reason: "capacity"}, Count: 5}},
			Clock: clock.State{Steps: 1, Offset: -3.6e6}, HeldBytes: 4096, MemoryRefusals: 7}, nil
	})
	for _, want := range []string{`thymeway_requests_total{class="lookup",protocol="clickhouse",tenant="acme"} 3`,
		`thymeway_answers_total{class="lookup",ending="refused",protocol="clickhouse",tenant="acme"} 1`,
		`thymeway_answer_seconds_bucket{class="lookup",protocol="clickhouse",tenant="acme",le="0.025"} 0`,
		`thymeway_answer_seconds_bucket{class="lookup",protocol="clickhouse",tenant="acme",le="0.05"} 1`,
		`thymeway_further_attempts_total{after="silent",class="load"} 2`,
		`thymeway_given_up_total{class="lookup",why="capacity"} 5`,
		`thymeway_clock_steps_total 1`, `thymeway_clock_offset_seconds -3600`,
		`thymeway_clickhouse_held_bytes 4096`, `thymeway_clickhouse_memory_refusals_total 7`,
		`thymeway_doubted_total{why="malformed"} 2`, `thymeway_owed 1`, `thymeway_scrape_failed 0`} {
		if !strings.Contains(text, want) {
			t.Errorf("%s is missing in\n%s", want, text)
		}
	}
	if text := scrape(t, func(context.Context) (Snapshot, error) {
		return Snapshot{}, errors.New("busy")
	}); !strings.Contains(text, "thymeway_scrape_failed 1") {
		t.Errorf("no failed scrape in\n%s", text)
	}
}
