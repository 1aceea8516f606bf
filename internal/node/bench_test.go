package node

import (
	"encoding/binary"
	"fmt"
	"testing"

	"thymeway/internal/conftest"
	"thymeway/internal/deadline"
	"thymeway/internal/link"
)

type quiet struct {
	h    link.Handler
	last []byte
}

func (q *quiet) Write(b []byte) { q.last = b }
func (q *quiet) Close()         {}
func (q *quiet) Pending() int   { return 0 }
func (q *quiet) Idle() bool     { return true }
func (q *quiet) CloseWrite()    {}
func (q *quiet) Abort()         { q.Close() }

type dialq struct{ all []*quiet }

func (d *dialq) Dial(addr string, h link.Handler) {
	q := &quiet{h: h}
	d.all = append(d.all, q)
	h.Opened(q)
}

func BenchmarkRequest(b *testing.B) {
	c := conftest.Example(b)
	now := 1.7e12
	q := deadline.New()
	d := &dialq{}
	n, err := New(c, d, q, func() float64 { return now }, func() {})
	if err != nil {
		b.Fatal(err)
	}
	s := n.Sessions.Accept()
	cl := &quiet{}
	s.Opened(cl)
	s.Received(append(binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, 17), 3<<16), "user\x00app\x00\x00"[:9]...))
	n.Coordinator.Turn()
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		now += 10
		q.RunDue(now)
		text := fmt.Sprintf("/* verb=lookup,txn=%016x,limit=1500,team=acme,cpu=20,heap_mb=96 */ SELECT day, count(*), max(note) FROM sales_%d.orders WHERE tag = '%x' GROUP BY day\x00", i, i%40, i)
		m := append([]byte{'Q'}, binary.BigEndian.AppendUint32(nil, uint32(len(text)+4))...)
		s.Received(append(m, text...))
		n.Coordinator.Turn()
		w := d.all[len(d.all)-1]
		now += 20
		body := "2026-01-01\t17\tsome note here\n2026-01-02\t18\tsome other note here\n"
		w.h.Received([]byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nPage-Count: 1\r\nWork-Ms: 20\r\nPeak-Mb: 90\r\nX-Report: util:0.5;queue:1\r\nContent-Length: %d\r\n\r\n%s", len(body), body)))
		n.Coordinator.Turn()
	}
}
