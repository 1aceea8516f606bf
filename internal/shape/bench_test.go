package shape

import (
	"fmt"
	"testing"
)

const counterQuery = "SELECT day, count(*), max(note) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day"

func BenchmarkHit(b *testing.B) {
	book := NewBook(Options{Bytes: 1 << 20, Seed: 7})
	book.Look(counterQuery, Postgres, 0)
	b.ReportAllocs()
	b.SetBytes(int64(len(counterQuery)))
	for b.Loop() {
		book.Look(counterQuery, Postgres, 0)
	}
}

func BenchmarkMiss(b *testing.B) {
	book := NewBook(Options{Bytes: 1 << 20, Seed: 7})
	texts := make([]string, 100000)
	for i := range texts {
		texts[i] = fmt.Sprintf("SELECT day, count(*), max(c%d) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day", i)
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		book.Look(texts[i%len(texts)], Postgres, 0)
		i++
	}
}
