package starttime

import (
	"math"
	"testing"
)

// Guards against misjudged starts on a machine with a wrong clock: worker groups counted as warm right after their start, or
// as cold for an hour.
func TestStartTimesWithWrongWallClock(t *testing.T) {
	const hour = 3600e3
	const now = 1.7e12 // at discovery
	const warmAfter = 10000.0
	// Budgets use 0.8 of the allowed load, and a worker group has 0.34 of its capacity at its start. If its age is
	// overestimated by no more than this margin, it is not sent more than the allowed load.
	const margin = (1/0.8 - 1) * 0.34 / 0.66 * warmAfter
	for _, offset := range []float64{0, -5000, 5000, -hour, hour} {
		e := Estimator{WarmUpTime: warmAfter}
		// Listed when the program starts: worker groups that started 4 s, 60 s and a day ago.
		local := func(id string, began, at float64) float64 { return at + offset - e.LocalStart(id, began, at+offset) }
		e.Observe(now-4000, now+offset)
		if age := local("fresh", now-4000, now); age < 0 || age > 4000+margin {
			t.Errorf("clock off by %.0f: one that started 4,000 ms ago counts as %.0f ms old", offset, age)
		}
		if age := local("older", now-60e3, now); age > 60e3+margin || age < 55e3 && offset >= 0 {
			t.Errorf("clock off by %.0f: one that started 60,000 ms ago counts as %.0f ms old", offset, age)
		}
		if age := local("old", now-24*hour, now); age < hour {
			t.Errorf("clock off by %.0f: one that started a day ago counts as %.0f ms old", offset, age)
		}
		// Listed later, 1 s after its start, and listed again.
		first := e.LocalStart("late", now+9000, now+10e3+offset)
		if age := now + 10e3 + offset - first; age < 0 || age > 1000+margin {
			t.Errorf("clock off by %.0f: one that started 1,000 ms ago counts as %.0f ms old", offset, age)
		}
		if again := e.LocalStart("late", now+9000, now+20e3+offset); math.Abs(again-first) > 0 {
			t.Errorf("clock off by %.0f: listed again, its start moves by %.0f ms", offset, again-first)
		}
	}
}

// A timestamp far in the future must not make other worker groups look older than they are.
func TestFutureTimestampDoesNotAgeOthers(t *testing.T) {
	const now = 1.7e12
	var e Estimator
	if local := e.LocalStart("odd", now+3600e3, now); local != now {
		t.Errorf("one that is to start in an hour counts as started %.0f ms ago", now-local)
	}
	if age := now - e.LocalStart("fresh", now-2000, now); age > 2000 {
		t.Errorf("one that started 2,000 ms ago counts as %.0f ms old", age)
	}
}
