package eventloop

import (
	"bytes"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"thymeway/internal/clock"
	"thymeway/internal/deadline"
	"thymeway/internal/transport"
)

// flakySyscalls returns system calls of which a random share fails with temporary errors, and which read and write only parts.
func flakySyscalls(random *rand.Rand, failShare float64) syscalls {
	system := systemCalls()
	fails := func(errs ...error) error {
		if random.Float64() < failShare {
			return errs[random.Intn(len(errs))]
		}
		return nil
	}
	failed := 0 // failed calls of socket
	truncate := func(b []byte) []byte { return b[:1+random.Intn(len(b))] }
	return syscalls{
		accept: func(fd int) (int, error) {
			err := fails(unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ECONNABORTED, unix.EINTR, unix.EPROTO,
				unix.EPERM)
			if err != nil {
				return -1, err
			}
			return system.accept(fd)
		},
		read: func(fd int, b []byte) (int, error) {
			if err := fails(unix.EINTR, unix.EAGAIN, unix.ENOMEM, unix.ENOBUFS); err != nil {
				return -1, err
			}
			return system.read(fd, truncate(b))
		},
		write: func(fd int, b []byte) (int, error) {
			if err := fails(unix.EINTR, unix.EAGAIN, unix.ENOMEM, unix.ENOBUFS); err != nil {
				return -1, err
			}
			return system.write(fd, truncate(b))
		},
		socket: func(family int) (int, error) {
			// Fewer failures than tries per connection, so that no connection fails on all its tries.
			if err := fails(unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM); err != nil && failed < maxDialTries-1 {
				failed++
				return -1, err
			}
			return system.socket(family)
		},
		connect: func(fd int, sa unix.Sockaddr) error {
			err := system.connect(fd, sa)
			if fails(unix.EINTR) != nil {
				return unix.EINTR
			}
			return err
		},
		wait: func(epoll int, events []unix.EpollEvent, ms int) (int, error) {
			if err := fails(unix.EINTR); err != nil {
				return -1, err
			}
			return system.wait(epoll, events, ms)
		},
	}
}

// bulkHandler writes a long text, compares it with its echo and reports the result, or the reason for an early end.
type bulkHandler struct {
	text     []byte
	received bytes.Buffer
	done     chan string
}

func (b *bulkHandler) Opened(c transport.Conn) { c.Write(b.text) }
func (b *bulkHandler) Received(p []byte) {
	if b.received.Write(p); b.received.Len() == len(b.text) {
		b.done <- fmt.Sprint(bytes.Equal(b.received.Bytes(), b.text))
	}
}
func (b *bulkHandler) Closed(e transport.EndReason) { b.done <- e.String() }

// Guards against connections or the loop ending because of temporary errors: EINTR on a read or write used to end the
// connection, and a failed accept used to end the loop.
func TestConnectionsSurviveTransientSyscallFailures(t *testing.T) {
	for seed := int64(1); seed <= 10; seed++ {
		const connections = 20
		addr := freeAddr(t)
		l := &Loop{Deadlines: deadline.New(), Now: clock.New().Now, ConnectTimeout: 20000,
			syscalls: flakySyscalls(rand.New(rand.NewSource(seed)), 0.4),
			Accept:   func(int) transport.Handler { return &echoHandler{} }, Turn: func() {}}
		done := make(chan string, connections)
		l.OnStart = func() {
			for i := range connections {
				l.Dial(addr, &bulkHandler{text: bytes.Repeat([]byte(fmt.Sprintf("%04d", i)), 5000), done: done})
			}
		}
		ended := make(chan error, 1)
		go func() { ended <- l.Run(addr) }()
		for range connections {
			select {
			case got := <-done:
				if got != "true" {
					t.Errorf("seed %d: a connection ended with %s", seed, got)
				}
			case err := <-ended:
				t.Fatalf("seed %d: the loop ended: %v", seed, err)
			case <-time.After(30 * time.Second):
				t.Fatalf("seed %d: not all bytes were echoed within 30 s", seed)
			}
		}
		l.Do(l.Stop)
		if err := <-ended; err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// Guards against reporting a dial that failed for lack of local resources as a failure of the other side: it must be retried,
// and then end with NoDescriptor. FreeDescriptor may be called only if the process has run out of descriptors.
func TestDialReportsLocalResourceShortage(t *testing.T) {
	for _, fault := range []error{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EADDRNOTAVAIL, unix.EAGAIN} {
		calls := systemCalls()
		tries, freed := 0, 0
		calls.connect = func(int, unix.Sockaddr) error {
			tries++
			return fault
		}
		handler := &helloHandler{result: make(chan string, 1)}
		l := &Loop{Deadlines: deadline.New(), Now: clock.New().Now, ConnectTimeout: 5000, syscalls: calls, Turn: func() {},
			FreeDescriptor: func() { freed++ }}
		l.OnStart = func() { l.Dial("127.0.0.1:9", handler) }
		ended := make(chan error, 1)
		go func() { ended <- l.Run() }()
		select {
		case got := <-handler.result:
			if got != transport.NoDescriptor.String() {
				t.Errorf("%v: reported as %s", fault, got)
			}
		case <-time.After(30 * time.Second):
			t.Fatalf("%v: no end reported within 30 s", fault)
		}
		l.Do(l.Stop)
		if err := <-ended; err != nil {
			t.Error(err)
		}
		if tries != maxDialTries || (freed > 0) != (fault == unix.EMFILE) {
			t.Errorf("%v: %d tries, %d calls to free a descriptor", fault, tries, freed)
		}
	}
}
