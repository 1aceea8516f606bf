package eventloop

import (
	"errors"
	"net/netip"

	"golang.org/x/sys/unix"

	"thymeway/internal/deadline"
	"thymeway/internal/transport"
)

// Retries of a connection that could not be started because of a transient error, such as a shortage of descriptors.
const (
	maxDialTries   = 4
	dialRetryDelay = 10.0 // ms before the second try; doubled for each further one
)

// pendingDial is an outgoing connection that is not established yet.
type pendingDial struct {
	loop     *Loop
	handler  transport.Handler
	addr     netip.AddrPort
	fd       int
	tries    int
	timer    deadline.Entry // runs at the deadline, or for the next try
	deadline float64        // time in ms by which the connection must be established
}

// Dial opens a connection to an address of the form IP:PORT; see transport.Dialer.
func (l *Loop) Dial(addr string, h transport.Handler) {
	addrPort, err := netip.ParseAddrPort(addr)
	if err != nil {
		l.deferCall(func() { h.Closed(dialEndReason(err)) })
		return
	}
	d := &pendingDial{loop: l, handler: h, addr: addrPort, fd: -1, deadline: l.Now() + l.ConnectTimeout}
	d.try()
}

// try starts to connect. After a transient error it schedules another try, as long as the deadline permits.
func (d *pendingDial) try() {
	d.tries++
	err := d.connect()
	if err == nil {
		d.timer.Do = func() { d.fail(transport.Unreachable) }
		d.loop.Deadlines.Set(&d.timer, d.deadline)
		return
	}
	if errors.Is(err, unix.EMFILE) && d.loop.FreeDescriptor != nil {
		d.loop.FreeDescriptor()
	}
	pause := dialRetryDelay * float64(int(1)<<(d.tries-1))
	if !isResourceShortage(err) && !isTransient(err) || d.tries == maxDialTries || d.loop.Now()+pause >= d.deadline {
		d.loop.deferCall(func() { d.handler.Closed(dialEndReason(err)) })
		return
	}
	d.timer.Do = d.try
	d.loop.Deadlines.Set(&d.timer, d.loop.Now()+pause)
}

// connect creates a socket, starts connecting it and adds it to the poller.
func (d *pendingDial) connect() error {
	family, sa := sockaddr(d.addr)
	fd, err := d.loop.syscalls.socket(family)
	if err != nil {
		return err
	}
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	err = d.loop.syscalls.connect(fd, sa)
	if err == unix.EINPROGRESS || err == unix.EINTR { // the system goes on connecting after an interruption
		err = nil
	}
	if err == nil {
		err = d.loop.poller.add(fd, writable)
	}
	if err != nil {
		_ = unix.Close(fd)
		return err
	}
	d.fd = fd
	d.loop.pendingDials[fd] = d
	return nil
}

// finish is called when the socket becomes writable: the connection is then established, or has failed.
func (d *pendingDial) finish() {
	code, err := unix.GetsockoptInt(d.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && code != 0 {
		err = unix.Errno(code)
	}
	if err == nil {
		// A connection that was reset right after it was established may report no error any more, but has no peer address.
		// Without this check it would be reported as opened.
		_, err = unix.Getpeername(d.fd)
	}
	if err != nil {
		d.fail(dialEndReason(err))
		return
	}
	d.loop.Deadlines.Cancel(&d.timer)
	delete(d.loop.pendingDials, d.fd)
	c := &conn{loop: d.loop, handler: d.handler, fd: d.fd, interest: writable}
	d.loop.conns[d.fd] = c
	c.setInterest(readable)
	if !c.closed {
		c.handler.Opened(c)
	}
	d.loop.RequestTurn()
}

// fail ends the attempt to connect. The handler's Closed is called in the next turn.
func (d *pendingDial) fail(e transport.EndReason) {
	d.loop.Deadlines.Cancel(&d.timer)
	delete(d.loop.pendingDials, d.fd)
	d.loop.deferCall(func() {
		_ = unix.Close(d.fd)
		d.handler.Closed(e)
	})
}

// isTransient reports whether starting a connection failed for a network error that may soon be over.
func isTransient(err error) bool {
	return errors.Is(err, unix.ECONNABORTED) || errors.Is(err, unix.ENETUNREACH) || errors.Is(err, unix.ENETDOWN)
}

// dialEndReason maps the error of a connection that was not established to an end reason.
func dialEndReason(err error) transport.EndReason {
	switch {
	case errors.Is(err, unix.ECONNREFUSED):
		return transport.ConnRefused
	case isResourceShortage(err):
		return transport.NoDescriptor
	// A connection that was established and reset at once proves nothing about the process at the address. If it were reported as
	// Unreachable, it would count as a failure to connect.
	case errors.Is(err, unix.ECONNRESET), errors.Is(err, unix.EPIPE), errors.Is(err, unix.ENOTCONN):
		return transport.ConnReset
	}
	return transport.Unreachable
}

// sockaddr converts an address to the form of the system calls, and returns its family.
func sockaddr(addrPort netip.AddrPort) (family int, sa unix.Sockaddr) {
	if a := addrPort.Addr().Unmap(); a.Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: int(addrPort.Port()), Addr: a.As4()}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: int(addrPort.Port()), Addr: addrPort.Addr().As16()}
}
