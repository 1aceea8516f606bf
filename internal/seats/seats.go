// Package seats bounds the connections of clients, whatever protocol they speak: where there are no more descriptors for
// newcomers, a connection that does no one any good now gives way.
package seats

import (
	"container/list"

	"thymeway/internal/tally"
)

// Holder is a client's connection.
type Holder interface {
	Quiet() bool // nothing has come that was not read yet
	Push()       // close it: it gives way
}

// mostExcess is how many connections beyond the bound stay until they are told so.
const mostExcess = 4

// Seats are the places of all clients.
type Seats struct {
	Most   int // 0: no bound
	Faults *tally.Tally
	count  int
	// Those that may be closed without harm, the longest unused first: connections that said nothing yet, and those
	// that rest between two requests.
	silent, resting list.List
}

// Seat is one connection's place.
type Seat struct {
	all    *Seats
	holder Holder
	in     *list.List
	at     *list.Element
	left   bool
}

// Count is how many seats are taken.
func (a *Seats) Count() int { return a.count }

// Take gives a new connection a seat. excess says that there is none for it: it may only be told so. ok false says that
// there is not even room for that, and the connection has to be closed.
func (a *Seats) Take(h Holder) (s *Seat, excess, ok bool) {
	s = &Seat{all: a, holder: h}
	a.count++
	if a.Most <= 0 || a.count <= a.Most || a.push() {
		return s, false, true
	}
	if a.count > a.Most+mostExcess { // danger: with no descriptor left, nobody could connect or be served
		a.Faults.Add("client-excess", "connections", a.count)
		return s, true, false
	}
	return s, true, true
}

// push closes a connection that does no one any good now, if there is one. Danger: one whose bytes have come and were
// not read yet has asked for something.
func (a *Seats) push() bool {
	for _, l := range []*list.List{&a.silent, &a.resting} {
		for e := l.Front(); e != nil; e = e.Next() {
			if s := e.Value.(*Seat); s.holder.Quiet() {
				s.holder.Push()
				return true
			}
		}
	}
	return false
}

func (s *Seat) wait(l *list.List) {
	if s.in != nil {
		s.in.Remove(s.at)
	}
	if s.in = l; l != nil {
		s.at = l.PushBack(s)
	}
}

// Silent says that the connection has said nothing yet.
func (s *Seat) Silent() { s.wait(&s.all.silent) }

// Resting says that it stands between two requests.
func (s *Seat) Resting() { s.wait(&s.all.resting) }

// Busy says that it is in use.
func (s *Seat) Busy() { s.wait(nil) }

// Leave gives the seat up.
func (s *Seat) Leave() {
	if !s.left {
		s.left = true
		s.wait(nil)
		s.all.count--
	}
}
