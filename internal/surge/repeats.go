// Package surge knows what a coordinator sees of pressure over time: who comes again, how much of what comes is a
// repeat, how much of what is done is in vain, and whether that is a storm. It does no input or output and reads no clock;
// times are ms. It tells and decides nothing.
package surge

// Repeats tells requests that come again after a refusal though nobody marked them: those of the same key soon after it.
// It is a counting sketch in fixed memory, two generations by turns, so that what is old is forgotten as a whole. It may
// take a first try for a repeat, at a rate that the tests state; it never misses a repeat within its span, unless another
// request used up its mark.
type Repeats struct {
	span  float64
	turn  float64 // when the present generation began
	young *generation
	old   *generation
}

const (
	sketchRows = 4
	sketchCols = 2048
	mostMarks  = 255
	// mostTries is how often a client comes back by itself after a refusal.
	mostTries = 2
)

type generation [sketchRows][sketchCols]uint8

// NewRepeats returns a sketch that remembers refusals for between one and two spans, in 16 KB.
func NewRepeats(span float64) *Repeats {
	return &Repeats{span: span, young: &generation{}, old: &generation{}}
}

// cell mixes a hash into a column of a row.
func cell(h uint64, row int) int {
	h = (h ^ uint64(row+1)*0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	h ^= h >> 29
	return int(h*0x94d049bb133111eb>>40) % sketchCols
}

func (r *Repeats) rotate(now float64) {
	switch {
	case now-r.turn >= 2*r.span:
		*r.young, *r.old, r.turn = generation{}, generation{}, now
	case now-r.turn >= r.span:
		r.young, r.old = r.old, r.young
		*r.young = generation{}
		r.turn += r.span
	}
}

// Refused notes that the request of a key was turned away: it may come back a few times.
func (r *Repeats) Refused(h uint64, now float64) {
	r.rotate(now)
	for row := range r.young { // all of them grow: marks are taken away again, which a thriftier update would not bear
		c := &r.young[row][cell(h, row)]
		*c += min(mostTries, mostMarks-*c)
	}
}

func (g *generation) least(h uint64) uint8 {
	least := uint8(mostMarks)
	for row := range g {
		least = min(least, g[row][cell(h, row)])
	}
	return least
}

// Arrived tells whether a request of a key is likely a repeat, and uses up one mark if so.
func (r *Repeats) Arrived(h uint64, now float64) bool {
	r.rotate(now)
	for _, g := range []*generation{r.young, r.old} {
		if g.least(h) == 0 {
			continue
		}
		for row := range g {
			g[row][cell(h, row)]--
		}
		return true
	}
	return false
}
