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

// chooseEncoding returns the first supported content encoding that an Accept-Encoding header allows, or "" if it allows none.
func chooseEncoding(header string) string {
	for _, known := range []string{"zstd", "lz4", "gzip"} {
		for _, entry := range strings.Split(header, ",") {
			name, quality, _ := strings.Cut(strings.TrimSpace(entry), ";")
			if strings.EqualFold(strings.TrimSpace(name), known) && strings.ReplaceAll(quality, " ", "") != "q=0" {
				return known
			}
		}
	}
	return ""
}

// readLimited reads a decompressed body of at most maxBytes bytes. Without the limit, a few compressed bytes could expand to
// more than the available memory.
func readLimited(r io.Reader, maxBytes int) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, int64(maxBytes)+1))
	if err == nil && len(body) > maxBytes {
		return nil, newException(codeTooLarge, "a body that unpacks to over %d bytes", maxBytes)
	}
	if err != nil {
		return nil, newException(codeCannotDecompress, "the body can't be unpacked: %.80v", err)
	}
	return body, nil
}

const (
	blockHeaderBytes = 25      // a checksum of 16 bytes, the method, and the compressed and original sizes
	maxZstdWindow    = 8 << 20 // bytes that the decoder may use; it decompresses one frame at a time
)

// decompressBody reverses a request's content encoding and, if blocks is set (decompress=1), ClickHouse's compressed blocks. The
// result of each step has at most maxBytes bytes.
func decompressBody(encoding string, blocks bool, body []byte, maxBytes int) ([]byte, error) {
	var err error
	switch strings.ToLower(encoding) {
	case "", "identity":
	case "gzip":
		r, e := gzip.NewReader(bytes.NewReader(body))
		if e != nil {
			return nil, newException(codeCannotDecompress, "gzip: %v", e)
		}
		body, err = readLimited(r, maxBytes)
	case "deflate":
		r, e := zlib.NewReader(bytes.NewReader(body))
		if e != nil {
			return nil, newException(codeCannotDecompress, "deflate: %v", e)
		}
		body, err = readLimited(r, maxBytes)
	case "zstd":
		r, e := zstd.NewReader(bytes.NewReader(body), zstd.WithDecoderConcurrency(1),
			zstd.WithDecoderMaxMemory(maxZstdWindow), zstd.WithDecoderMaxWindow(maxZstdWindow), zstd.WithDecoderLowmem(true))
		if e != nil {
			return nil, newException(codeCannotDecompress, "zstd: %v", e)
		}
		body, err = readLimited(r, maxBytes)
		r.Close()
	case "lz4":
		body, err = readLimited(lz4.NewReader(bytes.NewReader(body)), maxBytes)
	default:
		return nil, newException(codeNotImplemented, "content encoding %.40q", encoding)
	}
	if err != nil || !blocks || len(body) == 0 {
		return body, err
	}
	// The library allocates as much memory as a block's header claims to need, so the sizes in all headers are checked first.
	total := 0
	for rest := body; len(rest) > 0; {
		if len(rest) < blockHeaderBytes {
			return nil, newException(codeCannotDecompress, "a block of %d bytes", len(rest))
		}
		compressedSize, size := int(binary.LittleEndian.Uint32(rest[17:])), int(binary.LittleEndian.Uint32(rest[21:]))
		if compressedSize < 9 || compressedSize-9 > len(rest)-blockHeaderBytes {
			return nil, newException(codeCannotDecompress, "a block said to have %d bytes", compressedSize)
		}
		if total += size; size > maxBytes || total > maxBytes {
			return nil, newException(codeTooLarge, "a body that unpacks to over %d bytes", maxBytes)
		}
		rest = rest[16+compressedSize:]
	}
	out := make([]byte, total)
	if _, err := io.ReadFull(compress.NewReader(bytes.NewReader(body)), out); err != nil {
		return nil, newException(codeCannotDecompress, "the body's blocks can't be unpacked: %.80v", err)
	}
	return out, nil
}

// encoders holds the zstd encoder, which is created on first use. All responses share it, as only the event loop uses it.
var encoders = struct {
	sync.Once
	zstd *zstd.Encoder
}{}

// compressBody compresses the body of a response: first into ClickHouse's blocks, if blocks is set, by the given method (ZSTD, or
// LZ4 for any other), then with the content encoding.
func compressBody(body []byte, encoding string, blocks bool, method string) ([]byte, error) {
	if blocks {
		w := compress.NewWriter(compress.LevelZero,
			map[bool]compress.Method{true: compress.ZSTD, false: compress.LZ4}[strings.EqualFold(method, "zstd")])
		var out []byte
		const maxBlockBytes = 1 << 20 // before compression
		for len(body) > 0 {
			size := min(len(body), maxBlockBytes)
			if err := w.Compress(body[:size]); err != nil {
				return nil, err
			}
			out = append(out, w.Data...)
			body = body[size:]
		}
		body = out
	}
	var out bytes.Buffer
	switch encoding {
	case "gzip":
		w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
		if err == nil {
			_, err = w.Write(body)
		}
		if err == nil {
			err = w.Close()
		}
		return out.Bytes(), err
	case "zstd":
		var err error
		encoders.Do(func() {
			encoders.zstd, err = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest),
				zstd.WithWindowSize(256<<10), zstd.WithLowerEncoderMem(true))
		})
		if err != nil {
			return nil, err
		}
		return encoders.zstd.EncodeAll(body, nil), nil
	case "lz4":
		w := lz4.NewWriter(&out)
		_, err := w.Write(body)
		if err == nil {
			err = w.Close()
		}
		return out.Bytes(), err
	}
	return body, nil
}
