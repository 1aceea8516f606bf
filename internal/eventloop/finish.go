package eventloop

import (
	"errors"

	"golang.org/x/sys/unix"

	"thymeway/internal/deadline"
)

// Limits on a connection that is being finished, in ms.
const (
	sendTimeout      = 30000.0 // without a byte sent: the other side has stopped reading
	peerCloseTimeout = 2000.0  // from the last byte sent until the other side closes
)

// errFinished ends a connection that was finished.
var errFinished = errors.New("the connection is finished")

// finishing is the state of a connection that is being finished.
type finishing struct {
	timer      deadline.Entry
	inputEnded bool // the other side has closed its sending side
	allSent    bool // the sending side is closed
}

// Finish implements transport.Conn. A close over unread input would reset the connection and discard what was written, so input is
// read and discarded until the other side closes.
func (c *conn) Finish() {
	if c.closed || c.finishing != nil {
		return
	}
	c.finishing = &finishing{}
	c.finishing.timer.Do = func() { c.fail(errFinished) }
	c.sendProgressed()
}

// sendProgressed is called when a connection that is being finished has sent bytes. It closes the sending side after the last one.
func (c *conn) sendProgressed() {
	f, timeout := c.finishing, sendTimeout
	if len(c.pending) == 0 && !f.allSent {
		f.allSent = true
		_ = unix.Shutdown(c.fd, unix.SHUT_WR)
	}
	if f.allSent {
		timeout = peerCloseTimeout
	}
	if f.allSent && f.inputEnded {
		c.fail(errFinished)
		return
	}
	c.loop.Deadlines.Set(&f.timer, c.loop.Now()+timeout)
}

// inputEndedWhileFinishing records that the other side has closed its sending side. It may still read.
func (c *conn) inputEndedWhileFinishing() {
	if c.finishing.inputEnded = true; c.finishing.allSent {
		c.fail(errFinished)
		return
	}
	c.setInterest(writable) // the end of the input would be reported again and again
}

// stopFinishing stops the timer of a connection that has ended.
func (c *conn) stopFinishing() {
	if c.finishing != nil {
		c.loop.Deadlines.Cancel(&c.finishing.timer)
	}
}

// discardInput reads and discards what has arrived, as a close over unread input would reset the connection.
func discardInput(fd int, buffer []byte) {
	const maxReads = 64 // bounds the time for one connection
	for range maxReads {
		if n, err := unix.Read(fd, buffer); n <= 0 || err != nil {
			return
		}
	}
}
