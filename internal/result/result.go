// Package result holds query results in the form that the program uses for all kinds of engines and clients: columns, and
// complete rows of text.
package result

import (
	"bytes"
	"errors"
	"fmt"
	"unicode/utf8"
)

// Column is the name of a column and its ClickHouse type.
type Column struct{ Name, Type string }

// Cell is a value as text, or NULL.
type Cell struct {
	Text []byte
	Null bool
}

// Set is a complete result. Its rows are lines of text, with a tab between two cells.
type Set struct {
	Columns []Column // nil: the three text columns of worker groups
	Pages   [][]byte // the rows; each page holds complete rows
	Escaped bool     // cells are escaped as in TabSeparated, with \N for NULL; otherwise they are unescaped
	Verb    string   // first word of the statement, in upper case
}

// workerGroupColumns are the columns of results of worker groups, which name none.
var workerGroupColumns = []Column{{"column1", "String"}, {"column2", "String"}, {"column3", "String"}}

// ColumnsOrDefault returns the columns, or those of worker groups if the engine named none.
func (s *Set) ColumnsOrDefault() []Column {
	if s.Columns == nil && !s.Escaped {
		return workerGroupColumns
	}
	return s.Columns
}

// Size returns the length of all rows in bytes.
func (s *Set) Size() (n int) {
	for _, page := range s.Pages {
		n += len(page)
	}
	return n
}

// RowCount returns the number of rows.
func (s *Set) RowCount() (n int) {
	for _, page := range s.Pages {
		n += bytes.Count(page, []byte{'\n'})
	}
	return n
}

// EachRow calls f for each row until f returns an error, and returns that error. The cells are valid during the call only.
func (s *Set) EachRow(f func(row []Cell) error) error {
	row := make([]Cell, len(s.ColumnsOrDefault()))
	var buf []byte // for unescaped cells
	for _, page := range s.Pages {
		for len(page) > 0 {
			var line []byte
			line, page, _ = bytes.Cut(page, []byte{'\n'})
			buf = buf[:0]
			for i := range row {
				var cell []byte
				cell, line, _ = bytes.Cut(line, []byte{'\t'})
				row[i] = Cell{Text: cell}
				if !s.Escaped || bytes.IndexByte(cell, '\\') < 0 {
					continue
				}
				if string(cell) == `\N` {
					row[i] = Cell{Null: true}
					continue
				}
				start := len(buf)
				if cap(buf)-start < len(cell) { // earlier cells of the row still refer to the old buffer
					buf, start = make([]byte, 0, max(len(cell), 512)), 0
				}
				buf = Unescape(buf, cell)
				row[i].Text = buf[start:]
			}
			if err := f(row); err != nil {
				return err
			}
		}
	}
	return nil
}

// Unescape appends the value of an escaped TabSeparated cell to dst.
func Unescape(dst, cell []byte) []byte {
	for i := 0; i < len(cell); i++ {
		c := cell[i]
		if c != '\\' || i+1 >= len(cell) {
			dst = append(dst, c)
			continue
		}
		i++
		switch c = cell[i]; c {
		case 'n':
			c = '\n'
		case 't':
			c = '\t'
		case 'r':
			c = '\r'
		case 'b':
			c = '\b'
		case 'f':
			c = '\f'
		case '0':
			c = 0
		}
		dst = append(dst, c)
	}
	return dst
}

// Escape appends a text to dst as an escaped TabSeparated cell.
func Escape(dst, text []byte) []byte {
	for _, c := range text {
		switch c {
		case '\n':
			dst = append(dst, '\\', 'n')
		case '\t':
			dst = append(dst, '\\', 't')
		case '\r':
			dst = append(dst, '\\', 'r')
		case '\b':
			dst = append(dst, '\\', 'b')
		case '\f':
			dst = append(dst, '\\', 'f')
		case 0:
			dst = append(dst, '\\', '0')
		case '\\', '\'':
			dst = append(dst, '\\', c)
		default:
			dst = append(dst, c)
		}
	}
	return dst
}

const maxColumns = 1024 // of a result

// ErrIncomplete is returned for a result that is truncated or malformed.
var ErrIncomplete = errors.New("incomplete result")

// Parse parses a complete text in the format TabSeparatedWithNamesAndTypes. It returns an error unless the lines of names and
// types are present, and every line ends with a line feed and has as many cells as the first one. Without these checks, a
// truncated result would pass for a shorter one.
func Parse(text []byte) (*Set, error) {
	s := &Set{Escaped: true, Columns: []Column{}}
	if len(text) == 0 { // the statement has no result
		return s, nil
	}
	names, rest, ok := bytes.Cut(text, []byte{'\n'})
	if !ok {
		return nil, fmt.Errorf("%w: the line of names does not end", ErrIncomplete)
	}
	types, rows, ok := bytes.Cut(rest, []byte{'\n'})
	if !ok {
		return nil, fmt.Errorf("%w: the line of types does not end", ErrIncomplete)
	}
	columnNames, columnTypes := bytes.Split(names, []byte{'\t'}), bytes.Split(types, []byte{'\t'})
	if len(columnNames) != len(columnTypes) || len(columnNames) > maxColumns {
		return nil, fmt.Errorf("%w: %d names and %d types", ErrIncomplete, len(columnNames), len(columnTypes))
	}
	for i := range columnNames {
		if len(columnTypes[i]) == 0 || !utf8.Valid(columnNames[i]) || !utf8.Valid(columnTypes[i]) {
			return nil, fmt.Errorf("%w: column %d has an invalid name or type", ErrIncomplete, i+1)
		}
		s.Columns = append(s.Columns, Column{string(Unescape(nil, columnNames[i])), string(Unescape(nil, columnTypes[i]))})
	}
	for remaining := rows; len(remaining) > 0; {
		line, next, ok := bytes.Cut(remaining, []byte{'\n'})
		if !ok || bytes.Count(line, []byte{'\t'}) != len(columnNames)-1 {
			return nil, fmt.Errorf("%w: row of %d bytes is truncated or has a wrong number of cells", ErrIncomplete, len(line))
		}
		remaining = next
	}
	if len(rows) > 0 {
		s.Pages = [][]byte{rows}
	}
	return s, nil
}
