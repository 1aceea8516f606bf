// Package rest speaks the worker groups' protocol: calls over HTTP/1.1, one at a time on a connection, where no
// connection owns a query.
package rest

import (
	"strings"

	"thymeway/choice"
	"thymeway/internal/coordinator"
	"thymeway/internal/deadline"
	"thymeway/internal/directory"
	"thymeway/internal/link"
	"thymeway/internal/tally"
)

// Limits and pauses, in ms.
const (
	pollWithin   = 650.0  // for the news of a query, which come after 250 at the latest
	callWithin   = 500.0  // for any other answer
	restWithin   = 60.0   // for the rest of an answer that has begun
	probeWithin  = 250.0  // for a probe
	unasked      = 2000.0 // after which a worker group drops a query that nobody asks for
	unaskedSlack = 350.0  // for the way there, and for the last answer that it held back
	retryPause   = 150.0  // between two tries to reach a silent worker group
	quickPause   = 20.0   // before asking again after a broken connection
	extraWithin  = 4.0    // after an answer that ends something, for bytes behind it to come before the connection is used again
	refusedPause = 50.0   // after a refused connection, before another one is asked for
	sendApart    = 30.0   // between a POST and the DELETE of its query on another connection, which must not overtake it
	lapseCheck   = 250.0  // between two looks whether a worker group has run since it must have dropped a query
	hungMost     = 100e3  // for which a worker group may hang and run on after all
	keptMost     = 100e3  // for which a silent connection is kept, as TCP has to keep one at least (RFC 1122, 4.2.3.5)
	segmentLife  = 120e3  // for which the network may hold what was sent (RFC 9293, 3.4.1)
	mostBroken   = 4      // connections in a row that are reset as they come up, before a call hears of it
	mostSpoilt   = 8      // spoilt answers in a row before a query is given up
	mostPages    = 64
	mostResult   = 48000 // bytes of a whole result
)

// Fleet is all worker groups that were ever named.
type Fleet struct {
	Dialer         link.Dialer
	Deadlines      *deadline.Queue
	Now            func() float64
	Watcher        coordinator.Watcher
	Faults         *tally.Tally
	ConnectTimeout float64
	ConnIdle       float64 // for which an unused connection is kept
	MostWires      int     // connections to all worker groups

	groups   directory.Directory[*group]
	attempts map[key]*attempt
	wires    int
	dials    int // so far
}

type key struct {
	id string
	n  int
}

// Know takes an entry of the list.
func (f *Fleet) Know(m coordinator.Member) {
	if g, known := f.groups.Get(m.ID); known && m.Status != choice.Healthy {
		g.withdraw()
	}
	f.groups.Know(m.ID, m.Addr, m.Status == choice.Removed, func(p directory.Place) *group { return &group{f: f, Place: p} })
}

// Only takes a whole list: worker groups that it does not name have gone.
func (f *Fleet) Only(named map[string]bool) {
	for _, g := range f.groups.All() {
		if !named[g.ID] {
			g.withdraw()
		}
	}
	f.groups.Only(named)
}

// forget drops a worker group that has gone, once nothing of it is left.
func (f *Fleet) forget(g *group) {
	if f.groups.Forget(g) {
		f.Deadlines.Clear(&g.reopen)
	}
}

// room tells whether one more connection may be opened, and closes an idle one elsewhere if that makes room, or the one
// that has been silent for longest. Danger: silent ones may be all that there are, and no worker group be reached.
func (f *Fleet) room() bool {
	if f.wires < f.MostWires {
		return true
	}
	return f.CloseIdle() || f.abortSilent()
}

// CloseIdle closes an unused connection, of the worker group that has most of them; false: there is none.
func (f *Fleet) CloseIdle() bool {
	var most *group
	for _, g := range f.groups.All() {
		if most == nil || len(g.idle) > len(most.idle) {
			most = g
		}
	}
	if most == nil || len(most.idle) == 0 {
		return false
	}
	w := most.idle[0]
	w.unidle()
	w.c.Close()
	w.off()
	return true
}

// abortSilent ends the connection that has been silent for longest; false: none is.
func (f *Fleet) abortSilent() bool {
	var silent *wire
	for _, g := range f.groups.All() {
		if len(g.kept) > 0 && (silent == nil || g.kept[0].call.wrote < silent.call.wrote) {
			silent = g.kept[0]
		}
	}
	if silent == nil {
		return false
	}
	silent.abort()
	return true
}

// serve opens connections for calls that wait where there was no room for one.
func (f *Fleet) serve() {
	for _, g := range f.groups.All() {
		g.dial()
	}
}

// Out is the number of attempts that may run on some worker group.
func (f *Fleet) Out() int { return len(f.attempts) }

// Send starts an attempt.
func (f *Fleet) Send(s coordinator.Attempt) {
	g, _ := f.groups.Get(s.Engine)
	a := &attempt{Attempt: s, f: f, g: g, sent: f.Now()}
	a.begin()
}

// Cancel gives an attempt up. Its end comes once it can't be out any more.
func (f *Fleet) Cancel(id string, n int) {
	if a := f.attempts[key{id, n}]; a != nil {
		a.giveUp(link.GivenUp)
	}
}

// Probe asks a worker group for its report.
func (f *Fleet) Probe(engine string) {
	g, _ := f.groups.Get(engine)
	sent := f.Now()
	tell := func(r *reply, e link.End) {
		p := coordinator.Outcome{Engine: engine, End: e, Took: f.Now() - sent}
		if r != nil {
			p.Report = r.report
			if r.status != 200 {
				p.End = link.Full
			}
		}
		f.Watcher.Probed(p)
	}
	if g == nil || g.Addr == "" {
		tell(nil, link.Unreached)
		return
	}
	g.start(&call{build: func() []byte { return request("GET", "/busy", g.Addr, "", nil) }, within: probeWithin, done: tell})
}

// request makes the bytes of a call.
func request(method, path, host, body string, headers []string) []byte {
	var b strings.Builder
	b.Grow(256 + len(body))
	b.WriteString(method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n")
	for i := 0; i+1 < len(headers); i += 2 {
		b.WriteString(headers[i] + ": " + headers[i+1] + "\r\n")
	}
	b.WriteString("\r\n")
	b.WriteString(body)
	return []byte(b.String())
}
