package shape

import (
	"bytes"
	"unsafe"
)

// The cache is S3-FIFO (Yang et al., SOSP 2023): what comes waits in a small queue, goes on to the main queue if it is
// asked for again meanwhile, and is else dropped and remembered as a ghost; the main queue gives what was asked for
// another round. A hit sets a counter and moves nothing. Ours: every owner has a pair of queues of its own, a lane, and
// what must go is taken from the lane that holds most bytes. So a member that floods the cache with new shapes pushes out
// its own.

const (
	// Lanes is the number of owners that are told apart.
	Lanes      = 16
	smallShare = 10 // one part in so many of a lane is its small queue
	mostFreq   = 3
	usualBytes = 512 // of an entry, by which index and ghosts are sized
	ghostWays  = 8
	leastBytes = 64 << 10
)

// Shape is a statement's shape, with what is known of it.
type Shape struct {
	Info
	ID    uint64 // stable over runs
	Price Price

	canon        []byte
	hash         uint64
	chain        *Shape // in the index
	newer        *Shape // in its queue
	bytes        int32
	lane, asker  uint8 // whose queues it stands in, and who asked for it last
	freq         uint8
	main, cached bool
}

// queue is first in, first out.
type queue struct {
	oldest, newest *Shape
	bytes          int
}

func (q *queue) push(s *Shape) {
	if s.newer = nil; q.newest == nil {
		q.oldest = s
	} else {
		q.newest.newer = s
	}
	q.newest = s
	q.bytes += int(s.bytes)
}

func (q *queue) pop() *Shape {
	s := q.oldest
	if q.oldest = s.newer; q.oldest == nil {
		q.newest = nil
	}
	s.newer = nil
	q.bytes -= int(s.bytes)
	return s
}

// ghosts remembers the hashes of what was dropped of late, in a table of fixed size: a few ways a bucket, the oldest of
// a bucket making room.
type ghosts struct {
	slots [][ghostWays]uint32
	turn  []uint8
}

func (g *ghosts) bucket(h uint64) int { return int(h>>32) & (len(g.slots) - 1) }

func (g *ghosts) add(h uint64) {
	b := g.bucket(h)
	g.slots[b][g.turn[b]%ghostWays] = uint32(h) | 1
	g.turn[b]++
}

// take tells whether a hash is there, and takes it out.
func (g *ghosts) take(h uint64) bool {
	b := g.bucket(h)
	for i, v := range g.slots[b] {
		if v == uint32(h)|1 {
			g.slots[b][i] = 0
			return true
		}
	}
	return false
}

type lane struct{ small, main queue }

func (l *lane) bytes() int { return l.small.bytes + l.main.bytes }

// cache holds shapes in at most so many bytes, its own tables among them.
type cache struct {
	most, used int
	count      int
	evicted    uint64
	index      []*Shape
	lanes      [Lanes]lane
	ghosts     ghosts
}

func newCache(most int) *cache {
	most = max(most, leastBytes)
	slots := 64
	for slots*2*usualBytes <= most {
		slots *= 2
	}
	c := &cache{index: make([]*Shape, slots), ghosts: ghosts{slots: make([][ghostWays]uint32, max(slots/ghostWays, 1)), turn: make([]uint8, max(slots/ghostWays, 1))}}
	c.most = most - slots*8 - slots*4 - slots/ghostWays
	return c
}

// find looks a canonical text up. Danger: two texts may have one hash; only equal ones are one shape.
func (c *cache) find(hash uint64, canon []byte, asker uint8) *Shape {
	for s := c.index[hash&uint64(len(c.index)-1)]; s != nil; s = s.chain {
		if s.hash == hash && bytes.Equal(s.canon, canon) {
			if s.freq < mostFreq {
				s.freq++
			}
			s.asker = asker
			return s
		}
	}
	return nil
}

// size is what an entry takes, as near as can be told from outside the allocator.
func (s *Shape) size() int32 {
	n := int(unsafe.Sizeof(*s)) + cap(s.canon) + len(s.Verb) + len(s.Group) + 32
	for _, set := range [][]string{s.Reads, s.Writes} {
		n += cap(set) * (int(unsafe.Sizeof("")) + 8)
	}
	return int32(n)
}

// add puts a shape in. It may be dropped again at once.
func (c *cache) add(s *Shape) {
	s.bytes = s.size()
	slot := &c.index[s.hash&uint64(len(c.index)-1)]
	s.chain, *slot = *slot, s
	s.cached, s.lane = true, s.asker
	c.count++
	c.used += int(s.bytes)
	l := &c.lanes[s.lane]
	if s.main = c.ghosts.take(s.hash); s.main {
		l.main.push(s)
	} else {
		l.small.push(s)
	}
	for c.used > c.most {
		c.evict()
	}
}

// evict takes one step towards room: it drops a shape or gives one another round.
func (c *cache) evict() {
	l := &c.lanes[0]
	for i := range c.lanes {
		if c.lanes[i].bytes() > l.bytes() {
			l = &c.lanes[i]
		}
	}
	if l.small.oldest != nil && (l.main.oldest == nil || l.small.bytes*smallShare > l.bytes()) {
		s := l.small.pop()
		if s.freq == 0 {
			c.ghosts.add(s.hash)
			c.drop(s)
			return
		}
		s.freq = 0
		c.keep(s)
		return
	}
	s := l.main.pop()
	if s.freq == 0 {
		c.drop(s)
		return
	}
	s.freq--
	c.keep(s)
}

// keep puts a shape into the main queue of who asked for it last.
func (c *cache) keep(s *Shape) {
	s.main, s.lane = true, s.asker
	c.lanes[s.lane].main.push(s)
}

func (c *cache) drop(s *Shape) {
	for p := &c.index[s.hash&uint64(len(c.index)-1)]; *p != nil; p = &(*p).chain {
		if *p == s {
			*p = s.chain
			break
		}
	}
	s.chain, s.cached = nil, false
	c.count--
	c.used -= int(s.bytes)
	c.evicted++
}

// each calls f for every shape, lane by lane, oldest first.
func (c *cache) each(f func(*Shape)) {
	for i := range c.lanes {
		for _, q := range []*queue{&c.lanes[i].main, &c.lanes[i].small} {
			for s := q.oldest; s != nil; s = s.newer {
				f(s)
			}
		}
	}
}
