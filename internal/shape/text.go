package shape

import "strings"

// A place is a part of a text.
type Place struct{ From, To int }

// walk calls f with each token of a ClickHouse text that is no literal or comment: its place, and the depth of brackets.
// It ends where the text can't be cut, or where f says so.
func walk(s string, f func(from, to, depth int) (on bool)) {
	depth := 0
	for i := 0; i < len(s); {
		c, n := s[i], 1
		switch {
		case class[c]&isSpace != 0:
			i++
			continue
		case c == '\'' || c == '"' || c == '`':
			if n = quoted(s[i:], true); n == 0 {
				return
			}
			if c == '\'' {
				i += n
				continue
			}
		case c == '-' && strings.HasPrefix(s[i:], "--"), c == '#' && (strings.HasPrefix(s[i:], "# ") || strings.HasPrefix(s[i:], "#!")):
			if n = strings.IndexByte(s[i:], '\n'); n < 0 {
				return
			}
			i += n + 1
			continue
		case strings.HasPrefix(s[i:], "/*"):
			if n = comment(s[i:], false); n == 0 {
				return
			}
			i += n
			continue
		case c == '$':
			if k, whole := dollar(s[i:]); k > 0 {
				if !whole {
					return
				}
				i += k
				continue
			}
		case c == '{':
			if k, _ := parameter(s[i:]); k > 0 {
				n = k
			} else {
				depth++
			}
		case c == '(' || c == '[':
			depth++
		case c == ')' || c == ']' || c == '}':
			depth--
		case class[c]&isLetter != 0:
			for i+n < len(s) && class[s[i+n]]&(isLetter|isDigit) != 0 {
				n++
			}
		case class[c]&isDigit != 0:
			n = number(s[i:])
		}
		if !f(i, i+n, depth) {
			return
		}
		i += n
	}
}

// Parameters puts values in place of the {name:Type} of a ClickHouse text, those in strings and comments aside. value
// gives the text for each, which stands as it is: it has to be a literal or a quoted name.
func Parameters(s string, value func(name, typ string) (string, error)) (string, error) {
	var b strings.Builder
	last := 0
	var fault error
	walk(s, func(from, to, _ int) bool {
		if s[from] != '{' || to-from < 3 {
			return true
		}
		name, typ, _ := strings.Cut(s[from+1:to-1], ":")
		v, err := value(strings.TrimSpace(name), strings.TrimSpace(typ))
		if err != nil {
			fault = err
			return false
		}
		b.WriteString(s[last:from])
		b.WriteString(v)
		last = to
		return true
	})
	if fault != nil {
		return "", fault
	}
	b.WriteString(s[last:])
	return b.String(), nil
}

// FormatClause finds FORMAT name at the end of a ClickHouse query, outside brackets: the name, and where the clause
// stands. Of an INSERT, where the clause speaks of the data, there is none.
func FormatClause(s string) (name string, at Place, ok bool) {
	var word, insert, closed bool // the last token was FORMAT; the statement is an INSERT; what follows can't undo the clause
	first, last := true, ""
	walk(s, func(from, to, depth int) bool {
		t := s[from:to]
		if first {
			first = false
			insert = strings.EqualFold(t, "insert")
		}
		switch {
		case insert:
			return false
		case word:
			if word = false; class[t[0]]&isLetter != 0 {
				name, at.To, ok = t, to, true
			}
		case ok && !closed: // only settings or the end may follow; anything else shows that it was a name
			closed = true
			ok = t == ";" || strings.EqualFold(t, "settings")
			closed = ok
		case depth == 0 && len(t) == 6 && strings.EqualFold(t, "format") && last != "." && !strings.EqualFold(last, "as"):
			word, at.From = true, from
		}
		last = t
		return true
	})
	return name, at, ok
}
