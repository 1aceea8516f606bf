package shape

import (
	"testing"
)

// dumpBytes serializes a catalog in several steps.
func dumpBytes(catalog *Catalog) []byte {
	d := catalog.Dump()
	for !d.Step(7) {
	}
	return d.Bytes()
}

// filledCatalog returns a catalog with statements of several owners and learned costs.
func filledCatalog() *Catalog {
	catalog := NewCatalog(Options{MaxBytes: 1 << 18, HashSeed: 5})
	for i, statement := range mixedStatements() {
		s := catalog.Recognize(statement, Postgres, i%5)
		for j := range 1 + i%7 {
			catalog.Learn(s, 0, float64(10+i*j), float64(i))
		}
	}
	return catalog
}

// mixedStatements returns lookups, statements with shapes of their own, and statements with special tokens.
func mixedStatements() (all []string) {
	for i := range 300 {
		all = append(all, lookupStatement(i%200, i), floodStatement(i))
	}
	return append(all, "SELECT a FROM t WHERE b IN (1,2,3)", `SELECT "x y" FROM U&"t"`,
		"DO $$ BEGIN DELETE FROM sales_3.t; END $$")
}

// A dump restores the shapes, their costs and the priors.
func TestDumpAndLoad(t *testing.T) {
	one := filledCatalog()
	two := NewCatalog(Options{MaxBytes: 1 << 18, HashSeed: 99})
	n, err := two.Load(dumpBytes(one))
	if err != nil || n != one.cache.count || two.cache.count != n {
		t.Fatalf("%d of %d shapes, %v", n, one.cache.count, err)
	}
	one.Each(func(s *Shape) {
		restored := two.cache.find(two.hashCanonical(s.canonical), s.canonical, 0)
		if restored == nil || restored.ID != s.ID || restored.label() != s.label() ||
			restored.Cost.Work.bins != s.Cost.Work.bins {
			t.Fatalf("%s is not restored: %+v", s.Text(), restored)
		}
		a, b := one.Estimate(s), two.Estimate(restored)
		if errorRatio(a.Work, b.Work) > 1.001 || errorRatio(a.Confidence+1, b.Confidence+1) > 1.001 {
			t.Errorf("%s: estimate %+v, was %+v", s.Text(), b, a)
		}
	})
	// A catalog with less memory keeps what fits.
	three := NewCatalog(Options{MaxBytes: 1 << 16})
	if _, err := three.Load(dumpBytes(one)); err != nil || three.cache.usedBytes > three.cache.maxBytes ||
		three.cache.count == 0 {
		t.Errorf("%d bytes of %d, %v", three.cache.usedBytes, three.cache.maxBytes, err)
	}
}

// A truncated dump is rejected as a whole and leaves the catalog empty.
func TestLoadIsAllOrNothing(t *testing.T) {
	whole := dumpBytes(filledCatalog())
	for n := 0; n < len(whole); n += 61 {
		catalog := NewCatalog(Options{MaxBytes: 1 << 18})
		if _, err := catalog.Load(whole[:n]); err == nil || catalog.cache.count > 0 || len(catalog.featurePriors) > 0 {
			t.Fatalf("truncated to %d bytes: %v, %d shapes", n, err, catalog.cache.count)
		}
	}
}

// Whatever is loaded does not crash the catalog. If it is rejected, the catalog stays empty.
func FuzzLoad(f *testing.F) {
	f.Add(dumpBytes(filledCatalog()))
	f.Add(dumpBytes(NewCatalog(Options{})))
	f.Fuzz(func(t *testing.T, payload []byte) {
		catalog := NewCatalog(Options{MaxBytes: 1 << 16})
		if n, err := catalog.Load(payload); err != nil && (n > 0 || catalog.cache.count > 0) {
			t.Errorf("%d shapes and %v", n, err)
		}
		catalog.Recognize(aggregateQuery, Postgres, 0)
	})
}
