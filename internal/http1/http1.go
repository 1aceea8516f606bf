// Package http1 reads HTTP/1.1 messages (RFC 9112) as their bytes come: heads of requests and answers, and bodies with
// a length or in chunks. It makes no copy of a body and holds none: its user does, and bounds it.
package http1

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// ErrShort says that more bytes are needed.
var ErrShort = errors.New("more bytes are needed")

// A Fault is a message that can't be read, and the status that tells its sender so.
type Fault struct {
	Status int
	Text   string
}

func (f *Fault) Error() string { return f.Text }

func fault(status int, format string, args ...any) error {
	return &Fault{status, fmt.Sprintf(format, args...)}
}

// Field is a line of a head. Names are in small letters.
type Field struct{ Name, Value string }

// Head is the head of a request or of an answer.
type Head struct {
	Method, Target string // of a request
	Status         int    // of an answer
	Minor          int    // of the version, 1.0 or 1.1
	Fields         []Field
	Length         int64 // -1: none is given
	Chunked        bool
	Close          bool // the connection ends with this message
}

// Get is the value of the first field of a name, given in small letters.
func (h *Head) Get(name string) string {
	v, _ := h.Find(name)
	return v
}

// Find is the value of the first field of a name, and whether there is one.
func (h *Head) Find(name string) (string, bool) {
	for _, f := range h.Fields {
		if f.Name == name {
			return f.Value, true
		}
	}
	return "", false
}

// Limits of a head. A zero means no limit.
type Limits struct {
	Bytes  int
	Fields int
}

// token tells whether a text may name a field or a method.
func token(s string) bool {
	for i := 0; i < len(s); i++ {
		c := s[i]
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0) {
			return false
		}
	}
	return s != ""
}

// usual are names as most write them, so that no copy in small letters is made of each.
var usual = map[string]string{}

func init() {
	for _, n := range []string{"Host", "Content-Length", "Content-Type", "Connection", "Transfer-Encoding", "User-Agent", "Accept-Encoding",
		"Accept", "Authorization", "Expect", "Page-Count", "Page-No", "X-Report", "X-Tell", "Figure", "Work-Ms", "Peak-Mb", "X-No-Effect",
		"X-ClickHouse-Summary", "X-ClickHouse-Progress", "X-ClickHouse-Format", "X-ClickHouse-Query-Id", "X-ClickHouse-User", "X-ClickHouse-Key"} {
		usual[n] = strings.ToLower(n)
	}
}

func small(name string) string {
	if n, ok := usual[name]; ok {
		return n
	}
	return strings.ToLower(name)
}

// split finds the end of a head and cuts it into its lines. Danger: what one reader takes for the end of a line and
// another does not lets a message be smuggled in another, so only CR LF ends one.
func split(b []byte, l Limits) (lines []string, n int, err error) {
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 {
		if l.Bytes > 0 && len(b) > l.Bytes {
			return nil, 0, fault(431, "head over %d bytes", l.Bytes)
		}
		return nil, 0, ErrShort
	}
	if l.Bytes > 0 && end > l.Bytes {
		return nil, 0, fault(431, "head over %d bytes", l.Bytes)
	}
	lines = strings.Split(string(b[:end]), "\r\n")
	if l.Fields > 0 && len(lines)-1 > l.Fields {
		return nil, 0, fault(431, "over %d header fields", l.Fields)
	}
	return lines, end + 4, nil
}

// ParseRequest reads the head of a request from the start of b and tells its length. It takes nothing that two readers
// could read in two ways.
func ParseRequest(b []byte, l Limits) (*Head, int, error) {
	// Danger: a sender of bare line feeds, or of nothing like HTTP, would be waited for to the end of its time.
	if i := bytes.IndexByte(b, '\n'); i == 0 || i > 0 && b[i-1] != '\r' {
		return nil, 0, fault(400, "a line that does not end with CR LF")
	} else if i < 0 && len(b) > 0 && (b[0] < 'A' || b[0] > 'Z') {
		return nil, 0, fault(400, "no request line")
	}
	lines, n, err := split(b, l)
	if err != nil {
		return nil, 0, err
	}
	part := strings.Split(lines[0], " ")
	if len(part) != 3 || !token(part[0]) || part[1] == "" {
		return nil, 0, fault(400, "request line %.60q", lines[0])
	}
	h := &Head{Method: part[0], Target: part[1], Length: -1, Fields: make([]Field, 0, len(lines)-1)}
	switch part[2] {
	case "HTTP/1.1":
		h.Minor = 1
	case "HTTP/1.0":
		h.Close = true
	default:
		return nil, 0, fault(505, "version %.20q", part[2])
	}
	for i := 0; i < len(h.Target); i++ {
		if c := h.Target[i]; c <= ' ' || c >= 0x7f {
			return nil, 0, fault(400, "byte %q in the target", c)
		}
	}
	hosts := 0
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok || !token(name) { // also a folded line, and white space ahead of the colon
			return nil, 0, fault(400, "header line %.60q", line)
		}
		value = strings.Trim(value, " \t")
		for i := 0; i < len(value); i++ {
			if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
				return nil, 0, fault(400, "byte %q in header %.40s", c, name)
			}
		}
		name = small(name)
		switch name {
		case "host":
			hosts++
		case "content-length":
			if h.Length >= 0 {
				return nil, 0, fault(400, "two lengths")
			}
			if h.Length, err = length(value); err != nil {
				return nil, 0, err
			}
		case "transfer-encoding":
			if h.Chunked || h.Minor == 0 {
				return nil, 0, fault(400, "transfer encoding out of place")
			}
			if !strings.EqualFold(value, "chunked") {
				return nil, 0, fault(501, "transfer encoding %.40q", value)
			}
			h.Chunked = true
		case "connection":
			h.connection(value)
		}
		h.Fields = append(h.Fields, Field{name, value})
	}
	switch {
	case h.Chunked && h.Length >= 0:
		return nil, 0, fault(400, "a length and chunks")
	case hosts > 1 || hosts == 0 && h.Minor == 1:
		return nil, 0, fault(400, "%d host fields", hosts)
	}
	return h, n, nil
}

func (h *Head) connection(value string) {
	for _, v := range strings.Split(value, ",") {
		switch strings.ToLower(strings.TrimSpace(v)) {
		case "close":
			h.Close = true
		case "keep-alive":
			h.Close = h.Close && h.Minor == 1
		}
	}
}

func length(s string) (int64, error) {
	for i := 0; i < len(s); i++ {
		if s[i] < '0' || s[i] > '9' {
			return 0, fault(400, "length %.40q", s)
		}
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0, fault(400, "length %.40q", s)
	}
	return v, nil
}

// ParseResponse reads the head of an answer from the start of b and tells its length. It is as strict about lengths as
// ParseRequest, and lenient about the rest.
func ParseResponse(b []byte, l Limits) (*Head, int, error) {
	lines, n, err := split(b, l)
	if err != nil {
		return nil, 0, err
	}
	h := &Head{Length: -1, Fields: make([]Field, 0, len(lines)-1)}
	version, rest, _ := strings.Cut(lines[0], " ")
	code, _, _ := strings.Cut(rest, " ")
	if h.Status, err = strconv.Atoi(code); err != nil || h.Status < 100 || h.Status > 599 || version != "HTTP/1.1" && version != "HTTP/1.0" {
		return nil, 0, fault(502, "status line %.60q", lines[0])
	}
	if version == "HTTP/1.1" {
		h.Minor = 1
	}
	h.Close = h.Minor == 0
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || name[0] == ' ' || name[0] == '\t' {
			return nil, 0, fault(502, "header line %.60q", line)
		}
		name, value = small(name), strings.TrimSpace(value)
		switch name {
		case "content-length":
			v, err := length(value)
			if err != nil {
				return nil, 0, err
			}
			if h.Length >= 0 && h.Length != v {
				return nil, 0, fault(502, "lengths %d and %d", h.Length, v)
			}
			h.Length = v
		case "transfer-encoding":
			if !strings.EqualFold(value, "chunked") {
				return nil, 0, fault(502, "transfer encoding %.40q", value)
			}
			h.Chunked = true
		case "connection":
			h.connection(value)
		}
		h.Fields = append(h.Fields, Field{name, value})
	}
	switch {
	case h.Bodiless():
		h.Length, h.Chunked = 0, false
	case h.Chunked && h.Length >= 0:
		return nil, 0, fault(502, "an answer with two lengths")
	case !h.Chunked && h.Length < 0:
		return nil, 0, fault(502, "an answer without a length")
	}
	return h, n, nil
}

// Bodiless tells whether an answer has no body by its status.
func (h *Head) Bodiless() bool { return h.Status == 204 || h.Status == 304 || h.Status/100 == 1 }

// Limits of what goes with chunks, in bytes.
const (
	mostChunkLine = 64 // of a chunk's size and extension
	mostTrailer   = 4096
)

// Body takes a body apart as it comes.
type Body struct {
	most    int64 // bytes of it
	left    int64 // of the present chunk, or of a body with a length
	got     int64
	chunked bool
	state   uint8
	trailer int
}

// States of a Body.
const (
	inData = iota
	atSize
	atEnd     // of a chunk, ahead of its CR LF
	atTrailer // behind the last chunk
	done
)

// Body starts the body of a message, of which at most so many bytes are taken. A body that will be too long is told by
// its head.
func (h *Head) Body(most int64) (*Body, error) {
	b := &Body{most: most, left: h.Length, chunked: h.Chunked}
	switch {
	case h.Chunked:
		b.state = atSize
	case h.Length > most:
		return nil, fault(413, "a body of %d bytes, %d may be", h.Length, most)
	case h.Length <= 0:
		b.state = done
	}
	return b, nil
}

// Done tells whether the body has come whole.
func (b *Body) Done() bool { return b.state == done }

// Take reads from p: data is a part of the body, valid as p is, and used how many bytes of p are done with. With used 0
// and no error more bytes are needed.
func (b *Body) Take(p []byte) (data []byte, used int, err error) {
	switch b.state {
	case inData:
		n := int(min(b.left, int64(len(p))))
		b.left -= int64(n)
		if b.got += int64(n); b.left == 0 {
			if b.state = done; b.chunked {
				b.state = atEnd
			}
		}
		return p[:n], n, nil
	case atSize:
		i := bytes.IndexByte(p, '\n')
		if i < 0 && len(p) > mostChunkLine || i > mostChunkLine {
			return nil, 0, fault(400, "chunk line over %d bytes", mostChunkLine)
		}
		if i < 0 {
			return nil, 0, nil
		}
		if i == 0 || p[i-1] != '\r' {
			return nil, 0, fault(400, "a chunk line that does not end with CR LF")
		}
		text, _, _ := strings.Cut(string(p[:i-1]), ";")
		text = strings.TrimRight(text, " \t")
		size, e := strconv.ParseUint(text, 16, 62)
		if e != nil || text[0] == '+' || strings.IndexByte(text, '_') >= 0 {
			return nil, 0, fault(400, "chunk size %.40q", text)
		}
		if b.got+int64(size) > b.most {
			return nil, 0, fault(413, "a body over %d bytes", b.most)
		}
		b.left, b.state = int64(size), inData
		if size == 0 {
			b.state = atTrailer
		}
		return nil, i + 1, nil
	case atEnd:
		if len(p) < 2 {
			return nil, 0, nil
		}
		if p[0] != '\r' || p[1] != '\n' {
			return nil, 0, fault(400, "chunk without its end")
		}
		b.state = atSize
		return nil, 2, nil
	case atTrailer: // what it holds is of no use here
		i := bytes.IndexByte(p, '\n')
		if i < 0 && b.trailer+len(p) > mostTrailer || b.trailer+i > mostTrailer {
			return nil, 0, fault(431, "trailer over %d bytes", mostTrailer)
		}
		if i < 0 {
			return nil, 0, nil
		}
		if i == 0 || p[i-1] != '\r' {
			return nil, 0, fault(400, "a trailer that does not end with CR LF")
		}
		if b.trailer += i + 1; i == 1 {
			b.state = done
		}
		return nil, i + 1, nil
	}
	return nil, 0, nil
}

// TakeAll reads as much from p as it can, adding the body's bytes to dst, and tells how many bytes of p are done with.
func (b *Body) TakeAll(dst, p []byte) (all []byte, used int, err error) {
	for !b.Done() {
		data, n, err := b.Take(p[used:])
		if err != nil || n == 0 {
			return dst, used, err
		}
		dst = append(dst, data...)
		used += n
	}
	return dst, used, nil
}
