package shape

import "math"

// A sketch counts values in bins whose bounds grow by a fixed ratio, as DDSketch does (Masson et al., VLDB 2019): a
// quantile is off by 9% at most, two sketches add up to the sketch of both, and it takes 80 bytes. Where values spread
// over more bins than there are, the lowest run together. What is old fades: once it holds mostHeard values, all count
// half.
const (
	sketchBins   = 24
	binsPerTwo   = 4 // bins for each doubling
	mostHeard    = 256
	leastValue   = 1e-3
	greatest     = 1e9
	medianWithin = 1.0905 // 2^(1/8): by which a quantile may be off, as a ratio
)

// Sketch holds a distribution of positive values.
type Sketch struct {
	base  int16 // the number of the first bin
	epoch uint8 // how often it has faded
	n     uint16
	bins  [sketchBins]uint16
	sum   float32
}

func bin(v float64) int {
	return int(math.Floor(math.Log2(v) * binsPerTwo))
}

// Add takes a value in. What is no positive number is passed over.
func (s *Sketch) Add(v float64) {
	if !(v > 0) {
		return
	}
	v = math.Max(leastValue, math.Min(v, greatest))
	s.count(bin(v), 1)
	s.sum += float32(v)
	if s.n >= mostHeard {
		s.fade()
	}
}

// count adds to a bin by its number, moving the bins if need be.
func (s *Sketch) count(i int, by uint16) {
	if s.n == 0 {
		s.base = int16(i - sketchBins/2)
	}
	at := i - int(s.base)
	if at < 0 { // down, as far as the upper bins are empty
		free := 0
		for free < sketchBins && s.bins[sketchBins-1-free] == 0 {
			free++
		}
		if by := min(-at, free); by > 0 {
			copy(s.bins[by:], s.bins[:sketchBins-by])
			clear(s.bins[:by])
			s.base -= int16(by)
		}
		at = max(i-int(s.base), 0)
	}
	if at >= sketchBins { // up: the lowest bins run together
		by := at - sketchBins + 1
		low := uint16(0)
		for j := 0; j < min(by+1, sketchBins); j++ {
			low += s.bins[j]
		}
		if by < sketchBins {
			copy(s.bins[:], s.bins[by:])
			clear(s.bins[sketchBins-by:])
		} else {
			clear(s.bins[:])
		}
		s.bins[0] = low
		s.base += int16(by)
		at = sketchBins - 1
	}
	s.bins[at] += by
	s.n += by
}

// fade halves what is known. Odd counts are rounded up and down by turns, so that a single value fades as well.
func (s *Sketch) fade() {
	was := s.n
	s.n, s.epoch = 0, s.epoch+1
	for i := range s.bins {
		s.bins[i] = (s.bins[i] + uint16((i+int(s.epoch))&1)) / 2
		s.n += s.bins[i]
	}
	s.sum *= float32(s.n) / float32(was)
}

// Merge adds what another sketch holds.
func (s *Sketch) Merge(o *Sketch) {
	for i, by := range o.bins {
		if by > 0 {
			s.count(int(o.base)+i, by)
		}
	}
	s.sum += o.sum
	for s.n >= mostHeard {
		s.fade()
	}
}

// N is how many values it holds.
func (s *Sketch) N() float64 { return float64(s.n) }

// Mean is the mean of what it holds, 0 if that is nothing.
func (s *Sketch) Mean() float64 {
	if s.n == 0 {
		return 0
	}
	return float64(s.sum) / float64(s.n)
}

// Quantile is the value that the share q of all lie under, 0 if there are none.
func (s *Sketch) Quantile(q float64) float64 {
	left := q * float64(s.n)
	for i, c := range s.bins {
		if left -= float64(c); c > 0 && left <= 0 {
			return math.Exp2((float64(int(s.base)+i) + 0.5) / binsPerTwo)
		}
	}
	return 0
}

// Price is what a shape's queries took.
type Price struct {
	Work, Mem Sketch // ms on one core, MB
}

// prior is what queries of like features took. Its logarithms tell how far shapes lie apart, and how far the queries
// of one shape do.
type prior struct {
	n, work, mem float64 // fading count, and sums
	log, square  float64 // sums of logarithms of the work and of their squares
	within       float64 // sum of squares of what a shape's own mean was off by
	heard        float64 // how many of those
	memN         float64
}

const mostPrior = 4096 // queries that a prior looks back on

func (p *prior) add(work, mem, off float64, known bool) {
	if p.n >= mostPrior {
		for _, v := range []*float64{&p.n, &p.work, &p.mem, &p.log, &p.square, &p.within, &p.heard, &p.memN} {
			*v /= 2
		}
	}
	l := math.Log(work)
	p.n, p.work, p.log, p.square = p.n+1, p.work+work, p.log+l, p.square+l*l
	if known {
		p.within, p.heard = p.within+off*off, p.heard+1
	}
	if mem > 0 {
		p.mem, p.memN = p.mem+mem, p.memN+1
	}
}

// weight is how many queries of a shape's own the prior is worth: the spread inside shapes against that among them.
func (p *prior) weight() float64 {
	if p.heard < 8 || p.n < 8 {
		return usualWeight
	}
	mean := p.log / p.n
	total := math.Max(p.square/p.n-mean*mean, 0)
	in := p.within / p.heard
	return math.Max(leastWeight, math.Min(in/math.Max(total-in, 0.01), mostWeight))
}

const (
	usualWeight  = 3.0
	leastWeight  = 0.5
	mostWeight   = 50.0
	familyWeight = 8.0 // queries that a kind's mean is worth beside a family's own
	sureEnough   = 0.5 // from which an estimate is used
)

// Estimate is what a query is expected to take.
type Estimate struct {
	Work, Mem float64 // ms on one core, MB; 0: not known
	Sure      float64 // from 0 to 1: how much of it rests on the shape's own queries
}

// Usable tells whether the estimate is worth giving.
func (e Estimate) Usable() bool { return e.Work > 0 && e.Sure >= sureEnough }

// blend is the mean of two values in their logarithms; one that is 0 is not known.
func blend(a, wa, b, wb float64) float64 {
	switch {
	case !(a > 0) || wa <= 0:
		return b
	case !(b > 0) || wb <= 0:
		return a
	}
	return math.Exp((wa*math.Log(a) + wb*math.Log(b)) / (wa + wb))
}

func ratio(sum, n float64) float64 {
	if n <= 0 {
		return 0
	}
	return sum / n
}
