// Package shape recognizes SQL statements: their kind, the table groups that they read and write, and the features that
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

// MaxStatementBytes is the longest statement that is tokenized. Longer ones are not recognized.
const MaxStatementBytes = 1 << 20

// maxBracketDepth limits nested brackets. It equals ClickHouse's max_parser_depth and is far beyond what statements need.
const maxBracketDepth = 1000

// LexError is the reason why a text could not be split into tokens.
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
// byte for byte, and the parser sees nothing else, so two statements of one shape are always recognized alike. The first
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

// byteClass holds the character classes of each byte.
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
	bracket       byte  // the opening bracket; 0 at the top level
	listKind      uint8 // noList, valueList or valuesRows
	elementStart  int   // start of the current list element in the canonical text
	previousStart int   // start of the preceding element
	previousSize  int   // length of the preceding element; 0: there is none
	repeats       int   // number of consecutive occurrences of the preceding element
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
	// Positions of the last three tokens in buf; -1: there is none.
	lastToken, secondLastToken, thirdLastToken int
	pendingSemicolon                           bool // a semicolon is written only if another token follows
	atStatementStart                           bool // the next token starts a statement
	inInsert                                   bool // the statement is an INSERT
	formatSeen                                 bool // the FORMAT keyword of the INSERT was read
}

// maxKeptBufferBytes is the largest buffer that is kept after a long statement.
const maxKeptBufferBytes = 64 << 10

// normalize returns the canonical form of a text. The result is valid until the next call.
func (nz *normalizer) normalize(text string, dialect Dialect) ([]byte, LexError) {
	if len(text) > MaxStatementBytes {
		return nil, TextTooLong
	}
	if need := 3*len(text) + 64; len(nz.buf) < need { // a one-byte token may become two bytes and a space
		nz.buf = make([]byte, max(need, 4096))
	} else if len(nz.buf) > maxKeptBufferBytes && need < maxKeptBufferBytes {
		nz.buf = make([]byte, maxKeptBufferBytes)
	}
	nz.buf[0], nz.length = dialectMark[dialect], 1
	nz.frames = append(nz.frames[:0], bracketFrame{})
	nz.lastToken, nz.secondLastToken, nz.thirdLastToken = -1, -1, -1
	nz.pendingSemicolon, nz.atStatementStart, nz.inInsert, nz.formatSeen = false, true, false, false
	if dialect == Postgres {
		if !utf8.ValidString(text) {
			return nil, InvalidCharacter
		}
		if strings.IndexByte(text, 0) >= 0 {
			return nil, ControlCharacter
		}
	}
	if lexErr := nz.lex(text, dialect); lexErr != NoLexError {
		return nil, lexErr
	}
	if len(nz.frames) > 1 {
		return nil, UnbalancedBrackets
	}
	nz.endElement()
	if nz.length == 1 {
		return nil, EmptyText
	}
	return nz.buf[:nz.length], NoLexError
}

// lex splits a text into tokens and adds them to the canonical text.
func (nz *normalizer) lex(s string, dialect Dialect) LexError {
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
					nz.addLiteral()
					i = j + n
					continue
				case quote == '&' && c|0x20 == 'u' && dialect == Postgres && j+1 < len(s) && (s[j+1] == '\'' || s[j+1] == '"'):
					n := quotedLength(s[j+1:], false)
					if n == 0 {
						return UnterminatedString
					}
					if s[j+1] == '\'' {
						nz.addLiteral()
					} else { // Unicode escapes may spell any name
						nz.addToken(string([]byte{markHiddenName}))
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
			if stop, body := nz.addWord(s[i:n], dialect); stop {
				return NoLexError
			} else if body {
				nz.addDoBody(s[n:])
				return NoLexError
			}
			i = n
		case classes&classDigit != 0:
			i += numberLength(s[i:])
			nz.addNumber()
		case c == '\'':
			n := quotedLength(s[i:], dialect == ClickHouse)
			if n == 0 {
				return UnterminatedString
			}
			nz.addLiteral()
			i += n
		case c == '"', c == '`' && dialect == ClickHouse:
			n := quotedLength(s[i:], dialect == ClickHouse)
			if n == 0 {
				return UnterminatedString
			}
			nz.addQuotedName(s[i:i+n], dialect == ClickHouse)
			i += n
		case c == '-' && i+1 < len(s) && s[i+1] == '-',
			c == '#' && dialect == ClickHouse && i+1 < len(s) && (s[i+1] == ' ' || s[i+1] == '!'):
			n := lineCommentLength(s[i:])
			if n == 0 {
				return NoLexError
			}
			i += n
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
				nz.addLiteral()
				i += n
			case i+1 < len(s) && byteClass[s[i+1]]&classDigit != 0:
				for i++; i < len(s) && byteClass[s[i]]&classDigit != 0; i++ {
				}
				nz.addLiteral()
			default:
				nz.addToken("$")
				i++
			}
		case c == '(' || c == '[' || c == '{':
			if c == '{' && dialect == ClickHouse {
				if n, name := parameterLength(s[i:]); n > 0 {
					if name {
						nz.addToken(string([]byte{markHiddenName}))
					} else {
						nz.addLiteral()
					}
					i += n
					continue
				}
			}
			if len(nz.frames) > maxBracketDepth {
				return BracketsTooDeep
			}
			nz.openBracket(c)
			i++
		case c == ')' || c == ']' || c == '}':
			f := &nz.frames[len(nz.frames)-1]
			if len(nz.frames) == 1 || f.bracket != c-1 && f.bracket != c-2 {
				return UnbalancedBrackets
			}
			nz.endElement()
			nz.frames = nz.frames[:len(nz.frames)-1]
			nz.addByte(c)
			i++
		case c == ',':
			f := &nz.frames[len(nz.frames)-1]
			if f.listKind != noList {
				nz.endElement()
			}
			listKind := f.listKind
			f.listKind = noList // keeps addByte from ending the VALUES rows at the comma
			nz.addByte(',')
			f.listKind, f.elementStart = listKind, nz.length
			i++
		case c == ';':
			if len(nz.frames) > 1 {
				return UnbalancedBrackets
			}
			nz.endElement()
			nz.frames[0] = bracketFrame{}
			nz.pendingSemicolon = nz.length > 1
			nz.atStatementStart, nz.inInsert, nz.formatSeen = true, false, false
			i++
		case c == '.':
			if i+1 < len(s) && byteClass[s[i+1]]&classDigit != 0 && !nz.endsOperand(nz.lastToken) {
				i += numberLength(s[i:])
				nz.addNumber()
				continue
			}
			nz.addByte('.')
			i++
		case classes&classOperator != 0:
			n := operatorLength(s[i:], dialect)
			if n == 1 && c == '?' { // a parameter where a value may start, otherwise the PostgreSQL operator
				if dialect == ClickHouse || !nz.endsOperand(nz.lastToken) {
					nz.addLiteral()
				} else {
					nz.addToken("??")
				}
			} else if n == 1 {
				nz.addByte(c)
			} else {
				nz.addToken(s[i : i+n])
			}
			i += n
		case c < ' ' || c == 0x7f:
			return ControlCharacter
		default:
			nz.addByte(c)
			i++
		}
	}
	return NoLexError
}

// beginToken writes the space before a token, and a pending semicolon before that.
func (nz *normalizer) beginToken() {
	if nz.pendingSemicolon {
		nz.pendingSemicolon = false
		nz.addToken(";")
	}
	nz.atStatementStart = false
	nz.thirdLastToken, nz.secondLastToken, nz.lastToken = nz.secondLastToken, nz.lastToken, nz.length
	nz.buf[nz.length] = ' '
	nz.length++
}

// addToken adds a token unchanged.
func (nz *normalizer) addToken(s string) {
	nz.endRows(s[0])
	nz.beginToken()
	nz.length += copy(nz.buf[nz.length:], s)
}

// addByte adds a token of one byte.
func (nz *normalizer) addByte(c byte) {
	nz.endRows(c)
	nz.beginToken()
	nz.buf[nz.length] = c
	nz.length++
}

// endRows ends the list of VALUES rows if the next token, which starts with c, does not continue it.
func (nz *normalizer) endRows(c byte) {
	if f := &nz.frames[len(nz.frames)-1]; f.listKind == valuesRows && c != '(' && c != ')' {
		nz.endElement()
		f.listKind = noList
	}
}

// addWord adds a word. stop means that the rest of the text is the data of an INSERT, body that it is the body of a DO
// statement.
func (nz *normalizer) addWord(word string, dialect Dialect) (stop, body bool) {
	startsStatement := nz.atStatementStart
	nz.endRows('a')
	if f := &nz.frames[len(nz.frames)-1]; f.listKind == valueList && f.elementStart == nz.length && f.previousSize == 0 &&
		len(word) >= 4 && startsQuery(word) {
		f.listKind = noList // IN (SELECT ...
	}
	nz.beginToken()
	wordStart := nz.length
	for i := 0; i < len(word); i++ {
		nz.buf[wordStart+i] = lowerCase[word[i]]
	}
	nz.length += len(word)
	lowered := nz.buf[wordStart:nz.length]
	if dialect == ClickHouse {
		if string(lowered) != word && !isCaseInsensitive(lowered) { // names are case-sensitive in ClickHouse
			copy(lowered, word)
		}
		if nz.formatSeen {
			return true, false
		}
		nz.formatSeen = nz.inInsert && len(nz.frames) == 1 && string(lowered) == "format"
	}
	switch len(word) {
	case 2:
		return false, startsStatement && dialect == Postgres && string(lowered) == "do"
	case 4, 5:
		if string(lowered) == "true" || string(lowered) == "false" || string(lowered) == "null" {
			// After ANALYZE, true and false stay words: EXPLAIN (ANALYZE TRUE) runs the statement and EXPLAIN (ANALYZE FALSE)
			// does not, so the two must not share a shape.
			if t := nz.secondLastToken; !nz.tokenIs(t, "is") && !nz.tokenIs(t, "not") && !nz.tokenIs(t, ".") &&
				!nz.tokenIs(t, "analyze") {
				nz.length = wordStart
				nz.buf[nz.length] = markLiteral
				nz.length++
			}
		}
	case 6:
		switch string(lowered) {
		case "insert":
			nz.inInsert = nz.inInsert || startsStatement
		case "values":
			if f := &nz.frames[len(nz.frames)-1]; !nz.tokenIs(nz.secondLastToken, ".") {
				f.listKind, f.elementStart, f.previousSize = valuesRows, nz.length, 0
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

// addDoBody adds the rest of the text unchanged. The string after DO is executed; if it were replaced like a literal, two
// statements with different effects would share one shape.
func (nz *normalizer) addDoBody(s string) {
	nz.addToken(string([]byte{markDoBody}))
	nz.length += copy(nz.buf[nz.length:], s)
	nz.pendingSemicolon = false
}

// addQuotedName adds a quoted name in double quotes, whatever quotes it has in the text. escapes states that a backslash
// escapes the next character.
func (nz *normalizer) addQuotedName(s string, escapes bool) {
	nz.endRows('"')
	nz.beginToken()
	quote := s[0]
	nz.buf[nz.length] = '"'
	nz.length++
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
			nz.buf[nz.length] = '"'
			nz.length++
		}
		nz.buf[nz.length] = c
		nz.length++
	}
	nz.buf[nz.length] = '"'
	nz.length++
}

// addLiteral adds the placeholder of a literal.
func (nz *normalizer) addLiteral() {
	nz.addByte(markLiteral)
}

// addNumber adds a number together with its sign, so that -5 and 5 give the same literal.
func (nz *normalizer) addNumber() {
	if t := nz.lastToken; t >= 0 && nz.length == t+2 && (nz.buf[t+1] == '-' || nz.buf[t+1] == '+') &&
		!nz.endsOperand(nz.secondLastToken) {
		nz.length, nz.lastToken, nz.secondLastToken, nz.thirdLastToken = t, nz.secondLastToken, nz.thirdLastToken, -1
	}
	nz.addLiteral()
}

// tokenIs reports whether the token at a position of buf equals token.
func (nz *normalizer) tokenIs(pos int, token string) bool {
	end := pos + 1 + len(token)
	return pos >= 0 && end <= nz.length && string(nz.buf[pos+1:end]) == token && (end == nz.length || nz.buf[end] == ' ')
}

// endsOperand reports whether the token at a position of buf ends an operand, so that a following sign is an operator.
func (nz *normalizer) endsOperand(pos int) bool {
	if pos < 0 || pos+1 >= nz.length {
		return false
	}
	switch c := nz.buf[pos+1]; {
	case c == markLiteral, c == '"', c == ')', c == ']', c == '}', c == markRepeat, c == markHiddenName:
		return true
	case byteClass[c]&classLetter != 0:
		end := pos + 1
		for end < nz.length && nz.buf[end] != ' ' {
			end++
		}
		return !wordsBeforeValue[string(nz.buf[pos+1:end])]
	}
	return false
}

// openBracket adds an opening bracket and pushes its frame.
func (nz *normalizer) openBracket(c byte) {
	listKind := uint8(noList)
	if c == '[' {
		listKind = valueList
	} else if c == '(' && nz.lastToken >= 0 && nz.length-nz.lastToken == 3 &&
		nz.buf[nz.lastToken+1] == 'i' && nz.buf[nz.lastToken+2] == 'n' {
		listKind = valueList
	}
	if f := &nz.frames[len(nz.frames)-1]; f.listKind == valuesRows && f.elementStart < nz.length {
		nz.endElement() // ClickHouse allows rows without a comma between them
	}
	nz.endRows(c)
	nz.beginToken()
	nz.buf[nz.length] = c
	nz.length++
	nz.frames = append(nz.frames, bracketFrame{bracket: c, listKind: listKind, elementStart: nz.length})
}

// endElement ends an element of a list. An element equal to the preceding one is removed and counted as a repetition.
func (nz *normalizer) endElement() {
	f := &nz.frames[len(nz.frames)-1]
	if f.listKind == noList || f.elementStart >= nz.length {
		return
	}
	size := nz.length - f.elementStart
	if f.previousSize == 0 || f.previousSize != size ||
		!bytes.Equal(nz.buf[f.previousStart:f.previousStart+size], nz.buf[f.elementStart:nz.length]) {
		f.previousStart, f.previousSize, f.repeats, f.elementStart = f.elementStart, size, 1, nz.length
		return
	}
	f.repeats++
	nz.length = f.previousStart + size
	nz.buf[nz.length], nz.buf[nz.length+1], nz.buf[nz.length+2] = ' ', markRepeat, '0'+byte(lengthBucket(f.repeats))
	nz.lastToken, nz.secondLastToken, nz.thirdLastToken = nz.length, -1, -1
	nz.length += 3
	f.elementStart = nz.length
}

// lengthBucket returns the smallest exponent, at most 7, of a power of 8 that is not less than length.
func lengthBucket(length int) int {
	bucket := 0
	for bound := 1; bound < length && bucket < 7; bound *= 8 {
		bucket++
	}
	return bucket
}

// quotedLength returns the length of the quoted text at the start of s, or 0 if it is not terminated. A doubled quote is part of
// the quoted text. escapes states that a backslash escapes the next character.
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

// lineCommentLength returns the length of the line comment at the start of s, or 0 if it goes to the end of the text. A carriage return
// ends it in PostgreSQL and not in ClickHouse; it counts as the end for both, so that no engine runs what was taken for a comment.
func lineCommentLength(s string) int { return strings.IndexAny(s, "\r\n") + 1 }

// commentLength returns the length of the block comment at the start of s, or 0 if it is not terminated. nests states that
// comments may contain comments.
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
	// A long run of signs is split byte by byte. Without maxOperatorBytes, each step would scan the rest of the run, which takes
	// quadratic time.
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
