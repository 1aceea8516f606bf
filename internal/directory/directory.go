// Package directory keeps which server is known by which id and where it listens, for each kind of servers alike: a
// server is known by its id, and an address belongs to the one that was named with it last.
package directory

import "slices"

// Place is what is told of a server. Servers embed it.
type Place struct {
	ID   string
	Addr string // "" once another one listens there
	Gone bool   // it has left the list
}

// Self is the place; Server asks for it.
func (p *Place) Self() *Place { return p }

// Server is a server with what its side keeps of it.
type Server interface {
	comparable
	Self() *Place
	Leave()     // closes what is idle: it has gone, or has another address
	Lose()      // another one has its address: what waits for it comes to nothing
	Left() bool // nothing of it is out or open any more
}

// Directory is all servers of a side. Its zero value is empty.
type Directory[S Server] struct {
	byID  map[string]S
	order []S // in the order in which they were named
	at    map[string]S
}

// Get is the server of an id.
func (d *Directory[S]) Get(id string) (s S, ok bool) {
	s, ok = d.byID[id]
	return s, ok
}

// All are the servers in the order in which they were named.
func (d *Directory[S]) All() []S { return d.order }

// Know takes where a server is, or that it has gone. fresh makes one that was not known.
func (d *Directory[S]) Know(id, addr string, gone bool, fresh func(Place) S) {
	if d.byID == nil {
		d.byID, d.at = map[string]S{}, map[string]S{}
	}
	s, known := d.byID[id]
	if !known {
		if gone {
			return
		}
		s = fresh(Place{ID: id})
		d.byID[id], d.order = s, append(d.order, s)
	}
	p := s.Self()
	if addr != "" && addr != p.Addr {
		// Danger: a new server may have the address of one that has gone. It must get none of its connections and
		// queries.
		if o, taken := d.at[addr]; taken {
			o.Self().Addr = ""
			o.Leave()
			o.Lose()
		}
		d.leaveAddress(s)
		s.Leave()
		p.Addr, d.at[addr] = addr, s
	}
	if p.Gone = gone; gone {
		s.Leave()
		d.Forget(s)
	}
}

// Only takes a whole list: servers that it does not name have gone.
func (d *Directory[S]) Only(named map[string]bool) {
	for _, s := range slices.Clone(d.order) {
		if p := s.Self(); !named[p.ID] && !p.Gone {
			d.Know(p.ID, "", true, nil)
		}
	}
}

// Forget drops a server that has gone, once nothing of it is left, and tells whether it did.
func (d *Directory[S]) Forget(s S) bool {
	p := s.Self()
	if !p.Gone || !s.Left() || d.byID[p.ID] != s {
		return false
	}
	delete(d.byID, p.ID)
	d.leaveAddress(s)
	d.order = slices.DeleteFunc(slices.Clone(d.order), func(x S) bool { return x == s })
	return true
}

func (d *Directory[S]) leaveAddress(s S) {
	if a := s.Self().Addr; d.at[a] == s {
		delete(d.at, a)
	}
}
