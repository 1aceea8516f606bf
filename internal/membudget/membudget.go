// Package membudget counts the bytes that many holders, such as the connections of one protocol, hold together, so that they can be
// limited together: a limit on each alone does not bound what hundreds of them hold. It is not safe for concurrent use.
package membudget

import "math"

// Budget is the sum of what all holders hold.
type Budget struct {
	held int
}

// Held returns the number of bytes that all holders hold together.
func (b *Budget) Held() int { return b.held }

// Share is the part of one holder. Its zero value with a Budget holds nothing.
type Share struct {
	Budget *Budget
	bytes  int
}

// Bytes returns the number of bytes that the holder holds.
func (s *Share) Bytes() int { return s.bytes }

// Available returns the largest share that the holder may have if all together may hold limit bytes; a limit of 0 means no limit.
func (s *Share) Available(limit int) int {
	if limit == 0 {
		return math.MaxInt
	}
	return max(limit-(s.Budget.held-s.bytes), 0)
}

// Reserve sets the share to count bytes. It returns false, and changes nothing, if the share grows and all together would hold more
// than limit bytes.
func (s *Share) Reserve(count, limit int) bool {
	if count > s.bytes && count > s.Available(limit) {
		return false
	}
	s.Set(count)
	return true
}

// Set sets the share to count bytes without a check, for a holder that holds no more than before.
func (s *Share) Set(count int) {
	s.Budget.held += count - s.bytes
	s.bytes = count
}
