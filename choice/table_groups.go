package choice

import (
	"container/list"
	"math"
)

// Limits on the table groups that are remembered. Their names come from clients, so without a limit a client that uses ever new
// names would use up the memory. A new name can only displace names that were requested once.
const (
	maxNewTableGroups      = 1024 // requested once
	maxRepeatedTableGroups = 4096 // requested several times
)

// tableGroup holds the decaying counts of a table group's requests, and the engines in their order of preference for it as of
// listVersion.
type tableGroup struct {
	name                string
	requests, updatedAt float64
	loads               float64 // part of requests that are loads
	listVersion         int
	engines             []*engine
	repeated            bool
	element             *list.Element // in tableGroups.fresh or tableGroups.repeated
}

// tableGroups holds the table groups that were requested lately.
type tableGroups struct {
	byName          map[string]*tableGroup
	fresh, repeated list.List // of *tableGroup; the one that was updated least recently is first
}

// get returns the table group with a name, and adds it if it is new.
func (t *tableGroups) get(name string, now float64) *tableGroup {
	g := t.byName[name]
	if g == nil {
		if t.byName == nil {
			t.byName = map[string]*tableGroup{}
		}
		g = &tableGroup{name: name, updatedAt: now}
		t.byName[name] = g
		g.element = t.fresh.PushBack(g)
		t.limit(&t.fresh, maxNewTableGroups)
	}
	return g
}

// count counts a request for a table group. Counts decay with decayTime.
func (t *tableGroups) count(name string, isLoad bool, now, decayTime float64) {
	g := t.get(name, now)
	wasRequested := g.requests > 0
	decay := math.Exp((g.updatedAt - now) / decayTime)
	g.requests, g.loads = g.requests*decay+1, g.loads*decay
	if isLoad {
		g.loads++
	}
	g.updatedAt = now
	switch {
	case g.repeated:
		t.repeated.MoveToBack(g.element)
	case wasRequested:
		t.fresh.Remove(g.element)
		g.repeated, g.element = true, t.repeated.PushBack(g)
		t.limit(&t.repeated, maxRepeatedTableGroups)
	default:
		t.fresh.MoveToBack(g.element)
	}
}

// limit drops the table groups at the front of a list until it has at most count.
func (t *tableGroups) limit(from *list.List, count int) {
	for from.Len() > count {
		t.dropFirst(from)
	}
}

// dropBefore drops the table groups that were last updated before a time.
func (t *tableGroups) dropBefore(at float64) {
	for _, from := range []*list.List{&t.fresh, &t.repeated} {
		for first := from.Front(); first != nil && first.Value.(*tableGroup).updatedAt < at; first = from.Front() {
			t.dropFirst(from)
		}
	}
}

// dropFirst drops the table group at the front of a list.
func (t *tableGroups) dropFirst(from *list.List) {
	delete(t.byName, from.Remove(from.Front()).(*tableGroup).name)
}
