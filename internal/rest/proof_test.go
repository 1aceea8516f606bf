package rest

import (
	"fmt"
	"testing"

	"thymeway/choice"
	"thymeway/internal/coordinator"
	"thymeway/internal/deadline"
	"thymeway/internal/link"
	"thymeway/internal/tally"
)

// deaf is a network whose worker groups take connections and say nothing for good.
type deaf struct {
	opened, open int
	later        []func()
}

func (d *deaf) Dial(_ string, h link.Handler) {
	d.later = append(d.later, func() {
		d.opened++
		d.open++
		h.Opened(&ear{d})
	})
}

type ear struct{ d *deaf }

func (e *ear) Write([]byte) {}
func (e *ear) Close()       { e.d.open-- }
func (e *ear) Shut()        {}
func (e *ear) Abort()       { e.d.open-- }
func (e *ear) Pending() int { return 0 }
func (e *ear) Quiet() bool  { return true }

// ends counts what is told of attempts.
type ends struct {
	ended, overdue map[string]int
}

func (w *ends) Ended(o coordinator.Outcome)                           { w.ended[o.Request]++ }
func (w *ends) Overdue(id string)                                     { w.overdue[id]++ }
func (w *ends) Noted(string, string, int, choice.NoticeKind, float64) {}
func (w *ends) Probed(coordinator.Outcome)                            {}

// Worker groups silent for good hold no more connections than there may be, and nothing of theirs is kept in the end.
func TestSilentForGood(t *testing.T) {
	now, d, w := 0.0, &deaf{}, &ends{map[string]int{}, map[string]int{}}
	q := deadline.New()
	f := &Fleet{Dialer: d, Deadlines: q, Now: func() float64 { return now }, Watcher: w, Faults: &tally.Tally{Now: func() float64 { return now }},
		ConnectTimeout: 250, ConnIdle: 10000, MostWires: 20}
	for i := range 3 {
		f.Know(coordinator.Member{Engine: choice.Engine{ID: fmt.Sprint("s", i)}, Addr: fmt.Sprint("127.0.0.1:410", i)})
	}
	run := func(until float64) {
		for {
			for len(d.later) > 0 {
				todo := d.later
				d.later = nil
				for _, do := range todo {
					do()
				}
			}
			if d.open > 20 {
				t.Fatalf("%d connections are open", d.open)
			}
			at, ok := q.Next()
			if !ok || at > until {
				now = until
				return
			}
			now = max(now, at)
			q.Sweep(now)
		}
	}
	const most = 200
	for i := range most {
		f.Send(coordinator.Attempt{Request: &coordinator.Request{Request: choice.Request{ID: fmt.Sprint("r", i)}}, Engine: fmt.Sprint("s", i%3), Until: now + 3000})
		run(now + 100)
	}
	run(now + 400e3)
	posted := 0
	for i := range most {
		id := fmt.Sprint("r", i)
		posted += w.overdue[id]
		if w.ended[id] != 1 {
			t.Errorf("%s ended %d times", id, w.ended[id])
		}
	}
	if posted < 20 {
		t.Errorf("only %d attempts were written", posted)
	}
	if f.Out() != 0 || f.wires != 0 {
		t.Errorf("%d attempts and %d connections are left", f.Out(), f.wires)
	}
	for _, g := range f.groups.All() {
		if len(g.queries) != 0 || len(g.kept) != 0 || len(g.waiting) != 0 {
			t.Errorf("%s: %d queries, %d silent connections and %d calls are left", g.ID, len(g.queries), len(g.kept), len(g.waiting))
		}
	}
	if _, ok := q.Next(); ok {
		t.Error("a deadline is left")
	}
}
