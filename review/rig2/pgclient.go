package main

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// pgConn is a session of a PostgreSQL client.
type pgConn struct {
	net.Conn
	reader      *bufio.Reader
	pid, secret uint32
}

// answer is the end of one query, as its client sees it.
type answer struct {
	kind string // served, empty, refused, failed, or lost: the connection ended or the time was over with no whole answer
	code string // SQLSTATE of an error
	text string
	rows []string // columns joined with tabs
	at   time.Time
}

func (a answer) String() string {
	if a.code != "" {
		return fmt.Sprintf("%s (%s %s)", a.kind, a.code, a.text)
	}
	if a.kind == "served" {
		return fmt.Sprintf("served, %d rows", len(a.rows))
	}
	return strings.TrimSpace(a.kind + " " + a.text)
}

// dialPG opens a session.
func dialPG(addr string) (*pgConn, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	c := &pgConn{Conn: conn, reader: bufio.NewReader(conn)}
	body := append([]byte{0, 3, 0, 0}, "user\x00app\x00database\x00lake\x00\x00"...)
	_, err = c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4)), body...))
	for err == nil {
		var kind byte
		var text []byte
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
		kind, text, err = c.readMessage()
		switch {
		case err != nil:
		case kind == 'K' && len(text) == 8:
			c.pid, c.secret = binary.BigEndian.Uint32(text), binary.BigEndian.Uint32(text[4:])
		case kind == 'E':
			err = fmt.Errorf("refused: %v", errorFields(text))
		case kind == 'Z':
			return c, nil
		}
	}
	_ = c.Close()
	return nil, err
}

// readMessage reads one message.
func (c *pgConn) readMessage() (kind byte, body []byte, err error) {
	head := make([]byte, 5)
	if _, err = io.ReadFull(c.reader, head); err != nil {
		return 0, nil, err
	}
	body = make([]byte, int(binary.BigEndian.Uint32(head[1:]))-4)
	_, err = io.ReadFull(c.reader, body)
	return head[0], body, err
}

// errorFields returns the fields of an error by their type.
func errorFields(body []byte) map[byte]string {
	fields := map[byte]string{}
	for _, field := range strings.Split(string(body), "\x00") {
		if field != "" {
			fields[field[0]] = field[1:]
		}
	}
	return fields
}

// queryMessage returns a simple query as it is written.
func queryMessage(text string) []byte {
	return append(append(binary.BigEndian.AppendUint32([]byte{'Q'}, uint32(len(text)+5)), text...), 0)
}

// query sends one simple query and reads its answer.
func (c *pgConn) query(text string, patience time.Duration) answer {
	if _, err := c.Write(queryMessage(text)); err != nil {
		return answer{kind: "lost", text: err.Error(), at: time.Now()}
	}
	return c.readAnswer(patience)
}

// readAnswer reads the answer to one query. An error of severity FATAL is an answer, after which the connection ends.
func (c *pgConn) readAnswer(patience time.Duration) (a answer) {
	_ = c.SetReadDeadline(time.Now().Add(patience))
	for {
		kind, body, err := c.readMessage()
		if err != nil {
			return answer{kind: "lost", text: err.Error(), at: time.Now()}
		}
		switch kind {
		case 'I':
			a.kind = "empty"
		case 'D':
			a.rows = append(a.rows, dataRow(body))
		case 'C':
			a.kind = "served"
		case 'E':
			fields := errorFields(body)
			a.kind, a.code, a.text = "failed", fields['C'], fields['M']
			if strings.HasPrefix(a.code, "53") || a.code == "57P03" {
				a.kind = "refused"
			}
			if fields['S'] == "FATAL" {
				a.at = time.Now()
				return a
			}
		case 'Z':
			a.at = time.Now()
			return a
		}
	}
}

// dataRow returns the columns of a row, joined with tabs.
func dataRow(body []byte) string {
	var columns []string
	for body = body[2:]; len(body) >= 4; {
		n := int(int32(binary.BigEndian.Uint32(body)))
		body = body[4:]
		if n < 0 {
			columns = append(columns, "NULL")
			continue
		}
		columns, body = append(columns, string(body[:n])), body[n:]
	}
	return strings.Join(columns, "\t")
}

func (c *pgConn) close() { _ = c.Close() }

// fields returns the comment with the fields of a request.
func fields(verb, txn string, limit int, more string) string {
	return fmt.Sprintf("/* verb=%s,txn=%s,limit=%d,team=acme%s */ ", verb, txn, limit, more)
}
