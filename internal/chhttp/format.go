package chhttp

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"

	"thymeway/internal/result"
)

// formatOptions are a client's options for the output formats.
type formatOptions struct {
	revision       uint64  // client_protocol_version; used by Native
	quote64Bit     bool    // JSON formats write integers of 64 or more bits in quotes
	elapsedSeconds float64 // duration of the query; used by JSON and JSONCompact
}

// format is an output format: its Content-Type, and the function that appends a result.
type format struct {
	contentType string
	write       func(dst []byte, s *result.Set, o formatOptions) ([]byte, error)
}

// Values of Content-Type.
const (
	mediaTSV           = "text/tab-separated-values; charset=UTF-8"
	mediaCSV           = "text/csv; charset=UTF-8; header=absent"
	mediaCSVWithHeader = "text/csv; charset=UTF-8; header=present"
	mediaJSON          = "application/json; charset=UTF-8"
	mediaNDJSON        = "application/x-ndjson; charset=UTF-8"
	mediaBinary        = "application/octet-stream"
)

// formats holds all output formats by name, including their aliases.
var formats = map[string]format{}

func init() {
	add := func(outputFormat format, names ...string) {
		for _, n := range names {
			formats[n] = outputFormat
		}
	}
	add(format{mediaTSV, tabSeparatedWriter(0)}, "TabSeparated", "TSV")
	add(format{mediaTSV, tabSeparatedWriter(1)}, "TabSeparatedWithNames", "TSVWithNames")
	add(format{mediaTSV, tabSeparatedWriter(2)}, "TabSeparatedWithNamesAndTypes", "TSVWithNamesAndTypes")
	add(format{mediaCSV, csvWriter(0)}, "CSV")
	add(format{mediaCSVWithHeader, csvWriter(1)}, "CSVWithNames")
	add(format{mediaCSVWithHeader, csvWriter(2)}, "CSVWithNamesAndTypes")
	add(format{mediaJSON, jsonWriter(false)}, "JSON")
	add(format{mediaJSON, jsonWriter(true)}, "JSONCompact")
	add(format{mediaNDJSON, writeJSONEachRow}, "JSONEachRow", "JSONLines", "NDJSON")
	add(format{mediaBinary, rowBinaryWriter(0)}, "RowBinary")
	add(format{mediaBinary, rowBinaryWriter(1)}, "RowBinaryWithNames")
	add(format{mediaBinary, rowBinaryWriter(2)}, "RowBinaryWithNamesAndTypes")
	add(format{mediaBinary, writeNative}, "Native")
	add(format{mediaTSV, func(dst []byte, _ *result.Set, _ formatOptions) ([]byte, error) { return dst, nil }}, "Null")
}

// columnTypes returns the parsed types of a result's columns.
func columnTypes(set *result.Set) []columnType {
	list := make([]columnType, len(set.ColumnsOrDefault()))
	for i, c := range set.ColumnsOrDefault() {
		list[i] = parseType(c.Type)
	}
	return list
}

// tabSeparatedWriter returns a function that writes TabSeparated. headerLines is the number of header lines: one holds the column
// names, a second one their types.
func tabSeparatedWriter(headerLines int) func([]byte, *result.Set, formatOptions) ([]byte, error) {
	return func(dst []byte, set *result.Set, _ formatOptions) ([]byte, error) {
		writeLine := func(text func(result.Column) string) {
			for i, c := range set.ColumnsOrDefault() {
				if i > 0 {
					dst = append(dst, '\t')
				}
				dst = result.Escape(dst, []byte(text(c)))
			}
			dst = append(dst, '\n')
		}
		if len(set.ColumnsOrDefault()) == 0 {
			return dst, nil
		}
		if headerLines > 0 {
			writeLine(func(c result.Column) string { return c.Name })
		}
		if headerLines > 1 {
			writeLine(func(c result.Column) string { return c.Type })
		}
		if set.Escaped { // the engine's rows are in this format already
			for _, page := range set.Pages {
				dst = append(dst, page...)
			}
			return dst, nil
		}
		err := set.EachRow(func(row []result.Cell) error {
			for i, c := range row {
				if i > 0 {
					dst = append(dst, '\t')
				}
				dst = result.Escape(dst, c.Text)
			}
			dst = append(dst, '\n')
			return nil
		})
		return dst, err
	}
}

// appendCSVCell appends a text in double quotes.
func appendCSVCell(dst []byte, text string) []byte {
	return append(append(append(dst, '"'), strings.ReplaceAll(text, `"`, `""`)...), '"')
}

// csvWriter returns a function that writes CSV. headerLines has the same meaning as for tabSeparatedWriter.
func csvWriter(headerLines int) func([]byte, *result.Set, formatOptions) ([]byte, error) {
	return func(dst []byte, set *result.Set, _ formatOptions) ([]byte, error) {
		types := columnTypes(set)
		writeLine := func(text func(result.Column) string) {
			for i, c := range set.ColumnsOrDefault() {
				if i > 0 {
					dst = append(dst, ',')
				}
				dst = appendCSVCell(dst, text(c))
			}
			dst = append(dst, '\n')
		}
		if len(types) == 0 {
			return dst, nil
		}
		if headerLines > 0 {
			writeLine(func(c result.Column) string { return c.Name })
		}
		if headerLines > 1 {
			writeLine(func(c result.Column) string { return c.Type })
		}
		err := set.EachRow(func(row []result.Cell) error {
			for i, c := range row {
				if i > 0 {
					dst = append(dst, ',')
				}
				unquoted, _ := types[i].unquoted()
				switch {
				case c.Null:
					dst = append(dst, `\N`...)
				case unquoted || types[i].kind == kindDecimal:
					dst = append(dst, c.Text...)
				default:
					dst = appendCSVCell(dst, string(c.Text))
				}
			}
			dst = append(dst, '\n')
			return nil
		})
		return dst, err
	}
}

const hexDigits = "0123456789abcdef"

// appendJSONString appends a text as a JSON string. Bytes that are not valid UTF-8 become U+FFFD, as in ClickHouse.
func appendJSONString(dst []byte, text string) []byte {
	dst = append(dst, '"')
	for i := 0; i < len(text); {
		c := text[i]
		if c >= utf8.RuneSelf {
			r, n := utf8.DecodeRuneInString(text[i:])
			switch {
			case r == utf8.RuneError && n == 1:
				dst = append(dst, "\xef\xbf\xbd"...)
			case r == 0x2028 || r == 0x2029:
				dst = append(dst, `\u202`...)
				dst = append(dst, hexDigits[r&15])
			default:
				dst = append(dst, text[i:i+n]...)
			}
			i += n
			continue
		}
		switch c {
		case '"', '\\', '/':
			dst = append(dst, '\\', c)
		case '\n':
			dst = append(dst, `\n`...)
		case '\r':
			dst = append(dst, `\r`...)
		case '\t':
			dst = append(dst, `\t`...)
		case '\b':
			dst = append(dst, `\b`...)
		case '\f':
			dst = append(dst, `\f`...)
		default:
			if c < ' ' {
				dst = append(dst, `\u00`...)
				dst = append(dst, hexDigits[c>>4], hexDigits[c&15])
			} else {
				dst = append(dst, c)
			}
		}
		i++
	}
	return append(dst, '"')
}

// appendJSONValue appends a cell as a JSON value. A cell of a numeric column that is not a valid JSON number is written in
// quotes, as it would make the document invalid without them.
func appendJSONValue(dst []byte, c result.Cell, t *columnType, quote64Bit bool) []byte {
	unquoted, large := t.unquoted()
	switch text := string(c.Text); {
	case c.Null:
		return append(dst, "null"...)
	case t.kind == kindBool && (text == "true" || text == "false"):
		return append(dst, text...)
	case t.kind == kindFloat && (strings.ContainsAny(text, "nN") || text == ""): // inf and nan
		return append(dst, "null"...)
	case unquoted && !(large && quote64Bit) && isNumber(text):
		return append(dst, text...)
	default:
		return appendJSONString(dst, text)
	}
}

// isNumber reports whether a text is a valid JSON number.
func isNumber(s string) bool {
	t := strings.TrimPrefix(s, "-")
	if t == "" || t[0] < '0' || t[0] > '9' || len(t) > 1 && t[0] == '0' && t[1] >= '0' && t[1] <= '9' || t[len(t)-1] == '.' {
		return false
	}
	for i := 0; i < len(t); i++ {
		if c := t[i]; !(c >= '0' && c <= '9' || c == '.' || c == 'e' || c == 'E' || c == '+' || c == '-') {
			return false
		}
	}
	_, err := strconv.ParseFloat(s, 64)
	return err == nil
}

// jsonWriter returns a function that writes JSON, or JSONCompact if compact is set.
func jsonWriter(compact bool) func([]byte, *result.Set, formatOptions) ([]byte, error) {
	return func(dst []byte, set *result.Set, options formatOptions) ([]byte, error) {
		types, cols := columnTypes(set), set.ColumnsOrDefault()
		dst = append(dst, "{\n\t\"meta\":\n\t["...)
		for i, c := range cols {
			if i > 0 {
				dst = append(dst, ',')
			}
			dst = append(dst, "\n\t\t{\n\t\t\t\"name\": "...)
			dst = append(appendJSONString(dst, c.Name), ",\n\t\t\t\"type\": "...)
			dst = append(appendJSONString(dst, c.Type), "\n\t\t}"...)
		}
		dst = append(dst, "\n\t],\n\n\t\"data\":\n\t["...)
		rowCount := 0
		err := set.EachRow(func(row []result.Cell) error {
			if rowCount++; rowCount > 1 {
				dst = append(dst, ',')
			}
			if compact {
				dst = append(dst, "\n\t\t["...)
			} else {
				dst = append(dst, "\n\t\t{"...)
			}
			for i, c := range row {
				if i > 0 {
					dst = append(dst, ',')
				}
				if compact {
					if i > 0 {
						dst = append(dst, ' ')
					}
				} else {
					dst = append(appendJSONString(append(dst, "\n\t\t\t"...), cols[i].Name), ": "...)
				}
				dst = appendJSONValue(dst, c, &types[i], options.quote64Bit)
			}
			if compact {
				dst = append(dst, ']')
			} else {
				dst = append(dst, "\n\t\t}"...)
			}
			return nil
		})
		dst = append(dst, fmt.Sprintf("\n\t],\n\n\t\"rows\": %d,\n\n\t\"statistics\":\n\t{\n\t\t\"elapsed\": %.6f,\n\t\t\"rows_read\": %d,\n\t\t\"bytes_read\": %d\n\t}\n}\n",
			rowCount, options.elapsedSeconds, rowCount, set.Size())...)
		return dst, err
	}
}

// writeJSONEachRow appends a result as one JSON object for each row.
func writeJSONEachRow(dst []byte, set *result.Set, options formatOptions) ([]byte, error) {
	types, cols := columnTypes(set), set.ColumnsOrDefault()
	err := set.EachRow(func(row []result.Cell) error {
		dst = append(dst, '{')
		for i, c := range row {
			if i > 0 {
				dst = append(dst, ',')
			}
			dst = append(appendJSONString(dst, cols[i].Name), ':')
			dst = appendJSONValue(dst, c, &types[i], options.quote64Bit)
		}
		dst = append(dst, "}\n"...)
		return nil
	})
	return dst, err
}

// appendString appends a text preceded by its length, as RowBinary and Native write it.
func appendString(dst []byte, s string) []byte {
	return append(binary.AppendUvarint(dst, uint64(len(s))), s...)
}

// appendNullMark appends the byte that states whether a value is NULL, if the type is nullable. For NULL in a type that is not
// nullable it returns an error.
func (t *columnType) appendNullMark(dst []byte, c result.Cell) ([]byte, error) {
	switch {
	case c.Null && !t.nullable:
		return dst, fmt.Errorf("NULL in a column of type %s", t.name)
	case c.Null:
		return append(dst, 1), nil
	case t.nullable:
		return append(dst, 0), nil
	}
	return dst, nil
}

// rowBinaryWriter returns a function that writes RowBinary. headerParts is the number of header parts: the first holds the column
// names, the second their types.
func rowBinaryWriter(headerParts int) func([]byte, *result.Set, formatOptions) ([]byte, error) {
	return func(dst []byte, set *result.Set, _ formatOptions) ([]byte, error) {
		types, cols := columnTypes(set), set.ColumnsOrDefault()
		if headerParts > 0 && len(cols) > 0 {
			dst = binary.AppendUvarint(dst, uint64(len(cols)))
			for _, c := range cols {
				dst = appendString(dst, c.Name)
			}
		}
		if headerParts > 1 {
			for i := range cols {
				dst = appendString(dst, types[i].name)
			}
		}
		err := set.EachRow(func(row []result.Cell) (err error) {
			for i, c := range row {
				if dst, err = types[i].appendNullMark(dst, c); err == nil && !c.Null {
					dst, err = types[i].appendBinary(dst, string(c.Text))
				}
				if err != nil {
					return err
				}
			}
			return nil
		})
		return dst, err
	}
}

// Revisions of the native protocol that added parts to a block.
const (
	revisionBlockInfo     = 51903 // block info before the columns
	revisionSerialization = 54454 // for each column, whether it has a custom serialization
)

// writeNative appends a result as one block of Native.
func writeNative(dst []byte, set *result.Set, options formatOptions) ([]byte, error) {
	types, cols := columnTypes(set), set.ColumnsOrDefault()
	if len(cols) == 0 {
		return dst, nil
	}
	data, nulls, rows := make([][]byte, len(cols)), make([][]byte, len(cols)), 0
	err := set.EachRow(func(row []result.Cell) (err error) {
		rows++
		for i, c := range row {
			t := &types[i]
			if nulls[i], err = t.appendNullMark(nulls[i], c); err != nil {
				return err
			}
			if c.Null {
				data[i] = t.appendZero(data[i])
			} else if data[i], err = t.appendBinary(data[i], string(c.Text)); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return dst, err
	}
	if options.revision >= revisionBlockInfo {
		dst = append(dst, 1, 0, 2, 0xff, 0xff, 0xff, 0xff, 0)
	}
	dst = binary.AppendUvarint(dst, uint64(len(cols)))
	dst = binary.AppendUvarint(dst, uint64(rows))
	for i, c := range cols {
		dst = appendString(appendString(dst, c.Name), types[i].name)
		if options.revision >= revisionSerialization {
			dst = append(dst, 0)
		}
		dst = append(append(dst, nulls[i]...), data[i]...)
	}
	return dst, nil
}
