package standin

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// heartbeat is the time between two lines of discovery.
const heartbeat = time.Second

// Discovery tells coordinators of worker groups, an event a line.
type Discovery struct {
	mu       sync.Mutex
	last     int // number of the last event
	events   map[int]string
	conns    map[net.Conn]bool
	listener net.Listener
}

// Start listens on a free address. Events up to last are known to those who ask.
func (d *Discovery) Start(last int) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	d.listener, d.last, d.events, d.conns = l, last, map[int]string{}, map[net.Conn]bool{}
	go d.accept()
	return l.Addr().String(), nil
}

// Stop ends discovery and all its connections.
func (d *Discovery) Stop() {
	_ = d.listener.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		_ = c.Close()
	}
}

// Publish tells of members that have changed, each as the JSON object of the protocol.
func (d *Discovery) Publish(members ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.last++
	d.events[d.last] = fmt.Sprintf(`{"rev":%d,"pool":{"revision":%d,"complete":false,"members":[%s]}}`, d.last, d.last, strings.Join(members, ","))
	for c := range d.conns {
		_, _ = fmt.Fprintln(c, d.events[d.last])
	}
}

// Watched tells whether a coordinator follows.
func (d *Discovery) Watched() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.conns) > 0
}

func (d *Discovery) accept() {
	for {
		c, err := d.listener.Accept()
		if err != nil {
			return
		}
		go d.serve(c)
	}
}

func (d *Discovery) serve(c net.Conn) {
	defer c.Close()
	line, err := bufio.NewReader(c).ReadString('\n')
	var known int
	if _, fault := fmt.Sscanf(line, "watch %d", &known); err != nil || fault != nil {
		return
	}
	d.mu.Lock()
	for n := known + 1; n <= d.last; n++ {
		_, _ = fmt.Fprintln(c, d.events[n])
	}
	d.conns[c] = true
	d.mu.Unlock()
	for {
		time.Sleep(heartbeat)
		d.mu.Lock()
		_, err := fmt.Fprintln(c, d.last)
		if err != nil {
			delete(d.conns, c)
		}
		d.mu.Unlock()
		if err != nil {
			return
		}
	}
}
