package shape

// insertsOwnRows reports whether a canonical text is an INSERT whose rows all come with it, as VALUES or as data in a format. An
// INSERT whose rows are read by the engine may insert others when it runs again, and one with settings of its own may switch off
// that the engine discards repeats.
func insertsOwnRows(canonical string) bool {
	if canonical == "" {
		return false
	}
	tokens := &tokenReader{text: canonical, pos: 1}
	if tokens.next() != "insert" || tokens.next() != "into" {
		return false
	}
	if tokens.peek() == "table" {
		tokens.next()
	}
	if !tokens.skipDottedName() {
		return false
	}
	if tokens.peek() == "(" { // the columns
		tokens.skipBracket()
	}
	switch tokens.next() {
	case "format":
		return isName(tokens.next()) && tokens.peek() == ""
	case "values":
		return tokens.endsWithRows()
	}
	return false
}

// skipDottedName consumes a name with its qualifiers and reports whether there is one.
func (t *tokenReader) skipDottedName() bool {
	for {
		if !isName(t.next()) {
			return false
		}
		if t.peek() != "." {
			return true
		}
		t.next()
	}
}

// skipBracket consumes tokens up to the end of the bracket that opens with the next token.
func (t *tokenReader) skipBracket() {
	for depth := 0; ; {
		switch t.next() {
		case "":
			return
		case "(", "[", "{":
			depth++
		case ")", "]", "}":
			if depth--; depth == 0 {
				return
			}
		}
	}
}

// endsWithRows consumes the rest and reports whether it holds nothing but bracketed rows.
func (t *tokenReader) endsWithRows() bool {
	for {
		switch token := t.peek(); {
		case token == "":
			return true
		case token == "(":
			t.skipBracket()
		case token == ",", token[0] == markRepeat:
			t.next()
		default:
			return false
		}
	}
}
