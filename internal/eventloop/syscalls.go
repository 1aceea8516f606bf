package eventloop

import (
	"errors"

	"golang.org/x/sys/unix"
)

// syscalls holds the system calls that may fail temporarily. Tests replace them with functions that fail at times.
type syscalls struct {
	accept  func(fd int) (int, error)
	read    func(fd int, b []byte) (int, error)
	write   func(fd int, b []byte) (int, error)
	socket  func(family int) (int, error)
	connect func(fd int, sa unix.Sockaddr) error
	wait    func(epoll int, events []unix.EpollEvent, ms int) (int, error)
}

// systemCalls returns the real system calls.
func systemCalls() syscalls {
	return syscalls{
		accept: func(fd int) (int, error) {
			conn, _, err := unix.Accept4(fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
			return conn, err
		},
		read:  unix.Read,
		write: unix.Write,
		socket: func(family int) (int, error) {
			return unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
		},
		connect: unix.Connect,
		wait:    unix.EpollWait,
	}
}

// isRetryable reports whether a read or write failed only temporarily, so that its connection is still usable.
func isRetryable(err error) bool {
	switch {
	case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.EINTR), errors.Is(err, unix.ENOBUFS), errors.Is(err, unix.ENOMEM):
		return true
	}
	return false
}

// isResourceShortage reports whether a call failed because this machine or process lacks a resource, such as descriptors,
// memory or ports.
func isResourceShortage(err error) bool {
	switch {
	case errors.Is(err, unix.EMFILE), errors.Is(err, unix.ENFILE), errors.Is(err, unix.ENOBUFS), errors.Is(err, unix.ENOMEM),
		errors.Is(err, unix.EADDRNOTAVAIL), errors.Is(err, unix.EAGAIN):
		return true
	}
	return false
}
