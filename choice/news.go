package choice

import (
	"encoding/binary"
	"math"
)

// News is what fronts tell each other of an engine, in newsBytes: a kind, half of the hash of the engine's id
// and three numbers. The steps are those of the format.
const (
	newsReport = 0 // load, share of memory in use, age
	newsSend   = 1 // threads sent there, how long they are expected to run, unused
	newsBytes  = 8
	newsStep   = 1.0 / 32
	newsTime   = 20.0  // ms, of an age
	newsLong   = 100.0 // ms, of a run
)

func packNews(kind byte, e *engine, a, b, c float64) []byte {
	d := binary.BigEndian.AppendUint32([]byte{kind}, uint32(e.hash))
	for _, v := range []float64{a, b, c} {
		d = append(d, byte(math.Max(0, math.Min(math.Round(v), 255))))
	}
	return d
}

// unpackNews calls heard for each item about a known engine; what is garbled or unknown is skipped.
func (f *Front) unpackNews(d []byte, heard func(kind byte, e *engine, a, b, c float64)) {
	for ; len(d) >= newsBytes; d = d[newsBytes:] {
		if e := f.byNews[binary.BigEndian.Uint32(d[1:])]; e != nil {
			heard(d[0], e, float64(d[5]), float64(d[6]), float64(d[7]))
		}
	}
}

// abroad is a query that a peer sent to an engine.
type abroad struct{ at, threads, long float64 }

// tell passes news of an engine to the fronts that work with it, a full message for each request taken at most.
func (f *Front) tell(e *engine, data []byte) {
	n := len(f.ring)
	if !f.s.CanTell || !f.many || !e.listed || f.meanLoad < quietLoad || f.tells >= f.tookAll {
		return
	}
	for i := 0; i < min(f.reach(), n); i++ {
		start := (e.place - i + n) % n
		j := int(math.Ceil(float64(start) * f.fronts / float64(n)))
		for ; j < f.s.Fronts && f.first(j) == start; j++ {
			if j != f.s.Front {
				f.tells += float64(len(data)) / float64(max(f.s.MostTold, 1))
				f.do(Tell{j, data})
			}
		}
	}
}
