package shape

import (
	"fmt"
	"testing"
)

const aggregateQuery = "SELECT day, count(*), max(note) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day"

// BenchmarkHit measures the recognition of a statement whose shape is cached.
func BenchmarkHit(b *testing.B) {
	catalog := NewCatalog(Options{MaxBytes: 1 << 20, HashSeed: 7})
	catalog.Recognize(aggregateQuery, Postgres, 0)
	b.ReportAllocs()
	b.SetBytes(int64(len(aggregateQuery)))
	for b.Loop() {
		catalog.Recognize(aggregateQuery, Postgres, 0)
	}
}

// BenchmarkMiss measures the recognition of statements whose shapes are seldom cached.
func BenchmarkMiss(b *testing.B) {
	catalog := NewCatalog(Options{MaxBytes: 1 << 20, HashSeed: 7})
	texts := make([]string, 100000)
	for i := range texts {
		texts[i] = fmt.Sprintf("SELECT day, count(*), max(c%d) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day", i)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		catalog.Recognize(texts[i%len(texts)], Postgres, 0)
		i++
	}
}
