// Package starttime decides how long ago a worker group started. It does no input or output and reads no clock.
package starttime

import "math"

const (
	mostClockError = 2 * 3600e3 // ms by which this machine's clock is taken to be wrong at most
	tolerance      = 0.1        // share of the time to warm up by which a start may be judged too early: cold budgets bear it
)

// Judge turns the Unix times at which worker groups started into times of the program's own clock. Neither this
// machine's clock nor the stamps alone can be trusted: a worker group taken for warm too early is overloaded, and one
// taken for cold for long stays idle. So a start counts as no longer ago than both tell, but for a tolerance.
type Judge struct {
	WarmAfter float64 // ms in which a worker group warms up
	newest    float64 // the latest stamp so far
	newestAt  float64 // when it was told, by the program's clock
	known     map[string]startTime
}

// startTime is one worker group's: the stamp, and the time that was made of it. One stamp keeps its time.
type startTime struct{ stamp, local float64 }

// Observe takes a stamp into what is known of the time at discovery.
func (j *Judge) Observe(stamp, now float64) {
	if stamp > 0 && (j.newest == 0 || stamp > j.newest+(now-j.newestAt)) {
		j.newest, j.newestAt = stamp, now
	}
}

// Local is a worker group's start by the program's clock, in ms; 0: long ago.
func (j *Judge) Local(id string, stamp, now float64) float64 {
	if stamp <= 0 {
		delete(j.known, id)
		return 0
	}
	if k, ok := j.known[id]; ok && k.stamp == stamp {
		return k.local
	}
	j.Observe(stamp, now)
	byStamps := j.newest + (now - j.newestAt) - stamp + tolerance*j.WarmAfter
	byClock := now - stamp
	age := math.Max(math.Min(byStamps, byClock), byClock-mostClockError)
	t := startTime{stamp, now - math.Max(age, 0)}
	if j.known == nil {
		j.known = map[string]startTime{}
	}
	j.known[id] = t
	return t.local
}

// Forget drops a worker group that has gone.
func (j *Judge) Forget(id string) { delete(j.known, id) }

// Only drops all but those named.
func (j *Judge) Only(named map[string]bool) {
	for id := range j.known {
		if !named[id] {
			delete(j.known, id)
		}
	}
}
