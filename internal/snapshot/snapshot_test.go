package snapshot

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
)

// A file that is cut anywhere, or altered in any byte, is not believed, and its reason is told.
func TestNothingTornIsBelieved(t *testing.T) {
	whole := Seal("shapes", 3, []byte("payload"))
	if p, err := Open(whole, "shapes", 3); err != nil || string(p) != "payload" {
		t.Fatalf("%q, %v", p, err)
	}
	for n := range whole {
		if _, err := Open(whole[:n], "shapes", 3); !errors.Is(err, ErrTorn) {
			t.Errorf("cut at %d: %v", n, err)
		}
		b := append([]byte(nil), whole...)
		b[n] ^= 0x40
		if p, err := Open(b, "shapes", 3); err == nil {
			t.Errorf("byte %d altered: %q", n, p)
		}
	}
	if _, err := Open(append(whole, 0), "shapes", 3); !errors.Is(err, ErrTorn) {
		t.Errorf("a byte too many: %v", err)
	}
	for _, c := range []struct {
		b    []byte
		want error
	}{{[]byte("#!/bin/sh and more"), ErrForeign}, {Seal("roster", 3, nil), ErrForeign}, {Seal("shapes", 4, nil), ErrNewer},
		{Seal("shapes", 2, nil), ErrOlder}, {nil, ErrTorn}} {
		if _, err := Open(c.b, "shapes", 3); !errors.Is(err, c.want) {
			t.Errorf("%q: %v, want %v", c.b, err, c.want)
		}
	}
}

// A failed writing leaves the old file and nothing beside it; a file over its bound is not read.
func TestWrite(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "s")
	if err := Write(path, Seal("shapes", 1, []byte("one"))); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(filepath.Join(dir, "d"), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := Write(filepath.Join(dir, "d"), []byte("x")); err == nil {
		t.Error("a folder's place is taken")
	}
	if err := Write(filepath.Join(dir, "no", "s"), []byte("x")); err == nil {
		t.Error("a folder that is not there is written to")
	}
	if files, _ := os.ReadDir(dir); len(files) != 2 {
		t.Errorf("%d files are left", len(files))
	}
	if p, err := Read(path, "shapes", 1, 1000); err != nil || string(p) != "one" {
		t.Errorf("%q, %v", p, err)
	}
	if _, err := Read(path, "shapes", 1, 10); !errors.Is(err, ErrLarge) {
		t.Errorf("over its bound: %v", err)
	}
	if _, err := Read(path+"x", "shapes", 1, 10); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("not there: %v", err)
	}
}

// The last of many payloads is the one that stays, however fast they come.
func TestKeeper(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	k := NewKeeper(path, "shapes", 1)
	for i := range 1000 {
		k.Save([]byte(fmt.Sprint(i)))
	}
	k.Close()
	if p, err := Read(path, "shapes", 1, 1000); err != nil || string(p) != "999" {
		t.Errorf("%q, %v", p, err)
	}
}
