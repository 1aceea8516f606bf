// Package clock knows the machine's clocks: the wall clock, which may be stepped at any time, and the monotonic one.
package clock

import (
	"log/slog"
	"math"
	"time"
)

// leastStep is by how many ms the wall clock has to move against the monotonic one for a step. Slewing, at most 0.05%,
// stays under it between two samples.
const leastStep = 100.0

// State is what a Monitor has seen.
type State struct {
	Steps  uint64
	Offset float64 // ms by which the wall clock was stepped, in sum
}

// Monitor watches the wall clock for steps. It belongs to one goroutine.
type Monitor struct {
	read  func() (wall, elapsed float64) // both clocks at one moment, in ms
	gap   float64                        // between them, at the last sample
	state State
}

// NewMonitor starts to watch the system's wall clock.
func NewMonitor() *Monitor {
	start := time.Now()
	return newMonitor(func() (wall, elapsed float64) {
		now := time.Now() // one reading holds both clocks
		return float64(now.UnixMicro()) / 1000, milliseconds(now.Sub(start))
	})
}

func newMonitor(read func() (wall, elapsed float64)) *Monitor {
	wall, elapsed := read()
	return &Monitor{read: read, gap: wall - elapsed}
}

// Sample compares the clocks and logs a step since the last sample.
func (m *Monitor) Sample() {
	wall, elapsed := m.read()
	step := wall - elapsed - m.gap
	m.gap += step
	if math.Abs(step) < leastStep {
		return
	}
	m.state.Steps++
	m.state.Offset += step
	slog.Warn("clock-stepped", "by_ms", math.Round(step), "offset_ms", math.Round(m.state.Offset), "steps", m.state.Steps)
}

// State is a copy of what was seen.
func (m *Monitor) State() State { return m.state }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
