package chhttp

import (
	"regexp"
	"strconv"
	"strings"

	"thymeway/internal/result"
)

// The queries with which clients greet, answered here: they ask about the server and run nowhere.
var (
	greeting = regexp.MustCompile(`(?is)^select\s+([a-z0-9_]+(?:\(\))?(?:\s+as\s+[a-z_0-9]+)?(?:\s*,\s*[a-z0-9_]+(?:\(\))?(?:\s+as\s+[a-z_0-9]+)?)*)$`)
	killing  = regexp.MustCompile(`(?is)^kill\s+query\s+where\s+query_id\s*=\s*'((?:[^'\\]|\\.|'')*)'(?:\s+(sync|async|test))?$`)
)

// What is told of this server: the version of the interface that it speaks.
const (
	version    = "24.8.1.1"
	revision   = 54460
	mostGreets = 512 // bytes of a text that may be a greeting
)

// greet answers a greeting; ok is false for what is none.
func (f *Front) greet(text string) (s *result.Set, ok bool) {
	if len(text) > mostGreets {
		return nil, false
	}
	m := greeting.FindStringSubmatch(strings.Trim(text, " \t\r\n;"))
	if m == nil {
		return nil, false
	}
	s = &result.Set{Escaped: true}
	var row []byte
	for i, item := range strings.Split(m[1], ",") {
		word := strings.Fields(item)
		c := result.Column{Name: word[0], Type: "String"}
		if len(word) == 3 {
			c.Name = word[2]
		}
		value := ""
		switch strings.ToLower(word[0]) {
		case "version()":
			value = version
		case "timezone()", "servertimezone()":
			value = "UTC"
		case "displayname()", "hostname()":
			value = f.Config.Local.ClickHouse.DisplayName
		case "revision()":
			c.Type, value = "UInt32", strconv.Itoa(revision)
		case "currentdatabase()":
			value = "default"
		case "uptime()":
			c.Type, value = "UInt32", strconv.Itoa(int(f.Now()-f.started)/1000)
		case "1":
			c.Type, value = "UInt8", "1"
		default:
			return nil, false
		}
		if i > 0 {
			row = append(row, '\t')
		}
		row = result.Escape(row, []byte(value))
		s.Columns = append(s.Columns, c)
	}
	s.Pages = [][]byte{append(row, '\n')}
	return s, true
}

// killed is the query_id that a KILL QUERY names.
func killed(text string) (id string, ok bool) {
	if len(text) > mostGreets {
		return "", false
	}
	m := killing.FindStringSubmatch(strings.Trim(text, " \t\r\n;"))
	if m == nil {
		return "", false
	}
	return string(result.Unescape(nil, []byte(strings.ReplaceAll(m[1], "''", "'")))), true
}
