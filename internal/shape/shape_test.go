package shape

import (
	"bytes"
	"fmt"
	"math/rand"
	"os"
	"strings"
	"testing"

	"github.com/hashicorp/golang-lru/v2"
	"pgregory.net/rapid"
)

// labelled is a statement of testdata/mix.txt and what it has to be taken for.
type labelled struct {
	want, text string
	d          Dialect
}

func mix(t testing.TB) (all []labelled) {
	text, err := os.ReadFile("testdata/mix.txt")
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		if line[0] == '#' {
			continue
		}
		head, statement, ok := strings.Cut(line, " | ")
		if !ok {
			t.Fatalf("%s: no statement", line)
		}
		l := labelled{want: head[2:], text: strings.ReplaceAll(statement, `\n`, "\n")}
		if head[0] == 'c' {
			l.d = ClickHouse
		}
		all = append(all, l)
	}
	return all
}

func (s *Shape) label() string {
	f := func(s string) string {
		if s == "" {
			return "-"
		}
		return s
	}
	return fmt.Sprintf("%v %s %s %s", s.Kind, f(strings.Join(s.Reads, ",")), f(strings.Join(s.Writes, ",")), f(s.Doubt.String()))
}

// pieces cuts a statement into tokens for the tests: words and signs as they stand, literals and quoted names whole.
// It knows the tests' statements only, and nothing of the code under test.
func pieces(s string) (out []string) {
	for i := 0; i < len(s); {
		j := i + 1
		switch c := s[i]; {
		case c == ' ' || c == '\n':
			i++
			continue
		case c == '\'' || c == '"' || c == '`':
			for j < len(s) && (s[j] != c || j+1 < len(s) && s[j+1] == c) {
				if s[j] == c {
					j++
				}
				j++
			}
			j = min(j+1, len(s))
		case c >= '0' && c <= '9':
			for j < len(s) && (s[j] >= '0' && s[j] <= '9') {
				j++
			}
		case c|0x20 >= 'a' && c|0x20 <= 'z' || c == '_':
			for j < len(s) && (s[j]|0x20 >= 'a' && s[j]|0x20 <= 'z' || s[j] == '_' || s[j] >= '0' && s[j] <= '9') {
				j++
			}
		}
		out = append(out, s[i:j])
		i = j
	}
	return out
}

// plain tells whether a test may move the white space of a statement without changing its tokens.
func plain(s string) bool {
	if strings.Contains(s, "--") || strings.Contains(s, "/*") {
		return false
	}
	return !strings.ContainsAny(s, `\$.#{}`) || strings.Count(s, ".") == strings.Count(s, "_") && !strings.ContainsAny(s, `\$#{}`)
}

// joined puts pieces together again: white space and comments between them, words in any case, other literals.
func joined(r *rand.Rand, p []string, d Dialect, literals bool) string {
	var b strings.Builder
	spaces := []string{" ", "\n", "\t ", " /* from no_9.where; */ ", " -- insert\n"}
	for i, t := range p {
		switch {
		case i > 0 && (p[i-1] == "." || t == "." || strings.ContainsAny(t, "<>=!|:@-*?+") && strings.ContainsAny(p[i-1], "<>=!|:@-*?+")):
		case i > 0 && strings.ContainsAny(p[i-1], "<>=!|:@-*?+/") || strings.ContainsAny(t, "<>=!|:@-*?+/"):
			b.WriteByte(' ')
		default:
			b.WriteString(spaces[r.Intn(len(spaces))])
		}
		switch {
		case literals && t[0] == '\'':
			t = "'" + strings.Repeat("x;\"y from a_1.b ", r.Intn(3)) + "''" + "'"
		case literals && t[0] >= '0' && t[0] <= '9':
			t = fmt.Sprint(r.Intn(1 << r.Intn(30)))
		case d == Postgres && t[0]|0x20 >= 'a' && t[0]|0x20 <= 'z' && r.Intn(2) == 0:
			t = strings.ToUpper(t)
		}
		b.WriteString(t)
	}
	return b.String()
}

// Every labelled statement is taken for what it is: as it stands, and with its white space, comments, case and
// literals changed, which must leave its shape as it was. Danger: a write that passes for a read would be repeated.
func TestMix(t *testing.T) {
	book, r, n := NewBook(Options{Bytes: 1 << 20, Seed: 3}), rand.New(rand.NewSource(1)), 0
	for _, l := range mix(t) {
		s := book.Look(l.text, l.d, 0)
		if got := s.label(); got != l.want {
			t.Errorf("%s\n got %s\nwant %s", l.text, got, l.want)
		}
		n++
		if s.Doubt == Malformed || s.Doubt == Body || !plain(l.text) || strings.Contains(l.text, "FORMAT") {
			continue
		}
		for range 3 {
			other := joined(r, pieces(l.text), l.d, true)
			if o := book.Look(other, l.d, 0); o.ID != s.ID || o.label() != l.want {
				t.Errorf("%s\n%s\n got %s %s, want %s", l.text, other, o.label(), o.Text(), s.Text())
			}
			n++
		}
	}
	if n < 300 {
		t.Errorf("%d statements, at least 300 are wanted", n)
	}
	if s := book.Stats(); s.Hits == 0 {
		t.Error("nothing was remembered")
	}
}

// The statements of the first version, with the group that counts and the first word.
func TestStatements(t *testing.T) {
	text, err := os.ReadFile("testdata/statements.txt")
	if err != nil {
		t.Fatal(err)
	}
	book := NewBook(Options{})
	for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		f := strings.SplitN(line, " ", 3)
		s := strings.NewReplacer(`\\`, `\`, `\n`, "\n").Replace(f[2])
		got := book.Look(s, Postgres, 0)
		group := got.Group
		if group == "" {
			group = "-"
		}
		if group != f[0] || got.Verb != f[1] {
			t.Errorf("%s: group %s, verb %s", line, group, got.Verb)
		}
		for i := range s { // no cut of it may do harm
			book.Look(s[:i], Postgres, 0)
		}
	}
}

// What differs in names, operators or structure differs in shape; what differs in the length of a list does so by powers
// of 8 only.
func TestDistinct(t *testing.T) {
	book := NewBook(Options{Bytes: 1 << 20})
	id := func(s string) uint64 { return book.Look(s, Postgres, 0).ID }
	list := func(n int, row string) string { return strings.TrimSuffix(strings.Repeat(row+",", n), ",") }
	seen := map[uint64]string{}
	for _, s := range []string{"SELECT a FROM b", "SELECT a FROM c", "SELECT c FROM b", "SELECT a, a FROM b", "SELECT a FROM b WHERE c = 1",
		"SELECT a FROM b WHERE c > 1", "SELECT a FROM b WHERE c >= 1", "SELECT a FROM b WHERE c IS NULL", "SELECT a FROM b WHERE c IS TRUE",
		"SELECT a FROM b WHERE c = 1 AND d = 1", "SELECT a FROM b WHERE c = 1 OR d = 1", "SELECT a FROM b WHERE NOT c = 1", "SELECT a b",
		"SELECT a - 5", "SELECT a, -5", "SELECT f(1, 2)", "SELECT f(1, 2, 3)", `SELECT "A" FROM b`, "SELECT a ? 'x'", "SELECT a || 'x'",
		"SELECT a FROM b; SELECT a FROM b", "SELECT a IN (1)", "SELECT a IN (1, 2)", "SELECT a IN (1, b)", "DO 'a'", "DO 'b'",
		"SELECT a IN (" + list(100, "1") + ")"} {
		if o, ok := seen[id(s)]; ok {
			t.Errorf("%s has the shape of %s", s, o)
		}
		seen[id(s)] = s
	}
	for _, p := range [][2]string{{"SELECT a IN (1, 2)", "SELECT a IN (1, 2, 3, 'x', -5, 1e3, $1, NULL)"},
		{"SELECT a IN (" + list(100, "1") + ")", "SELECT a IN (" + list(500, "'y'") + ")"},
		{"INSERT INTO t VALUES " + list(3, "(1,'a')") + " RETURNING a", "INSERT INTO t VALUES " + list(8, "(2,'b')") + "  returning A"},
		{"SELECT ARRAY[1,2,3]", "SELECT ARRAY[1,2,3,4]"}, {"SELECT 1;", " select 2"}, {"SELECT - 5", "SELECT 5"},
		{"SELECT a FROM b WHERE c = NULL", "SELECT a FROM b WHERE c = 7"}} {
		if id(p[0]) != id(p[1]) {
			t.Errorf("%s has not the shape of %s", p[0], p[1])
		}
	}
	for n, want := range map[int]uint8{1: 0, 2: 1, 8: 1, 9: 2, 64: 2, 65: 3, 5000: 5} {
		if s := book.Look("SELECT 1 FROM t WHERE a IN ("+list(n, "1")+")", Postgres, 0); s.Features.List != want {
			t.Errorf("a list of %d: bucket %d, want %d", n, s.Features.List, want)
		}
	}
}

// What is huge, deep or broken takes linear time and bounded memory, and is told apart by its reason.
func TestHostile(t *testing.T) {
	book := NewBook(Options{Bytes: 1 << 20})
	many := make([]string, 50000)
	for i := range many {
		many[i] = fmt.Sprintf("s_%d.t", i)
	}
	deep := strings.Repeat("(", 10000)
	for _, c := range []struct {
		name, text string
		kind       Kind
		doubt      Doubt
	}{
		{"1 MB", "SELECT '" + strings.Repeat("x", MostText-9) + "'", Read, Sure},
		{"over 1 MB", "SELECT '" + strings.Repeat("x", MostText) + "'", Unknown, OverLong},
		{"100,000 items", "SELECT a FROM sales_3.t WHERE b IN (" + strings.Repeat("12345, ", 100000) + "1)", Read, Sure},
		{"100,000 rows", "INSERT INTO sales_3.t VALUES " + strings.Repeat("(1,'a'),", 100000) + "(1,'a')", Write, Sure},
		{"100,000 names", "SELECT " + strings.Repeat("abc, ", 100000) + "a FROM sales_3.t", Read, Sure},
		{"50,000 groups", "SELECT 1 FROM " + strings.Join(many, ", "), Read, ManyGroups},
		{"10,000 brackets", "SELECT " + deep + "1" + strings.Repeat(")", 10000), Unknown, Malformed},
		{"1,000 brackets", "SELECT " + deep[:1000] + "1" + strings.Repeat(")", 1000), Read, Sure},
		{"open brackets", deep, Unknown, Malformed},
		{"open comments", strings.Repeat("/*", 100000), Unknown, Malformed},
		{"dollars", "SELECT " + strings.Repeat("$a$", 100001), Unknown, Malformed},
		{"operators", "SELECT 1 " + strings.Repeat("+", 100000) + "1", Read, Sure},
		{"questions", "SELECT a" + strings.Repeat("?a", 100000), Read, Sure},
		{"quotes", "SELECT \"" + strings.Repeat(`""`, 100000) + "\"", Read, Sure},
		{"semicolons", strings.Repeat(";", 100000) + "SELECT 1", Read, Sure},
		{"NUL", "SELECT 1\x00; DELETE FROM sales_3.t", Unknown, Malformed},
		{"not UTF-8", "SELECT '\xff\xfe' FROM sales_3.t", Unknown, Malformed},
		{"control", "SELECT \x01 FROM sales_3.t", Unknown, Malformed},
		{"nothing", "", Unknown, Malformed},
		{"space", " \n\t", Unknown, Malformed},
	} {
		s := book.Look(c.text, Postgres, 0)
		if s.Kind != c.kind || s.Doubt != c.doubt {
			t.Errorf("%s: %v %v", c.name, s.Kind, s.Doubt)
		}
	}
	if got := book.Look("SELECT a FROM sales_4.t WHERE b = 'open", Postgres, 0); got.Group != "4" || got.Verb != "SELECT" {
		t.Errorf("a broken statement's group is %q, its verb %q", got.Group, got.Verb)
	}
	if s := book.Stats(); s.Bytes > 1<<20 || len(book.norm.buf) > 4*MostText {
		t.Errorf("%d bytes remembered, a buffer of %d", s.Bytes, len(book.norm.buf))
	}
	if book.Look("SELECT 1", Postgres, 0); len(book.norm.buf) > keepBuffer {
		t.Errorf("a buffer of %d bytes is kept", len(book.norm.buf))
	}
}

// A hit allocates nothing.
func TestHitsAllocateNothing(t *testing.T) {
	book := NewBook(Options{Bytes: 1 << 20})
	for _, s := range []string{counterQuery, "SELECT a FROM sales_3.t WHERE b IN (1,2,3) AND c = NULL", "INSERT INTO sales_3.t VALUES (1,2),(3,4)"} {
		book.Look(s, Postgres, 0)
		if n := testing.AllocsPerRun(100, func() { book.Look(s, Postgres, 0) }); n > 0 {
			t.Errorf("%s: %v allocations", s, n)
		}
	}
}

// Texts of one hash are told apart: with all hashes alike, each statement still gets what it is.
func TestCollisions(t *testing.T) {
	c := newCache(1 << 20)
	var all []*Shape
	for i := range 200 {
		s := &Shape{canon: []byte(fmt.Sprint("p text ", i)), hash: 42}
		c.add(s)
		all = append(all, s)
	}
	for i, s := range all {
		if got := c.find(42, []byte(fmt.Sprint("p text ", i)), 0); got != s {
			t.Fatalf("text %d is taken for %v", i, got)
		}
	}
	if c.find(42, []byte("p text"), 0) != nil {
		t.Error("a text that never came is known")
	}
}

// zipf draws the numbers of shapes as counters ask for them.
func zipf(r *rand.Rand, shapes int) func() int {
	z := rand.NewZipf(r, 1.1, 8, uint64(shapes-1))
	return func() int { return int(z.Uint64()) }
}

func counterText(i int, lit int) string {
	return fmt.Sprintf("SELECT c%d, note FROM sales_%d.orders WHERE tag = '%x' AND n > %d", i, i%40, lit, lit)
}

func floodText(i int) string {
	return fmt.Sprintf("SELECT f%d, note FROM sales_%d.orders WHERE tag = 'x' GROUP BY g%d", i, i%40, i)
}

// hitRate plays the counters' 200 shapes with a member's flood of ever new ones among them, as many, and tells how many
// of the counters' statements were known. again is how often each statement of the flood comes.
func hitRate(requests, again int, look func(text string, owner int) bool) float64 {
	r := rand.New(rand.NewSource(11))
	next := zipf(r, 200)
	hits, flood := 0, 0
	for i := range requests {
		if look(counterText(next(), i), 1+i%3) {
			hits++
		}
		for range again {
			look(floodText(flood), 4)
		}
		flood++
	}
	return float64(hits) / float64(requests)
}

func bookLook(b *Book) func(string, int) bool {
	return func(text string, owner int) bool {
		before := b.stats.Hits
		b.Look(text, Postgres, owner)
		return b.stats.Hits > before
	}
}

// A member's flood of ever new shapes does not push out those of the counters, even if it sends each of them thrice, and
// memory stays within its bound.
func TestFlood(t *testing.T) {
	const bytes, requests = 256 << 10, 50000
	for _, again := range []int{0, 1, 3} {
		b := NewBook(Options{Bytes: bytes})
		rate := hitRate(requests, again, bookLook(b))
		if s := b.Stats(); rate < 0.95 || s.Bytes > bytes {
			t.Errorf("flood %d: hit rate %.3f, %d bytes", again, rate, s.Bytes)
		}
		n, used := 0, 0
		b.Each(func(s *Shape) { n++; used += int(s.bytes) })
		if n != b.cache.count || used != b.cache.used {
			t.Errorf("flood %d: %d shapes of %d bytes in the queues, %d of %d counted", again, n, used, b.cache.count, b.cache.used)
		}
		t.Logf("flood x%d: counters' hit rate %.4f, %d shapes in %d bytes", again, rate, b.Stats().Shapes, b.Stats().Bytes)
	}
	// The plain ways beside it, in the same bytes by the same count.
	entries := bytes / int((&Shape{canon: make([]byte, 64), Info: Info{Verb: "SELECT", Reads: make([]string, 1)}}).size())
	for _, again := range []int{0, 1, 3} {
		cache, err := lru.New[string, int](entries)
		if err != nil {
			t.Fatal(err)
		}
		m, norm := map[string]bool{}, normal{}
		plain := func(text string, _ int) bool {
			canon, _ := norm.make(text, Postgres)
			known := m[string(canon)]
			if !known && len(m) >= entries { // a plain map that is full starts anew
				clear(m)
			}
			m[string(canon)] = true
			return known
		}
		old := func(text string, _ int) bool {
			canon, _ := norm.make(text, Postgres)
			_, known := cache.Get(string(canon))
			cache.Add(string(canon), 1)
			return known
		}
		t.Logf("flood x%d: plain map %.4f, golang-lru %.4f, %d entries each", again, hitRate(requests, again, plain), hitRate(requests, again, old), entries)
	}
}

// The cache keeps its books straight whatever comes, and always finds what it holds.
func TestCacheProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBook(Options{Bytes: rapid.IntRange(0, 200<<10).Draw(t, "bytes")})
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			i := rapid.IntRange(0, 300).Draw(t, "shape")
			text := "SELECT a" + fmt.Sprint(i) + strings.Repeat(", b", i*rapid.IntRange(0, 4).Draw(t, "long"))
			s := b.Look(text, Postgres, rapid.IntRange(0, 20).Draw(t, "owner"))
			if again := b.Look(text, Postgres, 0); s.cached && again != s {
				t.Fatal("what is remembered is not found")
			}
			if b.cache.used > b.cache.most {
				t.Fatalf("%d bytes of %d", b.cache.used, b.cache.most)
			}
		}
		n := 0
		b.Each(func(s *Shape) {
			n++
			if b.cache.find(s.hash, s.canon, s.asker) != s {
				t.Fatal("a shape in a queue is not in the index")
			}
		})
		if n != b.cache.count {
			t.Fatalf("%d shapes, %d counted", n, b.cache.count)
		}
	})
}

// For any text at all the canonical form is the same twice, is one for what differs in space only, and the reader ends.
func FuzzLook(f *testing.F) {
	for _, l := range mix(f) {
		f.Add(l.text, l.d == ClickHouse)
	}
	book := NewBook(Options{Bytes: 1 << 16})
	f.Fuzz(func(t *testing.T, text string, ch bool) {
		d := Postgres
		if ch {
			d = ClickHouse
		}
		canon, fault := new(normal).make(text, d)
		one := book.Look(text, d, 0)
		two := book.Look(" "+text, d, 1)
		if one.ID != two.ID || one.label() != two.label() || one.Group != two.Group {
			t.Errorf("%q: %s, then %s", text, one.label(), two.label())
		}
		if fault == Whole && one.Doubt == Malformed && !bytes.HasPrefix(canon, []byte("p do ")) {
			t.Errorf("%q: whole, yet malformed", text)
		}
		if one.Kind == Unknown && Judge(Reads, &one.Info) == Sure {
			t.Errorf("%q: unknown, yet trusted", text)
		}
	})
}
