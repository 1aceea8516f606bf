package main

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// session is a client's connection over the PostgreSQL protocol.
type session struct {
	conn   net.Conn
	reader *bufio.Reader
	usedAt time.Time
}

// connect opens a session.
func connect(addr string) (*session, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{conn: c, reader: bufio.NewReader(c), usedAt: time.Now()}
	body := []byte("\x00\x03\x00\x00user\x00app\x00database\x00lake\x00\x00")
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err = c.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(body)+4)), body...)); err == nil {
		_, _, err = s.readAnswer()
	}
	if err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *session) close() { _ = s.conn.Close() }

// write sends a simple query.
func (s *session) write(text string) error {
	b := binary.BigEndian.AppendUint32([]byte{'Q'}, uint32(len(text)+5))
	_, err := s.conn.Write(append(append(b, text...), 0))
	s.usedAt = time.Now()
	return err
}

// emptyQuery sends an empty query and waits for its answer.
func (s *session) emptyQuery() error {
	_ = s.conn.SetDeadline(time.Now().Add(2 * time.Second))
	if err := s.write(""); err != nil {
		return err
	}
	_, _, err := s.readAnswer()
	return err
}

// readAnswer reads messages up to ReadyForQuery. It returns the rows as text, and the code and text of an error. An answer is
// complete only with CommandComplete, an error or EmptyQueryResponse.
func (s *session) readAnswer() (rows []byte, failure string, err error) {
	for {
		head := make([]byte, 5)
		if _, err = io.ReadFull(s.reader, head); err != nil {
			return rows, failure, err
		}
		body := make([]byte, int(binary.BigEndian.Uint32(head[1:]))-4)
		if _, err = io.ReadFull(s.reader, body); err != nil {
			return rows, failure, err
		}
		switch head[0] {
		case 'Z':
			return rows, failure, nil
		case 'E':
			fields := map[byte]string{}
			for _, f := range strings.Split(string(body), "\x00") {
				if f != "" {
					fields[f[0]] = f[1:]
				}
			}
			failure = fields['C'] + " " + fields['M']
			if fields['S'] == "FATAL" {
				return rows, failure, nil
			}
		case 'D':
			cells := int(binary.BigEndian.Uint16(body))
			body = body[2:]
			for i := range cells {
				size := int(binary.BigEndian.Uint32(body))
				if i > 0 {
					rows = append(rows, '\t')
				}
				rows = append(rows, body[4:4+size]...)
				body = body[4+size:]
			}
			rows = append(rows, '\n')
		}
	}
}

// request is a client's request and its answer.
type request struct {
	id, class      string
	sentAt, doneAt time.Time
	limit          time.Duration
	outcome        string // "served", "refused", "failed", "none" (no answer in time) or "closed" (the connection ended)
	text           string // of a refusal or failure
	rows           []byte
}

// errGaveUp is the error of a client that has waited for its whole limit.
var errGaveUp = errors.New("no answer in time")

// ask sends a request on a session and waits for its answer, for at most half a second longer than its limit.
func (s *session) ask(r *request, text string) error {
	r.sentAt = time.Now()
	_ = s.conn.SetDeadline(r.sentAt.Add(r.limit + 500*time.Millisecond))
	err := s.write(text)
	var failure string
	if err == nil {
		r.rows, failure, err = s.readAnswer()
	}
	r.doneAt, s.usedAt, r.text = time.Now(), time.Now(), failure
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		r.outcome = "none"
		return errGaveUp
	case err != nil:
		r.outcome, r.text = "closed", err.Error()
	case strings.HasPrefix(failure, "53") || strings.HasPrefix(failure, "57P03"):
		r.outcome = "refused"
	case failure != "":
		r.outcome = "failed"
	default:
		r.outcome = "served"
	}
	return err
}

// statement returns the text of a request with its fields.
func (w *world) statement(r *request, tenant, item string, work float64) string {
	fields := fmt.Sprintf("verb=%s,txn=%s,limit=%d,team=%s,cpu=%.1f,heap_mb=40", r.class, r.id, r.limit.Milliseconds(), tenant, work)
	text := fmt.Sprintf("SELECT day, count(*), max(note) FROM sales_%d.orders WHERE tag = '%s' GROUP BY day", w.draw(12), r.id[:4])
	if r.class == "load" {
		fields += ",item=" + item + ",unique=" + r.id + r.id
		text = fmt.Sprintf("INSERT INTO sales_%d.orders SELECT * FROM staging.rows WHERE tag = '%s'", w.draw(12), r.id[:4])
	}
	return "/* " + fields + " */ " + text
}

// insertOverHTTP sends an INSERT of some rows over ClickHouse's HTTP interface, on a connection of its own, with its body packed
// by gzip. It returns the status, 0 for none.
func (w *world) insertOverHTTP(number int) (status int) {
	var packed bytes.Buffer
	z, _ := gzip.NewWriterLevel(&packed, gzip.BestCompression)
	fmt.Fprintf(z, "INSERT INTO sales_%d.stock VALUES ", number%12)
	rows := strings.Repeat("(17,'branch-017','2026-12-04','in stock'),", insertRows)
	_, _ = io.WriteString(z, strings.TrimSuffix(rows, ","))
	_ = z.Close()
	url := fmt.Sprintf("http://%s/?user=%s&max_execution_time=19&order_key=branch-%d", w.node.http, tenants[number%len(tenants)], number)
	request, err := http.NewRequest("POST", url, &packed)
	if err != nil {
		notRun("%v", err)
	}
	request.Header.Set("Content-Encoding", "gzip")
	request.Close = true
	w.record.add("http client %d sent bytes=%d unpacked=%d", number, packed.Len(), len(rows))
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 25 * time.Second}
	answer, err := client.Do(request)
	if err != nil {
		w.record.add("http client %d answer error=%q", number, err)
		return 0
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(answer.Body)
	w.record.add("http client %d answer status=%d text=%.100q", number, answer.StatusCode, text)
	return answer.StatusCode
}

// insertRows is the number of rows of an INSERT. With it the text has some 924,000 bytes, below max_body_kb (1,024 KB).
const insertRows = 22000
