package choice

// Reason says why a request was given up. It is for logs and metrics; nothing is decided by it.
type Reason uint8

// The reasons.
const (
	ReasonDeadline   Reason = iota // its deadline is too close for another attempt
	ReasonAttempts                 // it has had all attempts that a request may have
	ReasonMayHaveRun               // it may have run, and must not be sent again
	ReasonFaulty                   // an engine rejected it, or it failed on several
	ReasonCapacity                 // no engine has room before it is too late
	ReasonPlaces                   // other requests earn more in its place
	ReasonShutdown                 // the program ends
	reasons
)

var reasonNames = [reasons]string{"deadline", "attempts", "may-have-run", "faulty", "capacity", "places", "shutdown"}

func (r Reason) String() string {
	if r >= reasons {
		return "unknown"
	}
	return reasonNames[r]
}
