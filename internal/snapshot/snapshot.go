// Package snapshot keeps state in files over a restart. A file is whole or it is not believed: it carries what it is
// of, its version and a checksum, and a new one takes the place of the old one in one step.
package snapshot

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"

	"github.com/zeebo/xxh3"
)

// Why a file is not believed.
var (
	ErrForeign = errors.New("not a snapshot of this kind")
	ErrTorn    = errors.New("torn or altered: length or checksum is wrong")
	ErrNewer   = errors.New("written by a newer version")
	ErrOlder   = errors.New("written by an older version that is no longer read")
	ErrLarge   = errors.New("larger than it may be")
)

const (
	magic  = "thymeway\x00\r\n\x1a"
	kindAt = len(magic)
	kindOf = 16 // bytes of a kind's name, filled up with zeros
	sizeAt = kindAt + kindOf + 2
	head   = sizeAt + 8
	tail   = 8 // the checksum of all before it
)

// Seal makes a file's bytes of a payload.
func Seal(kind string, version uint16, payload []byte) []byte {
	b := make([]byte, head, head+len(payload)+tail)
	copy(b, magic)
	copy(b[kindAt:kindAt+kindOf], kind)
	binary.LittleEndian.PutUint16(b[kindAt+kindOf:], version)
	binary.LittleEndian.PutUint64(b[sizeAt:], uint64(len(payload)))
	b = append(b, payload...)
	return binary.LittleEndian.AppendUint64(b, xxh3.Hash(b))
}

// Open gives the payload of a file's bytes. What is of another kind or version is told as that even if it is torn too:
// its own form may be another.
func Open(b []byte, kind string, version uint16) ([]byte, error) {
	var name [kindOf]byte
	copy(name[:], kind)
	switch {
	case len(b) < len(magic) || string(b[:len(magic)]) != magic:
		if len(b) < len(magic) && string(b) == magic[:len(b)] {
			return nil, ErrTorn
		}
		return nil, ErrForeign
	case len(b) < head:
		return nil, ErrTorn
	case string(b[kindAt:kindAt+kindOf]) != string(name[:]):
		return nil, ErrForeign
	}
	switch v := binary.LittleEndian.Uint16(b[kindAt+kindOf:]); {
	case v > version:
		return nil, fmt.Errorf("%w: %d, this one reads %d", ErrNewer, v, version)
	case v < version:
		return nil, fmt.Errorf("%w: %d, this one reads %d", ErrOlder, v, version)
	}
	size := binary.LittleEndian.Uint64(b[sizeAt:])
	if size != uint64(len(b)-head-min(tail, len(b)-head)) || len(b) < head+tail ||
		binary.LittleEndian.Uint64(b[len(b)-tail:]) != xxh3.Hash(b[:len(b)-tail]) {
		return nil, ErrTorn
	}
	return b[head : len(b)-tail], nil
}

// Read gives the payload of a file of at most so many bytes. A file that is not there is os.ErrNotExist.
func Read(path, kind string, version uint16, most int64) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, most+1))
	switch {
	case err != nil:
		return nil, err
	case int64(len(b)) > most:
		return nil, fmt.Errorf("%w: over %d bytes", ErrLarge, most)
	}
	return Open(b, kind, version)
}

// Write puts bytes into a file in one step: they are written to a file beside it, brought to the disk and renamed.
func Write(path string, b []byte) (err error) {
	dir := filepath.Dir(path)
	f, err := os.CreateTemp(dir, filepath.Base(path)+".new-*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil { // danger: what could not be finished must not fill the disk
			_ = os.Remove(f.Name())
		}
	}()
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		return err
	}
	if d, e := os.Open(dir); e == nil { // the new name has to last as well
		_ = d.Sync()
		_ = d.Close()
	}
	return nil
}

// Keeper writes snapshots of one file from a goroutine of its own, so that no disk holds its owner up. One that waits
// gives way to a newer one.
type Keeper struct {
	path    string
	kind    string
	version uint16
	next    chan []byte
	done    chan struct{}
}

// NewKeeper starts a keeper of a file.
func NewKeeper(path, kind string, version uint16) *Keeper {
	k := &Keeper{path: path, kind: kind, version: version, next: make(chan []byte, 1), done: make(chan struct{})}
	go func() {
		defer close(k.done)
		for payload := range k.next {
			if err := Write(k.path, Seal(k.kind, k.version, payload)); err != nil {
				slog.Error("snapshot-failed", "file", k.path, "error", err)
			}
		}
	}()
	return k
}

// Save hands a payload over, which must not be changed any more. It never waits.
func (k *Keeper) Save(payload []byte) {
	for {
		select {
		case k.next <- payload:
			return
		default:
		}
		select {
		case <-k.next: // the older one that waits
		default:
		}
	}
}

// Close waits for what was handed over to be written.
func (k *Keeper) Close() {
	close(k.next)
	<-k.done
}
