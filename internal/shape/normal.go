// Package shape recognises SQL statements: their kind, the table groups that they read and write, and what makes them
// dear. It remembers statements of the same shape, that is, those that differ in literals, white space, comments and the
// case of keywords only, and learns what each shape costs.
//
// The package does no input or output, reads no clock and starts no goroutine. A Book belongs to one goroutine.
package shape

import (
	"bytes"
	"strings"
	"unicode/utf8"
)

// Dialect is the language that a statement is written in.
type Dialect uint8

// The dialects.
const (
	Postgres Dialect = iota
	ClickHouse
)

// MostText is the longest statement, in bytes, that is read at all. What is longer is not recognised.
const MostText = 1 << 20

// mostDepth bounds open brackets: ClickHouse's own max_parser_depth, and far more than people write.
const mostDepth = 1000

// Fault says why a text could not be cut into tokens.
type Fault uint8

// The faults.
const (
	Whole       Fault = iota // none
	Empty                    // no token in it
	TooLong                  // over MostText
	OpenString               // a string or quoted name without its end
	OpenComment              // a comment without its end
	Unbalanced               // brackets that do not match
	TooDeep                  // more than 1,000 open brackets
	BadByte                  // NUL or another control character
	BadText                  // not UTF-8
)

var faultNames = [...]string{"", "empty", "over-long", "open-string", "open-comment", "unbalanced", "too-deep", "bad-byte", "bad-text"}

func (f Fault) String() string { return faultNames[f] }

// A canonical text is the literal-free token stream of a statement, on which everything else rests: the shape is its hash,
// the cache compares it to the byte, and the reader sees nothing else. So what two statements of one shape are taken for
// can't differ. Its first byte is the dialect; the tokens follow, each behind a space:
//
//	word        as written; keywords, and in PostgreSQL all names, in small letters
//	"na""me"    a quoted name, whatever its quotes were
//	?           a literal or parameter
//	??          the operator ? of PostgreSQL
//	markRun N   the element ahead of it stands 2 to 8^N times in a list
//	markName    a name given by a parameter
//	markText    the rest is the text behind DO, which may hold anything
//	op          any other run of signs
const (
	markRun  = 1
	markText = 2
	markName = 3
	literal  = '?'
)

var dialectMark = [...]byte{Postgres: 'p', ClickHouse: 'c'}

// Classes of bytes.
const (
	isLetter = 1 << iota
	isDigit
	isSpace
	isOperator // characters of which PostgreSQL makes operators
	isOdd      // those that let an operator end with a sign
)

var class [256]byte

// lower maps capitals to small letters.
var lower [256]byte

func init() {
	for c := range class {
		lower[c] = byte(c)
		switch {
		case c >= 'A' && c <= 'Z':
			lower[c] = byte(c) + 'a' - 'A'
			class[c] = isLetter
		case c >= 'a' && c <= 'z', c == '_', c >= 0x80:
			class[c] = isLetter
		case c >= '0' && c <= '9':
			class[c] = isDigit
		case c == ' ', c >= '\t' && c <= '\r':
			class[c] = isSpace
		case strings.IndexByte("+-*/<>=~!@#%^&|`?", byte(c)) >= 0:
			class[c] = isOperator
			if strings.IndexByte("~!@#%^&|`?", byte(c)) >= 0 {
				class[c] |= isOdd
			}
		}
	}
}

// frame is an open bracket, or the whole statement.
type frame struct {
	open byte
	list uint8
	from int // where the present element starts in the canonical text
	prev int // the element ahead of it, ...
	size int // ... its length, 0: none, ...
	run  int // ... and how often it stood there
}

// What a frame's commas separate.
const (
	noList = iota
	listed // elements of IN or of an array
	rows   // rows of VALUES
)

// normal makes canonical texts in a buffer that it keeps.
type normal struct {
	buf    []byte // as long as it may have to be
	n      int    // of it in use
	frames []frame
	// The places of the last tokens, newest first; -1: none.
	t0, t1, t2 int
	semicolon  bool // one waits for a token behind it
	start      bool // the next token starts a statement
	insert     bool // the statement is an INSERT
	format     bool // ... and its FORMAT has come
}

const keepBuffer = 64 << 10 // bytes of a buffer that is kept

// make cuts a text into its canonical form. The result is valid up to the next call.
func (m *normal) make(text string, d Dialect) ([]byte, Fault) {
	if len(text) > MostText {
		return nil, TooLong
	}
	if need := 3*len(text) + 64; len(m.buf) < need { // a sign may become two, and a space goes ahead
		m.buf = make([]byte, max(need, 4096))
	} else if len(m.buf) > keepBuffer && need < keepBuffer {
		m.buf = make([]byte, keepBuffer)
	}
	m.buf[0], m.n = dialectMark[d], 1
	m.frames = append(m.frames[:0], frame{})
	m.t0, m.t1, m.t2 = -1, -1, -1
	m.semicolon, m.start, m.insert, m.format = false, true, false, false
	if d == Postgres {
		if !utf8.ValidString(text) {
			return nil, BadText
		}
		if strings.IndexByte(text, 0) >= 0 {
			return nil, BadByte
		}
	}
	if f := m.cut(text, d); f != Whole {
		return nil, f
	}
	if len(m.frames) > 1 {
		return nil, Unbalanced
	}
	m.element()
	if m.n == 1 {
		return nil, Empty
	}
	return m.buf[:m.n], Whole
}

func (m *normal) cut(s string, d Dialect) Fault {
	for i := 0; i < len(s); {
		c := s[i]
		k := class[c]
		switch {
		case k&isSpace != 0:
			i++
		case k&isLetter != 0:
			if c >= 0x80 && d == ClickHouse {
				return BadText // ClickHouse takes other letters in quoted names only
			}
			// Strings and names with a letter ahead of their quote.
			if j := i + 1; j < len(s) {
				switch q := s[j]; {
				case q == '\'' && (d == Postgres && strings.IndexByte("eEbBxXnN", c) >= 0 || d == ClickHouse && strings.IndexByte("bBxX", c) >= 0):
					n := quoted(s[j:], c|0x20 == 'e')
					if n == 0 {
						return OpenString
					}
					m.literal()
					i = j + n
					continue
				case q == '&' && c|0x20 == 'u' && d == Postgres && j+1 < len(s) && (s[j+1] == '\'' || s[j+1] == '"'):
					n := quoted(s[j+1:], false)
					if n == 0 {
						return OpenString
					}
					if s[j+1] == '\'' {
						m.literal()
					} else { // its escapes may spell any name
						m.sign(string([]byte{markName}))
					}
					i = j + 1 + n
					continue
				}
			}
			n := i + 1
			for n < len(s) && (class[s[n]]&(isLetter|isDigit) != 0 || s[n] == '$' && d == Postgres) {
				if s[n] >= 0x80 && d == ClickHouse {
					return BadText
				}
				n++
			}
			if stop, rest := m.word(s[i:n], d); stop {
				return Whole
			} else if rest {
				m.raw(s[n:])
				return Whole
			}
			i = n
		case k&isDigit != 0:
			i += number(s[i:])
			m.number()
		case c == '\'':
			n := quoted(s[i:], d == ClickHouse)
			if n == 0 {
				return OpenString
			}
			m.literal()
			i += n
		case c == '"', c == '`' && d == ClickHouse:
			n := quoted(s[i:], d == ClickHouse)
			if n == 0 {
				return OpenString
			}
			m.name(s[i:i+n], d == ClickHouse)
			i += n
		case c == '-' && i+1 < len(s) && s[i+1] == '-', c == '#' && d == ClickHouse && i+1 < len(s) && (s[i+1] == ' ' || s[i+1] == '!'):
			n := strings.IndexByte(s[i:], '\n')
			if n < 0 {
				return Whole
			}
			i += n + 1
		case c == '/' && i+1 < len(s) && s[i+1] == '*':
			n := comment(s[i:], d == Postgres)
			if n == 0 {
				return OpenComment
			}
			i += n
		case c == '$':
			switch n, whole := dollar(s[i:]); {
			case n > 0 && !whole:
				return OpenString
			case n > 0:
				m.literal()
				i += n
			case i+1 < len(s) && class[s[i+1]]&isDigit != 0:
				for i++; i < len(s) && class[s[i]]&isDigit != 0; i++ {
				}
				m.literal()
			default:
				m.sign("$")
				i++
			}
		case c == '(' || c == '[' || c == '{':
			if c == '{' && d == ClickHouse {
				if n, name := parameter(s[i:]); n > 0 {
					if name {
						m.sign(string([]byte{markName}))
					} else {
						m.literal()
					}
					i += n
					continue
				}
			}
			if len(m.frames) > mostDepth {
				return TooDeep
			}
			m.open(c)
			i++
		case c == ')' || c == ']' || c == '}':
			f := &m.frames[len(m.frames)-1]
			if len(m.frames) == 1 || f.open != c-1 && f.open != c-2 {
				return Unbalanced
			}
			m.element()
			m.frames = m.frames[:len(m.frames)-1]
			m.char(c)
			i++
		case c == ',':
			f := &m.frames[len(m.frames)-1]
			if f.list != noList {
				m.element()
			}
			list := f.list
			f.list = noList // so that the comma itself does not end the rows
			m.char(',')
			f.list, f.from = list, m.n
			i++
		case c == ';':
			if len(m.frames) > 1 {
				return Unbalanced
			}
			m.element()
			m.frames[0] = frame{}
			m.semicolon = m.n > 1
			m.start, m.insert, m.format = true, false, false
			i++
		case c == '.':
			if i+1 < len(s) && class[s[i+1]]&isDigit != 0 && !m.operand(m.t0) {
				i += number(s[i:])
				m.number()
				continue
			}
			m.char('.')
			i++
		case k&isOperator != 0:
			n := operator(s[i:], d)
			if n == 1 && c == '?' { // a parameter where a value may stand, else an operator of PostgreSQL
				if d == ClickHouse || !m.operand(m.t0) {
					m.literal()
				} else {
					m.sign("??")
				}
			} else if n == 1 {
				m.char(c)
			} else {
				m.sign(s[i : i+n])
			}
			i += n
		case c < ' ' || c == 0x7f:
			return BadByte
		default:
			m.char(c)
			i++
		}
	}
	return Whole
}

// begin makes room for a token: the space ahead of it, and what waited for it.
func (m *normal) begin() {
	if m.semicolon {
		m.semicolon = false
		m.sign(";")
	}
	m.start = false
	m.t2, m.t1, m.t0 = m.t1, m.t0, m.n
	m.buf[m.n] = ' '
	m.n++
}

// sign adds a token as it is.
func (m *normal) sign(s string) {
	m.endRows(s[0])
	m.begin()
	m.n += copy(m.buf[m.n:], s)
}

// char adds a token of one byte.
func (m *normal) char(c byte) {
	m.endRows(c)
	m.begin()
	m.buf[m.n] = c
	m.n++
}

// endRows ends the rows of VALUES as something other than a row follows.
func (m *normal) endRows(c byte) {
	if f := &m.frames[len(m.frames)-1]; f.list == rows && c != '(' && c != ')' {
		m.element()
		f.list = noList
	}
}

// word adds a word. stop says that what follows is data, rest that it is a text to be kept as it is.
func (m *normal) word(w string, d Dialect) (stop, rest bool) {
	start := m.start
	m.endRows('a')
	if f := &m.frames[len(m.frames)-1]; f.list == listed && f.from == m.n && f.size == 0 && len(w) >= 4 && starts(w) {
		f.list = noList // IN (SELECT ...
	}
	m.begin()
	at := m.n
	for i := 0; i < len(w); i++ {
		m.buf[at+i] = lower[w[i]]
	}
	m.n += len(w)
	low := m.buf[at:m.n]
	if d == ClickHouse {
		if string(low) != w && !keyword(low) { // names keep their case there
			copy(low, w)
		}
		if m.format {
			return true, false
		}
		m.format = m.insert && len(m.frames) == 1 && string(low) == "format"
	}
	switch len(w) {
	case 2:
		return false, start && d == Postgres && string(low) == "do"
	case 4, 5:
		if string(low) == "true" || string(low) == "false" || string(low) == "null" {
			if t := m.t1; !m.is(t, "is") && !m.is(t, "not") && !m.is(t, ".") &&
				!m.is(t, "analyze") { // danger: EXPLAIN (ANALYZE FALSE) runs nothing, with TRUE it runs
				m.n = at
				m.buf[m.n] = literal
				m.n++
			}
		}
	case 6:
		switch string(low) {
		case "insert":
			m.insert = m.insert || start
		case "values":
			if f := &m.frames[len(m.frames)-1]; !m.is(m.t1, ".") {
				f.list, f.from, f.size = rows, m.n, 0
			}
		}
	}
	return false, false
}

// starts tells whether a word starts a query.
func starts(w string) bool {
	return strings.EqualFold(w, "select") || strings.EqualFold(w, "with") || strings.EqualFold(w, "values") || strings.EqualFold(w, "table")
}

// raw keeps the rest of a text. Danger: what stands behind DO is a string that is run; without it, two texts of
// unlike effect would have one shape.
func (m *normal) raw(s string) {
	m.sign(string([]byte{markText}))
	m.n += copy(m.buf[m.n:], s)
	m.semicolon = false
}

// name adds a quoted name, with its quotes made alike.
func (m *normal) name(s string, escapes bool) {
	m.endRows('"')
	m.begin()
	q := s[0]
	m.buf[m.n] = '"'
	m.n++
	for i := 1; i < len(s)-1; i++ {
		c := s[i]
		switch {
		case c == q: // doubled
			i++
		case c == '\\' && escapes && i+2 < len(s):
			i++
			c = s[i]
		}
		if c == '"' {
			m.buf[m.n] = '"'
			m.n++
		}
		m.buf[m.n] = c
		m.n++
	}
	m.buf[m.n] = '"'
	m.n++
}

func (m *normal) literal() {
	m.char(literal)
}

// number adds a number and takes its sign in: -5 and 5 are literals alike.
func (m *normal) number() {
	if t := m.t0; t >= 0 && m.n == t+2 && (m.buf[t+1] == '-' || m.buf[t+1] == '+') && !m.operand(m.t1) {
		m.n, m.t0, m.t1, m.t2 = t, m.t1, m.t2, -1
	}
	m.literal()
}

// is tells whether a word or sign is the token at a place.
func (m *normal) is(t int, w string) bool {
	end := t + 1 + len(w)
	return t >= 0 && end <= m.n && string(m.buf[t+1:end]) == w && (end == m.n || m.buf[end] == ' ')
}

// operand tells whether the token at a place ends a value, so that a sign behind it is an operator.
func (m *normal) operand(t int) bool {
	if t < 0 || t+1 >= m.n {
		return false
	}
	switch c := m.buf[t+1]; {
	case c == literal, c == '"', c == ')', c == ']', c == '}', c == markRun, c == markName:
		return true
	case class[c]&isLetter != 0:
		end := t + 1
		for end < m.n && m.buf[end] != ' ' {
			end++
		}
		return !before[string(m.buf[t+1:end])]
	}
	return false
}

func (m *normal) open(c byte) {
	list := uint8(noList)
	if c == '[' {
		list = listed
	} else if c == '(' && m.t0 >= 0 && m.n-m.t0 == 3 && m.buf[m.t0+1] == 'i' && m.buf[m.t0+2] == 'n' {
		list = listed
	}
	if f := &m.frames[len(m.frames)-1]; f.list == rows && f.from < m.n {
		m.element() // ClickHouse needs no comma between two rows
	}
	m.endRows(c)
	m.begin()
	m.buf[m.n] = c
	m.n++
	m.frames = append(m.frames, frame{open: c, list: list, from: m.n})
}

// element ends an element of a list. One that is like the one ahead of it is dropped and counted.
func (m *normal) element() {
	f := &m.frames[len(m.frames)-1]
	if f.list == noList || f.from >= m.n {
		return
	}
	size := m.n - f.from
	if f.size == 0 || f.size != size || !bytes.Equal(m.buf[f.prev:f.prev+size], m.buf[f.from:m.n]) {
		f.prev, f.size, f.run, f.from = f.from, size, 1, m.n
		return
	}
	f.run++
	m.n = f.prev + size
	m.buf[m.n], m.buf[m.n+1], m.buf[m.n+2] = ' ', markRun, '0'+byte(bucket(f.run))
	m.t0, m.t1, m.t2 = m.n, -1, -1
	m.n += 3
	f.from = m.n
}

// bucket is the power of 8 that a length does not pass, up to 7.
func bucket(n int) int {
	b := 0
	for p := 1; p < n && b < 7; p *= 8 {
		b++
	}
	return b
}

// quoted is the length of the quoted text at the start, whose quote is doubled inside it; 0 if it has no end.
func quoted(s string, escapes bool) int {
	q := s[0]
	for i := 1; i < len(s); i++ {
		switch c := s[i]; {
		case c == q:
			if i+1 >= len(s) || s[i+1] != q {
				return i + 1
			}
			i++
		case c == '\\' && escapes:
			i++
		}
	}
	return 0
}

// comment is the length of the comment in stars at the start; 0 if it has no end.
func comment(s string, nests bool) int {
	depth := 1
	for i := 2; i+1 < len(s); i++ {
		switch {
		case s[i] == '*' && s[i+1] == '/':
			if depth--; depth == 0 {
				return i + 2
			}
			i++
		case nests && s[i] == '/' && s[i+1] == '*':
			depth++
			i++
		}
	}
	return 0
}

// dollar is the length of the dollar-quoted text at the start, 0 if none starts there, and whether it has its end.
func dollar(s string) (n int, whole bool) {
	i := 1
	for i < len(s) && (class[s[i]]&isLetter != 0 || class[s[i]]&isDigit != 0 && i > 1) {
		i++
	}
	if i >= len(s) || s[i] != '$' {
		return 0, false
	}
	tag := s[:i+1]
	if j := strings.Index(s[i+1:], tag); j >= 0 {
		return i + 1 + j + len(tag), true
	}
	return len(s), false
}

// parameter is the length of the {name:Type} at the start, 0 if none starts there, and whether it gives a name.
func parameter(s string) (n int, name bool) {
	i := 1
	for i < len(s) && class[s[i]]&isSpace != 0 {
		i++
	}
	j := i
	for j < len(s) && class[s[j]]&(isLetter|isDigit) != 0 {
		j++
	}
	if j == i {
		return 0, false
	}
	for j < len(s) && class[s[j]]&isSpace != 0 {
		j++
	}
	if j >= len(s) || s[j] != ':' {
		return 0, false
	}
	const most = 256 // bytes of a type
	end := strings.IndexByte(s[j:min(len(s), j+most)], '}')
	if end < 0 {
		return 0, false
	}
	return j + end + 1, strings.EqualFold(strings.TrimSpace(s[j+1:j+end]), "Identifier")
}

// number is the length of the number at the start. Letters behind it start a word: PostgreSQL reads 1from as 1 FROM.
func number(s string) int {
	span := func(i int, hex bool) int {
		for i < len(s) && (class[s[i]]&isDigit != 0 || s[i] == '_' || hex && s[i]|0x20 >= 'a' && s[i]|0x20 <= 'f') {
			i++
		}
		return i
	}
	if len(s) > 2 && s[0] == '0' {
		switch c := s[1] | 0x20; {
		case c == 'x' && (class[s[2]]&isDigit != 0 || s[2]|0x20 >= 'a' && s[2]|0x20 <= 'f'):
			return span(2, true)
		case (c == 'o' || c == 'b') && class[s[2]]&isDigit != 0:
			return span(2, false)
		}
	}
	i := span(0, false)
	if i < len(s) && s[i] == '.' && !(i+1 < len(s) && s[i+1] == '.') {
		i = span(i+1, false)
	}
	if i < len(s) && s[i]|0x20 == 'e' {
		j := i + 1
		if j < len(s) && (s[j] == '+' || s[j] == '-') {
			j++
		}
		if j < len(s) && class[s[j]]&isDigit != 0 {
			i = span(j, false)
		}
	}
	return i
}

// operator is the length of the operator at the start.
func operator(s string, d Dialect) int {
	if d == ClickHouse {
		if len(s) > 2 && s[:3] == "<=>" {
			return 3
		}
		if len(s) > 1 {
			switch s[:2] {
			case "->", "||", "<=", ">=", "!=", "<>", "==", "@@":
				return 2
			}
		}
		return 1
	}
	// PostgreSQL takes as many signs as there are, up to a comment. Such an operator ends with + or - only if it
	// holds a sign of the second set.
	const most = 64 // danger: what is given back sign by sign must not be read anew to its end each time
	n, odd := 0, false
	for n < len(s) && n < most && class[s[n]]&isOperator != 0 {
		if n+1 < len(s) && (s[n] == '-' && s[n+1] == '-' || s[n] == '/' && s[n+1] == '*') {
			break
		}
		odd = odd || class[s[n]]&isOdd != 0
		n++
	}
	for !odd && n > 1 && (s[n-1] == '+' || s[n-1] == '-') {
		n--
	}
	return max(n, 1)
}
