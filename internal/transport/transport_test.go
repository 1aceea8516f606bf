package transport

import (
	"testing"

	"thymeway/choice"
)

// Guards the mapping of end reasons to the scheduler's results. Only the results in the first line of the table, and
// Rejected, promise that nothing ran. A reset connection must not count as a restart of the engine, and a query that its
// worker group no longer knows must not count as ended, as it may have been dropped only a moment ago.
func TestResults(t *testing.T) {
	for want, ends := range map[choice.Result][]EndReason{
		choice.Full: {Full}, choice.NotRun: {Expired, NoDescriptor}, choice.ConnectFailed: {ConnRefused, Unreachable},
		choice.OK: {Served}, choice.Error: {Failed, ConnReset}, choice.Timeout: {NoAnswer, QueryLost},
		choice.Reset: {ProcessDied, PeerClosed}, choice.Cancelled: {Cancelled, Malformed, IdleTimeout, ClosedLocally},
	} {
		for _, e := range ends {
			if got := e.Result(); got != want {
				t.Errorf("%s: %v, want %v", e, got, want)
			}
		}
	}
}
