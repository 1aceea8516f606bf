package directory

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

type server struct {
	Record
	busy, addressTaken, idleClosed int
}

func (s *server) CloseIdle()    { s.idleClosed++ }
func (s *server) AddressTaken() { s.addressTaken++ }
func (s *server) Unused() bool  { return s.busy == 0 }

// In whatever order updates arrive, an address belongs to at most one server, the one last listed with it. A removed server
// is kept as long as it is in use and then deleted, and servers stay in the order in which they were first listed.
func TestDirectory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d Directory[*server]
		ids, addrs := rapid.SampledFrom([]string{"a", "b", "c"}), rapid.SampledFrom([]string{"", "1", "2", "3"})
		last := map[string]string{} // address -> id of the server last listed with it
		for range rapid.IntRange(1, 60).Draw(t, "updates") {
			id, addr, removed := ids.Draw(t, "id"), addrs.Draw(t, "addr"), rapid.IntRange(0, 3).Draw(t, "removed") == 0
			_, known := d.Get(id)
			d.Update(id, addr, removed, func(record Record) *server { return &server{Record: record} })
			if (known || !removed) && addr != "" {
				last[addr] = id
			}
			if s, ok := d.Get(id); ok {
				s.busy = rapid.IntRange(0, 1).Draw(t, "busy")
				if deleted := d.RemoveIfUnused(s); deleted != (s.Removed && s.busy == 0) {
					t.Fatalf("%s: deleted %v, removed %v, busy %d", id, deleted, s.Removed, s.busy)
				}
			}
			seen := map[string]bool{}
			for _, s := range d.All() {
				if got, ok := d.Get(s.ID); !ok || got != s {
					t.Fatalf("%s is listed in All but not known to Get", s.ID)
				}
				if s.Addr != "" && (seen[s.Addr] || last[s.Addr] != s.ID) {
					t.Fatalf("%s has address %s, which was last listed for %s", s.ID, s.Addr, last[s.Addr])
				}
				seen[s.Addr] = true
			}
		}
		d.RemoveUnlisted(map[string]bool{"a": true})
		for _, s := range d.All() {
			if s.Removed != (s.ID != "a") && !(s.ID == "a" && s.Removed) {
				t.Fatalf("%s: removed %v after a complete list that names only a", s.ID, s.Removed)
			}
		}
	})
	var d Directory[*server]
	for i := range 3 {
		d.Update(fmt.Sprint(i), "1", false, func(record Record) *server { return &server{Record: record, busy: 1} })
	}
	if servers := d.All(); servers[0].addressTaken != 1 || servers[1].addressTaken != 1 || servers[2].addressTaken != 0 ||
		servers[0].Addr != "" || servers[2].Addr != "1" {
		t.Errorf("%+v %+v %+v", servers[0], servers[1], servers[2])
	}
}
