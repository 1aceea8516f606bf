package accounting

import (
	"cmp"
	"slices"
)

// ReasonKey is a class and a reason. Both only take values named in the settings or the program.
type ReasonKey struct{ Class, Reason string }

// ReasonRow holds a ReasonKey and its count.
type ReasonRow struct {
	ReasonKey
	Count uint64
}

// ReasonCounts counts events by class and reason. It is used by the event loop only; other goroutines get its rows.
type ReasonCounts struct{ counts map[ReasonKey]uint64 }

// Add counts one event.
func (r *ReasonCounts) Add(class, reason string) {
	if r.counts == nil {
		r.counts = map[ReasonKey]uint64{}
	}
	r.counts[ReasonKey{class, reason}]++
}

// Rows returns a copy of all counts, sorted by class and reason.
func (r *ReasonCounts) Rows() []ReasonRow {
	rows := make([]ReasonRow, 0, len(r.counts))
	for key, count := range r.counts {
		rows = append(rows, ReasonRow{key, count})
	}
	slices.SortFunc(rows, func(a, b ReasonRow) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Reason, b.Reason))
	})
	return rows
}
