package node

import (
	"testing"

	"thymeway/choice"
	"thymeway/internal/transport"
)

// Delays in ms with which the discovery service reports the end and the start of a worker group.
const (
	minEndNewsDelay, maxEndNewsDelay     = 630.0, 4900.0
	minStartNewsDelay, maxStartNewsDelay = 540.0, 2400.0
)

// replace ends the worker group's process. A worker group with a new id soon starts at its address, and runs whatever is sent
// there. The discovery service reports both events late and in any order.
func (e *engineStub) replace() {
	network, oldID := e.network, e.id
	if e.down { // the new process has not started yet
		return
	}
	between := func(low, high float64) float64 { return low + (high-low)*network.rand.Float64() }
	e.killProcess()
	network.schedule(between(minEndNewsDelay, maxEndNewsDelay), func() { e.announceAs(oldID, choice.Removed) })
	startDelay := between(0, 2000)
	newID := oldID + "x"
	network.schedule(startDelay, func() { e.id, e.down = newID, false })
	network.schedule(startDelay+between(minStartNewsDelay, maxStartNewsDelay), func() { e.announceAs(newID, choice.Healthy) })
}

// Guards against two attempts of a request at once: a new worker group that starts at the address of one that has gone runs the
// queries that are sent there before its start is reported, so that report is no proof that they have ended.
func TestOneAttemptAtATimeWhenAddressIsReused(t *testing.T) {
	checkUnderFaults(t, 40, func(e *engineStub) {
		switch e.network.rand.Intn(4) {
		case 0: // all connections are reset, while the queries run on
			for len(e.conns) > 0 {
				e.conns[0].closeByEngine(transport.ConnReset)
			}
		case 1: // the machine is cut off for a while
			if e.network.now >= e.unreachableUntil {
				e.unreachableFrom, e.unreachableUntil = e.network.now, e.network.now+200+e.network.rand.Float64()*6000
			}
		default:
			e.replace()
		}
	})
}
