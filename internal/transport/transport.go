// Package transport defines the interfaces between the protocols and the sockets, so that each protocol can be tested
// without a socket. It also lists all reasons for which a connection or a call on it can end.
package transport

import "thymeway/choice"

// EndReason is the reason why a connection, or a call or attempt on it, ended.
type EndReason uint8

// The reasons for an end. In their comments, "it" is the attempt or call that ended.
const (
	Served        EndReason = iota // the engine delivered the whole result
	Full                           // the engine rejected it for lack of capacity, and it never ran
	Expired                        // its time was over before it ran, or it was withdrawn before it was sent
	Failed                         // the engine answered with an error
	Rejected                       // the engine found the query invalid before running it, as any other would
	ConnRefused                    // the other side refused the connection: no process listens
	Unreachable                    // the connection was not established in time
	NoDescriptor                   // no descriptor or connection slot was free; of a call also: no memory for its answer
	ProcessDied                    // the process that the query was sent to has ended
	QueryLost                      // the connection or the result was lost, or the engine does not know the query
	NoAnswer                       // no answer arrived in time
	Cancelled                      // cancelled by the coordinator
	PeerClosed                     // the other side closed the connection
	ConnReset                      // the connection was reset, or failed with a system error
	Malformed                      // the other side sent malformed data
	IdleTimeout                    // closed by the coordinator as idle for too long
	ClosedLocally                  // closed by the coordinator
)

// endReasonNames are the names in logs and metrics, in the order of the constants.
var endReasonNames = [...]string{"served", "full", "over", "failed", "rejected", "refused", "unreached", "crowded", "died",
	"lost", "silent", "given-up", "hangup", "broken", "garbled", "idle", "stopped"}

// String returns the name of the reason in logs and metrics.
func (e EndReason) String() string { return endReasonNames[e] }

// Result maps the reason to the scheduler's result of an attempt. The results Full, ConnectFailed, NotRun and Rejected promise
// the scheduler that nothing ran, so only an answer that says so, or a connection that was never established, may be mapped to
// them.
func (e EndReason) Result() choice.Result {
	switch e {
	case Served:
		return choice.OK
	case Full:
		return choice.Full
	case Rejected:
		return choice.Rejected
	case Expired, NoDescriptor:
		return choice.NotRun
	case Failed, ConnReset:
		// A reset connection does not show that the process restarted. As choice.Reset it would mark the engine as cold.
		return choice.Error
	case ConnRefused, Unreachable:
		return choice.ConnectFailed
	case NoAnswer, QueryLost:
		// The query may have been dropped only a moment ago, or may still be in transit to the engine. As choice.Error it
		// would count as proven to have ended.
		return choice.Timeout
	case Cancelled, Malformed, IdleTimeout, ClosedLocally: // a query whose answers are malformed is deleted
		return choice.Cancelled
	}
	return choice.Reset // ProcessDied, PeerClosed
}

// Conn is an open connection. No method blocks. The methods of a closed connection do nothing.
type Conn interface {
	Write(b []byte)
	Close()
	Finish()      // closes once all that was written is sent; input is discarded, and Handler.Closed follows
	CloseWrite()  // closes the sending side after what was written; once the other side closes too, it has read everything
	Abort()       // closes at once, and discards what the system has not sent yet
	Pending() int // number of written bytes that the system has not accepted yet
	Idle() bool   // open in both directions, and no input is unread
}

// Handler receives the events of a connection. Opened is called first, if the connection is established. Closed is called once at
// the end, but not after a call of Conn.Close or Conn.Abort. The bytes given to Received are valid during the call only.
type Handler interface {
	Opened(c Conn)
	Received(b []byte)
	Closed(reason EndReason)
}

// Dialer opens connections. It calls the handler later, never during Dial.
type Dialer interface {
	Dial(addr string, h Handler)
}
