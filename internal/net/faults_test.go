package net

import (
	"bytes"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"thymeway/internal/clock"
	"thymeway/internal/deadline"
	"thymeway/internal/link"
)

// flaky has system calls fail for a moment, by lot, and reads and writes come short.
func flaky(random *rand.Rand, share float64) syscalls {
	real := systemCalls()
	fails := func(errs ...error) error {
		if random.Float64() < share {
			return errs[random.Intn(len(errs))]
		}
		return nil
	}
	failed := 0 // calls of socket
	short := func(b []byte) []byte { return b[:1+random.Intn(len(b))] }
	return syscalls{
		accept: func(fd int) (int, error) {
			err := fails(unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ECONNABORTED, unix.EINTR, unix.EPROTO, unix.EPERM)
			if err != nil {
				return -1, err
			}
			return real.accept(fd)
		},
		read: func(fd int, b []byte) (int, error) {
			if err := fails(unix.EINTR, unix.EAGAIN, unix.ENOMEM, unix.ENOBUFS); err != nil {
				return -1, err
			}
			return real.read(fd, short(b))
		},
		write: func(fd int, b []byte) (int, error) {
			if err := fails(unix.EINTR, unix.EAGAIN, unix.ENOMEM, unix.ENOBUFS); err != nil {
				return -1, err
			}
			return real.write(fd, short(b))
		},
		socket: func(family int) (int, error) {
			// So few that no connection fails on all its tries.
			if err := fails(unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM); err != nil && failed < dialTries-1 {
				failed++
				return -1, err
			}
			return real.socket(family)
		},
		connect: func(fd int, sa unix.Sockaddr) error {
			err := real.connect(fd, sa)
			if fails(unix.EINTR) != nil {
				return unix.EINTR
			}
			return err
		},
		wait: func(epoll int, events []unix.EpollEvent, ms int) (int, error) {
			if err := fails(unix.EINTR); err != nil {
				return -1, err
			}
			return real.wait(epoll, events, ms)
		},
	}
}

// bulk writes much and counts what comes back.
type bulk struct {
	text []byte
	got  bytes.Buffer
	done chan string
}

func (b *bulk) Opened(c link.Conn) { c.Write(b.text) }
func (b *bulk) Received(p []byte) {
	if b.got.Write(p); b.got.Len() == len(b.text) {
		b.done <- fmt.Sprint(bytes.Equal(b.got.Bytes(), b.text))
	}
}
func (b *bulk) Closed(e link.EndReason) { b.done <- e.String() }

// EINTR on a read or write ended its connection, and a failing accept the loop.
func TestConnectionEndsWhenSystemCallFailsForAMoment(t *testing.T) {
	for seed := int64(1); seed <= 10; seed++ {
		const connections = 20
		addr := free(t)
		l := &Loop{Deadlines: deadline.New(), Now: clock.New().Now, ConnectTimeout: 20000, calls: flaky(rand.New(rand.NewSource(seed)), 0.4),
			Accept: func(int) link.Handler { return &echo{} }, Turn: func() {}}
		done := make(chan string, connections)
		l.Ready = func() {
			for i := range connections {
				l.Dial(addr, &bulk{text: bytes.Repeat([]byte(fmt.Sprintf("%04d", i)), 5000), done: done})
			}
		}
		ended := make(chan error, 1)
		go func() { ended <- l.Run(addr) }()
		for range connections {
			select {
			case got := <-done:
				if got != "true" {
					t.Errorf("seed %d: a connection ends with %s", seed, got)
				}
			case err := <-ended:
				t.Fatalf("seed %d: the loop ended: %v", seed, err)
			case <-time.After(30 * time.Second):
				t.Fatalf("seed %d: bytes are lost", seed)
			}
		}
		l.Do(l.Stop)
		if err := <-ended; err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// A dial that the system is short of something for is told as that, and not as the other side's fault.
func TestDialBlamesOtherSideWhenSystemIsShort(t *testing.T) {
	for _, fault := range []error{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EADDRNOTAVAIL, unix.EAGAIN} {
		calls := systemCalls()
		tries, freed := 0, 0
		calls.connect = func(int, unix.Sockaddr) error {
			tries++
			return fault
		}
		p := &probe{got: make(chan string, 1)}
		l := &Loop{Deadlines: deadline.New(), Now: clock.New().Now, ConnectTimeout: 5000, calls: calls, Turn: func() {}, Exhausted: func() { freed++ }}
		l.Ready = func() { l.Dial("127.0.0.1:9", p) }
		ended := make(chan error, 1)
		go func() { ended <- l.Run() }()
		select {
		case got := <-p.got:
			if got != link.NoDescriptor.String() {
				t.Errorf("%v: told as %s", fault, got)
			}
		case <-time.After(30 * time.Second):
			t.Fatalf("%v: not told", fault)
		}
		l.Do(l.Stop)
		if err := <-ended; err != nil {
			t.Error(err)
		}
		if tries != dialTries || (freed > 0) != (fault == unix.EMFILE) {
			t.Errorf("%v: %d tries, %d times a descriptor was asked for", fault, tries, freed)
		}
	}
}
