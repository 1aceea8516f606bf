package coordinator

import (
	"fmt"
	"testing"

	"thymeway/internal/accounting"
	"thymeway/internal/retrystorm"
	"thymeway/internal/shape"
)

// A retry storm of one tenant's ClickHouse clients, which repeat refused requests unmarked with the same idempotency keys,
// must be attributed to that tenant and not to the other. Repeats that PostgreSQL clients mark count as well. First tries
// that arrive between the refusals of another tenant do not.
func TestStormOfOneTenant(t *testing.T) {
	catalog := shape.NewCatalog(shape.Options{MaxBytes: 1 << 16})
	monitor := newStormMonitor(map[string]int{"loud": 0, "quiet": 1})
	now, n := 0.0, 0
	arrive := func(tenant, key, protocol string, repeat bool) *Request {
		n++
		r := &Request{IdempotencyKey: key, Protocol: protocol,
			Statement: fmt.Sprintf("SELECT c%d FROM sales_3.t WHERE id = %d", n%7, n)}
		r.ID, r.Tenant, r.Class, r.Repeat = fmt.Sprint(n), tenant, "lookup", repeat
		r.Shape = catalog.Recognize(r.Statement, shape.Postgres, 0)
		if protocol == "clickhouse" {
			r.ClickHouse = &ClickHouse{}
		}
		monitor.requestArrived(r, now)
		return r
	}
	for range 2000 { // 20 s without refusals
		now += 10
		for _, tenant := range []string{"loud", "quiet"} {
			monitor.requestEnded(arrive(tenant, fmt.Sprint("k", n), "clickhouse", false), accounting.Served, true, now)
		}
	}
	state := func(tenant string) retrystorm.State { s, _ := monitor.byTenant[tenant].State(now); return s }
	if state("loud") != retrystorm.Calm || state("quiet") != retrystorm.Calm {
		t.Fatalf("before the storm: %v, %v", state("loud"), state("quiet"))
	}
	for i := range 300 { // every request of one tenant is refused and repeated twice
		now += 10
		for range 3 {
			monitor.requestEnded(arrive("loud", fmt.Sprint("again", i), "clickhouse", false), accounting.Refused, false, now)
		}
		monitor.requestEnded(arrive("quiet", fmt.Sprint("q", n), "clickhouse", false), accounting.Served, true, now)
	}
	if state("loud") != retrystorm.Storm || state("quiet") != retrystorm.Calm {
		t.Errorf("in a storm of one tenant: %v, the other %v", state("loud"), state("quiet"))
	}
	for range 1000 {
		now += 10
		monitor.requestEnded(arrive("loud", fmt.Sprint("k", n), "clickhouse", false), accounting.Served, true, now)
	}
	if state("loud") != retrystorm.Calm {
		t.Errorf("after the storm: %v", state("loud"))
	}
	for i := range 300 {
		now += 10
		monitor.requestEnded(arrive("loud", "", "postgres", i%2 == 0), accounting.Refused, false, now)
	}
	if state("loud") != retrystorm.Storm {
		t.Errorf("with marked repeats: %v", state("loud"))
	}
}
