package eventloop

import (
	"fmt"
	"log/slog"
	"math"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"thymeway/internal/deadline"
)

// Limits and delays of listening and accepting.
const (
	maxAcceptBatch    = 64             // connections accepted in a row; events of other connections are handled after that
	acceptRetryDelay  = 10.0           // ms before accepting is resumed after an error such as a shortage of descriptors
	acceptLogInterval = 10e3           // ms between two log lines about failures to accept
	listenBacklog     = math.MaxUint16 // connections that wait to be accepted; the system applies its own limit as well
	maxListenRetries  = 100
	listenRetryDelay  = 50 * time.Millisecond
)

// listener accepts connections at one address.
type listener struct {
	loop     *Loop
	index    int // of its address among those given to Run
	fd       int
	retry    deadline.Entry // resumes accepting after a failure
	failures int            // since the last log line
	loggedAt float64        // time in ms of that log line
}

// listen starts listening at an address. If the system lacks resources, it retries for about 5 s.
func (l *Loop) listen(index int, addr string) (*listener, error) {
	addrPort, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	ln := &listener{loop: l, index: index, loggedAt: math.Inf(-1)}
	for try := 0; ; try++ {
		ln.fd, err = l.bind(addrPort)
		if err == nil {
			break
		}
		if try == maxListenRetries || !isResourceShortage(err) {
			return nil, fmt.Errorf("listen %s: %w", addr, err)
		}
		time.Sleep(listenRetryDelay)
	}
	ln.retry.Do = func() {
		if err := l.poller.modify(ln.fd, readable); err != nil {
			ln.pauseAccepting(err)
		}
	}
	return ln, l.poller.add(ln.fd, readable)
}

// bind creates a listening socket.
func (l *Loop) bind(addrPort netip.AddrPort) (fd int, err error) {
	family, sa := sockaddr(addrPort)
	if fd, err = l.syscalls.socket(family); err != nil {
		return -1, err
	}
	// Without these options, a coordinator that replaces a killed one could not bind the same address for a while.
	for _, option := range []int{unix.SO_REUSEADDR, unix.SO_REUSEPORT} {
		if err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, option, 1); err != nil {
			break
		}
	}
	if err == nil {
		err = unix.Bind(fd, sa)
	}
	if err == nil {
		err = unix.Listen(fd, listenBacklog)
	}
	if err != nil {
		_ = unix.Close(fd)
		return -1, err
	}
	return fd, nil
}

// acceptBatch accepts waiting connections. Errors that concern only the connection to be accepted, which has ended already, are
// skipped. After any other error, accepting is paused and retried; no error ends the listener.
func (ln *listener) acceptBatch() {
	for range maxAcceptBatch {
		fd, err := ln.loop.syscalls.accept(ln.fd)
		switch err {
		case nil:
			ln.loop.addConn(fd, ln.index)
		case unix.EAGAIN:
			return
		case unix.EINTR, unix.ECONNABORTED, unix.ECONNRESET, unix.EPROTO, unix.ENOPROTOOPT, unix.ENETDOWN, unix.ENONET,
			unix.ENETUNREACH, unix.EHOSTDOWN, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ETIMEDOUT:
		default:
			ln.pauseAccepting(err)
			return
		}
	}
}

// pauseAccepting stops accepting for a short time, during which new connections wait in the system's backlog.
func (ln *listener) pauseAccepting(err error) {
	ln.failures++
	if now := ln.loop.Now(); now >= ln.loggedAt+acceptLogInterval {
		slog.Warn("accept-failed", "error", err, "n", ln.failures)
		ln.failures, ln.loggedAt = 0, now
	}
	if ln.loop.FreeDescriptor != nil {
		ln.loop.FreeDescriptor()
	}
	_ = ln.loop.poller.modify(ln.fd, 0)
	ln.loop.Deadlines.Set(&ln.retry, ln.loop.Now()+acceptRetryDelay)
}

// addConn adds an accepted connection to the loop, for the listener with the given index.
func (l *Loop) addConn(fd, index int) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c := &conn{loop: l, fd: fd, interest: readable}
	if err := l.poller.add(fd, readable); err != nil {
		slog.Warn("accept-failed", "error", err)
		_ = unix.Close(fd)
		return
	}
	l.conns[fd] = c
	c.handler = l.Accept(index)
	c.handler.Opened(c)
	l.RequestTurn()
}
