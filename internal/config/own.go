package config

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"

	"thymeway/choice"
	"thymeway/internal/classify"
	"thymeway/internal/shape"
)

// OwnFile is where our own settings stand, from the folder in which the program starts. There may be no such file.
const OwnFile = "deploy/thymeway.ini"

// Own are the settings that the platform knows nothing of.
type Own struct {
	LogLevel slog.Level
	Shapes   Shapes
	Roles    map[string]shape.Role // by class; those that are not named follow the class's settings
	CH       ClickHouse
	Users    map[string]User // none: each member is a user of its own name, without a password
	Metrics  string          // IP:PORT of the listener for Prometheus; "": off
	Kinds    map[string]Kind // what is told of kinds of engines
}

// ClickHouse are the settings of the front that speaks its HTTP interface.
type ClickHouse struct {
	Listen                 string // IP:PORT; "": off
	Read, Aggregate, Write string // classes by what a statement does; "": by the settings of classes
	KeyHeader, KeySetting  string // where a request's order key stands
	MostBody               int    // bytes of a request's body, unpacked
	MostResult             int    // bytes of a result
	KeepAlive              float64
	DisplayName            string
}

// Kind is what our settings tell of a kind of engines.
type Kind struct {
	Protocol       string // rest or clickhouse
	User, Password string // with which ClickHouse engines are asked; "": without
}

// User is somebody who may ask.
type User struct {
	Tenant string
	Hash   string // SHA-256 of the password, hex; "": none is asked for
}

// Shapes are the settings of what is remembered of statements.
type Shapes struct {
	Bytes     int     // that they may take; 0: by the memory limit
	Estimates bool    // requests that carry no estimate get one
	File      string  // where they are kept over a restart; "": nowhere
	Every     float64 // ms between two writings of it
}

// setting is one key: its default as it would stand in the file, what it means, and how it is read.
type setting struct {
	section, key, def, doc string
	set                    func(o *Own, name, v string) error // name is what stands behind the section's own name
}

// settings are all keys there are. A section whose name ends with a star is followed by a name.
var ownSettings = []setting{
	{"log", "level", "info", "least level of the lines that are written: debug, info, warn or error", func(o *Own, _, v string) error {
		return o.LogLevel.UnmarshalText([]byte(v))
	}},
	{"shapes", "memory_kb", "0", "memory for shapes of statements that are remembered, 64 to 65536; 0: 2% of the memory limit", func(o *Own, _, v string) error {
		n, err := whole(v, 0, 65536)
		if err == nil && n > 0 && n < 64 {
			return fmt.Errorf("%d is neither 0 nor from 64 to 65536", n)
		}
		o.Shapes.Bytes = n << 10
		return err
	}},
	{"shapes", "estimates", "fill", "fill: a request without an estimate gets the learned one; off: it gets none", func(o *Own, _, v string) error {
		i, err := oneOf(v, "off", "fill")
		o.Shapes.Estimates = i == 1
		return err
	}},
	{"shapes", "file", "", "file in which shapes are kept over a restart; empty: they are not", func(o *Own, _, v string) error {
		o.Shapes.File = v
		return nil
	}},
	{"shapes", "every_s", "300", "seconds between two writings of that file, 1 to 86400", func(o *Own, _, v string) error {
		n, err := whole(v, 1, 86400)
		o.Shapes.Every = float64(n) * 1000
		return err
	}},
	{"metrics", "listen", "", "IP:PORT at which Prometheus may ask for /metrics; empty: off", func(o *Own, _, v string) error {
		if o.Metrics = v; v == "" {
			return nil
		}
		_, err := netip.ParseAddrPort(v)
		return err
	}},
	{"clickhouse", "listen", "", "IP:PORT of the ClickHouse HTTP interface; empty: off", func(o *Own, _, v string) error {
		if o.CH.Listen = v; v == "" {
			return nil
		}
		_, err := netip.ParseAddrPort(v)
		return err
	}},
	{"clickhouse", "read_class", "", "class of statements that read; empty: the class that may be repeated at will and gives up first", func(o *Own, _, v string) error {
		o.CH.Read = v
		return nil
	}},
	{"clickhouse", "aggregate_class", "", "class of those that aggregate; empty: the class that may be repeated at will and gives up last", func(o *Own, _, v string) error {
		o.CH.Aggregate = v
		return nil
	}},
	{"clickhouse", "write_class", "", "class of those that write; empty: the first class that holds its tables", func(o *Own, _, v string) error {
		o.CH.Write = v
		return nil
	}},
	{"clickhouse", "key_header", "X-Order-Key", "header with the key in whose order writes run", func(o *Own, _, v string) error {
		if strings.ContainsAny(v, " \t:") || v == "" {
			return fmt.Errorf("%q can't name a header", v)
		}
		o.CH.KeyHeader = strings.ToLower(v)
		return nil
	}},
	{"clickhouse", "key_setting", "order_key", "the same as a setting in the URL", func(o *Own, _, v string) error {
		if v == "" {
			return fmt.Errorf("empty")
		}
		o.CH.KeySetting = v
		return nil
	}},
	{"clickhouse", "max_body_kb", "1024", "largest body of a request once unpacked, 1 to 65536", func(o *Own, _, v string) error {
		n, err := whole(v, 1, 65536)
		o.CH.MostBody = n << 10
		return err
	}},
	{"clickhouse", "max_result_kb", "4096", "largest result, 64 to 1048576", func(o *Own, _, v string) error {
		n, err := whole(v, 64, 1<<20)
		o.CH.MostResult = n << 10
		return err
	}},
	{"clickhouse", "keep_alive_s", "10", "seconds for which an idle connection is kept, 1 to 3600", func(o *Own, _, v string) error {
		n, err := whole(v, 1, 3600)
		o.CH.KeepAlive = float64(n) * 1000
		return err
	}},
	{"clickhouse", "display_name", "thymeway", "what displayName() tells", func(o *Own, _, v string) error {
		o.CH.DisplayName = v
		return nil
	}},
	{"user *", "tenant", "", "the member that a user of the ClickHouse interface belongs to; empty: the one of its name", func(o *Own, name, v string) error {
		u := o.Users[name]
		if u.Tenant = v; v == "" {
			u.Tenant = name
		}
		o.Users[name] = u
		return nil
	}},
	{"user *", "password_sha256", "", "SHA-256 of its password in hex; empty: none is asked for", func(o *Own, name, v string) error {
		u := o.Users[name]
		u.Hash = strings.ToLower(v)
		if b, err := hex.DecodeString(v); err != nil || v != "" && len(b) != 32 {
			return fmt.Errorf("not 64 hex digits")
		}
		if u.Tenant == "" {
			u.Tenant = name
		}
		o.Users[name] = u
		return nil
	}},
	{"kind *", "protocol", "rest", "what engines of a kind speak: rest, the platform's protocol, or clickhouse", func(o *Own, name, v string) error {
		_, err := oneOf(v, "rest", "clickhouse")
		k := o.Kinds[name]
		k.Protocol = v
		o.Kinds[name] = k
		return err
	}},
	{"kind *", "user", "", "user with which ClickHouse engines of the kind are asked; empty: none is told", func(o *Own, name, v string) error {
		k := o.Kinds[name]
		k.User = v
		o.Kinds[name] = k
		return header(v)
	}},
	{"kind *", "password", "", "its password", func(o *Own, name, v string) error {
		k := o.Kinds[name]
		k.Password = v
		o.Kinds[name] = k
		return header(v)
	}},
	{"class *", "role", "", "what a class's statements may do: reads, writes or any; empty: loads write, what may be repeated at will reads", func(o *Own, name, v string) error {
		if v == "" {
			return nil
		}
		i, err := oneOf(v, "reads", "writes", "any")
		if err == nil {
			o.Roles[name] = []shape.Role{shape.Reads, shape.Writes, shape.Any}[i]
		}
		return err
	}},
}

// header tells whether a text can stand in a header.
func header(v string) error {
	for i := 0; i < len(v); i++ {
		if v[i] < ' ' || v[i] == 0x7f {
			return fmt.Errorf("byte %q can't stand in a header", v[i])
		}
	}
	return nil
}

func whole(v string, least, most int) (int, error) {
	n, err := strconv.Atoi(v)
	if err != nil || n < least || n > most {
		return 0, fmt.Errorf("%q is not a whole number from %d to %d", v, least, most)
	}
	return n, nil
}

func oneOf(v string, words ...string) (int, error) {
	if i := slices.Index(words, v); i >= 0 {
		return i, nil
	}
	return 0, fmt.Errorf("%q is not one of %s", v, strings.Join(words, ", "))
}

// ReadOwn reads our own settings. No file under the usual name is a good configuration, as every key has a default; one
// that was asked for by another name has to be there. The error joins all faults, each with its section and key.
func ReadOwn(path string) (Own, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) && path == OwnFile {
		return ParseOwn(nil)
	}
	if err != nil {
		return Own{}, fmt.Errorf("own settings: %w", err)
	}
	o, err := ParseOwn(text)
	if err != nil {
		return o, fmt.Errorf("%s: %w", path, err)
	}
	return o, nil
}

const mostOwn = 1 << 20 // bytes of the file

// ParseOwn reads the text of our own settings.
func ParseOwn(text []byte) (Own, error) {
	o := Own{Roles: map[string]shape.Role{}, Users: map[string]User{}, Kinds: map[string]Kind{}}
	for _, s := range ownSettings {
		if !strings.HasSuffix(s.section, "*") {
			if err := s.set(&o, "", s.def); err != nil {
				return o, fmt.Errorf("[%s] %s: default: %v", s.section, s.key, err)
			}
		}
	}
	if len(text) > mostOwn {
		return o, fmt.Errorf("%d bytes, %d may be", len(text), mostOwn)
	}
	f, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, AllowNonUniqueSections: true, KeyValueDelimiters: "="}, text)
	if err != nil {
		return o, err
	}
	var faults []error
	fault := func(section, key, format string, args ...any) {
		faults = append(faults, fmt.Errorf("[%s] %s: %s", section, key, fmt.Sprintf(format, args...)))
	}
	seen := map[string]bool{}
	for _, s := range f.Sections() {
		name := s.Name()
		if name == ini.DefaultSection {
			for _, k := range s.Keys() {
				faults = append(faults, fmt.Errorf("%s: stands in no section", k.Name()))
			}
			continue
		}
		if seen[name] {
			faults = append(faults, fmt.Errorf("[%s]: given twice", name))
		}
		seen[name] = true
		known := false
		for _, x := range ownSettings {
			_, ok := x.fits(name)
			known = known || ok
		}
		if !known {
			faults = append(faults, fmt.Errorf("[%s]: unknown section", name))
			continue
		}
		for _, k := range s.Keys() {
			x, arg, ok := find(name, k.Name())
			switch values := k.ValueWithShadows(); {
			case !ok:
				fault(name, k.Name(), "unknown key")
			case len(values) > 1:
				fault(name, k.Name(), "given %d times", len(values))
			default:
				if err := x.set(&o, arg, k.Value()); err != nil {
					fault(name, k.Name(), "%v", err)
				}
			}
		}
	}
	return o, errors.Join(faults...)
}

// fits tells whether a section of the file is this setting's, and gives the name behind it.
func (s setting) fits(section string) (name string, ok bool) {
	if head, star := strings.CutSuffix(s.section, "*"); star {
		name, ok = strings.CutPrefix(section, head)
		return strings.TrimSpace(name), ok && strings.TrimSpace(name) != ""
	}
	return "", s.section == section
}

func find(section, key string) (x setting, name string, ok bool) {
	for _, s := range ownSettings {
		if n, fits := s.fits(section); fits && s.key == key {
			return s, n, true
		}
	}
	return setting{}, "", false
}

// WriteDefaults writes a file that sets every key to its default, with what it means.
func WriteDefaults(w io.Writer) {
	section := ""
	for _, s := range ownSettings {
		off := ""
		name := s.section
		if head, star := strings.CutSuffix(s.section, "*"); star {
			off, name = "; ", head+"NAME"
		}
		if section != s.section {
			section = s.section
			fmt.Fprintf(w, "\n%s[%s]\n", off, name)
		}
		fmt.Fprintf(w, "; %s\n%s%s\n", s.doc, off, strings.TrimSpace(s.key+" = "+s.def))
	}
}

// ShapeBytes is the memory for shapes: what is set, or a part of the limit.
func (c Config) ShapeBytes() int {
	if c.Own.Shapes.Bytes > 0 {
		return c.Own.Shapes.Bytes
	}
	return max(leastShapes, min(int(c.MemoryMB*(1<<20)*shapeShare), mostShapes))
}

const (
	shapeShare  = 0.02 // of the memory, for shapes
	leastShapes = 128 << 10
	mostShapes  = 8 << 20
)

// Classify gives the rules by which statements and classes go together.
func (c Config) Classify() classify.Rules {
	return classify.Rules{Classes: c.Choice.Classes, Roles: c.Own.Roles, Read: c.Own.CH.Read, Aggregate: c.Own.CH.Aggregate, Write: c.Own.CH.Write}
}

// References tells which of our own settings name a class, tenant or kind that the platform's configuration has not.
func (c Config) References() error {
	var faults []error
	class := func(section, key, name string) {
		if name != "" && !slices.ContainsFunc(c.Choice.Classes, func(k choice.Class) bool { return k.Name == name }) {
			faults = append(faults, fmt.Errorf("[%s] %s: no class %q in settings.categories", section, key, name))
		}
	}
	for name := range c.Own.Roles {
		class("class "+name, "role", name)
	}
	class("clickhouse", "read_class", c.Own.CH.Read)
	class("clickhouse", "aggregate_class", c.Own.CH.Aggregate)
	class("clickhouse", "write_class", c.Own.CH.Write)
	for name, u := range c.Own.Users {
		if len(c.Choice.Tenants) > 0 && !slices.ContainsFunc(c.Choice.Tenants, func(t choice.Tenant) bool { return t.Name == u.Tenant }) {
			faults = append(faults, fmt.Errorf("[user %s] tenant: no tenant %q in settings.tenants", name, u.Tenant))
		}
	}
	for name := range c.Own.Kinds {
		if len(c.Choice.Kinds) > 0 && !slices.ContainsFunc(c.Choice.Kinds, func(k choice.Kind) bool { return k.Name == name }) {
			faults = append(faults, fmt.Errorf("[kind %s]: no kind of that name in settings.models", name))
		}
	}
	if c.Own.CH.Listen != "" && c.Own.CH.Listen == c.Listen {
		faults = append(faults, errors.New("[clickhouse] listen: the address is the PostgreSQL clients'"))
	}
	slices.SortFunc(faults, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return errors.Join(faults...)
}
