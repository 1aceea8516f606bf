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

// labeledStatement is a statement of testdata/mix.txt with the label that it must get.
type labeledStatement struct {
	want, text string
	dialect    Dialect
}

// labeledStatements reads testdata/mix.txt.
func labeledStatements(t testing.TB) (all []labeledStatement) {
	text, err := os.ReadFile("testdata/mix.txt")
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		if line[0] == '#' {
			continue
		}
		label, statement, ok := strings.Cut(line, " | ")
		if !ok {
			t.Fatalf("%s: no statement", line)
		}
		labeled := labeledStatement{want: label[2:], text: strings.ReplaceAll(statement, `\n`, "\n")}
		if label[0] == 'c' {
			labeled.dialect = ClickHouse
		}
		all = append(all, labeled)
	}
	return all
}

// label formats a shape as in testdata/mix.txt: kind, tables read, tables written, reason.
func (s *Shape) label() string {
	orDash := func(s string) string {
		if s == "" {
			return "-"
		}
		return s
	}
	return fmt.Sprintf("%v %s %s %s", s.Kind, orDash(strings.Join(s.Reads, ",")), orDash(strings.Join(s.Writes, ",")),
		orDash(s.Reason.String()))
}

// splitTokens splits a statement of the tests into words, operator characters, literals and quoted names. It is independent
// of the code under test and handles only what the test statements contain.
func splitTokens(s string) (out []string) {
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

// canRespace reports whether white space may be changed between the tokens of splitTokens without changing the statement.
func canRespace(s string) bool {
	if strings.Contains(s, "--") || strings.Contains(s, "/*") {
		return false
	}
	return !strings.ContainsAny(s, `\$.#{}`) || strings.Count(s, ".") == strings.Count(s, "_") && !strings.ContainsAny(s, `\$#{}`)
}

// rejoin joins tokens with random white space and comments, random case of words, and other literals if changeLiterals is set.
func rejoin(r *rand.Rand, tokens []string, dialect Dialect, changeLiterals bool) string {
	var b strings.Builder
	spaces := []string{" ", "\n", "\t ", " /* from no_9.where; */ ", " -- insert\n"}
	for i, token := range tokens {
		switch {
		case i > 0 && (tokens[i-1] == "." || token == "." ||
			strings.ContainsAny(token, "<>=!|:@-*?+") && strings.ContainsAny(tokens[i-1], "<>=!|:@-*?+")):
		case i > 0 && strings.ContainsAny(tokens[i-1], "<>=!|:@-*?+/") || strings.ContainsAny(token, "<>=!|:@-*?+/"):
			b.WriteByte(' ')
		default:
			b.WriteString(spaces[r.Intn(len(spaces))])
		}
		switch {
		case changeLiterals && token[0] == '\'':
			token = "'" + strings.Repeat("x;\"y from a_1.b ", r.Intn(3)) + "''" + "'"
		case changeLiterals && token[0] >= '0' && token[0] <= '9':
			token = fmt.Sprint(r.Intn(1 << r.Intn(30)))
		case dialect == Postgres && token[0]|0x20 >= 'a' && token[0]|0x20 <= 'z' && r.Intn(2) == 0:
			token = strings.ToUpper(token)
		}
		b.WriteString(token)
	}
	return b.String()
}

// Every labeled statement gets its label, and keeps its shape when white space, comments, case and literals change. A write
// recognized as a read would be repeated.
func TestStatementLabels(t *testing.T) {
	catalog, r, n := NewCatalog(Options{MaxBytes: 1 << 20, HashSeed: 3}), rand.New(rand.NewSource(1)), 0
	for _, labeled := range labeledStatements(t) {
		s := catalog.Recognize(labeled.text, labeled.dialect, 0)
		if got := s.label(); got != labeled.want {
			t.Errorf("%s\n got %s\nwant %s", labeled.text, got, labeled.want)
		}
		n++
		if s.Reason == Malformed || s.Reason == DoBody || !canRespace(labeled.text) ||
			strings.Contains(labeled.text, "FORMAT") {
			continue
		}
		for range 3 {
			other := rejoin(r, splitTokens(labeled.text), labeled.dialect, true)
			if o := catalog.Recognize(other, labeled.dialect, 0); o.ID != s.ID || o.label() != labeled.want {
				t.Errorf("%s\n%s\n got %s %s, want %s", labeled.text, other, o.label(), o.Text(), s.Text())
			}
			n++
		}
	}
	if n < 300 {
		t.Errorf("%d statements, at least 300 are wanted", n)
	}
	if s := catalog.Stats(); s.Hits == 0 {
		t.Error("the cache had no hits")
	}
}

// Statements of testdata/statements.txt get their table group and verb, and no truncation of them makes the parser fail.
func TestTableGroupsAndVerbs(t *testing.T) {
	text, err := os.ReadFile("testdata/statements.txt")
	if err != nil {
		t.Fatal(err)
	}
	catalog := NewCatalog(Options{})
	for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		fields := strings.SplitN(line, " ", 3)
		statement := strings.NewReplacer(`\\`, `\`, `\n`, "\n").Replace(fields[2])
		got := catalog.Recognize(statement, Postgres, 0)
		group := got.TableGroup
		if group == "" {
			group = "-"
		}
		if group != fields[0] || got.Verb != fields[1] {
			t.Errorf("%s: group %s, verb %s", line, group, got.Verb)
		}
		for i := range statement { // truncated statements must not panic
			catalog.Recognize(statement[:i], Postgres, 0)
		}
	}
}

// Statements that differ in names, operators or structure have different shapes. Lists of different length share a shape if
// their lengths fall into the same bucket, whose bounds are powers of 8.
func TestDistinctShapes(t *testing.T) {
	catalog := NewCatalog(Options{MaxBytes: 1 << 20})
	id := func(s string) uint64 { return catalog.Recognize(s, Postgres, 0).ID }
	list := func(n int, row string) string { return strings.TrimSuffix(strings.Repeat(row+",", n), ",") }
	seen := map[uint64]string{}
	for _, s := range []string{"SELECT a FROM b", "SELECT a FROM c", "SELECT c FROM b", "SELECT a, a FROM b",
		"SELECT a FROM b WHERE c = 1", "SELECT a FROM b WHERE c > 1", "SELECT a FROM b WHERE c >= 1",
		"SELECT a FROM b WHERE c IS NULL", "SELECT a FROM b WHERE c IS TRUE", "SELECT a FROM b WHERE c = 1 AND d = 1",
		"SELECT a FROM b WHERE c = 1 OR d = 1", "SELECT a FROM b WHERE NOT c = 1", "SELECT a b", "SELECT a - 5", "SELECT a, -5",
		"SELECT f(1, 2)", "SELECT f(1, 2, 3)", `SELECT "A" FROM b`, "SELECT a ? 'x'", "SELECT a || 'x'",
		"SELECT a FROM b; SELECT a FROM b", "SELECT a IN (1)", "SELECT a IN (1, 2)", "SELECT a IN (1, b)", "DO 'a'", "DO 'b'",
		"SELECT a IN (" + list(100, "1") + ")"} {
		if o, ok := seen[id(s)]; ok {
			t.Errorf("%s has the shape of %s", s, o)
		}
		seen[id(s)] = s
	}
	for _, p := range [][2]string{{"SELECT a IN (1, 2)", "SELECT a IN (1, 2, 3, 'x', -5, 1e3, $1, NULL)"},
		{"SELECT a IN (" + list(100, "1") + ")", "SELECT a IN (" + list(500, "'y'") + ")"},
		{"INSERT INTO t VALUES " + list(3, "(1,'a')") + " RETURNING a",
			"INSERT INTO t VALUES " + list(8, "(2,'b')") + "  returning A"},
		{"SELECT ARRAY[1,2,3]", "SELECT ARRAY[1,2,3,4]"}, {"SELECT 1;", " select 2"}, {"SELECT - 5", "SELECT 5"},
		{"SELECT a FROM b WHERE c = NULL", "SELECT a FROM b WHERE c = 7"}} {
		if id(p[0]) != id(p[1]) {
			t.Errorf("%s does not have the shape of %s", p[0], p[1])
		}
	}
	for n, want := range map[int]uint8{1: 0, 2: 1, 8: 1, 9: 2, 64: 2, 65: 3, 5000: 5} {
		if s := catalog.Recognize("SELECT 1 FROM t WHERE a IN ("+list(n, "1")+")", Postgres, 0); s.Features.ListBucket != want {
			t.Errorf("a list of %d: bucket %d, want %d", n, s.Features.ListBucket, want)
		}
	}
}

// Huge, deeply nested or malformed statements take linear time and bounded memory, and get the right reason.
func TestHostileStatements(t *testing.T) {
	catalog := NewCatalog(Options{MaxBytes: 1 << 20})
	many := make([]string, 50000)
	for i := range many {
		many[i] = fmt.Sprintf("s_%d.t", i)
	}
	deep := strings.Repeat("(", 10000)
	for _, c := range []struct {
		name, text string
		kind       Kind
		reason     Reason
	}{
		{"1 MB", "SELECT '" + strings.Repeat("x", MaxStatementBytes-9) + "'", Read, NoReason},
		{"over 1 MB", "SELECT '" + strings.Repeat("x", MaxStatementBytes) + "'", Unknown, OverLong},
		{"100,000 items", "SELECT a FROM sales_3.t WHERE b IN (" + strings.Repeat("12345, ", 100000) + "1)", Read, NoReason},
		{"100,000 rows", "INSERT INTO sales_3.t VALUES " + strings.Repeat("(1,'a'),", 100000) + "(1,'a')", Write, NoReason},
		{"100,000 names", "SELECT " + strings.Repeat("abc, ", 100000) + "a FROM sales_3.t", Read, NoReason},
		{"50,000 groups", "SELECT 1 FROM " + strings.Join(many, ", "), Read, TooManyTableGroups},
		{"10,000 brackets", "SELECT " + deep + "1" + strings.Repeat(")", 10000), Unknown, Malformed},
		{"1,000 brackets", "SELECT " + deep[:1000] + "1" + strings.Repeat(")", 1000), Read, NoReason},
		{"open brackets", deep, Unknown, Malformed},
		{"open comments", strings.Repeat("/*", 100000), Unknown, Malformed},
		{"dollars", "SELECT " + strings.Repeat("$a$", 100001), Unknown, Malformed},
		{"operators", "SELECT 1 " + strings.Repeat("+", 100000) + "1", Read, NoReason},
		{"questions", "SELECT a" + strings.Repeat("?a", 100000), Read, NoReason},
		{"quotes", "SELECT \"" + strings.Repeat(`""`, 100000) + "\"", Read, NoReason},
		{"semicolons", strings.Repeat(";", 100000) + "SELECT 1", Read, NoReason},
		{"NUL", "SELECT 1\x00; DELETE FROM sales_3.t", Unknown, Malformed},
		{"not UTF-8", "SELECT '\xff\xfe' FROM sales_3.t", Unknown, Malformed},
		{"control", "SELECT \x01 FROM sales_3.t", Unknown, Malformed},
		{"nothing", "", Unknown, Malformed},
		{"space", " \n\t", Unknown, Malformed},
	} {
		s := catalog.Recognize(c.text, Postgres, 0)
		if s.Kind != c.kind || s.Reason != c.reason {
			t.Errorf("%s: %v %v", c.name, s.Kind, s.Reason)
		}
	}
	if got := catalog.Recognize("SELECT a FROM sales_4.t WHERE b = 'open", Postgres, 0); got.TableGroup != "4" ||
		got.Verb != "SELECT" {
		t.Errorf("the group of an unterminated statement is %q, its verb %q", got.TableGroup, got.Verb)
	}
	if s := catalog.Stats(); s.Bytes > 1<<20 || len(catalog.normalizer.buf) > 4*MaxStatementBytes {
		t.Errorf("%d bytes cached, a buffer of %d", s.Bytes, len(catalog.normalizer.buf))
	}
	if catalog.Recognize("SELECT 1", Postgres, 0); len(catalog.normalizer.buf) > maxKeptBufferBytes {
		t.Errorf("a buffer of %d bytes is kept", len(catalog.normalizer.buf))
	}
}

// A cache hit allocates no memory.
func TestHitsAllocateNothing(t *testing.T) {
	catalog := NewCatalog(Options{MaxBytes: 1 << 20})
	for _, s := range []string{aggregateQuery, "SELECT a FROM sales_3.t WHERE b IN (1,2,3) AND c = NULL",
		"INSERT INTO sales_3.t VALUES (1,2),(3,4)"} {
		catalog.Recognize(s, Postgres, 0)
		if n := testing.AllocsPerRun(100, func() { catalog.Recognize(s, Postgres, 0) }); n > 0 {
			t.Errorf("%s: %v allocations", s, n)
		}
	}
}

// Statements with equal hashes are distinguished by their canonical texts.
func TestHashCollisions(t *testing.T) {
	c := newCache(1 << 20)
	var all []*Shape
	for i := range 200 {
		s := &Shape{canonical: []byte(fmt.Sprint("p text ", i)), hash: 42}
		c.add(s)
		all = append(all, s)
	}
	for i, s := range all {
		if got := c.find(42, []byte(fmt.Sprint("p text ", i)), 0); got != s {
			t.Fatalf("text %d gives %v", i, got)
		}
	}
	if c.find(42, []byte("p text"), 0) != nil {
		t.Error("a text that was never added is found")
	}
}

// zipfShapes returns a source of shape numbers with the Zipf distribution of lookup queries.
func zipfShapes(r *rand.Rand, shapes int) func() int {
	z := rand.NewZipf(r, 1.1, 8, uint64(shapes-1))
	return func() int { return int(z.Uint64()) }
}

// lookupStatement returns a lookup query of the i-th shape, with literals made from the given number.
func lookupStatement(i int, literal int) string {
	return fmt.Sprintf("SELECT c%d, note FROM sales_%d.orders WHERE tag = '%x' AND n > %d", i, i%40, literal, literal)
}

// floodStatement returns the i-th statement of a flood. Each statement of the flood has another shape.
func floodStatement(i int) string {
	return fmt.Sprintf("SELECT f%d, note FROM sales_%d.orders WHERE tag = 'x' GROUP BY g%d", i, i%40, i)
}

// hitRate mixes lookup queries of 200 shapes with another tenant's flood of new shapes, one for each lookup query, and returns
// the hit rate of the lookup queries. Each statement of the flood is sent repeats times.
func hitRate(requests, repeats int, lookup func(text string, owner int) bool) float64 {
	r := rand.New(rand.NewSource(11))
	next := zipfShapes(r, 200)
	hits, flood := 0, 0
	for i := range requests {
		if lookup(lookupStatement(next(), i), 1+i%3) {
			hits++
		}
		for range repeats {
			lookup(floodStatement(flood), 4)
		}
		flood++
	}
	return float64(hits) / float64(requests)
}

// catalogLookup returns a lookup function for hitRate that reports whether the catalog had the shape in its cache.
func catalogLookup(catalog *Catalog) func(string, int) bool {
	return func(text string, owner int) bool {
		before := catalog.stats.Hits
		catalog.Recognize(text, Postgres, owner)
		return catalog.stats.Hits > before
	}
}

// One tenant's flood of new shapes does not evict the shapes of other tenants, even if it sends each of them three times, and
// memory stays within its limit.
func TestFloodEvictsOwnEntries(t *testing.T) {
	const bytes, requests = 256 << 10, 50000
	for _, repeats := range []int{0, 1, 3} {
		catalog := NewCatalog(Options{MaxBytes: bytes})
		rate := hitRate(requests, repeats, catalogLookup(catalog))
		if s := catalog.Stats(); rate < 0.95 || s.Bytes > bytes {
			t.Errorf("flood %d: hit rate %.3f, %d bytes", repeats, rate, s.Bytes)
		}
		n, used := 0, 0
		catalog.Each(func(s *Shape) { n++; used += int(s.entryBytes) })
		if n != catalog.cache.count || used != catalog.cache.usedBytes {
			t.Errorf("flood %d: %d shapes of %d bytes in the queues, %d of %d counted",
				repeats, n, used, catalog.cache.count, catalog.cache.usedBytes)
		}
		t.Logf("flood x%d: hit rate of lookups %.4f, %d shapes in %d bytes",
			repeats, rate, catalog.Stats().Shapes, catalog.Stats().Bytes)
	}
	// For comparison: a plain map and an LRU cache with as many entries as fit into the same bytes.
	entries := bytes / int((&Shape{canonical: make([]byte, 64), Info: Info{Verb: "SELECT", Reads: make([]string, 1)}}).size())
	for _, repeats := range []int{0, 1, 3} {
		cache, err := lru.New[string, int](entries)
		if err != nil {
			t.Fatal(err)
		}
		seen, n := map[string]bool{}, normalizer{}
		mapLookup := func(text string, _ int) bool {
			canonical, _ := n.normalize(text, Postgres)
			known := seen[string(canonical)]
			if !known && len(seen) >= entries { // a full map is cleared
				clear(seen)
			}
			seen[string(canonical)] = true
			return known
		}
		lruLookup := func(text string, _ int) bool {
			canonical, _ := n.normalize(text, Postgres)
			_, known := cache.Get(string(canonical))
			cache.Add(string(canonical), 1)
			return known
		}
		t.Logf("flood x%d: plain map %.4f, golang-lru %.4f, %d entries each",
			repeats, hitRate(requests, repeats, mapLookup), hitRate(requests, repeats, lruLookup), entries)
	}
}

// For any sequence of statements the cache's counters match its queues, its size stays within the limit, and it finds every
// entry that it holds.
func TestCacheProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		catalog := NewCatalog(Options{MaxBytes: rapid.IntRange(0, 200<<10).Draw(t, "bytes")})
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			i := rapid.IntRange(0, 300).Draw(t, "shape")
			text := "SELECT a" + fmt.Sprint(i) + strings.Repeat(", b", i*rapid.IntRange(0, 4).Draw(t, "long"))
			s := catalog.Recognize(text, Postgres, rapid.IntRange(0, 20).Draw(t, "owner"))
			if again := catalog.Recognize(text, Postgres, 0); s.cached && again != s {
				t.Fatal("a cached shape is not found")
			}
			if catalog.cache.usedBytes > catalog.cache.maxBytes {
				t.Fatalf("%d bytes of %d", catalog.cache.usedBytes, catalog.cache.maxBytes)
			}
		}
		n := 0
		catalog.Each(func(s *Shape) {
			n++
			if catalog.cache.find(s.hash, s.canonical, s.lastOwner) != s {
				t.Fatal("a shape in a queue is not in the index")
			}
		})
		if n != catalog.cache.count {
			t.Fatalf("%d shapes, %d counted", n, catalog.cache.count)
		}
	})
}

// For any text the parser terminates, and leading white space changes neither the shape nor its label. An unknown statement is
// never accepted for a read class.
func FuzzRecognize(f *testing.F) {
	for _, labeled := range labeledStatements(f) {
		f.Add(labeled.text, labeled.dialect == ClickHouse)
	}
	catalog := NewCatalog(Options{MaxBytes: 1 << 16})
	f.Fuzz(func(t *testing.T, text string, ch bool) {
		dialect := Postgres
		if ch {
			dialect = ClickHouse
		}
		canonical, lexErr := new(normalizer).normalize(text, dialect)
		one := catalog.Recognize(text, dialect, 0)
		two := catalog.Recognize(" "+text, dialect, 1)
		if one.ID != two.ID || one.label() != two.label() || one.TableGroup != two.TableGroup {
			t.Errorf("%q: %s, then %s", text, one.label(), two.label())
		}
		if lexErr == NoLexError && one.Reason == Malformed && !bytes.HasPrefix(canonical, []byte("p do ")) {
			t.Errorf("%q: split into tokens, but malformed", text)
		}
		if one.Kind == Unknown && CheckRole(ReadRole, &one.Info) == NoReason {
			t.Errorf("%q: unknown, but accepted for a read class", text)
		}
	})
}
