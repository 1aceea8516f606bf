package chhttp

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"thymeway/choice"
	"thymeway/internal/coordinator"
	"thymeway/internal/http1"
	"thymeway/internal/queryfields"
	"thymeway/internal/shape"
)

// Codes of ClickHouse's exceptions.
const (
	codeBadArguments     = 36
	codeSyntax           = 62
	codeTimeout          = 159
	codeReadonly         = 164
	codeTooManyQueries   = 202
	codeDuplicateQueryID = 216
	codeMemoryLimit      = 241
	codeUnknownFormat    = 73
	codeSessionNotFound  = 372
	codeSessionLocked    = 373
	codeCanceled         = 394
	codeTooLarge         = 396 // TOO_MANY_ROWS_OR_BYTES
	codeAuth             = 516
	codeBadParameter     = 457
	codeCannotDecompress = 271 // CANNOT_DECOMPRESS
	codeNoConnection     = 279
	codeNotImplemented   = 48
	codeAborted          = 236
	codeProtocol         = 1000 // POCO_EXCEPTION
)

// codeInfo holds the name of an exception code and the HTTP status sent with it.
type codeInfo struct {
	name   string
	status int
}

// exceptionCodes holds the exception codes that this package creates. Other codes come from engines.
var exceptionCodes = map[int]codeInfo{
	codeBadArguments: {"BAD_ARGUMENTS", 400}, codeSyntax: {"SYNTAX_ERROR", 400}, codeTimeout: {"TIMEOUT_EXCEEDED", 408},
	codeReadonly: {"READONLY", 500}, codeTooManyQueries: {"TOO_MANY_SIMULTANEOUS_QUERIES", 503},
	codeDuplicateQueryID: {"QUERY_WITH_SAME_ID_IS_ALREADY_RUNNING", 500}, codeMemoryLimit: {"MEMORY_LIMIT_EXCEEDED", 500},
	codeUnknownFormat: {"UNKNOWN_FORMAT", 404}, codeSessionNotFound: {"SESSION_NOT_FOUND", 404},
	codeSessionLocked: {"SESSION_IS_LOCKED", 423}, codeCanceled: {"QUERY_WAS_CANCELLED", 500},
	codeTooLarge: {"TOO_MANY_ROWS_OR_BYTES", 500}, codeAuth: {"AUTHENTICATION_FAILED", 403},
	codeBadParameter: {"BAD_QUERY_PARAMETER", 400}, codeCannotDecompress: {"CANNOT_DECOMPRESS", 400},
	codeNoConnection: {"ALL_CONNECTION_TRIES_FAILED", 500}, codeNotImplemented: {"NOT_IMPLEMENTED", 501},
	codeAborted: {"ABORTED", 503}, codeProtocol: {"POCO_EXCEPTION", 400},
}

// exception is an error with the exception code that the client receives.
type exception struct {
	code int
	text string
}

func (e *exception) Error() string { return e.text }

// newException returns an exception with a formatted text.
func newException(code int, format string, args ...any) error {
	return &exception{code, fmt.Sprintf(format, args...)}
}

// hasCode reports whether an error is an exception with the code.
func hasCode(err error, code int) bool {
	var e *exception
	return errors.As(err, &e) && e.code == code
}

// query is a parsed and checked query, with the options for its response.
type query struct {
	*coordinator.Request
	timeLimit       float64 // ms from the arrival of the request to its response
	id              string  // query_id
	sessionID       string  // session_id
	format          string  // name of the output format
	user            string
	options         formatOptions
	wantsProgress   bool              // send_progress_in_http_headers
	compressBlocks  bool              // compress: the response consists of ClickHouse's compressed blocks
	contentEncoding string            // of the response, chosen from Accept-Encoding; "": none
	parameters      map[string]string // URL parameters
}

const (
	maxParameters = 256
	maxIDBytes    = 128       // length of a query_id or session_id
	maxTimeLimit  = 3600000.0 // ms, for queries whose class has no time limit
)

// interfaceParameters are the URL parameters of the HTTP interface itself. All others are settings and are passed on to the
// engine.
var interfaceParameters = map[string]bool{"query": true, "database": true, "user": true, "password": true, "quota_key": true,
	"query_id": true, "session_id": true, "session_timeout": true, "session_check": true, "default_format": true,
	"wait_end_of_query": true, "enable_http_compression": true, "http_zlib_compression_level": true, "compress": true,
	"decompress": true, "buffer_size": true, "send_progress_in_http_headers": true, "http_headers_progress_interval_ms": true,
	"client_protocol_version": true, "role": true, "network_compression_method": true, "network_zstd_compression_level": true,
	"output_format_json_quote_64bit_integers": true}

// parseTarget splits a request target into its path and parameters. A parameter that is given twice is refused, because a proxy
// and this program might each use a different one of its values.
func parseTarget(target string) (path string, parameters map[string]string, err error) {
	path, raw, _ := strings.Cut(target, "?")
	parameters = map[string]string{}
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
		switch _, repeated := parameters[name]; {
		case err != nil:
			return path, nil, newException(codeBadArguments, "parameter %.60q: %v", pair, err)
		case repeated:
			return path, nil, newException(codeBadArguments, "parameter %.60q: given twice", name)
		case len(parameters) >= maxParameters:
			return path, nil, newException(codeBadArguments, "over %d parameters", maxParameters)
		}
		// Unescaping returns a part of the target where nothing is escaped. It would keep the whole head in memory.
		parameters[strings.Clone(name)] = strings.Clone(value)
	}
	return path, parameters, nil
}

// enabled reports whether the value of a Boolean parameter is true.
func enabled(s string) bool { return s == "1" || strings.EqualFold(s, "true") }

// readCredentials returns the user name and password, which may be given in the URL, by basic authentication or in headers. A
// request that uses more than one of these ways is refused.
func readCredentials(head *http1.Head, parameters map[string]string) (name, password string, err error) {
	methods := 0
	name = "default"
	if _, ok := parameters["user"]; ok || parameters["password"] != "" {
		methods++
		name, password = firstNonEmpty(parameters["user"], name), parameters["password"]
	}
	if s, ok := head.Find("x-clickhouse-user"); ok {
		methods++
		name, password = firstNonEmpty(strings.Clone(s), name), head.Get("x-clickhouse-key")
	}
	if s, ok := head.Find("authorization"); ok {
		methods++
		encoded, basic := strings.CutPrefix(s, "Basic ")
		b, err := base64.StdEncoding.DecodeString(strings.TrimSpace(encoded))
		if !basic || err != nil {
			return "", "", newException(codeAuth, "only basic authentication is known")
		}
		user, pass, _ := strings.Cut(string(b), ":")
		name, password = firstNonEmpty(user, name), pass
	}
	if methods > 1 {
		return "", "", newException(codeAuth, "more than one way of authentication is used")
	}
	return name, password, nil
}

// firstNonEmpty returns a, or b if a is empty.
func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// authenticate checks a user's password and returns the tenant that the user belongs to. The error for an unknown name equals
// the one for a wrong password; otherwise it would disclose which names exist.
func (srv *Server) authenticate(name, password, quotaKey string) (string, error) {
	denied := newException(codeAuth,
		"%.60s: Authentication failed: password is incorrect, or there is no user with such name.", name)
	local := srv.Config.Local
	if len(local.Users) > 0 {
		user, ok := local.Users[name]
		sum := sha256.Sum256([]byte(password))
		if !ok || user.PasswordHash != "" &&
			subtle.ConstantTimeCompare([]byte(user.PasswordHash), []byte(hex.EncodeToString(sum[:]))) != 1 {
			return "", denied
		}
		return user.Tenant, nil
	}
	for _, tenant := range srv.Config.Scheduler.Tenants {
		if tenant.Name == name || name == "default" && tenant.Name == quotaKey {
			return tenant.Name, nil
		}
	}
	if len(srv.Config.Scheduler.Tenants) > 0 {
		return "", denied
	}
	return name, nil
}

// readQuery creates a query from an HTTP request. The fields of the request for the scheduler are set as follows:
//
//	tenant           the tenant of the user; quota_key if the request names no user
//	deadline         from max_execution_time and the time limit of the class
//	class            from the fields in the statement's comment, if present; otherwise from the kind of the statement
//	idempotency key  insert_deduplication_token; without it, a key derived from the request's ID
//	order key        the header or setting that the local settings name; without it, the tables that are written
//
// Its text has at most maxBytes bytes once the body is unpacked and once the parameters are filled in.
func (srv *Server) readQuery(head *http1.Head, body []byte, maxBytes int) (*query, error) {
	_, parameters, err := parseTarget(head.Target)
	if err != nil {
		return nil, err
	}
	name, password, err := readCredentials(head, parameters)
	if err != nil {
		return nil, err
	}
	quotaKey := firstNonEmpty(parameters["quota_key"], fieldValue(head, "x-clickhouse-quota"))
	tenant, err := srv.authenticate(name, password, quotaKey)
	if err != nil {
		return nil, err
	}
	q := &query{user: name, id: parameters["query_id"], sessionID: parameters["session_id"], parameters: parameters,
		wantsProgress:  enabled(parameters["send_progress_in_http_headers"]),
		compressBlocks: enabled(parameters["compress"])}
	if len(q.id) > maxIDBytes || len(q.sessionID) > maxIDBytes {
		return nil, newException(codeBadArguments, "an id over %d bytes", maxIDBytes)
	}
	for i := 0; i < len(q.id); i++ {
		if q.id[i] < ' ' || q.id[i] == 0x7f {
			return nil, newException(codeBadArguments, "byte %q in query_id", q.id[i])
		}
	}
	if q.sessionID != "" && enabled(parameters["session_check"]) {
		return nil, newException(codeSessionNotFound, "Session %.60q not found: no session is kept between two queries",
			q.sessionID)
	}
	if enabled(parameters["enable_http_compression"]) {
		q.contentEncoding = chooseEncoding(head.Get("accept-encoding"))
	}
	q.options.quote64Bit = parameters["output_format_json_quote_64bit_integers"] != "0"
	if version := parameters["client_protocol_version"]; version != "" {
		if q.options.revision, err = strconv.ParseUint(version, 10, 32); err != nil {
			return nil, newException(codeBadArguments, "client_protocol_version %.20q", version)
		}
	}
	body, err = decompressBody(head.Get("content-encoding"), enabled(parameters["decompress"]), body, maxBytes)
	if hasCode(err, codeTooLarge) {
		return nil, srv.tooLargeError(maxBytes)
	}
	if err != nil {
		return nil, err
	}
	text, data := parameters["query"], []byte(nil)
	if text == "" {
		text = string(body)
	} else {
		data = body
	}
	return q, srv.fillRequest(q, head, parameters, tenant, text, data, maxBytes)
}

// fillRequest creates the request for the coordinator and stores it in the query. data holds the rows of an INSERT that are sent
// separately from its text.
func (srv *Server) fillRequest(q *query, head *http1.Head, parameters map[string]string, tenant, text string, data []byte,
	maxBytes int) error {
	if strings.Trim(text, " \t\r\n;") == "" {
		return newException(codeSyntax, "Syntax error: Empty query")
	}
	request, commentLimit, err := &coordinator.Request{}, 0.0, error(nil)
	if queryfields.HasFields(text) {
		if request, commentLimit, err = queryfields.Parse(text); err != nil {
			return newException(codeSyntax, "%v", err)
		}
		text = request.Statement
	} else {
		request.ID, request.IDGenerated = fmt.Sprintf("%016x", srv.Random.Uint64()), true
	}
	q.Request = request
	request.QueryID = q.id
	if request.Tenant == "" {
		request.Tenant = tenant
	}
	if request.Tenant != tenant && len(srv.Config.Local.Users) > 0 {
		return newException(codeAuth, "user %.60s does not belong to %.60s", q.user, request.Tenant)
	}
	q.format = firstNonEmpty(parameters["default_format"], firstNonEmpty(fieldValue(head, "x-clickhouse-format"), "TabSeparated"))
	if name, clause, ok := shape.FindFormatClause(text); ok {
		q.format = name
		text = strings.TrimRight(text[:clause.Start], " \t\r\n") + text[clause.End:]
	}
	if _, ok := formats[q.format]; !ok {
		return newException(codeUnknownFormat, "Unknown format %.60s", q.format)
	}
	clickHouse := &coordinator.ClickHouse{Text: text, Data: data,
		Database: firstNonEmpty(parameters["database"], fieldValue(head, "x-clickhouse-database"))}
	queryParams := map[string]string{}
	for _, name := range sortedNames(parameters) {
		if param, ok := strings.CutPrefix(name, "param_"); ok {
			queryParams[param] = parameters[name]
			clickHouse.Params = append(clickHouse.Params, [2]string{param, parameters[name]})
		} else if !interfaceParameters[name] && name != srv.Config.Local.ClickHouse.KeySetting &&
			name != "max_execution_time" && name != "insert_deduplication_token" {
			clickHouse.Settings = append(clickHouse.Settings, [2]string{name, parameters[name]})
		}
	}
	statement, err := shape.SubstituteParameters(text, maxBytes, func(name, typ string) (string, error) {
		value, ok := queryParams[name]
		if !ok {
			return "", newException(codeBadParameter, "Query parameter `%.60s` was not set", name)
		}
		return parameterLiteral(name, value, typ)
	})
	if errors.Is(err, shape.ErrTextTooLong) {
		return srv.tooLargeError(maxBytes)
	}
	if err != nil {
		return err
	}
	request.Dialect, request.ClickHouse, request.Statement = shape.ClickHouse, clickHouse, statement
	if len(data) > 0 {
		request.Statement += "\n" + string(data)
	}
	srv.Coordinator.Recognize(request)
	if head.Method != "POST" && request.Shape.Kind == shape.Write { // proxies may repeat GET and HEAD requests
		return newException(codeReadonly,
			"Cannot execute query in readonly mode. For queries over HTTP, method GET implies readonly.")
	}
	if request.Class == "" {
		class, ok := srv.Config.ClassRules().ClassOf(request.Shape.Kind)
		if !ok {
			return newException(codeBadArguments, "no class for a statement that is %v", request.Shape.Kind)
		}
		request.Class = class
	}
	if q.timeLimit, err = srv.timeLimit(request.Class, parameters["max_execution_time"], commentLimit); err != nil {
		return err
	}
	if token := parameters["insert_deduplication_token"]; token != "" {
		if request.IdempotencyKey, err = queryfields.ParseWord(token); err != nil {
			return newException(codeBadArguments, "insert_deduplication_token: %v", err)
		}
	}
	if orderKey := firstNonEmpty(fieldValue(head, srv.Config.Local.ClickHouse.KeyHeader),
		parameters[srv.Config.Local.ClickHouse.KeySetting]); orderKey != "" {
		if request.OrderKey, err = queryfields.ParseWord(orderKey); err != nil {
			return newException(codeBadArguments, "%s: %v", srv.Config.Local.ClickHouse.KeySetting, err)
		}
	}
	for _, class := range srv.Config.Scheduler.Classes {
		if class.Name != request.Class {
			continue
		}
		if class.InOrder && request.OrderKey == "" {
			request.OrderKey = "tables:" + strings.Join(request.Shape.Writes, "+")
		}
		if class.Idempotency == choice.Deduplicated && request.IdempotencyKey == "" {
			request.IdempotencyKey, request.KeyGenerated = "once-"+request.ID, true
		}
	}
	if err := srv.Coordinator.Check(request); err != nil {
		return newException(codeBadArguments, "%v", err)
	}
	return nil
}

// timeLimit returns how long a request may take, in ms: the lowest of the limits of its class, its comment (0: none) and its
// max_execution_time, in seconds ("" or 0: none).
func (srv *Server) timeLimit(class, seconds string, commentLimit float64) (float64, error) {
	limit := maxTimeLimit
	for _, settings := range srv.Config.Scheduler.Classes {
		if settings.Name == class && settings.ClientTimeout > 0 {
			limit = settings.ClientTimeout
		}
	}
	if commentLimit > 0 {
		limit = min(limit, commentLimit)
	}
	if seconds == "" {
		return limit, nil
	}
	parsed, err := strconv.ParseFloat(seconds, 64)
	if err != nil || !(parsed >= 0 && parsed <= 1e9) {
		return 0, newException(codeBadArguments, "max_execution_time %.40q", seconds)
	}
	if parsed > 0 { // 0 sets no limit
		limit = min(limit, parsed*1000)
	}
	return limit, nil
}

// sortedNames returns the names of the parameters in alphabetical order.
func sortedNames(parameters map[string]string) []string {
	names := make([]string, 0, len(parameters))
	for name := range parameters {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// parameterLiteral returns the value of a query parameter as a literal of its type. Invalid values are refused and texts are
// quoted, because a value that was inserted unchanged could alter the query (SQL injection).
func parameterLiteral(name, value, typeName string) (string, error) {
	invalid := newException(codeBadParameter, "Value %.60q cannot be parsed as %.60s for query parameter '%.60s'",
		value, typeName, name)
	if typeName == "Identifier" {
		if value == "" || strings.IndexByte(value, 0) >= 0 {
			return "", invalid
		}
		return "`" + strings.NewReplacer("\\", "\\\\", "`", "\\`").Replace(value) + "`", nil
	}
	t := parseType(typeName)
	if t.nullable && value == `\N` {
		return "NULL", nil
	}
	// Values are escaped like TabSeparated cells.
	value = unescape(value)
	if t.kind == kindText {
		return "", newException(codeBadParameter, "query parameter '%.60s': type %.60s is not known", name, typeName)
	}
	if _, err := t.appendBinary(nil, value); err != nil {
		if t.kind == kindDateTime || t.kind == kindDateTime64 { // a Unix time in seconds is also valid
			if _, numberErr := strconv.ParseUint(value, 10, 32); numberErr == nil {
				return value, nil
			}
		}
		return "", invalid
	}
	switch t.kind {
	case kindInt, kindUint, kindBool:
		return value, nil
	case kindFloat, kindDecimal:
		if isNumber(value) {
			return value, nil
		}
		return "", invalid
	}
	return quoteLiteral(value), nil
}

// quoteLiteral returns a text as a string literal. PostgreSQL and ClickHouse read it alike if the text contains no backslash.
func quoteLiteral(s string) string {
	return "'" + strings.NewReplacer(`\`, `\\`, "'", "''").Replace(s) + "'"
}
