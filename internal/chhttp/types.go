package chhttp

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"math"
	"math/big"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// kind groups the types that are written alike.
type kind uint8

const (
	kindText kind = iota // and all that is passed on as text
	kindInt
	kindUint
	kindFloat
	kindBool
	kindString
	kindFixed
	kindDate
	kindDate32
	kindDateTime
	kindDateTime64
	kindUUID
	kindEnum
	kindDecimal
	kindIPv4
	kindIPv6
)

// typ is a column's type, as far as results need it.
type typ struct {
	name     string // as it stands in binary results: without LowCardinality, which they would write in another way
	kind     kind
	bytes    int
	scale    int
	nullable bool
	zone     *time.Location
	enum     map[string]int64
}

// plainTypes are the types without anything in brackets.
var plainTypes = map[string]struct {
	kind  kind
	bytes int
}{
	"UInt8": {kindUint, 1}, "UInt16": {kindUint, 2}, "UInt32": {kindUint, 4}, "UInt64": {kindUint, 8},
	"Int8": {kindInt, 1}, "Int16": {kindInt, 2}, "Int32": {kindInt, 4}, "Int64": {kindInt, 8},
	"Float32": {kindFloat, 4}, "Float64": {kindFloat, 8}, "Bool": {kindBool, 1}, "String": {kindString, 0},
	"Date": {kindDate, 2}, "Date32": {kindDate32, 4}, "DateTime": {kindDateTime, 4}, "UUID": {kindUUID, 16},
	"IPv4": {kindIPv4, 4}, "IPv6": {kindIPv6, 16},
}

// zones keeps what was read of time zones: each is a file of the system's.
var zones = map[string]*time.Location{"": time.UTC, "UTC": time.UTC}

const mostZones = 600

func zone(name string) (*time.Location, error) {
	if z, ok := zones[name]; ok {
		return z, nil
	}
	if len(zones) > mostZones || strings.HasPrefix(name, "/") || strings.Contains(name, "..") {
		return nil, fmt.Errorf("time zone %.40q", name)
	}
	z, err := time.LoadLocation(name)
	if err == nil {
		zones[name] = z
	}
	return z, err
}

// inside gives what stands in the brackets of a type.
func inside(s, outer string) (string, bool) {
	if !strings.HasPrefix(s, outer+"(") || !strings.HasSuffix(s, ")") {
		return "", false
	}
	return strings.TrimSpace(s[len(outer)+1 : len(s)-1]), true
}

// parseType reads a type. One that is not known is passed on as text, and can't be written in binary formats.
func parseType(s string) typ {
	s = strings.TrimSpace(s)
	if in, ok := inside(s, "LowCardinality"); ok {
		return parseType(in)
	}
	if in, ok := inside(s, "Nullable"); ok {
		t := parseType(in)
		t.nullable, t.name = true, "Nullable("+t.name+")"
		return t
	}
	if in, ok := inside(s, "SimpleAggregateFunction"); ok {
		if _, of, ok := strings.Cut(in, ","); ok {
			return parseType(of)
		}
	}
	t := typ{name: s}
	set := func(k kind, bytes int) typ { t.kind, t.bytes = k, bytes; return t }
	if p, ok := plainTypes[s]; ok {
		t.zone = time.UTC
		return set(p.kind, p.bytes)
	}
	if in, ok := inside(s, "FixedString"); ok {
		if n, err := strconv.Atoi(in); err == nil && n > 0 && n <= 1<<16 {
			return set(kindFixed, n)
		}
	}
	if in, ok := inside(s, "DateTime"); ok {
		if z, err := zone(strings.Trim(in, "'")); err == nil {
			t.zone = z
			return set(kindDateTime, 4)
		}
	}
	if in, ok := inside(s, "DateTime64"); ok {
		p, name, _ := strings.Cut(in, ",")
		n, err := strconv.Atoi(strings.TrimSpace(p))
		z, zerr := zone(strings.Trim(strings.TrimSpace(name), "'"))
		if err == nil && zerr == nil && n >= 0 && n <= 9 {
			t.zone, t.scale = z, n
			return set(kindDateTime64, 8)
		}
	}
	if in, ok := inside(s, "Decimal"); ok {
		p, sc, _ := strings.Cut(in, ",")
		n, err := strconv.Atoi(strings.TrimSpace(p))
		k, serr := strconv.Atoi(strings.TrimSpace(sc))
		if err == nil && serr == nil && n >= 1 && n <= 76 && k >= 0 && k <= n {
			t.scale = k
			for _, b := range [][2]int{{9, 4}, {18, 8}, {38, 16}, {76, 32}} {
				if n <= b[0] {
					return set(kindDecimal, b[1])
				}
			}
		}
	}
	for _, e := range []struct {
		name  string
		bytes int
	}{{"Enum8", 1}, {"Enum16", 2}} {
		if in, ok := inside(s, e.name); ok {
			if t.enum = enumValues(in); t.enum != nil {
				return set(kindEnum, e.bytes)
			}
		}
	}
	return t
}

// enumValues reads 'a' = 1, 'b' = 2; nil if it can't.
func enumValues(s string) map[string]int64 {
	all := map[string]int64{}
	for s = strings.TrimSpace(s); s != ""; {
		if s[0] != '\'' {
			return nil
		}
		var name []byte
		i := 1
		for ; i < len(s) && s[i] != '\''; i++ {
			if s[i] == '\\' && i+1 < len(s) {
				i++
			}
			name = append(name, s[i])
		}
		if i >= len(s) {
			return nil
		}
		number, rest, _ := strings.Cut(s[i+1:], ",")
		number, ok := strings.CutPrefix(strings.TrimSpace(number), "=")
		v, err := strconv.ParseInt(strings.TrimSpace(number), 10, 16)
		if !ok || err != nil {
			return nil
		}
		all[string(name)] = v
		s = strings.TrimSpace(rest)
	}
	return all
}

// number tells whether a value of the type stands without quotes in JSON; large is for those of 64 bits and more.
func (t *typ) number() (bare, large bool) {
	switch t.kind {
	case kindInt, kindUint:
		return true, t.bytes >= 8
	case kindFloat, kindBool:
		return true, false
	}
	return false, false
}

func little(dst []byte, v uint64, bytes int) []byte {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], v)
	return append(dst, b[:bytes]...)
}

// binaryValue adds a value as RowBinary and Native have it, NULL aside.
func (t *typ) binaryValue(dst []byte, text string) ([]byte, error) {
	bad := func() ([]byte, error) { return dst, fmt.Errorf("%.60q is no %s", text, t.name) }
	switch t.kind {
	case kindString:
		return append(binary.AppendUvarint(dst, uint64(len(text))), text...), nil
	case kindFixed:
		if len(text) > t.bytes {
			return bad()
		}
		return append(append(dst, text...), make([]byte, t.bytes-len(text))...), nil
	case kindUint:
		v, err := strconv.ParseUint(text, 10, t.bytes*8)
		if err != nil {
			return bad()
		}
		return little(dst, v, t.bytes), nil
	case kindInt:
		v, err := strconv.ParseInt(text, 10, t.bytes*8)
		if err != nil {
			return bad()
		}
		return little(dst, uint64(v), t.bytes), nil
	case kindFloat:
		v, err := strconv.ParseFloat(text, t.bytes*8)
		if err != nil {
			return bad()
		}
		if t.bytes == 4 {
			return little(dst, uint64(math.Float32bits(float32(v))), 4), nil
		}
		return little(dst, math.Float64bits(v), 8), nil
	case kindBool:
		switch text {
		case "true", "1":
			return append(dst, 1), nil
		case "false", "0":
			return append(dst, 0), nil
		}
		return bad()
	case kindDate, kindDate32:
		d, err := time.ParseInLocation("2006-01-02", text, time.UTC)
		if err != nil {
			return bad()
		}
		days := d.Unix() / 86400
		if t.kind == kindDate && (days < 0 || days > math.MaxUint16) {
			return bad()
		}
		return little(dst, uint64(days), t.bytes), nil
	case kindDateTime:
		d, err := time.ParseInLocation("2006-01-02 15:04:05", text, t.zone)
		if err != nil || d.Unix() < 0 || d.Unix() > math.MaxUint32 {
			return bad()
		}
		return little(dst, uint64(d.Unix()), 4), nil
	case kindDateTime64:
		d, err := time.ParseInLocation("2006-01-02 15:04:05.999999999", text, t.zone)
		if err != nil {
			return bad()
		}
		v := d.Unix()
		for i := 0; i < t.scale; i++ {
			v *= 10
		}
		part := int64(d.Nanosecond())
		for i := t.scale; i < 9; i++ {
			part /= 10
		}
		return little(dst, uint64(v+part), 8), nil
	case kindUUID:
		b, err := hex.DecodeString(strings.ReplaceAll(text, "-", ""))
		if err != nil || len(b) != 16 {
			return bad()
		}
		return little(little(dst, binary.BigEndian.Uint64(b), 8), binary.BigEndian.Uint64(b[8:]), 8), nil
	case kindIPv4:
		a, err := netip.ParseAddr(text)
		if err != nil || !a.Is4() {
			return bad()
		}
		b := a.As4()
		return little(dst, uint64(binary.BigEndian.Uint32(b[:])), 4), nil
	case kindIPv6:
		a, err := netip.ParseAddr(text)
		if err != nil {
			return bad()
		}
		b := a.As16()
		return append(dst, b[:]...), nil
	case kindEnum:
		v, ok := t.enum[text]
		if !ok {
			return bad()
		}
		return little(dst, uint64(v), t.bytes), nil
	case kindDecimal:
		return t.decimal(dst, text)
	}
	return dst, fmt.Errorf("type %.60s can't be written in binary formats", t.name)
}

func (t *typ) decimal(dst []byte, text string) ([]byte, error) {
	whole, part, _ := strings.Cut(text, ".")
	if len(part) > t.scale {
		return dst, fmt.Errorf("%.60q is no %s", text, t.name)
	}
	v, ok := new(big.Int).SetString(whole+part+strings.Repeat("0", t.scale-len(part)), 10)
	if !ok || v.BitLen() >= t.bytes*8 || strings.ContainsAny(text, "_+ ") {
		return dst, fmt.Errorf("%.60q is no %s", text, t.name)
	}
	if v.Sign() < 0 { // two's complement
		v.Add(v, new(big.Int).Lsh(big.NewInt(1), uint(t.bytes*8)))
	}
	b := make([]byte, t.bytes)
	v.FillBytes(b)
	for i, j := 0, len(b)-1; i < j; i, j = i+1, j-1 {
		b[i], b[j] = b[j], b[i]
	}
	return append(dst, b...), nil
}

// zero adds the value that stands in place of a NULL in Native.
func (t *typ) zero(dst []byte) []byte {
	if t.kind == kindString {
		return append(dst, 0)
	}
	return append(dst, make([]byte, t.bytes)...)
}
