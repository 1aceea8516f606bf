package net

import (
	"context"
	"errors"
	stdnet "net"
	"net/netip"
	"os"
	"sync"

	"github.com/panjf2000/gnet/v2"
	"golang.org/x/sys/unix"

	"thymeway/internal/deadline"
	"thymeway/internal/link"
)

// dialer brings connections up. The loop starts them without waiting, one goroutine of its own waits for all of
// them at once, and the loop's deadlines end those that never come up: a silent machine holds up no other.
type dialer struct {
	l       *Loop
	poll    int
	mu      sync.Mutex
	seq     uint64
	pending map[uint64]*dialling
}

type dialling struct {
	fd    int
	c     *conn
	timer deadline.Entry
}

func (d *dialer) open(l *Loop) (err error) {
	d.l, d.pending = l, map[uint64]*dialling{}
	if d.poll, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC); err == nil {
		go d.wait()
	}
	return err
}

// Dial starts a connection; see link.Dialer.
func (l *Loop) Dial(addr string, h link.Handler) {
	c := &conn{l: l, h: h}
	if err := l.dialer.start(addr, c); err != nil {
		l.put(func() { h.Closed(failure(err)) })
	}
}

// failure is the system's word on a connection that did not come up.
func failure(err error) link.End {
	switch {
	case errors.Is(err, unix.ECONNREFUSED):
		return link.Refused
	case errors.Is(err, unix.EMFILE), errors.Is(err, unix.ENFILE):
		return link.Crowded
	// Danger: one that came up and was reset at once tells nothing of the process behind it.
	case errors.Is(err, unix.ECONNRESET), errors.Is(err, unix.EPIPE), errors.Is(err, unix.ENOTCONN):
		return link.Broken
	}
	return link.Unreached
}

func (d *dialer) start(addr string, c *conn) error {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return err
	}
	family, sa := sockaddr(ap)
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	if err = unix.Connect(fd, sa); err != nil && err != unix.EINPROGRESS {
		_ = unix.Close(fd)
		return err
	}
	x := &dialling{fd: fd, c: c}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	seq := d.seq
	ev := unix.EpollEvent{Events: unix.EPOLLOUT | unix.EPOLLONESHOT, Fd: int32(seq), Pad: int32(seq >> 32)}
	if err = unix.EpollCtl(d.poll, unix.EPOLL_CTL_ADD, fd, &ev); err != nil {
		_ = unix.Close(fd)
		return err
	}
	d.pending[seq] = x
	x.timer.Do = func() {
		if d.claim(seq) != nil {
			_ = unix.Close(fd)
			c.h.Closed(link.Unreached)
		}
	}
	d.l.Deadlines.Set(&x.timer, d.l.Now()+d.l.ConnectTimeout)
	return nil
}

// sockaddr is an address in the system's form, with its family.
func sockaddr(ap netip.AddrPort) (family int, sa unix.Sockaddr) {
	if a := ap.Addr().Unmap(); a.Is4() {
		return unix.AF_INET, &unix.SockaddrInet4{Port: int(ap.Port()), Addr: a.As4()}
	}
	return unix.AF_INET6, &unix.SockaddrInet6{Port: int(ap.Port()), Addr: ap.Addr().As16()}
}

// claim makes the caller the owner of a connection on its way; nil if another one is.
func (d *dialer) claim(seq uint64) *dialling {
	d.mu.Lock()
	defer d.mu.Unlock()
	x := d.pending[seq]
	delete(d.pending, seq)
	return x
}

// wait hands over what has come up, or failed.
func (d *dialer) wait() {
	events := make([]unix.EpollEvent, 64)
	for {
		n, err := unix.EpollWait(d.poll, events, -1)
		if err != nil && err != unix.EINTR {
			d.l.run(func() { panic("waiting for connections: " + err.Error()) })
			return
		}
		for i := 0; i < n; i++ {
			if x := d.claim(uint64(uint32(events[i].Fd)) | uint64(uint32(events[i].Pad))<<32); x != nil {
				d.settle(x)
			}
		}
	}
}

func (d *dialer) settle(x *dialling) {
	_ = unix.EpollCtl(d.poll, unix.EPOLL_CTL_DEL, x.fd, nil)
	code, err := unix.GetsockoptInt(x.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && code != 0 {
		err = unix.Errno(code)
	}
	if err != nil {
		_ = unix.Close(x.fd)
	} else if err = d.enroll(x); err == nil {
		d.l.run(func() { d.l.Deadlines.Clear(&x.timer) })
		return
	}
	d.l.run(func() {
		d.l.Deadlines.Clear(&x.timer)
		x.c.h.Closed(failure(err))
		d.l.Wake()
	})
}

// enroll puts a connection on the loop, which calls OnOpen for it.
func (d *dialer) enroll(x *dialling) error {
	c, err := fileConn(x.fd)
	if err != nil {
		return err
	}
	if c.RemoteAddr() == nil { // danger: gnet takes it that there is one
		_ = c.Close()
		return unix.ENOTCONN
	}
	res, err := (*d.l.el.Load()).Enroll(gnet.NewContext(context.Background(), x.c), c)
	if err != nil {
		_ = c.Close()
		return err
	}
	r := <-res
	if r.Err == nil && r.Conn == nil { // the goroutine that should have enrolled it has died
		return unix.ENOTCONN
	}
	return r.Err
}

// fileConn makes a connection of the library's kind of a socket, and takes the socket over.
func fileConn(fd int) (stdnet.Conn, error) {
	f := os.NewFile(uintptr(fd), "")
	defer f.Close()
	return stdnet.FileConn(f)
}
