package choice

import (
	"fmt"
	"testing"
)

// Guards against memory that grows without end: a client sends requests under ever new table groups. The number that is remembered
// stays limited, and those that others request again and again are not displaced.
func TestNewTableGroupsUseUpMemory(t *testing.T) {
	const names, usual = 50000, 100
	h := newHarness(t, testSettings(), testEngine("e1"))
	for i := range names {
		q := testRequest(fmt.Sprint("r", i), "lookup", h)
		q.TableGroup = fmt.Sprint("new", i)
		if i%10 == 0 {
			q.TableGroup = fmt.Sprint("usual", i/10%usual)
		}
		q.Deadline = h.scheduler.now // it is failed at once
		h.step(0.02, q)
		if n := len(h.scheduler.tableGroups.byName); n > maxNewTableGroups+maxRepeatedTableGroups {
			t.Fatalf("%d table groups are remembered after %d requests", n, i+1)
		}
	}
	for i := range usual {
		g := h.scheduler.tableGroups.byName[fmt.Sprint("usual", i)]
		if g == nil || g.requests < names/10/usual*0.9 {
			t.Fatalf("table group %d, requested %d times, is remembered as %+v", i, names/10/usual, g)
		}
	}
}

// Guards against the same with names that are each requested twice.
func TestRepeatedTableGroupsUseUpMemory(t *testing.T) {
	var groups tableGroups
	for i := range 3 * maxRepeatedTableGroups {
		for range 2 {
			groups.count(fmt.Sprint("g", i), false, float64(i), warmPeriodMs)
		}
		if len(groups.byName) != groups.fresh.Len()+groups.repeated.Len() || len(groups.byName) > maxNewTableGroups+maxRepeatedTableGroups {
			t.Fatalf("%d table groups are remembered, %d and %d listed", len(groups.byName), groups.fresh.Len(), groups.repeated.Len())
		}
	}
	groups.dropBefore(1e9)
	if len(groups.byName) != 0 {
		t.Errorf("%d table groups are remembered after all have expired", len(groups.byName))
	}
}
