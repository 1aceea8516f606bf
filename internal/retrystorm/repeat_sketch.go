// Package retrystorm detects retry storms. It recognizes repeats of refused requests, and measures the share of repeats and the
// share of requests that end without a timely result. It does no input or output and reads no clock; times are in ms. Its
// results are only reported: no decision depends on them.
package retrystorm

// RepeatSketch recognizes unmarked repeats of refused requests: requests with the same key that arrive soon after a refusal.
// It is a counting sketch of fixed size with two generations that alternate, so that old refusals are dropped together. A
// first try may be mistaken for a repeat; the tests state how often. A repeat within the window is never missed, unless another
// request has used up the count.
type RepeatSketch struct {
	window    float64 // ms covered by one generation
	rotatedAt float64 // time at which the current generation began
	current   *generation
	previous  *generation
}

const (
	sketchRows = 4
	sketchCols = 2048
	maxCount   = 255 // largest value of a counter
	// repeatsPerRefusal is how often a client library repeats a refused request by itself.
	repeatsPerRefusal = 2
)

// generation holds the counters for the refusals of one window.
type generation [sketchRows][sketchCols]uint8

// NewRepeatSketch returns a sketch of 16 KB that remembers a refusal for one to two windows.
func NewRepeatSketch(window float64) *RepeatSketch {
	return &RepeatSketch{window: window, current: &generation{}, previous: &generation{}}
}

// column returns the column of a hash in a row.
func column(hash uint64, row int) int {
	hash = (hash ^ uint64(row+1)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	hash ^= hash >> 29
	return int(hash*0x94d049bb133111eb>>40) % sketchCols
}

// rotate starts a new generation once the current one covers a whole window.
func (r *RepeatSketch) rotate(now float64) {
	switch {
	case now-r.rotatedAt >= 2*r.window:
		*r.current, *r.previous, r.rotatedAt = generation{}, generation{}, now
	case now-r.rotatedAt >= r.window:
		r.current, r.previous = r.previous, r.current
		*r.current = generation{}
		r.rotatedAt += r.window
	}
}

// AddRefusal records that a request with the given key was refused, so that it may be repeated a few times.
func (r *RepeatSketch) AddRefusal(hash uint64, now float64) {
	r.rotate(now)
	for row := range r.current { // raises all rows: with a conservative update, counts could not be subtracted again
		count := &r.current[row][column(hash, row)]
		*count += min(repeatsPerRefusal, maxCount-*count)
	}
}

// minCount returns the lowest counter of a key, which is an upper bound of its count.
func (g *generation) minCount(hash uint64) uint8 {
	lowest := uint8(maxCount)
	for row := range g {
		lowest = min(lowest, g[row][column(hash, row)])
	}
	return lowest
}

// MatchArrival reports whether a request with the given key is probably a repeat. If so, it subtracts one from the count.
func (r *RepeatSketch) MatchArrival(hash uint64, now float64) bool {
	r.rotate(now)
	for _, g := range []*generation{r.current, r.previous} {
		if g.minCount(hash) == 0 {
			continue
		}
		for row := range g {
			g[row][column(hash, row)]--
		}
		return true
	}
	return false
}
