package snapshot

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// A file that is truncated at any length, or altered in any byte, is rejected. So are other kinds and versions, each with
// its own error.
func TestCorruptFilesAreRejected(t *testing.T) {
	whole := Encode("shapes", 3, []byte("payload"))
	if payload, err := Decode(whole, "shapes", 3); err != nil || string(payload) != "payload" {
		t.Fatalf("%q, %v", payload, err)
	}
	for i := range whole {
		if _, err := Decode(whole[:i], "shapes", 3); !errors.Is(err, ErrCorrupt) {
			t.Errorf("truncated at %d: %v", i, err)
		}
		altered := append([]byte(nil), whole...)
		altered[i] ^= 0x40
		if payload, err := Decode(altered, "shapes", 3); err == nil {
			t.Errorf("byte %d altered: %q", i, payload)
		}
	}
	if _, err := Decode(append(whole, 0), "shapes", 3); !errors.Is(err, ErrCorrupt) {
		t.Errorf("one extra byte: %v", err)
	}
	for _, c := range []struct {
		file []byte
		want error
	}{{[]byte("#!/bin/sh and more"), ErrWrongKind}, {Encode("roster", 3, nil), ErrWrongKind},
		{Encode("shapes", 4, nil), ErrNewerVersion}, {Encode("shapes", 2, nil), ErrOlderVersion}, {nil, ErrCorrupt}} {
		if _, err := Decode(c.file, "shapes", 3); !errors.Is(err, c.want) {
			t.Errorf("%q: %v, want %v", c.file, err, c.want)
		}
	}
}

// A failed write keeps the old file and leaves no temporary file. A file that exceeds the size limit is not read.
func TestWrite(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "s")
	if err := Write(path, Encode("shapes", 1, []byte("one"))); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(filepath.Join(dir, "d"), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := Write(filepath.Join(dir, "d"), []byte("x")); err == nil {
		t.Error("a file replaced a directory")
	}
	if err := Write(filepath.Join(dir, "no", "s"), []byte("x")); err == nil {
		t.Error("a file was written to a directory that does not exist")
	}
	if files, _ := os.ReadDir(dir); len(files) != 2 {
		t.Errorf("%d files in the directory, want 2", len(files))
	}
	if payload, err := Read(path, "shapes", 1, 1000); err != nil || string(payload) != "one" {
		t.Errorf("%q, %v", payload, err)
	}
	if _, err := Read(path, "shapes", 1, 10); !errors.Is(err, ErrTooLarge) {
		t.Errorf("file over the size limit: %v", err)
	}
	if _, err := Read(path+"x", "shapes", 1, 10); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("missing file: %v", err)
	}
}

// Of many payloads saved in quick succession, the file holds the last one.
func TestAsyncWriter(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	writer := NewAsyncWriter(path, "shapes", 1)
	for i := range 1000 {
		writer.Save([]byte(fmt.Sprint(i)))
	}
	writer.Close()
	if payload, err := Read(path, "shapes", 1, 1000); err != nil || string(payload) != "999" {
		t.Errorf("%q, %v", payload, err)
	}
}
