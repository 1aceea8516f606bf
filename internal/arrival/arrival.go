// Package arrival remembers when the bytes of a client's input arrived, while they wait behind an open request. A client's time counts
// from when it has sent a request, not from when the request's turn comes.
package arrival

// mergeInterval is the time in ms within which arrivals of waiting bytes are kept as one, the earlier. It bounds their number.
const mergeInterval = 50.0

const maxKeptMarks = 4 // memory for more marks is released once all bytes are taken

// mark states that the input up to end, in bytes that are not taken yet, had arrived at a time.
type mark struct {
	end int
	at  float64 // ms
}

// Times holds the times at which the bytes of an input that are not taken yet arrived.
type Times struct{ marks []mark }

// Add records the arrival of bytes. size is the number of bytes that are not taken yet, the new ones included. waiting states that a
// request before them is open; otherwise they belong to a request that is still being received, whose last byte counts.
func (t *Times) Add(size int, now float64, waiting bool) {
	last := len(t.marks) - 1
	switch {
	case !waiting:
		t.marks = append(t.marks[:0], mark{size, now})
	case last >= 0 && now-t.marks[last].at < mergeInterval:
		t.marks[last].end = size
	default:
		t.marks = append(t.marks, mark{size, now})
	}
}

// Take removes the first count bytes and returns when the last of them had arrived, or now if that is not known.
func (t *Times) Take(count int, now float64) float64 {
	at, found, kept := now, false, t.marks[:0]
	for _, m := range t.marks {
		if !found && m.end >= count {
			at, found = m.at, true
		}
		if m.end > count {
			kept = append(kept, mark{m.end - count, m.at})
		}
	}
	if t.marks = kept; len(kept) == 0 && cap(kept) > maxKeptMarks {
		t.marks = nil
	}
	return at
}
