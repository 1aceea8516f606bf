package main

import (
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// link is the network between a coordinator and an engine. While it is cut, nothing passes: open connections stay open and
// silent, and new ones never come up. What was written in the meantime is on its way and arrives when the cut ends.
type link struct {
	addr, target string
	listener     int
	mu           sync.Mutex
	isCut        bool
	whole        *sync.Cond
	fillers      []net.Conn
	fillerAddrs  map[string]bool
	open         map[net.Conn]bool
	spoils       func(answer []byte) []byte        // returns an answer as it arrives; nil: unchanged
	loses        func(answer []byte) bool          // whether an answer is lost and its connection reset; nil: none is
	copies       func(answer []byte) time.Duration // how late a second copy of an answer comes; 0: there is none. nil: no copies
}

// listenBacklog is the number of connections that the system keeps for a link until they are accepted.
const listenBacklog = 1

// startLink starts a link to an address.
func startLink(target string) (*link, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, 64); err != nil {
		return nil, err
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		return nil, err
	}
	l := &link{target: target, listener: fd, fillerAddrs: map[string]bool{}, open: map[net.Conn]bool{},
		addr: net.JoinHostPort("127.0.0.1", strconv.Itoa(name.(*syscall.SockaddrInet4).Port))}
	l.whole = sync.NewCond(&l.mu)
	go l.accept()
	return l, nil
}

// waitWhole waits until the link is not cut.
func (l *link) waitWhole() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.isCut {
		l.whole.Wait()
	}
}

// accept takes connections for as long as the case runs. The loop is blocked in accept when a cut begins, so it may take one
// more connection, which is the first filler.
func (l *link) accept() {
	for {
		l.waitWhole()
		fd, from, err := syscall.Accept(l.listener)
		if errors.Is(err, syscall.EINTR) || errors.Is(err, syscall.ECONNABORTED) {
			continue
		}
		if err != nil {
			return
		}
		syscall.CloseOnExec(fd)
		port := strconv.Itoa(from.(*syscall.SockaddrInet4).Port)
		l.mu.Lock()
		filler := l.fillerAddrs[port]
		l.mu.Unlock()
		if filler {
			_ = syscall.Close(fd)
			continue
		}
		go l.carry(fd)
	}
}

// carry passes bytes between an accepted connection and the target.
func (l *link) carry(fd int) {
	near := fdConn(fd)
	defer near.Close()
	l.mu.Lock()
	l.open[near] = true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.open, near)
	}()
	far, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer far.Close()
	done := make(chan struct{}, 2)
	var writing sync.Mutex
	pass := func(from, to net.Conn) {
		defer func() { done <- struct{}{} }()
		buffer := make([]byte, 64<<10)
		for {
			n, err := from.Read(buffer)
			l.waitWhole()
			if n > 0 && to == near && l.loses != nil && l.loses(buffer[:n]) {
				if tcp, ok := near.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0)
				}
				_ = near.Close()
				return
			}
			if n > 0 {
				arriving := buffer[:n]
				if to == near && l.spoils != nil {
					arriving = l.spoils(arriving)
				}
				writing.Lock()
				_, err := to.Write(arriving)
				writing.Unlock()
				if err != nil {
					return
				}
				if to == near && l.copies != nil {
					if late := l.copies(buffer[:n]); late > 0 {
						second := append([]byte(nil), buffer[:n]...)
						time.AfterFunc(late, func() {
							writing.Lock()
							defer writing.Unlock()
							_, _ = to.Write(second)
						})
					}
				}
			}
			if err != nil {
				if c, ok := to.(interface{ CloseWrite() error }); ok {
					_ = c.CloseWrite()
				}
				return
			}
		}
	}
	go pass(near, far)
	go pass(far, near)
	<-done
	<-done
}

// fdConn returns a connection for an accepted descriptor.
func fdConn(fd int) net.Conn {
	_ = syscall.SetNonblock(fd, true)
	file := os.NewFile(uintptr(fd), "connection")
	defer file.Close()
	conn, err := net.FileConn(file)
	if err != nil {
		return closedConn{}
	}
	return conn
}

// closedConn is a connection that has ended.
type closedConn struct{ net.Conn }

func (closedConn) Read([]byte) (int, error)  { return 0, io.EOF }
func (closedConn) Write([]byte) (int, error) { return 0, io.ErrClosedPipe }
func (closedConn) Close() error              { return nil }

// cut begins a cut. It fills the system's queue of connections, so that further ones never come up.
func (l *link) cut() error {
	l.mu.Lock()
	l.isCut = true
	l.mu.Unlock()
	if err := syscall.Listen(l.listener, listenBacklog); err != nil {
		return err
	}
	for range 16 {
		c, err := net.DialTimeout("tcp", l.addr, 100*time.Millisecond)
		if err != nil {
			return nil // the queue is full
		}
		_, port, err := net.SplitHostPort(c.LocalAddr().String())
		if err != nil {
			return err
		}
		l.mu.Lock()
		l.fillers, l.fillerAddrs[port] = append(l.fillers, c), true
		l.mu.Unlock()
	}
	return errors.New("the link can't be cut: connections still come up")
}

// refuse ends the listening: open connections go on, and new ones are refused, as by a process that drains.
func (l *link) refuse() { _ = syscall.Shutdown(l.listener, syscall.SHUT_RD) }

// resetAll resets all open connections on the coordinator's side. What has come to the engine has come.
func (l *link) resetAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// heal ends a cut.
func (l *link) heal() {
	l.mu.Lock()
	for _, c := range l.fillers {
		_ = c.Close()
	}
	l.fillers, l.isCut = nil, false
	l.mu.Unlock()
	_ = syscall.Listen(l.listener, 64)
	l.whole.Broadcast()
}
