package shape

import (
	"errors"
	"strings"
)

// Span is a half-open byte range of a text.
type Span struct{ Start, End int }

// scanTokens calls visit with the byte range and the bracket depth of each token of a ClickHouse text, apart from strings and
// comments. It stops where the text can't be split into tokens, or when visit returns false.
func scanTokens(s string, visit func(from, to, depth int) (more bool)) {
	depth := 0
	for i := 0; i < len(s); {
		c, n := s[i], 1
		switch {
		case byteClass[c]&classSpace != 0:
			i++
			continue
		case c == '\'' || c == '"' || c == '`':
			if n = quotedLength(s[i:], true); n == 0 {
				return
			}
			if c == '\'' {
				i += n
				continue
			}
		case c == '-' && strings.HasPrefix(s[i:], "--"),
			c == '#' && (strings.HasPrefix(s[i:], "# ") || strings.HasPrefix(s[i:], "#!")):
			if n = strings.IndexByte(s[i:], '\n'); n < 0 {
				return
			}
			i += n + 1
			continue
		case strings.HasPrefix(s[i:], "/*"):
			if n = commentLength(s[i:], false); n == 0 {
				return
			}
			i += n
			continue
		case c == '$':
			if length, terminated := dollarQuotedLength(s[i:]); length > 0 {
				if !terminated {
					return
				}
				i += length
				continue
			}
		case c == '{':
			if length, _ := parameterLength(s[i:]); length > 0 {
				n = length
			} else {
				depth++
			}
		case c == '(' || c == '[':
			depth++
		case c == ')' || c == ']' || c == '}':
			depth--
		case byteClass[c]&classLetter != 0:
			for i+n < len(s) && byteClass[s[i+n]]&(classLetter|classDigit) != 0 {
				n++
			}
		case byteClass[c]&classDigit != 0:
			n = numberLength(s[i:])
		}
		if !visit(i, i+n, depth) {
			return
		}
		i += n
	}
}

// ErrTextTooLong is returned for a text that is too long once its parameters are replaced.
var ErrTextTooLong = errors.New("the text with its parameters filled in is too long")

// SubstituteParameters replaces the parameters {name:Type} of a ClickHouse text outside strings and comments. value returns
// the replacement of a parameter. It is inserted unchanged, so it must be a literal or a quoted name. A text without parameters is
// returned as it is. If replacements make a text longer than maxBytes, ErrTextTooLong is returned.
func SubstituteParameters(text string, maxBytes int, value func(name, typ string) (string, error)) (string, error) {
	var b strings.Builder
	last := 0
	var valueErr error
	scanTokens(text, func(from, to, _ int) bool {
		if text[from] != '{' || to-from < 3 {
			return true
		}
		name, typ, _ := strings.Cut(text[from+1:to-1], ":")
		replacement, err := value(strings.TrimSpace(name), strings.TrimSpace(typ))
		if err != nil {
			valueErr = err
			return false
		}
		b.WriteString(text[last:from])
		b.WriteString(replacement)
		last = to
		if b.Len()+len(text)-last > maxBytes {
			valueErr = ErrTextTooLong
		}
		return valueErr == nil
	})
	if valueErr != nil {
		return "", valueErr
	}
	if last == 0 {
		return text, nil
	}
	b.WriteString(text[last:])
	return b.String(), nil
}

// FindFormatClause finds the clause FORMAT name at the end of a ClickHouse query, outside brackets, and returns the name and
// the span of the clause. An INSERT has none, since its clause describes the data that follows.
func FindFormatClause(text string) (name string, span Span, ok bool) {
	// afterFormat: the last token was FORMAT. isInsert: the statement is an INSERT. complete: the clause is followed by
	// SETTINGS or a semicolon, so later tokens can't invalidate it.
	var afterFormat, isInsert, complete bool
	first, last := true, ""
	scanTokens(text, func(from, to, depth int) bool {
		token := text[from:to]
		if first {
			first = false
			isInsert = strings.EqualFold(token, "insert")
		}
		switch {
		case isInsert:
			return false
		case afterFormat:
			if afterFormat = false; byteClass[token[0]]&classLetter != 0 {
				name, span.End, ok = token, to, true
			}
		case ok && !complete: // only SETTINGS or the end of the query may follow; otherwise FORMAT was a name
			complete = true
			ok = token == ";" || strings.EqualFold(token, "settings")
			complete = ok
		case depth == 0 && len(token) == 6 && strings.EqualFold(token, "format") && last != "." && !strings.EqualFold(last, "as"):
			afterFormat, span.Start = true, from
		}
		last = token
		return true
	})
	return name, span, ok
}
