package shape

import (
	"encoding/binary"
	"errors"
	"math"
)

// The kind and version of a Catalog's snapshot. The version must be incremented when the layout of a dump or the form of
// canonical texts changes.
const (
	DumpKind    = "shapes"
	DumpVersion = 1
)

var errMalformedDump = errors.New("a shape's entry can't be read")

// Dump serializes a Catalog in steps, so that it never blocks its caller's event loop for long. Costs learned between two steps
// may or may not be included.
type Dump struct {
	shapes []*Shape
	buf    []byte
}

// Dump starts to serialize the Catalog. Only canonical texts and costs are stored. Each Info is derived from its canonical
// text again when the dump is loaded, so that no file can make a write pass for a read.
func (c *Catalog) Dump() *Dump {
	d := &Dump{}
	c.cache.each(func(s *Shape) { d.shapes = append(d.shapes, s) })
	for k := range c.kindPriors {
		d.writePrior(&c.kindPriors[k])
	}
	d.writeUint(uint64(len(c.featurePriors)))
	for k, p := range c.featurePriors {
		d.writeUint(uint64(k))
		d.writePrior(p)
	}
	d.writeUint(uint64(len(d.shapes)))
	return d
}

// Step writes up to n more shapes and reports whether all are written.
func (d *Dump) Step(n int) (done bool) {
	for ; n > 0 && len(d.shapes) > 0; n-- {
		s := d.shapes[0]
		d.shapes = d.shapes[1:]
		d.writeUint(uint64(len(s.canonical)))
		d.buf = append(d.buf, s.canonical...)
		flags := s.partition
		if s.inMain {
			flags |= 0x80
		}
		d.buf = append(d.buf, flags)
		d.writeSketch(&s.Cost.Work)
		d.writeSketch(&s.Cost.Mem)
	}
	return len(d.shapes) == 0
}

// Bytes returns the bytes written so far.
func (d *Dump) Bytes() []byte { return d.buf }

func (d *Dump) writeUint(value uint64) { d.buf = binary.AppendUvarint(d.buf, value) }
func (d *Dump) writeFloat(value float64) {
	d.buf = binary.LittleEndian.AppendUint32(d.buf, math.Float32bits(float32(value)))
}

// writePrior writes the fields of a prior.
func (d *Dump) writePrior(p *prior) {
	for _, v := range p.fields() {
		d.writeFloat(*v)
	}
}

// fields returns the fields of a prior in the order in which they are stored.
func (p *prior) fields() []*float64 {
	return []*float64{&p.count, &p.workSum, &p.memSum, &p.logSum, &p.logSquareSum, &p.errorSquareSum, &p.errorCount, &p.memCount}
}

// writeSketch writes a sketch; for an empty one, only its count.
func (d *Dump) writeSketch(s *Sketch) {
	d.writeUint(uint64(s.total))
	if s.total == 0 {
		return
	}
	d.buf = binary.AppendVarint(d.buf, int64(s.firstBin))
	d.writeFloat(float64(s.sum))
	for _, c := range s.bins {
		d.writeUint(uint64(c))
	}
}

// dumpReader reads the output of Dump. After the first error, failed stays set and all values read as zero.
type dumpReader struct {
	rest   []byte
	failed bool
}

// readBytes consumes n bytes and returns them, or nil after an error.
func (r *dumpReader) readBytes(n int) []byte {
	if r.failed || n < 0 || n > len(r.rest) {
		r.failed = true
		return nil
	}
	taken := r.rest[:n]
	r.rest = r.rest[n:]
	return taken
}

// readUint reads an unsigned varint. A value above limit is an error.
func (r *dumpReader) readUint(limit uint64) uint64 {
	v, n := binary.Uvarint(r.rest)
	if r.failed || n <= 0 || v > limit {
		r.failed = true
		return 0
	}
	r.rest = r.rest[n:]
	return v
}

// readFloat reads a float32. NaN and infinite values are errors.
func (r *dumpReader) readFloat() float64 {
	raw := r.readBytes(4)
	if raw == nil {
		return 0
	}
	v := float64(math.Float32frombits(binary.LittleEndian.Uint32(raw)))
	if math.IsNaN(v) || math.IsInf(v, 0) {
		r.failed = true
		return 0
	}
	return v
}

// readPrior reads a prior. Only its sum of logarithms may be negative.
func (r *dumpReader) readPrior(p *prior) {
	for _, v := range p.fields() {
		*v = r.readFloat()
		if *v < 0 && v != &p.logSum {
			r.failed = true
		}
	}
}

// readSketch reads a sketch, and checks that the counts of its bins add up to the stored total.
func (r *dumpReader) readSketch(s *Sketch) {
	n := r.readUint(maxSketchCount)
	if n == 0 {
		return
	}
	base, used := binary.Varint(r.rest)
	if r.failed || used <= 0 || base < -1000 || base > 1000 {
		r.failed = true
		return
	}
	r.rest = r.rest[used:]
	s.firstBin, s.sum = int16(base), float32(r.readFloat())
	for i := range s.bins {
		s.bins[i] = uint16(r.readUint(maxSketchCount))
		s.total += s.bins[i]
	}
	if uint64(s.total) != n || !(s.sum > 0) {
		r.failed = true
	}
}

// Load reads a dump into an empty Catalog and returns the number of shapes in it. After an error the Catalog is still empty.
func (c *Catalog) Load(payload []byte) (shapes int, err error) {
	fresh := &Catalog{hashSeed: c.hashSeed, cache: newCache(c.maxBytes), maxBytes: c.maxBytes, featurePriors: map[uint16]*prior{}}
	r := &dumpReader{rest: payload}
	for key := range fresh.kindPriors {
		r.readPrior(&fresh.kindPriors[key])
	}
	for range r.readUint(math.MaxUint16) {
		key, p := uint16(r.readUint(math.MaxUint16)), &prior{}
		if r.readPrior(p); r.failed {
			return 0, errMalformedDump
		}
		fresh.featurePriors[key] = p
	}
	count := r.readUint(math.MaxUint32)
	for range count {
		canonical := r.readBytes(int(r.readUint(maxCanonicalBytes)))
		flags := r.readBytes(1)
		if r.failed || !wellFormed(canonical) {
			return 0, errMalformedDump
		}
		canonical = append([]byte(nil), canonical...)
		s := fresh.newShape(canonical, c.hashCanonical(canonical), flags[0]%MaxOwners)
		s.canonical = canonical
		r.readSketch(&s.Cost.Work)
		r.readSketch(&s.Cost.Mem)
		if r.failed {
			return 0, errMalformedDump
		}
		fresh.cache.add(s)
		if flags[0]&0x80 != 0 { // it was in the main queue; evict moves a used entry of the small queue there
			s.frequency = 1
		}
	}
	if r.failed || len(r.rest) > 0 {
		return 0, errMalformedDump
	}
	fresh.stats = c.stats
	*c = *fresh
	return int(count), nil
}

// wellFormed reports whether a text has the form of a canonical text, as far as the parser depends on it.
func wellFormed(canonical []byte) bool {
	if len(canonical) < 2 || canonical[1] != ' ' ||
		canonical[0] != dialectMark[Postgres] && canonical[0] != dialectMark[ClickHouse] {
		return false
	}
	for i, c := range canonical {
		if c == markRepeat && (i+1 >= len(canonical) || canonical[i+1] < '0' || canonical[i+1] > '9') {
			return false
		}
	}
	return true
}
