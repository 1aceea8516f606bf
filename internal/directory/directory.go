// Package directory records which servers are listed and at which addresses, for any kind of server.
//
// A server is a process, identified by its id. An endpoint is an address with all connections to it, whichever process listens
// there. The list is late: a new server may listen at the address of one that has ended long before the list names either event,
// and it then runs what is sent to the old server. So whatever was sent to an address belongs to the endpoint, not to the server
// that the list named at that time.
package directory

import "slices"

// Endpoint is the address of listed servers. Types that hold the connections to an address embed it.
type Endpoint struct {
	Addr    string
	servers []string // ids of the listed servers that have the address; the last one was listed last
	changes int      // how often another server, or none, was taken to listen at the address
}

// ServerID returns the id of the server that is taken to listen at the address, or "" if no listed server has the address.
func (e *Endpoint) ServerID() string {
	if len(e.servers) == 0 {
		return ""
	}
	return e.servers[len(e.servers)-1]
}

// Generation identifies the server that is taken to listen at the address: it differs after each ServerReplaced. A connection
// belongs to the generation in which it was dialed.
func (e *Endpoint) Generation() int { return e.changes }

// DirectoryEndpoint returns the endpoint itself, as Connections requires.
func (e *Endpoint) DirectoryEndpoint() *Endpoint { return e }

// Connections holds the connections to an endpoint, as a protocol implements it.
type Connections interface {
	comparable
	DirectoryEndpoint() *Endpoint
	// ServerReplaced is called when another server is taken to listen at the address, or none. What was not yet sent to the
	// server with the given id must not be sent any more, and no connection opened for it may be used for another server.
	ServerReplaced(id string)
	Unused() bool // reports whether there is no open connection and no running attempt left
}

// Directory holds the listed servers and all endpoints that are listed or in use. Its zero value is empty.
type Directory[C Connections] struct {
	byServer map[string]C // by the ids of the listed servers
	byAddr   map[string]C
	order    []C // in the order in which they were created
}

// Get returns the endpoint at which a server listens. ok is false if the server is not listed, or if another server was listed
// with its address later.
func (d *Directory[C]) Get(id string) (c C, ok bool) {
	listed, known := d.byServer[id]
	if !known || listed.DirectoryEndpoint().ServerID() != id {
		return c, false
	}
	return listed, true
}

// All returns the endpoints in the order in which they were created.
func (d *Directory[C]) All() []C { return d.order }

// Update records the address of a listed server; "" keeps the one recorded before. create is called for a new address.
//
// Of several listed servers with the same address the one that was first listed with it last is taken to listen there: it is the
// newest. Later news of the older ones are late and don't change that.
func (d *Directory[C]) Update(id, addr string, create func(Endpoint) C) {
	current, known := d.byServer[id]
	if addr == "" || known && current.DirectoryEndpoint().Addr == addr {
		return
	}
	if known {
		d.Remove(id)
	}
	if d.byServer == nil {
		d.byServer, d.byAddr = map[string]C{}, map[string]C{}
	}
	c, exists := d.byAddr[addr]
	if !exists {
		c = create(Endpoint{Addr: addr})
		d.byAddr[addr], d.order = c, append(d.order, c)
	}
	d.byServer[id] = c
	endpoint := c.DirectoryEndpoint()
	previous := endpoint.ServerID()
	endpoint.servers = append(endpoint.servers, id)
	if exists {
		endpoint.changes++
		c.ServerReplaced(previous)
	}
}

// Remove records that a server is no longer listed. Its endpoint is deleted once it is unused, unless another listed server has
// the address.
func (d *Directory[C]) Remove(id string) {
	c, known := d.byServer[id]
	if !known {
		return
	}
	delete(d.byServer, id)
	endpoint := c.DirectoryEndpoint()
	wasCurrent := endpoint.ServerID() == id
	endpoint.servers = slices.DeleteFunc(endpoint.servers, func(server string) bool { return server == id })
	if wasCurrent {
		endpoint.changes++
		c.ServerReplaced(id)
	}
	d.RemoveIfUnused(c)
}

// RemoveUnlisted applies a complete list: servers whose ids are not in it are removed.
func (d *Directory[C]) RemoveUnlisted(listed map[string]bool) {
	for _, c := range slices.Clone(d.order) {
		for _, id := range slices.Clone(c.DirectoryEndpoint().servers) {
			if !listed[id] {
				d.Remove(id)
			}
		}
	}
}

// RemoveIfUnused deletes an endpoint without a listed server if it is unused, and reports whether it did.
func (d *Directory[C]) RemoveIfUnused(c C) bool {
	endpoint := c.DirectoryEndpoint()
	if endpoint.ServerID() != "" || !c.Unused() || d.byAddr[endpoint.Addr] != c {
		return false
	}
	delete(d.byAddr, endpoint.Addr)
	d.order = slices.DeleteFunc(slices.Clone(d.order), func(x C) bool { return x == c })
	return true
}
