// Package sql reads the little of a statement that the coordinator has to know: its first word and the group
// of tables that it reads or writes.
package sql

import (
	"math"
	"strconv"
	"strings"
)

type token struct {
	text string // a name as written, quotes removed, or one sign
	name bool
}

func letter(c byte) bool {
	return c == '_' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= 0x80
}

func digit(c byte) bool { return c >= '0' && c <= '9' }

// scanner cuts a statement into names and signs. Strings, numbers and comments are passed over.
type scanner struct{ s string }

// comment is the length of the comment that a text starts with, 0 if none does. Comments nest.
func comment(s string) int {
	switch {
	case strings.HasPrefix(s, "--"):
		if i := strings.IndexByte(s, '\n'); i >= 0 {
			return i + 1
		}
		return len(s)
	case strings.HasPrefix(s, "/*"):
		depth := 0
		for i := 0; i+1 < len(s); {
			switch s[i : i+2] {
			case "/*":
				depth, i = depth+1, i+2
			case "*/":
				if depth, i = depth-1, i+2; depth == 0 {
					return i
				}
			default:
				i++
			}
		}
		return len(s)
	}
	return 0
}

// quoted is the length of the quoted text at the start, whose quote is doubled inside it.
func quoted(s string, escapes bool) int {
	for i := 1; i < len(s); i++ {
		switch {
		case escapes && s[i] == '\\':
			i++
		case s[i] == s[0]:
			if i+1 >= len(s) || s[i+1] != s[0] {
				return i + 1
			}
			i++
		}
	}
	return len(s)
}

// dollar is the length of the dollar-quoted text at the start, 0 if none starts there.
func dollar(s string) int {
	i := 1
	for i < len(s) && (letter(s[i]) || digit(s[i]) && i > 1) {
		i++
	}
	if i >= len(s) || s[i] != '$' {
		return 0
	}
	tag := s[:i+1]
	if j := strings.Index(s[i+1:], tag); j >= 0 {
		return i + 1 + j + len(tag)
	}
	return len(s)
}

func (sc *scanner) next() (token, bool) {
	for len(sc.s) > 0 {
		s, c := sc.s, sc.s[0]
		switch n := comment(s); {
		case n > 0:
			sc.s = s[n:]
		case c == ' ' || c == '\t' || c == '\n' || c == '\r' || c == '\f':
			sc.s = s[1:]
		case c == '\'':
			sc.s = s[quoted(s, false):]
			return token{text: "'"}, true
		case c == '"':
			n := quoted(s, false)
			sc.s = s[n:]
			return token{strings.ReplaceAll(strings.Trim(s[:n], `"`), `""`, `"`), true}, true
		case c == '$' && dollar(s) > 0:
			sc.s = s[dollar(s):]
			return token{text: "'"}, true
		case (c == 'e' || c == 'E') && len(s) > 1 && s[1] == '\'':
			sc.s = s[1+quoted(s[1:], true):]
			return token{text: "'"}, true
		case letter(c):
			i := 1
			for i < len(s) && (letter(s[i]) || digit(s[i]) || s[i] == '$') {
				i++
			}
			sc.s = s[i:]
			return token{s[:i], true}, true
		case digit(c):
			i := 1
			for i < len(s) && (digit(s[i]) || letter(s[i]) || s[i] == '.') {
				i++
			}
			sc.s = s[i:]
			return token{text: "0"}, true
		default:
			sc.s = s[1:]
			return token{text: s[:1]}, true
		}
	}
	return token{}, false
}

// Verb is the first word of a statement, in capitals.
func Verb(statement string) string {
	sc := scanner{statement}
	t, ok := sc.next()
	if !ok || !t.name {
		return ""
	}
	return strings.ToUpper(t.text)
}

// Group is the number behind the underscore in the name of the schema that a statement reads or writes. A name
// behind FROM, JOIN and their like goes before any other, as an alias may look like a schema.
func Group(statement string) (group string, ok bool) {
	sc := scanner{statement}
	var toks [4]token // the last four
	other, inList := "", false
	for {
		t, more := sc.next()
		if !more {
			return other, other != ""
		}
		copy(toks[:], toks[1:])
		toks[3] = t
		if t.name && !(toks[2].text == "." && !toks[2].name) {
			switch strings.ToUpper(t.text) {
			case "FROM", "JOIN", "INTO", "UPDATE", "TABLE", "COPY", "USING":
				inList = true
			case "SELECT", "WHERE", "SET", "ON", "VALUES", "GROUP", "ORDER":
				inList = false
			}
		}
		// a name, a dot, a name: is the first one a schema with a number?
		if !t.name || toks[2].name || toks[2].text != "." || !toks[1].name {
			continue
		}
		g, ok := number(toks[1].text)
		if !ok {
			continue
		}
		if inList {
			return g, true
		}
		if other == "" {
			other = g
		}
	}
}

// number is what stands behind the last underscore of a schema's name, without leading zeros.
func number(schema string) (string, bool) {
	i := strings.LastIndexByte(schema, '_')
	if i < 1 || strings.EqualFold(schema[:i], "staging") {
		return "", false
	}
	n, err := strconv.ParseUint(schema[i+1:], 10, 64)
	if err != nil || n > math.MaxInt32 {
		return "", false
	}
	return strconv.FormatUint(n, 10), true
}

// Fields splits a statement into the text of the comment ahead of it and the statement behind that.
func Fields(text string) (fields, statement string, ok bool) {
	text = strings.TrimLeft(text, " \t\r\n")
	if !strings.HasPrefix(text, "/*") {
		return "", text, false
	}
	i := strings.Index(text, "*/")
	if i < 2 {
		return "", "", false
	}
	return strings.TrimSpace(text[2:i]), strings.TrimLeft(text[i+2:], " \t\r\n"), true
}
