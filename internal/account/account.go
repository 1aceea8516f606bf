// Package account counts what members asked for and what they got, by class and protocol. It belongs to the event loop;
// others see copies.
package account

import (
	"cmp"
	"math"
	"slices"
)

// Key is what is counted apart. All three come from the settings and the program, never from what clients wrote.
type Key struct{ Tenant, Class, Protocol string }

// Bounds of the buckets of answers' times, in ms.
var Bounds = []float64{5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10000, 20000}

// Counts are those of one key. Every request taken is in one of Served, Refused, Failed and Dropped once it has ended.
type Counts struct {
	Taken, Repeats                   uint64 // of these, so many were marked as a client's repeat
	Served, Refused, Failed, Dropped uint64
	Late                             uint64     // served past the aim
	Doubted                          uint64     // put on the safe default for their statement
	Sends                            uint64     // attempts
	Asked, Earned                    float64    // worth
	Millis                           float64    // sum of the times to good answers
	Under                            [13]uint64 // of those, how many in each bucket; the last has no bound
}

// Ending is how a request ended for its client.
type Ending uint8

// The endings.
const (
	Served Ending = iota
	Refused
	Failed
	Dropped
)

// Book is all counts.
type Book struct{ of map[Key]*Counts }

// Of are the counts of a key, to be added to.
func (b *Book) Of(k Key) *Counts {
	if b.of == nil {
		b.of = map[Key]*Counts{}
	}
	c := b.of[k]
	if c == nil {
		c = &Counts{}
		b.of[k] = c
	}
	return c
}

// End counts the end of a request that was worth so much: its time in ms, and by how much of it an answer past the aim
// counts.
func (c *Counts) End(e Ending, took, aim, worth, late float64) {
	switch e {
	case Served:
		c.Served++
		c.Millis += took
		i, _ := slices.BinarySearch(Bounds, took)
		c.Under[i]++
		if took > aim {
			c.Late++
			worth *= late
		}
		c.Earned += worth
	case Refused:
		c.Refused++
	case Failed:
		c.Failed++
	case Dropped:
		c.Dropped++
	}
}

// Open is how many requests have not ended.
func (c *Counts) Open() uint64 { return c.Taken - c.Served - c.Refused - c.Failed - c.Dropped }

// Add adds another's counts.
func (c *Counts) Add(o *Counts) {
	for _, p := range [][2]*uint64{{&c.Taken, &o.Taken}, {&c.Repeats, &o.Repeats}, {&c.Served, &o.Served}, {&c.Refused, &o.Refused},
		{&c.Failed, &o.Failed}, {&c.Dropped, &o.Dropped}, {&c.Late, &o.Late}, {&c.Doubted, &o.Doubted}, {&c.Sends, &o.Sends}} {
		*p[0] += *p[1]
	}
	c.Asked, c.Earned, c.Millis = c.Asked+o.Asked, c.Earned+o.Earned, c.Millis+o.Millis
	for i := range c.Under {
		c.Under[i] += o.Under[i]
	}
}

// Row is a key and a copy of its counts.
type Row struct {
	Key
	Counts
}

// Rows are copies of all counts, sorted.
func (b *Book) Rows() []Row {
	rows := make([]Row, 0, len(b.of))
	for k, c := range b.of {
		rows = append(rows, Row{k, *c})
	}
	slices.SortFunc(rows, func(x, y Row) int {
		return cmp.Or(cmp.Compare(x.Tenant, y.Tenant), cmp.Compare(x.Class, y.Class), cmp.Compare(x.Protocol, y.Protocol))
	})
	return rows
}

// Aim is the time in which an answer is wanted, in ms, of a class with an aim that grows with the work on so many threads.
func Aim(aim, stretch, work, threads float64) float64 {
	return aim + stretch*math.Max(work, 0)/math.Max(threads, 1)
}
