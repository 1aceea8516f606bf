package net

import (
	"encoding/binary"

	"golang.org/x/sys/unix"
)

// What a descriptor is waited for. A closed or broken connection counts as readable.
const (
	readable = unix.EPOLLIN | unix.EPOLLRDHUP
	writable = unix.EPOLLOUT
	broken   = unix.EPOLLERR | unix.EPOLLHUP
)

const mostEvents = 256 // taken from the system at a time

// poller waits for many descriptors at once, and for a wake-up from any goroutine.
type poller struct {
	epoll  int
	wakeup int // an eventfd
	calls  *syscalls
	events [mostEvents]unix.EpollEvent
}

// ready is a descriptor with what it is ready for.
type ready struct {
	fd     int
	events uint32
}

func (p *poller) open(calls *syscalls) (err error) {
	p.calls, p.wakeup = calls, -1
	if p.epoll, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC); err != nil {
		return err
	}
	if p.wakeup, err = unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC); err == nil {
		err = p.add(p.wakeup, unix.EPOLLIN)
	}
	if err != nil {
		p.close()
	}
	return err
}

func (p *poller) close() {
	for _, fd := range []int{p.epoll, p.wakeup} {
		if fd >= 0 {
			_ = unix.Close(fd)
		}
	}
}

func (p *poller) add(fd int, events uint32) error { return p.control(unix.EPOLL_CTL_ADD, fd, events) }

func (p *poller) change(fd int, events uint32) error {
	return p.control(unix.EPOLL_CTL_MOD, fd, events)
}

func (p *poller) control(op, fd int, events uint32) error {
	return unix.EpollCtl(p.epoll, op, fd, &unix.EpollEvent{Events: events, Fd: int32(fd)})
}

// wait appends what is ready to list; ms is the longest wait, -1 for none. An interrupted wait is an empty one.
func (p *poller) wait(list []ready, ms int) ([]ready, error) {
	n, err := p.calls.wait(p.epoll, p.events[:], ms)
	if err == unix.EINTR {
		return list, nil
	}
	if err != nil {
		return list, err
	}
	for _, e := range p.events[:n] {
		if int(e.Fd) == p.wakeup {
			p.drain()
			continue
		}
		list = append(list, ready{int(e.Fd), e.Events})
	}
	return list, nil
}

// wake ends a wait, from any goroutine. A full eventfd wakes as well.
func (p *poller) wake() {
	one := binary.NativeEndian.AppendUint64(nil, 1)
	for {
		if _, err := unix.Write(p.wakeup, one); err != unix.EINTR {
			return
		}
	}
}

func (p *poller) drain() {
	var count [8]byte
	for {
		if _, err := unix.Read(p.wakeup, count[:]); err != unix.EINTR {
			return
		}
	}
}
