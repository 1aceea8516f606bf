package node

import (
	"encoding/binary"
	"fmt"
	"testing"

	"thymeway/internal/configtest"
	"thymeway/internal/deadline"
	"thymeway/internal/transport"
)

// fakeConn is a connection that keeps the last data written to it.
type fakeConn struct {
	handler transport.Handler
	written []byte
}

func (c *fakeConn) Write(b []byte) { c.written = b }
func (c *fakeConn) Close()         {}
func (c *fakeConn) Finish()        { c.Close() }
func (c *fakeConn) Pending() int   { return 0 }
func (c *fakeConn) Idle() bool     { return true }
func (c *fakeConn) CloseWrite()    {}
func (c *fakeConn) Abort()         { c.Close() }

// fakeDialer establishes each connection at once.
type fakeDialer struct{ conns []*fakeConn }

func (d *fakeDialer) Dial(addr string, h transport.Handler) {
	conn := &fakeConn{handler: h}
	d.conns = append(d.conns, conn)
	h.Opened(conn)
}

// BenchmarkRequest measures one PostgreSQL query from its arrival to its answer. The worker group answers after 20 ms of virtual
// time.
func BenchmarkRequest(b *testing.B) {
	cfg := configtest.Example(b)
	now := 1.7e12
	deadlines := deadline.New()
	dialer := &fakeDialer{}
	n, err := New(cfg, dialer, deadlines, func() float64 { return now }, func() {})
	if err != nil {
		b.Fatal(err)
	}
	session := n.Postgres.Accept()
	client := &fakeConn{}
	session.Opened(client)
	session.Received(append(binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, 17), 3<<16),
		"user\x00app\x00\x00"[:9]...))
	n.Coordinator.Turn()
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		now += 10
		deadlines.RunDue(now)
		text := fmt.Sprintf(
			"/* verb=lookup,txn=%016x,limit=1500,team=acme,cpu=20,heap_mb=96 */ SELECT day, count(*), max(note) FROM sales_%d.orders WHERE tag = '%x' GROUP BY day\x00",
			i, i%40, i)
		message := append([]byte{'Q'}, binary.BigEndian.AppendUint32(nil, uint32(len(text)+4))...)
		session.Received(append(message, text...))
		n.Coordinator.Turn()
		conn := dialer.conns[len(dialer.conns)-1]
		now += 20
		body := "2026-01-01\t17\tsome note here\n2026-01-02\t18\tsome other note here\n"
		conn.handler.Received([]byte(fmt.Sprintf(
			"HTTP/1.1 200 OK\r\nPage-Count: 1\r\nWork-Ms: 20\r\nPeak-Mb: 90\r\nX-Report: util:0.5;queue:1\r\nContent-Length: %d\r\n\r\n%s",
			len(body), body)))
		n.Coordinator.Turn()
	}
}
