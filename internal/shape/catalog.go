package shape

import (
	"fmt"
	"math"

	"github.com/zeebo/xxh3"
)

// maxCanonicalBytes is the longest canonical text that is cached. Longer ones are parsed each time.
const maxCanonicalBytes = 4096

// Options are the settings of a Catalog.
type Options struct {
	MaxBytes int    // memory limit of cached shapes
	HashSeed uint64 // seed of the index hash; a client that knows it can send texts whose hashes collide, which slows lookups
}

// Stats are the counters of a Catalog.
type Stats struct {
	Lookups      uint64 // statements looked up
	Hits         uint64 // statements found in the cache
	Uncached     uint64 // statements too long to be cached
	Evicted      uint64
	Shapes       int    // shapes in the cache
	Bytes        int    // memory of the cached shapes
	Observations uint64 // query costs that were learned
	// Median errors, as ratios of at least 1, of the estimates that requests gave and of the learned estimates for the same
	// queries.
	RequestEstimateError, LearnedEstimateError float64
}

// Catalog caches shapes and learns their costs. It must be used by one goroutine only.
type Catalog struct {
	normalizer       normalizer
	parser           parser
	hashSeed         uint64
	cache            *cache
	maxBytes         int // as configured
	featurePriors    map[uint16]*prior
	kindPriors       [Write + 1]prior
	stats            Stats
	requestEstimates uint64 // observations whose request gave an estimate
	requestErrors    Sketch
	learnedErrors    Sketch
}

// NewCatalog returns an empty Catalog.
func NewCatalog(o Options) *Catalog {
	return &Catalog{hashSeed: o.HashSeed, cache: newCache(o.MaxBytes), maxBytes: o.MaxBytes, featurePriors: map[uint16]*prior{}}
}

// Recognize returns the shape of a statement. The result stays valid after later calls, and equal shapes give the same
// pointer while the shape is cached. owner identifies the tenant; it is taken modulo MaxOwners.
func (c *Catalog) Recognize(text string, dialect Dialect, owner int) *Shape {
	c.stats.Lookups++
	canonical, lexErr := c.normalizer.normalize(text, dialect)
	if lexErr != NoLexError {
		return c.malformedShape(lexErr)
	}
	ownerIndex := uint8(owner) % MaxOwners
	tooLong := len(canonical) > maxCanonicalBytes
	hash := c.hashCanonical(canonical)
	if !tooLong {
		if s := c.cache.find(hash, canonical, ownerIndex); s != nil {
			c.stats.Hits++
			return s
		}
	}
	s := c.newShape(canonical, hash, ownerIndex)
	if tooLong {
		c.stats.Uncached++
		return s
	}
	s.canonical = append(make([]byte, 0, len(canonical)), canonical...)
	c.cache.add(s)
	return s
}

// hashCanonical returns the seeded hash of a canonical text that the index uses.
func (c *Catalog) hashCanonical(canonical []byte) uint64 { return xxh3.HashSeed(canonical, c.hashSeed) }

// newShape parses a canonical text and returns its shape, which is not cached yet.
func (c *Catalog) newShape(canonical []byte, hash uint64, owner uint8) *Shape {
	return &Shape{Info: c.parser.parse(string(canonical)), ID: xxh3.Hash(canonical), hash: hash, lastOwner: owner}
}

// malformedShape returns the shape of a text that can't be split into tokens. Its table group and verb come from the tokens
// before the error.
func (c *Catalog) malformedShape(lexErr LexError) *Shape {
	s := &Shape{Info: Info{Kind: Unknown, Reason: Malformed}}
	if lexErr == TextTooLong {
		s.Reason = OverLong
		return s
	}
	prefix := c.normalizer.buf[:c.normalizer.length]
	info := c.parser.parse(string(prefix))
	s.TableGroup, s.Verb = info.TableGroup, info.Verb
	s.ID = xxh3.HashSeed(prefix, uint64(lexErr))
	return s
}

// Name returns the shape's ID as 16 hexadecimal digits.
func (s *Shape) Name() string { return fmt.Sprintf("%016x", s.ID) }

// Text returns the shape's canonical text in readable form, without the dialect.
func (s *Shape) Text() string {
	if len(s.canonical) < 2 {
		return ""
	}
	out := []byte(nil)
	for _, c := range s.canonical[2:] {
		switch c {
		case markRepeat:
			out = append(out, "..."...)
		case markHiddenName, markDoBody:
			out = append(out, '~')
		default:
			out = append(out, c)
		}
	}
	return string(out)
}

// errorSampleInterval is the sampling interval of estimation errors: they are measured for one in 4 of the observations whose
// request gave an estimate.
const errorSampleInterval = 4

// Learn adds the cost of a query to its shape: the work in CPU ms and the peak memory in MB. requestEstimate is the work that
// the request estimated, 0 if it gave no estimate.
func (c *Catalog) Learn(s *Shape, requestEstimate, work, mem float64) {
	if s == nil || !(work > 0) || math.IsInf(work, 0) || !(mem >= 0) {
		return
	}
	c.stats.Observations++
	if requestEstimate > 0 {
		c.requestEstimates++
	}
	if requestEstimate > 0 && c.requestEstimates%errorSampleInterval == 0 {
		if e := c.Estimate(s); e.Usable() {
			c.requestErrors.Add(errorRatio(requestEstimate, work))
			c.learnedErrors.Add(errorRatio(e.Work, work))
		}
	}
	count, mean := s.Cost.Work.Count(), s.Cost.Work.Mean()
	logError := 0.0
	if count > 0 {
		logError = math.Log(work/mean) / math.Sqrt(1+1/count) // corrects for the error of a mean of few values
	}
	c.featurePrior(s).add(work, mem, logError, count > 0)
	c.kindPriors[s.Kind].add(work, mem, logError, count > 0)
	s.Cost.Work.Add(work)
	s.Cost.Mem.Add(mem)
}

// errorRatio returns the ratio of the larger to the smaller of two positive values.
func errorRatio(a, b float64) float64 { return math.Max(a/b, b/a) }

// featurePrior returns the prior of the shape's feature key. A key has few bits, so there are few priors.
func (c *Catalog) featurePrior(s *Shape) *prior {
	key := s.FeatureKey()
	p := c.featurePriors[key]
	if p == nil {
		p = &prior{}
		c.featurePriors[key] = p
	}
	return p
}

// Estimate returns the expected cost of a query. It combines the mean of the shape with the prior of its features, and that
// with the prior of its kind; the fewer queries of the shape were seen, the more weight the priors have.
func (c *Catalog) Estimate(s *Shape) Estimate {
	kind, feature := &c.kindPriors[s.Kind], c.featurePriors[s.FeatureKey()]
	if feature == nil {
		feature = &prior{}
	}
	work := weightedGeometricMean(meanOrZero(feature.workSum, feature.count), feature.count,
		meanOrZero(kind.workSum, kind.count), kindPriorWeight)
	mem := weightedGeometricMean(meanOrZero(feature.memSum, feature.memCount), feature.memCount,
		meanOrZero(kind.memSum, kind.memCount), kindPriorWeight)
	weight := feature.weight()
	workCount, memCount := s.Cost.Work.Count(), s.Cost.Mem.Count()
	return Estimate{Work: weightedGeometricMean(s.Cost.Work.Mean(), workCount, work, weight),
		Mem:        weightedGeometricMean(s.Cost.Mem.Mean(), memCount, mem, weight),
		Confidence: workCount / (workCount + weight)}
}

// Stats returns the counters.
func (c *Catalog) Stats() Stats {
	s := c.stats
	s.Evicted, s.Shapes, s.Bytes = c.cache.evicted, c.cache.count, c.cache.usedBytes
	s.RequestEstimateError, s.LearnedEstimateError = c.requestErrors.Quantile(0.5), c.learnedErrors.Quantile(0.5)
	return s
}

// Each calls f for every cached shape.
func (c *Catalog) Each(f func(*Shape)) { c.cache.each(f) }
