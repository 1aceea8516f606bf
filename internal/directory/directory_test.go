package directory

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

type connections struct {
	Endpoint
	busy     int
	replaced []string
}

func (c *connections) ServerReplaced(id string) { c.replaced = append(c.replaced, id) }
func (c *connections) Unused() bool             { return c.busy == 0 }

func newConnections(endpoint Endpoint) *connections { return &connections{Endpoint: endpoint} }

// listing is a model of the directory: the ids of the listed servers by address, in the order in which they were first listed
// with it.
type listing map[string][]string

func (l listing) remove(id string) {
	for addr, ids := range l {
		l[addr] = slices.DeleteFunc(ids, func(x string) bool { return x == id })
	}
}

func (l listing) update(id, addr string) {
	if addr != "" && !slices.Contains(l[addr], id) {
		l.remove(id)
		l[addr] = append(l[addr], id)
	}
}

// check compares the directory with the model: a server is found if it is the last one that was first listed with its address,
// and an endpoint is kept while a server is listed with it or it is in use.
func (l listing) check(t *rapid.T, d *Directory[*connections]) {
	endpoints := map[string]*connections{}
	for _, c := range d.All() {
		if endpoints[c.Addr] != nil {
			t.Fatalf("two endpoints have address %s", c.Addr)
		}
		endpoints[c.Addr] = c
		if len(l[c.Addr]) == 0 && c.busy == 0 {
			t.Fatalf("%s is kept without a server or a use", c.Addr)
		}
	}
	for addr, ids := range l {
		for i, id := range ids {
			c, ok := d.Get(id)
			if isLast := i == len(ids)-1; ok != isLast || ok && (c != endpoints[addr] || c.ServerID() != id) {
				t.Fatalf("%s at %s, listed are %v: found %v, %+v", id, addr, ids, ok, c)
			}
		}
	}
}

// snapshot holds the endpoints of a directory in their order, and the server of each.
type snapshot struct {
	endpoints []*connections
	servers   []string
}

func snapshotOf(d *Directory[*connections]) (s snapshot) {
	for _, c := range d.All() {
		c.replaced = nil
		s.endpoints, s.servers = append(s.endpoints, c), append(s.servers, c.ServerID())
	}
	return s
}

// checkChanges checks that endpoints keep their order and that each was told once of a server that is not reached there any more.
func (s snapshot) checkChanges(t *rapid.T, d *Directory[*connections]) {
	kept := 0
	for i, c := range s.endpoints {
		var want []string
		if c.ServerID() != s.servers[i] {
			want = []string{s.servers[i]}
		}
		if !slices.Equal(c.replaced, want) {
			t.Fatalf("%s: told that %q were replaced, not %q", c.Addr, c.replaced, want)
		}
		if slices.Contains(d.All(), c) {
			if d.All()[kept] != c {
				t.Fatalf("%s has changed its place", c.Addr)
			}
			kept++
		}
	}
}

// In whatever order updates arrive, an address belongs to the listed server that was first listed with it last, an address has
// one endpoint, and an endpoint without a server is deleted once it is unused.
func TestDirectory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d Directory[*connections]
		model := listing{}
		ids, addrs := rapid.SampledFrom([]string{"a", "b", "c"}), rapid.SampledFrom([]string{"", "1", "2", "3"})
		for range rapid.IntRange(1, 60).Draw(t, "updates") {
			id, addr := ids.Draw(t, "id"), addrs.Draw(t, "addr")
			before := snapshotOf(&d)
			if rapid.IntRange(0, 3).Draw(t, "removed") == 0 {
				d.Remove(id)
				model.remove(id)
			} else {
				d.Update(id, addr, newConnections)
				model.update(id, addr)
			}
			before.checkChanges(t, &d)
			for _, c := range slices.Clone(d.All()) {
				c.busy = rapid.IntRange(0, 1).Draw(t, "busy")
				if deleted := d.RemoveIfUnused(c); deleted != (c.ServerID() == "" && c.busy == 0) {
					t.Fatalf("%s: deleted %v, server %q, busy %d", c.Addr, deleted, c.ServerID(), c.busy)
				}
			}
			model.check(t, &d)
		}
		d.RemoveUnlisted(map[string]bool{"a": true})
		model.remove("b")
		model.remove("c")
		model.check(t, &d)
	})
}

// Guards against a server that can't be reached: the end of the one that had its address before is reported after its own start,
// and must not take the address away from it.
func TestLateEndOfPreviousServerKeepsAddress(t *testing.T) {
	var d Directory[*connections]
	d.Update("old", "1", newConnections)
	c, _ := d.Get("old")
	c.busy = 1
	d.Update("new", "1", newConnections)
	d.Update("old", "1", newConnections) // it drains
	d.Remove("old")
	if got, ok := d.Get("new"); !ok || got != c || got.ServerID() != "new" {
		t.Errorf("the new server is found: %v, %+v", ok, got)
	}
	if _, ok := d.Get("old"); ok {
		t.Error("the removed server is found")
	}
	if !slices.Equal(c.replaced, []string{"old"}) {
		t.Errorf("replaced: %q", c.replaced)
	}
}
