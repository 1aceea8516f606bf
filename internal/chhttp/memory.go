package chhttp

import "math"

// This file accounts for the memory that the requests of all sessions take. The limits on one request do not suffice: the
// requests of a few hundred clients together could use up the memory. Heads that are being received are not counted one by one,
// as maxHeadBytes and the number of connections bound them.

// errNoMemory refuses a request that would make all sessions together hold more than MaxHeldBytes. The request was not sent to
// any engine, so a retry is harmless.
var errNoMemory = newException(codeMemoryLimit, "the requests of all clients take what memory there is for them")

// HeldBytes returns the number of bytes that the requests of all sessions hold.
func (srv *Server) HeldBytes() int { return srv.heldBytes }

// MemoryRefusals returns the number of requests that were refused for lack of memory.
func (srv *Server) MemoryRefusals() uint64 { return srv.memoryRefusals }

// neededBytes returns the number of bytes that the session holds or is about to receive: unparsed input, the body of a request,
// an open query.
func (s *Session) neededBytes() int {
	n := len(s.input)
	if s.head != nil {
		n += max(int(s.head.ContentLength)-len(s.input), len(s.receivedBody))
	}
	if s.query != nil {
		n += s.query.heldBytes()
	}
	return n
}

// heldBytes returns the number of bytes that the query holds while it is open: its parameters, its text and data as received, and
// its statement where parameters or data were filled in.
func (q *query) heldBytes() int {
	n := len(q.ClickHouse.Text) + len(q.ClickHouse.Data)
	if q.Statement != q.ClickHouse.Text {
		n += len(q.Statement)
	}
	for name, value := range q.parameters {
		if name != "query" { // this is the text
			n += len(name) + len(value)
		}
	}
	return n
}

// reserveBytes sets the session's share of the server's heldBytes. It returns false, and changes nothing, if the sum would exceed
// MaxHeldBytes.
func (s *Session) reserveBytes(count int) bool {
	if count > s.countedBytes && count > s.availableBytes() {
		return false
	}
	s.setCountedBytes(count)
	return true
}

// availableBytes returns the largest share of heldBytes that the session may have.
func (s *Session) availableBytes() int {
	srv := s.server
	if srv.MaxHeldBytes == 0 {
		return math.MaxInt
	}
	return max(srv.MaxHeldBytes-(srv.heldBytes-s.countedBytes), 0)
}

// setCountedBytes sets the session's share without a check, for a session that holds no more than before.
func (s *Session) setCountedBytes(count int) {
	s.server.heldBytes += count - s.countedBytes
	s.countedBytes = count
}

// textLimit returns the largest size that the session's next query may have once it is unpacked and its parameters are filled in.
func (s *Session) textLimit() int {
	return max(min(s.server.Config.Local.ClickHouse.MaxBodyBytes, s.availableBytes()-len(s.input)), 0)
}

// tooLargeError returns the error for a query over a limit that textLimit has returned.
func (srv *Server) tooLargeError(limit int) error {
	if limit < srv.Config.Local.ClickHouse.MaxBodyBytes {
		return errNoMemory
	}
	return newException(codeTooLarge, "a body that unpacks to over %d bytes", limit)
}

// refuseForMemory answers a request that is refused for lack of memory. The client has done nothing wrong, so later requests on
// the connection are not delayed.
func (s *Session) refuseForMemory() {
	s.server.memoryRefusals++
	s.server.Faults.Add("client-no-memory", "protocol", "clickhouse", "held", s.server.heldBytes, "limit", s.server.MaxHeldBytes)
	s.writeException(503, errNoMemory, nil)
}

// refuseUnreadForMemory refuses a request whose body was not received completely, or what a client sends behind an open one, and
// closes the connection, as the rest can't be read.
func (s *Session) refuseUnreadForMemory() {
	s.dropQuery()
	s.closeAfterResponse = true
	s.refuseForMemory()
}
