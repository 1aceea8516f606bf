// Package shape recognises SQL statements: their kind, the table groups that they read and write, and the features that
// make them expensive. Statements that differ only in literals, white space, comments and the case of keywords have the
// same shape. The package caches shapes and learns the cost of each.
//
// The package does no input or output, reads no clock and starts no goroutine. A Catalog must be used by one goroutine only.
package shape

import (
	"bytes"
	"strings"
	"unicode/utf8"
)

// Dialect is the language that a statement is written in.
type Dialect uint8

// The supported dialects.
const (
	Postgres Dialect = iota
	ClickHouse
)

// MaxStatementBytes is the longest statement that is tokenized. Longer ones are not recognised.
const MaxStatementBytes = 1 << 20

// maxBracketDepth limits nested brackets. It equals ClickHouse's max_parser_depth and is far beyond what statements need.
const maxBracketDepth = 1000

// LexError says why a text could not be split into tokens.
type LexError uint8

// The lexical errors.
const (
	NoLexError          LexError = iota // the text was read to its end
	EmptyText                           // the text holds no token
	TextTooLong                         // longer than MaxStatementBytes
	UnterminatedString                  // a string or quoted name without a closing quote
	UnterminatedComment                 // a block comment that is not closed
	UnbalancedBrackets                  // brackets that do not match
	BracketsTooDeep                     // more than maxBracketDepth open brackets
	ControlCharacter                    // NUL or another control character
	InvalidCharacter                    // not UTF-8, or a non-ASCII character outside quotes in ClickHouse
)

var lexErrorNames = [...]string{"", "empty", "over-long", "open-string", "open-comment", "unbalanced", "too-deep", "bad-byte",
	"bad-text"}

func (e LexError) String() string { return lexErrorNames[e] }

// A canonical text is the token stream of a statement without its literals. The shape ID is its hash, the cache compares it
// byte for byte, and the parser sees nothing else, so two statements of one shape are always recognised alike. The first
// byte is the dialect; the tokens follow, each preceded by a space:
//
//	word             as written; keywords, and in PostgreSQL all names, in lower case
//	"na""me"         a quoted name, in double quotes whatever the source used
//	?                a literal or parameter
//	??               the PostgreSQL operator ?
//	markRepeat N     the preceding list element occurs 8^(N-1)+1 to 8^N times; 7 is the largest N
//	markHiddenName   a name given by a parameter or in Unicode escapes
//	markDoBody       the rest is the raw text after DO, which may hold any bytes
//	op               any other operator or punctuation
const (
	markRepeat     = 1
	markDoBody     = 2
	markHiddenName = 3
	markLiteral    = '?'
)

// dialectMark is the first byte of a canonical text.
var dialectMark = [...]byte{Postgres: 'p', ClickHouse: 'c'}

// Character classes of bytes.
const (
	classLetter = 1 << iota
	classDigit
	classSpace
	classOperator     // characters that PostgreSQL operators consist of
	classTrailingSign // operator characters that allow an operator to end with + or -
)

var byteClass [256]byte

// lowerCase maps ASCII upper-case letters to lower case.
var lowerCase [256]byte

func init() {
	for c := range byteClass {
		lowerCase[c] = byte(c)
		switch {
		case c >= 'A' && c <= 'Z':
			lowerCase[c] = byte(c) + 'a' - 'A'
			byteClass[c] = classLetter
		case c >= 'a' && c <= 'z', c == '_', c >= 0x80:
			byteClass[c] = classLetter
		case c >= '0' && c <= '9':
			byteClass[c] = classDigit
		case c == ' ', c >= '\t' && c <= '\r':
			byteClass[c] = classSpace
		case strings.IndexByte("+-*/<>=~!@#%^&|`?", byte(c)) >= 0:
			byteClass[c] = classOperator
			if strings.IndexByte("~!@#%^&|`?", byte(c)) >= 0 {
				byteClass[c] |= classTrailingSign
			}
		}
	}
}

// bracketFrame is the normalizer's state for one open bracket, or for the top level of a statement.
type bracketFrame struct {
	bracket       byte
	listKind      uint8
	elementStart  int // start of the current list element in the canonical text
	previousStart int // start of the preceding element
	previousSize  int // length of the preceding element, 0 if there is none
	repeats       int // number of consecutive occurrences of the preceding element
}

// Kinds of lists whose repeated elements are collapsed.
const (
	noList     = iota
	valueList  // elements of IN (...) or of an array
	valuesRows // rows of VALUES
)

// normalizer builds canonical texts in a buffer that it reuses.
type normalizer struct {
	buf    []byte // sized for the longest canonical text of the current statement
	length int    // bytes of buf in use
	frames []bracketFrame
	// Positions of the last tokens in buf, -1 if there is none.
	lastToken, secondLastToken, thirdLastToken int
	pendingSemicolon                           bool // a semicolon is written only if another token follows
	atStatementStart                           bool // the next token starts a statement
	inInsert                                   bool // the statement is an INSERT
	formatSeen                                 bool // the FORMAT keyword of the INSERT was read
}

// maxKeptBufferBytes is the largest buffer that is kept after a long statement.
const maxKeptBufferBytes = 64 << 10

// normalize returns the canonical form of a text. The result is valid until the next call.
func (m *normalizer) normalize(text string, dialect Dialect) ([]byte, LexError) {
	if len(text) > MaxStatementBytes {
		return nil, TextTooLong
	}
	if need := 3*len(text) + 64; len(m.buf) < need { // a one-byte token may become two bytes and a space
		m.buf = make([]byte, max(need, 4096))
	} else if len(m.buf) > maxKeptBufferBytes && need < maxKeptBufferBytes {
		m.buf = make([]byte, maxKeptBufferBytes)
	}
	m.buf[0], m.length = dialectMark[dialect], 1
	m.frames = append(m.frames[:0], bracketFrame{})
	m.lastToken, m.secondLastToken, m.thirdLastToken = -1, -1, -1
	m.pendingSemicolon, m.atStatementStart, m.inInsert, m.formatSeen = false, true, false, false
	if dialect == Postgres {
		if !utf8.ValidString(text) {
			return nil, InvalidCharacter
		}
		if strings.IndexByte(text, 0) >= 0 {
			return nil, ControlCharacter
		}
	}
	if lexErr := m.lex(text, dialect); lexErr != NoLexError {
		return nil, lexErr
	}
	if len(m.frames) > 1 {
		return nil, UnbalancedBrackets
	}
	m.endElement()
	if m.length == 1 {
		return nil, EmptyText
	}
	return m.buf[:m.length], NoLexError
}

// lex splits a text into tokens and adds them to the canonical text.
func (m *normalizer) lex(s string, dialect Dialect) LexError {
	for i := 0; i < len(s); {
		c := s[i]
		classes := byteClass[c]
		switch {
		case classes&classSpace != 0:
			i++
		case classes&classLetter != 0:
			if c >= 0x80 && dialect == ClickHouse {
				return InvalidCharacter // ClickHouse accepts non-ASCII letters in quoted names only
			}
			// Strings and names with a prefix letter before their quote.
			if j := i + 1; j < len(s) {
				switch quote := s[j]; {
				case quote == '\'' && (dialect == Postgres && strings.IndexByte("eEbBxXnN", c) >= 0 ||
					dialect == ClickHouse && strings.IndexByte("bBxX", c) >= 0):
					n := quotedLength(s[j:], c|0x20 == 'e')
					if n == 0 {
						return UnterminatedString
					}
					m.addLiteral()
					i = j + n
					continue
				case quote == '&' && c|0x20 == 'u' && dialect == Postgres && j+1 < len(s) && (s[j+1] == '\'' || s[j+1] == '"'):
					n := quotedLength(s[j+1:], false)
					if n == 0 {
						return UnterminatedString
					}
					if s[j+1] == '\'' {
						m.addLiteral()
					} else { // Unicode escapes may spell any name
						m.addToken(string([]byte{markHiddenName}))
					}
					i = j + 1 + n
					continue
				}
			}
			n := i + 1
			for n < len(s) && (byteClass[s[n]]&(classLetter|classDigit) != 0 || s[n] == '$' && dialect == Postgres) {
				if s[n] >= 0x80 && dialect == ClickHouse {
					return InvalidCharacter
				}
				n++
			}
			if stop, body := m.addWord(s[i:n], dialect); stop {
				return NoLexError
			} else if body {
				m.addDoBody(s[n:])
				return NoLexError
			}
			i = n
		case classes&classDigit != 0:
			i += numberLength(s[i:])
			m.addNumber()
		case c == '\'':
			n := quotedLength(s[i:], dialect == ClickHouse)
			if n == 0 {
				return UnterminatedString
			}
			m.addLiteral()
			i += n
		case c == '"', c == '`' && dialect == ClickHouse:
			n := quotedLength(s[i:], dialect == ClickHouse)
			if n == 0 {
				return UnterminatedString
			}
			m.addQuotedName(s[i:i+n], dialect == ClickHouse)
			i += n
		case c == '-' && i+1 < len(s) && s[i+1] == '-',
			c == '#' && dialect == ClickHouse && i+1 < len(s) && (s[i+1] == ' ' || s[i+1] == '!'):
			n := strings.IndexByte(s[i:], '\n')
			if n < 0 {
				return NoLexError
			}
			i += n + 1
		case c == '/' && i+1 < len(s) && s[i+1] == '*':
			n := commentLength(s[i:], dialect == Postgres)
			if n == 0 {
				return UnterminatedComment
			}
			i += n
		case c == '$':
			switch n, terminated := dollarQuotedLength(s[i:]); {
			case n > 0 && !terminated:
				return UnterminatedString
			case n > 0:
				m.addLiteral()
				i += n
			case i+1 < len(s) && byteClass[s[i+1]]&classDigit != 0:
				for i++; i < len(s) && byteClass[s[i]]&classDigit != 0; i++ {
				}
				m.addLiteral()
			default:
				m.addToken("$")
				i++
			}
		case c == '(' || c == '[' || c == '{':
			if c == '{' && dialect == ClickHouse {
				if n, name := parameterLength(s[i:]); n > 0 {
					if name {
						m.addToken(string([]byte{markHiddenName}))
					} else {
						m.addLiteral()
					}
					i += n
					continue
				}
			}
			if len(m.frames) > maxBracketDepth {
				return BracketsTooDeep
			}
			m.openBracket(c)
			i++
		case c == ')' || c == ']' || c == '}':
			f := &m.frames[len(m.frames)-1]
			if len(m.frames) == 1 || f.bracket != c-1 && f.bracket != c-2 {
				return UnbalancedBrackets
			}
			m.endElement()
			m.frames = m.frames[:len(m.frames)-1]
			m.addByte(c)
			i++
		case c == ',':
			f := &m.frames[len(m.frames)-1]
			if f.listKind != noList {
				m.endElement()
			}
			listKind := f.listKind
			f.listKind = noList // keeps addByte from ending the VALUES rows at the comma
			m.addByte(',')
			f.listKind, f.elementStart = listKind, m.length
			i++
		case c == ';':
			if len(m.frames) > 1 {
				return UnbalancedBrackets
			}
			m.endElement()
			m.frames[0] = bracketFrame{}
			m.pendingSemicolon = m.length > 1
			m.atStatementStart, m.inInsert, m.formatSeen = true, false, false
			i++
		case c == '.':
			if i+1 < len(s) && byteClass[s[i+1]]&classDigit != 0 && !m.endsOperand(m.lastToken) {
				i += numberLength(s[i:])
				m.addNumber()
				continue
			}
			m.addByte('.')
			i++
		case classes&classOperator != 0:
			n := operatorLength(s[i:], dialect)
			if n == 1 && c == '?' { // a parameter where a value may start, otherwise the PostgreSQL operator
				if dialect == ClickHouse || !m.endsOperand(m.lastToken) {
					m.addLiteral()
				} else {
					m.addToken("??")
				}
			} else if n == 1 {
				m.addByte(c)
			} else {
				m.addToken(s[i : i+n])
			}
			i += n
		case c < ' ' || c == 0x7f:
			return ControlCharacter
		default:
			m.addByte(c)
			i++
		}
	}
	return NoLexError
}

// beginToken writes the space before a token, and a pending semicolon before that.
func (m *normalizer) beginToken() {
	if m.pendingSemicolon {
		m.pendingSemicolon = false
		m.addToken(";")
	}
	m.atStatementStart = false
	m.thirdLastToken, m.secondLastToken, m.lastToken = m.secondLastToken, m.lastToken, m.length
	m.buf[m.length] = ' '
	m.length++
}

// addToken adds a token unchanged.
func (m *normalizer) addToken(s string) {
	m.endRows(s[0])
	m.beginToken()
	m.length += copy(m.buf[m.length:], s)
}

// addByte adds a token of one byte.
func (m *normalizer) addByte(c byte) {
	m.endRows(c)
	m.beginToken()
	m.buf[m.length] = c
	m.length++
}

// endRows ends the list of VALUES rows if the next token, which starts with c, does not continue it.
func (m *normalizer) endRows(c byte) {
	if f := &m.frames[len(m.frames)-1]; f.listKind == valuesRows && c != '(' && c != ')' {
		m.endElement()
		f.listKind = noList
	}
}

// addWord adds a word. stop means that the rest of the text is the data of an INSERT, body that it is the body of a DO
// statement.
func (m *normalizer) addWord(word string, dialect Dialect) (stop, body bool) {
	startsStatement := m.atStatementStart
	m.endRows('a')
	if f := &m.frames[len(m.frames)-1]; f.listKind == valueList && f.elementStart == m.length && f.previousSize == 0 &&
		len(word) >= 4 && startsQuery(word) {
		f.listKind = noList // IN (SELECT ...
	}
	m.beginToken()
	wordStart := m.length
	for i := 0; i < len(word); i++ {
		m.buf[wordStart+i] = lowerCase[word[i]]
	}
	m.length += len(word)
	lowered := m.buf[wordStart:m.length]
	if dialect == ClickHouse {
		if string(lowered) != word && !isCaseInsensitive(lowered) { // names are case-sensitive in ClickHouse
			copy(lowered, word)
		}
		if m.formatSeen {
			return true, false
		}
		m.formatSeen = m.inInsert && len(m.frames) == 1 && string(lowered) == "format"
	}
	switch len(word) {
	case 2:
		return false, startsStatement && dialect == Postgres && string(lowered) == "do"
	case 4, 5:
		if string(lowered) == "true" || string(lowered) == "false" || string(lowered) == "null" {
			if t := m.secondLastToken; !m.tokenIs(t, "is") && !m.tokenIs(t, "not") && !m.tokenIs(t, ".") &&
				!m.tokenIs(t, "analyze") { // danger: as literals both give one shape, but only EXPLAIN (ANALYZE TRUE) runs
				m.length = wordStart
				m.buf[m.length] = markLiteral
				m.length++
			}
		}
	case 6:
		switch string(lowered) {
		case "insert":
			m.inInsert = m.inInsert || startsStatement
		case "values":
			if f := &m.frames[len(m.frames)-1]; !m.tokenIs(m.secondLastToken, ".") {
				f.listKind, f.elementStart, f.previousSize = valuesRows, m.length, 0
			}
		}
	}
	return false, false
}

// startsQuery reports whether a word starts a query.
func startsQuery(word string) bool {
	return strings.EqualFold(word, "select") || strings.EqualFold(word, "with") || strings.EqualFold(word, "values") ||
		strings.EqualFold(word, "table")
}

// addDoBody adds the rest of the text unchanged. Danger: the string after DO is executed. If it were dropped as a literal,
// two statements with different effects would share one shape.
func (m *normalizer) addDoBody(s string) {
	m.addToken(string([]byte{markDoBody}))
	m.length += copy(m.buf[m.length:], s)
	m.pendingSemicolon = false
}

// addQuotedName adds a quoted name in double quotes, whatever quotes it has in the text.
func (m *normalizer) addQuotedName(s string, escapes bool) {
	m.endRows('"')
	m.beginToken()
	quote := s[0]
	m.buf[m.length] = '"'
	m.length++
	for i := 1; i < len(s)-1; i++ {
		c := s[i]
		switch {
		case c == quote: // a doubled quote
			i++
		case c == '\\' && escapes && i+2 < len(s):
			i++
			c = s[i]
		}
		if c == '"' {
			m.buf[m.length] = '"'
			m.length++
		}
		m.buf[m.length] = c
		m.length++
	}
	m.buf[m.length] = '"'
	m.length++
}

// addLiteral adds the placeholder of a literal.
func (m *normalizer) addLiteral() {
	m.addByte(markLiteral)
}

// addNumber adds a number together with its sign, so that -5 and 5 give the same literal.
func (m *normalizer) addNumber() {
	if t := m.lastToken; t >= 0 && m.length == t+2 && (m.buf[t+1] == '-' || m.buf[t+1] == '+') &&
		!m.endsOperand(m.secondLastToken) {
		m.length, m.lastToken, m.secondLastToken, m.thirdLastToken = t, m.secondLastToken, m.thirdLastToken, -1
	}
	m.addLiteral()
}

// tokenIs reports whether the token at a position of buf equals token.
func (m *normalizer) tokenIs(pos int, token string) bool {
	end := pos + 1 + len(token)
	return pos >= 0 && end <= m.length && string(m.buf[pos+1:end]) == token && (end == m.length || m.buf[end] == ' ')
}

// endsOperand reports whether the token at a position of buf ends an operand, so that a following sign is an operator.
func (m *normalizer) endsOperand(pos int) bool {
	if pos < 0 || pos+1 >= m.length {
		return false
	}
	switch c := m.buf[pos+1]; {
	case c == markLiteral, c == '"', c == ')', c == ']', c == '}', c == markRepeat, c == markHiddenName:
		return true
	case byteClass[c]&classLetter != 0:
		end := pos + 1
		for end < m.length && m.buf[end] != ' ' {
			end++
		}
		return !wordsBeforeValue[string(m.buf[pos+1:end])]
	}
	return false
}

// openBracket adds an opening bracket and pushes its frame.
func (m *normalizer) openBracket(c byte) {
	listKind := uint8(noList)
	if c == '[' {
		listKind = valueList
	} else if c == '(' && m.lastToken >= 0 && m.length-m.lastToken == 3 &&
		m.buf[m.lastToken+1] == 'i' && m.buf[m.lastToken+2] == 'n' {
		listKind = valueList
	}
	if f := &m.frames[len(m.frames)-1]; f.listKind == valuesRows && f.elementStart < m.length {
		m.endElement() // ClickHouse allows rows without a comma between them
	}
	m.endRows(c)
	m.beginToken()
	m.buf[m.length] = c
	m.length++
	m.frames = append(m.frames, bracketFrame{bracket: c, listKind: listKind, elementStart: m.length})
}

// endElement ends an element of a list. An element equal to the preceding one is removed and counted as a repetition.
func (m *normalizer) endElement() {
	f := &m.frames[len(m.frames)-1]
	if f.listKind == noList || f.elementStart >= m.length {
		return
	}
	size := m.length - f.elementStart
	if f.previousSize == 0 || f.previousSize != size ||
		!bytes.Equal(m.buf[f.previousStart:f.previousStart+size], m.buf[f.elementStart:m.length]) {
		f.previousStart, f.previousSize, f.repeats, f.elementStart = f.elementStart, size, 1, m.length
		return
	}
	f.repeats++
	m.length = f.previousStart + size
	m.buf[m.length], m.buf[m.length+1], m.buf[m.length+2] = ' ', markRepeat, '0'+byte(lengthBucket(f.repeats))
	m.lastToken, m.secondLastToken, m.thirdLastToken = m.length, -1, -1
	m.length += 3
	f.elementStart = m.length
}

// lengthBucket returns the smallest exponent, at most 7, of a power of 8 that is not less than length.
func lengthBucket(length int) int {
	bucket := 0
	for bound := 1; bound < length && bucket < 7; bound *= 8 {
		bucket++
	}
	return bucket
}

// quotedLength returns the length of the quoted text at the start of s, or 0 if it is not terminated. A doubled quote stands
// for the quote itself.
func quotedLength(s string, escapes bool) int {
	quote := s[0]
	for i := 1; i < len(s); i++ {
		switch c := s[i]; {
		case c == quote:
			if i+1 >= len(s) || s[i+1] != quote {
				return i + 1
			}
			i++
		case c == '\\' && escapes:
			i++
		}
	}
	return 0
}

// commentLength returns the length of the block comment at the start of s, or 0 if it is not terminated.
func commentLength(s string, nests bool) int {
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

// dollarQuotedLength returns the length of the dollar-quoted string at the start of s, or 0 if there is none, and whether the
// string is terminated.
func dollarQuotedLength(s string) (n int, terminated bool) {
	i := 1
	for i < len(s) && (byteClass[s[i]]&classLetter != 0 || byteClass[s[i]]&classDigit != 0 && i > 1) {
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

// parameterLength returns the length of the parameter {name:Type} at the start of s, or 0 if there is none, and whether its
// type is Identifier.
func parameterLength(s string) (n int, name bool) {
	i := 1
	for i < len(s) && byteClass[s[i]]&classSpace != 0 {
		i++
	}
	j := i
	for j < len(s) && byteClass[s[j]]&(classLetter|classDigit) != 0 {
		j++
	}
	if j == i {
		return 0, false
	}
	for j < len(s) && byteClass[s[j]]&classSpace != 0 {
		j++
	}
	if j >= len(s) || s[j] != ':' {
		return 0, false
	}
	const maxTypeBytes = 256
	end := strings.IndexByte(s[j:min(len(s), j+maxTypeBytes)], '}')
	if end < 0 {
		return 0, false
	}
	return j + end + 1, strings.EqualFold(strings.TrimSpace(s[j+1:j+end]), "Identifier")
}

// numberLength returns the length of the number at the start of s. Letters after a number start a word, since PostgreSQL reads
// 1from as 1 FROM.
func numberLength(s string) int {
	span := func(i int, hex bool) int {
		for i < len(s) && (byteClass[s[i]]&classDigit != 0 || s[i] == '_' || hex && s[i]|0x20 >= 'a' && s[i]|0x20 <= 'f') {
			i++
		}
		return i
	}
	if len(s) > 2 && s[0] == '0' {
		switch c := s[1] | 0x20; {
		case c == 'x' && (byteClass[s[2]]&classDigit != 0 || s[2]|0x20 >= 'a' && s[2]|0x20 <= 'f'):
			return span(2, true)
		case (c == 'o' || c == 'b') && byteClass[s[2]]&classDigit != 0:
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
		if j < len(s) && byteClass[s[j]]&classDigit != 0 {
			i = span(j, false)
		}
	}
	return i
}

// operatorLength returns the length of the operator at the start of s.
func operatorLength(s string, dialect Dialect) int {
	if dialect == ClickHouse {
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
	// PostgreSQL takes the longest run of operator characters, up to a comment. The operator may end with + or - only if
	// it contains a character of classTrailingSign.
	//
	// Danger: a long run of signs is split byte by byte. Without maxOperatorBytes each step would scan the rest of the run,
	// which takes quadratic time.
	const maxOperatorBytes = 64
	n, trailingSign := 0, false
	for n < len(s) && n < maxOperatorBytes && byteClass[s[n]]&classOperator != 0 {
		if n+1 < len(s) && (s[n] == '-' && s[n+1] == '-' || s[n] == '/' && s[n+1] == '*') {
			break
		}
		trailingSign = trailingSign || byteClass[s[n]]&classTrailingSign != 0
		n++
	}
	for !trailingSign && n > 1 && (s[n-1] == '+' || s[n-1] == '-') {
		n--
	}
	return max(n, 1)
}
