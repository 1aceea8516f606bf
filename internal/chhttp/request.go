package chhttp

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"thymeway/choice"
	"thymeway/internal/coordinator"
	"thymeway/internal/fields"
	"thymeway/internal/http1"
	"thymeway/internal/shape"
)

// Codes of ClickHouse's exceptions, with their names and the status that goes with each.
const (
	codeBadArguments  = 36
	codeSyntax        = 62
	codeTimeout       = 159
	codeReadonly      = 164
	codeTooMany       = 202
	codeSameID        = 216
	codeMemory        = 241
	codeUnknownFormat = 73
	codeNoSession     = 372
	codeLocked        = 373
	codeCanceled      = 394
	codeTooLarge      = 396 // TOO_MANY_ROWS_OR_BYTES
	codeAuth          = 516
	codeBadParameter  = 457
	codeUnpack        = 271 // CANNOT_DECOMPRESS
	codeNoTries       = 279
	codeUnsupported   = 48
	codeAborted       = 236
	codeProtocol      = 1000 // POCO_EXCEPTION
)

type code struct {
	name   string
	status int
}

var codes = map[int]code{
	codeBadArguments: {"BAD_ARGUMENTS", 400}, codeSyntax: {"SYNTAX_ERROR", 400}, codeTimeout: {"TIMEOUT_EXCEEDED", 408},
	codeReadonly: {"READONLY", 500}, codeTooMany: {"TOO_MANY_SIMULTANEOUS_QUERIES", 503}, codeSameID: {"QUERY_WITH_SAME_ID_IS_ALREADY_RUNNING", 500},
	codeMemory: {"MEMORY_LIMIT_EXCEEDED", 500}, codeUnknownFormat: {"UNKNOWN_FORMAT", 404}, codeNoSession: {"SESSION_NOT_FOUND", 404},
	codeLocked: {"SESSION_IS_LOCKED", 423}, codeCanceled: {"QUERY_WAS_CANCELLED", 500}, codeTooLarge: {"TOO_MANY_ROWS_OR_BYTES", 500},
	codeAuth: {"AUTHENTICATION_FAILED", 403}, codeBadParameter: {"BAD_QUERY_PARAMETER", 400}, codeUnpack: {"CANNOT_DECOMPRESS", 400},
	codeNoTries: {"ALL_CONNECTION_TRIES_FAILED", 500}, codeUnsupported: {"NOT_IMPLEMENTED", 501}, codeAborted: {"ABORTED", 503},
	codeProtocol: {"POCO_EXCEPTION", 400},
}

// An exception is an error of the interface.
type exception struct {
	code int
	text string
}

func (e *exception) Error() string { return e.text }

func except(code int, format string, args ...any) error {
	return &exception{code, fmt.Sprintf(format, args...)}
}

// query is a request of the interface, read and checked.
type query struct {
	*coordinator.Request
	limit     float64 // ms
	id        string  // query_id
	session   string
	format    string
	user      string
	options   options
	progress  bool   // send_progress_in_http_headers
	pack      bool   // compress: in blocks
	encoding  string // of the answer, by Accept-Encoding
	head      bool   // HEAD: an answer without its body
	parameter map[string]string
}

const (
	mostParameters = 256
	mostID         = 128 // bytes of a query_id or session_id
	mostLimit      = 3600000.0
)

// own are the parameters that the interface itself heeds. All others are settings, which pass on to the engine.
var own = map[string]bool{"query": true, "database": true, "user": true, "password": true, "quota_key": true, "query_id": true,
	"session_id": true, "session_timeout": true, "session_check": true, "default_format": true, "wait_end_of_query": true,
	"enable_http_compression": true, "http_zlib_compression_level": true, "compress": true, "decompress": true, "buffer_size": true,
	"send_progress_in_http_headers": true, "http_headers_progress_interval_ms": true, "client_protocol_version": true, "role": true,
	"network_compression_method": true, "network_zstd_compression_level": true, "output_format_json_quote_64bit_integers": true}

// values reads the parameters of a target. Danger: one given twice could be read in two ways.
func values(target string) (path string, v map[string]string, err error) {
	path, raw, _ := strings.Cut(target, "?")
	v = map[string]string{}
	for raw != "" {
		var pair string
		pair, raw, _ = strings.Cut(raw, "&")
		if pair == "" {
			continue
		}
		name, value, _ := strings.Cut(pair, "=")
		name, err = url.QueryUnescape(name)
		if err == nil {
			value, err = url.QueryUnescape(value)
		}
		switch _, twice := v[name]; {
		case err != nil:
			return path, nil, except(codeBadArguments, "parameter %.60q: %v", pair, err)
		case twice:
			return path, nil, except(codeBadArguments, "parameter %.60q: given twice", name)
		case len(v) >= mostParameters:
			return path, nil, except(codeBadArguments, "over %d parameters", mostParameters)
		}
		v[name] = value
	}
	return path, v, nil
}

func enabled(s string) bool { return s == "1" || strings.EqualFold(s, "true") }

// user finds who asks, by the URL, basic authentication or headers, but one of them only.
func user(h *http1.Head, v map[string]string) (name, password string, err error) {
	ways := 0
	name = "default"
	if _, ok := v["user"]; ok || v["password"] != "" {
		ways++
		name, password = first(v["user"], name), v["password"]
	}
	if s, ok := h.Find("x-clickhouse-user"); ok {
		ways++
		name, password = first(s, name), h.Get("x-clickhouse-key")
	}
	if s, ok := h.Find("authorization"); ok {
		ways++
		coded, basic := strings.CutPrefix(s, "Basic ")
		b, err := base64.StdEncoding.DecodeString(strings.TrimSpace(coded))
		if !basic || err != nil {
			return "", "", except(codeAuth, "only basic authentication is known")
		}
		n, p, _ := strings.Cut(string(b), ":")
		name, password = first(n, name), p
	}
	if ways > 1 {
		return "", "", except(codeAuth, "more than one way of authentication is used")
	}
	return name, password, nil
}

func first(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// tenant is the member that a user belongs to. Danger: whether a name or its password is wrong is not told.
func (f *Front) tenant(name, password, quota string) (string, error) {
	denied := except(codeAuth, "%.60s: Authentication failed: password is incorrect, or there is no user with such name.", name)
	c := f.Config.Local
	if len(c.Users) > 0 {
		u, ok := c.Users[name]
		sum := sha256.Sum256([]byte(password))
		if !ok || u.PasswordHash != "" && subtle.ConstantTimeCompare([]byte(u.PasswordHash), []byte(hex.EncodeToString(sum[:]))) != 1 {
			return "", denied
		}
		return u.Tenant, nil
	}
	for _, t := range f.Config.Scheduler.Tenants {
		if t.Name == name || name == "default" && t.Name == quota {
			return t.Name, nil
		}
	}
	if len(f.Config.Scheduler.Tenants) > 0 {
		return "", denied
	}
	return name, nil
}

// read makes a query of a request. This is the one place where the interface's terms become the module's:
//
//	tenant     the user's, or quota_key where nobody is named
//	deadline   max_execution_time, and the class's limit
//	class      by what the statement does; by the fields of its comment, if it has them
//	repeats    insert_deduplication_token; without one, each request is its own
//	order      the header or setting that our settings name; without one, the tables that are written
func (f *Front) read(h *http1.Head, body []byte) (*query, error) {
	_, v, err := values(h.Target)
	if err != nil {
		return nil, err
	}
	name, password, err := user(h, v)
	if err != nil {
		return nil, err
	}
	quota := first(v["quota_key"], h.Get("x-clickhouse-quota"))
	tenant, err := f.tenant(name, password, quota)
	if err != nil {
		return nil, err
	}
	q := &query{user: name, id: v["query_id"], session: v["session_id"], parameter: v, head: h.Method == "HEAD",
		progress: enabled(v["send_progress_in_http_headers"]), pack: enabled(v["compress"])}
	if len(q.id) > mostID || len(q.session) > mostID {
		return nil, except(codeBadArguments, "an id over %d bytes", mostID)
	}
	for i := 0; i < len(q.id); i++ {
		if q.id[i] < ' ' || q.id[i] == 0x7f {
			return nil, except(codeBadArguments, "byte %q in query_id", q.id[i])
		}
	}
	if q.session != "" && enabled(v["session_check"]) {
		return nil, except(codeNoSession, "Session %.60q not found: no session is kept between two queries", q.session)
	}
	if enabled(v["enable_http_compression"]) {
		q.encoding = accepted(h.Get("accept-encoding"))
	}
	q.options.quote64 = v["output_format_json_quote_64bit_integers"] != "0"
	if p := v["client_protocol_version"]; p != "" {
		if q.options.revision, err = strconv.ParseUint(p, 10, 32); err != nil {
			return nil, except(codeBadArguments, "client_protocol_version %.20q", p)
		}
	}
	if body, err = unpacked(h.Get("content-encoding"), enabled(v["decompress"]), body, f.Config.Local.ClickHouse.MaxBodyBytes); err != nil {
		return nil, err
	}
	text, data := v["query"], []byte(nil)
	if text == "" {
		text = string(body)
	} else {
		data = body
	}
	return q, f.request(q, h, v, tenant, text, data)
}

// request fills in what goes to the coordinator.
func (f *Front) request(q *query, h *http1.Head, v map[string]string, tenant, text string, data []byte) error {
	if strings.Trim(text, " \t\r\n;") == "" {
		return except(codeSyntax, "Syntax error: Empty query")
	}
	r, limit, err := &coordinator.Request{}, 0.0, error(nil)
	if fields.HasFields(text) {
		if r, limit, err = fields.Parse(text); err != nil {
			return except(codeSyntax, "%v", err)
		}
		text = r.Statement
	} else {
		r.ID = fmt.Sprintf("%016x", f.Random.Uint64())
	}
	q.Request = r
	if r.Tenant == "" {
		r.Tenant = tenant
	}
	if r.Tenant != tenant && len(f.Config.Local.Users) > 0 {
		return except(codeAuth, "user %.60s does not belong to %.60s", q.user, r.Tenant)
	}
	q.format = first(v["default_format"], first(h.Get("x-clickhouse-format"), "TabSeparated"))
	if name, at, ok := shape.FindFormatClause(text); ok {
		q.format = name
		text = strings.TrimRight(text[:at.Start], " \t\r\n") + text[at.End:]
	}
	if _, ok := formats[q.format]; !ok {
		return except(codeUnknownFormat, "Unknown format %.60s", q.format)
	}
	ch := &coordinator.ClickHouse{Text: text, Data: data, Database: first(v["database"], h.Get("x-clickhouse-database"))}
	params := map[string]string{}
	for _, name := range sorted(v) {
		if p, ok := strings.CutPrefix(name, "param_"); ok {
			params[p] = v[name]
			ch.Params = append(ch.Params, [2]string{p, v[name]})
		} else if !own[name] && name != f.Config.Local.ClickHouse.KeySetting && name != "max_execution_time" && name != "insert_deduplication_token" {
			ch.Settings = append(ch.Settings, [2]string{name, v[name]})
		}
	}
	whole, err := shape.SubstituteParameters(text, func(name, typ string) (string, error) {
		value, ok := params[name]
		if !ok {
			return "", except(codeBadParameter, "Query parameter `%.60s` was not set", name)
		}
		return rendered(name, value, typ)
	})
	if err != nil {
		return err
	}
	r.Dialect, r.ClickHouse, r.Statement = shape.ClickHouse, ch, whole
	if len(data) > 0 {
		r.Statement += "\n" + string(data)
	}
	f.Coordinator.Recognise(r)
	if h.Method != "POST" && r.Shape.Kind == shape.Write { // what may be asked again by any proxy must not write
		return except(codeReadonly, "Cannot execute query in readonly mode. For queries over HTTP, method GET implies readonly.")
	}
	if r.Class == "" {
		class, ok := f.Config.ClassRules().ClassOf(r.Shape.Kind)
		if !ok {
			return except(codeBadArguments, "no class for a statement that is %v", r.Shape.Kind)
		}
		r.Class = class
	}
	if q.limit, err = f.limit(r.Class, v["max_execution_time"], limit); err != nil {
		return err
	}
	if t := v["insert_deduplication_token"]; t != "" {
		if r.IdempotencyKey, err = fields.ParseWord(t); err != nil {
			return except(codeBadArguments, "insert_deduplication_token: %v", err)
		}
	}
	if k := first(h.Get(f.Config.Local.ClickHouse.KeyHeader), v[f.Config.Local.ClickHouse.KeySetting]); k != "" {
		if r.OrderKey, err = fields.ParseWord(k); err != nil {
			return except(codeBadArguments, "%s: %v", f.Config.Local.ClickHouse.KeySetting, err)
		}
	}
	for _, c := range f.Config.Scheduler.Classes {
		if c.Name != r.Class {
			continue
		}
		if c.InOrder && r.OrderKey == "" {
			r.OrderKey = "tables:" + strings.Join(r.Shape.Writes, "+")
		}
		if c.Idempotency == choice.Deduplicated && r.IdempotencyKey == "" {
			r.IdempotencyKey = "once-" + r.ID
		}
	}
	if err := f.Coordinator.Check(r); err != nil {
		return except(codeBadArguments, "%v", err)
	}
	return nil
}

// limit is how long a request may take, in ms.
func (f *Front) limit(class, seconds string, told float64) (float64, error) {
	limit := mostLimit
	for _, c := range f.Config.Scheduler.Classes {
		if c.Name == class && c.ClientTimeout > 0 {
			limit = c.ClientTimeout
		}
	}
	if told > 0 {
		limit = min(limit, told)
	}
	if seconds == "" {
		return limit, nil
	}
	s, err := strconv.ParseFloat(seconds, 64)
	if err != nil || !(s >= 0 && s <= 1e9) {
		return 0, except(codeBadArguments, "max_execution_time %.40q", seconds)
	}
	if s > 0 { // 0 means no limit of the request's own
		limit = min(limit, s*1000)
	}
	return limit, nil
}

func sorted(v map[string]string) []string {
	names := make([]string, 0, len(v))
	for n := range v {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}

// rendered is a parameter's value as a literal of its type. Danger: a value never stands in the text as it came.
func rendered(name, value, typ string) (string, error) {
	bad := except(codeBadParameter, "Value %.60q cannot be parsed as %.60s for query parameter '%.60s'", value, typ, name)
	if typ == "Identifier" {
		if value == "" || strings.IndexByte(value, 0) >= 0 {
			return "", bad
		}
		return "`" + strings.NewReplacer("\\", "\\\\", "`", "\\`").Replace(value) + "`", nil
	}
	t := parseType(typ)
	if t.nullable && value == `\N` {
		return "NULL", nil
	}
	// Values come escaped as a TabSeparated cell is.
	value = unescaped(value)
	if t.kind == kindText {
		return "", except(codeBadParameter, "query parameter '%.60s': type %.60s is not known", name, typ)
	}
	if _, err := t.binaryValue(nil, value); err != nil {
		if t.kind == kindDateTime || t.kind == kindDateTime64 { // also as a number of seconds
			if _, nerr := strconv.ParseUint(value, 10, 32); nerr == nil {
				return value, nil
			}
		}
		return "", bad
	}
	switch t.kind {
	case kindInt, kindUint, kindBool:
		return value, nil
	case kindFloat, kindDecimal:
		if isNumber(value) {
			return value, nil
		}
		return "", bad
	}
	return quote(value), nil
}

// quote is a text as a literal that PostgreSQL and ClickHouse read alike, where it holds no backslash.
func quote(s string) string {
	return "'" + strings.NewReplacer(`\`, `\\`, "'", "''").Replace(s) + "'"
}

// The queries with which clients greet, answered here: they ask about the server and run nowhere.
