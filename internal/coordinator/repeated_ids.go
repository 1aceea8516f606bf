package coordinator

import (
	"errors"

	"thymeway/choice"
)

// Limits on the ids that are remembered.
const (
	idMemory         = 120e3 // ms for which the id of a request that may have run is remembered
	maxRememberedIDs = 8192
)

// Errors of a request whose id its client has used before.
var (
	errIDOpen = errors.New("a request with this id is still open")
	errIDRan  = errors.New("a request with this id may have run already")
)

// repeatedIDs finds requests that must not run twice and come again under an id that their client has used before: a client, or
// something on its way, sends a request again after its connection has ended. Such a request gets an error.
type repeatedIDs struct {
	open   map[string]bool // ids of requests that are not answered or have attempts in flight
	ran    map[string]bool // ids of requests that may have run
	oldest []rememberedID  // the ids in ran, in the order in which they were added
}

// rememberedID is an id with the time until which it is remembered.
type rememberedID struct {
	id    string
	until float64
}

// clientIDs are the ids that the client has given a request that must not run twice.
type clientIDs struct {
	request string // "": none
	query   string // query_id of a ClickHouse client, who may use it again once its query is answered; "": none
}

// clientIDsOf returns the ids of a request, or none if it may run twice. The two kinds are told apart, as clients may use the same
// text for both.
func (c *Coordinator) clientIDsOf(r *Request) (ids clientIDs) {
	if !c.runsOnce(r) {
		return ids
	}
	if !r.IDGenerated {
		ids.request = "txn " + r.ID
	}
	if r.QueryID != "" {
		ids.query = "query_id " + r.QueryID
	}
	return ids
}

// runsOnce reports whether a second run of a request could have a second effect.
func (c *Coordinator) runsOnce(r *Request) bool {
	return r.AtMostOnce || c.classes[r.Class].Idempotency != choice.Idempotent
}

// admit returns an error if one of the ids was used before, and else counts them as open.
func (m *repeatedIDs) admit(ids clientIDs, now float64) error {
	m.forgetBefore(now)
	for _, id := range []string{ids.request, ids.query} {
		switch {
		case m.open[id]:
			return errIDOpen
		case m.ran[id]:
			return errIDRan
		}
	}
	if m.open == nil {
		m.open, m.ran = map[string]bool{}, map[string]bool{}
	}
	for _, id := range []string{ids.request, ids.query} {
		if id != "" {
			m.open[id] = true
		}
	}
	return nil
}

// close ends that the ids of a request are open, and remembers them if it may have run: its query_id only if its client has left.
func (m *repeatedIDs) close(ids clientIDs, mayHaveRun, clientLeft bool, now float64) {
	delete(m.open, ids.request)
	delete(m.open, ids.query)
	if mayHaveRun {
		m.remember(ids.request, now)
	}
	if mayHaveRun && clientLeft {
		m.remember(ids.query, now)
	}
	m.forgetBefore(now)
}

// remember adds an id of a request that may have run.
func (m *repeatedIDs) remember(id string, now float64) {
	if id != "" && !m.ran[id] {
		m.ran[id] = true
		m.oldest = append(m.oldest, rememberedID{id, now + idMemory})
	}
}

// forgetBefore forgets ids whose time is over, and the oldest beyond maxRememberedIDs.
func (m *repeatedIDs) forgetBefore(now float64) {
	for len(m.oldest) > 0 && (m.oldest[0].until <= now || len(m.oldest) > maxRememberedIDs) {
		delete(m.ran, m.oldest[0].id)
		m.oldest = m.oldest[1:]
	}
}
