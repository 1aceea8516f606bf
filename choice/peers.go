package choice

import (
	"encoding/binary"
	"math"
)

// A peer message is a sequence of items of peerItemBytes each. An item is about one engine and consists of a kind, the
// lower half of the hash of the engine's ID, and three numbers of one byte each, in units of the steps below.
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

// decodePeerItems calls handle for each item about a known engine, and skips items about other engines and an incomplete
// item at the end.
func (s *Scheduler) decodePeerItems(data []byte, handle func(kind byte, e *engine, a, b, c float64)) {
	for ; len(data) >= peerItemBytes; data = data[peerItemBytes:] {
		if e := s.engineByHash[binary.BigEndian.Uint32(data[1:])]; e != nil {
			handle(data[0], e, float64(data[5]), float64(data[6]), float64(data[7]))
		}
	}
}

// recentSend is a query that this coordinator or a peer sent to an engine.
type recentSend struct{ sentAt, threads, expectedRun float64 }

// sendToPeers sends an item about an engine to the other coordinators that prefer this engine. In total it sends at most
// about one message of full length per request received.
func (s *Scheduler) sendToPeers(e *engine, data []byte) {
	engines := len(s.ring)
	if !s.settings.CanSendToPeers || !s.manyPeers || !e.listed || s.meanReportedLoad < lowLoad ||
		s.peerMessagesSent >= s.totalRequests {
		return
	}
	for i := 0; i < min(s.preferredCount(), engines); i++ {
		firstIndex := (e.ringIndex - i + engines) % engines
		peer := int(math.Ceil(float64(firstIndex) * s.coordinators / float64(engines)))
		for ; peer < s.settings.CoordinatorCount && s.firstPreferredIndex(peer) == firstIndex; peer++ {
			if peer != s.settings.CoordinatorIndex {
				s.peerMessagesSent += float64(len(data)) / float64(max(s.settings.MaxPeerMessageBytes, 1))
				s.emit(SendToPeer{peer, data})
			}
		}
	}
}
