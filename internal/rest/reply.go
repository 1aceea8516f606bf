package rest

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"thymeway/choice"
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

// parser takes the bytes of a connection as they come and gives whole answers.
type parser struct {
	buf     []byte
	interim int
}

var errShort = errors.New("more bytes are needed")

// take adds bytes and gives the answer that they complete. One call goes at a time, so a further byte belongs to
// none: the answer is good, and the connection is of no further use.
func (p *parser) take(b []byte) (*reply, error) {
	p.buf = append(p.buf, b...)
	for {
		r, n, err := parse(p.buf)
		if errors.Is(err, errShort) {
			return nil, nil
		}
		if err != nil {
			return nil, err
		}
		if r.status/100 == 1 { // an interim answer: the real one follows
			if p.interim++; p.interim > mostInterim || r.status == 101 {
				return nil, fmt.Errorf("status %d", r.status)
			}
			p.buf = append(p.buf[:0], p.buf[n:]...)
			continue
		}
		r.close = r.close || n < len(p.buf)
		p.interim = 0
		if p.buf = p.buf[:0]; cap(p.buf) > mostKept {
			p.buf = nil
		}
		return r, nil
	}
}

// parse reads one answer from the start of b and tells its length.
func parse(b []byte) (*reply, int, error) {
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 {
		if len(b) > mostHead {
			return nil, 0, fmt.Errorf("head over %d bytes", mostHead)
		}
		return nil, 0, errShort
	}
	lines := strings.Split(string(b[:end]), "\r\n")
	r := &reply{page: -1}
	version, rest, _ := strings.Cut(lines[0], " ")
	code, _, _ := strings.Cut(rest, " ")
	var err error
	if r.status, err = strconv.Atoi(code); err != nil || r.status < 100 || r.status > 599 || version != "HTTP/1.1" && version != "HTTP/1.0" {
		return nil, 0, fmt.Errorf("status line %.60q", lines[0])
	}
	r.close = version == "HTTP/1.0"
	length, chunked := -1, false
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" {
			return nil, 0, fmt.Errorf("header line %.60q", line)
		}
		if err := r.header(strings.ToLower(name), strings.TrimSpace(value), &length, &chunked); err != nil {
			return nil, 0, fmt.Errorf("header %s: %v", name, err)
		}
	}
	n := end + 4
	switch {
	case r.status == 204 || r.status == 304 || r.status/100 == 1:
		return r, n, nil
	case chunked && length >= 0:
		return nil, 0, errors.New("an answer with two lengths")
	case chunked:
		body, used, err := chunks(b[n:])
		r.body = body
		return r, n + used, err
	case length < 0:
		return nil, 0, errors.New("an answer without a length")
	case len(b) < n+length:
		return nil, 0, errShort
	}
	r.body = append([]byte(nil), b[n:n+length]...)
	return r, n + length, nil
}

func (r *reply) header(name, value string, length *int, chunked *bool) (err error) {
	switch name {
	case "content-length":
		before := *length
		if *length, err = whole(value); err == nil && *length > mostBody {
			err = fmt.Errorf("%d is over %d", *length, mostBody)
		} else if err == nil && before >= 0 && before != *length {
			err = fmt.Errorf("%d and %d", before, *length)
		}
	case "transfer-encoding":
		if *chunked = strings.EqualFold(value, "chunked"); !*chunked {
			err = fmt.Errorf("%q is unknown", value)
		}
	case "connection":
		r.close = r.close && !strings.EqualFold(value, "keep-alive") || strings.EqualFold(value, "close")
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

// chunks reads a chunked body and tells its length on the wire.
func chunks(b []byte) (body []byte, used int, err error) {
	for {
		i := bytes.Index(b[used:], []byte("\r\n"))
		if i < 0 {
			if len(b)-used > 64 {
				return nil, 0, errors.New("chunk line over 64 bytes")
			}
			return nil, 0, errShort
		}
		text, _, _ := strings.Cut(string(b[used:used+i]), ";")
		size, err := strconv.ParseUint(strings.TrimSpace(text), 16, 31)
		if err != nil || len(body)+int(size) > mostBody {
			return nil, 0, fmt.Errorf("chunk size %.40q", text)
		}
		used += i + 2
		if len(b) < used+int(size)+2 {
			return nil, 0, errShort
		}
		if string(b[used+int(size):used+int(size)+2]) != "\r\n" {
			return nil, 0, errors.New("chunk without its end")
		}
		if size == 0 { // trailers are not used here
			return body, used + 2, nil
		}
		body = append(body, b[used:used+int(size)]...)
		used += int(size) + 2
	}
}
