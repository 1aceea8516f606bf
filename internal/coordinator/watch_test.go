package coordinator

import (
	"fmt"
	"testing"

	"thymeway/internal/account"
	"thymeway/internal/shape"
	"thymeway/internal/surge"
)

// A storm of one member, whose HTTP clients come back unmarked with the same keys, is seen as that member's and not as
// the other's; marked PostgreSQL repeats count as well, and honest traffic between refusals does not.
func TestStormOfOneMember(t *testing.T) {
	book := shape.NewBook(shape.Options{Bytes: 1 << 16})
	w := newWatch(map[string]int{"loud": 0, "quiet": 1})
	now, n := 0.0, 0
	ask := func(tenant, idem, protocol string, repeat bool) *Request {
		n++
		r := &Request{Idem: idem, Protocol: protocol, Statement: fmt.Sprintf("SELECT c%d FROM sales_3.t WHERE id = %d", n%7, n)}
		r.ID, r.Tenant, r.Class, r.Repeat = fmt.Sprint(n), tenant, "lookup", repeat
		r.Shape = book.Look(r.Statement, shape.Postgres, 0)
		if protocol == "clickhouse" {
			r.CH = &ClickHouse{}
		}
		w.took(r, now)
		return r
	}
	for range 2000 { // 20 s of peace
		now += 10
		for _, tenant := range []string{"loud", "quiet"} {
			w.ended(ask(tenant, fmt.Sprint("k", n), "clickhouse", false), account.Served, true, now)
		}
	}
	state := func(tenant string) surge.State { s, _ := w.by[tenant].State(now); return s }
	if state("loud") != surge.Calm || state("quiet") != surge.Calm {
		t.Fatalf("in peace: %v, %v", state("loud"), state("quiet"))
	}
	for i := range 300 { // every request of one member is refused, and comes back twice
		now += 10
		for range 3 {
			w.ended(ask("loud", fmt.Sprint("again", i), "clickhouse", false), account.Refused, false, now)
		}
		w.ended(ask("quiet", fmt.Sprint("q", n), "clickhouse", false), account.Served, true, now)
	}
	if state("loud") != surge.Storm || state("quiet") != surge.Calm {
		t.Errorf("in a storm of one member: %v, the other %v", state("loud"), state("quiet"))
	}
	for range 1000 {
		now += 10
		w.ended(ask("loud", fmt.Sprint("k", n), "clickhouse", false), account.Served, true, now)
	}
	if state("loud") != surge.Calm {
		t.Errorf("once it is over: %v", state("loud"))
	}
	for i := range 300 {
		now += 10
		w.ended(ask("loud", "", "postgres", i%2 == 0), account.Refused, false, now)
	}
	if state("loud") != surge.Storm {
		t.Errorf("with marked repeats: %v", state("loud"))
	}
}
