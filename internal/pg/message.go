package pg

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"thymeway/internal/result"
)

// Codes in start-up messages, which have no type byte: a protocol version or a special request.
const (
	protocolVersion3  = 3 << 16
	cancelRequestCode = 80877102
	sslRequestCode    = 80877103
	gssRequestCode    = 80877104
)

const maxStartupBytes = 10000 // maximum size of a start-up message

var errMessageTooLarge = errors.New("message over the size that is read")

// message is a message from a client. kind is its type byte, or 0 for a message before the start of a session.
type message struct {
	kind byte
	code uint32 // protocol version or request code of a message before the start of a session
	body []byte
}

// parseMessage parses the first message in b and returns its length, or 0 if it is not complete yet. A message longer than
// maxBytes is rejected as soon as its header is complete.
func parseMessage(b []byte, started bool, maxBytes int) (m message, n int, err error) {
	headerBytes := 4
	if started {
		headerBytes = 5
	}
	if len(b) < headerBytes {
		return m, 0, nil
	}
	size := int64(binary.BigEndian.Uint32(b[headerBytes-4:]))
	switch {
	case !started && (size < 8 || size > maxStartupBytes):
		return m, 0, fmt.Errorf("start-up message of %d bytes", size)
	case started && size < 4:
		return m, 0, fmt.Errorf("message of %d bytes", size)
	case started && size > int64(maxBytes):
		return m, 0, errMessageTooLarge
	}
	n = int(size) + headerBytes - 4
	if len(b) < n {
		return m, 0, nil
	}
	if started {
		return message{kind: b[0], body: b[5:n]}, n, nil
	}
	return message{code: binary.BigEndian.Uint32(b[4:]), body: b[8:n]}, n, nil
}

// messageWriter encodes messages to a client.
type messageWriter struct {
	buf          []byte
	lengthOffset int // offset in buf of the length field of the message that is being written
}

// begin starts a message of the given type; end must follow.
func (w *messageWriter) begin(kind byte) {
	w.buf = append(w.buf, kind, 0, 0, 0, 0)
	w.lengthOffset = len(w.buf) - 4
}

// end fills in the length of the message.
func (w *messageWriter) end() {
	binary.BigEndian.PutUint32(w.buf[w.lengthOffset:], uint32(len(w.buf)-w.lengthOffset))
}

// cString appends a zero-terminated string.
func (w *messageWriter) cString(s string) { w.buf = append(append(w.buf, s...), 0) }

// int16 appends a 16-bit integer in network byte order.
func (w *messageWriter) int16(v int) { w.buf = binary.BigEndian.AppendUint16(w.buf, uint16(v)) }

// int32 appends a 32-bit integer in network byte order.
func (w *messageWriter) int32(v uint32) { w.buf = binary.BigEndian.AppendUint32(w.buf, v) }

// readyForQuery writes a ReadyForQuery message for a session outside a transaction block.
func (w *messageWriter) readyForQuery() {
	w.begin('Z')
	w.buf = append(w.buf, 'I')
	w.end()
}

// sessionStarted writes all messages that answer a start-up message: AuthenticationOk, ParameterStatus, BackendKeyData and
// ReadyForQuery.
func (w *messageWriter) sessionStarted(pid, secret uint32) {
	w.begin('R')
	w.int32(0)
	w.end()
	for _, p := range [][2]string{{"server_version", "16.0"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"}, {"integer_datetimes", "on"}, {"standard_conforming_strings", "on"}} {
		w.begin('S')
		w.cString(p[0])
		w.cString(p[1])
		w.end()
	}
	w.begin('K')
	w.int32(pid)
	w.int32(secret)
	w.end()
	w.readyForQuery()
}

// errorResponse writes an ErrorResponse message.
func (w *messageWriter) errorResponse(severity, code, text string) {
	w.begin('E')
	for _, f := range []struct {
		fieldType byte
		value     string
	}{{'S', severity}, {'V', severity}, {'C', code}, {'M', text}} {
		w.buf = append(w.buf, f.fieldType)
		w.cString(f.value)
	}
	w.buf = append(w.buf, 0)
	w.end()
}

// emptyMessage writes a message without a body.
func (w *messageWriter) emptyMessage(kind byte) {
	w.begin(kind)
	w.end()
}

// resultSet writes all rows, in order and unchanged, and CommandComplete. Every column is described as text. Statements other
// than SELECT and WITH get a RowDescription only if they have rows.
func (w *messageWriter) resultSet(set *result.Set) {
	const oidText = 25
	count, described, verb, columns := 0, false, set.Verb, set.ColumnsOrDefault()
	describe := func() {
		if described {
			return
		}
		described = true
		w.begin('T')
		w.int16(len(columns))
		for _, c := range columns {
			w.cString(strings.ReplaceAll(c.Name, "\x00", ""))
			w.int32(0)
			w.int16(0)
			w.int32(oidText)
			w.int16(-1)
			w.int32(0xffffffff)
			w.int16(0)
		}
		w.end()
	}
	if verb == "SELECT" || verb == "WITH" || verb == "" {
		describe()
	}
	_ = set.EachRow(func(row []result.Cell) error {
		describe()
		w.begin('D')
		w.int16(len(row))
		for _, c := range row {
			if c.Null {
				w.int32(0xffffffff)
				continue
			}
			w.int32(uint32(len(c.Text)))
			w.buf = append(w.buf, c.Text...)
		}
		w.end()
		count++
		return nil
	})
	tag := verb + " " + strconv.Itoa(count)
	switch verb {
	case "INSERT":
		tag = "INSERT 0 " + strconv.Itoa(count)
	case "WITH", "":
		tag = "SELECT " + strconv.Itoa(count)
	}
	w.begin('C')
	w.cString(tag)
	w.end()
}
