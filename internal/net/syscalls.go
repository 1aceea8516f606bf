package net

import (
	"errors"

	"golang.org/x/sys/unix"
)

// syscalls are the system calls that may fail for a moment; tests put failing ones in their place.
type syscalls struct {
	accept  func(fd int) (int, error)
	read    func(fd int, b []byte) (int, error)
	write   func(fd int, b []byte) (int, error)
	socket  func(family int) (int, error)
	connect func(fd int, sa unix.Sockaddr) error
	wait    func(epoll int, events []unix.EpollEvent, ms int) (int, error)
}

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

// retryable tells whether a read or a write failed for a moment only, and says nothing of its connection.
func retryable(err error) bool {
	switch {
	case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.EINTR), errors.Is(err, unix.ENOBUFS), errors.Is(err, unix.ENOMEM):
		return true
	}
	return false
}

// outOfResources tells whether a call failed as this machine or process is short of something.
func outOfResources(err error) bool {
	switch {
	case errors.Is(err, unix.EMFILE), errors.Is(err, unix.ENFILE), errors.Is(err, unix.ENOBUFS), errors.Is(err, unix.ENOMEM),
		errors.Is(err, unix.EADDRNOTAVAIL), errors.Is(err, unix.EAGAIN):
		return true
	}
	return false
}
