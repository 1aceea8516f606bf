package shape

import (
	"slices"
	"strings"
)

// tokenReader iterates over the tokens of a canonical text.
type tokenReader struct {
	text string
	pos  int
}

// next consumes and returns the next token, or "" at the end of the text. Quoted names keep their quotes.
func (t *tokenReader) next() string {
	if t.pos >= len(t.text) {
		return ""
	}
	start := t.pos + 1 // skips the space
	end := start
	if end < len(t.text) && t.text[end] == '"' {
		for end++; end < len(t.text); end++ {
			if t.text[end] == '"' {
				if end++; end >= len(t.text) || t.text[end] != '"' {
					break
				}
			}
		}
	} else {
		for end < len(t.text) && t.text[end] != ' ' {
			end++
		}
	}
	t.pos = end
	return t.text[start:end]
}

// peek returns the next token without consuming it.
func (t *tokenReader) peek() string {
	pos := t.pos
	token := t.next()
	t.pos = pos
	return token
}

// rest consumes and returns the remaining text without its leading space.
func (t *tokenReader) rest() string {
	text := t.text[min(t.pos+1, len(t.text)):]
	t.pos = len(t.text)
	return text
}

// Clauses of a statement that decide how the next names are read.
const (
	clauseOther         = iota
	clauseSelectList    // the select list
	clauseFrom          // a list of tables
	clauseJoinCondition // the condition of a join; a comma returns to the list of tables
	clauseNameList      // the list of object names of a DDL statement
)

// scope is the parser's state for one open bracket, or for the top level of a statement.
type scope struct {
	statement          string // first word of the statement, "" in brackets that hold no statement
	clause             uint8
	atStart            bool   // no token has been read yet
	allowsModifying    bool   // data-modifying statements such as INSERT may start here
	expectTable        bool   // a table name comes next
	tableWritten       bool   // the expected table is written
	expectSchema       bool   // a schema name comes next
	functionArguments  bool   // the bracket holds the arguments of a function
	aggregateArguments bool   // the bracket holds the arguments of an aggregate function
	withList           bool   // inside the list of common table expressions of WITH
	planOnly           bool   // EXPLAIN without ANALYZE: the statement is not run
	nestedStatement    bool   // the statement is part of another one, such as PREPARE
	copyTableGroup     string // table group of COPY, whose direction is not known yet
}

// parser derives an Info from a canonical text. It reuses its stack between calls.
type parser struct {
	scopes           []scope
	doBodyNormalizer normalizer // for the body of a DO block
}

// parseState is the state of the parser for one text.
type parseState struct {
	*parser
	tokens           tokenReader
	dialect          Dialect
	info             *Info
	inDoBody         bool // the text is the body of a DO block
	firstWord        string
	lastToken        string // the token before the current one
	secondLastToken  string // the token before lastToken
	otherTableGroup  string // table group of the first dotted name that is not a table
	statements       int
	kindsSeen        [Write + 1]bool
	locksRows        bool // a row lock such as FOR UPDATE was seen
	pendingAggregate bool // an aggregate call has just ended; OVER would make it a window function
}

// parse derives the Info of a canonical text.
func (p *parser) parse(canonical string) Info {
	var info Info
	if canonical == "" {
		info.Kind, info.Reason = Unknown, Malformed
		return info
	}
	dialect := Postgres
	if canonical[0] == dialectMark[ClickHouse] {
		dialect = ClickHouse
	}
	state := &parseState{parser: p, tokens: tokenReader{text: canonical, pos: 1}, dialect: dialect, info: &info}
	state.parseTokens()
	state.finish()
	info.InsertsOwnRows = info.Kind == Write && info.Reason == NoReason && insertsOwnRows(canonical)
	return info
}

// finish derives the kind, the reason and the table groups from what was seen in the whole text.
func (p *parseState) finish() {
	info := p.info
	for k := Write; ; k-- {
		if p.kindsSeen[k] {
			info.Kind = k
			break
		}
		if k == Control {
			if p.statements == 0 {
				info.Kind = Unknown
			}
			break
		}
	}
	if info.Kind == Read && info.Features.Aggregates > 0 || info.Kind == Read && info.Features.Grouped {
		info.Kind = Aggregate
	}
	if p.statements > 1 && (p.kindsSeen[Write] || p.kindsSeen[Control] || p.kindsSeen[Unknown]) {
		p.setReason(SeveralStatements)
	}
	if info.TableGroup == "" {
		info.TableGroup = p.otherTableGroup
	}
	if p.locksRows {
		for _, group := range info.Reads {
			info.Writes = insertSorted(info.Writes, group)
		}
	}
	info.Verb = strings.ToUpper(p.firstWord)
}

// setReason records a reason unless one is already set.
func (p *parseState) setReason(reason Reason) {
	if p.info.Reason == NoReason {
		p.info.Reason = reason
	}
}

// addKind records a kind unless the statement is only planned.
func (p *parseState) addKind(kind Kind) {
	if !p.scopes[0].planOnly {
		p.kindsSeen[kind] = true
	}
}

func (p *parseState) currentScope() *scope { return &p.scopes[len(p.scopes)-1] }

// parseTokens reads the whole text.
func (p *parseState) parseTokens() {
	p.scopes = append(p.scopes[:0], scope{atStart: true, allowsModifying: true})
	for {
		token := p.tokens.next()
		if token == "" {
			break
		}
		p.parseToken(token)
		p.secondLastToken, p.lastToken = p.lastToken, token
	}
	p.countPendingAggregate()
}

// isWord reports whether a token is an unquoted word.
func isWord(token string) bool { return token != "" && byteClass[token[0]]&classLetter != 0 }

// isName reports whether a token is a word or a quoted name.
func isName(token string) bool {
	return token != "" && (token[0] == '"' || byteClass[token[0]]&classLetter != 0)
}

// unquote returns a name without its quotes.
func unquote(token string) string {
	if token != "" && token[0] == '"' {
		return strings.ReplaceAll(strings.Trim(token, `"`), `""`, `"`)
	}
	return token
}

// countPendingAggregate counts an aggregate call that was not followed by OVER.
func (p *parseState) countPendingAggregate() {
	if p.pendingAggregate {
		p.pendingAggregate = false
		saturatingIncrement(&p.info.Features.Aggregates)
	}
}

// parseToken reads one token of the text.
func (p *parseState) parseToken(token string) {
	s := p.currentScope()
	if p.pendingAggregate {
		if token == "over" {
			p.pendingAggregate = false
		} else {
			p.countPendingAggregate()
		}
	}
	switch {
	case token == ";":
		p.scopes = append(p.scopes[:0], scope{atStart: true, allowsModifying: true})
	case token == "(" || token == "[" || token == "{":
		p.openBracket(s, token)
	case token == ")" || token == "]" || token == "}":
		if len(p.scopes) > 1 {
			p.pendingAggregate = s.aggregateArguments
			p.scopes = p.scopes[:len(p.scopes)-1]
		}
	case token[0] == markDoBody:
		p.parseDoBody(token[1:] + p.tokens.rest())
	case token[0] == markHiddenName:
		p.setReason(NameHidden)
		s.expectTable, s.expectSchema, s.atStart = false, false, false
	case token[0] == markRepeat:
		if n := token[1] - '0'; n > p.info.Features.ListBucket {
			p.info.Features.ListBucket = n
		}
	case isName(token):
		p.parseName(s, token)
	case token == ",":
		s.atStart = false
		s.expectTable = s.clause == clauseFrom || s.clause == clauseJoinCondition || s.clause == clauseNameList
		s.tableWritten = s.clause == clauseNameList && s.statement != "check"
		if s.clause == clauseJoinCondition {
			s.clause = clauseFrom
		}
	default:
		if s.atStart && len(p.scopes) == 1 { // a statement cannot start with this token
			p.statements++
			p.kindsSeen[Unknown] = true
		}
		s.atStart, s.expectTable, s.expectSchema = false, false, false
	}
}

// openBracket pushes the scope of an opening bracket.
func (p *parseState) openBracket(s *scope, token string) {
	inner := scope{atStart: true}
	switch {
	case token != "(":
		inner.atStart = false
	case s.withList && (p.lastToken == "as" || p.lastToken == "materialized"),
		p.lastToken == "copy" && s.statement == "copy":
		inner.allowsModifying = true
	case s.expectTable && !s.tableWritten:
		inner.clause, inner.expectTable = clauseFrom, true
	case s.planOnly && p.lastToken == "explain":
		inner.statement = "explain" // the options of EXPLAIN
		inner.atStart = false
	case isName(p.lastToken):
		inner.functionArguments = !neverFunction(p.lastToken)
		inner.aggregateArguments = p.lastToken[0] != '"' && p.secondLastToken != "." &&
			isAggregate(strings.ToLower(p.lastToken), p.dialect)
		p.checkFunction()
	}
	if s.atStart && len(p.scopes) == 1 { // as in (SELECT ...) UNION ...
		p.statements++
		s.statement = "select"
	}
	s.expectTable, s.atStart = false, false
	p.scopes = append(p.scopes, inner)
}

// neverFunction reports whether a word is never the name of a function when an opening bracket follows.
func neverFunction(word string) bool {
	switch word {
	case "in", "and", "or", "not", "values", "as", "on", "using", "where", "when", "then", "else", "any", "all", "some", "exists",
		"from", "join", "select", "by", "over", "filter", "set", "returning", "having", "limit", "union", "except", "intersect",
		"with", "materialized", "lateral", "distinct", "into":
		return true
	}
	return false
}

// checkFunction checks the unqualified function name before an opening bracket for side effects.
func (p *parseState) checkFunction() {
	function := strings.ToLower(unquote(p.lastToken))
	if p.secondLastToken == "." {
		return // checkDottedName handles qualified names
	}
	if functionsWithEffects[function] {
		p.addKind(Write)
		p.setReason(FunctionWithEffects)
	}
}

// parseName reads a word or a quoted name.
func (p *parseState) parseName(s *scope, token string) {
	if p.lastToken == "." && p.secondLastToken != "" { // the rest of a dotted name that is not a table
		s.atStart = false
		return
	}
	if s.expectTable {
		if isWord(token) && p.parseBeforeTable(s, token) {
			return
		}
		s.expectTable = false
		p.parseTable(s, token)
		return
	}
	if s.expectSchema {
		switch token {
		case "if", "not", "exists":
			return
		}
		s.expectSchema = false
		if group, ok := schemaTableGroup(unquote(token)); ok {
			p.addTableGroup(group, true, s)
		}
		return
	}
	if s.atStart {
		s.atStart = false
		if isWord(token) && p.startStatement(s, token) {
			return
		}
	}
	if isWord(token) && p.parseWord(s, token) {
		return
	}
	if p.tokens.peek() == "." {
		p.checkDottedName(token)
	}
}

// parseBeforeTable reads a word where a table name is expected. It returns false if the word is the name itself, and true
// if it is a modifier before the name or a keyword that shows that no name follows.
func (p *parseState) parseBeforeTable(s *scope, token string) bool {
	switch token {
	case "only", "lateral", "if", "not", "exists", "temporary", "temp", "unlogged", "global", "local", "concurrently", "verbose",
		"full", "freeze", "nowait", "recursive":
		return p.tokens.peek() != "."
	case "table", "tables", "function", "view":
		if token == "function" {
			p.setReason(RemoteTableFunction)
		}
		return true
	case "select", "with", "values", "from":
		s.expectTable = false
		if s.atStart {
			s.atStart = false
			return p.startStatement(s, token)
		}
		return p.parseWord(s, token)
	case "outfile": // INTO OUTFILE names a file that the client writes
		s.expectTable, s.tableWritten = false, false
		return true
	case "cluster": // ON CLUSTER names a cluster
		s.expectTable, s.tableWritten = false, false
		return true
	}
	return false
}

// parseTable reads the name of a table with its qualifiers.
func (p *parseState) parseTable(s *scope, token string) {
	s.atStart = false
	parts, n := [4]string{unquote(token)}, 1
	for p.tokens.peek() == "." {
		p.secondLastToken, p.lastToken = p.lastToken, p.tokens.next()
		part := p.tokens.peek()
		if !isName(part) {
			break
		}
		p.secondLastToken, p.lastToken = p.lastToken, p.tokens.next()
		if n < len(parts) {
			parts[n] = unquote(part)
			n++
		}
	}
	if s.tableWritten && s.statement == "select" || s.tableWritten && p.inDoBody && s.statement == "perform" {
		p.addKind(Write) // SELECT INTO
	}
	call := p.tokens.peek() == "(" && !s.tableWritten && s.statement != "copy"
	if call && n == 1 && p.dialect == ClickHouse && !localTableFunctions[strings.ToLower(parts[0])] {
		p.setReason(RemoteTableFunction)
	}
	if call && n > 1 {
		p.checkQualifiedFunction(parts[n-2], parts[n-1])
	}
	for _, part := range parts[:n-1] {
		if group, ok := schemaTableGroup(part); ok {
			p.addTableGroup(group, s.tableWritten, s)
			break
		}
	}
	s.tableWritten = false
}

// localTableFunctions are the ClickHouse table functions that read nothing outside the server.
var localTableFunctions = wordSet(
	`numbers zeros numbers_mt zeros_mt generaterandom generateseries generate_series values null view format input merge`)

// addTableGroup records that the statement reads or writes a table group.
func (p *parseState) addTableGroup(group string, written bool, s *scope) {
	if p.info.TableGroup == "" {
		p.info.TableGroup = group
	}
	switch {
	case p.scopes[0].planOnly:
	case len(p.info.Reads) >= maxTableGroups || len(p.info.Writes) >= maxTableGroups:
		p.setReason(TooManyTableGroups) // without a limit, inserting many groups into the sorted set takes quadratic time
	case s.statement == "copy":
		s.copyTableGroup = group
	case written:
		p.info.Writes = insertSorted(p.info.Writes, group)
	default:
		p.info.Reads = insertSorted(p.info.Reads, group)
	}
}

// checkDottedName checks a name followed by a dot that is not a table name: a column, an alias or a function qualified by its schema,
// and that by its database.
func (p *parseState) checkDottedName(token string) {
	saved := p.tokens
	defer func() { p.tokens = saved }()
	qualifier, name := "", unquote(token)
	for p.tokens.peek() == "." {
		p.tokens.next()
		part := p.tokens.next()
		if !isName(part) {
			return
		}
		qualifier, name = name, unquote(part)
		if group, ok := schemaTableGroup(qualifier); ok && p.otherTableGroup == "" {
			p.otherTableGroup = group
		}
	}
	if qualifier != "" && p.tokens.peek() == "(" {
		p.checkQualifiedFunction(qualifier, name)
	}
}

// checkQualifiedFunction checks a call of a function in a schema, wherever it stands. Only functions of the engine's own schemas are
// known; any other may have effects.
func (p *parseState) checkQualifiedFunction(schema, function string) {
	switch {
	case schema != "pg_catalog" && schema != "information_schema":
		p.setReason(SchemaFunction)
	case functionsWithEffects[strings.ToLower(function)]:
		p.addKind(Write)
		p.setReason(FunctionWithEffects)
	}
}

// startStatement reads the first word of a statement or of a bracket. It returns false if the word does not start a
// statement there.
func (p *parseState) startStatement(s *scope, token string) bool {
	kind, known := statementKinds[token]
	topLevel := len(p.scopes) == 1
	if !topLevel && !s.allowsModifying { // only queries may start in brackets
		if !(token == "select" || token == "with" || token == "values" && p.tokens.peek() == "(" ||
			token == "from" && p.dialect == ClickHouse) {
			return false
		}
	}
	if p.inDoBody && topLevel {
		switch token {
		case "begin", "declare", "then", "else", "loop", "exception":
			s.atStart, s.statement = true, ""
			return true
		case "perform", "return", "if", "for", "while", "foreach", "end", "raise", "exit", "continue", "close", "open", "fetch":
			kind, known = Read, true
		default:
			if !known {
				kind, known = Control, true // an assignment
			}
		}
	}
	if topLevel && !s.nestedStatement {
		p.statements++
		if p.firstWord == "" {
			p.firstWord = token
		}
	}
	if !known {
		p.kindsSeen[Unknown] = true
		p.setReason(UnknownWord)
		s.statement = token
		return true
	}
	s.statement = token
	switch token {
	case "with":
		s.withList = true
		return true // the statement that follows determines the kind
	case "explain":
		p.kindsSeen[Control] = true
		s.planOnly = true
		return true
	case "prepare":
		if p.tokens.peek() == "transaction" {
			break
		}
		kind = Control
	case "do", "call", "execute", "load":
		p.setReason(DynamicSQL)
	case "update":
		s.expectTable, s.tableWritten = true, true
	case "truncate", "vacuum", "analyze", "analyse", "cluster", "optimize", "check":
		s.expectTable, s.tableWritten, s.clause = true, token != "check", clauseNameList
	case "copy":
		s.expectTable = true
		kind = Control // FROM or TO determines the kind later
	case "from":
		s.expectTable, s.clause = true, clauseFrom
	case "table":
		s.expectTable, s.clause = true, clauseFrom
	case "select", "perform":
		s.clause = clauseSelectList
	}
	if token == "do" {
		kind = Control // the body determines the kind
	}
	p.addKind(kind)
	return true
}

// parseWord reads a word inside a statement. It returns false if the word is an ordinary name.
func (p *parseState) parseWord(s *scope, token string) bool {
	features := &p.info.Features
	if s.withList && p.lastToken != "with" && p.lastToken != "recursive" && p.lastToken != "," && p.lastToken != "as" {
		switch token {
		case "select", "insert", "update", "delete", "merge", "values", "table", "from":
			if token != "from" || p.dialect == ClickHouse {
				s.withList = false
				return p.startInnerStatement(s, token)
			}
		}
	}
	if s.planOnly && s.statement == "explain" && len(p.scopes) == 1 { // a word between EXPLAIN and its statement
		if _, known := statementKinds[token]; known && token != "analyze" && token != "analyse" {
			return p.startInnerStatement(s, token)
		}
		if token == "analyze" || token == "analyse" {
			s.planOnly = p.tokens.peek() == "false" || p.tokens.peek() == "off"
			s.statement = "explain"
			s.atStart = false
			if !s.planOnly {
				s.statement = "analyzed"
			}
		}
		return true
	}
	if s.statement == "analyzed" {
		if _, known := statementKinds[token]; known {
			return p.startInnerStatement(s, token)
		}
		return true
	}
	if s.statement == "explain" && len(p.scopes) > 1 { // EXPLAIN (ANALYZE, ...)
		if token == "analyze" || token == "analyse" {
			if next := p.tokens.peek(); next != "false" && next != "off" { // a literal may be either value, so it counts as true
				p.scopes[len(p.scopes)-2].planOnly = false
				p.scopes[len(p.scopes)-2].statement = "analyzed"
			}
		}
		return true
	}
	if p.inDoBody && len(p.scopes) == 1 {
		switch token {
		case "begin", "then", "else", "loop", "exception":
			*s = scope{atStart: true, allowsModifying: true}
			return true
		}
	}
	switch token {
	case "select":
		s.clause = clauseSelectList
		if s.statement == "" {
			s.statement = "select"
		}
		p.addKind(Read)
		if p.lastToken == "union" || p.lastToken == "all" || p.lastToken == "except" || p.lastToken == "intersect" {
			saturatingIncrement(&features.Subqueries)
		}
		if len(p.scopes) > 1 {
			saturatingIncrement(&features.Subqueries)
		}
	case "from":
		switch {
		case s.functionArguments && s.statement == "",
			p.lastToken == "distinct" && (p.secondLastToken == "is" || p.secondLastToken == "not"):
		case s.statement == "copy":
			p.addKind(Write)
			if s.copyTableGroup != "" && !p.scopes[0].planOnly {
				p.info.Writes = insertSorted(p.info.Writes, s.copyTableGroup)
			}
		case s.statement == "show", s.statement == "fetch", s.statement == "move", s.statement == "revoke":
		default:
			s.expectTable, s.clause = true, clauseFrom
			s.tableWritten = s.statement == "delete" && p.lastToken == "delete"
		}
	case "to":
		switch s.statement {
		case "copy":
			p.addKind(Read)
			if s.copyTableGroup != "" && !p.scopes[0].planOnly {
				p.info.Reads = insertSorted(p.info.Reads, s.copyTableGroup)
			}
		case "rename", "create":
			s.expectTable, s.tableWritten, s.clause = s.statement == "rename" || p.dialect == ClickHouse, true, clauseOther
		}
	case "program":
		if s.statement == "copy" {
			p.setReason(DynamicSQL)
		}
	case "join":
		if p.lastToken != "array" {
			saturatingIncrement(&features.Joins)
			s.expectTable, s.tableWritten, s.clause = true, false, clauseFrom
		} else {
			s.clause = clauseOther
		}
	case "into":
		if (s.statement == "insert" || s.statement == "merge" || s.statement == "replace") && s.clause == clauseOther {
			s.expectTable, s.tableWritten = true, true
		} else if s.statement == "select" && !p.inDoBody {
			s.expectTable, s.tableWritten = true, true
		}
	case "using":
		s.expectTable = s.statement == "delete" || s.statement == "merge" || s.clause == clauseFrom
		s.tableWritten = false
	case "on":
		if s.clause == clauseFrom {
			s.clause = clauseJoinCondition
			return true
		}
		switch s.statement {
		case "create", "comment", "grant", "revoke", "drop", "alter":
			s.expectTable, s.tableWritten = true, true
		}
	case "table", "tables", "view", "sequence", "index", "dictionary":
		switch s.statement {
		case "create", "drop", "alter", "rename", "exchange", "refresh", "attach", "detach", "undrop", "reindex":
			if p.lastToken != "if" && s.clause == clauseOther {
				s.expectTable, s.tableWritten, s.clause = true, true, clauseNameList
			}
		}
	case "schema", "database":
		switch s.statement {
		case "create", "drop", "alter":
			s.expectSchema = true
		}
	case "and":
		if s.statement == "exchange" {
			s.expectTable, s.tableWritten = true, true
		}
	case "as":
		switch s.statement {
		case "prepare":
			s.atStart, s.nestedStatement = true, true
		case "create":
			s.expectTable, s.tableWritten, s.clause = p.tokens.peek() != "?", false, clauseOther
		}
	case "for":
		if s.statement == "declare" {
			s.atStart, s.nestedStatement = true, true
		}
	case "update", "share":
		if p.lastToken == "for" || p.lastToken == "key" {
			p.addRowLocks()
		}
	case "replace":
		return s.statement == "create"
	case "where", "prewhere":
		features.Filtered = true
		s.clause = clauseOther
	case "group":
		if p.tokens.peek() == "by" {
			features.Grouped = true
			s.clause = clauseOther
		}
	case "order":
		if p.tokens.peek() == "by" {
			features.Sorted = true
			s.clause = clauseOther
		}
	case "limit", "top", "fetch":
		features.Limited = features.Limited || token != "top" || p.lastToken == "select"
		if token != "top" {
			s.clause = clauseOther
		}
	case "distinct":
		features.Distinct = true
	case "set", "having", "values", "returning", "union", "except", "intersect", "window", "settings", "offset", "qualify",
		"when":
		s.clause = clauseOther
	default:
		if s.clause == clauseNameList {
			s.clause = clauseOther
		}
		return false
	}
	return true
}

// startInnerStatement starts the statement that follows WITH or EXPLAIN.
func (p *parseState) startInnerStatement(s *scope, token string) bool {
	s.nestedStatement = true
	return p.startStatement(s, token)
}

// addRowLocks records a row lock. The tables that the query reads then count as written.
func (p *parseState) addRowLocks() {
	if !p.scopes[0].planOnly {
		p.locksRows = true
		p.addKind(Write)
	}
}

// parseDoBody parses the rest of a DO statement, including the statements in its string.
func (p *parseState) parseDoBody(raw string) {
	p.kindsSeen[Unknown] = true
	p.info.Reason = DoBody
	text, ok := doBodyText(raw)
	if !ok {
		p.info.Reason = Malformed
		return
	}
	canonical, lexErr := p.doBodyNormalizer.normalize(text, Postgres)
	if lexErr != NoLexError {
		p.info.Reason = Malformed
		return
	}
	outerScopes := p.scopes
	body := &parseState{parser: &parser{}, tokens: tokenReader{text: string(canonical), pos: 1}, dialect: Postgres,
		info: p.info, inDoBody: true, firstWord: "do"}
	body.parseTokens()
	p.scopes = outerScopes
	p.kindsSeen[Write] = p.kindsSeen[Write] || body.kindsSeen[Write]
	p.locksRows = p.locksRows || body.locksRows
	if p.otherTableGroup == "" {
		p.otherTableGroup = body.otherTableGroup
	}
	p.info.Reason = DoBody
}

// doBodyText returns the contents of the string of a DO statement, which may be quoted in any style.
func doBodyText(raw string) (string, bool) {
	for raw != "" {
		c := raw[0]
		switch {
		case byteClass[c]&classSpace != 0:
			raw = raw[1:]
		case strings.HasPrefix(raw, "--"):
			n := lineCommentLength(raw)
			if n == 0 {
				return "", false
			}
			raw = raw[n:]
		case strings.HasPrefix(raw, "/*"):
			n := commentLength(raw, true)
			if n == 0 {
				return "", false
			}
			raw = raw[n:]
		case c == '$':
			n, terminated := dollarQuotedLength(raw)
			if n == 0 || !terminated {
				return "", false
			}
			tag := strings.IndexByte(raw[1:], '$') + 2
			return raw[tag : n-tag], true
		case c == '\'':
			n := quotedLength(raw, false)
			if n == 0 {
				return "", false
			}
			return strings.ReplaceAll(raw[1:n-1], "''", "'"), true
		case (c == 'e' || c == 'E') && len(raw) > 1 && raw[1] == '\'':
			n := quotedLength(raw[1:], true)
			if n == 0 || slices.Contains([]byte(raw[2:n]), '\\') { // escape sequences may hide any statement
				return "", false
			}
			return strings.ReplaceAll(raw[2:n], "''", "'"), true
		case byteClass[c]&classLetter != 0: // LANGUAGE name
			i := 1
			for i < len(raw) && byteClass[raw[i]]&(classLetter|classDigit) != 0 {
				i++
			}
			raw = raw[i:]
		default:
			return "", false
		}
	}
	return "", false
}
