package membudget

import "testing"

// Guards against holders that together exceed their limit although each is within it, and against bytes that stay counted.
func TestSharesExceedBudget(t *testing.T) {
	const limit = 100
	budget := &Budget{}
	first, second := &Share{Budget: budget}, &Share{Budget: budget}
	for _, c := range []struct {
		share *Share
		count int
		want  bool
		held  int
	}{
		{first, 60, true, 60},
		{second, 41, false, 60},
		{second, 40, true, 100},
		{first, 61, false, 100},
		{first, 50, true, 90},
		{second, 50, true, 100},
		{first, 0, true, 50},
	} {
		if got := c.share.Reserve(c.count, limit); got != c.want || budget.Held() != c.held {
			t.Fatalf("reserving %d: %v with %d held, want %v with %d", c.count, got, budget.Held(), c.want, c.held)
		}
	}
	if !first.Reserve(1000, 0) {
		t.Error("a budget without a limit refuses a share")
	}
	// A share that is over a limit may shrink, so that it is counted right.
	if !first.Reserve(900, limit) || first.Bytes() != 900 || first.Available(limit) != limit-second.Bytes() {
		t.Errorf("%d bytes are counted after shrinking, %d are available", first.Bytes(), first.Available(limit))
	}
}
