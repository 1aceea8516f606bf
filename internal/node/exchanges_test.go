package node

import (
	"bytes"
	"encoding/binary"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"thymeway/internal/config"
	"thymeway/internal/deadline"
	"thymeway/internal/transport"
)

var update = flag.Bool("update", false, "overwrite the recorded exchanges with the program's present output")

// scriptRunner plays one recorded exchange: lines of input, each followed by the resulting output of the program, indented.
type scriptRunner struct {
	t             *testing.T
	now           float64
	deadlines     *deadline.Queue
	node          *Node
	output        []string
	clients       map[string]*scriptedConn // by name
	engineConns   []*scriptedConn          // named w1, w2, ...
	wakeRequested bool
	cancelKeys    map[string][]byte // the BackendKeyData of PostgreSQL sessions, by the client's name
	config        []byte            // the configuration file, which "reload" modifies
}

// scriptedConn is a connection whose other side, a client or an engine, is played by the script.
type scriptedConn struct {
	runner    *scriptRunner
	name      string
	handler   transport.Handler
	isClient  bool
	http      bool // a client of the ClickHouse HTTP interface
	closed    bool
	hasUnread bool   // received bytes have not been passed to the program yet
	unparsed  []byte // output to a PostgreSQL client that is not a whole message yet
}

// Write records the program's output: an HTTP message on one line, or each PostgreSQL message on a line of its own.
func (c *scriptedConn) Write(b []byte) {
	if c.closed {
		return
	}
	if c.http {
		c.runner.print("%s< %s", c.name, strings.NewReplacer("\r\n", " | ", "\n", `\n`, "\t", `\t`).Replace(string(b)))
		return
	}
	if !c.isClient {
		c.runner.print("%s< %s", c.name, strings.NewReplacer("\r\n", " | ", "\n", `\n`).Replace(string(b)))
		return
	}
	c.unparsed = append(c.unparsed, b...)
	for len(c.unparsed) > 0 {
		if c.unparsed[0] == 'N' && len(c.unparsed) == 1 {
			c.runner.print("%s< no encryption", c.name)
			c.unparsed = nil
			return
		}
		size := 1 + int(binary.BigEndian.Uint32(c.unparsed[1:]))
		c.printMessage(c.unparsed[0], c.unparsed[5:size])
		c.unparsed = c.unparsed[size:]
	}
}

// printMessage records a PostgreSQL message. ParameterStatus messages are omitted.
func (c *scriptedConn) printMessage(kind byte, body []byte) {
	switch kind {
	case 'S':
		return
	case 'K':
		c.runner.cancelKeys[c.name] = append([]byte(nil), body...)
		c.runner.print("%s< K", c.name)
	case 'E':
		text := ""
		for _, field := range strings.Split(strings.Trim(string(body), "\x00"), "\x00") {
			if field[0] != 'V' {
				text += " " + field[1:]
			}
		}
		c.runner.print("%s< E%s", c.name, text)
	case 'D':
		var cols []string
		for b := body[2:]; len(b) > 0; {
			end := 4 + binary.BigEndian.Uint32(b)
			cols = append(cols, string(b[4:end]))
			b = b[end:]
		}
		c.runner.print("%s< D %s", c.name, strings.Join(cols, "|"))
	case 'C':
		c.runner.print("%s< C %s", c.name, strings.Trim(string(body), "\x00"))
	default:
		c.runner.print("%s< %c", c.name, kind)
	}
}

func (c *scriptedConn) Close() {
	if !c.closed {
		c.closed = true
		c.runner.print("%s closed by the program", c.name)
	}
}

func (c *scriptedConn) Finish()      { c.Close() }
func (c *scriptedConn) Pending() int { return 0 }

func (c *scriptedConn) Idle() bool { return !c.hasUnread }

func (c *scriptedConn) CloseWrite() {
	if !c.closed {
		c.runner.print("%s ended on the program's side", c.name)
	}
}

func (c *scriptedConn) Abort() {
	if !c.closed {
		c.closed = true
		c.runner.print("%s aborted by the program", c.name)
	}
}

// print adds a line to the program's output.
func (r *scriptRunner) print(format string, args ...any) {
	r.output = append(r.output, "  "+fmt.Sprintf(format, args...))
}

// Dial records a connection that the program opens. A line "up" or "end" of the script establishes it or lets it fail.
func (r *scriptRunner) Dial(addr string, h transport.Handler) {
	conn := &scriptedConn{runner: r, name: fmt.Sprintf("w%d", len(r.engineConns)+1), handler: h}
	r.engineConns = append(r.engineConns, conn)
	r.print("%s dial %s", conn.name, addr)
}

// runTurns runs event-loop turns until none is requested and no deadline is due.
func (r *scriptRunner) runTurns() {
	for i := 0; ; i++ {
		if i > 100 {
			r.t.Fatal("more than 100 event-loop turns at the same time")
		}
		r.wakeRequested = false
		r.deadlines.RunDue(r.now)
		r.node.Coordinator.Turn()
		if at, ok := r.deadlines.Next(); !r.wakeRequested && (!ok || at > r.now) {
			return
		}
	}
}

// advanceTo advances the time to target and runs turns at each deadline up to then.
func (r *scriptRunner) advanceTo(target float64) {
	for {
		at, ok := r.deadlines.Next()
		if !ok || at > target {
			break
		}
		r.now = max(r.now, at)
		before := len(r.output)
		r.runTurns()
		if len(r.output) > before { // insert the time of the output
			r.output = append(r.output[:before],
				append([]string{fmt.Sprintf("  (%.0f)", r.now-startTime)}, r.output[before:]...)...)
		}
	}
	r.now = target
}

// startTime is the time in ms at which tests begin. Scripts give times relative to it.
const startTime = 1.7e12

// unquote returns the value of a quoted Go string.
func unquote(t *testing.T, s string) string {
	v, err := strconv.Unquote(s)
	if err != nil {
		t.Fatalf("%s: %v", s, err)
	}
	return v
}

// pgMessage encodes a PostgreSQL message.
func pgMessage(kind string, body string) []byte {
	return append(append([]byte(kind), binary.BigEndian.AppendUint32(nil, uint32(len(body)+4))...), body...)
}

// playLine plays one line of input, NAME VERB ARGUMENTS. Names beginning with w are connections to engines, those beginning with
// h are clients of the ClickHouse HTTP interface if it is configured, and others are PostgreSQL clients.
func (r *scriptRunner) playLine(line string) {
	fields := strings.SplitN(line, " ", 3)
	for len(fields) < 3 {
		fields = append(fields, "")
	}
	name, verb, args := fields[0], fields[1], fields[2]
	if name == "at" {
		ms, _ := strconv.ParseFloat(verb, 64)
		r.advanceTo(startTime + ms)
		return
	}
	if name == "with" || name == "own" {
		return
	}
	if name == "leave" {
		r.node.ShutDown(func() { r.print("stopped") })
		return
	}
	if name == "board" {
		r.node.Discovery.Start()
		return
	}
	if name == "reload" { // KEY VALUE, both as written in the configuration file
		r.node.Reload(func() (config.Config, error) {
			key := regexp.MustCompile(regexp.QuoteMeta(verb) + `: "[^"]*"`)
			return config.Parse(key.ReplaceAll(r.config, []byte(verb+": "+args)), "", "")
		})
		return
	}
	conn := r.clients[name]
	if strings.HasPrefix(name, "w") {
		i, _ := strconv.Atoi(name[1:])
		if i < 1 || i > len(r.engineConns) {
			r.t.Fatalf("%s: no such connection", line)
		}
		conn = r.engineConns[i-1]
	} else if conn == nil {
		conn = &scriptedConn{runner: r, name: name, handler: r.node.Postgres.Accept(), isClient: true}
		if r.node.ClickHouse != nil && strings.HasPrefix(name, "h") {
			conn.handler, conn.http = r.node.ClickHouse.Accept(), true
		}
		r.clients[name] = conn
		conn.handler.Opened(conn)
	}
	send := func(b []byte) {
		if !conn.closed && len(b) > 0 {
			conn.handler.Received(b)
		}
	}
	switch verb {
	case "start":
		send(append(binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, 17), 3<<16), "user\x00app\x00\x00"[:9]...))
	case "query": // after a pause of 5 ms, since a connection to an engine is reused only some ms after an answer
		r.advanceTo(r.now + 5)
		send(pgMessage("Q", args+"\x00"))
	case "flood": // COUNT QUERY
		n, text, _ := strings.Cut(args, " ")
		count, _ := strconv.Atoi(n)
		send(bytes.Repeat(pgMessage("Q", text+"\x00"), count))
	case "GET", "POST", "HEAD", "PUT": // TARGET header=value ... "body"
		r.advanceTo(r.now + 5)
		head, body, _ := strings.Cut(args, ` "`)
		if body != "" {
			body = unquote(r.t, `"`+body)
		}
		words := strings.Fields(head)
		text := verb + " " + words[0] + " HTTP/1.1\r\nHost: x\r\n"
		for _, h := range words[1:] {
			text += strings.Replace(h, "=", ": ", 1) + "\r\n"
		}
		if body != "" {
			text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
		}
		send([]byte(text + "\r\n" + body))
	case "slowly": // a query, one byte at a time
		for _, c := range pgMessage("Q", args+"\x00") {
			send([]byte{c})
		}
	case "raw":
		send([]byte(unquote(r.t, args)))
	case "cancel":
		send(append(binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, 16), 80877102), r.cancelKeys[args]...))
	case "unread": // bytes have arrived that the program has not read yet
		conn.hasUnread = true
	case "up":
		conn.handler.Opened(conn)
	case "end":
		for e := transport.Served; e <= transport.ClosedLocally; e++ {
			if e.String() == args && !conn.closed {
				conn.closed = true
				conn.handler.Closed(e)
			}
		}
	case "endless": // HEADER LINE, repeated until the program closes the connection
		send([]byte("HTTP/1.1 200 OK\r\n"))
		for i := 0; i < 100000 && !conn.closed; i++ {
			send([]byte(args + "\r\n"))
		}
	case "reply": // STATUS header=value ... "body"
		head, body, _ := strings.Cut(args, ` "`)
		if body != "" {
			body = unquote(r.t, `"`+body)
		}
		words := strings.Fields(head)
		text := "HTTP/1.1 " + words[0] + " -\r\n"
		for _, h := range words[1:] {
			text += strings.Replace(h, "=", ": ", 1) + "\r\n"
		}
		send([]byte(text + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)))
		if words[0] == "204" || words[0][0] == '5' { // pass the time for which the connection is not reused
			r.runTurns()
			r.advanceTo(r.now + 5)
		}
	default:
		r.t.Fatalf("%s: unknown verb", line)
	}
}

// TestExchanges plays the input of each file in testdata and compares the program's output with the recorded one.
func TestExchanges(t *testing.T) {
	conf, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	files, _ := filepath.Glob("testdata/*.txt")
	if len(files) == 0 {
		t.Fatal("no exchanges found in testdata")
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			want, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			conf := conf
			// A "with" line replaces the value of a key of the configuration file.
			if m := regexp.MustCompile(`(?m)^with (.*): (.*)$`).FindSubmatch(want); m != nil {
				conf = regexp.MustCompile(regexp.QuoteMeta(string(m[1]))+`: [^,}]*`).ReplaceAll(conf,
					append(append(m[1], ": "...), m[2]...))
			}
			c, err := config.Parse(conf, "", "")
			if err != nil {
				t.Fatal(err)
			}
			// "own" lines hold the file of local settings.
			if localLines := regexp.MustCompile(`(?m)^own (.*)$`).FindAllSubmatch(want, -1); localLines != nil {
				var settings []byte
				for _, m := range localLines {
					settings = append(append(settings, m[1]...), '\n')
				}
				if c.Local, err = config.ParseLocal(settings); err != nil {
					t.Fatal(err)
				}
			}
			runner := &scriptRunner{t: t, now: startTime, deadlines: deadline.New(), clients: map[string]*scriptedConn{},
				cancelKeys: map[string][]byte{}, config: conf}
			runner.node, err = New(c, runner, runner.deadlines, func() float64 { return runner.now },
				func() { runner.wakeRequested = true })
			if err != nil {
				t.Fatal(err)
			}
			for _, line := range strings.Split(strings.TrimRight(string(want), "\n"), "\n") {
				if strings.HasPrefix(line, "  ") {
					continue
				}
				runner.output = append(runner.output, line)
				if line != "" && line[0] != '#' {
					runner.playLine(line)
					runner.runTurns()
				}
			}
			got := strings.Join(runner.output, "\n") + "\n"
			if *update {
				if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
			} else if got != string(want) {
				t.Errorf("the output differs from the recorded exchange:\n%s", got)
			}
		})
	}
}
