package shape

import (
	"encoding/binary"
	"errors"
	"math"
)

// The kind and version of a Book's snapshot. The version grows with the form of what follows or of canonical texts.
const (
	DumpKind    = "shapes"
	DumpVersion = 1
)

var errDump = errors.New("a shape's entry can't be read")

// Dump writes a Book's content down bit by bit, so that no turn of its owner gets long. What is learned meanwhile may
// or may not be in it.
type Dump struct {
	shapes []*Shape
	b      []byte
}

// Dump starts to write the Book down. Only canonical texts and prices are kept: what a statement is follows from its
// canonical text, whoever reads it, so no file can make a write pass for a read.
func (b *Book) Dump() *Dump {
	d := &Dump{}
	b.cache.each(func(s *Shape) { d.shapes = append(d.shapes, s) })
	for k := range b.kinds {
		d.prior(&b.kinds[k])
	}
	d.uint(uint64(len(b.families)))
	for k, p := range b.families {
		d.uint(uint64(k))
		d.prior(p)
	}
	d.uint(uint64(len(d.shapes)))
	return d
}

// Step writes up to n shapes more, and tells whether that was all.
func (d *Dump) Step(n int) (done bool) {
	for ; n > 0 && len(d.shapes) > 0; n-- {
		s := d.shapes[0]
		d.shapes = d.shapes[1:]
		d.uint(uint64(len(s.canon)))
		d.b = append(d.b, s.canon...)
		flags := s.lane
		if s.main {
			flags |= 0x80
		}
		d.b = append(d.b, flags)
		d.sketch(&s.Price.Work)
		d.sketch(&s.Price.Mem)
	}
	return len(d.shapes) == 0
}

// Bytes is what was written.
func (d *Dump) Bytes() []byte { return d.b }

func (d *Dump) uint(v uint64) { d.b = binary.AppendUvarint(d.b, v) }
func (d *Dump) float(v float64) {
	d.b = binary.LittleEndian.AppendUint32(d.b, math.Float32bits(float32(v)))
}

func (d *Dump) prior(p *prior) {
	for _, v := range p.fields() {
		d.float(*v)
	}
}

func (p *prior) fields() []*float64 {
	return []*float64{&p.n, &p.work, &p.mem, &p.log, &p.square, &p.within, &p.heard, &p.memN}
}

func (d *Dump) sketch(s *Sketch) {
	d.uint(uint64(s.n))
	if s.n == 0 {
		return
	}
	d.b = binary.AppendVarint(d.b, int64(s.base))
	d.float(float64(s.sum))
	for _, c := range s.bins {
		d.uint(uint64(c))
	}
}

// undump reads what Dump wrote. The first fault stays, and all that follows it reads as zero.
type undump struct {
	b    []byte
	fail bool
}

func (u *undump) take(n int) []byte {
	if u.fail || n < 0 || n > len(u.b) {
		u.fail = true
		return nil
	}
	t := u.b[:n]
	u.b = u.b[n:]
	return t
}

func (u *undump) uint(most uint64) uint64 {
	v, n := binary.Uvarint(u.b)
	if u.fail || n <= 0 || v > most {
		u.fail = true
		return 0
	}
	u.b = u.b[n:]
	return v
}

func (u *undump) float() float64 {
	t := u.take(4)
	if t == nil {
		return 0
	}
	v := float64(math.Float32frombits(binary.LittleEndian.Uint32(t)))
	if math.IsNaN(v) || math.IsInf(v, 0) {
		u.fail = true
		return 0
	}
	return v
}

func (u *undump) prior(p *prior) {
	for _, v := range p.fields() {
		*v = u.float()
		if *v < 0 && v != &p.log {
			u.fail = true
		}
	}
}

func (u *undump) sketch(s *Sketch) {
	n := u.uint(mostHeard)
	if n == 0 {
		return
	}
	base, used := binary.Varint(u.b)
	if u.fail || used <= 0 || base < -1000 || base > 1000 {
		u.fail = true
		return
	}
	u.b = u.b[used:]
	s.base, s.sum = int16(base), float32(u.float())
	for i := range s.bins {
		s.bins[i] = uint16(u.uint(mostHeard))
		s.n += s.bins[i]
	}
	if uint64(s.n) != n || !(s.sum > 0) {
		u.fail = true
	}
}

// Load takes a dump into an empty Book and tells how many shapes there were. With an error, the Book stays empty.
func (b *Book) Load(payload []byte) (n int, err error) {
	fresh := &Book{seed: b.seed, cache: newCache(b.bytes), bytes: b.bytes, families: map[uint16]*prior{}}
	u := &undump{b: payload}
	for k := range fresh.kinds {
		u.prior(&fresh.kinds[k])
	}
	for range u.uint(math.MaxUint16) {
		k, p := uint16(u.uint(math.MaxUint16)), &prior{}
		if u.prior(p); u.fail {
			return 0, errDump
		}
		fresh.families[k] = p
	}
	count := u.uint(math.MaxUint32)
	for range count {
		canon := u.take(int(u.uint(mostCanon)))
		flags := u.take(1)
		if u.fail || !sound(canon) {
			return 0, errDump
		}
		canon = append([]byte(nil), canon...)
		s := fresh.make(canon, b.hashOf(canon), flags[0]%Lanes)
		s.canon = canon
		u.sketch(&s.Price.Work)
		u.sketch(&s.Price.Mem)
		if u.fail {
			return 0, errDump
		}
		fresh.cache.add(s)
		if flags[0]&0x80 != 0 { // it earned its place in the main queue
			s.freq = 1
		}
	}
	if u.fail || len(u.b) > 0 {
		return 0, errDump
	}
	fresh.stats = b.stats
	*b = *fresh
	return int(count), nil
}

// sound tells whether a text can be a canonical one, as far as the reader needs it.
func sound(canon []byte) bool {
	if len(canon) < 2 || canon[1] != ' ' || canon[0] != dialectMark[Postgres] && canon[0] != dialectMark[ClickHouse] {
		return false
	}
	for i, c := range canon {
		if c == markRun && (i+1 >= len(canon) || canon[i+1] < '0' || canon[i+1] > '9') {
			return false
		}
	}
	return true
}
