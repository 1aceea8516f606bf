package shape

import (
	"testing"
)

func dumped(b *Book) []byte {
	d := b.Dump()
	for !d.Step(7) {
	}
	return d.Bytes()
}

func busy() *Book {
	b := NewBook(Options{Bytes: 1 << 18, Seed: 5})
	for i, l := range mix5() {
		s := b.Look(l, Postgres, i%5)
		for j := range 1 + i%7 {
			b.Learn(s, 0, float64(10+i*j), float64(i))
		}
	}
	return b
}

func mix5() (all []string) {
	for i := range 300 {
		all = append(all, counterText(i%200, i), floodText(i))
	}
	return append(all, "SELECT a FROM t WHERE b IN (1,2,3)", `SELECT "x y" FROM U&"t"`, "DO $$ BEGIN DELETE FROM sales_3.t; END $$")
}

// What a Book knew it knows again: shapes, prices and priors.
func TestDumpAndLoad(t *testing.T) {
	one := busy()
	two := NewBook(Options{Bytes: 1 << 18, Seed: 99})
	n, err := two.Load(dumped(one))
	if err != nil || n != one.cache.count || two.cache.count != n {
		t.Fatalf("%d of %d shapes, %v", n, one.cache.count, err)
	}
	one.Each(func(s *Shape) {
		o := two.cache.find(two.hashOf(s.canon), s.canon, 0)
		if o == nil || o.ID != s.ID || o.label() != s.label() || o.Price.Work.bins != s.Price.Work.bins {
			t.Fatalf("%s is not there as it was: %+v", s.Text(), o)
		}
		a, b := one.Estimate(s), two.Estimate(o)
		if off(a.Work, b.Work) > 1.001 || off(a.Sure+1, b.Sure+1) > 1.001 {
			t.Errorf("%s: estimate %+v, was %+v", s.Text(), b, a)
		}
	})
	// A smaller one keeps what fits.
	three := NewBook(Options{Bytes: 1 << 16})
	if _, err := three.Load(dumped(one)); err != nil || three.cache.used > three.cache.most || three.cache.count == 0 {
		t.Errorf("%d bytes of %d, %v", three.cache.used, three.cache.most, err)
	}
}

// A dump that is cut or altered loads whole or not at all, and never does harm.
func TestLoadIsAllOrNothing(t *testing.T) {
	whole := dumped(busy())
	for n := 0; n < len(whole); n += 61 {
		b := NewBook(Options{Bytes: 1 << 18})
		if _, err := b.Load(whole[:n]); err == nil || b.cache.count > 0 || len(b.families) > 0 {
			t.Fatalf("cut at %d: %v, %d shapes", n, err, b.cache.count)
		}
	}
}

func FuzzLoad(f *testing.F) {
	f.Add(dumped(busy()))
	f.Add(dumped(NewBook(Options{})))
	f.Fuzz(func(t *testing.T, payload []byte) {
		b := NewBook(Options{Bytes: 1 << 16})
		if n, err := b.Load(payload); err != nil && (n > 0 || b.cache.count > 0) {
			t.Errorf("%d shapes and %v", n, err)
		}
		b.Look(counterQuery, Postgres, 0)
	})
}
