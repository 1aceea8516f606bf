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

	"thymeway/internal/result"
)

// kind groups the column types whose values are written in the same way.
type kind uint8

const (
	kindText kind = iota // any unknown type; its values are passed on as text
	kindInt
	kindUint
	kindFloat
	kindBool
	kindString
	kindFixedString
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

// columnType holds the properties of a column's type that are needed to write its values.
type columnType struct {
	name        string // as written in binary formats: without LowCardinality, whose values have another encoding
	kind        kind
	size        int // bytes of a value; 0: variable
	scale       int // decimal places of a Decimal or DateTime64
	nullable    bool
	location    *time.Location   // time zone of a DateTime or DateTime64
	enumNumbers map[string]int64 // of an Enum
}

// simpleTypes holds the types without arguments, by name.
var simpleTypes = map[string]struct {
	kind kind
	size int
}{
	"UInt8": {kindUint, 1}, "UInt16": {kindUint, 2}, "UInt32": {kindUint, 4}, "UInt64": {kindUint, 8},
	"Int8": {kindInt, 1}, "Int16": {kindInt, 2}, "Int32": {kindInt, 4}, "Int64": {kindInt, 8},
	"Float32": {kindFloat, 4}, "Float64": {kindFloat, 8}, "Bool": {kindBool, 1}, "String": {kindString, 0},
	"Date": {kindDate, 2}, "Date32": {kindDate32, 4}, "DateTime": {kindDateTime, 4}, "UUID": {kindUUID, 16},
	"IPv4": {kindIPv4, 4}, "IPv6": {kindIPv6, 16},
}

// cachedZones holds the time zones loaded so far, by name, as loading one reads a file.
var cachedZones = map[string]*time.Location{"": time.UTC, "UTC": time.UTC}

// maxCachedZones limits the cache, as the names come from engines and clients.
const maxCachedZones = 600

// loadZone returns a time zone from the cache or the system's files. Names that could be paths to other files are refused.
func loadZone(name string) (*time.Location, error) {
	if location, ok := cachedZones[name]; ok {
		return location, nil
	}
	if len(cachedZones) > maxCachedZones || strings.HasPrefix(name, "/") || strings.Contains(name, "..") {
		return nil, fmt.Errorf("time zone %.40q", name)
	}
	location, err := time.LoadLocation(name)
	if err == nil {
		cachedZones[name] = location
	}
	return location, err
}

// typeArguments returns the text in the parentheses of a type, if the type has the given name and parentheses.
func typeArguments(text, typeName string) (string, bool) {
	if !strings.HasPrefix(text, typeName+"(") || !strings.HasSuffix(text, ")") {
		return "", false
	}
	return strings.TrimSpace(text[len(typeName)+1 : len(text)-1]), true
}

// parseType parses the name of a type. Values of an unknown type are passed on as text and can't be written in binary formats.
func parseType(text string) columnType {
	text = strings.TrimSpace(text)
	if inner, ok := typeArguments(text, "LowCardinality"); ok {
		return parseType(inner)
	}
	if inner, ok := typeArguments(text, "Nullable"); ok {
		t := parseType(inner)
		t.nullable, t.name = true, "Nullable("+t.name+")"
		return t
	}
	if inner, ok := typeArguments(text, "SimpleAggregateFunction"); ok {
		if _, valueType, ok := strings.Cut(inner, ","); ok {
			return parseType(valueType)
		}
	}
	t := columnType{name: text}
	set := func(k kind, size int) columnType { t.kind, t.size = k, size; return t }
	if simple, ok := simpleTypes[text]; ok {
		t.location = time.UTC
		return set(simple.kind, simple.size)
	}
	if inner, ok := typeArguments(text, "FixedString"); ok {
		if n, err := strconv.Atoi(inner); err == nil && n > 0 && n <= 1<<16 {
			return set(kindFixedString, n)
		}
	}
	if inner, ok := typeArguments(text, "DateTime"); ok {
		if location, err := loadZone(strings.Trim(inner, "'")); err == nil {
			t.location = location
			return set(kindDateTime, 4)
		}
	}
	if inner, ok := typeArguments(text, "DateTime64"); ok {
		first, name, _ := strings.Cut(inner, ",")
		scale, err := strconv.Atoi(strings.TrimSpace(first))
		location, zoneErr := loadZone(strings.Trim(strings.TrimSpace(name), "'"))
		if err == nil && zoneErr == nil && scale >= 0 && scale <= 9 {
			t.location, t.scale = location, scale
			return set(kindDateTime64, 8)
		}
	}
	if inner, ok := typeArguments(text, "Decimal"); ok {
		first, second, _ := strings.Cut(inner, ",")
		precision, err := strconv.Atoi(strings.TrimSpace(first))
		scale, scaleErr := strconv.Atoi(strings.TrimSpace(second))
		if err == nil && scaleErr == nil && precision >= 1 && precision <= 76 && scale >= 0 && scale <= precision {
			t.scale = scale
			for _, digitsAndSize := range [][2]int{{9, 4}, {18, 8}, {38, 16}, {76, 32}} {
				if precision <= digitsAndSize[0] {
					return set(kindDecimal, digitsAndSize[1])
				}
			}
		}
	}
	for _, enum := range []struct {
		name string
		size int
	}{{"Enum8", 1}, {"Enum16", 2}} {
		if inner, ok := typeArguments(text, enum.name); ok {
			if t.enumNumbers = parseEnum(inner); t.enumNumbers != nil {
				return set(kindEnum, enum.size)
			}
		}
	}
	return t
}

// parseEnum parses the arguments of an Enum, such as 'a' = 1, 'b' = 2. It returns nil if they are invalid.
func parseEnum(text string) map[string]int64 {
	numbers := map[string]int64{}
	for text = strings.TrimSpace(text); text != ""; {
		if text[0] != '\'' {
			return nil
		}
		var name []byte
		i := 1
		for ; i < len(text) && text[i] != '\''; i++ {
			if text[i] == '\\' && i+1 < len(text) {
				i++
			}
			name = append(name, text[i])
		}
		if i >= len(text) {
			return nil
		}
		number, rest, _ := strings.Cut(text[i+1:], ",")
		number, ok := strings.CutPrefix(strings.TrimSpace(number), "=")
		value, err := strconv.ParseInt(strings.TrimSpace(number), 10, 16)
		if !ok || err != nil {
			return nil
		}
		numbers[string(name)] = value
		text = strings.TrimSpace(rest)
	}
	return numbers
}

// unquoted reports whether values of the type are written without quotes in JSON and CSV, and whether they are integers of 64
// or more bits.
func (t *columnType) unquoted() (unquoted, large bool) {
	switch t.kind {
	case kindInt, kindUint:
		return true, t.size >= 8
	case kindFloat, kindBool:
		return true, false
	}
	return false, false
}

// appendLittleEndian appends the lowest size bytes of a number in little-endian order.
func appendLittleEndian(dst []byte, number uint64, size int) []byte {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], number)
	return append(dst, b[:size]...)
}

// appendBinary appends a value other than NULL in the encoding of RowBinary and Native.
func (t *columnType) appendBinary(dst []byte, text string) ([]byte, error) {
	invalid := func() ([]byte, error) { return dst, fmt.Errorf("%.60q is no %s", text, t.name) }
	switch t.kind {
	case kindString:
		return append(binary.AppendUvarint(dst, uint64(len(text))), text...), nil
	case kindFixedString:
		if len(text) > t.size {
			return invalid()
		}
		return append(append(dst, text...), make([]byte, t.size-len(text))...), nil
	case kindUint:
		v, err := strconv.ParseUint(text, 10, t.size*8)
		if err != nil {
			return invalid()
		}
		return appendLittleEndian(dst, v, t.size), nil
	case kindInt:
		v, err := strconv.ParseInt(text, 10, t.size*8)
		if err != nil {
			return invalid()
		}
		return appendLittleEndian(dst, uint64(v), t.size), nil
	case kindFloat:
		v, err := strconv.ParseFloat(text, t.size*8)
		if err != nil {
			return invalid()
		}
		if t.size == 4 {
			return appendLittleEndian(dst, uint64(math.Float32bits(float32(v))), 4), nil
		}
		return appendLittleEndian(dst, math.Float64bits(v), 8), nil
	case kindBool:
		switch text {
		case "true", "1":
			return append(dst, 1), nil
		case "false", "0":
			return append(dst, 0), nil
		}
		return invalid()
	case kindDate, kindDate32:
		d, err := time.ParseInLocation("2006-01-02", text, time.UTC)
		if err != nil {
			return invalid()
		}
		days := d.Unix() / 86400
		if t.kind == kindDate && (days < 0 || days > math.MaxUint16) {
			return invalid()
		}
		return appendLittleEndian(dst, uint64(days), t.size), nil
	case kindDateTime:
		d, err := time.ParseInLocation("2006-01-02 15:04:05", text, t.location)
		if err != nil || d.Unix() < 0 || d.Unix() > math.MaxUint32 {
			return invalid()
		}
		return appendLittleEndian(dst, uint64(d.Unix()), 4), nil
	case kindDateTime64:
		d, err := time.ParseInLocation("2006-01-02 15:04:05.999999999", text, t.location)
		if err != nil {
			return invalid()
		}
		v := d.Unix()
		for i := 0; i < t.scale; i++ {
			v *= 10
		}
		part := int64(d.Nanosecond())
		for i := t.scale; i < 9; i++ {
			part /= 10
		}
		return appendLittleEndian(dst, uint64(v+part), 8), nil
	case kindUUID:
		b, err := hex.DecodeString(strings.ReplaceAll(text, "-", ""))
		if err != nil || len(b) != 16 {
			return invalid()
		}
		return appendLittleEndian(appendLittleEndian(dst, binary.BigEndian.Uint64(b), 8), binary.BigEndian.Uint64(b[8:]), 8), nil
	case kindIPv4:
		a, err := netip.ParseAddr(text)
		if err != nil || !a.Is4() {
			return invalid()
		}
		b := a.As4()
		return appendLittleEndian(dst, uint64(binary.BigEndian.Uint32(b[:])), 4), nil
	case kindIPv6:
		a, err := netip.ParseAddr(text)
		if err != nil {
			return invalid()
		}
		b := a.As16()
		return append(dst, b[:]...), nil
	case kindEnum:
		v, ok := t.enumNumbers[text]
		if !ok {
			return invalid()
		}
		return appendLittleEndian(dst, uint64(v), t.size), nil
	case kindDecimal:
		return t.appendDecimal(dst, text)
	}
	return dst, fmt.Errorf("type %.60s can't be written in binary formats", t.name)
}

// appendDecimal appends a Decimal as an integer of the type's size, in units of its last decimal place.
func (t *columnType) appendDecimal(dst []byte, text string) ([]byte, error) {
	whole, fraction, _ := strings.Cut(text, ".")
	if len(fraction) > t.scale {
		return dst, fmt.Errorf("%.60q is no %s", text, t.name)
	}
	value, ok := new(big.Int).SetString(whole+fraction+strings.Repeat("0", t.scale-len(fraction)), 10)
	if !ok || value.BitLen() >= t.size*8 || strings.ContainsAny(text, "_+ ") {
		return dst, fmt.Errorf("%.60q is no %s", text, t.name)
	}
	if value.Sign() < 0 { // two's complement
		value.Add(value, new(big.Int).Lsh(big.NewInt(1), uint(t.size*8)))
	}
	b := make([]byte, t.size)
	value.FillBytes(b)
	for i, j := 0, len(b)-1; i < j; i, j = i+1, j-1 {
		b[i], b[j] = b[j], b[i]
	}
	return append(dst, b...), nil
}

// appendZero appends the placeholder that a NULL has in the column data of Native.
func (t *columnType) appendZero(dst []byte) []byte {
	if t.kind == kindString {
		return append(dst, 0)
	}
	return append(dst, make([]byte, t.size)...)
}

// unescape decodes the escape sequences of a TabSeparated cell.
func unescape(s string) string { return string(result.Unescape(nil, []byte(s))) }
