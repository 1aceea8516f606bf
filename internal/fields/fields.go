// Package fields reads the comment ahead of a statement that carries what a request is: its class, id, deadline, member.
package fields

import (
	"fmt"
	"strconv"
	"strings"

	"thymeway/internal/coordinator"
)

const (
	mostName  = 128     // bytes of a name, an id or a key
	mostLimit = 3600000 // ms that a client may wait
	mostWork  = 1e9     // ms of an estimate
	mostMem   = 1e8     // MB of an estimate
)

// Read makes a request of a query's text, up to its deadline, of which it tells the limit in ms. Each fault names
// the field.
func Read(text string) (r *coordinator.Request, limit float64, err error) {
	fields, statement, ok := split(text)
	if !ok {
		return nil, 0, fmt.Errorf("no comment with the fields ahead of the statement")
	}
	if statement == "" {
		return nil, 0, fmt.Errorf("no statement behind the fields")
	}
	r = &coordinator.Request{Statement: statement}
	seen := map[string]bool{}
	for _, pair := range strings.Split(fields, ",") {
		k, v, ok := strings.Cut(strings.TrimSpace(pair), "=")
		if !ok {
			return nil, 0, fmt.Errorf("field %.40q: not name=value", pair)
		}
		if seen[k] {
			return nil, 0, fmt.Errorf("field %s: given twice", k)
		}
		seen[k] = true
		switch k {
		case "verb":
			r.Class, err = Word(v)
		case "txn":
			r.ID, err = hex(v, 16)
		case "limit":
			if limit, err = amount(v, mostLimit); err == nil && limit == 0 {
				err = fmt.Errorf("%.40q is not above 0", v)
			}
		case "team":
			r.Tenant, err = Word(v)
		case "second":
			if r.Repeat = v == "1"; !r.Repeat {
				err = fmt.Errorf("%.40q is not 1", v)
			}
		case "unique":
			r.IdempotencyKey, err = Word(v)
		case "cpu":
			r.Work, err = amount(v, mostWork)
		case "heap_mb":
			r.Mem, err = amount(v, mostMem)
		case "item":
			r.OrderKey, err = Word(v)
		default:
			err = fmt.Errorf("unknown")
		}
		if err != nil {
			return nil, 0, fmt.Errorf("field %.40q: %v", k, err)
		}
	}
	for _, k := range []string{"verb", "txn", "limit"} {
		if !seen[k] {
			return nil, 0, fmt.Errorf("field %s: missing", k)
		}
	}
	return r, limit, nil
}

// There tells whether a text starts with such a comment, and not with one of another kind.
func There(text string) bool {
	f, _, ok := split(text)
	return ok && strings.HasPrefix(f, "verb=")
}

// split cuts a text into that of the comment ahead of the statement and the statement behind it.
func split(text string) (fields, statement string, ok bool) {
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

// Word checks a text that has to stand in a header as it is: 1 to 128 signs, no space.
func Word(v string) (string, error) {
	if v == "" || len(v) > mostName {
		return "", fmt.Errorf("%d bytes, 1 to %d may be", len(v), mostName)
	}
	for i := 0; i < len(v); i++ {
		if v[i] <= ' ' || v[i] >= 0x7f {
			return "", fmt.Errorf("%q can't stand there", v[i])
		}
	}
	return v, nil
}

func hex(v string, digits int) (string, error) {
	if len(v) != digits || strings.Trim(v, "0123456789abcdefABCDEF") != "" {
		return "", fmt.Errorf("%.40q is not %d hex digits", v, digits)
	}
	return v, nil
}

func amount(v string, most float64) (float64, error) {
	f, err := strconv.ParseFloat(v, 64)
	if err != nil || !(f >= 0 && f <= most) { // false for what is no number
		return 0, fmt.Errorf("%.40q is not a number from 0 to %.0f", v, most)
	}
	return f, nil
}
