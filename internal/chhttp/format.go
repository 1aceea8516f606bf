package chhttp

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"

	"thymeway/internal/result"
)

// options of how a result is written.
type options struct {
	revision uint64 // client_protocol_version, for Native
	quote64  bool   // numbers of 64 bits stand in quotes in JSON
	elapsed  float64
}

// format is one way to write a result.
type format struct {
	media string
	write func(dst []byte, s *result.Set, o options) ([]byte, error)
}

const (
	mediaText   = "text/tab-separated-values; charset=UTF-8"
	mediaCSV    = "text/csv; charset=UTF-8; header=absent"
	mediaCSVH   = "text/csv; charset=UTF-8; header=present"
	mediaJSON   = "application/json; charset=UTF-8"
	mediaLines  = "application/x-ndjson; charset=UTF-8"
	mediaBinary = "application/octet-stream"
)

// formats are all there are, with their other names.
var formats = map[string]format{}

func init() {
	add := func(f format, names ...string) {
		for _, n := range names {
			formats[n] = f
		}
	}
	add(format{mediaText, tabs(0)}, "TabSeparated", "TSV")
	add(format{mediaText, tabs(1)}, "TabSeparatedWithNames", "TSVWithNames")
	add(format{mediaText, tabs(2)}, "TabSeparatedWithNamesAndTypes", "TSVWithNamesAndTypes")
	add(format{mediaCSV, commas(0)}, "CSV")
	add(format{mediaCSVH, commas(1)}, "CSVWithNames")
	add(format{mediaCSVH, commas(2)}, "CSVWithNamesAndTypes")
	add(format{mediaJSON, jsonDocument(false)}, "JSON")
	add(format{mediaJSON, jsonDocument(true)}, "JSONCompact")
	add(format{mediaLines, jsonRows}, "JSONEachRow", "JSONLines", "NDJSON")
	add(format{mediaBinary, rowBinary(0)}, "RowBinary")
	add(format{mediaBinary, rowBinary(1)}, "RowBinaryWithNames")
	add(format{mediaBinary, rowBinary(2)}, "RowBinaryWithNamesAndTypes")
	add(format{mediaBinary, native}, "Native")
	add(format{mediaText, func(dst []byte, _ *result.Set, _ options) ([]byte, error) { return dst, nil }}, "Null")
}

// types are the types of a result's columns.
func types(s *result.Set) []typ {
	all := make([]typ, len(s.ColumnsOrDefault()))
	for i, c := range s.ColumnsOrDefault() {
		all[i] = parseType(c.Type)
	}
	return all
}

// tabs writes TabSeparated; head is 1 for a line of names, 2 for one of types too.
func tabs(head int) func([]byte, *result.Set, options) ([]byte, error) {
	return func(dst []byte, s *result.Set, _ options) ([]byte, error) {
		line := func(f func(result.Column) string) {
			for i, c := range s.ColumnsOrDefault() {
				if i > 0 {
					dst = append(dst, '\t')
				}
				dst = result.Escape(dst, []byte(f(c)))
			}
			dst = append(dst, '\n')
		}
		if len(s.ColumnsOrDefault()) == 0 {
			return dst, nil
		}
		if head > 0 {
			line(func(c result.Column) string { return c.Name })
		}
		if head > 1 {
			line(func(c result.Column) string { return c.Type })
		}
		if s.Escaped { // it is what the engine gave
			for _, p := range s.Pages {
				dst = append(dst, p...)
			}
			return dst, nil
		}
		err := s.EachRow(func(row []result.Cell) error {
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

func csvCell(dst []byte, text string) []byte {
	return append(append(append(dst, '"'), strings.ReplaceAll(text, `"`, `""`)...), '"')
}

// commas writes CSV.
func commas(head int) func([]byte, *result.Set, options) ([]byte, error) {
	return func(dst []byte, s *result.Set, _ options) ([]byte, error) {
		ts := types(s)
		line := func(f func(result.Column) string) {
			for i, c := range s.ColumnsOrDefault() {
				if i > 0 {
					dst = append(dst, ',')
				}
				dst = csvCell(dst, f(c))
			}
			dst = append(dst, '\n')
		}
		if len(ts) == 0 {
			return dst, nil
		}
		if head > 0 {
			line(func(c result.Column) string { return c.Name })
		}
		if head > 1 {
			line(func(c result.Column) string { return c.Type })
		}
		err := s.EachRow(func(row []result.Cell) error {
			for i, c := range row {
				if i > 0 {
					dst = append(dst, ',')
				}
				bare, _ := ts[i].number()
				switch {
				case c.Null:
					dst = append(dst, `\N`...)
				case bare || ts[i].kind == kindDecimal:
					dst = append(dst, c.Text...)
				default:
					dst = csvCell(dst, string(c.Text))
				}
			}
			dst = append(dst, '\n')
			return nil
		})
		return dst, err
	}
}

const hexDigits = "0123456789abcdef"

// jsonText adds a text as JSON has it. What is not UTF-8 becomes the sign for that, as ClickHouse does it.
func jsonText(dst []byte, text string) []byte {
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

// jsonCell adds a value. Danger: what an engine calls a number and is none would break the document.
func jsonCell(dst []byte, c result.Cell, t *typ, quote64 bool) []byte {
	bare, large := t.number()
	switch text := string(c.Text); {
	case c.Null:
		return append(dst, "null"...)
	case t.kind == kindBool && (text == "true" || text == "false"):
		return append(dst, text...)
	case t.kind == kindFloat && (strings.ContainsAny(text, "nN") || text == ""): // inf and nan
		return append(dst, "null"...)
	case bare && !(large && quote64) && isNumber(text):
		return append(dst, text...)
	default:
		return jsonText(dst, text)
	}
}

// isNumber tells whether a text is a number as JSON has it.
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

// jsonDocument writes JSON, or JSONCompact.
func jsonDocument(compact bool) func([]byte, *result.Set, options) ([]byte, error) {
	return func(dst []byte, s *result.Set, o options) ([]byte, error) {
		ts, cols := types(s), s.ColumnsOrDefault()
		dst = append(dst, "{\n\t\"meta\":\n\t["...)
		for i, c := range cols {
			if i > 0 {
				dst = append(dst, ',')
			}
			dst = append(dst, "\n\t\t{\n\t\t\t\"name\": "...)
			dst = append(jsonText(dst, c.Name), ",\n\t\t\t\"type\": "...)
			dst = append(jsonText(dst, c.Type), "\n\t\t}"...)
		}
		dst = append(dst, "\n\t],\n\n\t\"data\":\n\t["...)
		n := 0
		err := s.EachRow(func(row []result.Cell) error {
			if n++; n > 1 {
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
					dst = append(jsonText(append(dst, "\n\t\t\t"...), cols[i].Name), ": "...)
				}
				dst = jsonCell(dst, c, &ts[i], o.quote64)
			}
			if compact {
				dst = append(dst, ']')
			} else {
				dst = append(dst, "\n\t\t}"...)
			}
			return nil
		})
		dst = append(dst, fmt.Sprintf("\n\t],\n\n\t\"rows\": %d,\n\n\t\"statistics\":\n\t{\n\t\t\"elapsed\": %.6f,\n\t\t\"rows_read\": %d,\n\t\t\"bytes_read\": %d\n\t}\n}\n",
			n, o.elapsed, n, s.Size())...)
		return dst, err
	}
}

// jsonRows writes JSONEachRow.
func jsonRows(dst []byte, s *result.Set, o options) ([]byte, error) {
	ts, cols := types(s), s.ColumnsOrDefault()
	err := s.EachRow(func(row []result.Cell) error {
		dst = append(dst, '{')
		for i, c := range row {
			if i > 0 {
				dst = append(dst, ',')
			}
			dst = append(jsonText(dst, cols[i].Name), ':')
			dst = jsonCell(dst, c, &ts[i], o.quote64)
		}
		dst = append(dst, "}\n"...)
		return nil
	})
	return dst, err
}

func putString(dst []byte, s string) []byte {
	return append(binary.AppendUvarint(dst, uint64(len(s))), s...)
}

// mark adds whether a value is NULL, where its column may hold that.
func (t *typ) mark(dst []byte, c result.Cell) ([]byte, error) {
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

// rowBinary writes RowBinary.
func rowBinary(head int) func([]byte, *result.Set, options) ([]byte, error) {
	return func(dst []byte, s *result.Set, _ options) ([]byte, error) {
		ts, cols := types(s), s.ColumnsOrDefault()
		if head > 0 && len(cols) > 0 {
			dst = binary.AppendUvarint(dst, uint64(len(cols)))
			for _, c := range cols {
				dst = putString(dst, c.Name)
			}
		}
		if head > 1 {
			for i := range cols {
				dst = putString(dst, ts[i].name)
			}
		}
		err := s.EachRow(func(row []result.Cell) (err error) {
			for i, c := range row {
				if dst, err = ts[i].mark(dst, c); err == nil && !c.Null {
					dst, err = ts[i].binaryValue(dst, string(c.Text))
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

// Revisions of the native protocol from which a block has more to it.
const (
	revisionBlockInfo     = 51903
	revisionSerialization = 54454
)

// native writes one block of columns.
func native(dst []byte, s *result.Set, o options) ([]byte, error) {
	ts, cols := types(s), s.ColumnsOrDefault()
	if len(cols) == 0 {
		return dst, nil
	}
	data, nulls, rows := make([][]byte, len(cols)), make([][]byte, len(cols)), 0
	err := s.EachRow(func(row []result.Cell) (err error) {
		rows++
		for i, c := range row {
			t := &ts[i]
			if nulls[i], err = t.mark(nulls[i], c); err != nil {
				return err
			}
			if c.Null {
				data[i] = t.zero(data[i])
			} else if data[i], err = t.binaryValue(data[i], string(c.Text)); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return dst, err
	}
	if o.revision >= revisionBlockInfo {
		dst = append(dst, 1, 0, 2, 0xff, 0xff, 0xff, 0xff, 0)
	}
	dst = binary.AppendUvarint(dst, uint64(len(cols)))
	dst = binary.AppendUvarint(dst, uint64(rows))
	for i, c := range cols {
		dst = putString(putString(dst, c.Name), ts[i].name)
		if o.revision >= revisionSerialization {
			dst = append(dst, 0)
		}
		dst = append(append(dst, nulls[i]...), data[i]...)
	}
	return dst, nil
}
