package result

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// cells returns all cells row by row: their text in quotes, or NULL.
func cells(t interface{ Fatal(...any) }, s *Set) (all []string) {
	if err := s.EachRow(func(row []Cell) error {
		for _, c := range row {
			if c.Null {
				all = append(all, "NULL")
			} else {
				all = append(all, fmt.Sprintf("%q", c.Text))
			}
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	return all
}

// Cells with any bytes have the same value after escaping and parsing, row by row.
func TestCellsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		columns := rapid.IntRange(1, 5).Draw(t, "columns")
		var text []byte
		var want []string
		for i := range columns {
			text = append(text, fmt.Sprintf("c%d\t", i)...)
		}
		text = append(text[:len(text)-1], '\n')
		for range columns {
			text = append(text, "String\t"...)
		}
		text = append(text[:len(text)-1], '\n')
		for range rapid.IntRange(0, 20).Draw(t, "rows") {
			for i := range columns {
				if i > 0 {
					text = append(text, '\t')
				}
				cell := rapid.SliceOfN(rapid.SampledFrom([]byte("ab\\\t\n\r\x00'N\xff")), 0, 8).Draw(t, "cell")
				if rapid.IntRange(0, 4).Draw(t, "null") == 0 {
					text, want = append(text, `\N`...), append(want, "NULL")
				} else {
					text, want = Escape(text, cell), append(want, fmt.Sprintf("%q", cell))
				}
			}
			text = append(text, '\n')
		}
		s, err := Parse(text)
		if err != nil {
			t.Fatal(err)
		}
		if got := cells(t, s); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

// A result that is cut anywhere but between two rows is rejected. Otherwise a truncated result would pass for a shorter one.
func TestIncompleteResultsRejected(t *testing.T) {
	text := []byte("a\tb\nString\tUInt8\nx\t1\ny\t2\n")
	ends := map[int]bool{0: true, bytes.Index(text, []byte("x")): true, bytes.Index(text, []byte("y")): true, len(text): true}
	for n := range text {
		if _, err := Parse(text[:n]); (err == nil) != ends[n] {
			t.Errorf("cut at %d: %v", n, err)
		}
	}
	for _, bad := range []string{"a\tb\nString\n", "a\n\n", "a\nString\nx\ty\n", "a\nString\n\n\tx\n"} {
		if _, err := Parse([]byte(bad)); err == nil {
			t.Errorf("%q is accepted", bad)
		}
	}
}

// Rows of worker groups are not escaped: \N is text there, not NULL.
func TestWorkerGroupRows(t *testing.T) {
	s := &Set{Pages: [][]byte{[]byte("a\tb\\N\tc\n"), []byte("d\te\t\\N\n")}}
	if got := fmt.Sprint(cells(t, s)); got != `["a" "b\\N" "c" "d" "e" "\\N"]` || s.RowCount() != 2 ||
		len(s.ColumnsOrDefault()) != 3 {
		t.Errorf("%s, %d rows", got, s.RowCount())
	}
}
