package deadline

import (
	"strings"
	"testing"
)

func TestSweep(t *testing.T) {
	q, got := New(), ""
	var a, b, c Entry
	a.Do = func() { got += "a"; q.Set(&a, 1) } // due at once: it must wait for the next sweep
	b.Do = func() { got += "b"; q.Clear(&c) }
	c.Do = func() { got += "c" }
	q.Set(&c, 3)
	q.Set(&b, 2)
	q.Set(&a, 9)
	q.Set(&a, 2)
	q.Sweep(5)
	if got != "ba" {
		t.Errorf("swept %q, want ba", got)
	}
	if at, ok := q.Next(); !ok || at != 1 {
		t.Errorf("next %v %v, want 1", at, ok)
	}
	q.Sweep(5)
	if strings.Count(got, "a") != 2 || strings.Contains(got, "c") {
		t.Errorf("swept %q in all", got)
	}
}
