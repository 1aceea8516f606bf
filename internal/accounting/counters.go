// Package accounting counts requests, their endings and the value served, by tenant, class and protocol. Its types are used by
// the event loop only; other goroutines get copies.
package accounting

import (
	"cmp"
	"math"
	"slices"
)

// Key identifies the requests that are counted together. Its fields only take values named in the settings or the program,
// never text sent by clients.
type Key struct{ Tenant, Class, Protocol string }

// LatencyBounds are the upper bounds of the latency buckets, in ms.
var LatencyBounds = []float64{5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10000, 20000}

// Counts holds the counters of one key. Each accepted request that has ended is counted in one of Served, Refused, Failed and
// Dropped.
type Counts struct {
	Accepted, MarkedRepeats          uint64 // of the accepted requests, MarkedRepeats were marked as repeats by their client
	Served, Refused, Failed, Dropped uint64
	Late                             uint64     // served after the latency target
	Unproven                         uint64     // statement not proven safe to repeat
	Attempts                         uint64     // attempts sent
	ValueRequested, ValueServed      float64    // value of the accepted requests and of the results
	LatencySumMs                     float64    // sum of the latencies of served requests
	LatencyBuckets                   [13]uint64 // served requests by latency; the last bucket has no upper bound
}

// Ending is how a request ended, from the client's view.
type Ending uint8

// The endings.
const (
	Served  Ending = iota
	Refused        // turned away without a result; a retry is safe
	Failed         // ended with an error
	Dropped        // the client disconnected first
)

// Counters holds the counts of all keys.
type Counters struct{ byKey map[Key]*Counts }

// CountsFor returns the counts of a key, to be modified by the caller. It creates them if necessary.
func (c *Counters) CountsFor(k Key) *Counts {
	if c.byKey == nil {
		c.byKey = map[Key]*Counts{}
	}
	counts := c.byKey[k]
	if counts == nil {
		counts = &Counts{}
		c.byKey[k] = counts
	}
	return counts
}

// RecordEnd counts the end of a request of the given value. elapsed and target are in ms; a result after target counts for
// lateShare of the value.
func (c *Counts) RecordEnd(ending Ending, elapsed, target, value, lateShare float64) {
	switch ending {
	case Served:
		c.Served++
		c.LatencySumMs += elapsed
		i, _ := slices.BinarySearch(LatencyBounds, elapsed)
		c.LatencyBuckets[i]++
		if elapsed > target {
			c.Late++
			value *= lateShare
		}
		c.ValueServed += value
	case Refused:
		c.Refused++
	case Failed:
		c.Failed++
	case Dropped:
		c.Dropped++
	}
}

// Open returns the number of requests that have not ended.
func (c *Counts) Open() uint64 { return c.Accepted - c.Served - c.Refused - c.Failed - c.Dropped }

// Add adds the counts of o to c.
func (c *Counts) Add(o *Counts) {
	for _, p := range [][2]*uint64{{&c.Accepted, &o.Accepted}, {&c.MarkedRepeats, &o.MarkedRepeats}, {&c.Served, &o.Served},
		{&c.Refused, &o.Refused}, {&c.Failed, &o.Failed}, {&c.Dropped, &o.Dropped}, {&c.Late, &o.Late},
		{&c.Unproven, &o.Unproven}, {&c.Attempts, &o.Attempts}} {
		*p[0] += *p[1]
	}
	c.ValueRequested, c.ValueServed, c.LatencySumMs =
		c.ValueRequested+o.ValueRequested, c.ValueServed+o.ValueServed, c.LatencySumMs+o.LatencySumMs
	for i := range c.LatencyBuckets {
		c.LatencyBuckets[i] += o.LatencyBuckets[i]
	}
}

// Row holds a key and a copy of its counts.
type Row struct {
	Key
	Counts
}

// Rows returns copies of all counts, sorted by key.
func (c *Counters) Rows() []Row {
	rows := make([]Row, 0, len(c.byKey))
	for k, counts := range c.byKey {
		rows = append(rows, Row{k, *counts})
	}
	slices.SortFunc(rows, func(x, y Row) int {
		return cmp.Or(cmp.Compare(x.Tenant, y.Tenant), cmp.Compare(x.Class, y.Class), cmp.Compare(x.Protocol, y.Protocol))
	})
	return rows
}

// LatencyTarget returns the latency target in ms of a query with the given work in CPU ms, which runs on the given number
// of threads: base, and msPerWork for each ms that the work takes on these threads.
func LatencyTarget(base, msPerWork, work, threads float64) float64 {
	return base + msPerWork*math.Max(work, 0)/math.Max(threads, 1)
}
