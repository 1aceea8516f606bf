package chhttp

import (
	"strings"

	"thymeway/internal/http1"
)

// This file accounts for the memory that the requests of all sessions take. The limits on one request do not suffice: the
// requests of a few hundred clients together could use up the memory.

const (
	freeHeadBytes  = 1 << 10 // of a head whose body is being received are not counted: the number of connections bounds these
	fieldSizeBytes = 32      // of a header field, beside its text
)

// headMemory returns the number of bytes that a parsed head of the given length counts with. The texts of its fields are parts of
// one string, which stays in memory as long as any of them does.
func headMemory(head *http1.Head, length int) int {
	return max(length+fieldSizeBytes*len(head.Fields)-freeHeadBytes, 0)
}

// fieldValue returns a copy of the value of a header field, for use after the request has been read. The value itself would keep the
// whole head in memory.
func fieldValue(head *http1.Head, name string) string { return strings.Clone(head.Get(name)) }

// errNoMemory refuses a request that would make all sessions together hold more than MaxHeldBytes. The request was not sent to
// any engine, so a retry is harmless.
var errNoMemory = newException(codeMemoryLimit, "the requests of all clients take what memory there is for them")

// errNoMemoryForAnswer replaces a large answer for which there is no memory, as other clients have not read theirs. Its query has run.
var errNoMemoryForAnswer = newException(codeMemoryLimit, "the answers that clients have not read take what memory there is for them")

const (
	smallAnswerBytes = 64 << 10 // an answer up to this size is always sent
	unsentExcess     = 1.5      // an answer is sent as long as all unsent ones take at most this multiple of MaxUnsentBytes
)

// acceptsQueries reports whether the answers that clients have not read yet leave memory for further ones.
func (srv *Server) acceptsQueries() bool {
	return srv.MaxUnsentBytes == 0 || srv.Pending() <= srv.MaxUnsentBytes
}

// mayAnswer reports whether an answer of a size may be sent. Queries that run when the limit is reached bring further answers, so the
// limit is higher than the one for accepting queries.
func (srv *Server) mayAnswer(size int) bool {
	return srv.MaxUnsentBytes == 0 || size <= smallAnswerBytes || float64(srv.Pending()+size) <= unsentExcess*float64(srv.MaxUnsentBytes)
}

// HeldBytes returns the number of bytes that the requests of all sessions hold.
func (srv *Server) HeldBytes() int { return srv.held.Held() }

// MemoryRefusals returns the number of requests that were refused for lack of memory.
func (srv *Server) MemoryRefusals() uint64 { return srv.memoryRefusals }

// neededBytes returns the number of bytes that the session holds or is about to receive: unparsed input, the head and the body of a
// request, an open query.
func (s *Session) neededBytes() int {
	n := len(s.input)
	if s.head != nil {
		n += s.headBytes
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

// reserveBytes sets the number of bytes that the session counts with. It returns false, and changes nothing, if all sessions would
// hold more than MaxHeldBytes.
func (s *Session) reserveBytes(count int) bool { return s.held.Reserve(count, s.server.MaxHeldBytes) }

// textLimit returns the largest size that the session's next query may have once it is unpacked and its parameters are filled in.
func (s *Session) textLimit() int {
	return max(min(s.server.Config.Local.ClickHouse.MaxBodyBytes, s.held.Available(s.server.MaxHeldBytes)-len(s.input)), 0)
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
	s.server.Faults.Add("client-no-memory", "protocol", "clickhouse", "held", s.server.HeldBytes(), "limit", s.server.MaxHeldBytes)
	s.writeException(503, errNoMemory, nil)
}

// refuseUnreadForMemory refuses a request whose body was not received completely, or what a client sends behind an open one, and
// closes the connection, as the rest can't be read.
func (s *Session) refuseUnreadForMemory() {
	s.dropQuery()
	s.closeAfterResponse = true
	s.refuseForMemory()
}
