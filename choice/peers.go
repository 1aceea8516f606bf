package choice

import (
	"encoding/binary"
	"math"
)

// A peer message is a sequence of items of peerItemBytes each, every one about one engine: a kind, the lower half of the
// hash of the engine's id, and three numbers of one byte. The steps are the units of these numbers.
const (
	peerItemReport = 0 // load, share of memory in use, age of the report
	peerItemSend   = 1 // threads of a query sent there, its expected run time, unused
	peerItemBytes  = 8
	peerLoadStep   = 1.0 / 32 // of a load or a share
	peerAgeStepMs  = 20.0
	peerRunStepMs  = 100.0
)

// encodePeerItem encodes one item. Its numbers, in units of their steps, are rounded and limited to a byte.
func encodePeerItem(kind byte, e *engine, a, b, c float64) []byte {
	data := binary.BigEndian.AppendUint32([]byte{kind}, uint32(e.idHash))
	for _, number := range []float64{a, b, c} {
		data = append(data, byte(math.Max(0, math.Min(math.Round(number), 255))))
	}
	return data
}

// decodePeerItems calls heard for each item about a known engine, and skips malformed and unknown items.
func (f *Scheduler) decodePeerItems(data []byte, handle func(kind byte, e *engine, a, b, c float64)) {
	for ; len(data) >= peerItemBytes; data = data[peerItemBytes:] {
		if e := f.engineByHash[binary.BigEndian.Uint32(data[1:])]; e != nil {
			handle(data[0], e, float64(data[5]), float64(data[6]), float64(data[7]))
		}
	}
}

// recentSend is a query that this coordinator or a peer sent to an engine.
type recentSend struct{ sentAt, threads, expectedRun float64 }

// sendToPeers sends an item about an engine to the coordinators that prefer this engine. It sends no more than one full
// message per request that has arrived.
func (f *Scheduler) sendToPeers(e *engine, data []byte) {
	engines := len(f.ring)
	if !f.settings.CanSendToPeers || !f.manyPeers || !e.listed || f.meanReportedLoad < lowLoad ||
		f.peerMessagesSent >= f.totalRequests {
		return
	}
	for i := 0; i < min(f.preferredCount(), engines); i++ {
		firstIndex := (e.ringIndex - i + engines) % engines
		peer := int(math.Ceil(float64(firstIndex) * f.coordinators / float64(engines)))
		for ; peer < f.settings.CoordinatorCount && f.firstPreferredIndex(peer) == firstIndex; peer++ {
			if peer != f.settings.CoordinatorIndex {
				f.peerMessagesSent += float64(len(data)) / float64(max(f.settings.MaxPeerMessageBytes, 1))
				f.emit(SendToPeer{peer, data})
			}
		}
	}
}
