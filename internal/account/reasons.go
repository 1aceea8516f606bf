package account

import (
	"cmp"
	"slices"
)

// ReasonKey is a class, and why something became of one of its requests. Both are named by the settings and the program.
type ReasonKey struct{ Class, Reason string }

// ReasonRow is one count.
type ReasonRow struct {
	ReasonKey
	Count uint64
}

// Reasons counts by class and reason. It belongs to the event loop; others see the rows.
type Reasons struct{ counts map[ReasonKey]uint64 }

// Add counts one.
func (r *Reasons) Add(class, reason string) {
	if r.counts == nil {
		r.counts = map[ReasonKey]uint64{}
	}
	r.counts[ReasonKey{class, reason}]++
}

// Rows is a copy of all counts, sorted by class and reason.
func (r *Reasons) Rows() []ReasonRow {
	rows := make([]ReasonRow, 0, len(r.counts))
	for key, count := range r.counts {
		rows = append(rows, ReasonRow{key, count})
	}
	slices.SortFunc(rows, func(a, b ReasonRow) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Reason, b.Reason))
	})
	return rows
}
