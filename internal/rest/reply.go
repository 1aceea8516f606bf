package rest

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"thymeway/choice"
	"thymeway/internal/http1"
)

// Limits of what a worker group may write in one answer.
const (
	mostHead    = 16 << 10
	mostBody    = 64 << 10
	mostInterim = 16      // answers with a status of 1xx ahead of one
	mostKept    = 8 << 10 // bytes of room that a resting connection keeps
)

// reply is one answer of a worker group.
type reply struct {
	status   int
	noEffect bool
	pages    int // Page-Count, 0 if absent
	page     int // Page-No, -1 if absent
	tell     string
	figure   float64
	work     float64
	peak     float64
	report   choice.Report
	close    bool
	body     []byte
}

// good tells of a good end, whose further pages may still have to be read.
func (r *reply) good() bool {
	return r.status == 200 && r.pages > 0 && r.pages <= mostPages && rows(r.body, r.pages == 1)
}

// ends tells of an error, of a query turned away or of one that is not known; of no other status does the protocol know.
func (r *reply) ends() bool {
	return r.status == 500 || r.noEffect && (r.status == 503 || r.status == 504)
}

// parser takes the bytes of a connection as they come and gives whole answers.
type parser struct {
	buf     []byte
	head    *http1.Head // of the answer whose body is coming
	body    *http1.Body
	got     []byte
	interim int
}

// take adds bytes and gives the answer that they complete. One call goes at a time, so a further byte belongs to
// none: the answer is good, and the connection is of no further use.
func (p *parser) take(b []byte) (*reply, error) {
	p.buf = append(p.buf, b...)
	for p.head == nil {
		h, n, err := http1.ParseResponse(p.buf, http1.Limits{Bytes: mostHead})
		if errors.Is(err, http1.ErrShort) {
			return nil, nil
		}
		if err != nil {
			return nil, err
		}
		p.buf = append(p.buf[:0], p.buf[n:]...)
		if h.Status/100 == 1 { // an interim answer: the real one follows
			if p.interim++; p.interim > mostInterim || h.Status == 101 {
				return nil, fmt.Errorf("status %d", h.Status)
			}
			continue
		}
		if p.body, err = h.Body(mostBody); err != nil {
			return nil, err
		}
		p.head = h
	}
	got, used, err := p.body.TakeAll(p.got, p.buf)
	p.got = got
	if err != nil {
		return nil, err
	}
	p.buf = append(p.buf[:0], p.buf[used:]...)
	if !p.body.Done() {
		return nil, nil
	}
	r := &reply{status: p.head.Status, page: -1, close: p.head.Close || len(p.buf) > 0, body: p.got}
	for _, f := range p.head.Fields {
		if err := r.header(f.Name, f.Value); err != nil {
			return nil, fmt.Errorf("header %s: %v", f.Name, err)
		}
	}
	p.head, p.body, p.got, p.interim = nil, nil, nil, 0
	if p.buf = p.buf[:0]; cap(p.buf) > mostKept {
		p.buf = nil
	}
	return r, nil
}

func (r *reply) header(name, value string) (err error) {
	switch name {
	case "x-no-effect":
		r.noEffect = value == "1"
	case "page-count":
		if r.pages, err = whole(value); err == nil && (r.pages < 1 || r.pages > 1000) {
			err = fmt.Errorf("%d pages", r.pages)
		}
	case "page-no":
		r.page, err = whole(value)
	case "x-tell":
		r.tell = value
	case "figure":
		r.figure, err = number(value)
	case "work-ms":
		r.work, err = number(value)
	case "peak-mb":
		r.peak, err = number(value)
	case "x-report":
		r.report, err = report(value)
	}
	return err
}

func whole(s string) (int, error) {
	v, err := strconv.Atoi(s)
	if err != nil || v < 0 {
		return 0, fmt.Errorf("%.40q is not a whole number", s)
	}
	return v, nil
}

func number(s string) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return 0, fmt.Errorf("%.40q is not a number", s)
	}
	return v, nil
}

// report reads a load report, under the names of the settings and those of the worker groups.
func report(s string) (r choice.Report, err error) {
	if s == "" {
		return r, nil
	}
	for _, pair := range strings.FieldsFunc(s, func(c rune) bool { return c == ';' || c == ',' }) {
		k, text, ok := strings.Cut(strings.TrimSpace(pair), ":")
		if !ok {
			return r, fmt.Errorf("%.40q is not name:value", pair)
		}
		v, err := number(strings.TrimSpace(text))
		if err != nil {
			return r, err
		}
		switch k {
		case "util", "busy":
			r.Busy, r.HasBusy = v, true
		case "inflight", "rif":
			r.InFlight, r.HasInFlight = v, true
		case "queue", "q":
			r.Queue, r.HasQueue = v, true
		case "x0":
			r.MemShare, r.HasMemShare = v, true
		case "x1":
			r.DiskShare, r.HasDiskShare = v, true
		}
	}
	return r, nil
}
