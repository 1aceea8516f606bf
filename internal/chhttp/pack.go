package chhttp

import (
	"bytes"
	"compress/zlib"
	"encoding/binary"
	"io"
	"strings"
	"sync"

	"github.com/ClickHouse/ch-go/compress"
	"github.com/klauspost/compress/gzip"
	"github.com/klauspost/compress/zstd"
	"github.com/pierrec/lz4/v4"
)

// accepted is the encoding of an answer that a client takes, of those that are known; "" for none.
func accepted(header string) string {
	for _, want := range []string{"zstd", "lz4", "gzip"} {
		for _, e := range strings.Split(header, ",") {
			name, quality, _ := strings.Cut(strings.TrimSpace(e), ";")
			if strings.EqualFold(strings.TrimSpace(name), want) && strings.ReplaceAll(quality, " ", "") != "q=0" {
				return want
			}
		}
	}
	return ""
}

// limited reads no more than so many bytes. Danger: a few bytes may unpack to more than there is memory.
func limited(r io.Reader, most int) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, int64(most)+1))
	if err == nil && len(b) > most {
		return nil, except(codeTooLarge, "a body that unpacks to over %d bytes", most)
	}
	if err != nil {
		return nil, except(codeUnpack, "the body can't be unpacked: %.80v", err)
	}
	return b, nil
}

const (
	blockHead  = 25      // bytes: checksum, method, two sizes
	zstdMemory = 8 << 20 // that a window may take: one frame is unpacked at a time
)

// unpacked undoes a request's content encoding, and the blocks of decompress=1.
func unpacked(encoding string, blocks bool, b []byte, most int) ([]byte, error) {
	var err error
	switch strings.ToLower(encoding) {
	case "", "identity":
	case "gzip":
		r, e := gzip.NewReader(bytes.NewReader(b))
		if e != nil {
			return nil, except(codeUnpack, "gzip: %v", e)
		}
		b, err = limited(r, most)
	case "deflate":
		r, e := zlib.NewReader(bytes.NewReader(b))
		if e != nil {
			return nil, except(codeUnpack, "deflate: %v", e)
		}
		b, err = limited(r, most)
	case "zstd":
		r, e := zstd.NewReader(bytes.NewReader(b), zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(zstdMemory), zstd.WithDecoderMaxWindow(zstdMemory), zstd.WithDecoderLowmem(true))
		if e != nil {
			return nil, except(codeUnpack, "zstd: %v", e)
		}
		b, err = limited(r, most)
		r.Close()
	case "lz4":
		b, err = limited(lz4.NewReader(bytes.NewReader(b)), most)
	default:
		return nil, except(codeUnsupported, "content encoding %.40q", encoding)
	}
	if err != nil || !blocks || len(b) == 0 {
		return b, err
	}
	// Danger: a block's head tells its sizes, and the library makes room for what it tells.
	total := 0
	for at := b; len(at) > 0; {
		if len(at) < blockHead {
			return nil, except(codeUnpack, "a block of %d bytes", len(at))
		}
		packed, raw := int(binary.LittleEndian.Uint32(at[17:])), int(binary.LittleEndian.Uint32(at[21:]))
		if packed < 9 || packed-9 > len(at)-blockHead {
			return nil, except(codeUnpack, "a block said to have %d bytes", packed)
		}
		if total += raw; raw > most || total > most {
			return nil, except(codeTooLarge, "a body that unpacks to over %d bytes", most)
		}
		at = at[16+packed:]
	}
	out := make([]byte, total)
	if _, err := io.ReadFull(compress.NewReader(bytes.NewReader(b)), out); err != nil {
		return nil, except(codeUnpack, "the body's blocks can't be unpacked: %.80v", err)
	}
	return out, nil
}

// packers are kept from one answer to the next; the loop uses them by turns. They are made when first needed.
var packers = struct {
	sync.Once
	zstd *zstd.Encoder
}{}

// packed makes the body of an answer as its client wants it.
func packed(b []byte, encoding string, blocks bool, method string) ([]byte, error) {
	if blocks {
		w := compress.NewWriter(compress.LevelZero, map[bool]compress.Method{true: compress.ZSTD, false: compress.LZ4}[strings.EqualFold(method, "zstd")])
		var out []byte
		const piece = 1 << 20 // bytes of a block
		for len(b) > 0 {
			n := min(len(b), piece)
			if err := w.Compress(b[:n]); err != nil {
				return nil, err
			}
			out = append(out, w.Data...)
			b = b[n:]
		}
		b = out
	}
	var out bytes.Buffer
	switch encoding {
	case "gzip":
		w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
		if err == nil {
			_, err = w.Write(b)
		}
		if err == nil {
			err = w.Close()
		}
		return out.Bytes(), err
	case "zstd":
		var err error
		packers.Do(func() {
			packers.zstd, err = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithWindowSize(256<<10), zstd.WithLowerEncoderMem(true))
		})
		if err != nil {
			return nil, err
		}
		return packers.zstd.EncodeAll(b, nil), nil
	case "lz4":
		w := lz4.NewWriter(&out)
		_, err := w.Write(b)
		if err == nil {
			err = w.Close()
		}
		return out.Bytes(), err
	}
	return b, nil
}
