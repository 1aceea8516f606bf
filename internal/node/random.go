package node

import (
	"math/rand"
	randv2 "math/rand/v2"

	"thymeway/internal/config"
)

// Streams of random numbers, one for each front, so that their numbers do not depend on one another.
const (
	postgresStream   = 1
	clickHouseStream = 2
)

// newRandom returns a source of the ids and keys that a front draws. They must differ from those of every other process, an earlier
// one under the same configuration included: a worker group would take a request under an old id, or with an old idempotency key,
// for the old request. Only without a ProcessSeed, as in tests, do they follow from the configuration's seed.
func newRandom(cfg config.Config, stream uint64) *rand.Rand {
	if cfg.ProcessSeed == [2]uint64{} {
		return rand.New(rand.NewSource(int64(cfg.Seed + stream)))
	}
	return rand.New(&pcgSource{randv2.NewPCG(cfg.ProcessSeed[0]^cfg.Seed, cfg.ProcessSeed[1]+stream)})
}

// pcgSource makes a PCG a source of package math/rand. Unlike that package's own source, it uses all bits of its seed.
type pcgSource struct{ *randv2.PCG }

// Int63 implements rand.Source.
func (s *pcgSource) Int63() int64 { return int64(s.Uint64() >> 1) }

// Seed implements rand.Source.
func (s *pcgSource) Seed(seed int64) { s.PCG.Seed(uint64(seed), 0) }
