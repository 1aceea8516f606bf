package pg

// This file accounts for the memory that messages and open queries of all sessions take. The limit on one message does not suffice:
// large messages of hundreds of clients together could use up the memory.

// freeBytes of each session's messages and query are not counted, so that small queries are always accepted.
const freeBytes = 4 << 10

// neededBytes returns the number of bytes that the session counts with: input that is not handled yet, and the open query.
func (s *Session) neededBytes() int {
	n := len(s.input)
	if s.request != nil {
		n += len(s.request.Statement)
	}
	return max(n-freeBytes, 0)
}

// reserveMemory counts what the session holds. If all sessions together would hold more than MaxHeldBytes, it ends the session and
// returns false. A message that is still being received was not sent to any engine, so the error tells that a retry is harmless. With
// a query open that is not known.
func (s *Session) reserveMemory() bool {
	if s.held.Reserve(s.neededBytes(), s.server.MaxHeldBytes) {
		return true
	}
	code := codeNoMemory
	if s.request != nil {
		code = codeTooLarge
	}
	s.failSession("client-no-memory", code, "the messages of all clients take what memory there is for them")
	return false
}
