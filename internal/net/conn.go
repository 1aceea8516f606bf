package net

import (
	"errors"
	"io"

	"golang.org/x/sys/unix"

	"thymeway/internal/link"
)

// conn is a connection, accepted or dialled. Its descriptor is closed between two batches of events only, so that no event
// of a batch can meet another connection of the same number.
type conn struct {
	l       *Loop
	h       link.Handler
	fd      int
	pending []byte // written, and not taken by the system yet
	closed  bool   // by us, or ended: its handler hears no more
	waits   uint32 // what the poller waits for
}

// await sets what the poller waits for.
func (c *conn) await(events uint32) {
	if c.waits == events {
		return
	}
	if err := c.l.poll.change(c.fd, events); err != nil {
		c.fail(err)
		return
	}
	c.waits = events
}

// ready takes what the system tells of the connection.
func (c *conn) ready(events uint32) {
	if !c.closed && events&writable != 0 && len(c.pending) > 0 {
		c.flush()
	}
	if !c.closed && events&(readable|broken) != 0 {
		c.read()
	}
}

// read takes what has come, up to the loop's buffer; the poller tells again of what is left.
func (c *conn) read() {
	n, err := c.l.calls.read(c.fd, c.l.buffer)
	switch {
	case err != nil && retryable(err):
	case err != nil:
		c.fail(err)
	case n == 0:
		c.fail(io.EOF)
	default:
		c.h.Received(c.l.buffer[:n])
		c.l.Ask()
	}
}

// Write hands bytes to the system; what it does not take waits.
func (c *conn) Write(b []byte) {
	if c.closed || len(b) == 0 {
		return
	}
	if len(c.pending) > 0 {
		c.pending = append(c.pending, b...)
		return
	}
	rest, err := c.send(b)
	if err != nil {
		c.fail(err)
		return
	}
	if len(rest) > 0 {
		c.pending = append([]byte(nil), rest...)
		c.await(readable | writable)
	}
}

// send writes until the system takes no more, and returns what is left.
func (c *conn) send(b []byte) ([]byte, error) {
	for len(b) > 0 {
		n, err := c.l.calls.write(c.fd, b)
		switch {
		case errors.Is(err, unix.EINTR):
		case err != nil && retryable(err):
			return b, nil
		case err != nil:
			return b, err
		default:
			b = b[n:]
		}
	}
	return nil, nil
}

// flush writes what waits.
func (c *conn) flush() {
	rest, err := c.send(c.pending)
	if err != nil {
		c.fail(err)
		return
	}
	if len(rest) == 0 {
		c.pending = nil
		c.await(readable)
		return
	}
	c.pending = rest
}

// fail takes the connection's end, also from within our own writes: its handler hears of it in the next turn.
func (c *conn) fail(err error) {
	if c.closed {
		return
	}
	c.closed = true
	c.l.put(func() {
		c.release()
		c.h.Closed(ending(err))
	})
}

// release closes the descriptor.
func (c *conn) release() {
	delete(c.l.conns, c.fd)
	_ = unix.Close(c.fd)
}

// Close ends the connection after what is written. Its handler hears no more.
func (c *conn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	c.l.put(func() {
		_, _ = c.send(c.pending)
		c.release()
	})
}

// Shut ends our side only. Where bytes still wait for the system it is left to Close.
func (c *conn) CloseWrite() {
	if !c.closed && len(c.pending) == 0 {
		_ = unix.Shutdown(c.fd, unix.SHUT_WR)
	}
}

// Abort closes with a reset: the system drops what the other side has not taken.
func (c *conn) Abort() {
	if !c.closed {
		_ = unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		c.Close()
	}
}

// Pending is the number of bytes that the system has not taken yet.
func (c *conn) Pending() int {
	if c.closed {
		return 0
	}
	return len(c.pending)
}

// Quiet looks at what the system holds: the loop may not have come to read it yet.
func (c *conn) Idle() bool {
	if c.closed {
		return false
	}
	var b [1]byte
	for {
		_, _, err := unix.Recvfrom(c.fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if err != unix.EINTR {
			return err == unix.EAGAIN
		}
	}
}

// ending is the system's word on the end of a connection.
func ending(err error) link.EndReason {
	switch {
	case errors.Is(err, io.EOF):
		return link.PeerClosed
	case errors.Is(err, unix.ECONNREFUSED):
		return link.ConnRefused
	}
	return link.ConnReset
}
