// Package snapshot stores state in files that survive a restart. A file holds its kind, version and a checksum, and is
// rejected unless it is complete and unaltered. A new file replaces the old one atomically.
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

// Reasons for which a file is rejected.
var (
	ErrWrongKind    = errors.New("not a snapshot of this kind")
	ErrCorrupt      = errors.New("torn or altered: length or checksum is wrong")
	ErrNewerVersion = errors.New("written by a newer version")
	ErrOlderVersion = errors.New("written by an older version that is no longer read")
	ErrTooLarge     = errors.New("larger than it may be")
)

const (
	magic        = "thymeway\x00\r\n\x1a"
	kindOffset   = len(magic)
	kindSize     = 16 // bytes; the kind's name is padded with zeros
	lengthOffset = kindOffset + kindSize + 2
	headerSize   = lengthOffset + 8
	checksumSize = 8 // bytes; the checksum is the xxh3 of all bytes before it
)

// Encode returns the bytes of a file with the given payload.
func Encode(kind string, version uint16, payload []byte) []byte {
	b := make([]byte, headerSize, headerSize+len(payload)+checksumSize)
	copy(b, magic)
	copy(b[kindOffset:kindOffset+kindSize], kind)
	binary.LittleEndian.PutUint16(b[kindOffset+kindSize:], version)
	binary.LittleEndian.PutUint64(b[lengthOffset:], uint64(len(payload)))
	b = append(b, payload...)
	return binary.LittleEndian.AppendUint64(b, xxh3.Hash(b))
}

// Decode returns the payload of a file's bytes. A wrong kind or version is reported before a wrong length or checksum,
// because files of other kinds and versions may have another layout.
func Decode(b []byte, kind string, version uint16) ([]byte, error) {
	var name [kindSize]byte
	copy(name[:], kind)
	switch {
	case len(b) < len(magic) || string(b[:len(magic)]) != magic:
		if len(b) < len(magic) && string(b) == magic[:len(b)] {
			return nil, ErrCorrupt
		}
		return nil, ErrWrongKind
	case len(b) < headerSize:
		return nil, ErrCorrupt
	case string(b[kindOffset:kindOffset+kindSize]) != string(name[:]):
		return nil, ErrWrongKind
	}
	switch found := binary.LittleEndian.Uint16(b[kindOffset+kindSize:]); {
	case found > version:
		return nil, fmt.Errorf("%w: %d, this one reads %d", ErrNewerVersion, found, version)
	case found < version:
		return nil, fmt.Errorf("%w: %d, this one reads %d", ErrOlderVersion, found, version)
	}
	length := binary.LittleEndian.Uint64(b[lengthOffset:])
	if length != uint64(len(b)-headerSize-min(checksumSize, len(b)-headerSize)) || len(b) < headerSize+checksumSize ||
		binary.LittleEndian.Uint64(b[len(b)-checksumSize:]) != xxh3.Hash(b[:len(b)-checksumSize]) {
		return nil, ErrCorrupt
	}
	return b[headerSize : len(b)-checksumSize], nil
}

// Read returns the payload of a file. It fails with os.ErrNotExist if the file does not exist, and with ErrTooLarge if it
// exceeds maxBytes.
func Read(path, kind string, version uint16, maxBytes int64) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	b, err := io.ReadAll(io.LimitReader(f, maxBytes+1))
	switch {
	case err != nil:
		return nil, err
	case int64(len(b)) > maxBytes:
		return nil, fmt.Errorf("%w: over %d bytes", ErrTooLarge, maxBytes)
	}
	return Decode(b, kind, version)
}

// Write replaces a file atomically: it writes b to a temporary file in the same directory, syncs it and renames it.
func Write(path string, b []byte) (err error) {
	dir := filepath.Dir(path)
	f, err := os.CreateTemp(dir, filepath.Base(path)+".new-*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil { // temporary files left behind by failed writes would fill the disk
			_ = os.Remove(f.Name())
		}
	}()
	_, err = f.Write(b)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		return err
	}
	if directory, openErr := os.Open(dir); openErr == nil { // without this sync, a power failure may undo the rename
		_ = directory.Sync()
		_ = directory.Close()
	}
	return nil
}

// AsyncWriter writes the snapshots of one file in a separate goroutine, so that a slow disk does not block the caller. A
// snapshot that still waits to be written is replaced by a newer one.
type AsyncWriter struct {
	path    string
	kind    string
	version uint16
	pending chan []byte
	done    chan struct{}
}

// NewAsyncWriter starts the goroutine that writes to path. Close ends it.
func NewAsyncWriter(path, kind string, version uint16) *AsyncWriter {
	w := &AsyncWriter{path: path, kind: kind, version: version, pending: make(chan []byte, 1), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for payload := range w.pending {
			if err := Write(w.path, Encode(w.kind, w.version, payload)); err != nil {
				slog.Error("snapshot-failed", "file", w.path, "error", err)
			}
		}
	}()
	return w
}

// Save queues a payload, which the caller must not change afterwards. It never blocks.
func (w *AsyncWriter) Save(payload []byte) {
	for {
		select {
		case w.pending <- payload:
			return
		default:
		}
		select {
		case <-w.pending: // drops the older payload that still waits
		default:
		}
	}
}

// Close waits until the last queued payload is written, and ends the goroutine.
func (w *AsyncWriter) Close() {
	close(w.pending)
	<-w.done
}
