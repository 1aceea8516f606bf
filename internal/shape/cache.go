package shape

import (
	"bytes"
	"unsafe"
)

// The cache uses S3-FIFO eviction (Yang et al., SOSP 2023). A new entry waits in a small queue. If it is used again there, it
// moves to the main queue; otherwise it is evicted and its hash is kept as a ghost. Entries of the main queue that were used
// again are reinserted instead of being evicted. A hit only increments a counter.
//
// Unlike in the paper, each owner has its own partition with a small and a main queue, and entries are evicted from the
// partition that holds the most bytes. A tenant that floods the cache with new shapes thus evicts its own entries.

const (
	// MaxOwners is the number of owners that the cache tells apart.
	MaxOwners         = 16
	smallQueueDivisor = 10       // the small queue may hold 1/10 of a partition's bytes
	maxFrequency      = 3        // largest value of Shape.frequency
	typicalEntryBytes = 512      // assumed size of an entry, which determines the size of the index and of the ghost table
	ghostWays         = 8        // hashes in a bucket of the ghost table
	minCacheBytes     = 64 << 10 // smaller memory limits are raised to this
)

// Shape is the shape of a statement with its info and its learned cost.
type Shape struct {
	Info
	ID   uint64 // the same in all processes
	Cost Cost

	canonical            []byte
	hash                 uint64 // seeded hash of canonical
	nextInBucket         *Shape // next entry in the same bucket of the index
	nextNewer            *Shape // next entry in the same queue
	entryBytes           int32
	partition, lastOwner uint8 // owner of the queue that holds the shape, and the owner that used it last
	frequency            uint8 // recent uses, up to maxFrequency
	inMain, cached       bool  // the shape is in a main queue; it is in the cache
}

// queue is a FIFO queue, linked through nextNewer.
type queue struct {
	oldest, newest *Shape
	bytes          int
}

func (q *queue) push(s *Shape) {
	if s.nextNewer = nil; q.newest == nil {
		q.oldest = s
	} else {
		q.newest.nextNewer = s
	}
	q.newest = s
	q.bytes += int(s.entryBytes)
}

func (q *queue) pop() *Shape {
	s := q.oldest
	if q.oldest = s.nextNewer; q.oldest == nil {
		q.newest = nil
	}
	s.nextNewer = nil
	q.bytes -= int(s.entryBytes)
	return s
}

// ghostTable holds the hashes of recently evicted entries. It is a set-associative table of fixed size; a new hash replaces
// the oldest one in its bucket.
type ghostTable struct {
	buckets [][ghostWays]uint32
	nextWay []uint8
}

func (g *ghostTable) bucket(hash uint64) int { return int(hash>>32) & (len(g.buckets) - 1) }

func (g *ghostTable) add(hash uint64) {
	bucket := g.bucket(hash)
	g.buckets[bucket][g.nextWay[bucket]%ghostWays] = uint32(hash) | 1
	g.nextWay[bucket]++
}

// remove removes a hash and reports whether it was present.
func (g *ghostTable) remove(hash uint64) bool {
	bucket := g.bucket(hash)
	for way, stored := range g.buckets[bucket] {
		if stored == uint32(hash)|1 {
			g.buckets[bucket][way] = 0
			return true
		}
	}
	return false
}

// partition holds the queues of one owner.
type partition struct{ small, main queue }

func (p *partition) bytes() int { return p.small.bytes + p.main.bytes }

// cache holds shapes in a limited number of bytes. The limit includes the index and the ghost table.
type cache struct {
	maxBytes, usedBytes int
	count               int
	evicted             uint64
	index               []*Shape
	partitions          [MaxOwners]partition
	ghosts              ghostTable
}

// newCache returns an empty cache. Its index and ghost table are sized for entries of typicalEntryBytes.
func newCache(maxBytes int) *cache {
	maxBytes = max(maxBytes, minCacheBytes)
	buckets := 64
	for buckets*2*typicalEntryBytes <= maxBytes {
		buckets *= 2
	}
	c := &cache{index: make([]*Shape, buckets), ghosts: ghostTable{
		buckets: make([][ghostWays]uint32, max(buckets/ghostWays, 1)),
		nextWay: make([]uint8, max(buckets/ghostWays, 1))}}
	c.maxBytes = maxBytes - buckets*8 - buckets*4 - buckets/ghostWays
	return c
}

// find returns the entry of a canonical text, or nil. It compares the texts, because different texts may have the same hash, and
// the entry of another text could make a write pass for a read.
func (c *cache) find(hash uint64, canonical []byte, owner uint8) *Shape {
	for s := c.index[hash&uint64(len(c.index)-1)]; s != nil; s = s.nextInBucket {
		if s.hash == hash && bytes.Equal(s.canonical, canonical) {
			if s.frequency < maxFrequency {
				s.frequency++
			}
			s.lastOwner = owner
			return s
		}
	}
	return nil
}

// size returns the memory of an entry in bytes, without the overhead of the allocator, which is not known.
func (s *Shape) size() int32 {
	n := int(unsafe.Sizeof(*s)) + cap(s.canonical) + len(s.Verb) + len(s.TableGroup) + 32
	for _, set := range [][]string{s.Reads, s.Writes} {
		n += cap(set) * (int(unsafe.Sizeof("")) + 8)
	}
	return int32(n)
}

// add inserts a shape, and evicts shapes until the cache is within its limit. The new shape may be evicted too.
func (c *cache) add(s *Shape) {
	s.entryBytes = s.size()
	slot := &c.index[s.hash&uint64(len(c.index)-1)]
	s.nextInBucket, *slot = *slot, s
	s.cached, s.partition = true, s.lastOwner
	c.count++
	c.usedBytes += int(s.entryBytes)
	p := &c.partitions[s.partition]
	if s.inMain = c.ghosts.remove(s.hash); s.inMain {
		p.main.push(s)
	} else {
		p.small.push(s)
	}
	for c.usedBytes > c.maxBytes {
		c.evict()
	}
}

// evict takes one step of the eviction algorithm: it removes an entry or moves one to the main queue.
func (c *cache) evict() {
	largest := &c.partitions[0]
	for i := range c.partitions {
		if c.partitions[i].bytes() > largest.bytes() {
			largest = &c.partitions[i]
		}
	}
	if largest.small.oldest != nil && (largest.main.oldest == nil || largest.small.bytes*smallQueueDivisor > largest.bytes()) {
		s := largest.small.pop()
		if s.frequency == 0 {
			c.ghosts.add(s.hash)
			c.remove(s)
			return
		}
		s.frequency = 0
		c.pushToMain(s)
		return
	}
	s := largest.main.pop()
	if s.frequency == 0 {
		c.remove(s)
		return
	}
	s.frequency--
	c.pushToMain(s)
}

// pushToMain appends a shape to the main queue of the owner that used it last.
func (c *cache) pushToMain(s *Shape) {
	s.inMain, s.partition = true, s.lastOwner
	c.partitions[s.partition].main.push(s)
}

// remove removes a shape, already taken from its queue, from the index.
func (c *cache) remove(s *Shape) {
	for p := &c.index[s.hash&uint64(len(c.index)-1)]; *p != nil; p = &(*p).nextInBucket {
		if *p == s {
			*p = s.nextInBucket
			break
		}
	}
	s.nextInBucket, s.cached = nil, false
	c.count--
	c.usedBytes -= int(s.entryBytes)
	c.evicted++
}

// each calls f for every shape, partition by partition, main queue first and oldest first.
func (c *cache) each(f func(*Shape)) {
	for i := range c.partitions {
		for _, q := range []*queue{&c.partitions[i].main, &c.partitions[i].small} {
			for s := q.oldest; s != nil; s = s.nextNewer {
				f(s)
			}
		}
	}
}
