package standin

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// heartbeatInterval is the time between the heartbeat lines on a connection.
const heartbeatInterval = time.Second

// Discovery is a fake discovery service. It sends changes of the listed worker groups to coordinators, one event per line.
type Discovery struct {
	mu           sync.Mutex
	lastRevision int               // of the last event
	events       map[int]string    // by revision
	conns        map[net.Conn]bool // of coordinators that have sent a watch request
	listener     net.Listener
}

// Start listens on a free local port and returns the address. last is the revision that the coordinators already know.
func (d *Discovery) Start(last int) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	d.listener, d.lastRevision, d.events, d.conns = l, last, map[int]string{}, map[net.Conn]bool{}
	go d.accept()
	return l.Addr().String(), nil
}

// Stop closes the listener and all connections.
func (d *Discovery) Stop() {
	_ = d.listener.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		_ = c.Close()
	}
}

// Publish sends one event with the given changed worker groups, each as a JSON object of the discovery protocol.
func (d *Discovery) Publish(groups ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastRevision++
	d.events[d.lastRevision] = fmt.Sprintf(`{"rev":%d,"pool":{"revision":%d,"complete":false,"members":[%s]}}`,
		d.lastRevision, d.lastRevision, strings.Join(groups, ","))
	for c := range d.conns {
		_, _ = fmt.Fprintln(c, d.events[d.lastRevision])
	}
}

// HasWatcher reports whether a coordinator watches this service.
func (d *Discovery) HasWatcher() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.conns) > 0
}

// accept serves connections until the listener is closed.
func (d *Discovery) accept() {
	for {
		c, err := d.listener.Accept()
		if err != nil {
			return
		}
		go d.serve(c)
	}
}

// serve reads the watch request of a connection, sends the events after its revision, and then a heartbeat each second.
func (d *Discovery) serve(c net.Conn) {
	defer c.Close()
	line, err := bufio.NewReader(c).ReadString('\n')
	var revision int
	if _, scanErr := fmt.Sscanf(line, "watch %d", &revision); err != nil || scanErr != nil {
		return
	}
	d.mu.Lock()
	for n := revision + 1; n <= d.lastRevision; n++ {
		_, _ = fmt.Fprintln(c, d.events[n])
	}
	d.conns[c] = true
	d.mu.Unlock()
	for {
		time.Sleep(heartbeatInterval)
		d.mu.Lock()
		_, err := fmt.Fprintln(c, d.lastRevision)
		if err != nil {
			delete(d.conns, c)
		}
		d.mu.Unlock()
		if err != nil {
			return
		}
	}
}
