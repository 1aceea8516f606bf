package shape

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// The quantiles of a sketch are off by maxQuantileErrorRatio at most, and merging two sketches gives the sketch of all values.
func TestSketch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := rapid.SliceOfN(rapid.Float64Range(5, 200), 1, 100)
		a, b := draw.Draw(t, "a"), draw.Draw(t, "b")
		var x, y, both Sketch
		for _, v := range a {
			x.Add(v)
			both.Add(v)
		}
		for _, v := range b {
			y.Add(v)
			both.Add(v)
		}
		x.Merge(&y)
		all := append(slices.Clone(a), b...)
		slices.Sort(all)
		for _, q := range []float64{0.1, 0.5, 0.9, 1} {
			want := all[max(int(math.Ceil(q*float64(len(all))))-1, 0)]
			for _, s := range []*Sketch{&x, &both} {
				if got := s.Quantile(q); errorRatio(got, want) > maxQuantileErrorRatio*1.0001 {
					t.Fatalf("quantile %v is %v, want %v", q, got, want)
				}
			}
		}
		if math.Abs(x.Mean()-both.Mean()) > 1e-3*both.Mean() || x.Count() != float64(len(all)) {
			t.Fatalf("mean %v of %v, want %v of %d", x.Mean(), x.Count(), both.Mean(), len(all))
		}
	})
}

// Invalid values are ignored, the lowest bins are merged when values spread widely, and old values decay.
func TestSketchBounds(t *testing.T) {
	var s Sketch
	for _, v := range []float64{math.NaN(), -1, 0, math.Inf(-1)} {
		s.Add(v)
	}
	if s.Count() != 0 || s.Quantile(0.5) != 0 || s.Mean() != 0 {
		t.Errorf("invalid values are counted: %+v", s)
	}
	for _, v := range []float64{1e-9, 1, 1e12, math.Inf(1), 1e8} {
		s.Add(v)
	}
	if s.Count() != 5 || errorRatio(s.Quantile(1), maxSketchValue) > maxQuantileErrorRatio {
		t.Errorf("%v values, the largest %v", s.Count(), s.Quantile(1))
	}
	s = Sketch{}
	for range 1000 {
		s.Add(10)
	}
	for range 1000 {
		s.Add(1000)
	}
	if m := s.Mean(); m < 950 || s.Count() >= maxSketchCount || errorRatio(s.Quantile(0.2), 1000) > maxQuantileErrorRatio {
		t.Errorf("after as many values of 1000 the mean is %v of %v values", m, s.Count())
	}
}

// estimateTrial draws the costs of shapes from a log-normal distribution with betweenSigma and the costs of the queries of
// each shape with withinSigma. It returns the median relative errors of the class mean and of the learned estimate.
func estimateTrial(seed int64, shapes, queries int, betweenSigma, withinSigma float64) (classError, learnedError float64) {
	r := rand.New(rand.NewSource(seed))
	catalog := NewCatalog(Options{MaxBytes: 1 << 20})
	cost := make([]float64, shapes)
	for i := range cost {
		cost[i] = 150 * math.Exp(r.NormFloat64()*betweenSigma)
	}
	next := zipfShapes(r, shapes)
	mean, n := 0.0, 0.0
	var learnedErrors, classErrors []float64
	for i := range queries {
		shape := next()
		s := catalog.Recognize(lookupStatement(shape, i), Postgres, 0)
		work := cost[shape] * math.Exp(r.NormFloat64()*withinSigma)
		if i > queries/10 {
			classErrors = append(classErrors, math.Abs(mean-work)/work)
			learnedErrors = append(learnedErrors, math.Abs(catalog.Estimate(s).Work-work)/work)
		}
		catalog.Learn(s, 0, work, 50)
		n++
		mean += (work - mean) / math.Min(n, 500)
	}
	slices.Sort(learnedErrors)
	slices.Sort(classErrors)
	return classErrors[len(classErrors)/2], learnedErrors[len(learnedErrors)/2]
}

// The error of the learned estimate is at most half of the error of the class mean where costs differ more between shapes than
// within one shape.
func TestLearnedEstimateBeatsClassMean(t *testing.T) {
	for seed := int64(1); seed <= 5; seed++ {
		classError, learnedError := estimateTrial(seed, 200, 20000, 1, 0.3)
		t.Logf("seed %d: median error of the class mean %.2f, of the learned estimate %.2f", seed, classError, learnedError)
		if learnedError > classError/2 {
			t.Errorf("seed %d: the learned estimate is off by %.2f, the class mean by %.2f", seed, learnedError, classError)
		}
	}
}

// The estimate of a shape with few queries shrinks towards the prior of its features, the more so the less the shapes of the
// prior differ, and its confidence is low.
func TestShrinkage(t *testing.T) {
	catalog := NewCatalog(Options{MaxBytes: 1 << 20})
	recognize := func(i int) *Shape { return catalog.Recognize(lookupStatement(i, 0), Postgres, 0) }
	if e := catalog.Estimate(recognize(0)); e.Work != 0 || e.Confidence != 0 || e.Usable() {
		t.Errorf("without any queries: %+v", e)
	}
	r := rand.New(rand.NewSource(2))
	for i := range 2000 { // all shapes cost 100 ms
		catalog.Learn(recognize(1+i%50), 0, 100*math.Exp(r.NormFloat64()*0.4), 8)
	}
	s := recognize(60)
	if e := catalog.Estimate(s); errorRatio(e.Work, 108) > 1.1 || e.Confidence != 0 || errorRatio(e.Mem, 8) > 1.05 {
		t.Errorf("a new shape among similar ones: %+v", e)
	}
	catalog.Learn(s, 0, 300, 8)
	if e := catalog.Estimate(s); errorRatio(e.Work, 108) > 1.2 || e.Confidence > 0.1 {
		t.Errorf("one outlier where shapes cost the same: %+v", e)
	}
	catalog = NewCatalog(Options{MaxBytes: 1 << 20})
	for i := range 2000 { // the costs of shapes differ widely
		shape := i % 50
		catalog.Learn(catalog.Recognize(lookupStatement(1+shape, 0), Postgres, 0), 0,
			10*math.Exp(float64(shape)/10)*math.Exp(r.NormFloat64()*0.1), 8)
	}
	s = catalog.Recognize(lookupStatement(60, 0), Postgres, 0)
	catalog.Learn(s, 0, 300, 8)
	if e := catalog.Estimate(s); errorRatio(e.Work, 300) > 1.6 || !e.Usable() {
		t.Errorf("one query where shapes differ: %+v", e)
	}
}

// The errors of request estimates and of learned estimates are measured on the same queries, and invalid costs are ignored.
func TestEstimateErrorsAreMeasured(t *testing.T) {
	catalog := NewCatalog(Options{MaxBytes: 1 << 20})
	s := catalog.Recognize(aggregateQuery, Postgres, 0)
	for range 100 {
		catalog.Learn(s, 200, 100, 8)
	}
	for _, v := range []float64{math.NaN(), 0, -5, math.Inf(1)} {
		catalog.Learn(s, 0, v, 8)
	}
	catalog.Learn(nil, 0, 5, 8)
	if stats := catalog.Stats(); stats.Observations != 100 || errorRatio(stats.RequestEstimateError, 2) > 1.1 ||
		stats.LearnedEstimateError > 1.1 {
		t.Errorf("%+v", stats)
	}
}

// Many different shapes with the same features share one prior, so the number of priors is bounded.
func TestFeaturePriorsAreBounded(t *testing.T) {
	catalog := NewCatalog(Options{MaxBytes: 1 << 16})
	for i := range 5000 {
		catalog.Learn(catalog.Recognize(floodStatement(i)+fmt.Sprintf(" ORDER BY a%d", i), Postgres, 0), 0, 5, 5)
	}
	if len(catalog.featurePriors) != 1 {
		t.Errorf("%d priors for statements with the same features", len(catalog.featurePriors))
	}
}
