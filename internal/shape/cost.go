package shape

import "math"

// A sketch counts values in logarithmic bins, like DDSketch (Masson et al., VLDB 2019). A quantile is off by 9% at most, two
// sketches can be merged, and a sketch takes 80 bytes. When the values span more bins than there are, the lowest bins are
// merged. Old values decay: when a sketch holds maxSketchCount values, all counts are halved.
const (
	sketchBins            = 24
	binsPerDoubling       = 4 // bins per doubling of the value
	maxSketchCount        = 256
	minSketchValue        = 1e-3
	maxSketchValue        = 1e9
	maxQuantileErrorRatio = 1.0905 // 2^(1/8), half the width of a bin
)

// Sketch is a quantile sketch of positive values that gives recent values more weight.
type Sketch struct {
	firstBin   int16 // number of the first bin
	decayCount uint8 // number of decays
	total      uint16
	bins       [sketchBins]uint16
	sum        float32
}

// binNumber returns the number of the bin that a value belongs to.
func binNumber(value float64) int {
	return int(math.Floor(math.Log2(value) * binsPerDoubling))
}

// Add adds a value. Values that are not positive numbers are ignored.
func (s *Sketch) Add(value float64) {
	if !(value > 0) {
		return
	}
	value = math.Max(minSketchValue, math.Min(value, maxSketchValue))
	s.addToBin(binNumber(value), 1)
	s.sum += float32(value)
	if s.total >= maxSketchCount {
		s.decay()
	}
}

// addToBin adds to the count of a bin. It shifts the range of the bins if the bin's number is outside it.
func (s *Sketch) addToBin(bin int, by uint16) {
	if s.total == 0 {
		s.firstBin = int16(bin - sketchBins/2)
	}
	index := bin - int(s.firstBin)
	if index < 0 { // shifts the range down as far as the highest bins are empty
		free := 0
		for free < sketchBins && s.bins[sketchBins-1-free] == 0 {
			free++
		}
		if by := min(-index, free); by > 0 {
			copy(s.bins[by:], s.bins[:sketchBins-by])
			clear(s.bins[:by])
			s.firstBin -= int16(by)
		}
		index = max(bin-int(s.firstBin), 0)
	}
	if index >= sketchBins { // shifts the range up and merges the lowest bins
		by := index - sketchBins + 1
		merged := uint16(0)
		for j := 0; j < min(by+1, sketchBins); j++ {
			merged += s.bins[j]
		}
		if by < sketchBins {
			copy(s.bins[:], s.bins[by:])
			clear(s.bins[sketchBins-by:])
		} else {
			clear(s.bins[:])
		}
		s.bins[0] = merged
		s.firstBin += int16(by)
		index = sketchBins - 1
	}
	s.bins[index] += by
	s.total += by
}

// decay halves all counts. Odd counts are rounded up and down in turn, so that a single value decays too.
func (s *Sketch) decay() {
	previous := s.total
	s.total, s.decayCount = 0, s.decayCount+1
	for i := range s.bins {
		s.bins[i] = (s.bins[i] + uint16((i+int(s.decayCount))&1)) / 2
		s.total += s.bins[i]
	}
	s.sum *= float32(s.total) / float32(previous)
}

// Merge adds the values of another sketch.
func (s *Sketch) Merge(other *Sketch) {
	for i, count := range other.bins {
		if count > 0 {
			s.addToBin(int(other.firstBin)+i, count)
		}
	}
	s.sum += other.sum
	for s.total >= maxSketchCount {
		s.decay()
	}
}

// Count returns the number of values held, after decay.
func (s *Sketch) Count() float64 { return float64(s.total) }

// Mean returns the mean of the values held, 0 if there are none.
func (s *Sketch) Mean() float64 {
	if s.total == 0 {
		return 0
	}
	return float64(s.sum) / float64(s.total)
}

// Quantile returns an estimate of the q-quantile, 0 if the sketch holds no values.
func (s *Sketch) Quantile(q float64) float64 {
	remaining := q * float64(s.total)
	for i, c := range s.bins {
		if remaining -= float64(c); c > 0 && remaining <= 0 {
			return math.Exp2((float64(int(s.firstBin)+i) + 0.5) / binsPerDoubling)
		}
	}
	return 0
}

// Cost holds the distributions of the work and the peak memory of a shape's queries.
type Cost struct {
	Work, Mem Sketch // CPU ms, peak memory in MB
}

// prior is the prior distribution of the cost of queries with similar features. The sums of logarithms determine the total
// variance, and the sum of squared errors determines the variance within one shape.
type prior struct {
	count, workSum, memSum float64 // number of queries after decay, and sums of their costs
	logSum, logSquareSum   float64 // sums of the logarithms of the work and of their squares
	errorSquareSum         float64 // sum of the squared logarithmic errors of shapes' own means
	errorCount             float64 // number of errors in errorSquareSum
	memCount               float64 // number of queries with known memory
}

const maxPriorCount = 4096 // queries after which the sums of a prior are halved

// add adds the cost of a query. If hasError is set, logError is the logarithmic error that the mean of the query's own shape
// had for its work.
func (p *prior) add(work, mem, logError float64, hasError bool) {
	if p.count >= maxPriorCount {
		for _, v := range []*float64{&p.count, &p.workSum, &p.memSum, &p.logSum, &p.logSquareSum, &p.errorSquareSum,
			&p.errorCount, &p.memCount} {
			*v /= 2
		}
	}
	logWork := math.Log(work)
	p.count, p.workSum, p.logSum, p.logSquareSum = p.count+1, p.workSum+work, p.logSum+logWork, p.logSquareSum+logWork*logWork
	if hasError {
		p.errorSquareSum, p.errorCount = p.errorSquareSum+logError*logError, p.errorCount+1
	}
	if mem > 0 {
		p.memSum, p.memCount = p.memSum+mem, p.memCount+1
	}
}

// weight returns the number of a shape's own queries that the prior counts as: the ratio of the variance within shapes to
// the variance between them.
func (p *prior) weight() float64 {
	if p.errorCount < 8 || p.count < 8 {
		return defaultPriorWeight
	}
	mean := p.logSum / p.count
	totalVariance := math.Max(p.logSquareSum/p.count-mean*mean, 0)
	withinVariance := p.errorSquareSum / p.errorCount
	return math.Max(minPriorWeight, math.Min(withinVariance/math.Max(totalVariance-withinVariance, 0.01), maxPriorWeight))
}

// Weights of means and priors, in numbers of queries, and the limit for using an estimate.
const (
	defaultPriorWeight  = 3.0 // until a prior holds 8 queries and 8 errors
	minPriorWeight      = 0.5
	maxPriorWeight      = 50.0
	kindPriorWeight     = 8.0 // weight of a kind's mean against the mean of the same features
	minUsableConfidence = 0.5 // smallest confidence of a usable estimate
)

// Estimate is the expected cost of a query.
type Estimate struct {
	Work, Mem  float64 // CPU ms, peak memory in MB; 0 if not known
	Confidence float64 // from 0 to 1: the share of the shape's own queries in the estimate of work
}

// Usable reports whether the estimate is reliable enough to be used.
func (e Estimate) Usable() bool { return e.Work > 0 && e.Confidence >= minUsableConfidence }

// weightedGeometricMean returns the weighted geometric mean of a and b. A value that is not positive counts as unknown.
func weightedGeometricMean(a, weightA, b, weightB float64) float64 {
	switch {
	case !(a > 0) || weightA <= 0:
		return b
	case !(b > 0) || weightB <= 0:
		return a
	}
	return math.Exp((weightA*math.Log(a) + weightB*math.Log(b)) / (weightA + weightB))
}

// meanOrZero returns the mean of n values with the given sum, 0 if there are none.
func meanOrZero(sum, n float64) float64 {
	if n <= 0 {
		return 0
	}
	return sum / n
}
