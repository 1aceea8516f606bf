package eventloop

import (
	"encoding/binary"

	"golang.org/x/sys/unix"
)

// Sets of events to wait for. A connection closed by the peer counts as readable; errorOrHangup is always reported.
const (
	readable      = unix.EPOLLIN | unix.EPOLLRDHUP
	writable      = unix.EPOLLOUT
	errorOrHangup = unix.EPOLLERR | unix.EPOLLHUP
)

const maxEventBatch = 256 // maximum number of events returned by one wait

// poller waits for events on many descriptors with epoll, and can be woken from any goroutine.
type poller struct {
	epollFD  int
	wakeFD   int // an eventfd
	syscalls *syscalls
	events   [maxEventBatch]unix.EpollEvent
}

// readyDescriptor is a descriptor and its events.
type readyDescriptor struct {
	fd     int
	events uint32
}

// open creates the epoll instance and the eventfd for wake-ups.
func (p *poller) open(calls *syscalls) (err error) {
	p.syscalls, p.wakeFD = calls, -1
	if p.epollFD, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC); err != nil {
		return err
	}
	if p.wakeFD, err = unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC); err == nil {
		err = p.add(p.wakeFD, unix.EPOLLIN)
	}
	if err != nil {
		p.close()
	}
	return err
}

// close closes the epoll instance and the eventfd.
func (p *poller) close() {
	for _, fd := range []int{p.epollFD, p.wakeFD} {
		if fd >= 0 {
			_ = unix.Close(fd)
		}
	}
}

// add starts waiting for events on a descriptor.
func (p *poller) add(fd int, events uint32) error { return p.control(unix.EPOLL_CTL_ADD, fd, events) }

// modify replaces the events to wait for on a descriptor.
func (p *poller) modify(fd int, events uint32) error {
	return p.control(unix.EPOLL_CTL_MOD, fd, events)
}

// control calls epoll_ctl for a descriptor.
func (p *poller) control(op, fd int, events uint32) error {
	return unix.EpollCtl(p.epollFD, op, fd, &unix.EpollEvent{Events: events, Fd: int32(fd)})
}

// wait appends the descriptors that have events to ready. It waits at most ms milliseconds, or without limit if ms is -1. An
// interrupted wait appends none.
func (p *poller) wait(ready []readyDescriptor, ms int) ([]readyDescriptor, error) {
	n, err := p.syscalls.wait(p.epollFD, p.events[:], ms)
	if err == unix.EINTR {
		return ready, nil
	}
	if err != nil {
		return ready, err
	}
	for _, e := range p.events[:n] {
		if int(e.Fd) == p.wakeFD {
			p.drainWakeups()
			continue
		}
		ready = append(ready, readyDescriptor{int(e.Fd), e.Events})
	}
	return ready, nil
}

// wake ends the current or next wait. It may be called from any goroutine. If the eventfd is at its maximum count, the write
// fails, but the wait ends as well, so errors other than an interruption are ignored.
func (p *poller) wake() {
	one := binary.NativeEndian.AppendUint64(nil, 1)
	for {
		if _, err := unix.Write(p.wakeFD, one); err != unix.EINTR {
			return
		}
	}
}

// drainWakeups resets the eventfd.
func (p *poller) drainWakeups() {
	var count [8]byte
	for {
		if _, err := unix.Read(p.wakeFD, count[:]); err != unix.EINTR {
			return
		}
	}
}
