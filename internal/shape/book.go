package shape

import (
	"fmt"
	"math"

	"github.com/zeebo/xxh3"
)

// mostCanon is the longest canonical text that is remembered, in bytes. Longer ones are read each time.
const mostCanon = 4096

// Options of a Book.
type Options struct {
	Bytes int    // that remembered shapes may take
	Seed  uint64 // of the hash: who knows it could make texts collide and slow the index down
}

// Stats count what a Book did.
type Stats struct {
	Looks    uint64 // statements
	Hits     uint64 // answered without reading them
	Uncached uint64 // too long to remember
	Evicted  uint64
	Shapes   int
	Bytes    int
	Learned  uint64
	// How far estimates were off, as ratios above 1, in the median: those that requests told, and ours for the same.
	ToldOff, OwnOff float64
}

// Book remembers shapes and what they cost. It belongs to one goroutine.
type Book struct {
	norm     normal
	reader   reader
	seed     uint64
	cache    *cache
	bytes    int // as told
	families map[uint16]*prior
	kinds    [Write + 1]prior
	stats    Stats
	tolds    uint64 // answers whose request told an estimate
	told     Sketch
	own      Sketch
}

// NewBook returns a Book that knows nothing.
func NewBook(o Options) *Book {
	return &Book{seed: o.Seed, cache: newCache(o.Bytes), bytes: o.Bytes, families: map[uint16]*prior{}}
}

// Look tells what a statement is. The result stays valid; it is the same for equal shapes while it is remembered. owner
// says who asks, from 0 to Lanes-1.
func (b *Book) Look(text string, d Dialect, owner int) *Shape {
	b.stats.Looks++
	canon, fault := b.norm.make(text, d)
	if fault != Whole {
		return b.faulty(fault)
	}
	asker := uint8(owner) % Lanes
	long := len(canon) > mostCanon
	hash := b.hashOf(canon)
	if !long {
		if s := b.cache.find(hash, canon, asker); s != nil {
			b.stats.Hits++
			return s
		}
	}
	s := b.make(canon, hash, asker)
	if long {
		b.stats.Uncached++
		return s
	}
	s.canon = append(make([]byte, 0, len(canon)), canon...)
	b.cache.add(s)
	return s
}

func (b *Book) hashOf(canon []byte) uint64 { return xxh3.HashSeed(canon, b.seed) }

func (b *Book) make(canon []byte, hash uint64, asker uint8) *Shape {
	return &Shape{Info: b.reader.read(string(canon)), ID: xxh3.Hash(canon), hash: hash, asker: asker}
}

// faulty is the shape of a text that can't be read. What could be read of it still tells its table group.
func (b *Book) faulty(f Fault) *Shape {
	s := &Shape{Info: Info{Kind: Unknown, Doubt: Malformed}}
	if f == TooLong {
		s.Doubt = OverLong
		return s
	}
	part := b.norm.buf[:b.norm.n]
	i := b.reader.read(string(part))
	s.Group, s.Verb = i.Group, i.Verb
	s.ID = xxh3.HashSeed(part, uint64(f))
	return s
}

// Name is the shape's name in reports: 16 hex digits.
func (s *Shape) Name() string { return fmt.Sprintf("%016x", s.ID) }

// Text is the shape's canonical text for people, without the mark of its dialect.
func (s *Shape) Text() string {
	if len(s.canon) < 2 {
		return ""
	}
	out := []byte(nil)
	for _, c := range s.canon[2:] {
		switch c {
		case markRun:
			out = append(out, "..."...)
		case markName, markText:
			out = append(out, '~')
		default:
			out = append(out, c)
		}
	}
	return string(out)
}

// measured is how many answers with a told estimate one is measured of.
const measured = 4

// Learn takes what a query of a shape took: the work in ms on one core and the memory in MB, and the work that its
// request told, 0 if it told none.
func (b *Book) Learn(s *Shape, told, work, mem float64) {
	if s == nil || !(work > 0) || math.IsInf(work, 0) || !(mem >= 0) {
		return
	}
	b.stats.Learned++
	if told > 0 {
		b.tolds++
	}
	if told > 0 && b.tolds%measured == 0 {
		if e := b.Estimate(s); e.Usable() {
			b.told.Add(off(told, work))
			b.own.Add(off(e.Work, work))
		}
	}
	n, mean := s.Price.Work.N(), s.Price.Work.Mean()
	miss := 0.0
	if n > 0 {
		miss = math.Log(work/mean) / math.Sqrt(1+1/n) // a mean of few is off by itself
	}
	b.family(s).add(work, mem, miss, n > 0)
	b.kinds[s.Kind].add(work, mem, miss, n > 0)
	s.Price.Work.Add(work)
	s.Price.Mem.Add(mem)
}

func off(a, b float64) float64 { return math.Max(a/b, b/a) }

// family is the prior of a shape's features. There are few: the features are bits and short numbers.
func (b *Book) family(s *Shape) *prior {
	k := s.Family()
	p := b.families[k]
	if p == nil {
		p = &prior{}
		b.families[k] = p
	}
	return p
}

// Estimate is what a query of a shape is expected to take. A shape heard little leans on those of its features, and
// these on those of its kind.
func (b *Book) Estimate(s *Shape) Estimate {
	kind, family := &b.kinds[s.Kind], b.families[s.Family()]
	if family == nil {
		family = &prior{}
	}
	work := blend(ratio(family.work, family.n), family.n, ratio(kind.work, kind.n), familyWeight)
	mem := blend(ratio(family.mem, family.memN), family.memN, ratio(kind.mem, kind.memN), familyWeight)
	w := family.weight()
	n, m := s.Price.Work.N(), s.Price.Mem.N()
	return Estimate{Work: blend(s.Price.Work.Mean(), n, work, w), Mem: blend(s.Price.Mem.Mean(), m, mem, w), Sure: n / (n + w)}
}

// Stats tells what the Book did so far.
func (b *Book) Stats() Stats {
	s := b.stats
	s.Evicted, s.Shapes, s.Bytes = b.cache.evicted, b.cache.count, b.cache.used
	s.ToldOff, s.OwnOff = b.told.Quantile(0.5), b.own.Quantile(0.5)
	return s
}

// Each calls f for every shape remembered.
func (b *Book) Each(f func(*Shape)) { b.cache.each(f) }
