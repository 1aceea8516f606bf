// Package connlimit limits the number of client connections over all protocols. At the limit, a connection that has no request
// is closed to accept a new one.
package connlimit

import (
	"container/list"

	"thymeway/internal/faultlog"
)

// Connection is a client connection.
type Connection interface {
	InputEmpty() bool // reports whether the connection is open and all received data has been read
	Evict()           // closes the connection in favor of another one
}

// maxExcess is how many connections beyond the limit are kept open for sending them an error.
const maxExcess = 4

// Limiter holds the slots of all client connections.
type Limiter struct {
	MaxConnections int // 0: no limit
	Faults         *faultlog.FaultLog
	count          int
	// Connections that may be closed without losing a request, longest unused first: unused ones have sent nothing yet,
	// idle ones are between two requests.
	unused, idle list.List
}

// Slot represents a connection that counts towards the limit, from Limiter.Acquire to Release.
type Slot struct {
	limiter  *Limiter
	conn     Connection
	list     *list.List // of the limiter, in which the slot is; nil: in none
	element  *list.Element
	released bool
}

// Count returns the number of slots in use.
func (l *Limiter) Count() int { return l.count }

// Acquire returns a slot for a new connection. If excess is true, the connection is beyond the limit and may only be sent an
// error. If ok is false, it is beyond maxExcess as well and has to be closed at once.
func (l *Limiter) Acquire(conn Connection) (s *Slot, excess, ok bool) {
	s = &Slot{limiter: l, conn: conn}
	l.count++
	if l.MaxConnections <= 0 || l.count <= l.MaxConnections || l.evictOne() {
		return s, false, true
	}
	if l.count > l.MaxConnections+maxExcess { // open connections must not use up the descriptors: no client could be served then
		l.Faults.Add("client-excess", "connections", l.count)
		return s, true, false
	}
	return s, true, true
}

// evictOne closes a connection without a request and reports whether there was one. A connection with received data that
// has not been read yet may have sent a request, so it is kept.
func (l *Limiter) evictOne() bool {
	for _, candidates := range []*list.List{&l.unused, &l.idle} {
		for e := candidates.Front(); e != nil; e = e.Next() {
			if s := e.Value.(*Slot); s.conn.InputEmpty() {
				s.conn.Evict()
				return true
			}
		}
	}
	return false
}

// moveTo moves the slot to the end of another list, or to none.
func (s *Slot) moveTo(to *list.List) {
	if s.list != nil {
		s.list.Remove(s.element)
	}
	if s.list = to; to != nil {
		s.element = to.PushBack(s)
	}
}

// MarkUnused records that the connection has sent nothing yet.
func (s *Slot) MarkUnused() { s.moveTo(&s.limiter.unused) }

// MarkIdle records that the connection is between two requests.
func (s *Slot) MarkIdle() { s.moveTo(&s.limiter.idle) }

// MarkBusy records that the connection has a request and must not be evicted.
func (s *Slot) MarkBusy() { s.moveTo(nil) }

// Release frees the slot. Further calls have no effect.
func (s *Slot) Release() {
	if !s.released {
		s.released = true
		s.moveTo(nil)
		s.limiter.count--
	}
}
