// Package link names what the protocols and the sockets ask of each other, so that each protocol can be
// played without a socket. It also holds the one list of the ways in which a connection can end.
package link

import "thymeway/choice"

// End is how a connection, or what was asked over it, came to its end.
type End uint8

// The ways to end.
const (
	Served    End = iota // the worker group gave the whole result
	Full                 // the worker group turned it away, and it never ran
	Over                 // its time was over before it ran
	Failed               // the worker group gave an error
	Rejected             // it found the query itself at fault before it ran, as any other would
	Refused              // the other side refused the connection: no process listens
	Unreached            // the connection did not come up in time
	Crowded              // there was no descriptor for a connection
	Died                 // the connection broke and a new one was refused: the process died
	Lost                 // the connection broke, and the worker group does not know the query
	Silent               // no answer came in time
	GivenUp              // called off
	Hangup               // the other side closed the connection
	Broken               // the connection was reset, or the system gave an error
	Garbled              // the other side sent what can't be read
	Idle                 // closed by us after a time without use
	Stopped              // closed by us
)

var names = [...]string{"served", "full", "over", "failed", "rejected", "refused", "unreached", "crowded", "died", "lost", "silent", "given-up",
	"hangup", "broken", "garbled", "idle", "stopped"}

func (e End) String() string { return names[e] }

// Result is the module's outcome for each way to end. Danger: Full, ConnectFailed, Moot and Rejected promise the module
// that nothing ran; only an answer that says so, or a connection that never came up, may be mapped to them.
func (e End) Result() choice.Result {
	switch e {
	case Served:
		return choice.OK
	case Full:
		return choice.Full
	case Rejected:
		return choice.Rejected
	case Over, Crowded:
		return choice.NotRun
	case Failed, Broken: // danger: a reset says nothing of the process; taken for a restart, it would make it cold
		return choice.Error
	case Refused, Unreached:
		return choice.ConnectFailed
	case Silent, Lost: // danger: dropped a moment ago, or on its way to the engine still; an error would prove an end
		return choice.Timeout
	case GivenUp, Garbled, Idle, Stopped: // a query whose answers are spoilt is deleted
		return choice.Cancelled
	}
	return choice.Reset // Died, Hangup
}

// Conn is an open connection. Neither call waits. A closed connection takes further calls and does nothing.
type Conn interface {
	Write(b []byte)
	Close()
	Shut()        // ends our side only, behind what was written: the other side's end tells that it has read all
	Abort()       // closes at once, and drops what the system has not sent yet
	Pending() int // bytes that the system has not taken yet
	Quiet() bool  // open on both sides, and nothing has come that Received was not given
}

// Handler is the object behind a connection. Opened comes first, if the connection comes up; Closed comes once
// at the end, but not after our own Close. The bytes of Received are valid during the call only.
type Handler interface {
	Opened(c Conn)
	Received(b []byte)
	Closed(e End)
}

// Dialer opens connections. Whatever happens is told to the handler later, never during Dial.
type Dialer interface {
	Dial(addr string, h Handler)
}
