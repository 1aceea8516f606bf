package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"thymeway/internal/standin"
)

// runSlowStatements lets statements with "slow" in them run until their crowd has gone, and others end soon.
func runSlowStatements(q standin.Query) standin.Answer {
	if strings.Contains(q.Statement, "slow") {
		return standin.Answer{RunTime: 2 * time.Second}
	}
	return standin.Answer{RunTime: 5 * time.Millisecond}
}

// startupMessage starts a session of a PostgreSQL client.
var startupMessage = append(binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, 17), 3<<16), "user\x00app\x00\x00"[:9]...)

// queryHeader returns the header of a query message with a body of the given size.
func queryHeader(size int) []byte { return binary.BigEndian.AppendUint32([]byte{'Q'}, uint32(size+4)) }

// front is what a crowd connects to.
type front int

const (
	clickHouseFront front = iota
	postgresFront
	metricsFront
)

// slowCrowd is a kind of clients that write slowly, stop in the middle, or send many header fields.
type slowCrowd struct {
	name  string
	front front
	parts [][]byte // written one after the other, with a pause between
}

// idPlaceholder stands in a part for the id of a client's request, which has idBytes digits.
const (
	idPlaceholder = "%016x"
	idBytes       = 16
)

// slowCrowds returns the crowds of all fronts.
func slowCrowds() []slowCrowd {
	pieces := func(text string, n int) (parts [][]byte) {
		for i := range n {
			parts = append(parts, []byte(text[len(text)*i/n:len(text)*(i+1)/n]))
		}
		return parts
	}
	head := "POST /?user=acme HTTP/1.1\r\nHost: x\r\n"
	longTarget := "POST /?user=acme&param_a=" + strings.Repeat("p", 60000) + " HTTP/1.1\r\nHost: x\r\n"
	longFields := head + strings.Repeat("X-Long: "+strings.Repeat("v", 690)+"\r\n", 85)
	body := "SELECT a FROM sales_1.t WHERE b = '" + strings.Repeat("x", 70000)
	openQuery := "/* verb=report,txn=" + idPlaceholder + ",limit=9000,team=acme */ SELECT a FROM sales_1.t -- slow " +
		strings.Repeat("x", 15000) + "\x00"
	return []slowCrowd{
		{"half a head", clickHouseFront, pieces(longTarget, 12)},
		{"short fields, no end", clickHouseFront, pieces(head+strings.Repeat("a:\r\n", 15000), 12)},
		{"short fields", clickHouseFront, [][]byte{[]byte(head + strings.Repeat("a:\r\n", 15000) + "\r\n")}},
		{"short fields in pieces", clickHouseFront, pieces(head+strings.Repeat("a:\r\n", 15000)+"\r\n", 12)},
		{"long fields, half a body", clickHouseFront, pieces(longFields+"Content-Length: 100\r\n\r\nSELECT a", 12)},
		{"long target, half a body", clickHouseFront, pieces(longTarget+"Content-Length: 100\r\n\r\nSELECT a", 12)},
		{"half a body", clickHouseFront, pieces(head+"Content-Length: 140000\r\n\r\n"+body, 12)},
		{"half a chunked body", clickHouseFront, pieces(head+"Transfer-Encoding: chunked\r\n\r\n22000\r\n"+body, 12)},
		{"long fields, open query", clickHouseFront, pieces(longFields+"Content-Length: 31\r\n\r\nSELECT a FROM sales_1.t -- slow", 12)},
		{"long fields at once, half a body", clickHouseFront, [][]byte{[]byte(longFields + "Content-Length: 100\r\n\r\n"), []byte("SELECT a")}},
		{"long target at once, half a body", clickHouseFront, [][]byte{[]byte(longTarget + "Content-Length: 100\r\n\r\n"), []byte("SELECT a")}},
		{"long fields at once, open query", clickHouseFront, [][]byte{[]byte(longFields + "Content-Length: 31\r\n\r\nSELECT a FROM sales_1.t -- slow")}},
		{"long target at once, open query", clickHouseFront, [][]byte{[]byte(longTarget + "Content-Length: 31\r\n\r\nSELECT a FROM sales_1.t -- slow")}},
		{"half a scrape", metricsFront, pieces("GET /metrics HTTP/1.1\r\nHost: x\r\nX-Long: "+strings.Repeat("v", 7000), 12)},
		{"short fields of a scrape", metricsFront, pieces("GET /metrics HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a:\r\n", 15000), 12)},
		{"half a start-up message", postgresFront, pieces(string(binary.BigEndian.AppendUint32(nil, 10000))+strings.Repeat("\x00", 8000), 12)},
		{"half a query", postgresFront, pieces(string(startupMessage)+string(queryHeader(16000))+strings.Repeat("x", 15000), 12)},
		{"query and half behind it", postgresFront, pieces(string(startupMessage)+string(queryHeader(len(openQuery)+idBytes-len(idPlaceholder)))+openQuery+
			string(queryHeader(16000))+strings.Repeat("x", 15000), 12)},
	}
}

// Pace and size of a crowd.
const (
	crowdSize     = 560 // nearly all client connections that 1,024 descriptors allow
	crowdWrites   = 300 * time.Millisecond
	crowdRest     = 300 * time.Millisecond // after the last part; below the time limits for a whole message
	sampleEvery   = 2 * time.Millisecond
	crowdMemoryMB = 32
)

// play connects a crowd and returns the highest memory of the program in MB. While the crowd is connected, a client with a small
// request must get an answer over each protocol.
func (p *limitedProgram) play(crowd slowCrowd, count int) (peakMB float64) {
	addr := map[front]string{clickHouseFront: p.httpAddr, postgresFront: p.pgAddr, metricsFront: p.metricsAddr}[crowd.front]
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			_ = c.Close()
		}
	}()
	for range count {
		if c, err := net.Dial("tcp", addr); err == nil {
			go func() { _, _ = io.Copy(io.Discard, c) }()
			conns = append(conns, c)
		}
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, part := range crowd.parts {
			for i, c := range conns {
				_ = c.SetWriteDeadline(time.Now().Add(time.Second))
				_, _ = c.Write(bytes.ReplaceAll(part, []byte(idPlaceholder), fmt.Appendf(nil, idPlaceholder, i+1)))
			}
			time.Sleep(crowdWrites / time.Duration(len(crowd.parts)))
		}
		p.checkAnswers()
		time.Sleep(crowdRest)
	}()
	for {
		peakMB = max(peakMB, ownMemoryMB(p.t, p.pid))
		select {
		case <-done:
			return peakMB
		case <-time.After(sampleEvery):
		}
	}
}

// checkAnswers checks that a small request gets a whole answer over each protocol: over ClickHouse's interface it may be refused for
// lack of memory, over PostgreSQL it must be served.
func (p *limitedProgram) checkAnswers() {
	client := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Post("http://"+p.httpAddr+"/?user=acme", "text/plain", strings.NewReader("SELECT a FROM sales_1.t"))
	if err != nil {
		p.t.Errorf("a small request over ClickHouse's interface: %v", err)
		return
	}
	_ = r.Body.Close()
	if r.StatusCode != 200 && r.StatusCode != 503 {
		p.t.Errorf("a small request over ClickHouse's interface gets status %d", r.StatusCode)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	conn, err := pgx.Connect(ctx, pgURL(p.pgAddr))
	if err != nil {
		p.t.Errorf("a session: %v", err)
		return
	}
	defer conn.Close(ctx)
	if _, err := conn.Exec(ctx, "/* verb=lookup,txn=ffffffffffffffff,limit=3000,team=acme,cpu=5 */ SELECT a FROM sales_2.t"); err != nil {
		p.t.Errorf("a small query: %v", err)
	}
}

// Guards against a process that is killed for its memory: hundreds of clients write slowly, stop half way through a large request or
// send heads of very many fields. Each is within the limits for one client, so only a limit on all together helps.
func TestSlowClientsExceedProcessMemory(t *testing.T) {
	for _, crowd := range slowCrowds() {
		t.Run(crowd.name, func(t *testing.T) {
			p := startLimited(t, crowdMemoryMB, runSlowStatements)
			peak := p.play(crowd, crowdSize)
			t.Logf("peak %.0f MB of %.0f", peak, p.memoryMB)
			if peak > p.memoryMB {
				t.Errorf("peak %.0f MB of %.0f", peak, p.memoryMB)
			}
		})
	}
}

// Guards against the same with thousands of sessions: a tenth of the memory is less than the smallest limit on a message for each.
func TestManySlowSessionsExceedProcessMemory(t *testing.T) {
	const sessions = 2300
	for _, crowd := range slowCrowds() {
		if crowd.front != postgresFront {
			continue
		}
		t.Run(crowd.name, func(t *testing.T) {
			p := startLimited(t, crowdMemoryMB, runSlowStatements, `"sockets": 1024`, `"sockets": 4096`)
			peak := p.play(crowd, sessions)
			t.Logf("peak %.0f MB of %.0f", peak, p.memoryMB)
			if peak > p.memoryMB {
				t.Errorf("peak %.0f MB of %.0f", peak, p.memoryMB)
			}
		})
	}
}
