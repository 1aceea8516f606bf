package starttime

import (
	"math"
	"testing"
)

// Worker groups were taken for warm right after their start, or for cold for an hour, where the machine's clock was wrong.
func TestStartIsMisjudgedWhenWallClockIsWrong(t *testing.T) {
	const hour = 3600e3
	const now = 1.7e12 // at discovery
	const warmAfter = 10000.0
	// Budgets use 0.8 of what the rule allows, and a worker group has 0.34 of its capacity at its start: judged older by so
	// much, it is sent no more than the rule allows.
	const margin = (1/0.8 - 1) * 0.34 / 0.66 * warmAfter
	for _, off := range []float64{0, -5000, 5000, -hour, hour} {
		s := Judge{WarmAfter: warmAfter}
		// Told at the program's start: one that began 60 s ago, one 4 s ago, one a day ago.
		local := func(id string, began, at float64) float64 { return at + off - s.Local(id, began, at+off) }
		s.Observe(now-4000, now+off)
		if age := local("fresh", now-4000, now); age < 0 || age > 4000+margin {
			t.Errorf("clock off by %.0f: one that started 4,000 ms ago counts as %.0f ms old", off, age)
		}
		if age := local("older", now-60e3, now); age > 60e3+margin || age < 55e3 && off >= 0 {
			t.Errorf("clock off by %.0f: one that started 60,000 ms ago counts as %.0f ms old", off, age)
		}
		if age := local("old", now-24*hour, now); age < hour {
			t.Errorf("clock off by %.0f: one that started a day ago counts as %.0f ms old", off, age)
		}
		// Told later, 1 s after its start; and told again.
		first := s.Local("late", now+9000, now+10e3+off)
		if age := now + 10e3 + off - first; age < 0 || age > 1000+margin {
			t.Errorf("clock off by %.0f: one that started 1,000 ms ago counts as %.0f ms old", off, age)
		}
		if again := s.Local("late", now+9000, now+20e3+off); math.Abs(again-first) > 0 {
			t.Errorf("clock off by %.0f: told again, its start moves by %.0f ms", off, again-first)
		}
	}
}

// A stamp from the far future made all others look old.
func TestStampOfTheFutureMakesOthersWarm(t *testing.T) {
	const now = 1.7e12
	var s Judge
	if local := s.Local("odd", now+3600e3, now); local != now {
		t.Errorf("one that is to start in an hour counts as started %.0f ms ago", now-local)
	}
	if age := now - s.Local("fresh", now-2000, now); age > 2000 {
		t.Errorf("one that started 2,000 ms ago counts as %.0f ms old", age)
	}
}
