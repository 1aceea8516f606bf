package net

import (
	"errors"
	"net/netip"

	"golang.org/x/sys/unix"

	"thymeway/internal/deadline"
	"thymeway/internal/link"
)

// Tries to begin a connection where the system is short of something for a moment.
const (
	dialTries = 4
	dialPause = 10.0 // ms before the second try, twice as long before each further one
)

// dialling is a connection on its way.
type dialling struct {
	l     *Loop
	h     link.Handler
	addr  netip.AddrPort
	fd    int
	tries int
	timer deadline.Entry // the end of the wait, or the next try
	until float64        // when the wait ends
}

// Dial starts a connection; see link.Dialer.
func (l *Loop) Dial(addr string, h link.Handler) {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		l.put(func() { h.Closed(failure(err)) })
		return
	}
	d := &dialling{l: l, h: h, addr: ap, fd: -1, until: l.Now() + l.ConnectTimeout}
	d.start()
}

// start begins the connection, or tries again soon.
func (d *dialling) start() {
	d.tries++
	err := d.begin()
	if err == nil {
		d.timer.Do = func() { d.fail(link.Unreachable) }
		d.l.Deadlines.Set(&d.timer, d.until)
		return
	}
	if errors.Is(err, unix.EMFILE) && d.l.Exhausted != nil {
		d.l.Exhausted()
	}
	pause := dialPause * float64(int(1)<<(d.tries-1))
	if !outOfResources(err) && !transient(err) || d.tries == dialTries || d.l.Now()+pause >= d.until {
		d.l.put(func() { d.h.Closed(failure(err)) })
		return
	}
	d.timer.Do = d.start
	d.l.Deadlines.Set(&d.timer, d.l.Now()+pause)
}

func (d *dialling) begin() error {
	family, sa := sockaddr(d.addr)
	fd, err := d.l.calls.socket(family)
	if err != nil {
		return err
	}
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	err = d.l.calls.connect(fd, sa)
	if err == unix.EINPROGRESS || err == unix.EINTR { // interrupted, it goes on by itself
		err = nil
	}
	if err == nil {
		err = d.l.poll.add(fd, writable)
	}
	if err != nil {
		_ = unix.Close(fd)
		return err
	}
	d.fd = fd
	d.l.dialling[fd] = d
	return nil
}

// ready comes once the connection is up, or has failed.
func (d *dialling) ready() {
	code, err := unix.GetsockoptInt(d.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && code != 0 {
		err = unix.Errno(code)
	}
	if err == nil {
		// Danger: one that was reset as it came up has no far side any more, and no error left to tell.
		_, err = unix.Getpeername(d.fd)
	}
	if err != nil {
		d.fail(failure(err))
		return
	}
	d.l.Deadlines.Cancel(&d.timer)
	delete(d.l.dialling, d.fd)
	c := &conn{l: d.l, h: d.h, fd: d.fd, waits: writable}
	d.l.conns[d.fd] = c
	c.await(readable)
	if !c.closed {
		c.h.Opened(c)
	}
	d.l.Ask()
}

// fail ends it, with its handler told in the next turn.
func (d *dialling) fail(e link.EndReason) {
	d.l.Deadlines.Cancel(&d.timer)
	delete(d.l.dialling, d.fd)
	d.l.put(func() {
		_ = unix.Close(d.fd)
		d.h.Closed(e)
	})
}

// transient tells whether a connection failed to begin for a reason that may pass in a moment.
func transient(err error) bool {
	return errors.Is(err, unix.ECONNABORTED) || errors.Is(err, unix.ENETUNREACH) || errors.Is(err, unix.ENETDOWN)
}

// failure is the system's word on a connection that did not come up.
func failure(err error) link.EndReason {
	switch {
	case errors.Is(err, unix.ECONNREFUSED):
		return link.ConnRefused
	case outOfResources(err):
		return link.NoDescriptor
	// Danger: one that came up and was reset at once tells nothing of the process behind it.
	case errors.Is(err, unix.ECONNRESET), errors.Is(err, unix.EPIPE), errors.Is(err, unix.ENOTCONN):
		return link.ConnReset
	}
	return link.Unreachable
}

// sockaddr is an address in the system's form, with its family.
func sockaddr(ap netip.AddrPort) (family int, sa unix.Sockaddr) {
	if a := ap.Addr().Unmap(); a.Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: int(ap.Port()), Addr: a.As4()}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: int(ap.Port()), Addr: ap.Addr().As16()}
}
