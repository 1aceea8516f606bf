// Package configtest provides the example configuration to tests.
package configtest

import (
	"os"
	"path/filepath"
	"runtime"
	"testing"

	"thymeway/internal/config"
)

// ExampleText returns the text of examples/config.json.
func ExampleText(t testing.TB) []byte {
	t.Helper()
	_, here, _, _ := runtime.Caller(0)
	text, err := os.ReadFile(filepath.Join(filepath.Dir(here), "../../examples/config.json"))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Example returns the parsed example configuration, with local settings at their defaults.
func Example(t testing.TB) config.Config {
	t.Helper()
	c, err := config.Parse(ExampleText(t), "", "")
	if err != nil {
		t.Fatal(err)
	}
	return c
}
