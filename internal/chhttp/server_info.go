package chhttp

import (
	"regexp"
	"strconv"
	"strings"

	"thymeway/internal/result"
)

// Patterns of the queries that are answered without an engine: questions about the server, which clients send after they
// connect, and KILL QUERY.
var (
	serverInfoPattern = regexp.MustCompile(
		`(?is)^select\s+([a-z0-9_]+(?:\(\))?(?:\s+as\s+[a-z_0-9]+)?(?:\s*,\s*[a-z0-9_]+(?:\(\))?(?:\s+as\s+[a-z_0-9]+)?)*)$`)
	killPattern = regexp.MustCompile(
		`(?is)^kill\s+query\s+where\s+query_id\s*=\s*'((?:[^'\\]|\\.|'')*)'(?:\s+(sync|async|test))?$`)
)

const (
	serverVersion      = "24.8.1.1" // ClickHouse version whose interface is supported, as reported to clients
	serverRevision     = 54460      // revision of the native protocol, as reported to clients
	maxLocalQueryBytes = 512        // longer texts are not matched against the patterns above
)

// answerServerInfo answers a query about the server, such as its version or time zone. ok is false for any other query.
func (srv *Server) answerServerInfo(text string) (set *result.Set, ok bool) {
	if len(text) > maxLocalQueryBytes {
		return nil, false
	}
	match := serverInfoPattern.FindStringSubmatch(strings.Trim(text, " \t\r\n;"))
	if match == nil {
		return nil, false
	}
	set = &result.Set{Escaped: true}
	var row []byte
	for i, item := range strings.Split(match[1], ",") {
		words := strings.Fields(item)
		column := result.Column{Name: words[0], Type: "String"}
		if len(words) == 3 {
			column.Name = words[2]
		}
		value := ""
		switch strings.ToLower(words[0]) {
		case "version()":
			value = serverVersion
		case "timezone()", "servertimezone()":
			value = "UTC"
		case "displayname()", "hostname()":
			value = srv.Config.Local.ClickHouse.DisplayName
		case "revision()":
			column.Type, value = "UInt32", strconv.Itoa(serverRevision)
		case "currentdatabase()":
			value = "default"
		case "uptime()":
			column.Type, value = "UInt32", strconv.Itoa(int(srv.Now()-srv.startedAt)/1000)
		case "1":
			column.Type, value = "UInt8", "1"
		default:
			return nil, false
		}
		if i > 0 {
			row = append(row, '\t')
		}
		row = result.Escape(row, []byte(value))
		set.Columns = append(set.Columns, column)
	}
	set.Pages = [][]byte{append(row, '\n')}
	return set, true
}

// killedQueryID returns the query_id that a KILL QUERY statement names. ok is false for any other statement.
func killedQueryID(text string) (id string, ok bool) {
	if len(text) > maxLocalQueryBytes {
		return "", false
	}
	match := killPattern.FindStringSubmatch(strings.Trim(text, " \t\r\n;"))
	if match == nil {
		return "", false
	}
	return string(result.Unescape(nil, []byte(strings.ReplaceAll(match[1], "''", "'")))), true
}
