// Package discovery implements the client of the discovery service, which sends numbered changes of the list of worker
// groups, one per line.
package discovery

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
	"thymeway/internal/starttime"
	"thymeway/internal/transport"
)

// Timeouts and limits.
const (
	silenceTimeout      = 1700.0 // ms without a line before the connection counts as broken; the service sends one every second
	maxFirstLineTimeout = 5100.0 // ms to wait for the first line of a slow service; doubled from silenceTimeout with each failure
	minReconnectDelay   = 50.0   // ms before the first attempt to reconnect; doubled with each failure
	maxReconnectDelay   = 1000.0 // ms
	maxLineBytes        = 1 << 20
)

// event is a line of the protocol in JSON. Without Pool it only carries the latest revision.
type event struct {
	Rev  *int64
	Pool *struct {
		Complete bool
		Members  []listedEngine
	}
}

// listedEngine is a worker group in an event.
type listedEngine struct {
	ID        string
	HostPort  string `json:"host_port"`
	Locality  string
	Flavor    string
	Cell      int
	Phase     string
	Size      float64
	UpSinceMs float64 `json:"up_since_ms"`
}

// engines converts the worker groups of an event to the coordinator's form. Their start times remain the Unix timestamps of
// the event.
func (e event) engines() (complete bool, list []coordinator.ListedEngine, err error) {
	for _, listed := range e.Pool.Members {
		engine := coordinator.ListedEngine{Addr: listed.HostPort, Engine: choice.Engine{ID: listed.ID, Zone: listed.Locality,
			Kind: listed.Flavor, Size: listed.Size, Cell: listed.Cell, StartedAt: listed.UpSinceMs}}
		switch listed.Phase {
		case "Ready":
		case "Terminating":
			engine.Status = choice.Draining
		case "Gone":
			engine.Status = choice.Removed
		default:
			return false, nil, fmt.Errorf("phase %.40q is unknown", listed.Phase)
		}
		if listed.ID == "" {
			return false, nil, fmt.Errorf("id: missing")
		}
		if _, err := netip.ParseAddrPort(listed.HostPort); err != nil &&
			(engine.Status != choice.Removed || listed.HostPort != "") {
			return false, nil, fmt.Errorf("host_port: %.60q does not have the form IP:PORT", listed.HostPort)
		}
		list = append(list, engine)
	}
	return e.Pool.Complete, list, nil
}

// parseEvent decodes a line in JSON.
func parseEvent(line []byte) (e event, err error) {
	if err = json.Unmarshal(line, &e); err != nil {
		return e, err
	}
	if e.Rev == nil || *e.Rev < 0 {
		return e, fmt.Errorf("rev: missing or under 0")
	}
	return e, nil
}

// Listener receives the changes of the engine list in order.
type Listener interface {
	UpdateEngines(complete bool, engines []coordinator.ListedEngine)
}

// Watcher follows the engine list of the discovery service for as long as the program runs.
type Watcher struct {
	Dialer         transport.Dialer
	Deadlines      *deadline.Queue
	Now            func() float64
	Listener       Listener
	Addr           string
	ConnectTimeout float64 // ms within which a connection has to be established
	WarmUpTime     float64 // ms that a worker group takes to warm up

	revision         int64 // of the latest event applied
	startTimes       starttime.Estimator
	reconnectDelay   float64
	firstLineTimeout float64        // ms to wait for the first line of the next connection, if over silenceTimeout
	current          *connection    // nil while waiting to reconnect
	timer            deadline.Entry // timeout of the current connection, or the delay before the next one
}

// connection is one connection to the discovery service.
type connection struct {
	watcher  *Watcher
	conn     transport.Conn
	openedAt float64
	hasLine  bool   // a line has arrived
	buffer   []byte // received, not handled yet
}

// LoadKnown applies the events that the configuration holds under known, as JSON.
func (w *Watcher) LoadKnown(text []byte) error {
	var known struct {
		Rev     int64
		Notices []json.RawMessage
	}
	if err := json.Unmarshal(text, &known); err != nil {
		return fmt.Errorf("known: %v", err)
	}
	for i, notice := range known.Notices {
		if err := w.applyEvent(notice); err != nil {
			return fmt.Errorf("known.notices[%d]: %v", i, err)
		}
	}
	w.revision = max(w.revision, known.Rev)
	return nil
}

// applyEvent applies one event. Events up to the current revision are ignored.
func (w *Watcher) applyEvent(line []byte) error {
	e, err := parseEvent(line)
	if err != nil {
		return err
	}
	if *e.Rev <= w.revision {
		return nil
	}
	// The service sends the latest revision every second, without a pool. A later revision than the current one means that an
	// event was lost. Without this error, that event would never be applied.
	if e.Pool == nil {
		return fmt.Errorf("events up to %d are missing", *e.Rev)
	}
	complete, engines, err := e.engines()
	if err != nil {
		return err
	}
	w.revision = *e.Rev
	w.convertStartTimes(complete, engines)
	w.Listener.UpdateEngines(complete, engines)
	return nil
}

// convertStartTimes converts the start times in an event from Unix timestamps to the program's clock.
func (w *Watcher) convertStartTimes(complete bool, engines []coordinator.ListedEngine) {
	now := w.Now()
	w.startTimes.WarmUpTime = w.WarmUpTime
	listed := map[string]bool{}
	for _, e := range engines {
		listed[e.ID] = true
		w.startTimes.Observe(e.StartedAt, now)
	}
	if complete {
		w.startTimes.RemoveUnlisted(listed)
	}
	for i := range engines {
		e := &engines[i]
		e.StartedAt = w.startTimes.LocalStart(e.ID, e.StartedAt, now)
		if e.Status == choice.Removed {
			w.startTimes.Remove(e.ID)
		}
	}
}

// SetAddr connects to the discovery service at another address, continuing from the current revision. The old connection
// is closed and has no further effect.
func (w *Watcher) SetAddr(addr string) {
	if addr == w.Addr {
		return
	}
	w.Addr, w.reconnectDelay = addr, 0
	if c := w.current; c != nil && c.conn != nil {
		c.conn.Close()
	}
	w.Start()
}

// Start connects to the discovery service.
func (w *Watcher) Start() {
	c := &connection{watcher: w}
	w.current = c
	w.timer.Do = func() {
		if c.conn != nil && !c.hasLine {
			w.firstLineTimeout = math.Min(2*w.timeoutOfFirstLine(), maxFirstLineTimeout)
		}
		c.disconnect("timeout: no connection or no line received", transport.NoAnswer)
	}
	w.Deadlines.Set(&w.timer, w.Now()+w.ConnectTimeout)
	w.Dialer.Dial(w.Addr, c)
}

// disconnect closes the connection and schedules a new one. The delay before it stays short, since a coordinator is expected to
// act on every published change, even on those published while it was not connected.
func (c *connection) disconnect(why string, reason transport.EndReason) {
	if c.watcher.current != c {
		return
	}
	slog.Warn("board-lost", "why", why, "end", reason, "rev", c.watcher.revision)
	c.watcher.current = nil
	if c.conn != nil {
		c.conn.Close()
	}
	c.watcher.reconnectDelay = math.Min(math.Max(2*c.watcher.reconnectDelay, minReconnectDelay), maxReconnectDelay)
	c.watcher.timer.Do = c.watcher.Start
	c.watcher.Deadlines.Set(&c.watcher.timer, c.watcher.Now()+c.watcher.reconnectDelay)
}

// Opened requests all events after the current revision.
func (c *connection) Opened(conn transport.Conn) {
	c.conn = conn
	if c.watcher.current != c { // another connection has replaced this one
		conn.Close()
		return
	}
	c.openedAt = c.watcher.Now()
	c.watcher.Deadlines.Set(&c.watcher.timer, c.openedAt+c.watcher.timeoutOfFirstLine())
	conn.Write([]byte("watch " + strconv.FormatInt(c.watcher.revision, 10) + "\n"))
}

// timeoutOfFirstLine returns how long to wait for the first line of a connection. A service that is slow or crowded would never be heard
// if each connection were given up as early as the first, and a dead connection be noticed late if each were kept for long.
func (w *Watcher) timeoutOfFirstLine() float64 { return math.Max(w.firstLineTimeout, silenceTimeout) }

// lineReceived restarts the timeout. A first line that was fast shows that the service is not slow any more.
func (c *connection) lineReceived() {
	w := c.watcher
	if !c.hasLine && w.Now()-c.openedAt <= silenceTimeout {
		w.firstLineTimeout = silenceTimeout
	}
	c.hasLine = true
	w.Deadlines.Set(&w.timer, w.Now()+silenceTimeout)
}

// Received handles all complete lines and buffers the rest.
func (c *connection) Received(b []byte) {
	if c.watcher.current != c {
		return
	}
	c.buffer = append(c.buffer, b...)
	consumed := 0
	for {
		i := bytes.IndexByte(c.buffer[consumed:], '\n')
		if i < 0 {
			break
		}
		line := bytes.TrimSpace(c.buffer[consumed : consumed+i])
		consumed += i + 1
		c.lineReceived()
		if err := c.handleLine(line); err != nil {
			c.disconnect(err.Error(), transport.Malformed)
			return
		}
	}
	c.buffer = append(c.buffer[:0], c.buffer[consumed:]...)
	if len(c.buffer) > maxLineBytes {
		c.disconnect("line too long", transport.Malformed)
	}
}

// handleLine handles one line: an event, or the latest revision as a plain number.
func (c *connection) handleLine(line []byte) error {
	if len(line) == 0 {
		return nil
	}
	if line[0] == '{' {
		err := c.watcher.applyEvent(line)
		if err == nil {
			c.watcher.reconnectDelay = 0
		}
		return err
	}
	revision, err := strconv.ParseInt(string(line), 10, 64)
	if err != nil {
		return fmt.Errorf("line %.60q is neither an event nor a revision number", line)
	}
	if revision > c.watcher.revision { // an event was lost, as in applyEvent
		return fmt.Errorf("events up to %d are missing", revision)
	}
	c.watcher.reconnectDelay = 0
	return nil
}

// Closed handles a connection that the other side closed, that broke, or that could not be established.
func (c *connection) Closed(reason transport.EndReason) { c.disconnect("closed", reason) }
