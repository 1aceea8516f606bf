package pg

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"thymeway/internal/result"
)

// Codes of the messages without a type, in place of a protocol version.
const (
	version3      = 3 << 16
	cancelRequest = 80877102
	sslRequest    = 80877103
	gssRequest    = 80877104
)

const mostStartup = 10000 // bytes of a message ahead of the start

var errTooLarge = errors.New("message over the size that is read")

// message is a message from a client. kind is 0 for those ahead of the start of a session.
type message struct {
	kind byte
	code uint32 // of those
	body []byte
}

// cut takes the first message from b. A length of 0 says that more bytes are needed; one that will be too large is
// known by its head.
func cut(b []byte, started bool, most int) (m message, n int, err error) {
	head := 4
	if started {
		head = 5
	}
	if len(b) < head {
		return m, 0, nil
	}
	size := int64(binary.BigEndian.Uint32(b[head-4:]))
	switch {
	case !started && (size < 8 || size > mostStartup):
		return m, 0, fmt.Errorf("start-up message of %d bytes", size)
	case started && size < 4:
		return m, 0, fmt.Errorf("message of %d bytes", size)
	case started && size > int64(most):
		return m, 0, errTooLarge
	}
	n = int(size) + head - 4
	if len(b) < n {
		return m, 0, nil
	}
	if started {
		return message{kind: b[0], body: b[5:n]}, n, nil
	}
	return message{code: binary.BigEndian.Uint32(b[4:]), body: b[8:n]}, n, nil
}

// writer builds messages to a client.
type writer struct {
	b     []byte
	start int
}

func (w *writer) open(kind byte) {
	w.b = append(w.b, kind, 0, 0, 0, 0)
	w.start = len(w.b) - 4
}

func (w *writer) close() { binary.BigEndian.PutUint32(w.b[w.start:], uint32(len(w.b)-w.start)) }

func (w *writer) text(s string) { w.b = append(append(w.b, s...), 0) }

func (w *writer) int16(v int) { w.b = binary.BigEndian.AppendUint16(w.b, uint16(v)) }

func (w *writer) int32(v uint32) { w.b = binary.BigEndian.AppendUint32(w.b, v) }

func (w *writer) ready() {
	w.open('Z')
	w.b = append(w.b, 'I')
	w.close()
}

// started is all that a new session is told.
func (w *writer) started(pid, secret uint32) {
	w.open('R')
	w.int32(0)
	w.close()
	for _, p := range [][2]string{{"server_version", "16.0"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"}, {"integer_datetimes", "on"}, {"standard_conforming_strings", "on"}} {
		w.open('S')
		w.text(p[0])
		w.text(p[1])
		w.close()
	}
	w.open('K')
	w.int32(pid)
	w.int32(secret)
	w.close()
	w.ready()
}

func (w *writer) failure(severity, code, text string) {
	w.open('E')
	for _, f := range []struct {
		k byte
		v string
	}{{'S', severity}, {'V', severity}, {'C', code}, {'M', text}} {
		w.b = append(w.b, f.k)
		w.text(f.v)
	}
	w.b = append(w.b, 0)
	w.close()
}

func (w *writer) plain(kind byte) {
	w.open(kind)
	w.close()
}

// result writes all rows, in order and unchanged, and the end of the command.
func (w *writer) result(r *result.Set) {
	const oidText = 25
	count, described, verb, columns := 0, false, r.Verb, r.Cols()
	describe := func() {
		if described {
			return
		}
		described = true
		w.open('T')
		w.int16(len(columns))
		for _, c := range columns {
			w.text(strings.ReplaceAll(c.Name, "\x00", ""))
			w.int32(0)
			w.int16(0)
			w.int32(oidText)
			w.int16(-1)
			w.int32(0xffffffff)
			w.int16(0)
		}
		w.close()
	}
	if verb == "SELECT" || verb == "WITH" || verb == "" {
		describe()
	}
	_ = r.Each(func(row []result.Cell) error {
		describe()
		w.open('D')
		w.int16(len(row))
		for _, c := range row {
			if c.Null {
				w.int32(0xffffffff)
				continue
			}
			w.int32(uint32(len(c.Text)))
			w.b = append(w.b, c.Text...)
		}
		w.close()
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
	w.open('C')
	w.text(tag)
	w.close()
}
