package sql

import (
	"os"
	"strings"
	"testing"
)

// Names in strings, comments and aliases, and the schema staging, must not pass for the group.
func TestStatements(t *testing.T) {
	text, err := os.ReadFile("testdata/statements.txt")
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		f := strings.SplitN(line, " ", 3)
		s := strings.NewReplacer(`\\`, `\`, `\n`, "\n").Replace(f[2])
		group, ok := Group(s)
		if !ok {
			group = "-"
		}
		if verb := Verb(s); group != f[0] || verb != f[1] {
			t.Errorf("%s: group %s, verb %s", line, group, verb)
		}
		for i := range s { // no cut of it may make the scanner run on
			Group(s[:i])
		}
	}
}
