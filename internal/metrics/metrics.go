// Package metrics serves the coordinator's counters to Prometheus over HTTP. Its server runs in separate goroutines, which
// work on copies of the counters. They request a copy from the event loop, with a bounded number of scrapes at a time.
package metrics

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"golang.org/x/net/netutil"

	"thymeway/internal/accounting"
	"thymeway/internal/clock"
	"thymeway/internal/retrystorm"
	"thymeway/internal/shape"
)

// Snapshot is a copy of the coordinator's counters and gauges at one moment.
type Snapshot struct {
	Accounts          []accounting.Row
	Shapes            shape.Stats
	Unproven          map[string]uint64           // requests whose statement is not proven safe to repeat, by reason
	Unanswered        int                         // accepted requests that are not answered yet
	InFlight          int                         // attempts that may be running on an engine
	ClientConnections int                         // open client connections
	StormStates       map[string]retrystorm.State // by tenant; under "" that of all requests together
	RetryReasons      []accounting.ReasonRow      // attempts after the first, by how the previous one ended
	UnservedReasons   []accounting.ReasonRow      // requests refused or failed, by reason
	Clock             clock.State
	HeldBytes         int    // bytes that open requests of ClickHouse clients hold
	MemoryRefusals    uint64 // requests of ClickHouse clients refused for lack of memory
}

const (
	snapshotTimeout      = 2 * time.Second // within which the event loop has to deliver a snapshot
	maxConcurrentScrapes = 2               // further scrapes are rejected
	maxConnections       = 16              // further connections wait, as each takes memory for its headers
)

// collector is a prometheus.Collector that takes a new snapshot for each scrape.
type collector struct {
	takeSnapshot func(context.Context) (Snapshot, error)
}

// newDesc returns the description of a metric whose name gets the prefix thymeway_.
func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("thymeway_"+name, help, labels, nil)
}

var (
	keyLabels         = []string{"tenant", "class", "protocol"}
	requests          = newDesc("requests_total", "Requests that were taken.", keyLabels...)
	markedRepeats     = newDesc("repeats_total", "Of these, those marked as a client's repeat.", keyLabels...)
	answers           = newDesc("answers_total", "Requests by how they ended.", append([]string{"ending"}, keyLabels...)...)
	lateAnswers       = newDesc("late_total", "Good answers past the time in which they were wanted.", keyLabels...)
	attempts          = newDesc("sends_total", "Attempts.", keyLabels...)
	valueRequested    = newDesc("worth_asked_total", "Worth of the requests taken.", keyLabels...)
	valueServed       = newDesc("worth_earned_total", "Worth of the answers, less for late ones.", keyLabels...)
	answerSeconds     = newDesc("answer_seconds", "Time from a request's coming to its good answer.", keyLabels...)
	unproven          = newDesc("doubted_total", "Requests never sent again for their statement.", "why")
	unanswered        = newDesc("owed", "Requests without their answer.")
	attemptsInFlight  = newDesc("attempts_out", "Attempts that may run on some engine.")
	stormStates       = newDesc("surge_state", "0 calm, 1 storm, 2 recovering; of all under the empty name.", "tenant")
	clientConnections = newDesc("client_connections", "Connections of clients.")
	shapeLookups      = newDesc("statements_total", "Statements looked up.")
	shapeHits         = newDesc("shape_hits_total", "Of these, those whose shape was remembered.")
	shapeEvictions    = newDesc("shape_evictions_total", "Shapes forgotten for room.")
	shapeBytes        = newDesc("shape_bytes", "Memory that remembered shapes take.")
	shapesHeld        = newDesc("shapes", "Shapes remembered.")
	retries           = newDesc("further_attempts_total", "Attempts past a request's first, by how the one before ended.",
		"class", "after")
	unserved     = newDesc("given_up_total", "Requests refused or failed, by why.", "class", "why")
	clockSteps   = newDesc("clock_steps_total", "Steps of the machine's wall clock that were seen.")
	clockOffset  = newDesc("clock_offset_seconds", "By how much the wall clock was stepped in sum since the start.")
	heldBytes    = newDesc("clickhouse_held_bytes", "Memory that open requests of ClickHouse clients take.")
	heldRefusals = newDesc("clickhouse_memory_refusals_total", "Requests of ClickHouse clients refused for lack of memory.")
	scrapeFailed = newDesc("scrape_failed", "1 where the event loop did not answer in time.")
)

// Describe sends nothing, which makes the collector unchecked: the set of time series depends on the settings.
func (collector) Describe(chan<- *prometheus.Desc) {}

// Collect takes a snapshot and sends its metrics. If the event loop does not deliver one in time, it sends scrape_failed alone.
func (c collector) Collect(ch chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(context.Background(), snapshotTimeout)
	defer cancel()
	snapshot, err := c.takeSnapshot(ctx)
	count := func(desc *prometheus.Desc, value float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, value, labels...)
	}
	gauge := func(desc *prometheus.Desc, value float64) {
		ch <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, value)
	}
	if err != nil {
		gauge(scrapeFailed, 1)
		return
	}
	gauge(scrapeFailed, 0)
	for _, r := range snapshot.Accounts {
		labels := []string{r.Tenant, r.Class, r.Protocol}
		count(requests, float64(r.Accepted), labels...)
		count(markedRepeats, float64(r.MarkedRepeats), labels...)
		for _, e := range []struct {
			name string
			n    uint64
		}{{"served", r.Served}, {"refused", r.Refused}, {"failed", r.Failed}, {"dropped", r.Dropped}} {
			count(answers, float64(e.n), append([]string{e.name}, labels...)...)
		}
		count(lateAnswers, float64(r.Late), labels...)
		count(attempts, float64(r.Attempts), labels...)
		count(valueRequested, r.ValueRequested, labels...)
		count(valueServed, r.ValueServed, labels...)
		cumulative, sum := map[float64]uint64{}, uint64(0)
		for i, b := range accounting.LatencyBounds {
			sum += r.LatencyBuckets[i]
			cumulative[b/1000] = sum
		}
		ch <- prometheus.MustNewConstHistogram(answerSeconds, r.Served, r.LatencySumMs/1000, cumulative, labels...)
	}
	for why, n := range snapshot.Unproven {
		count(unproven, float64(n), why)
	}
	for tenant, state := range snapshot.StormStates {
		ch <- prometheus.MustNewConstMetric(stormStates, prometheus.GaugeValue, float64(state), tenant)
	}
	for _, r := range snapshot.RetryReasons {
		count(retries, float64(r.Count), r.Class, r.Reason)
	}
	for _, r := range snapshot.UnservedReasons {
		count(unserved, float64(r.Count), r.Class, r.Reason)
	}
	count(clockSteps, float64(snapshot.Clock.Steps))
	gauge(clockOffset, snapshot.Clock.Offset/1000)
	gauge(heldBytes, float64(snapshot.HeldBytes))
	count(heldRefusals, float64(snapshot.MemoryRefusals))
	gauge(unanswered, float64(snapshot.Unanswered))
	gauge(attemptsInFlight, float64(snapshot.InFlight))
	gauge(clientConnections, float64(snapshot.ClientConnections))
	count(shapeLookups, float64(snapshot.Shapes.Lookups))
	count(shapeHits, float64(snapshot.Shapes.Hits))
	count(shapeEvictions, float64(snapshot.Shapes.Evicted))
	gauge(shapeBytes, float64(snapshot.Shapes.Bytes))
	gauge(shapesHeld, float64(snapshot.Shapes.Shapes))
}

// StartServer serves GET /metrics on l until the returned server is closed. takeSnapshot returns a snapshot, or the context's
// error.
func StartServer(l net.Listener, takeSnapshot func(context.Context) (Snapshot, error)) *http.Server {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collector{takeSnapshot})
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry,
		promhttp.HandlerOpts{MaxRequestsInFlight: maxConcurrentScrapes, Timeout: 2 * snapshotTimeout}))
	s := &http.Server{Handler: mux, ReadHeaderTimeout: snapshotTimeout, ReadTimeout: snapshotTimeout,
		WriteTimeout: 3 * snapshotTimeout, IdleTimeout: 2 * snapshotTimeout, MaxHeaderBytes: 8 << 10}
	go func() { _ = s.Serve(netutil.LimitListener(l, maxConnections)) }()
	return s
}
