// Package starttime estimates how long ago worker groups started. It does no input or output and reads no clock.
package starttime

import "math"

const (
	maxClockError = 2 * 3600e3 // ms by which the clock of this machine is assumed to be wrong at most
	// earlyStartTolerance is the share of the warm-up time by which an estimated start may be too early. The load
	// budgets of cold worker groups have a margin for it.
	earlyStartTolerance = 0.1
)

// Estimator converts the Unix timestamps at which worker groups started to the program's clock. Neither the clock of this
// machine nor the timestamps are reliable by themselves. A worker group that counts as warm too early is overloaded, and one
// that counts as cold for too long stays idle. So the estimated age is the smaller of the age by the latest timestamp, plus
// a tolerance, and the age by this machine's clock, but at least the latter minus maxClockError.
type Estimator struct {
	WarmUpTime    float64              // ms that a worker group takes to warm up
	latestStamp   float64              // latest Unix timestamp observed
	latestStampAt float64              // time of observing it, by the program's clock
	startTimes    map[string]startTime // by worker group
}

// startTime is the timestamp of a worker group's start and the estimate made of it. The estimate is kept as long as the
// timestamp stays the same.
type startTime struct{ stamp, local float64 }

// Observe uses a timestamp to improve the estimate of the discovery service's clock.
func (e *Estimator) Observe(stamp, now float64) {
	if stamp > 0 && (e.latestStamp == 0 || stamp > e.latestStamp+(now-e.latestStampAt)) {
		e.latestStamp, e.latestStampAt = stamp, now
	}
}

// LocalStart returns the start time of a worker group by the program's clock, in ms; 0: long ago.
func (e *Estimator) LocalStart(id string, stamp, now float64) float64 {
	if stamp <= 0 {
		delete(e.startTimes, id)
		return 0
	}
	if start, ok := e.startTimes[id]; ok && start.stamp == stamp {
		return start.local
	}
	e.Observe(stamp, now)
	byStamps := e.latestStamp + (now - e.latestStampAt) - stamp + earlyStartTolerance*e.WarmUpTime
	byClock := now - stamp
	age := math.Max(math.Min(byStamps, byClock), byClock-maxClockError)
	start := startTime{stamp, now - math.Max(age, 0)}
	if e.startTimes == nil {
		e.startTimes = map[string]startTime{}
	}
	e.startTimes[id] = start
	return start.local
}

// Remove removes a worker group.
func (e *Estimator) Remove(id string) { delete(e.startTimes, id) }

// RemoveUnlisted removes all worker groups that are not in listed.
func (e *Estimator) RemoveUnlisted(listed map[string]bool) {
	for id := range e.startTimes {
		if !listed[id] {
			delete(e.startTimes, id)
		}
	}
}
