package link

import (
	"testing"

	"thymeway/choice"
)

// What each end promises the module. Only the first group says that nothing ran; a reset is no restart, and what a worker
// group no longer knows may have been dropped a moment ago.
func TestResults(t *testing.T) {
	for want, ends := range map[choice.Result][]End{
		choice.Full: {Full}, choice.NotRun: {Over, Crowded}, choice.ConnectFailed: {Refused, Unreached},
		choice.OK: {Served}, choice.Error: {Failed, Broken}, choice.Timeout: {Silent, Lost},
		choice.Reset: {Died, Hangup}, choice.Cancelled: {GivenUp, Garbled, Idle, Stopped},
	} {
		for _, e := range ends {
			if got := e.Result(); got != want {
				t.Errorf("%s: %v, want %v", e, got, want)
			}
		}
	}
}
