// Package deadline holds all deadlines of the program in one sorted structure, which each turn sweeps.
package deadline

import "github.com/google/btree"

// Entry is one deadline. Its zero value with Do set is ready for use; an entry is in the queue once at most.
type Entry struct {
	Do  func()
	at  float64
	seq uint64
	in  bool
}

// Waits tells whether the entry is in its queue.
func (e *Entry) Waits() bool { return e.in }

// Queue is sorted by time; entries of one time are in the order in which they were set.
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

// Set puts an entry at a time, taking it from where it was.
func (q *Queue) Set(e *Entry, at float64) {
	q.Clear(e)
	q.seq++
	e.at, e.seq, e.in = at, q.seq, true
	q.tree.ReplaceOrInsert(e)
}

// Clear takes an entry out.
func (q *Queue) Clear(e *Entry) {
	if e.in {
		q.tree.Delete(e)
		e.in = false
	}
}

// Next is the earliest time set, if any.
func (q *Queue) Next() (at float64, ok bool) {
	e, ok := q.tree.Min()
	if !ok {
		return 0, false
	}
	return e.at, true
}

// Sweep runs what is due, earliest first. What is set meanwhile waits for the next sweep, due or not: an entry
// that sets itself anew at once must not hold the loop.
func (q *Queue) Sweep(now float64) {
	last := q.seq
	var later []*Entry
	for {
		e, ok := q.tree.Min()
		if !ok || e.at > now {
			break
		}
		q.tree.DeleteMin()
		if e.seq > last {
			later = append(later, e)
			continue
		}
		e.in = false
		e.Do()
	}
	for _, e := range later {
		if e.in { // cleared meanwhile, if not
			q.tree.ReplaceOrInsert(e)
		}
	}
}
