// Package deadline keeps all deadlines of the program in one sorted queue. Each event-loop turn runs those that are due.
package deadline

import "github.com/google/btree"

// Entry is one deadline. Its zero value with Do set is ready for use; an entry is in the queue at most once.
type Entry struct {
	Do     func()
	at     float64 // ms
	seq    uint64  // number of the Set call; orders entries with the same time
	queued bool
}

// Scheduled reports whether the entry is in its queue.
func (e *Entry) Scheduled() bool { return e.queued }

// Queue is sorted by time; entries with the same time are in the order in which they were set.
type Queue struct {
	tree *btree.BTreeG[*Entry]
	seq  uint64
}

// New returns an empty queue.
func New() *Queue {
	return &Queue{tree: btree.NewG(16, func(a, b *Entry) bool {
		if a.at != b.at {
			return a.at < b.at
		}
		return a.seq < b.seq
	})}
}

// Set schedules an entry for the time at, or moves it if it is scheduled already. RunDue calls Do once that time is reached.
func (q *Queue) Set(e *Entry, at float64) {
	q.Cancel(e)
	q.seq++
	e.at, e.seq, e.queued = at, q.seq, true
	q.tree.ReplaceOrInsert(e)
}

// Cancel removes an entry from the queue, if it is scheduled.
func (q *Queue) Cancel(e *Entry) {
	if e.queued {
		q.tree.Delete(e)
		e.queued = false
	}
}

// Next returns the earliest scheduled time, if any.
func (q *Queue) Next() (at float64, ok bool) {
	e, ok := q.tree.Min()
	if !ok {
		return 0, false
	}
	return e.at, true
}

// RunDue calls Do of all due entries, earliest first. Entries that are set meanwhile wait for the next call even if they are due:
// an entry that always schedules itself again for now would otherwise block the event loop.
func (q *Queue) RunDue(now float64) {
	lastSeq := q.seq
	var later []*Entry
	for {
		e, ok := q.tree.Min()
		if !ok || e.at > now {
			break
		}
		q.tree.DeleteMin()
		if e.seq > lastSeq {
			later = append(later, e)
			continue
		}
		e.queued = false
		e.Do()
	}
	for _, e := range later {
		if e.queued { // not cancelled meanwhile
			q.tree.ReplaceOrInsert(e)
		}
	}
}
