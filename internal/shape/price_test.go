package shape

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// A sketch's quantiles are off by its ratio at most, and two sketches merged are the sketch of both.
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
				if got := s.Quantile(q); off(got, want) > medianWithin*1.0001 {
					t.Fatalf("quantile %v is %v, want %v", q, got, want)
				}
			}
		}
		if math.Abs(x.Mean()-both.Mean()) > 1e-3*both.Mean() || x.N() != float64(len(all)) {
			t.Fatalf("mean %v of %v, want %v of %d", x.Mean(), x.N(), both.Mean(), len(all))
		}
	})
}

// Nonsense changes nothing, a wide spread runs together at its low end, and what is old fades.
func TestSketchBounds(t *testing.T) {
	var s Sketch
	for _, v := range []float64{math.NaN(), -1, 0, math.Inf(-1)} {
		s.Add(v)
	}
	if s.N() != 0 || s.Quantile(0.5) != 0 || s.Mean() != 0 {
		t.Errorf("nonsense is counted: %+v", s)
	}
	for _, v := range []float64{1e-9, 1, 1e12, math.Inf(1), 1e8} {
		s.Add(v)
	}
	if s.N() != 5 || off(s.Quantile(1), greatest) > medianWithin {
		t.Errorf("%v values, the greatest %v", s.N(), s.Quantile(1))
	}
	s = Sketch{}
	for range 1000 {
		s.Add(10)
	}
	for range 1000 {
		s.Add(1000)
	}
	if m := s.Mean(); m < 950 || s.N() >= mostHeard || off(s.Quantile(0.2), 1000) > medianWithin {
		t.Errorf("after as much again of 1000 the mean is %v of %v", m, s.N())
	}
}

// trial draws shapes whose costs lie apart, and queries of each that scatter less, and gives the median errors of the
// class's mean and of the learned price, as shares.
func trial(seed int64, shapes, queries int, apart, scatter float64) (class, learned float64) {
	r := rand.New(rand.NewSource(seed))
	b := NewBook(Options{Bytes: 1 << 20})
	cost := make([]float64, shapes)
	for i := range cost {
		cost[i] = 150 * math.Exp(r.NormFloat64()*apart)
	}
	next := zipf(r, shapes)
	mean, n := 0.0, 0.0
	var a, c []float64
	for i := range queries {
		k := next()
		s := b.Look(counterText(k, i), Postgres, 0)
		work := cost[k] * math.Exp(r.NormFloat64()*scatter)
		if i > queries/10 {
			c = append(c, math.Abs(mean-work)/work)
			a = append(a, math.Abs(b.Estimate(s).Work-work)/work)
		}
		b.Learn(s, 0, work, 50)
		n++
		mean += (work - mean) / math.Min(n, 500)
	}
	slices.Sort(a)
	slices.Sort(c)
	return c[len(c)/2], a[len(a)/2]
}

// The learned price is off by half of what the class's mean is, or less, where shapes differ more than the queries of
// one shape do.
func TestPriceBeatsMean(t *testing.T) {
	for seed := int64(1); seed <= 5; seed++ {
		class, learned := trial(seed, 200, 20000, 1, 0.3)
		t.Logf("seed %d: median error of the class mean %.2f, of the learned price %.2f", seed, class, learned)
		if learned > class/2 {
			t.Errorf("seed %d: the learned price is off by %.2f, the class mean by %.2f", seed, learned, class)
		}
	}
}

// A shape heard little leans on its like, the more the less these differ, and says so.
func TestShrinkage(t *testing.T) {
	b := NewBook(Options{Bytes: 1 << 20})
	look := func(i int) *Shape { return b.Look(counterText(i, 0), Postgres, 0) }
	if e := b.Estimate(look(0)); e.Work != 0 || e.Sure != 0 || e.Usable() {
		t.Errorf("with nothing heard: %+v", e)
	}
	r := rand.New(rand.NewSource(2))
	for i := range 2000 { // all shapes alike: 100 ms
		b.Learn(look(1+i%50), 0, 100*math.Exp(r.NormFloat64()*0.4), 8)
	}
	s := look(60)
	if e := b.Estimate(s); off(e.Work, 108) > 1.1 || e.Sure != 0 || off(e.Mem, 8) > 1.05 {
		t.Errorf("never heard among its like: %+v", e)
	}
	b.Learn(s, 0, 300, 8)
	if e := b.Estimate(s); off(e.Work, 108) > 1.2 || e.Sure > 0.1 {
		t.Errorf("one odd answer among equals: %+v", e)
	}
	b = NewBook(Options{Bytes: 1 << 20})
	for i := range 2000 { // all shapes apart
		k := i % 50
		b.Learn(b.Look(counterText(1+k, 0), Postgres, 0), 0, 10*math.Exp(float64(k)/10)*math.Exp(r.NormFloat64()*0.1), 8)
	}
	s = b.Look(counterText(60, 0), Postgres, 0)
	b.Learn(s, 0, 300, 8)
	if e := b.Estimate(s); off(e.Work, 300) > 1.6 || !e.Usable() {
		t.Errorf("one answer where shapes differ: %+v", e)
	}
}

// Told and learned estimates are measured on the same answers, and nonsense teaches nothing.
func TestToldIsMeasured(t *testing.T) {
	b := NewBook(Options{Bytes: 1 << 20})
	s := b.Look(counterQuery, Postgres, 0)
	for range 100 {
		b.Learn(s, 200, 100, 8)
	}
	for _, v := range []float64{math.NaN(), 0, -5, math.Inf(1)} {
		b.Learn(s, 0, v, 8)
	}
	b.Learn(nil, 0, 5, 8)
	if st := b.Stats(); st.Learned != 100 || off(st.ToldOff, 2) > 1.1 || st.OwnOff > 1.1 {
		t.Errorf("%+v", st)
	}
}

// The families are as few as their features allow, whatever comes.
func TestFamilies(t *testing.T) {
	b := NewBook(Options{Bytes: 1 << 16})
	for i := range 5000 {
		b.Learn(b.Look(floodText(i)+fmt.Sprintf(" ORDER BY a%d", i), Postgres, 0), 0, 5, 5)
	}
	if len(b.families) != 1 {
		t.Errorf("%d families of one kind of statement", len(b.families))
	}
}
