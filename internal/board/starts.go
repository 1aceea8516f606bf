package board

import "math"

const (
	mostClockError = 2 * 3600e3 // ms by which this machine's clock is taken to be wrong at most
	tolerance      = 0.1        // share of the time to warm up by which a start may be judged too early: cold budgets bear it
)

// startTimes turns the Unix times at which worker groups started into times of the program's own clock. Neither this
// machine's clock nor the stamps alone can be trusted: a worker group taken for warm too early is overloaded, and one
// taken for cold for long stays idle. So a start counts as no longer ago than both tell, but for a tolerance.
type startTimes struct {
	warmAfter float64 // ms in which a worker group warms up
	newest    float64 // the latest stamp so far
	newestAt  float64 // when it was told, by the program's clock
	known     map[string]startTime
}

// startTime is one worker group's: the stamp, and the time that was made of it. One stamp keeps its time.
type startTime struct{ stamp, local float64 }

// hear takes a stamp into what is known of the time at discovery.
func (s *startTimes) hear(stamp, now float64) {
	if stamp > 0 && (s.newest == 0 || stamp > s.newest+(now-s.newestAt)) {
		s.newest, s.newestAt = stamp, now
	}
}

// local is a worker group's start by the program's clock, in ms; 0: long ago.
func (s *startTimes) local(id string, stamp, now float64) float64 {
	if stamp <= 0 {
		delete(s.known, id)
		return 0
	}
	if k, ok := s.known[id]; ok && k.stamp == stamp {
		return k.local
	}
	s.hear(stamp, now)
	byStamps := s.newest + (now - s.newestAt) - stamp + tolerance*s.warmAfter
	byClock := now - stamp
	age := math.Max(math.Min(byStamps, byClock), byClock-mostClockError)
	t := startTime{stamp, now - math.Max(age, 0)}
	if s.known == nil {
		s.known = map[string]startTime{}
	}
	s.known[id] = t
	return t.local
}

// forget drops a worker group that has gone.
func (s *startTimes) forget(id string) { delete(s.known, id) }

// only drops all but those named.
func (s *startTimes) only(named map[string]bool) {
	for id := range s.known {
		if !named[id] {
			delete(s.known, id)
		}
	}
}
