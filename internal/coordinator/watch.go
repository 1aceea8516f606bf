package coordinator

import (
	"log/slog"

	"github.com/zeebo/xxh3"

	"thymeway/internal/account"
	"thymeway/internal/surge"
)

// watch sees storms: for each member and for all, how much of what comes is a repeat and how much ends in vain.
type watch struct {
	all     surge.Pressure
	by      map[string]*surge.Pressure
	repeats *surge.Repeats
	told    map[string]surge.State // as last logged, by member; "" for all
}

const repeatSpan = 3000.0 // ms in which a request of the same key counts as a repeat of one that was refused

func newWatch(tenants map[string]int) *watch {
	w := &watch{by: map[string]*surge.Pressure{}, repeats: surge.NewRepeats(repeatSpan), told: map[string]surge.State{}}
	for t := range tenants {
		w.by[t] = &surge.Pressure{}
	}
	return w
}

// key is what a repeat shares with its first try where no client marks it: the idempotency key, else the statement's
// shape.
func (r *Request) key() uint64 {
	h := xxh3.HashString(r.Tenant + "\x00" + r.Class + "\x00" + r.Idem)
	if r.ownIdem() {
		h = xxh3.HashString(r.Tenant+"\x00"+r.Class) ^ r.Shape.ID
	}
	return h
}

// ownIdem tells whether the request's idempotency key is its own, so that it says nothing of repeats.
func (r *Request) ownIdem() bool { return r.Idem == "" || r.Idem == "once-"+r.ID }

func (w *watch) each(tenant string, f func(*surge.Pressure)) {
	f(&w.all)
	if p := w.by[tenant]; p != nil {
		f(p)
	}
}

// took counts a request. PostgreSQL clients mark their repeats; those of other protocols are known by their key.
func (w *watch) took(r *Request, now float64) {
	repeat := r.Repeat
	if r.CH != nil && !repeat {
		repeat = w.repeats.Arrived(r.key(), now)
	}
	w.each(r.Tenant, func(p *surge.Pressure) { p.Arrived(now, repeat) })
}

// ended counts how a request ended; good is an answer in its aim.
func (w *watch) ended(r *Request, e account.Ending, good bool, now float64) {
	if e == account.Refused && r.CH != nil {
		w.repeats.Refused(r.key(), now)
	}
	w.each(r.Tenant, func(p *surge.Pressure) { p.Ended(now, good) })
}

// tell logs states that have changed.
func (w *watch) tell(now float64) {
	one := func(tenant string, p *surge.Pressure) {
		s, _ := p.State(now)
		if s == w.told[tenant] {
			return
		}
		slog.Warn("surge", "tenant", tenant, "state", s, "was", w.told[tenant], "repeats", round(p.RepeatShare(now)), "vain", round(p.VainShare(now)),
			"service", round(p.Service(now)))
		w.told[tenant] = s
	}
	one("", &w.all)
	for t, p := range w.by {
		one(t, p)
	}
}

func round(v float64) float64 { return float64(int(v*100+0.5)) / 100 }

// Surge is the state of a member, or of all with the empty name.
func (c *Coordinator) Surge(tenant string) surge.State {
	p := &c.watch.all
	if tenant != "" {
		if p = c.watch.by[tenant]; p == nil {
			return surge.Calm
		}
	}
	s, _ := p.State(c.now())
	return s
}
