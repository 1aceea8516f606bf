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
	"thymeway/internal/link"
)

var update = flag.Bool("update", false, "write what the program answers into the exchanges")

// A player plays one exchange: lines of input, each followed by what the program does, indented.
type player struct {
	t       *testing.T
	now     float64
	queue   *deadline.Queue
	n       *Node
	out     []string
	clients map[string]*side
	dials   []*side
	woken   bool
	keys    map[string][]byte
	conf    []byte
}

// side is the far side of a connection.
type side struct {
	p      *player
	name   string
	h      link.Handler
	client bool
	web    bool // a client that speaks HTTP
	closed bool
	unread bool // bytes wait that the program was not given
	rest   []byte
}

func (s *side) Write(b []byte) {
	if s.closed {
		return
	}
	if s.web {
		s.p.say("%s< %s", s.name, strings.NewReplacer("\r\n", " | ", "\n", `\n`, "\t", `\t`).Replace(string(b)))
		return
	}
	if !s.client {
		s.p.say("%s< %s", s.name, strings.NewReplacer("\r\n", " | ", "\n", `\n`).Replace(string(b)))
		return
	}
	s.rest = append(s.rest, b...)
	for len(s.rest) > 0 {
		if s.rest[0] == 'N' && len(s.rest) == 1 {
			s.p.say("%s< no encryption", s.name)
			s.rest = nil
			return
		}
		n := 1 + int(binary.BigEndian.Uint32(s.rest[1:]))
		s.message(s.rest[0], s.rest[5:n])
		s.rest = s.rest[n:]
	}
}

func (s *side) message(kind byte, body []byte) {
	switch kind {
	case 'S':
		return
	case 'K':
		s.p.keys[s.name] = append([]byte(nil), body...)
		s.p.say("%s< K", s.name)
	case 'E':
		text := ""
		for _, f := range strings.Split(strings.Trim(string(body), "\x00"), "\x00") {
			if f[0] != 'V' {
				text += " " + f[1:]
			}
		}
		s.p.say("%s< E%s", s.name, text)
	case 'D':
		var cols []string
		for b := body[2:]; len(b) > 0; {
			n := 4 + binary.BigEndian.Uint32(b)
			cols = append(cols, string(b[4:n]))
			b = b[n:]
		}
		s.p.say("%s< D %s", s.name, strings.Join(cols, "|"))
	case 'C':
		s.p.say("%s< C %s", s.name, strings.Trim(string(body), "\x00"))
	default:
		s.p.say("%s< %c", s.name, kind)
	}
}

func (s *side) Close() {
	if !s.closed {
		s.closed = true
		s.p.say("%s closed by the program", s.name)
	}
}

func (s *side) Pending() int { return 0 }

func (s *side) Idle() bool { return !s.unread }

func (s *side) CloseWrite() {
	if !s.closed {
		s.p.say("%s ended on the program's side", s.name)
	}
}

func (s *side) Abort() {
	if !s.closed {
		s.closed = true
		s.p.say("%s aborted by the program", s.name)
	}
}

func (p *player) say(format string, args ...any) {
	p.out = append(p.out, "  "+fmt.Sprintf(format, args...))
}

// Dial takes note of a connection that the program wants.
func (p *player) Dial(addr string, h link.Handler) {
	s := &side{p: p, name: fmt.Sprintf("w%d", len(p.dials)+1), h: h}
	p.dials = append(p.dials, s)
	p.say("%s dial %s", s.name, addr)
}

// settle runs turns until nothing asks for one.
func (p *player) settle() {
	for i := 0; ; i++ {
		if i > 100 {
			p.t.Fatal("the program asks for turns without end")
		}
		p.woken = false
		p.queue.RunDue(p.now)
		p.n.Coordinator.Turn()
		if at, ok := p.queue.Next(); !p.woken && (!ok || at > p.now) {
			return
		}
	}
}

// advance goes to a time, stopping at each deadline on the way.
func (p *player) advance(to float64) {
	for {
		at, ok := p.queue.Next()
		if !ok || at > to {
			break
		}
		p.now = max(p.now, at)
		before := len(p.out)
		p.settle()
		if len(p.out) > before { // say when it happened
			p.out = append(p.out[:before], append([]string{fmt.Sprintf("  (%.0f)", p.now-start)}, p.out[before:]...)...)
		}
	}
	p.now = to
}

const start = 1.7e12

func unquote(t *testing.T, s string) string {
	v, err := strconv.Unquote(s)
	if err != nil {
		t.Fatalf("%s: %v", s, err)
	}
	return v
}

func packet(kind string, body string) []byte {
	return append(append([]byte(kind), binary.BigEndian.AppendUint32(nil, uint32(len(body)+4))...), body...)
}

// play does one line of input: NAME VERB REST.
func (p *player) play(line string) {
	f := strings.SplitN(line, " ", 3)
	for len(f) < 3 {
		f = append(f, "")
	}
	name, verb, rest := f[0], f[1], f[2]
	if name == "at" {
		ms, _ := strconv.ParseFloat(verb, 64)
		p.advance(start + ms)
		return
	}
	if name == "with" || name == "own" {
		return
	}
	if name == "leave" {
		p.n.Leave(func() { p.say("stopped") })
		return
	}
	if name == "board" {
		p.n.Watch.Start()
		return
	}
	if name == "reload" { // KEY VALUE, both as they stand in the file
		p.n.Reload(func() (config.Config, error) {
			key := regexp.MustCompile(regexp.QuoteMeta(verb) + `: "[^"]*"`)
			return config.Parse(key.ReplaceAll(p.conf, []byte(verb+": "+rest)), "", "")
		})
		return
	}
	s := p.clients[name]
	if strings.HasPrefix(name, "w") {
		i, _ := strconv.Atoi(name[1:])
		if i < 1 || i > len(p.dials) {
			p.t.Fatalf("%s: no such connection", line)
		}
		s = p.dials[i-1]
	} else if s == nil {
		s = &side{p: p, name: name, h: p.n.Sessions.Accept(), client: true}
		if p.n.Front != nil && strings.HasPrefix(name, "h") {
			s.h, s.web = p.n.Front.Accept(), true
		}
		p.clients[name] = s
		s.h.Opened(s)
	}
	send := func(b []byte) {
		if !s.closed && len(b) > 0 {
			s.h.Received(b)
		}
	}
	switch verb {
	case "start":
		send(append(binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, 17), 3<<16), "user\x00app\x00\x00"[:9]...))
	case "query": // a moment after what was before, as an engine's connection pauses after an answer
		p.advance(p.now + 5)
		send(packet("Q", rest+"\x00"))
	case "flood": // COUNT QUERY
		n, text, _ := strings.Cut(rest, " ")
		count, _ := strconv.Atoi(n)
		send(bytes.Repeat(packet("Q", text+"\x00"), count))
	case "GET", "POST", "HEAD", "PUT": // TARGET header=value ... "body"
		p.advance(p.now + 5)
		head, body, _ := strings.Cut(rest, ` "`)
		if body != "" {
			body = unquote(p.t, `"`+body)
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
	case "slowly": // the same, a byte at a time
		for _, c := range packet("Q", rest+"\x00") {
			send([]byte{c})
		}
	case "raw":
		send([]byte(unquote(p.t, rest)))
	case "cancel":
		send(append(binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, 16), 80877102), p.keys[rest]...))
	case "unread":
		s.unread = true
	case "up":
		s.h.Opened(s)
	case "end":
		for e := link.Served; e <= link.ClosedLocally; e++ {
			if e.String() == rest && !s.closed {
				s.closed = true
				s.h.Closed(e)
			}
		}
	case "endless": // HEADER LINE, without an end
		send([]byte("HTTP/1.1 200 OK\r\n"))
		for i := 0; i < 100000 && !s.closed; i++ {
			send([]byte(rest + "\r\n"))
		}
	case "reply": // STATUS header=value ... "body"
		head, body, _ := strings.Cut(rest, ` "`)
		if body != "" {
			body = unquote(p.t, `"`+body)
		}
		words := strings.Fields(head)
		text := "HTTP/1.1 " + words[0] + " -\r\n"
		for _, h := range words[1:] {
			text += strings.Replace(h, "=", ": ", 1) + "\r\n"
		}
		send([]byte(text + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)))
		if words[0] == "204" || words[0][0] == '5' { // the connection pauses
			p.settle()
			p.advance(p.now + 5)
		}
	default:
		p.t.Fatalf("%s: unknown", line)
	}
}

// TestExchanges plays each file of testdata and compares it with what the program answers now.
func TestExchanges(t *testing.T) {
	conf, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	files, _ := filepath.Glob("testdata/*.txt")
	if len(files) == 0 {
		t.Fatal("no exchanges")
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			want, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			conf := conf
			if m := regexp.MustCompile(`(?m)^with (.*): (.*)$`).FindSubmatch(want); m != nil { // a key of the file and its value
				conf = regexp.MustCompile(regexp.QuoteMeta(string(m[1]))+`: [^,}]*`).ReplaceAll(conf, append(append(m[1], ": "...), m[2]...))
			}
			c, err := config.Parse(conf, "", "")
			if err != nil {
				t.Fatal(err)
			}
			if own := regexp.MustCompile(`(?m)^own (.*)$`).FindAllSubmatch(want, -1); own != nil { // lines of our own settings
				var text []byte
				for _, m := range own {
					text = append(append(text, m[1]...), '\n')
				}
				if c.Local, err = config.ParseLocal(text); err != nil {
					t.Fatal(err)
				}
			}
			p := &player{t: t, now: start, queue: deadline.New(), clients: map[string]*side{}, keys: map[string][]byte{}, conf: conf}
			p.n, err = New(c, p, p.queue, func() float64 { return p.now }, func() { p.woken = true })
			if err != nil {
				t.Fatal(err)
			}
			for _, line := range strings.Split(strings.TrimRight(string(want), "\n"), "\n") {
				if strings.HasPrefix(line, "  ") {
					continue
				}
				p.out = append(p.out, line)
				if line != "" && line[0] != '#' {
					p.play(line)
					p.settle()
				}
			}
			got := strings.Join(p.out, "\n") + "\n"
			if *update {
				if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
			} else if got != string(want) {
				t.Errorf("the program answers otherwise:\n%s", got)
			}
		})
	}
}
