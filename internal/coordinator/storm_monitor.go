package coordinator

import (
	"log/slog"

	"github.com/zeebo/xxh3"

	"thymeway/internal/accounting"
	"thymeway/internal/retrystorm"
)

// stormMonitor detects retry storms, for each tenant and for all tenants together, from the share of repeats among requests
// and the share of requests that end without a timely result.
type stormMonitor struct {
	total        retrystorm.Detector
	byTenant     map[string]*retrystorm.Detector
	repeats      *retrystorm.RepeatSketch
	loggedStates map[string]retrystorm.State // as last logged, by tenant; "" for all tenants
}

const repeatWindow = 3000.0 // ms after a refusal in which a request with the same key counts as its repeat

func newStormMonitor(tenants map[string]int) *stormMonitor {
	m := &stormMonitor{byTenant: map[string]*retrystorm.Detector{}, repeats: retrystorm.NewRepeatSketch(repeatWindow),
		loggedStates: map[string]retrystorm.State{}}
	for tenant := range tenants {
		m.byTenant[tenant] = &retrystorm.Detector{}
	}
	return m
}

// repeatKey returns a hash that a request and its unmarked repeats have in common: of the idempotency key, or of the
// statement's shape if the client sent no key.
func (r *Request) repeatKey() uint64 {
	hash := xxh3.HashString(r.Tenant + "\x00" + r.Class + "\x00" + r.IdempotencyKey)
	if r.hasGeneratedKey() {
		hash = xxh3.HashString(r.Tenant+"\x00"+r.Class) ^ r.Shape.ID
	}
	return hash
}

// hasGeneratedKey reports whether the idempotency key is missing or generated from the request's id, so that a repeat has
// another key.
func (r *Request) hasGeneratedKey() bool {
	return r.IdempotencyKey == "" || r.KeyGenerated
}

// forEachDetector calls f with the detector for all tenants and with that of the given tenant, if it has one.
func (m *stormMonitor) forEachDetector(tenant string, f func(*retrystorm.Detector)) {
	f(&m.total)
	if d := m.byTenant[tenant]; d != nil {
		f(d)
	}
}

// requestArrived counts a request. PostgreSQL clients mark their repeats; repeats of ClickHouse clients are detected by
// their repeatKey.
func (m *stormMonitor) requestArrived(r *Request, now float64) {
	repeat := r.Repeat
	if r.ClickHouse != nil && !repeat {
		repeat = m.repeats.MatchArrival(r.repeatKey(), now)
	}
	m.forEachDetector(r.Tenant, func(d *retrystorm.Detector) { d.Arrived(now, repeat) })
}

// requestEnded counts the ending of a request; onTime means that it was served within its latency target.
func (m *stormMonitor) requestEnded(r *Request, ending accounting.Ending, onTime bool, now float64) {
	if ending == accounting.Refused && r.ClickHouse != nil {
		m.repeats.AddRefusal(r.repeatKey(), now)
	}
	m.forEachDetector(r.Tenant, func(d *retrystorm.Detector) { d.Ended(now, onTime) })
}

// logChanges logs the states that have changed since they were last logged.
func (m *stormMonitor) logChanges(now float64) {
	logIfChanged := func(tenant string, d *retrystorm.Detector) {
		state, _ := d.State(now)
		if state == m.loggedStates[tenant] {
			return
		}
		slog.Warn("surge", "tenant", tenant, "state", state, "was", m.loggedStates[tenant],
			"repeats", roundToHundredths(d.RepeatShare(now)), "vain", roundToHundredths(d.FailureShare(now)),
			"service", roundToHundredths(d.GoodputRatio(now)))
		m.loggedStates[tenant] = state
	}
	logIfChanged("", &m.total)
	for name, d := range m.byTenant {
		logIfChanged(name, d)
	}
}

func roundToHundredths(v float64) float64 { return float64(int(v*100+0.5)) / 100 }

// StormState returns the retry storm state of a tenant, or of all tenants together for the empty name.
func (c *Coordinator) StormState(tenant string) retrystorm.State {
	detector := &c.storms.total
	if tenant != "" {
		if detector = c.storms.byTenant[tenant]; detector == nil {
			return retrystorm.Calm
		}
	}
	state, _ := detector.State(c.now())
	return state
}
