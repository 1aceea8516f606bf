package clock

import "testing"

// A step of the wall clock must be counted once, with its size. Passing time and slewing must not count as steps.
func TestMonitorCountsSteps(t *testing.T) {
	wall, elapsed := 1.7e12, 0.0
	m := newMonitor(func() (float64, float64) { return wall, elapsed })
	for _, c := range []struct {
		passes, moves float64 // ms by the monotonic clock, and by the wall clock
		want          State
	}{
		{3.6e6, 3.6e6, State{}},
		{1000, 1000.5, State{}},
		{10, 3.6e6 + 10, State{1, 3.6e6}},
		{10, 10, State{1, 3.6e6}},
		{10, 10 - 3.605e6, State{2, -5000}},
	} {
		elapsed += c.passes
		wall += c.moves
		m.Sample()
		if got := m.State(); got.Steps != c.want.Steps || got.Offset < c.want.Offset-1 || got.Offset > c.want.Offset+1 {
			t.Errorf("%.0f ms pass, the wall clock moves by %.0f: %+v, want %+v", c.passes, c.moves, got, c.want)
		}
	}
}
