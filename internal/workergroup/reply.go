package workergroup

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"thymeway/choice"
	"thymeway/internal/http1"
)

// Limits of an answer, in bytes unless said otherwise.
const (
	maxHeadBytes      = 16 << 10
	maxBodyBytes      = 64 << 10
	maxInterimAnswers = 16      // number of 1xx answers ahead of the final one
	maxIdleBuffer     = 8 << 10 // a larger input buffer is released between two answers
)

// reply is one parsed answer of a worker group.
type reply struct {
	status     int
	noEffect   bool    // X-No-Effect: the query has not run
	pageCount  int     // Page-Count, 0 if absent
	pageNumber int     // Page-No, -1 if absent
	notice     string  // X-Tell: the kind of a progress notice
	level      float64 // Figure: the level that the notice states
	workMs     float64 // Work-Ms: CPU time of the query
	peakMB     float64 // Peak-Mb: peak memory of the query
	report     choice.Report
	closeConn  bool // the connection can't be used for another call
	body       []byte
}

// hasResult reports whether the answer is the valid first page of a result; further pages may still have to be fetched.
func (r *reply) hasResult() bool {
	return r.status == 200 && r.pageCount > 0 && r.pageCount <= maxPages && validRows(r.body, r.pageCount == 1)
}

// endsWithoutResult reports whether the answer is an error, as it is also sent for an unknown query, or a rejection without
// effect. The protocol has no other status for an end without a result.
func (r *reply) endsWithoutResult() bool {
	return r.status == 500 || r.noEffect && (r.status == 503 || r.status == 504)
}

// parser assembles the bytes of a connection into whole answers.
type parser struct {
	buf            []byte
	head           *http1.Head // of the answer whose body is being received; else nil
	body           *http1.BodyDecoder
	bodyBytes      []byte
	interimAnswers int
}

// feed adds received bytes and returns the answer that they complete, or nil. As a connection carries one call at a time,
// bytes behind an answer belong to no call: the answer is valid, but the connection must be closed.
func (p *parser) feed(b []byte) (*reply, error) {
	p.buf = append(p.buf, b...)
	for p.head == nil {
		head, headBytes, err := http1.ParseResponse(p.buf, http1.Limits{MaxBytes: maxHeadBytes})
		if errors.Is(err, http1.ErrIncomplete) {
			return nil, nil
		}
		if err != nil {
			return nil, err
		}
		p.buf = append(p.buf[:0], p.buf[headBytes:]...)
		if head.Status/100 == 1 { // an interim answer; the final one follows
			if p.interimAnswers++; p.interimAnswers > maxInterimAnswers || head.Status == 101 {
				return nil, fmt.Errorf("unexpected interim answer with status %d", head.Status)
			}
			continue
		}
		if p.body, err = head.NewBodyDecoder(maxBodyBytes); err != nil {
			return nil, err
		}
		p.head = head
	}
	body, used, err := p.body.DecodeAll(p.bodyBytes, p.buf)
	p.bodyBytes = body
	if err != nil {
		return nil, err
	}
	p.buf = append(p.buf[:0], p.buf[used:]...)
	if !p.body.Done() {
		return nil, nil
	}
	r := &reply{status: p.head.Status, pageNumber: -1, closeConn: p.head.Close || len(p.buf) > 0, body: p.bodyBytes}
	for _, f := range p.head.Fields {
		if err := r.setHeader(f.Name, f.Value); err != nil {
			return nil, fmt.Errorf("header %s: %v", f.Name, err)
		}
	}
	p.head, p.body, p.bodyBytes, p.interimAnswers = nil, nil, nil, 0
	if p.buf = p.buf[:0]; cap(p.buf) > maxIdleBuffer {
		p.buf = nil
	}
	return r, nil
}

// setHeader stores a header of the protocol; others are ignored.
func (r *reply) setHeader(name, value string) (err error) {
	switch name {
	case "x-no-effect":
		r.noEffect = value == "1"
	case "page-count":
		if r.pageCount, err = parseCount(value); err == nil && (r.pageCount < 1 || r.pageCount > 1000) {
			err = fmt.Errorf("%d pages, must be 1 to 1000", r.pageCount)
		}
	case "page-no":
		r.pageNumber, err = parseCount(value)
	case "x-tell":
		r.notice = value
	case "figure":
		r.level, err = parseNumber(value)
	case "work-ms":
		r.workMs, err = parseNumber(value)
	case "peak-mb":
		r.peakMB, err = parseNumber(value)
	case "x-report":
		r.report, err = parseReport(value)
	}
	return err
}

// parseCount parses a whole number that is not negative.
func parseCount(s string) (int, error) {
	v, err := strconv.Atoi(s)
	if err != nil || v < 0 {
		return 0, fmt.Errorf("%.40q is not a non-negative whole number", s)
	}
	return v, nil
}

// parseNumber parses a finite number that is not negative.
func parseNumber(s string) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
		return 0, fmt.Errorf("%.40q is not a finite non-negative number", s)
	}
	return v, nil
}

// parseReport parses a load report. It accepts both the names used in the settings and those used by worker groups.
func parseReport(s string) (r choice.Report, err error) {
	if s == "" {
		return r, nil
	}
	for _, pair := range strings.FieldsFunc(s, func(c rune) bool { return c == ';' || c == ',' }) {
		k, text, ok := strings.Cut(strings.TrimSpace(pair), ":")
		if !ok {
			return r, fmt.Errorf("%.40q is not name:value", pair)
		}
		v, err := parseNumber(strings.TrimSpace(text))
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
