package clock

import "time"

// Clock is the time by which the program measures every span: deadlines, windows, waits and graces. It begins as the Unix
// time of the program's start and runs on with the monotonic clock, so that no step of the wall clock moves it. Its zero
// value is not ready for use.
type Clock struct {
	start time.Time
	unix  float64 // ms, at the start
}

// New starts a clock.
func New() *Clock {
	start := time.Now()
	return &Clock{start: start, unix: float64(start.UnixMicro()) / 1000}
}

// Now is the time in ms. It never runs backwards.
func (c *Clock) Now() float64 { return c.unix + milliseconds(time.Since(c.start)) }
