// Package board speaks the notice board's protocol: numbered changes of the list of worker groups, a line each.
package board

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"math"
	"net/netip"
	"strconv"

	"thymeway/choice"
	"thymeway/internal/coordinator"
	"thymeway/internal/deadline"
	"thymeway/internal/link"
	"thymeway/internal/starttime"
)

// Pauses and limits.
const (
	silence   = 1700.0 // ms without a line after which the connection counts as broken: one comes each second
	pauseLow  = 50.0   // ms before the first try to connect again
	pauseHigh = 1000.0
	mostLine  = 1 << 20
)

type event struct {
	Rev  *int64
	Pool *struct {
		Complete bool
		Members  []member
	}
}

type member struct {
	ID        string
	HostPort  string `json:"host_port"`
	Locality  string
	Flavor    string
	Cell      int
	Phase     string
	Size      float64
	UpSinceMs float64 `json:"up_since_ms"`
}

// list makes the module's list of an event. Starts are still the stamps of the event.
func (e event) list() (whole bool, out []coordinator.Member, err error) {
	for _, m := range e.Pool.Members {
		x := coordinator.Member{Addr: m.HostPort, Engine: choice.Engine{ID: m.ID, Zone: m.Locality, Kind: m.Flavor,
			Size: m.Size, Cell: m.Cell, StartedAt: m.UpSinceMs}}
		switch m.Phase {
		case "Ready":
		case "Terminating":
			x.Status = choice.Draining
		case "Gone":
			x.Status = choice.Removed
		default:
			return false, nil, fmt.Errorf("phase %.40q is unknown", m.Phase)
		}
		if m.ID == "" {
			return false, nil, fmt.Errorf("id: missing")
		}
		if _, err := netip.ParseAddrPort(m.HostPort); err != nil && (x.Status != choice.Removed || m.HostPort != "") {
			return false, nil, fmt.Errorf("host_port: %.60q does not have the form IP:PORT", m.HostPort)
		}
		out = append(out, x)
	}
	return e.Pool.Complete, out, nil
}

func parse(line []byte) (e event, err error) {
	if err = json.Unmarshal(line, &e); err != nil {
		return e, err
	}
	if e.Rev == nil || *e.Rev < 0 {
		return e, fmt.Errorf("rev: missing or under 0")
	}
	return e, nil
}

// Listener takes the changes in their order.
type Listener interface {
	List(whole bool, members []coordinator.Member)
}

// Watch follows the notice board for as long as the program runs.
type Watch struct {
	Dialer    link.Dialer
	Deadlines *deadline.Queue
	Now       func() float64
	Listener  Listener
	Addr      string
	Connect   float64 // ms in which a connection has to come up
	WarmAfter float64 // ms in which a worker group warms up

	rev    int64
	starts starttime.Judge
	pause  float64
	cur    *feed
	timer  deadline.Entry
}

// feed is one connection to the board.
type feed struct {
	w   *Watch
	c   link.Conn
	buf []byte
}

// Known takes the events of the start, in the form of the configuration.
func (w *Watch) Known(text []byte) error {
	var known struct {
		Rev     int64
		Notices []json.RawMessage
	}
	if err := json.Unmarshal(text, &known); err != nil {
		return fmt.Errorf("known: %v", err)
	}
	for i, n := range known.Notices {
		if err := w.take(n); err != nil {
			return fmt.Errorf("known.notices[%d]: %v", i, err)
		}
	}
	w.rev = max(w.rev, known.Rev)
	return nil
}

// take applies one event; those already known are passed over.
func (w *Watch) take(line []byte) error {
	e, err := parse(line)
	if err != nil {
		return err
	}
	if *e.Rev <= w.rev {
		return nil
	}
	// Danger: the line of each second is an object with the number alone. One with a later number than ours
	// says that an event was written and did not come; passing it over would miss that event for good.
	if e.Pool == nil {
		return fmt.Errorf("events up to %d are missing", *e.Rev)
	}
	whole, list, err := e.list()
	if err != nil {
		return err
	}
	w.rev = *e.Rev
	w.localize(whole, list)
	w.Listener.List(whole, list)
	return nil
}

// localize puts the starts of an event's members on the program's clock.
func (w *Watch) localize(whole bool, members []coordinator.Member) {
	now := w.Now()
	w.starts.WarmAfter = w.WarmAfter
	named := map[string]bool{}
	for _, m := range members {
		named[m.ID] = true
		w.starts.Observe(m.StartedAt, now)
	}
	if whole {
		w.starts.Only(named)
	}
	for i := range members {
		m := &members[i]
		m.StartedAt = w.starts.Local(m.ID, m.StartedAt, now)
		if m.Status == choice.Removed {
			w.starts.Forget(m.ID)
		}
	}
}

// Move follows the board at another address from now on, with the number last known. The old connection tells
// nothing more.
func (w *Watch) Move(addr string) {
	if addr == w.Addr {
		return
	}
	w.Addr, w.pause = addr, 0
	if f := w.cur; f != nil && f.c != nil {
		f.c.Close()
	}
	w.Start()
}

// Start connects.
func (w *Watch) Start() {
	f := &feed{w: w}
	w.cur = f
	w.timer.Do = func() { f.lose("silent", link.NoAnswer) }
	w.Deadlines.Set(&w.timer, w.Now()+w.Connect)
	w.Dialer.Dial(w.Addr, f)
}

// lose gives a connection up and asks for a new one. Danger: what the board has counts as told, connected or
// not, so the pause stays short.
func (f *feed) lose(why string, e link.EndReason) {
	if f.w.cur != f {
		return
	}
	slog.Warn("board-lost", "why", why, "end", e, "rev", f.w.rev)
	f.w.cur = nil
	if f.c != nil {
		f.c.Close()
	}
	f.w.pause = math.Min(math.Max(2*f.w.pause, pauseLow), pauseHigh)
	f.w.timer.Do = f.w.Start
	f.w.Deadlines.Set(&f.w.timer, f.w.Now()+f.w.pause)
}

// Opened asks for all that came later than what is known.
func (f *feed) Opened(c link.Conn) {
	f.c = c
	if f.w.cur != f { // too late
		c.Close()
		return
	}
	f.w.Deadlines.Set(&f.w.timer, f.w.Now()+silence)
	c.Write([]byte("watch " + strconv.FormatInt(f.w.rev, 10) + "\n"))
}

// Received takes lines, however they are cut.
func (f *feed) Received(b []byte) {
	if f.w.cur != f {
		return
	}
	f.buf = append(f.buf, b...)
	used := 0
	for {
		i := bytes.IndexByte(f.buf[used:], '\n')
		if i < 0 {
			break
		}
		line := bytes.TrimSpace(f.buf[used : used+i])
		used += i + 1
		f.w.Deadlines.Set(&f.w.timer, f.w.Now()+silence)
		if err := f.line(line); err != nil {
			f.lose(err.Error(), link.Malformed)
			return
		}
	}
	f.buf = append(f.buf[:0], f.buf[used:]...)
	if len(f.buf) > mostLine {
		f.lose("a line without an end", link.Malformed)
	}
}

func (f *feed) line(line []byte) error {
	if len(line) == 0 {
		return nil
	}
	if line[0] == '{' {
		err := f.w.take(line)
		if err == nil {
			f.w.pause = 0
		}
		return err
	}
	last, err := strconv.ParseInt(string(line), 10, 64)
	if err != nil {
		return fmt.Errorf("%.60q is neither an event nor a number", line)
	}
	if last > f.w.rev { // the same, in the plainer form
		return fmt.Errorf("events up to %d are missing", last)
	}
	f.w.pause = 0
	return nil
}

// Closed comes when the connection ends by itself or did not come up.
func (f *feed) Closed(e link.EndReason) { f.lose("closed", e) }
