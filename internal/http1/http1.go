// Package http1 parses HTTP/1.1 messages (RFC 9112) incrementally: heads of requests and responses, and bodies with a length
// or in chunked encoding. It does not buffer bodies: the caller does, and limits their size.
package http1

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// ErrIncomplete is returned when more bytes are needed.
var ErrIncomplete = errors.New("incomplete message")

// ProtocolError describes an invalid message. Status is the HTTP status to answer its sender with.
type ProtocolError struct {
	Status  int
	Message string
}

func (e *ProtocolError) Error() string { return e.Message }

// protocolErrorf returns a ProtocolError with a formatted message.
func protocolErrorf(status int, format string, args ...any) error {
	return &ProtocolError{status, fmt.Sprintf(format, args...)}
}

// Field is a header field. Its name is in lower case.
type Field struct{ Name, Value string }

// Head holds the parsed first line and header fields of a request or a response.
type Head struct {
	Method, Target string // of a request
	Status         int    // of a response
	MinorVersion   int    // of the version: 0 for HTTP/1.0, 1 for HTTP/1.1
	Fields         []Field
	ContentLength  int64 // -1: not given
	Chunked        bool
	Close          bool // the connection is closed after this message
}

// Get returns the value of the first field with the name, which must be in lower case, or "" if there is none.
func (h *Head) Get(name string) string {
	v, _ := h.Find(name)
	return v
}

// Find returns the value of the first field with the name, which must be in lower case, and whether there is one.
func (h *Head) Find(name string) (string, bool) {
	for _, f := range h.Fields {
		if f.Name == name {
			return f.Value, true
		}
	}
	return "", false
}

// Limits bounds the size of a head. A value of zero means no limit.
type Limits struct {
	MaxBytes  int
	MaxFields int
}

// isToken reports whether s is a token, as field names and methods have to be.
func isToken(s string) bool {
	for i := 0; i < len(s); i++ {
		c := s[i]
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' ||
			strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0) {
			return false
		}
	}
	return s != ""
}

// lowerCaseNames maps field names in their usual spelling to lower case, to avoid an allocation for each.
var lowerCaseNames = map[string]string{}

func init() {
	for _, n := range []string{"Host", "Content-Length", "Content-Type", "Connection", "Transfer-Encoding", "User-Agent",
		"Accept-Encoding", "Accept", "Authorization", "Expect", "Page-Count", "Page-No", "X-Report", "X-Tell", "Figure",
		"Work-Ms", "Peak-Mb", "X-No-Effect", "X-ClickHouse-Summary", "X-ClickHouse-Progress", "X-ClickHouse-Format",
		"X-ClickHouse-Query-Id", "X-ClickHouse-User", "X-ClickHouse-Key"} {
		lowerCaseNames[n] = strings.ToLower(n)
	}
}

// lowerCase returns a field name in lower case.
func lowerCase(name string) string {
	if n, ok := lowerCaseNames[name]; ok {
		return n
	}
	return strings.ToLower(name)
}

// splitHead splits a head into its lines and returns its length. Only CR LF ends a line: if another parser on the path saw line
// ends elsewhere, a request could be smuggled inside another one.
func splitHead(b []byte, l Limits) (lines []string, n int, err error) {
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 {
		if l.MaxBytes > 0 && len(b) > l.MaxBytes {
			return nil, 0, protocolErrorf(431, "head over %d bytes", l.MaxBytes)
		}
		return nil, 0, ErrIncomplete
	}
	if l.MaxBytes > 0 && end > l.MaxBytes {
		return nil, 0, protocolErrorf(431, "head over %d bytes", l.MaxBytes)
	}
	lines = strings.Split(string(b[:end]), "\r\n")
	if l.MaxFields > 0 && len(lines)-1 > l.MaxFields {
		return nil, 0, protocolErrorf(431, "over %d header fields", l.MaxFields)
	}
	return lines, end + 4, nil
}

// ParseRequest parses the head of a request at the start of b and returns its length. It rejects everything that another
// parser could interpret differently.
func ParseRequest(b []byte, l Limits) (*Head, int, error) {
	// Without this check, input with bare line feeds or in another protocol would look incomplete, and the connection would stay
	// open until the timeout.
	if i := bytes.IndexByte(b, '\n'); i == 0 || i > 0 && b[i-1] != '\r' {
		return nil, 0, protocolErrorf(400, "a line that does not end with CR LF")
	} else if i < 0 && len(b) > 0 && (b[0] < 'A' || b[0] > 'Z') {
		return nil, 0, protocolErrorf(400, "no request line")
	}
	lines, n, err := splitHead(b, l)
	if err != nil {
		return nil, 0, err
	}
	parts := strings.Split(lines[0], " ")
	if len(parts) != 3 || !isToken(parts[0]) || parts[1] == "" {
		return nil, 0, protocolErrorf(400, "request line %.60q", lines[0])
	}
	h := &Head{Method: parts[0], Target: parts[1], ContentLength: -1, Fields: make([]Field, 0, len(lines)-1)}
	switch parts[2] {
	case "HTTP/1.1":
		h.MinorVersion = 1
	case "HTTP/1.0":
		h.Close = true
	default:
		return nil, 0, protocolErrorf(505, "version %.20q", parts[2])
	}
	for i := 0; i < len(h.Target); i++ {
		if c := h.Target[i]; c <= ' ' || c >= 0x7f {
			return nil, 0, protocolErrorf(400, "byte %q in the target", c)
		}
	}
	hosts := 0
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok || !isToken(name) { // also rejects a folded line, and white space before the colon
			return nil, 0, protocolErrorf(400, "header line %.60q", line)
		}
		value = strings.Trim(value, " \t")
		for i := 0; i < len(value); i++ {
			if c := value[i]; c < ' ' && c != '\t' || c == 0x7f {
				return nil, 0, protocolErrorf(400, "byte %q in header %.40s", c, name)
			}
		}
		name = lowerCase(name)
		switch name {
		case "host":
			hosts++
		case "content-length":
			if h.ContentLength >= 0 {
				return nil, 0, protocolErrorf(400, "two lengths")
			}
			if h.ContentLength, err = parseLength(value); err != nil {
				return nil, 0, err
			}
		case "transfer-encoding":
			if h.Chunked || h.MinorVersion == 0 {
				return nil, 0, protocolErrorf(400, "transfer encoding out of place")
			}
			if !strings.EqualFold(value, "chunked") {
				return nil, 0, protocolErrorf(501, "transfer encoding %.40q", value)
			}
			h.Chunked = true
		case "connection":
			h.parseConnection(value)
		}
		h.Fields = append(h.Fields, Field{name, value})
	}
	switch {
	case h.Chunked && h.ContentLength >= 0:
		return nil, 0, protocolErrorf(400, "a length and chunks")
	case hosts > 1 || hosts == 0 && h.MinorVersion == 1:
		return nil, 0, protocolErrorf(400, "%d host fields", hosts)
	}
	return h, n, nil
}

// parseConnection applies a Connection header.
func (h *Head) parseConnection(value string) {
	for _, option := range strings.Split(value, ",") {
		switch strings.ToLower(strings.TrimSpace(option)) {
		case "close":
			h.Close = true
		case "keep-alive":
			h.Close = h.Close && h.MinorVersion == 1
		}
	}
}

// parseLength parses the value of a Content-Length header, which must consist of digits only.
func parseLength(s string) (int64, error) {
	for i := 0; i < len(s); i++ {
		if s[i] < '0' || s[i] > '9' {
			return 0, protocolErrorf(400, "length %.40q", s)
		}
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return 0, protocolErrorf(400, "length %.40q", s)
	}
	return v, nil
}

// ParseResponse parses the head of a response at the start of b and returns its length. Like ParseRequest, it requires an
// unambiguous body length, but it accepts repeated equal Content-Length headers. It is lenient about the rest.
func ParseResponse(b []byte, l Limits) (*Head, int, error) {
	lines, n, err := splitHead(b, l)
	if err != nil {
		return nil, 0, err
	}
	h := &Head{ContentLength: -1, Fields: make([]Field, 0, len(lines)-1)}
	version, rest, _ := strings.Cut(lines[0], " ")
	code, _, _ := strings.Cut(rest, " ")
	if h.Status, err = strconv.Atoi(code); err != nil || h.Status < 100 || h.Status > 599 ||
		version != "HTTP/1.1" && version != "HTTP/1.0" {
		return nil, 0, protocolErrorf(502, "invalid status line %.60q", lines[0])
	}
	if version == "HTTP/1.1" {
		h.MinorVersion = 1
	}
	h.Close = h.MinorVersion == 0
	for _, line := range lines[1:] {
		name, value, ok := strings.Cut(line, ":")
		if !ok || name == "" || name[0] == ' ' || name[0] == '\t' {
			return nil, 0, protocolErrorf(502, "invalid header line %.60q", line)
		}
		name, value = lowerCase(name), strings.TrimSpace(value)
		switch name {
		case "content-length":
			v, err := parseLength(value)
			if err != nil {
				return nil, 0, err
			}
			if h.ContentLength >= 0 && h.ContentLength != v {
				return nil, 0, protocolErrorf(502, "conflicting content lengths %d and %d", h.ContentLength, v)
			}
			h.ContentLength = v
		case "transfer-encoding":
			if !strings.EqualFold(value, "chunked") {
				return nil, 0, protocolErrorf(502, "unsupported transfer encoding %.40q", value)
			}
			h.Chunked = true
		case "connection":
			h.parseConnection(value)
		}
		h.Fields = append(h.Fields, Field{name, value})
	}
	switch {
	case h.NoBody():
		h.ContentLength, h.Chunked = 0, false
	case h.Chunked && h.ContentLength >= 0:
		return nil, 0, protocolErrorf(502, "response with both a content length and chunked encoding")
	case !h.Chunked && h.ContentLength < 0:
		return nil, 0, protocolErrorf(502, "response with neither a content length nor chunked encoding")
	}
	return h, n, nil
}

// ErrTrailingBytes is returned for a response with other bytes behind it than its own copy. Either its length is too short, so that
// a part of its body is missing, or it belongs to another call.
var ErrTrailingBytes = errors.New("bytes behind the response")

// CheckTrailing returns ErrTrailingBytes unless rest, which was received behind a response with this head and body, is empty or
// begins with the same response once more.
func (h *Head) CheckTrailing(body, rest []byte) error {
	if len(rest) > 0 && !h.RepeatedBy(body, rest) {
		return ErrTrailingBytes
	}
	return nil
}

// RepeatedBy reports whether rest, which was received behind a response with this head and body, begins with the same response
// once more. The copy must have its whole head, while its body may be cut off.
func (h *Head) RepeatedBy(body, rest []byte) bool {
	repeat, n, err := ParseResponse(rest, Limits{})
	if err != nil || repeat.Status != h.Status || !slices.Equal(repeat.Fields, h.Fields) {
		return false
	}
	decoder, err := repeat.NewBodyDecoder(int64(len(body)))
	if err != nil {
		return false
	}
	repeatedBody, _, err := decoder.DecodeAll(nil, rest[n:])
	if decoder.Done() {
		return err == nil && bytes.Equal(repeatedBody, body)
	}
	return err == nil && bytes.HasPrefix(body, repeatedBody)
}

// NoBody reports whether a response with this status never has a body.
func (h *Head) NoBody() bool { return h.Status == 204 || h.Status == 304 || h.Status/100 == 1 }

// Limits of a chunked body's framing.
const (
	maxChunkLineBytes = 64   // bytes of the line with a chunk's size and extensions
	maxTrailerBytes   = 4096 // bytes of all trailer fields
)

// BodyDecoder decodes a body as its bytes arrive.
type BodyDecoder struct {
	maxBytes     int64 // maximum size of the body's data
	remaining    int64 // bytes of the current chunk, or of a body with a length, that have not been decoded yet
	received     int64 // bytes of the body's data that have been decoded
	chunked      bool
	state        uint8
	trailerBytes int // bytes of the trailer that have been decoded
}

// States of a BodyDecoder.
const (
	stateData      = iota // within the data of a chunk, or of a body with a length
	stateChunkSize        // before the line with the size of a chunk
	stateChunkEnd         // before the CR LF after a chunk
	stateTrailer          // after the last chunk, of size 0
	stateDone             // after the end of the body
)

// NewBodyDecoder returns a decoder for the body of the message, which may have at most maxBytes. It returns an error if the head
// already shows that the body is longer.
func (h *Head) NewBodyDecoder(maxBytes int64) (*BodyDecoder, error) {
	d := &BodyDecoder{maxBytes: maxBytes, remaining: h.ContentLength, chunked: h.Chunked}
	switch {
	case h.Chunked:
		d.state = stateChunkSize
	case h.ContentLength > maxBytes:
		return nil, protocolErrorf(413, "a body of %d bytes, %d may be", h.ContentLength, maxBytes)
	case h.ContentLength <= 0:
		d.state = stateDone
	}
	return d, nil
}

// Done reports whether the body is complete.
func (d *BodyDecoder) Done() bool { return d.state == stateDone }

// Decode decodes a part of p. It returns the bytes of the body, as a part of p, and how many bytes of p it consumed. If it
// consumes none and returns no error, more bytes are needed.
func (d *BodyDecoder) Decode(p []byte) (data []byte, used int, err error) {
	switch d.state {
	case stateData:
		n := int(min(d.remaining, int64(len(p))))
		d.remaining -= int64(n)
		if d.received += int64(n); d.remaining == 0 {
			if d.state = stateDone; d.chunked {
				d.state = stateChunkEnd
			}
		}
		return p[:n], n, nil
	case stateChunkSize:
		i := bytes.IndexByte(p, '\n')
		if i < 0 && len(p) > maxChunkLineBytes || i > maxChunkLineBytes {
			return nil, 0, protocolErrorf(400, "chunk line over %d bytes", maxChunkLineBytes)
		}
		if i < 0 {
			return nil, 0, nil
		}
		if i == 0 || p[i-1] != '\r' {
			return nil, 0, protocolErrorf(400, "a chunk line that does not end with CR LF")
		}
		text, _, _ := strings.Cut(string(p[:i-1]), ";")
		text = strings.TrimRight(text, " \t")
		size, parseErr := strconv.ParseUint(text, 16, 62)
		if parseErr != nil || text[0] == '+' || strings.IndexByte(text, '_') >= 0 {
			return nil, 0, protocolErrorf(400, "chunk size %.40q", text)
		}
		if d.received+int64(size) > d.maxBytes {
			return nil, 0, protocolErrorf(413, "a body over %d bytes", d.maxBytes)
		}
		d.remaining, d.state = int64(size), stateData
		if size == 0 {
			d.state = stateTrailer
		}
		return nil, i + 1, nil
	case stateChunkEnd:
		if len(p) < 2 {
			return nil, 0, nil
		}
		if p[0] != '\r' || p[1] != '\n' {
			return nil, 0, protocolErrorf(400, "chunk without its end")
		}
		d.state = stateChunkSize
		return nil, 2, nil
	case stateTrailer: // trailer fields are ignored
		i := bytes.IndexByte(p, '\n')
		if i < 0 && d.trailerBytes+len(p) > maxTrailerBytes || d.trailerBytes+i > maxTrailerBytes {
			return nil, 0, protocolErrorf(431, "trailer over %d bytes", maxTrailerBytes)
		}
		if i < 0 {
			return nil, 0, nil
		}
		if i == 0 || p[i-1] != '\r' {
			return nil, 0, protocolErrorf(400, "a trailer that does not end with CR LF")
		}
		if d.trailerBytes += i + 1; i == 1 {
			d.state = stateDone
		}
		return nil, i + 1, nil
	}
	return nil, 0, nil
}

// DecodeAll decodes as much of p as it can. It appends the bytes of the body to dst and returns how many bytes of p it consumed.
func (d *BodyDecoder) DecodeAll(dst, p []byte) (all []byte, used int, err error) {
	for !d.Done() {
		data, n, err := d.Decode(p[used:])
		if err != nil || n == 0 {
			return dst, used, err
		}
		dst = append(dst, data...)
		used += n
	}
	return dst, used, nil
}
