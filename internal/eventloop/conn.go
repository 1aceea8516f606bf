package eventloop

import (
	"errors"
	"io"

	"golang.org/x/sys/unix"

	"thymeway/internal/transport"
)

// conn is an accepted or dialed connection. Its descriptor is closed only between two batches of events: a new connection may
// get the same descriptor number, and would otherwise receive the remaining events of the old one.
type conn struct {
	loop      *Loop
	handler   transport.Handler
	fd        int
	pending   []byte     // written, but not accepted by the system yet
	closed    bool       // closed locally or ended; after that the handler gets at most the Closed call that fail has scheduled
	interest  uint32     // events that the poller waits for
	finishing *finishing // not nil once Finish was called
}

// setInterest sets the events that the poller waits for.
func (c *conn) setInterest(events uint32) {
	if c.interest == events {
		return
	}
	if err := c.loop.poller.modify(c.fd, events); err != nil {
		c.fail(err)
		return
	}
	c.interest = events
}

// handleEvents processes the events of the connection.
func (c *conn) handleEvents(events uint32) {
	if !c.closed && events&writable != 0 && len(c.pending) > 0 {
		c.flush()
	}
	if !c.closed && events&(readable|errorOrHangup) != 0 {
		c.read()
	}
}

// read reads what has arrived, up to the size of the loop's buffer. As the poller is level-triggered, it reports the
// connection again if more is left.
func (c *conn) read() {
	n, err := c.loop.syscalls.read(c.fd, c.loop.buffer)
	switch {
	case err != nil && isRetryable(err):
	case err != nil:
		c.fail(err)
	case n == 0 && c.finishing != nil:
		c.inputEndedWhileFinishing()
	case n == 0:
		c.fail(io.EOF)
	case c.finishing != nil: // input is discarded
	default:
		c.handler.Received(c.loop.buffer[:n])
		c.loop.RequestTurn()
	}
}

// Write sends bytes. Those that the system does not accept now are kept and sent once it does.
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
		c.setInterest(readable | writable)
	}
}

// send writes until the system accepts no more, and returns the rest.
func (c *conn) send(b []byte) ([]byte, error) {
	for len(b) > 0 {
		n, err := c.loop.syscalls.write(c.fd, b)
		switch {
		case errors.Is(err, unix.EINTR):
		case err != nil && isRetryable(err):
			return b, nil
		case err != nil:
			return b, err
		default:
			b = b[n:]
		}
	}
	return nil, nil
}

// flush writes the pending bytes.
func (c *conn) flush() {
	rest, err := c.send(c.pending)
	if err != nil {
		c.fail(err)
		return
	}
	progressed := len(rest) < len(c.pending)
	if c.pending = rest; len(rest) == 0 {
		c.pending = nil
		c.setInterest(readable)
	}
	if c.finishing != nil && progressed && !c.closed {
		c.sendProgressed()
	}
}

// fail ends the connection after an error or the end of input. The handler's Closed is called in the next turn, as fail may
// be called from within a Write of that handler.
func (c *conn) fail(err error) {
	if c.closed {
		return
	}
	c.closed = true
	c.stopFinishing()
	c.loop.deferCall(func() {
		c.closeDescriptor()
		c.handler.Closed(connEndReason(err))
	})
}

// closeDescriptor removes the connection from the loop and closes its descriptor.
func (c *conn) closeDescriptor() {
	delete(c.loop.conns, c.fd)
	_ = unix.Close(c.fd)
}

// Close closes the connection in the next turn, after a last attempt to send the pending bytes. The handler is not called any
// more.
func (c *conn) Close() {
	if c.closed {
		return
	}
	c.closed = true
	c.stopFinishing()
	c.loop.deferCall(func() {
		_, _ = c.send(c.pending)
		c.closeDescriptor()
	})
}

// CloseWrite closes the sending side. While bytes are pending it does nothing: Close follows and sends them.
func (c *conn) CloseWrite() {
	if !c.closed && len(c.pending) == 0 {
		_ = unix.Shutdown(c.fd, unix.SHUT_WR)
	}
}

// Abort closes with a reset (linger time 0): the system discards what the other side has not acknowledged.
func (c *conn) Abort() {
	if !c.closed {
		_ = unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		c.Close()
	}
}

// Pending returns the number of written bytes that the system has not accepted yet.
func (c *conn) Pending() int {
	if c.closed {
		return 0
	}
	return len(c.pending)
}

// Idle reports whether the connection is open and has no unread input. It asks the system, as input may have arrived that the
// loop has not read yet.
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

// connEndReason maps a read or write error to the reason for the end of an established connection.
func connEndReason(err error) transport.EndReason {
	switch {
	case errors.Is(err, errFinished):
		return transport.ClosedLocally
	case errors.Is(err, io.EOF):
		return transport.PeerClosed
	case errors.Is(err, unix.ECONNREFUSED):
		return transport.ConnRefused
	}
	return transport.ConnReset
}
