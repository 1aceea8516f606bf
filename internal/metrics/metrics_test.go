package metrics

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"thymeway/internal/account"
	"thymeway/internal/clock"
)

func scrape(t *testing.T, take func(context.Context) (Snapshot, error)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := Server(l, take)
	defer s.Close()
	r, err := http.Get("http://" + l.Addr().String() + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err != nil || r.StatusCode != 200 {
		t.Fatalf("%d %s %v", r.StatusCode, b, err)
	}
	return string(b)
}

// What was counted is told under its member, class and protocol; a loop that does not answer is told as that.
func TestScrape(t *testing.T) {
	var b account.Counters
	c := b.CountsFor(account.Key{Tenant: "acme", Class: "lookup", Protocol: "clickhouse"})
	c.Accepted, c.ValueRequested, c.Attempts = 3, 3, 4
	c.RecordEnd(account.Served, 30, 1000, 1, 0.5)
	c.RecordEnd(account.Refused, 0, 0, 1, 0)
	text := scrape(t, func(context.Context) (Snapshot, error) {
		return Snapshot{Accounts: b.Rows(), Doubts: map[string]uint64{"malformed": 2}, Owed: 1,
			Repeats: []account.ReasonRow{{ReasonKey: account.ReasonKey{Class: "load", Reason: "silent"}, Count: 2}},
			GivenUp: []account.ReasonRow{{ReasonKey: account.ReasonKey{Class: "lookup", Reason: "capacity"}, Count: 5}},
			Clock:   clock.State{Steps: 1, Offset: -3.6e6}}, nil
	})
	for _, want := range []string{`thymeway_requests_total{class="lookup",protocol="clickhouse",tenant="acme"} 3`,
		`thymeway_answers_total{class="lookup",ending="refused",protocol="clickhouse",tenant="acme"} 1`,
		`thymeway_answer_seconds_bucket{class="lookup",protocol="clickhouse",tenant="acme",le="0.025"} 0`,
		`thymeway_answer_seconds_bucket{class="lookup",protocol="clickhouse",tenant="acme",le="0.05"} 1`,
		`thymeway_further_attempts_total{after="silent",class="load"} 2`, `thymeway_given_up_total{class="lookup",why="capacity"} 5`,
		`thymeway_clock_steps_total 1`, `thymeway_clock_offset_seconds -3600`,
		`thymeway_doubted_total{why="malformed"} 2`, `thymeway_owed 1`, `thymeway_scrape_failed 0`} {
		if !strings.Contains(text, want) {
			t.Errorf("no %s in\n%s", want, text)
		}
	}
	if text := scrape(t, func(context.Context) (Snapshot, error) { return Snapshot{}, errors.New("busy") }); !strings.Contains(text, "thymeway_scrape_failed 1") {
		t.Errorf("%s", text)
	}
}
