// Package queryfields parses the comment before a statement. Its fields describe the request: class, id, time limit, tenant,
// and further optional ones.
package queryfields

import (
	"fmt"
	"strconv"
	"strings"

	"thymeway/internal/coordinator"
)

// Upper bounds of the fields' values.
const (
	maxWordBytes = 128     // bytes of a name or a key
	maxTimeLimit = 3600000 // ms; time limit of a request
	maxWork      = 1e9     // CPU ms; estimate of the work
	maxMem       = 1e8     // MB; estimate of the memory
)

// Parse converts a query's text to a request. It does not set the request's deadline, but returns the client's time limit in ms.
// Errors name the invalid field.
func Parse(text string) (r *coordinator.Request, timeLimit float64, err error) {
	content, statement, ok := splitComment(text)
	if !ok {
		return nil, 0, fmt.Errorf("no comment with the fields ahead of the statement")
	}
	if statement == "" {
		return nil, 0, fmt.Errorf("no statement behind the fields")
	}
	r = &coordinator.Request{Statement: statement}
	seen := map[string]bool{}
	for _, pair := range strings.Split(content, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		if !ok {
			return nil, 0, fmt.Errorf("field %.40q: not name=value", pair)
		}
		if seen[name] {
			return nil, 0, fmt.Errorf("field %s: given twice", name)
		}
		seen[name] = true
		switch name {
		case "verb":
			r.Class, err = ParseWord(value)
		case "txn":
			r.ID, err = parseHex(value, 16)
		case "limit":
			if timeLimit, err = parseNumber(value, maxTimeLimit); err == nil && timeLimit == 0 {
				err = fmt.Errorf("%.40q is not above 0", value)
			}
		case "team":
			r.Tenant, err = ParseWord(value)
		case "second":
			if r.Repeat = value == "1"; !r.Repeat {
				err = fmt.Errorf("%.40q is not 1", value)
			}
		case "unique":
			r.IdempotencyKey, err = ParseWord(value)
		case "cpu":
			r.Work, err = parseNumber(value, maxWork)
		case "heap_mb":
			r.Mem, err = parseNumber(value, maxMem)
		case "item":
			r.OrderKey, err = ParseWord(value)
		default:
			err = fmt.Errorf("unknown")
		}
		if err != nil {
			return nil, 0, fmt.Errorf("field %.40q: %v", name, err)
		}
	}
	for _, name := range []string{"verb", "txn", "limit"} {
		if !seen[name] {
			return nil, 0, fmt.Errorf("field %s: missing", name)
		}
	}
	return r, timeLimit, nil
}

// HasFields reports whether a text starts with a comment that holds fields, the first of which is verb.
func HasFields(text string) bool {
	content, _, ok := splitComment(text)
	return ok && strings.HasPrefix(content, "verb=")
}

// splitComment splits a text into the content of its leading comment and the statement after it.
func splitComment(text string) (content, statement string, ok bool) {
	text = strings.TrimLeft(text, " \t\r\n")
	if !strings.HasPrefix(text, "/*") {
		return "", text, false
	}
	end := strings.Index(text, "*/")
	if end < 2 {
		return "", "", false
	}
	return strings.TrimSpace(text[2:end]), strings.TrimLeft(text[end+2:], " \t\r\n"), true
}

// ParseWord checks that a word can be sent unchanged in a header: 1 to 128 printable ASCII characters without spaces.
func ParseWord(word string) (string, error) {
	if word == "" || len(word) > maxWordBytes {
		return "", fmt.Errorf("%d bytes, 1 to %d may be", len(word), maxWordBytes)
	}
	for i := 0; i < len(word); i++ {
		if word[i] <= ' ' || word[i] >= 0x7f {
			return "", fmt.Errorf("%q can't stand there", word[i])
		}
	}
	return word, nil
}

// parseHex checks that a text has the given number of hexadecimal digits.
func parseHex(text string, digits int) (string, error) {
	if len(text) != digits || strings.Trim(text, "0123456789abcdefABCDEF") != "" {
		return "", fmt.Errorf("%.40q is not %d hex digits", text, digits)
	}
	return text, nil
}

// parseNumber parses a number from 0 to maxValue.
func parseNumber(text string, maxValue float64) (float64, error) {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || !(value >= 0 && value <= maxValue) { // the condition is false for NaN
		return 0, fmt.Errorf("%.40q is not a number from 0 to %.0f", text, maxValue)
	}
	return value, nil
}
