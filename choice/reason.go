package choice

// Reason says why a request was refused or failed. It is for logs and metrics only.
type Reason uint8

// The values of Reason.
const (
	ReasonDeadline   Reason = iota // its deadline is too close for another attempt
	ReasonAttempts                 // it has had the maximum number of attempts
	ReasonMayHaveRun               // it may have run and must not be sent again
	ReasonFaulty                   // an engine rejected it, or it failed on several engines
	ReasonCapacity                 // no engine has room for it in time
	ReasonSlots                    // other requests would serve more value in its slot
	ReasonShutdown                 // the coordinator shuts down
	reasonCount
)

// reasonNames are the names in logs and metrics, in the order of the constants.
var reasonNames = [reasonCount]string{"deadline", "attempts", "may-have-run", "faulty", "capacity", "places", "shutdown"}

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string {
	if r >= reasonCount {
		return "unknown"
	}
	return reasonNames[r]
}
