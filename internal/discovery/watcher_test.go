package discovery

import (
	"fmt"
	"testing"

	"thymeway/internal/coordinator"
	"thymeway/internal/deadline"
	"thymeway/internal/transport"
)

// slowService is a discovery service in virtual time. It answers a watch with its first line after firstLine ms and sends a line every
// second from then on; a dead connection is silent for ever.
type slowService struct {
	now       float64
	deadlines *deadline.Queue
	firstLine float64
	dead      int // number of the first connections that are dead
	dialed    int
	revision  int
	lastLine  float64 // when the watcher got its latest line; 0: never
}

// serviceConn is a connection of a watcher.
type serviceConn struct {
	service *slowService
	handler transport.Handler
	closed  bool
	dead    bool
}

func (c *serviceConn) Close()       { c.closed = true }
func (c *serviceConn) Finish()      { c.Close() }
func (c *serviceConn) CloseWrite()  {}
func (c *serviceConn) Abort()       { c.Close() }
func (c *serviceConn) Pending() int { return 0 }
func (c *serviceConn) Idle() bool   { return true }

// Write handles the request to watch.
func (c *serviceConn) Write([]byte) {
	if !c.dead {
		c.sendAfter(c.service.firstLine)
	}
}

// sendAfter sends a line after a delay in ms, and further ones every second.
func (c *serviceConn) sendAfter(delay float64) {
	s := c.service
	s.deadlines.Set(&deadline.Entry{Do: func() {
		if !c.closed {
			s.lastLine = s.now
			c.handler.Received(fmt.Appendf(nil, "%d\n", s.revision))
			c.sendAfter(1000)
		}
	}}, s.now+delay)
}

// Dial implements transport.Dialer.
func (s *slowService) Dial(_ string, h transport.Handler) {
	s.dialed++
	c := &serviceConn{service: s, handler: h, dead: s.dialed <= s.dead}
	s.deadlines.Set(&deadline.Entry{Do: func() { h.Opened(c) }}, s.now+1)
}

// UpdateEngines implements Listener.
func (s *slowService) UpdateEngines(bool, []coordinator.ListedEngine) {}

// runUntil runs all deadlines up to a time.
func (s *slowService) runUntil(end float64) {
	for at, ok := s.deadlines.Next(); ok && at <= end; at, ok = s.deadlines.Next() {
		s.now = max(s.now, at)
		s.deadlines.RunDue(s.now)
	}
	s.now = end
}

// Guards against drains that are never learnt, as the discovery service needs longer for the first line of a watch than the watcher
// waits, and against dead connections that are kept for long.
func TestSlowDiscoveryIsNeverHeard(t *testing.T) {
	for _, c := range []struct {
		firstLine   float64
		dead        int
		heardWithin float64 // ms
	}{
		{10, 0, 100}, {1500, 0, 1600}, {1800, 0, 4000}, {2500, 0, 5000}, {3300, 0, 6000}, {5000, 0, 11000},
		{10, 1, 2000}, {2500, 1, 5000}, {10, 2, 6000},
	} {
		s := &slowService{now: 1000, deadlines: deadline.New(), firstLine: c.firstLine, dead: c.dead}
		w := &Watcher{Dialer: s, Deadlines: s.deadlines, Now: func() float64 { return s.now }, Listener: s, Addr: "127.0.0.1:1",
			ConnectTimeout: 500}
		w.Start()
		s.runUntil(1000 + c.heardWithin)
		if s.lastLine == 0 {
			t.Errorf("first line after %v ms, %d dead connections: not heard within %v ms, %d connections", c.firstLine, c.dead,
				c.heardWithin, s.dialed)
			continue
		}
		dialed := s.dialed
		s.runUntil(s.now + 60000)
		if s.dialed != dialed || s.now-s.lastLine > 1000 {
			t.Errorf("first line after %v ms: %d connections, %d a minute later, latest line %v ms ago", c.firstLine, dialed, s.dialed,
				s.now-s.lastLine)
		}
	}
}
