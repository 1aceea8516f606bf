package account

import (
	"testing"

	"pgregory.net/rapid"
)

// Whatever ends how, each request is counted once: taken is the sum of the endings and of what is open, and adding up
// two books' counts is counting all in one.
func TestEverythingIsCountedOnce(t *testing.T) {
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
			took := rapid.Float64Range(0, 50000).Draw(t, "took")
			for _, c := range []*Counts{&one, half} {
				c.Taken++
				c.Asked += 3
				if e <= Dropped {
					c.End(e, took, 1000, 3, 0.5)
				}
			}
			if e <= Dropped {
				ended++
			}
		}
		if one.Open() != uint64(n)-ended {
			t.Fatalf("%d open of %d taken, %d ended", one.Open(), n, ended)
		}
		sum := uint64(0)
		for _, u := range one.Under {
			sum += u
		}
		if sum != one.Served || one.Earned > one.Asked || one.Earned < 1.5*float64(one.Served) {
			t.Fatalf("%+v", one)
		}
		if a.Add(&b); a.Taken != one.Taken || a.Under != one.Under || a.Late != one.Late || a.Open() != one.Open() {
			t.Fatalf("%+v, added up %+v", one, a)
		}
	})
}

func TestRows(t *testing.T) {
	var b Book
	b.Of(Key{"b", "x", "postgres"}).Taken++
	b.Of(Key{"a", "x", "postgres"}).Taken++
	b.Of(Key{"a", "x", "clickhouse"}).Taken++
	b.Of(Key{"a", "x", "clickhouse"}).Taken++
	rows := b.Rows()
	if len(rows) != 3 || rows[0].Protocol != "clickhouse" || rows[0].Taken != 2 || rows[2].Tenant != "b" {
		t.Errorf("%+v", rows)
	}
	rows[0].Taken = 99
	if b.Of(Key{"a", "x", "clickhouse"}).Taken != 2 {
		t.Error("a copy is the book's own")
	}
	if Aim(100, 2, 300, 3) != 300 || Aim(100, 2, -5, 0) != 100 {
		t.Error("aims")
	}
}
