package chhttp

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"thymeway/internal/result"
)

const mediaPlain = "text/plain; charset=UTF-8"

// writeResponse writes a complete response, or its remainder if progress headers were sent before.
func (s *Session) writeResponse(status int, contentType string, fields [][2]string, body []byte) {
	var b []byte
	if !s.headSent {
		b = responseHead(status, contentType, s.closeAfterResponse)
	}
	for _, field := range fields {
		b = append(b, field[0]+": "+field[1]+"\r\n"...)
	}
	if s.headSent { // the status line was sent, so the body follows in chunks
		b = append(b, "Transfer-Encoding: chunked\r\n\r\n"...)
		if len(body) > 0 {
			b = append(fmt.Appendf(b, "%x\r\n", len(body)), body...)
			b = append(b, "\r\n"...)
		}
		if status == 200 {
			b = append(b, "0\r\n\r\n"...)
		} else { // with its last chunk, a failed response would look like a short successful one
			s.closeAfterResponse = true
		}
	} else {
		b = fmt.Appendf(b, "Content-Length: %d\r\n\r\n", len(body))
		if !s.headOnly {
			b = append(b, body...)
		}
	}
	s.headSent, s.headOnly = false, false
	s.conn.Write(b)
	if s.closeAfterResponse {
		s.finish()
	} else if s.conn.Pending() > maxUnreadBytes+len(b) {
		s.server.Faults.Add("client-deaf", "protocol", "clickhouse")
		s.close()
	}
}

// reasonPhrases holds the reason phrases of all statuses in use.
var reasonPhrases = map[int]string{200: "OK", 400: "Bad Request", 403: "Forbidden", 404: "Not Found", 408: "Request Timeout",
	413: "Payload Too Large", 417: "Expectation Failed", 423: "Locked", 431: "Request Header Fields Too Large",
	500: "Internal Server Error", 501: "Not Implemented", 503: "Service Unavailable", 505: "HTTP Version Not Supported"}

// responseHead returns the first lines of a response. closes states that the connection is closed afterwards.
func responseHead(status int, contentType string, closes bool) []byte {
	b := fmt.Appendf(nil,
		"HTTP/1.1 %d %s\r\nContent-Type: %s\r\nX-ClickHouse-Server-Display-Name: thymeway\r\nX-ClickHouse-Timezone: UTC\r\n",
		status, reasonPhrases[status], contentType)
	if closes {
		return append(b, "Connection: close\r\n"...)
	}
	return append(b, "Connection: Keep-Alive\r\n"...)
}

// writeException answers with an exception. Status 0 selects the status that belongs to the exception's code.
func (s *Session) writeException(status int, err error, fields [][2]string) {
	var ex *exception
	if !errors.As(err, &ex) {
		ex = &exception{codeProtocol, err.Error()}
	}
	info, known := exceptionCodes[ex.code]
	if !known { // an engine's exception, whose text already contains the name of its code
		info.status = 400
	}
	if status == 0 {
		status = info.status
	}
	q := s.detachQuery()
	if q != nil {
		fields = append(fields, [2]string{"X-ClickHouse-Query-Id", q.id})
	}
	fields = append(fields, [2]string{"X-ClickHouse-Exception-Code", strconv.Itoa(ex.code)})
	text := strings.ToValidUTF8(ex.text, "?")
	if known {
		text += " (" + info.name + ") (version " + serverVersion + ")"
	}
	body := fmt.Appendf(nil, "Code: %d. DB::Exception: %s\n", ex.code, text)
	s.writeResponse(status, mediaPlain, fields, body)
}

// Serve answers the open query with its result.
func (s *Session) Serve(set *result.Set) {
	s.writeResult(set)
	s.processInput()
}

// writeResult answers the open query with a result in the requested format and compression.
func (s *Session) writeResult(set *result.Set) {
	q := s.query
	q.options.elapsedSeconds = (s.server.Now() - s.queryStartedAt) / 1000
	outputFormat := formats[q.format]
	body, err := outputFormat.write(nil, set, q.options)
	if err == nil {
		body, err = compressBody(body, q.contentEncoding, q.compressBlocks, q.parameters["network_compression_method"])
	}
	if err != nil { // the query has run, but its result can't be represented in the requested format
		s.server.Faults.Add("result-unwritable", "format", q.format, "error", err)
		s.writeException(0, newException(codeNotImplemented, "the result can't be written as %s: %v", q.format, err), nil)
		return
	}
	if !s.server.mayAnswer(len(body)) {
		s.server.Faults.Add("answer-no-memory", "bytes", len(body), "unsent", s.server.Pending(), "limit", s.server.MaxUnsentBytes)
		s.writeException(0, errNoMemoryForAnswer, nil)
		return
	}
	s.detachQuery()
	fields := [][2]string{{"X-ClickHouse-Format", q.format}, {"X-ClickHouse-Summary",
		fmt.Sprintf(`{"read_rows":"%d","read_bytes":"%d","written_rows":"0","written_bytes":"0","total_rows_to_read":"0","result_rows":"%d","result_bytes":"%d","elapsed_ns":"%.0f"}`,
			set.RowCount(), set.Size(), set.RowCount(), set.Size(), q.options.elapsedSeconds*1e9)}}
	if q.id != "" {
		fields = append(fields, [2]string{"X-ClickHouse-Query-Id", q.id})
	}
	if q.contentEncoding != "" {
		fields = append(fields, [2]string{"Content-Encoding", q.contentEncoding}, [2]string{"Vary", "Accept-Encoding"})
	}
	s.writeResponse(200, outputFormat.contentType, fields, body)
}

// Refuse answers that the query has not run, so a retry is harmless. retryAfter is the advised pause in ms; 0: none.
func (s *Session) Refuse(retryAfter float64) {
	fields := [][2]string{}
	if retryAfter > 0 {
		fields = append(fields, [2]string{"Retry-After", strconv.Itoa(int(math.Ceil(retryAfter / 1000)))},
			[2]string{"X-Retry-After-Ms", strconv.Itoa(int(math.Ceil(retryAfter)))})
	}
	s.writeException(0, newException(codeTooManyQueries, "Too many simultaneous queries: the engines have no room"), fields)
	s.processInput()
}

// Fail answers that the query has failed. The response does not state whether the query has run.
func (s *Session) Fail(message string) {
	code := codeNoConnection
	if s.query != nil && s.server.Now() >= s.query.Deadline-s.server.AnswerMargin {
		code = codeTimeout
	}
	// An engine's exception is passed on with its own code.
	if rest, ok := strings.CutPrefix(message, "Code: "); ok {
		number, text, _ := strings.Cut(rest, ". DB::Exception: ")
		if n, err := strconv.Atoi(number); err == nil && text != "" {
			code, message = n, text
		}
	}
	s.writeException(0, newException(code, "%s", message), nil)
	s.processInput()
}

// Progress sends a progress header if the client has requested progress headers. share is the completed part of the query, from
// 0 to 1.
func (s *Session) Progress(share float64) {
	if s.query == nil || !s.query.wantsProgress || s.closed || s.headOnly {
		return
	}
	var b []byte
	if !s.headSent {
		s.headSent = true
		b = responseHead(200, formats[s.query.format].contentType, s.closeAfterResponse)
	}
	const totalRows = 1000 // nominal, as only the share is known
	b = fmt.Appendf(b, "X-ClickHouse-Progress: {\"read_rows\":\"%d\",\"read_bytes\":\"0\",\"total_rows_to_read\":\"%d\",\"elapsed_ns\":\"%.0f\"}\r\n",
		int(math.Max(0, math.Min(share, 1))*totalRows), totalRows, (s.server.Now()-s.queryStartedAt)*1e6)
	s.conn.Write(b)
}
