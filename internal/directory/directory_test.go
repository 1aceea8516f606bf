package directory

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

type server struct {
	Place
	busy, lost, leaves int
}

func (s *server) Leave()     { s.leaves++ }
func (s *server) Lose()      { s.lost++ }
func (s *server) Left() bool { return s.busy == 0 }

// Whatever the order of news, an address belongs to one server at most, that which was named with it last; one that has
// gone is kept while something of it is left and forgotten then; and the order is that of naming.
func TestDirectory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var d Directory[*server]
		ids, addrs := rapid.SampledFrom([]string{"a", "b", "c"}), rapid.SampledFrom([]string{"", "1", "2", "3"})
		last := map[string]string{} // address -> who was named with it last
		for range rapid.IntRange(1, 60).Draw(t, "news") {
			id, addr, gone := ids.Draw(t, "id"), addrs.Draw(t, "addr"), rapid.IntRange(0, 3).Draw(t, "gone") == 0
			_, known := d.Get(id)
			d.Know(id, addr, gone, func(p Place) *server { return &server{Place: p} })
			if (known || !gone) && addr != "" {
				last[addr] = id
			}
			if s, ok := d.Get(id); ok {
				s.busy = rapid.IntRange(0, 1).Draw(t, "busy")
				if forgotten := d.Forget(s); forgotten != (s.Gone && s.busy == 0) {
					t.Fatalf("%s: forgotten %v, gone %v, busy %d", id, forgotten, s.Gone, s.busy)
				}
			}
			seen := map[string]bool{}
			for _, s := range d.All() {
				if got, ok := d.Get(s.ID); !ok || got != s {
					t.Fatalf("%s is in the order and not known", s.ID)
				}
				if s.Addr != "" && (seen[s.Addr] || last[s.Addr] != s.ID) {
					t.Fatalf("%s has %s, which was given to %s", s.ID, s.Addr, last[s.Addr])
				}
				seen[s.Addr] = true
			}
		}
		d.Only(map[string]bool{"a": true})
		for _, s := range d.All() {
			if s.Gone != (s.ID != "a") && !(s.ID == "a" && s.Gone) {
				t.Fatalf("%s: gone %v after a list of a", s.ID, s.Gone)
			}
		}
	})
	var d Directory[*server]
	for i := range 3 {
		d.Know(fmt.Sprint(i), "1", false, func(p Place) *server { return &server{Place: p, busy: 1} })
	}
	if x := d.All(); x[0].lost != 1 || x[1].lost != 1 || x[2].lost != 0 || x[0].Addr != "" || x[2].Addr != "1" {
		t.Errorf("%+v %+v %+v", x[0], x[1], x[2])
	}
}
