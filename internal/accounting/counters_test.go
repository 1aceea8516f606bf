package accounting

import (
	"testing"

	"pgregory.net/rapid"
)

// Each request must be counted once, however it ends: accepted requests are the sum of the endings and the open requests,
// and adding two Counts equals counting all requests in one.
func TestRequestsAreCountedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var one, a, b Counts
		n := rapid.IntRange(0, 50).Draw(t, "requests")
		ended := uint64(0)
		for i := range n {
			half := &a
			if i%2 == 1 {
				half = &b
			}
			e := Ending(rapid.IntRange(0, 4).Draw(t, "ending"))
			elapsed := rapid.Float64Range(0, 50000).Draw(t, "took")
			for _, c := range []*Counts{&one, half} {
				c.Accepted++
				c.ValueRequested += 3
				if e <= Dropped {
					c.RecordEnd(e, elapsed, 1000, 3, 0.5)
				}
			}
			if e <= Dropped {
				ended++
			}
		}
		if one.Open() != uint64(n)-ended {
			t.Fatalf("%d open of %d accepted, %d ended", one.Open(), n, ended)
		}
		sum := uint64(0)
		for _, count := range one.LatencyBuckets {
			sum += count
		}
		if sum != one.Served || one.ValueServed > one.ValueRequested || one.ValueServed < 1.5*float64(one.Served) {
			t.Fatalf("%+v", one)
		}
		if a.Add(&b); a.Accepted != one.Accepted || a.LatencyBuckets != one.LatencyBuckets || a.Late != one.Late ||
			a.Open() != one.Open() {
			t.Fatalf("counted in one %+v, added %+v", one, a)
		}
	})
}

// Rows must be sorted by key, and must be copies that later counts and writes do not share.
func TestRows(t *testing.T) {
	var counters Counters
	counters.CountsFor(Key{"b", "x", "postgres"}).Accepted++
	counters.CountsFor(Key{"a", "x", "postgres"}).Accepted++
	counters.CountsFor(Key{"a", "x", "clickhouse"}).Accepted++
	counters.CountsFor(Key{"a", "x", "clickhouse"}).Accepted++
	rows := counters.Rows()
	if len(rows) != 3 || rows[0].Protocol != "clickhouse" || rows[0].Accepted != 2 || rows[2].Tenant != "b" {
		t.Errorf("%+v", rows)
	}
	rows[0].Accepted = 99
	if counters.CountsFor(Key{"a", "x", "clickhouse"}).Accepted != 2 {
		t.Error("a row is not a copy")
	}
	if LatencyTarget(100, 2, 300, 3) != 300 || LatencyTarget(100, 2, -5, 0) != 100 {
		t.Error("wrong latency target")
	}
}
