package shape

import (
	"slices"
	"strings"
)

// tokens walks over a canonical text.
type tokens struct {
	s string
	i int
}

// next is the next token; empty at the end. Quoted names come with their quotes.
func (t *tokens) next() string {
	if t.i >= len(t.s) {
		return ""
	}
	from := t.i + 1 // behind the space
	end := from
	if end < len(t.s) && t.s[end] == '"' {
		for end++; end < len(t.s); end++ {
			if t.s[end] == '"' {
				if end++; end >= len(t.s) || t.s[end] != '"' {
					break
				}
			}
		}
	} else {
		for end < len(t.s) && t.s[end] != ' ' {
			end++
		}
	}
	t.i = end
	return t.s[from:end]
}

// peek is the token that next gives.
func (t *tokens) peek() string {
	i := t.i
	s := t.next()
	t.i = i
	return s
}

// rest is all that is left, without the space ahead of it.
func (t *tokens) rest() string {
	s := t.s[min(t.i+1, len(t.s)):]
	t.i = len(t.s)
	return s
}

// Clauses of a statement.
const (
	other     = iota
	selecting // the list behind SELECT
	from      // tables
	on        // a join's condition: a comma goes back to tables
	naming    // a list of names behind a word of DDL
)

// level is an open bracket of the reader, or a whole statement.
type level struct {
	statement string // its first word, "" in brackets that hold no statement
	clause    uint8
	fresh     bool // its first token is still to come
	modifies  bool // INSERT and its like may start it
	expect    bool // a table's name comes next
	target    bool // ... and that table is written
	schema    bool // ... or a schema's name comes next
	call      bool // the arguments of a function
	aggregate bool // ... that aggregates
	with      bool // in the list behind WITH
	plan      bool // EXPLAIN: what follows is not run
	nested    bool // the statement under way stands inside another, as behind PREPARE
	copied    string
}

// reader makes an Info of a canonical text. It keeps its stack between calls.
type reader struct {
	levels []level
	inner  normal // for the text behind DO
}

// reading is what a reader knows of the text under way.
type reading struct {
	*reader
	t       tokens
	d       Dialect
	info    *Info
	body    bool // the text of a DO block
	first   string
	last    string // the token ahead of the present one
	before  string // and the one ahead of that
	other   string // the group of a name that is no table's
	count   int    // statements
	kinds   [Write + 1]bool
	locks   bool // FOR UPDATE and its like
	pending bool // an aggregate has been closed, and no OVER been seen
}

// read tells what a canonical text is.
func (r *reader) read(canon string) Info {
	var info Info
	if canon == "" {
		info.Kind, info.Doubt = Unknown, Malformed
		return info
	}
	d := Postgres
	if canon[0] == dialectMark[ClickHouse] {
		d = ClickHouse
	}
	g := &reading{reader: r, t: tokens{s: canon, i: 1}, d: d, info: &info}
	g.run()
	g.finish()
	return info
}

func (g *reading) finish() {
	i := g.info
	for k := Write; ; k-- {
		if g.kinds[k] {
			i.Kind = k
			break
		}
		if k == Control {
			if g.count == 0 {
				i.Kind = Unknown
			}
			break
		}
	}
	if i.Kind == Read && i.Features.Aggregates > 0 || i.Kind == Read && i.Features.Grouped {
		i.Kind = Aggregate
	}
	if g.count > 1 && (g.kinds[Write] || g.kinds[Control] || g.kinds[Unknown]) {
		g.doubt(Several)
	}
	if i.Group == "" {
		i.Group = g.other
	}
	if g.locks {
		for _, x := range i.Reads {
			i.Writes = insert(i.Writes, x)
		}
	}
	i.Verb = strings.ToUpper(g.first)
}

// doubt notes a reason, unless there is one already.
func (g *reading) doubt(d Doubt) {
	if g.info.Doubt == Sure {
		g.info.Doubt = d
	}
}

// mark notes what the text does, unless it is only planned.
func (g *reading) mark(k Kind) {
	if !g.levels[0].plan {
		g.kinds[k] = true
	}
}

func (g *reading) top() *level { return &g.levels[len(g.levels)-1] }

func (g *reading) run() {
	g.levels = append(g.levels[:0], level{fresh: true, modifies: true})
	for {
		t := g.t.next()
		if t == "" {
			break
		}
		g.token(t)
		g.before, g.last = g.last, t
	}
	g.settle()
}

func word(t string) bool { return t != "" && class[t[0]]&isLetter != 0 }

func name(t string) bool { return t != "" && (t[0] == '"' || class[t[0]]&isLetter != 0) }

// unquote is a name without its quotes.
func unquote(t string) string {
	if t != "" && t[0] == '"' {
		return strings.ReplaceAll(strings.Trim(t, `"`), `""`, `"`)
	}
	return t
}

// settle counts an aggregate that no OVER has followed.
func (g *reading) settle() {
	if g.pending {
		g.pending = false
		more(&g.info.Features.Aggregates)
	}
}

func (g *reading) token(t string) {
	l := g.top()
	if g.pending {
		if t == "over" {
			g.pending = false
		} else {
			g.settle()
		}
	}
	switch {
	case t == ";":
		g.levels = append(g.levels[:0], level{fresh: true, modifies: true})
	case t == "(" || t == "[" || t == "{":
		g.open(l, t)
	case t == ")" || t == "]" || t == "}":
		if len(g.levels) > 1 {
			g.pending = l.aggregate
			g.levels = g.levels[:len(g.levels)-1]
		}
	case t[0] == markText:
		g.block(t[1:] + g.t.rest())
	case t[0] == markName:
		g.doubt(NameHidden)
		l.expect, l.schema, l.fresh = false, false, false
	case t[0] == markRun:
		if n := t[1] - '0'; n > g.info.Features.List {
			g.info.Features.List = n
		}
	case name(t):
		g.name(l, t)
	case t == ",":
		l.fresh = false
		l.expect = l.clause == from || l.clause == on || l.clause == naming
		l.target = l.clause == naming && l.statement != "check"
		if l.clause == on {
			l.clause = from
		}
	default:
		if l.fresh && len(g.levels) == 1 { // no statement starts so
			g.count++
			g.kinds[Unknown] = true
		}
		l.fresh, l.expect, l.schema = false, false, false
	}
}

func (g *reading) open(l *level, t string) {
	n := level{fresh: true}
	switch {
	case t != "(":
		n.fresh = false
	case l.with && (g.last == "as" || g.last == "materialized"), g.last == "copy" && l.statement == "copy":
		n.modifies = true
	case l.expect && !l.target:
		n.clause, n.expect = from, true
	case l.plan && g.last == "explain":
		n.statement = "explain" // its options
		n.fresh = false
	case name(g.last):
		n.call = !folds(g.last)
		n.aggregate = g.last[0] != '"' && g.before != "." && aggregate(strings.ToLower(g.last), g.d)
		g.called()
	}
	if l.fresh && len(g.levels) == 1 { // (SELECT ...) UNION ...
		g.count++
		l.statement = "select"
	}
	l.expect, l.fresh = false, false
	g.levels = append(g.levels, n)
}

// folds tells whether a word ahead of a bracket is none of a function.
func folds(w string) bool {
	switch w {
	case "in", "and", "or", "not", "values", "as", "on", "using", "where", "when", "then", "else", "any", "all", "some", "exists", "from",
		"join", "select", "by", "over", "filter", "set", "returning", "having", "limit", "union", "except", "intersect", "with",
		"materialized", "lateral", "distinct", "into":
		return true
	}
	return false
}

// called looks at the name of a function.
func (g *reading) called() {
	f := strings.ToLower(unquote(g.last))
	if g.before == "." {
		return // see qualified
	}
	if effects[f] {
		g.mark(Write)
		g.doubt(Effects)
	}
}

// name takes a word or a quoted name.
func (g *reading) name(l *level, t string) {
	if g.last == "." && g.before != "" { // the rest of a dotted name that is no table's
		l.fresh = false
		return
	}
	if l.expect {
		if word(t) && g.keeps(l, t) {
			return
		}
		l.expect = false
		g.table(l, t)
		return
	}
	if l.schema {
		switch t {
		case "if", "not", "exists":
			return
		}
		l.schema = false
		if n, ok := group(unquote(t)); ok {
			g.touch(n, true, l)
		}
		return
	}
	if l.fresh {
		l.fresh = false
		if word(t) && g.starts(l, t) {
			return
		}
	}
	if word(t) && g.word(l, t) {
		return
	}
	if g.t.peek() == "." {
		g.dotted(t)
	}
}

// keeps tells whether a word may stand between that which expects a table and its name.
func (g *reading) keeps(l *level, t string) bool {
	switch t {
	case "only", "lateral", "if", "not", "exists", "temporary", "temp", "unlogged", "global", "local", "concurrently", "verbose", "full",
		"freeze", "nowait", "recursive":
		return g.t.peek() != "."
	case "table", "tables", "function", "view":
		if t == "function" {
			g.doubt(Elsewhere)
		}
		return true
	case "select", "with", "values", "from":
		l.expect = false
		if l.fresh {
			l.fresh = false
			return g.starts(l, t)
		}
		return g.word(l, t)
	case "outfile": // INTO OUTFILE is the client's own matter
		l.expect, l.target = false, false
		return true
	case "cluster": // ON CLUSTER
		l.expect, l.target = false, false
		return true
	}
	return false
}

// table takes the name of a table, dots and all.
func (g *reading) table(l *level, t string) {
	l.fresh = false
	parts, n := [4]string{unquote(t)}, 1
	for g.t.peek() == "." {
		g.before, g.last = g.last, g.t.next()
		p := g.t.peek()
		if !name(p) {
			break
		}
		g.before, g.last = g.last, g.t.next()
		if n < len(parts) {
			parts[n] = unquote(p)
			n++
		}
	}
	if l.target && l.statement == "select" || l.target && g.body && l.statement == "perform" {
		g.mark(Write) // SELECT INTO
	}
	call := g.t.peek() == "(" && !l.target && l.statement != "copy"
	if call && n == 1 && g.d == ClickHouse && !local[strings.ToLower(parts[0])] {
		g.doubt(Elsewhere)
	}
	for _, p := range parts[:n-1] {
		if x, ok := group(p); ok {
			if call {
				g.doubt(ForeignCall)
			}
			g.touch(x, l.target, l)
			break
		}
	}
	l.target = false
}

// local holds the table functions of ClickHouse that stay where they are.
var local = set(`numbers zeros numbers_mt zeros_mt generaterandom generateseries generate_series values null view format input merge`)

// touch notes a table group.
func (g *reading) touch(x string, written bool, l *level) {
	if g.info.Group == "" {
		g.info.Group = x
	}
	switch {
	case g.levels[0].plan:
	case len(g.info.Reads) >= mostGroups || len(g.info.Writes) >= mostGroups:
		g.doubt(ManyGroups) // danger: a sorted set of all would take square time
	case l.statement == "copy":
		l.copied = x
	case written:
		g.info.Writes = insert(g.info.Writes, x)
	default:
		g.info.Reads = insert(g.info.Reads, x)
	}
}

// dotted looks at a name with a dot behind it that is no table's: a column, an alias, a function of a schema.
func (g *reading) dotted(t string) {
	mark := g.t
	g.t.next()
	p := g.t.next()
	call := g.t.peek() == "("
	g.t = mark
	if !name(p) {
		return
	}
	s := unquote(t)
	if x, ok := group(s); ok && g.other == "" {
		g.other = x
	}
	if call && s != "pg_catalog" && s != "information_schema" {
		g.doubt(ForeignCall)
		return
	}
	if call && effects[strings.ToLower(unquote(p))] {
		g.mark(Write)
		g.doubt(Effects)
	}
}

// starts takes the first word of a statement, or of a bracket. It says false where that starts none.
func (g *reading) starts(l *level, t string) bool {
	k, known := statementWords[t]
	outer := len(g.levels) == 1
	if !outer && !l.modifies { // in brackets only queries start
		if !(t == "select" || t == "with" || t == "values" && g.t.peek() == "(" || t == "from" && g.d == ClickHouse) {
			return false
		}
	}
	if g.body && outer {
		switch t {
		case "begin", "declare", "then", "else", "loop", "exception":
			l.fresh, l.statement = true, ""
			return true
		case "perform", "return", "if", "for", "while", "foreach", "end", "raise", "exit", "continue", "close", "open", "fetch":
			k, known = Read, true
		default:
			if !known {
				k, known = Control, true // an assignment
			}
		}
	}
	if outer && !l.nested {
		g.count++
		if g.first == "" {
			g.first = t
		}
	}
	if !known {
		g.kinds[Unknown] = true
		g.doubt(UnknownWord)
		l.statement = t
		return true
	}
	l.statement = t
	switch t {
	case "with":
		l.with = true
		return true // what follows tells the kind
	case "explain":
		g.kinds[Control] = true
		l.plan = true
		return true
	case "prepare":
		if g.t.peek() == "transaction" {
			break
		}
		k = Control
	case "do", "call", "execute", "load":
		g.doubt(Dynamic)
	case "update":
		l.expect, l.target = true, true
	case "truncate", "vacuum", "analyze", "analyse", "cluster", "optimize", "check":
		l.expect, l.target, l.clause = true, t != "check", naming
	case "copy":
		l.expect = true
		k = Control // its direction tells
	case "from":
		l.expect, l.clause = true, from
	case "table":
		l.expect, l.clause = true, from
	case "select", "perform":
		l.clause = selecting
	}
	if t == "do" {
		k = Control // its text tells
	}
	g.mark(k)
	return true
}

// word takes a word inside a statement. It says false for one that is but a name.
func (g *reading) word(l *level, t string) bool {
	f := &g.info.Features
	if l.with && g.last != "with" && g.last != "recursive" && g.last != "," && g.last != "as" {
		switch t {
		case "select", "insert", "update", "delete", "merge", "values", "table", "from":
			if t != "from" || g.d == ClickHouse {
				l.with = false
				return g.main(l, t)
			}
		}
	}
	if l.plan && l.statement == "explain" && len(g.levels) == 1 { // words between EXPLAIN and its statement
		if _, known := statementWords[t]; known && t != "analyze" && t != "analyse" {
			return g.main(l, t)
		}
		if t == "analyze" || t == "analyse" {
			l.plan = g.t.peek() == "false" || g.t.peek() == "off"
			l.statement = "explain"
			l.fresh = false
			if !l.plan {
				l.statement = "analyzed"
			}
		}
		return true
	}
	if l.statement == "analyzed" {
		if _, known := statementWords[t]; known {
			return g.main(l, t)
		}
		return true
	}
	if l.statement == "explain" && len(g.levels) > 1 { // EXPLAIN (ANALYZE, ...)
		if t == "analyze" || t == "analyse" {
			if p := g.t.peek(); p != "false" && p != "off" { // a literal may say either
				g.levels[len(g.levels)-2].plan = false
				g.levels[len(g.levels)-2].statement = "analyzed"
			}
		}
		return true
	}
	if g.body && len(g.levels) == 1 {
		switch t {
		case "begin", "then", "else", "loop", "exception":
			*l = level{fresh: true, modifies: true}
			return true
		}
	}
	switch t {
	case "select":
		l.clause = selecting
		if l.statement == "" {
			l.statement = "select"
		}
		g.mark(Read)
		if g.last == "union" || g.last == "all" || g.last == "except" || g.last == "intersect" {
			more(&f.Subqueries)
		}
		if len(g.levels) > 1 {
			more(&f.Subqueries)
		}
	case "from":
		switch {
		case l.call && l.statement == "", g.last == "distinct" && (g.before == "is" || g.before == "not"):
		case l.statement == "copy":
			g.mark(Write)
			if l.copied != "" && !g.levels[0].plan {
				g.info.Writes = insert(g.info.Writes, l.copied)
			}
		case l.statement == "show", l.statement == "fetch", l.statement == "move", l.statement == "revoke":
		default:
			l.expect, l.clause = true, from
			l.target = l.statement == "delete" && g.last == "delete"
		}
	case "to":
		switch l.statement {
		case "copy":
			g.mark(Read)
			if l.copied != "" && !g.levels[0].plan {
				g.info.Reads = insert(g.info.Reads, l.copied)
			}
		case "rename", "create":
			l.expect, l.target, l.clause = l.statement == "rename" || g.d == ClickHouse, true, other
		}
	case "program":
		if l.statement == "copy" {
			g.doubt(Dynamic)
		}
	case "join":
		if g.last != "array" {
			more(&f.Joins)
			l.expect, l.target, l.clause = true, false, from
		} else {
			l.clause = other
		}
	case "into":
		if (l.statement == "insert" || l.statement == "merge" || l.statement == "replace") && l.clause == other {
			l.expect, l.target = true, true
		} else if l.statement == "select" && !g.body {
			l.expect, l.target = true, true
		}
	case "using":
		l.expect = l.statement == "delete" || l.statement == "merge" || l.clause == from
		l.target = false
	case "on":
		if l.clause == from {
			l.clause = on
			return true
		}
		switch l.statement {
		case "create", "comment", "grant", "revoke", "drop", "alter":
			l.expect, l.target = true, true
		}
	case "table", "tables", "view", "sequence", "index", "dictionary":
		switch l.statement {
		case "create", "drop", "alter", "rename", "exchange", "refresh", "attach", "detach", "undrop", "reindex":
			if g.last != "if" && l.clause == other {
				l.expect, l.target, l.clause = true, true, naming
			}
		}
	case "schema", "database":
		switch l.statement {
		case "create", "drop", "alter":
			l.schema = true
		}
	case "and":
		if l.statement == "exchange" {
			l.expect, l.target = true, true
		}
	case "as":
		switch l.statement {
		case "prepare":
			l.fresh, l.nested = true, true
		case "create":
			l.expect, l.target, l.clause = g.t.peek() != "?", false, other
		}
	case "for":
		if l.statement == "declare" {
			l.fresh, l.nested = true, true
		}
	case "update", "share":
		if g.last == "for" || g.last == "key" {
			g.lock()
		}
	case "replace":
		return l.statement == "create"
	case "where", "prewhere":
		f.Filtered = true
		l.clause = other
	case "group":
		if g.t.peek() == "by" {
			f.Grouped = true
			l.clause = other
		}
	case "order":
		if g.t.peek() == "by" {
			f.Sorted = true
			l.clause = other
		}
	case "limit", "top", "fetch":
		f.Limited = f.Limited || t != "top" || g.last == "select"
		if t != "top" {
			l.clause = other
		}
	case "distinct":
		f.Distinct = true
	case "set", "having", "values", "returning", "union", "except", "intersect", "window", "settings", "offset", "qualify", "when":
		l.clause = other
	default:
		if l.clause == naming {
			l.clause = other
		}
		return false
	}
	return true
}

// main starts the statement behind WITH or EXPLAIN.
func (g *reading) main(l *level, t string) bool {
	l.nested = true
	return g.starts(l, t)
}

// lock makes what a query reads also written.
func (g *reading) lock() {
	if !g.levels[0].plan {
		g.locks = true
		g.mark(Write)
	}
}

// block reads the text behind DO: its string is a text of statements of its own.
func (g *reading) block(raw string) {
	g.kinds[Unknown] = true
	g.info.Doubt = Body
	text, ok := bodyText(raw)
	if !ok {
		g.info.Doubt = Malformed
		return
	}
	canon, fault := g.inner.make(text, Postgres)
	if fault != Whole {
		g.info.Doubt = Malformed
		return
	}
	levels := g.levels
	in := &reading{reader: &reader{}, t: tokens{s: string(canon), i: 1}, d: Postgres, info: g.info, body: true, first: "do"}
	in.run()
	g.levels = levels
	g.kinds[Write] = g.kinds[Write] || in.kinds[Write]
	g.locks = g.locks || in.locks
	if g.other == "" {
		g.other = in.other
	}
	g.info.Doubt = Body
}

// bodyText is the string of a DO statement, whatever its quotes.
func bodyText(raw string) (string, bool) {
	for raw != "" {
		c := raw[0]
		switch {
		case class[c]&isSpace != 0:
			raw = raw[1:]
		case strings.HasPrefix(raw, "--"):
			i := strings.IndexByte(raw, '\n')
			if i < 0 {
				return "", false
			}
			raw = raw[i+1:]
		case strings.HasPrefix(raw, "/*"):
			n := comment(raw, true)
			if n == 0 {
				return "", false
			}
			raw = raw[n:]
		case c == '$':
			n, whole := dollar(raw)
			if n == 0 || !whole {
				return "", false
			}
			tag := strings.IndexByte(raw[1:], '$') + 2
			return raw[tag : n-tag], true
		case c == '\'':
			n := quoted(raw, false)
			if n == 0 {
				return "", false
			}
			return strings.ReplaceAll(raw[1:n-1], "''", "'"), true
		case (c == 'e' || c == 'E') && len(raw) > 1 && raw[1] == '\'':
			n := quoted(raw[1:], true)
			if n == 0 || slices.Contains([]byte(raw[2:n]), '\\') { // its escapes may spell anything
				return "", false
			}
			return strings.ReplaceAll(raw[2:n], "''", "'"), true
		case class[c]&isLetter != 0: // LANGUAGE name
			i := 1
			for i < len(raw) && class[raw[i]]&(isLetter|isDigit) != 0 {
				i++
			}
			raw = raw[i:]
		default:
			return "", false
		}
	}
	return "", false
}
