// Package directory records the ids and addresses of servers, for any kind of server. A server is identified by its id, and an
// address belongs to the server that was last listed with it.
package directory

import "slices"

// Record holds what the discovery service states about a server. Server types embed it.
type Record struct {
	ID      string
	Addr    string // "" if unknown, or once another server has the address
	Removed bool   // no longer listed
}

// DirectoryRecord returns the record itself, as Server requires.
func (r *Record) DirectoryRecord() *Record { return r }

// Server is a server with its connections, as a protocol implements it.
type Server interface {
	comparable
	DirectoryRecord() *Record
	CloseIdle()    // closes idle connections: the server was removed, or its address changes
	AddressTaken() // another server has its address: fails what waits for this one
	Unused() bool  // reports whether it has no open connection or running attempt left
}

// Directory holds all servers that a protocol uses. Its zero value is empty.
type Directory[S Server] struct {
	byID   map[string]S
	order  []S // in the order in which they were first listed
	byAddr map[string]S
}

// Get returns the server of an id.
func (d *Directory[S]) Get(id string) (s S, ok bool) {
	s, ok = d.byID[id]
	return s, ok
}

// All returns the servers in the order in which they were first listed.
func (d *Directory[S]) All() []S { return d.order }

// Update records the address of a server, or that it was removed. create is called for a server that was not known.
func (d *Directory[S]) Update(id, addr string, removed bool, create func(Record) S) {
	if d.byID == nil {
		d.byID, d.byAddr = map[string]S{}, map[string]S{}
	}
	s, known := d.byID[id]
	if !known {
		if removed {
			return
		}
		s = create(Record{ID: id})
		d.byID[id], d.order = s, append(d.order, s)
	}
	record := s.DirectoryRecord()
	if addr != "" && addr != record.Addr {
		// A new server may have the address of a removed one. The old server loses the address, so that none of its
		// connections and queries is used for the new server.
		if owner, taken := d.byAddr[addr]; taken {
			owner.DirectoryRecord().Addr = ""
			owner.CloseIdle()
			owner.AddressTaken()
		}
		d.releaseAddress(s)
		s.CloseIdle()
		record.Addr, d.byAddr[addr] = addr, s
	}
	if record.Removed = removed; removed {
		s.CloseIdle()
		d.RemoveIfUnused(s)
	}
}

// RemoveUnlisted applies a complete list: servers whose ids are not in it are removed.
func (d *Directory[S]) RemoveUnlisted(listed map[string]bool) {
	for _, s := range slices.Clone(d.order) {
		if record := s.DirectoryRecord(); !listed[record.ID] && !record.Removed {
			d.Update(record.ID, "", true, nil)
		}
	}
}

// RemoveIfUnused deletes a removed server from the directory if it is unused, and reports whether it did.
func (d *Directory[S]) RemoveIfUnused(s S) bool {
	record := s.DirectoryRecord()
	if !record.Removed || !s.Unused() || d.byID[record.ID] != s {
		return false
	}
	delete(d.byID, record.ID)
	d.releaseAddress(s)
	d.order = slices.DeleteFunc(slices.Clone(d.order), func(x S) bool { return x == s })
	return true
}

// releaseAddress frees the address of a server, unless another server has taken it over.
func (d *Directory[S]) releaseAddress(s S) {
	if addr := s.DirectoryRecord().Addr; d.byAddr[addr] == s {
		delete(d.byAddr, addr)
	}
}
