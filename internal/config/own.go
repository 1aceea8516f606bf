package config

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"slices"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"

	"thymeway/choice"
	"thymeway/internal/shape"
)

// OwnFile is where our own settings stand, from the folder in which the program starts. There may be no such file.
const OwnFile = "deploy/thymeway.ini"

// Own are the settings that the platform knows nothing of.
type Own struct {
	LogLevel slog.Level
	Shapes   Shapes
	Roles    map[string]shape.Role // by class; those that are not named follow the class's settings
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
		return Own{}, fmt.Errorf("own settings: %v", err)
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
	o := Own{Roles: map[string]shape.Role{}}
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

// Role is what the statements of a class may do, by our own settings or by the class's: what holds its table group
// writes, what may be repeated at will reads, and of others nothing is said.
func (c Config) Role(class string) shape.Role {
	if r, ok := c.Own.Roles[class]; ok {
		return r
	}
	return defaultRole(c.Choice.Classes, class)
}

func defaultRole(classes []choice.Class, name string) shape.Role {
	for _, k := range classes {
		switch {
		case k.Name != name:
		case k.Load:
			return shape.Writes
		case k.Effect == choice.Safe:
			return shape.Reads
		}
	}
	return shape.Any
}
