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

// Limits of a response, in bytes unless stated otherwise.
const (
	maxHeadBytes        = 16 << 10
	maxBodyBytes        = 64 << 10
	maxInterimResponses = 16      // number of responses with status 1xx before the final one
	maxIdleBuffer       = 8 << 10 // a larger input buffer is released between two responses
)

// response is a parsed HTTP response of a worker group.
type response struct {
	status     int
	noEffect   bool    // X-No-Effect: the query has not run
	pageCount  int     // Page-Count, 0 if absent
	pageNumber int     // Page-No, -1 if absent
	notice     string  // X-Tell: the kind of a progress notice, "" if there is none
	level      float64 // Figure: the level that the notice states
	workMs     float64 // Work-Ms: CPU time of the query
	peakMB     float64 // Peak-Mb: peak memory of the query
	report     choice.Report
	closeConn  bool // the connection can't be used for another call
	repeated   bool // a copy of the response follows it
	head       *http1.Head
	body       []byte
}

// checkTrailing checks bytes that were received behind the response.
func (r *response) checkTrailing(b []byte) error {
	if err := r.head.CheckTrailing(r.body, b); err != nil {
		return err
	}
	r.repeated, r.closeConn = true, true
	return nil
}

// hasResult reports whether the response is the valid first page of a result; further pages may still have to be fetched.
func (r *response) hasResult() bool {
	return r.status == 200 && r.pageCount > 0 && r.pageCount <= maxPages && validRows(r.body, r.pageCount == 1)
}

// endsWithoutResult reports whether the response is an error, which is also sent for an unknown query, or a rejection without
// effect. The protocol has no other status for an end without a result.
func (r *response) endsWithoutResult() bool {
	return r.status == 500 || r.noEffect && (r.status == 503 || r.status == 504)
}

// parser assembles the bytes of a connection into complete responses.
type parser struct {
	buf              []byte
	head             *http1.Head // of the response whose body is being received; else nil
	body             *http1.BodyDecoder
	bodyBytes        []byte
	interimResponses int
}

// feed adds received bytes and returns the response that they complete, or nil. As a connection carries one call at a time,
// bytes after a response belong to no call: unless they are a copy of the response, feed returns http1.ErrTrailingBytes.
func (p *parser) feed(b []byte) (*response, error) {
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
		if head.Status/100 == 1 { // an interim response; the final one follows
			if p.interimResponses++; p.interimResponses > maxInterimResponses || head.Status == 101 {
				return nil, fmt.Errorf("unexpected interim response with status %d", head.Status)
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
	r := &response{status: p.head.Status, pageNumber: -1, closeConn: p.head.Close, head: p.head, body: p.bodyBytes}
	if len(p.buf) > 0 {
		if err := r.checkTrailing(p.buf); err != nil {
			return nil, err
		}
	}
	for _, f := range p.head.Fields {
		if err := r.setHeader(f.Name, f.Value); err != nil {
			return nil, fmt.Errorf("header %s: %v", f.Name, err)
		}
	}
	p.head, p.body, p.bodyBytes, p.interimResponses = nil, nil, nil, 0
	if p.buf = p.buf[:0]; cap(p.buf) > maxIdleBuffer {
		p.buf = nil
	}
	return r, nil
}

// setHeader stores a header of the protocol; others are ignored.
func (r *response) setHeader(name, value string) (err error) {
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
		name, text, ok := strings.Cut(strings.TrimSpace(pair), ":")
		if !ok {
			return r, fmt.Errorf("%.40q is not name:value", pair)
		}
		value, err := parseNumber(strings.TrimSpace(text))
		if err != nil {
			return r, err
		}
		switch name {
		case "util", "busy":
			r.Busy, r.HasBusy = value, true
		case "inflight", "rif":
			r.InFlight, r.HasInFlight = value, true
		case "queue", "q":
			r.Queue, r.HasQueue = value, true
		case "x0":
			r.MemShare, r.HasMemShare = value, true
		case "x1":
			r.DiskShare, r.HasDiskShare = value, true
		}
	}
	return r, nil
}
