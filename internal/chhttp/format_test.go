package chhttp

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"strings"
	"testing"

	"github.com/ClickHouse/ch-go/compress"
	"github.com/ClickHouse/ch-go/proto"
	"github.com/klauspost/compress/gzip"
	"github.com/klauspost/compress/zstd"
	"github.com/pierrec/lz4/v4"
	"pgregory.net/rapid"

	"thymeway/internal/result"
	"thymeway/internal/shape"
)

// parseResult parses a result in the format TabSeparatedWithNamesAndTypes.
func parseResult(t testing.TB, text string) *result.Set {
	s, err := result.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// sample is a result with escaped text, the largest UInt64, a NULL and an infinite number.
const sample = "s\tu\tn\tf\n" + "String\tUInt64\tNullable(Int8)\tFloat64\n" +
	"it\\'s\\t\"x\"\t18446744073709551615\t\\N\t1.5\n" + "\\\\\\0</b>\t7\t-8\tinf\n"

// Each text format writes values as ClickHouse's documentation specifies.
func TestTextFormats(t *testing.T) {
	s := parseResult(t, sample)
	for name, want := range map[string]string{
		"TabSeparated": "it\\'s\\t\"x\"\t18446744073709551615\t\\N\t1.5\n\\\\\\0</b>\t7\t-8\tinf\n",
		"TSVWithNames": "s\tu\tn\tf\nit\\'s\\t\"x\"\t18446744073709551615\t\\N\t1.5\n\\\\\\0</b>\t7\t-8\tinf\n",
		"CSVWithNames": "\"s\",\"u\",\"n\",\"f\"\n\"it's\t\"\"x\"\"\",18446744073709551615,\\N,1.5\n\"\\\x00</b>\",7,-8,inf\n",
		"JSONEachRow": `{"s":"it's\t\"x\"","u":"18446744073709551615","n":null,"f":1.5}` + "\n" +
			`{"s":"\\\u0000<\/b>","u":"7","n":-8,"f":null}` + "\n",
		"Null": "",
	} {
		got, err := formats[name].write(nil, s, formatOptions{quote64Bit: true})
		if err != nil || string(got) != want {
			t.Errorf("%s: %v\n got %q\nwant %q", name, err, got, want)
		}
	}
	for _, name := range []string{"JSON", "JSONCompact"} {
		got, err := formats[name].write(nil, s, formatOptions{})
		var doc struct {
			Meta []struct{ Name, Type string }
			Data []any
			Rows int
		}
		if err != nil || json.Unmarshal(got, &doc) != nil || doc.Rows != 2 || len(doc.Data) != 2 || doc.Meta[1].Type != "UInt64" {
			t.Errorf("%s: %v %s", name, err, got)
		}
	}
}

// ClickHouse's Go client library reads the same values back from Native blocks, with and without the parts that newer revisions
// add. RowBinary starts with the first of these values.
func TestNativeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := "s\tu\ti\tf\tn\n" + "String\tUInt32\tInt64\tFloat64\tNullable(String)\n"
		var texts []string
		var uints []uint32
		var ints []int64
		var floats []float64
		var nullables []proto.Nullable[string]
		for range rapid.IntRange(0, 20).Draw(t, "rows") {
			s := string(rapid.SliceOfN(rapid.Byte(), 0, 300).Draw(t, "s"))
			u, i, f := rapid.Uint32().Draw(t, "u"), rapid.Int64().Draw(t, "i"), rapid.Float64().Draw(t, "f")
			n, cell := proto.Null[string](), `\N`
			if rapid.Bool().Draw(t, "set") {
				n, cell = proto.NewNullable(s), string(result.Escape(nil, []byte(s)))
			}
			texts, uints, ints, floats, nullables =
				append(texts, s), append(uints, u), append(ints, i), append(floats, f), append(nullables, n)
			text += fmt.Sprintf("%s\t%d\t%d\t%v\t%s\n", result.Escape(nil, []byte(s)), u, i, f, cell)
		}
		r, err := result.Parse([]byte(text))
		if err != nil {
			t.Fatal(err)
		}
		revision := rapid.SampledFrom([]uint64{0, revisionBlockInfo, serverRevision}).Draw(t, "revision")
		b, err := writeNative(nil, r, formatOptions{revision: revision})
		if err != nil {
			t.Fatal(err)
		}
		var textColumn proto.ColStr
		var uintColumn proto.ColUInt32
		var intColumn proto.ColInt64
		var floatColumn proto.ColFloat64
		nullableColumn := new(proto.ColStr).Nullable()
		reader := proto.NewReader(bytes.NewReader(b))
		var block proto.Block
		if err := block.DecodeBlock(reader, int(revision), proto.Results{{Name: "s", Data: &textColumn},
			{Name: "u", Data: &uintColumn}, {Name: "i", Data: &intColumn}, {Name: "f", Data: &floatColumn},
			{Name: "n", Data: nullableColumn}}); err != nil {
			t.Fatal(err)
		}
		if _, err := reader.ReadByte(); !errors.Is(err, io.EOF) || block.Rows != len(texts) {
			t.Fatalf("decoded %d rows, want %d; error at the end: %v", block.Rows, len(texts), err)
		}
		for i := range texts {
			if textColumn.Row(i) != texts[i] || uintColumn[i] != uints[i] || intColumn[i] != ints[i] ||
				floatColumn[i] != floats[i] || nullableColumn.Row(i) != nullables[i] {
				t.Fatalf("row %d differs", i)
			}
		}
		if rowBinary, err := formats["RowBinary"].write(nil, r, formatOptions{}); err != nil ||
			len(texts) > 0 && !bytes.HasPrefix(rowBinary, appendString(nil, texts[0])) {
			t.Fatalf("RowBinary: %v", err)
		}
	})
}

// A value that is invalid for its column's type causes an error and is never written as another value.
func TestBinaryValues(t *testing.T) {
	for _, c := range []struct{ typ, text, want string }{
		{"UInt8", "255", "\xff"}, {"UInt8", "256", ""}, {"UInt8", "-1", ""}, {"Int16", "-2", "\xfe\xff"}, {"Int8", "x", ""},
		{"Bool", "true", "\x01"}, {"Bool", "yes", ""}, {"FixedString(3)", "ab", "ab\x00"}, {"FixedString(1)", "ab", ""},
		{"Date", "1970-01-02", "\x01\x00"}, {"Date", "1969-01-02", ""}, {"Date32", "1969-12-31", "\xff\xff\xff\xff"},
		{"DateTime", "1970-01-01 00:00:05", "\x05\x00\x00\x00"},
		{"DateTime('Africa/Dar_es_Salaam')", "1970-01-01 03:00:05", "\x05\x00\x00\x00"},
		{"DateTime64(1)", "1970-01-01 00:00:01.5", "\x0f\x00\x00\x00\x00\x00\x00\x00"}, {"DateTime64(1)", "soon", ""},
		{"Enum8('a' = 1, 'b\\'' = -2)", "b'", "\xfe"}, {"Enum8('a' = 1)", "c", ""}, {"Decimal(9, 2)", "-1.5", "\x6a\xff\xff\xff"},
		{"Decimal(9, 2)", "1.555", ""}, {"Decimal(9, 0)", "1e5", ""}, {"IPv4", "1.2.3.4", "\x04\x03\x02\x01"},
		{"IPv4", "::1", ""}, {"Array(UInt8)", "[1]", ""}, {"LowCardinality(Nullable(UInt8))", "7", "\x07"},
	} {
		parsed := parseType(c.typ)
		got, err := parsed.appendBinary(nil, c.text)
		if (err != nil) != (c.want == "") || err == nil && string(got) != c.want {
			t.Errorf("%s %q: %q, %v", c.typ, c.text, got, err)
		}
	}
	if _, err := writeNative(nil, parseResult(t, "a\nUInt8\n\\N\n"), formatOptions{}); err == nil {
		t.Error("NULL was written in a column that is not nullable")
	}
}

// Whatever the value of a query parameter contains, it becomes one literal in the text, and the shape of the text stays the same.
func TestParametersStayLiterals(t *testing.T) {
	catalog := shape.NewCatalog(shape.Options{MaxBytes: 1 << 20})
	want := catalog.Recognize("SELECT a FROM sales_3.t WHERE b = 'x' AND c = 1", shape.ClickHouse, 0).ID
	rapid.Check(t, func(t *rapid.T) {
		value := string(rapid.SliceOfN(rapid.SampledFrom([]byte(`a'"\;-/*#()`+"`\n")), 0, 12).Draw(t, "value"))
		text, err := shape.SubstituteParameters("SELECT a FROM sales_3.t WHERE b = {v:String} AND c = {n:UInt8}", 1<<10,
			func(name, typ string) (string, error) {
				if name == "n" {
					return parameterLiteral(name, "5", typ)
				}
				return parameterLiteral(name, string(result.Escape(nil, []byte(value))), typ)
			})
		if err != nil {
			t.Fatal(err)
		}
		if s := catalog.Recognize(text, shape.ClickHouse, 0); s.ID != want {
			t.Fatalf("value %q gives %q, which has another shape: %s", value, text, s.Text())
		}
	})
	for _, c := range [][2]string{{"UInt8", "1 OR 1=1"}, {"UInt8", ""}, {"Float64", "1;"}, {"Date", "2026-13-01"},
		{"Map(String, String)", "{}"}, {"Identifier", ""}} {
		if got, err := parameterLiteral("x", c[1], c[0]); err == nil {
			t.Errorf("%s: invalid value %q becomes %q", c[0], c[1], got)
		}
	}
	if got, err := parameterLiteral("x", "a`b\\", "Identifier"); err != nil || got != "`a\\`b\\\\`" {
		t.Errorf("identifier becomes %q, %v", got, err)
	}
}

// A body compressed in any way decompresses to the same bytes. Altered bodies are refused, and so are small bodies that expand,
// or claim to expand, to more than the limit.
func TestCompression(t *testing.T) {
	r := rand.New(rand.NewSource(1))
	text := make([]byte, 100000)
	for i := range text {
		text[i] = byte('a' + r.Intn(4))
	}
	for _, method := range []string{"LZ4", "ZSTD"} {
		for _, encoding := range []string{"", "gzip", "zstd", "lz4"} {
			compressed, err := compressBody(text, encoding, true, method)
			if err != nil {
				t.Fatal(err)
			}
			got, err := decompressBody(encoding, true, compressed, len(text))
			if err != nil || !bytes.Equal(got, text) {
				t.Errorf("%s %s: %d bytes, %v", method, encoding, len(got), err)
			}
			if _, err := decompressBody(encoding, true, compressed, len(text)-1); err == nil {
				t.Errorf("%s %s: accepted although over the limit", method, encoding)
			}
			compressed[len(compressed)/2] ^= 1
			if got, err := decompressBody(encoding, true, compressed, len(text)); err == nil {
				t.Errorf("%s %s: accepted although altered: %d bytes", method, encoding, len(got))
			}
		}
	}
	zeros := make([]byte, 64<<20)
	var gzipBomb, zstdBomb, lz4Bomb bytes.Buffer
	gw := gzip.NewWriter(&gzipBomb)
	_, _ = gw.Write(zeros)
	_ = gw.Close()
	zw, _ := zstd.NewWriter(&zstdBomb)
	_, _ = zw.Write(zeros)
	_ = zw.Close()
	lw := lz4.NewWriter(&lz4Bomb)
	_, _ = lw.Write(zeros)
	_ = lw.Close()
	w := compress.NewWriter(compress.LevelZero, compress.LZ4)
	if err := w.Compress(zeros); err != nil {
		t.Fatal(err)
	}
	for encoding, bomb := range map[string][]byte{"gzip": gzipBomb.Bytes(), "zstd": zstdBomb.Bytes(), "lz4": lz4Bomb.Bytes(),
		"": w.Data} {
		var e *exception
		if _, err := decompressBody(encoding, encoding == "", bomb, 1<<20); !errors.As(err, &e) || e.code != codeTooLarge {
			t.Errorf("decompression bomb of %d bytes, encoding %q: %v", len(bomb), encoding, err)
		}
	}
	falseHeader := append(make([]byte, 16), 0x82)
	falseHeader = binary.LittleEndian.AppendUint32(binary.LittleEndian.AppendUint32(falseHeader, 9), 1<<31-1)
	if _, err := decompressBody("", true, falseHeader, 1<<20); err == nil {
		t.Error("a block that claims to need 2 GB was accepted")
	}
}

// FORMAT is recognized only where it is a clause of the query.
func TestFormatClause(t *testing.T) {
	for text, want := range map[string]string{
		"SELECT 1 FORMAT JSON": "JSON", "select 1 format CSV settings a = 1": "CSV", "SELECT 'FORMAT JSON'": "",
		"SELECT 1 -- FORMAT JSON": "", "SELECT (SELECT 1 FORMAT JSON)": "", "INSERT INTO t FORMAT CSV 1,2": "",
		"SELECT format('a', 1)": "", "SELECT 1 FORMAT JSON;": "JSON",
		"SELECT a AS format FROM t": "",
	} {
		got, clause, ok := shape.FindFormatClause(text)
		if ok != (want != "") ||
			ok && (got != want || !strings.HasPrefix(strings.ToUpper(text[clause.Start:clause.End]), "FORMAT ")) {
			t.Errorf("%s: %q %v %v", text, got, clause, ok)
		}
	}
}
