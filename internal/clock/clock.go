package clock

import "time"

// Clock is the time source for all deadlines, windows and timeouts of the program. It starts at the Unix time of the
// program's start and advances with the monotonic clock, so that steps of the wall clock do not affect it. The zero value
// is not ready for use.
type Clock struct {
	start   time.Time
	startMs float64 // Unix time at the start
}

// New returns a Clock that starts at the present Unix time.
func New() *Clock {
	start := time.Now()
	return &Clock{start: start, startMs: float64(start.UnixMicro()) / 1000}
}

// Now returns the time in ms. It never runs backwards.
func (c *Clock) Now() float64 { return c.startMs + milliseconds(time.Since(c.start)) }
