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

// LocalFile is the default path of the local settings, relative to the working directory. The file is optional.
const LocalFile = "deploy/thymeway.ini"

// Local holds the local settings: those that are not part of the platform's configuration.
type Local struct {
	LogLevel      slog.Level
	Shapes        Shapes
	Roles         map[string]shape.Role // by class; the roles of other classes follow from the platform's configuration
	ClickHouse    ClickHouse
	Users         map[string]User // by name; if empty, each tenant is a user of the same name without a password
	MetricsListen string          // IP:PORT at which Prometheus metrics are served; "": off
	Kinds         map[string]Kind // by kind of engine
}

// ClickHouse holds the settings of the server for ClickHouse's HTTP interface.
type ClickHouse struct {
	Listen                                string  // IP:PORT; "": off
	ReadClass, AggregateClass, WriteClass string  // classes by kind of statement; "": chosen by classify.Rules
	KeyHeader, KeySetting                 string  // header and URL setting that carry the order key
	MaxBodyBytes                          int     // largest request body after decompression
	MaxResultBytes                        int     // largest result
	KeepAlive                             float64 // ms for which an idle connection is kept
	DisplayName                           string
}

// Kind holds the settings of a kind of engine.
type Kind struct {
	Protocol       string // rest or clickhouse
	User, Password string // credentials for ClickHouse engines; "": none
}

// IsClickHouse reports whether engines of the kind speak ClickHouse's HTTP interface.
func (k Kind) IsClickHouse() bool { return k.Protocol == "clickhouse" }

// User is a user of the ClickHouse interface.
type User struct {
	Tenant       string
	PasswordHash string // SHA-256 of the password in hex; "": no password is required
}

// Shapes holds the settings of the cache of statement shapes.
type Shapes struct {
	MaxBytes      int     // memory for shapes; 0: a share of the memory limit
	FillEstimates bool    // use the learned estimate for requests without one
	File          string  // in which shapes are kept over a restart; "": not kept
	SaveInterval  float64 // ms between two writes of File
}

// setting describes a key: its section, name, default as written in the file, meaning, and the function that sets its value.
type setting struct {
	section, key, defaultValue, description string
	// set sets the value; name is the part of the section's name after its keyword.
	set func(local *Local, name, v string) error
}

// localSettings lists all keys. A star at the end of a section matches any name.
var localSettings = []setting{
	{"log", "level", "info", "least level of the lines that are written: debug, info, warn or error",
		func(local *Local, _, v string) error {
			return local.LogLevel.UnmarshalText([]byte(v))
		}},
	{"shapes", "memory_kb", "0", "memory for shapes of statements that are remembered, 64 to 65536; 0: 2% of the memory limit",
		func(local *Local, _, v string) error {
			n, err := parseWhole(v, 0, 65536)
			if err == nil && n > 0 && n < 64 {
				return fmt.Errorf("%d is neither 0 nor from 64 to 65536", n)
			}
			local.Shapes.MaxBytes = n << 10
			return err
		}},
	{"shapes", "estimates", "fill", "fill: a request without an estimate gets the learned one; off: it gets none",
		func(local *Local, _, v string) error {
			i, err := indexOfWord(v, "off", "fill")
			local.Shapes.FillEstimates = i == 1
			return err
		}},
	{"shapes", "file", "", "file in which shapes are kept over a restart; empty: they are not",
		func(local *Local, _, v string) error {
			local.Shapes.File = v
			return nil
		}},
	{"shapes", "every_s", "300", "seconds between two writings of that file, 1 to 86400", func(local *Local, _, v string) error {
		n, err := parseWhole(v, 1, 86400)
		local.Shapes.SaveInterval = float64(n) * 1000
		return err
	}},
	{"metrics", "listen", "", "IP:PORT at which Prometheus may ask for /metrics; empty: off",
		func(local *Local, _, v string) error {
			if local.MetricsListen = v; v == "" {
				return nil
			}
			_, err := netip.ParseAddrPort(v)
			return err
		}},
	{"clickhouse", "listen", "", "IP:PORT of the ClickHouse HTTP interface; empty: off", func(local *Local, _, v string) error {
		if local.ClickHouse.Listen = v; v == "" {
			return nil
		}
		_, err := netip.ParseAddrPort(v)
		return err
	}},
	{"clickhouse", "read_class", "",
		"class of statements that read; empty: the class that may be repeated at will and gives up first",
		func(local *Local, _, v string) error {
			local.ClickHouse.ReadClass = v
			return nil
		}},
	{"clickhouse", "aggregate_class", "",
		"class of those that aggregate; empty: the class that may be repeated at will and gives up last",
		func(local *Local, _, v string) error {
			local.ClickHouse.AggregateClass = v
			return nil
		}},
	{"clickhouse", "write_class", "", "class of those that write; empty: the first class that holds its tables",
		func(local *Local, _, v string) error {
			local.ClickHouse.WriteClass = v
			return nil
		}},
	{"clickhouse", "key_header", "X-Order-Key", "header with the key in whose order writes run",
		func(local *Local, _, v string) error {
			if strings.ContainsAny(v, " \t:") || v == "" {
				return fmt.Errorf("%q is not a valid header name", v)
			}
			local.ClickHouse.KeyHeader = strings.ToLower(v)
			return nil
		}},
	{"clickhouse", "key_setting", "order_key", "the same as a setting in the URL", func(local *Local, _, v string) error {
		if v == "" {
			return fmt.Errorf("empty")
		}
		local.ClickHouse.KeySetting = v
		return nil
	}},
	{"clickhouse", "max_body_kb", "1024", "largest body of a request once unpacked, 1 to 65536",
		func(local *Local, _, v string) error {
			n, err := parseWhole(v, 1, 65536)
			local.ClickHouse.MaxBodyBytes = n << 10
			return err
		}},
	{"clickhouse", "max_result_kb", "4096", "largest result, 64 to 1048576", func(local *Local, _, v string) error {
		n, err := parseWhole(v, 64, 1<<20)
		local.ClickHouse.MaxResultBytes = n << 10
		return err
	}},
	{"clickhouse", "keep_alive_s", "10", "seconds for which an idle connection is kept, 1 to 3600",
		func(local *Local, _, v string) error {
			n, err := parseWhole(v, 1, 3600)
			local.ClickHouse.KeepAlive = float64(n) * 1000
			return err
		}},
	{"clickhouse", "display_name", "thymeway", "what displayName() tells", func(local *Local, _, v string) error {
		local.ClickHouse.DisplayName = v
		return nil
	}},
	{"user *", "tenant", "", "the member that a user of the ClickHouse interface belongs to; empty: the one of its name",
		func(local *Local, name, v string) error {
			u := local.Users[name]
			if u.Tenant = v; v == "" {
				u.Tenant = name
			}
			local.Users[name] = u
			return nil
		}},
	{"user *", "password_sha256", "", "SHA-256 of its password in hex; empty: none is asked for",
		func(local *Local, name, v string) error {
			u := local.Users[name]
			u.PasswordHash = strings.ToLower(v)
			if b, err := hex.DecodeString(v); err != nil || v != "" && len(b) != 32 {
				return fmt.Errorf("not 64 hex digits")
			}
			if u.Tenant == "" {
				u.Tenant = name
			}
			local.Users[name] = u
			return nil
		}},
	{"kind *", "protocol", "rest", "what engines of a kind speak: rest, the platform's protocol, or clickhouse",
		func(local *Local, name, v string) error {
			_, err := indexOfWord(v, "rest", "clickhouse")
			k := local.Kinds[name]
			k.Protocol = v
			local.Kinds[name] = k
			return err
		}},
	{"kind *", "user", "", "user with which ClickHouse engines of the kind are asked; empty: none is told",
		func(local *Local, name, v string) error {
			k := local.Kinds[name]
			k.User = v
			local.Kinds[name] = k
			return checkHeaderValue(v)
		}},
	{"kind *", "password", "", "its password", func(local *Local, name, v string) error {
		k := local.Kinds[name]
		k.Password = v
		local.Kinds[name] = k
		return checkHeaderValue(v)
	}},
	{"class *", "role", "",
		"what a class's statements may do: reads, writes or any; empty: loads write, what may be repeated at will reads",
		func(local *Local, name, v string) error {
			if v == "" {
				return nil
			}
			i, err := indexOfWord(v, "reads", "writes", "any")
			if err == nil {
				local.Roles[name] = []shape.Role{shape.ReadRole, shape.WriteRole, shape.AnyRole}[i]
			}
			return err
		}},
}

// checkHeaderValue returns an error if a text cannot be sent as the value of a header.
func checkHeaderValue(v string) error {
	for i := 0; i < len(v); i++ {
		if v[i] < ' ' || v[i] == 0x7f {
			return fmt.Errorf("byte %q is not allowed in a header value", v[i])
		}
	}
	return nil
}

// parseWhole parses an integer within a range.
func parseWhole(v string, minimum, maximum int) (int, error) {
	n, err := strconv.Atoi(v)
	if err != nil || n < minimum || n > maximum {
		return 0, fmt.Errorf("%q is not a whole number from %d to %d", v, minimum, maximum)
	}
	return n, nil
}

// indexOfWord returns the position of v in words, or an error that lists them.
func indexOfWord(v string, words ...string) (int, error) {
	if i := slices.Index(words, v); i >= 0 {
		return i, nil
	}
	return 0, fmt.Errorf("%q is not one of %s", v, strings.Join(words, ", "))
}

// ReadLocal reads the local settings. Since every key has a default, the file at LocalFile may be missing; a file at any
// other path must exist. The error joins all errors in the file, each with its section and key.
func ReadLocal(path string) (Local, error) {
	text, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) && path == LocalFile {
		return ParseLocal(nil)
	}
	if err != nil {
		return Local{}, fmt.Errorf("local settings: %w", err)
	}
	local, err := ParseLocal(text)
	if err != nil {
		return local, fmt.Errorf("%s: %w", path, err)
	}
	return local, nil
}

const maxLocalFileBytes = 1 << 20 // largest size of the file

// ParseLocal parses the text of the local settings. An empty text gives the defaults.
func ParseLocal(text []byte) (Local, error) {
	local := Local{Roles: map[string]shape.Role{}, Users: map[string]User{}, Kinds: map[string]Kind{}}
	for _, s := range localSettings {
		if !strings.HasSuffix(s.section, "*") {
			if err := s.set(&local, "", s.defaultValue); err != nil {
				return local, fmt.Errorf("[%s] %s: default: %v", s.section, s.key, err)
			}
		}
	}
	if len(text) > maxLocalFileBytes {
		return local, fmt.Errorf("file of %d bytes exceeds the limit of %d bytes", len(text), maxLocalFileBytes)
	}
	parsed, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, AllowNonUniqueSections: true, KeyValueDelimiters: "="},
		text)
	if err != nil {
		return local, err
	}
	var errs []error
	addError := func(section, key, format string, args ...any) {
		errs = append(errs, fmt.Errorf("[%s] %s: %s", section, key, fmt.Sprintf(format, args...)))
	}
	seen := map[string]bool{}
	for _, s := range parsed.Sections() {
		name := s.Name()
		if name == ini.DefaultSection {
			for _, k := range s.Keys() {
				errs = append(errs, fmt.Errorf("%s: key outside any section", k.Name()))
			}
			continue
		}
		if seen[name] {
			errs = append(errs, fmt.Errorf("[%s]: section given twice", name))
		}
		seen[name] = true
		sectionKnown := false
		for _, known := range localSettings {
			_, ok := known.matchSection(name)
			sectionKnown = sectionKnown || ok
		}
		if !sectionKnown {
			errs = append(errs, fmt.Errorf("[%s]: unknown section", name))
			continue
		}
		for _, k := range s.Keys() {
			known, arg, ok := findSetting(name, k.Name())
			switch values := k.ValueWithShadows(); {
			case !ok:
				addError(name, k.Name(), "unknown key")
			case len(values) > 1:
				addError(name, k.Name(), "given %d times", len(values))
			default:
				if err := known.set(&local, arg, k.Value()); err != nil {
					addError(name, k.Name(), "%v", err)
				}
			}
		}
	}
	return local, errors.Join(errs...)
}

// matchSection reports whether a section of the file can hold this setting, and returns the name after its keyword.
func (s setting) matchSection(section string) (name string, ok bool) {
	if head, hasName := strings.CutSuffix(s.section, "*"); hasName {
		name, ok = strings.CutPrefix(section, head)
		return strings.TrimSpace(name), ok && strings.TrimSpace(name) != ""
	}
	return "", s.section == section
}

// findSetting returns the setting of a key, and the name after the keyword of its section.
func findSetting(section, key string) (found setting, name string, ok bool) {
	for _, s := range localSettings {
		if sectionName, fits := s.matchSection(section); fits && s.key == key {
			return s, sectionName, true
		}
	}
	return setting{}, "", false
}

// WriteDefaults writes a settings file with every key, its meaning and its default.
func WriteDefaults(w io.Writer) {
	section := ""
	for _, s := range localSettings {
		prefix := ""
		name := s.section
		if head, hasName := strings.CutSuffix(s.section, "*"); hasName {
			prefix, name = "; ", head+"NAME"
		}
		if section != s.section {
			section = s.section
			fmt.Fprintf(w, "\n%s[%s]\n", prefix, name)
		}
		fmt.Fprintf(w, "; %s\n%s%s\n", s.description, prefix, strings.TrimSpace(s.key+" = "+s.defaultValue))
	}
}

// ShapeBytes returns the memory for shapes in bytes: the value set, or a share of the memory limit.
func (c Config) ShapeBytes() int {
	if c.Local.Shapes.MaxBytes > 0 {
		return c.Local.Shapes.MaxBytes
	}
	return max(minShapeBytes, min(int(c.MemoryMB*(1<<20)*shapeMemoryShare), maxShapeBytes))
}

const (
	shapeMemoryShare = 0.02 // share of the memory limit for shapes
	minShapeBytes    = 128 << 10
	maxShapeBytes    = 8 << 20
)

// ClassRules returns the rules for the roles of classes and the classes of statements.
func (c Config) ClassRules() classify.Rules {
	return classify.Rules{Classes: c.Scheduler.Classes, Roles: c.Local.Roles, ReadClass: c.Local.ClickHouse.ReadClass,
		AggregateClass: c.Local.ClickHouse.AggregateClass, WriteClass: c.Local.ClickHouse.WriteClass}
}

// ClassUsesClickHouse reports whether queries of a class may run on engines that speak ClickHouse's HTTP interface.
func (c Config) ClassUsesClickHouse(name string) bool {
	var only []string // the kinds on which the class may run; nil: all
	for _, class := range c.Scheduler.Classes {
		if class.Name == name {
			only = class.Kinds
		}
	}
	for kind, settings := range c.Local.Kinds {
		if settings.IsClickHouse() && (len(only) == 0 || slices.Contains(only, kind)) {
			return true
		}
	}
	return false
}

// CheckReferences returns an error for each local setting that names a class, tenant or kind which the platform's
// configuration does not have.
func (c Config) CheckReferences() error {
	var errs []error
	checkClass := func(section, key, name string) {
		if name != "" && !slices.ContainsFunc(c.Scheduler.Classes, func(k choice.Class) bool { return k.Name == name }) {
			errs = append(errs, fmt.Errorf("[%s] %s: no class %q in settings.categories", section, key, name))
		}
	}
	for name := range c.Local.Roles {
		checkClass("class "+name, "role", name)
	}
	checkClass("clickhouse", "read_class", c.Local.ClickHouse.ReadClass)
	checkClass("clickhouse", "aggregate_class", c.Local.ClickHouse.AggregateClass)
	checkClass("clickhouse", "write_class", c.Local.ClickHouse.WriteClass)
	for name, u := range c.Local.Users {
		if len(c.Scheduler.Tenants) > 0 &&
			!slices.ContainsFunc(c.Scheduler.Tenants, func(t choice.Tenant) bool { return t.Name == u.Tenant }) {
			errs = append(errs, fmt.Errorf("[user %s] tenant: no tenant %q in settings.tenants", name, u.Tenant))
		}
	}
	for name := range c.Local.Kinds {
		if len(c.Scheduler.Kinds) > 0 &&
			!slices.ContainsFunc(c.Scheduler.Kinds, func(k choice.Kind) bool { return k.Name == name }) {
			errs = append(errs, fmt.Errorf("[kind %s]: no kind of that name in settings.models", name))
		}
	}
	if c.Local.ClickHouse.Listen != "" && c.Local.ClickHouse.Listen == c.Listen {
		errs = append(errs, errors.New("[clickhouse] listen: the address is already used for PostgreSQL clients"))
	}
	slices.SortFunc(errs, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return errors.Join(errs...)
}
