// Package conftest gives tests the example configuration.
package conftest

import (
	"os"
	"path/filepath"
	"runtime"
	"testing"

	"thymeway/internal/config"
)

// Text is the text of examples/config.json.
func Text(t testing.TB) []byte {
	t.Helper()
	_, here, _, _ := runtime.Caller(0)
	text, err := os.ReadFile(filepath.Join(filepath.Dir(here), "../../examples/config.json"))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// Example is that configuration, read, with our own settings at their defaults.
func Example(t testing.TB) config.Config {
	t.Helper()
	c, err := config.Parse(Text(t), "", "")
	if err != nil {
		t.Fatal(err)
	}
	return c
}
