package net

import (
	"fmt"
	"log/slog"
	"math"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"thymeway/internal/deadline"
)

// Limits and pauses of accepting.
const (
	acceptBatch = 64   // connections accepted in a row, so that others have their turn
	acceptPause = 10.0 // ms before another try where accept fails for want of something
	acceptLog   = 10e3 // ms between two lines on that
	backlog     = math.MaxUint16
	listenTries = 100
	listenPause = 50 * time.Millisecond
)

// listener takes connections at one address.
type listener struct {
	l      *Loop
	number int // of its address
	fd     int
	again  deadline.Entry // the next try after a failure
	failed int            // failures since the last line
	toldAt float64
}

// listen opens an address. What the system refuses for a moment is tried again for a while.
func (l *Loop) listen(number int, addr string) (*listener, error) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	x := &listener{l: l, number: number, toldAt: math.Inf(-1)}
	for try := 0; ; try++ {
		x.fd, err = l.bind(ap)
		if err == nil {
			break
		}
		if try == listenTries || !outOfResources(err) {
			return nil, fmt.Errorf("listen %s: %w", addr, err)
		}
		time.Sleep(listenPause)
	}
	x.again.Do = func() {
		if err := l.poll.change(x.fd, readable); err != nil {
			x.pause(err)
		}
	}
	return x, l.poll.add(x.fd, readable)
}

func (l *Loop) bind(ap netip.AddrPort) (fd int, err error) {
	family, sa := sockaddr(ap)
	if fd, err = l.calls.socket(family); err != nil {
		return -1, err
	}
	// The address of a coordinator that was killed just now has to be free for the next one.
	for _, option := range []int{unix.SO_REUSEADDR, unix.SO_REUSEPORT} {
		if err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, option, 1); err != nil {
			break
		}
	}
	if err == nil {
		err = unix.Bind(fd, sa)
	}
	if err == nil {
		err = unix.Listen(fd, backlog)
	}
	if err != nil {
		_ = unix.Close(fd)
		return -1, err
	}
	return fd, nil
}

// accept takes the connections that wait. A failure ends nothing: one of a connection that has gone again is passed over,
// any other is tried again after a pause.
func (x *listener) accept() {
	for range acceptBatch {
		fd, err := x.l.calls.accept(x.fd)
		switch err {
		case nil:
			x.l.open(fd, x.number)
		case unix.EAGAIN:
			return
		case unix.EINTR, unix.ECONNABORTED, unix.ECONNRESET, unix.EPROTO, unix.ENOPROTOOPT, unix.ENETDOWN, unix.ENONET,
			unix.ENETUNREACH, unix.EHOSTDOWN, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ETIMEDOUT:
		default:
			x.pause(err)
			return
		}
	}
}

// pause lets accepting rest. The connections wait with the system meanwhile, so the pause is short.
func (x *listener) pause(err error) {
	x.failed++
	if now := x.l.Now(); now >= x.toldAt+acceptLog {
		slog.Warn("accept-failed", "error", err, "n", x.failed)
		x.failed, x.toldAt = 0, now
	}
	if x.l.Exhausted != nil {
		x.l.Exhausted()
	}
	_ = x.l.poll.change(x.fd, 0)
	x.l.Deadlines.Set(&x.again, x.l.Now()+acceptPause)
}

// open makes a connection of an accepted descriptor.
func (l *Loop) open(fd, number int) {
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	c := &conn{l: l, fd: fd, waits: readable}
	if err := l.poll.add(fd, readable); err != nil {
		slog.Warn("accept-failed", "error", err)
		_ = unix.Close(fd)
		return
	}
	l.conns[fd] = c
	c.h = l.Accept(number)
	c.h.Opened(c)
	l.Ask()
}
