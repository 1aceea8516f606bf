// Package metrics tells what the coordinator counted to Prometheus. Its server has goroutines of its own; they see only
// copies, which they ask the event loop for through one bounded queue.
package metrics

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"thymeway/internal/account"
	"thymeway/internal/clock"
	"thymeway/internal/shape"
	"thymeway/internal/surge"
)

// Snapshot is a copy of what is told.
type Snapshot struct {
	Accounts []account.Row
	Shapes   shape.Stats
	Doubts   map[string]uint64      // requests on the safe default, by reason
	Owed     int                    // requests without their answer
	Out      int                    // attempts that may run
	Clients  int                    // connections of clients
	Surges   map[string]surge.State // by member; all under ""
	Repeats  []account.ReasonRow    // further attempts, by how the attempt before ended
	GivenUp  []account.ReasonRow    // requests refused or failed, by why
	Clock    clock.State
}

const (
	within = 2 * time.Second // for a copy to come from the loop
	atOnce = 2               // requests served at a time
)

// collector makes metrics of a snapshot.
type collector struct {
	take func(context.Context) (Snapshot, error)
}

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("thymeway_"+name, help, labels, nil)
}

var (
	byKey    = []string{"tenant", "class", "protocol"}
	requests = desc("requests_total", "Requests that were taken.", byKey...)
	repeats  = desc("repeats_total", "Of these, those marked as a client's repeat.", byKey...)
	answers  = desc("answers_total", "Requests by how they ended.", append([]string{"ending"}, byKey...)...)
	late     = desc("late_total", "Good answers past the time in which they were wanted.", byKey...)
	sends    = desc("sends_total", "Attempts.", byKey...)
	asked    = desc("worth_asked_total", "Worth of the requests taken.", byKey...)
	earned   = desc("worth_earned_total", "Worth of the answers, less for late ones.", byKey...)
	seconds  = desc("answer_seconds", "Time from a request's coming to its good answer.", byKey...)
	doubts   = desc("doubted_total", "Requests never sent again for their statement.", "why")
	owed     = desc("owed", "Requests without their answer.")
	out      = desc("attempts_out", "Attempts that may run on some engine.")
	surges   = desc("surge_state", "0 calm, 1 storm, 2 recovering; of all under the empty name.", "tenant")
	clients  = desc("client_connections", "Connections of clients.")
	looks    = desc("statements_total", "Statements looked up.")
	hits     = desc("shape_hits_total", "Of these, those whose shape was remembered.")
	evicted  = desc("shape_evictions_total", "Shapes forgotten for room.")
	bytes    = desc("shape_bytes", "Memory that remembered shapes take.")
	shapes   = desc("shapes", "Shapes remembered.")
	further  = desc("further_attempts_total", "Attempts past a request's first, by how the one before ended.", "class", "after")
	givenUp  = desc("given_up_total", "Requests refused or failed, by why.", "class", "why")
	steps    = desc("clock_steps_total", "Steps of the machine's wall clock that were seen.")
	offset   = desc("clock_offset_seconds", "By how much the wall clock was stepped in sum since the start.")
	failed   = desc("scrape_failed", "1 where the event loop did not answer in time.")
)

// Describe sends nothing: which metrics there are follows from the settings.
func (collector) Describe(chan<- *prometheus.Desc) {}

// Collect asks for a copy and tells it.
func (c collector) Collect(ch chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	s, err := c.take(ctx)
	count := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, v, labels...)
	}
	gauge := func(d *prometheus.Desc, v float64) { ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v) }
	if err != nil {
		gauge(failed, 1)
		return
	}
	gauge(failed, 0)
	for _, r := range s.Accounts {
		k := []string{r.Tenant, r.Class, r.Protocol}
		count(requests, float64(r.Accepted), k...)
		count(repeats, float64(r.MarkedRepeats), k...)
		for _, e := range []struct {
			name string
			n    uint64
		}{{"served", r.Served}, {"refused", r.Refused}, {"failed", r.Failed}, {"dropped", r.Dropped}} {
			count(answers, float64(e.n), append([]string{e.name}, k...)...)
		}
		count(late, float64(r.Late), k...)
		count(sends, float64(r.Attempts), k...)
		count(asked, r.ValueRequested, k...)
		count(earned, r.ValueServed, k...)
		under, sum := map[float64]uint64{}, uint64(0)
		for i, b := range account.LatencyBounds {
			sum += r.LatencyBuckets[i]
			under[b/1000] = sum
		}
		ch <- prometheus.MustNewConstHistogram(seconds, r.Served, r.LatencySumMs/1000, under, k...)
	}
	for why, n := range s.Doubts {
		count(doubts, float64(n), why)
	}
	for t, st := range s.Surges {
		ch <- prometheus.MustNewConstMetric(surges, prometheus.GaugeValue, float64(st), t)
	}
	for _, r := range s.Repeats {
		count(further, float64(r.Count), r.Class, r.Reason)
	}
	for _, r := range s.GivenUp {
		count(givenUp, float64(r.Count), r.Class, r.Reason)
	}
	count(steps, float64(s.Clock.Steps))
	gauge(offset, s.Clock.Offset/1000)
	gauge(owed, float64(s.Owed))
	gauge(out, float64(s.Out))
	gauge(clients, float64(s.Clients))
	count(looks, float64(s.Shapes.Lookups))
	count(hits, float64(s.Shapes.Hits))
	count(evicted, float64(s.Shapes.Evicted))
	gauge(bytes, float64(s.Shapes.Bytes))
	gauge(shapes, float64(s.Shapes.Shapes))
}

// Server tells metrics on a listener until it is closed. take gives a copy, or the context's error.
func Server(l net.Listener, take func(context.Context) (Snapshot, error)) *http.Server {
	r := prometheus.NewRegistry()
	r.MustRegister(collector{take})
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(r, promhttp.HandlerOpts{MaxRequestsInFlight: atOnce, Timeout: 2 * within}))
	s := &http.Server{Handler: mux, ReadHeaderTimeout: within, ReadTimeout: within, WriteTimeout: 3 * within, IdleTimeout: 2 * within, MaxHeaderBytes: 8 << 10}
	go func() { _ = s.Serve(l) }()
	return s
}
