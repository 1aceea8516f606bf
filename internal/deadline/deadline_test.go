package deadline

import (
	"strings"
	"testing"
)

// Entries run in order of time. One that is set while due entries run waits for the next call, and a cancelled one never runs.
func TestRunDue(t *testing.T) {
	q, got := New(), ""
	var a, b, c Entry
	a.Do = func() { got += "a"; q.Set(&a, 1) } // due at once: it must wait for the next call of RunDue
	b.Do = func() { got += "b"; q.Cancel(&c) }
	c.Do = func() { got += "c" }
	q.Set(&c, 3)
	q.Set(&b, 2)
	q.Set(&a, 9)
	q.Set(&a, 2)
	q.RunDue(5)
	if got != "ba" {
		t.Errorf("ran %q, want ba", got)
	}
	if at, ok := q.Next(); !ok || at != 1 {
		t.Errorf("next %v %v, want 1", at, ok)
	}
	q.RunDue(5)
	if strings.Count(got, "a") != 2 || strings.Contains(got, "c") {
		t.Errorf("ran %q in all", got)
	}
}
