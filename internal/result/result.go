// Package result is the one form of a query's result inside the program, whatever engine gave it and whatever client
// gets it: columns, and whole rows of text.
package result

import (
	"bytes"
	"errors"
	"fmt"
	"unicode/utf8"
)

// Column is a column's name and its type in ClickHouse's words.
type Column struct{ Name, Type string }

// Cell is a value as text.
type Cell struct {
	Text []byte
	Null bool
}

// Set is a whole result. Its rows are lines of text with a tab between two cells.
type Set struct {
	Columns []Column // nil: three columns of text, as worker groups give them
	Pages   [][]byte // whole rows each
	Escaped bool     // cells are escaped as TabSeparated has it, and \N is NULL; else they stand as they are
	Verb    string   // the statement's first word, in capitals
}

var plain = []Column{{"column1", "String"}, {"column2", "String"}, {"column3", "String"}}

// Cols are the columns, also where the engine names none.
func (s *Set) Cols() []Column {
	if s.Columns == nil && !s.Escaped {
		return plain
	}
	return s.Columns
}

// Size is the length of all rows in bytes.
func (s *Set) Size() (n int) {
	for _, p := range s.Pages {
		n += len(p)
	}
	return n
}

// Rows counts the rows.
func (s *Set) Rows() (n int) {
	for _, p := range s.Pages {
		n += bytes.Count(p, []byte{'\n'})
	}
	return n
}

// Each calls f for each row. The cells are valid during the call only.
func (s *Set) Each(f func(row []Cell) error) error {
	row := make([]Cell, len(s.Cols()))
	var room []byte // for the cells that are not as they stand
	for _, p := range s.Pages {
		for len(p) > 0 {
			var line []byte
			line, p, _ = bytes.Cut(p, []byte{'\n'})
			room = room[:0]
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
				from := len(room)
				if cap(room)-from < len(cell) { // what was made before stays where it is
					room, from = make([]byte, 0, max(len(cell), 512)), 0
				}
				room = Unescape(room, cell)
				row[i].Text = room[from:]
			}
			if err := f(row); err != nil {
				return err
			}
		}
	}
	return nil
}

// Unescape adds a TabSeparated cell as it is meant.
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

// Escape adds a text as a TabSeparated cell.
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

// mostColumns bounds the columns of a result.
const mostColumns = 1024

// ErrTorn says that a result is not whole.
var ErrTorn = errors.New("a result that is not whole")

// Parse takes a whole TabSeparatedWithNamesAndTypes text. Danger: what was cut off must not pass for a short result, so
// every line has to have its end and as many cells as the first one, and the types have to be there.
func Parse(text []byte) (*Set, error) {
	s := &Set{Escaped: true, Columns: []Column{}}
	if len(text) == 0 { // of what has no result
		return s, nil
	}
	names, rest, ok := bytes.Cut(text, []byte{'\n'})
	if !ok {
		return nil, fmt.Errorf("%w: its names have no end", ErrTorn)
	}
	types, rows, ok := bytes.Cut(rest, []byte{'\n'})
	if !ok {
		return nil, fmt.Errorf("%w: its types have no end", ErrTorn)
	}
	n, t := bytes.Split(names, []byte{'\t'}), bytes.Split(types, []byte{'\t'})
	if len(n) != len(t) || len(n) > mostColumns {
		return nil, fmt.Errorf("%w: %d names and %d types", ErrTorn, len(n), len(t))
	}
	for i := range n {
		if len(t[i]) == 0 || !utf8.Valid(n[i]) || !utf8.Valid(t[i]) {
			return nil, fmt.Errorf("%w: column %d", ErrTorn, i+1)
		}
		s.Columns = append(s.Columns, Column{string(Unescape(nil, n[i])), string(Unescape(nil, t[i]))})
	}
	for at := rows; len(at) > 0; {
		line, next, ok := bytes.Cut(at, []byte{'\n'})
		if !ok || bytes.Count(line, []byte{'\t'}) != len(n)-1 {
			return nil, fmt.Errorf("%w: a row of %d bytes", ErrTorn, len(line))
		}
		at = next
	}
	if len(rows) > 0 {
		s.Pages = [][]byte{rows}
	}
	return s, nil
}
