// Package clock provides the program's time source, which is independent of steps of the wall clock, and monitors the wall
// clock for such steps.
package clock

import (
	"log/slog"
	"math"
	"time"
)

// minStep is the difference in ms between the movements of the wall clock and the monotonic clock that counts as a step.
// Slewing, at most 0.05%, stays below it between two samples.
const minStep = 100.0

// State holds the steps of the wall clock that a Monitor has detected.
type State struct {
	Steps  uint64
	Offset float64 // sum of all steps in ms
}

// Monitor detects steps of the wall clock. It must be used by one goroutine only.
type Monitor struct {
	read       func() (wall, elapsed float64) // reads both clocks at the same moment, in ms
	difference float64                        // wall minus elapsed time at the last sample
	state      State
}

// NewMonitor returns a Monitor of the system's wall clock.
func NewMonitor() *Monitor {
	start := time.Now()
	return newMonitor(func() (wall, elapsed float64) {
		now := time.Now() // holds readings of both clocks
		return float64(now.UnixMicro()) / 1000, milliseconds(now.Sub(start))
	})
}

func newMonitor(read func() (wall, elapsed float64)) *Monitor {
	wall, elapsed := read()
	return &Monitor{read: read, difference: wall - elapsed}
}

// Sample compares the clocks, and logs and counts a step since the last sample.
func (m *Monitor) Sample() {
	wall, elapsed := m.read()
	step := wall - elapsed - m.difference
	m.difference += step
	if math.Abs(step) < minStep {
		return
	}
	m.state.Steps++
	m.state.Offset += step
	slog.Warn("clock-stepped", "by_ms", math.Round(step), "offset_ms", math.Round(m.state.Offset), "steps", m.state.Steps)
}

// State returns a copy of the steps detected so far.
func (m *Monitor) State() State { return m.state }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
