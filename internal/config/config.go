// Package config reads and validates the platform's configuration and the local settings, and applies defaults.
package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"strconv"
	"syscall"

	"thymeway/choice"
	"thymeway/internal/wire"
)

// Config is the configuration of a coordinator.
type Config struct {
	Name          string
	Listen        string
	Seed          uint64
	ProcessSeed   [2]uint64 // drawn anew by each process, for ids; zero: ids follow from Seed
	Cores         float64
	MemoryMB      float64
	Sockets       int             // descriptors that the program may use
	DiscoveryAddr string          // IP:PORT of the discovery service
	Known         json.RawMessage // events in the form of the discovery service; decoded by package discovery
	Scheduler     choice.Settings
	Local         Local
	// Settings of the program that do not concern the scheduler, in ms.
	ConnectTimeout  float64
	ConnIdleTimeout float64
	AnswerSlack     float64         // invariants.answerSlackMs; only checked here
	settingsText    json.RawMessage // JSON text of the settings as read
}

// file is the platform's configuration file in JSON.
type file struct {
	Name, Listen, Seed, Board string
	Limits                    struct {
		Cores    *float64
		MemoryMB *float64 `json:"memory_mb"`
		Sockets  *int
	}
	Known    json.RawMessage
	Settings json.RawMessage
}

// programSettings holds the settings in the configuration file that do not concern the scheduler.
type programSettings struct {
	Ceilings struct {
		ConnIdleMs, ConnectTimeoutMs *float64
	}
	Invariants struct {
		AnswerSlackMs *float64
	}
}

// Defaults of optional keys, and limits.
const (
	defaultCores          = 1.0
	defaultMemoryMB       = 192.0
	defaultSockets        = 1024
	minSockets            = 64
	clientSocketDivisor   = 3       // clients get the descriptors divided by this
	defaultConnectTimeout = 250.0   // ms
	defaultConnIdle       = 15000.0 // ms
	defaultAnswerSlack    = 20.0    // ms
)

// FromEnvironment reads the configuration file that EDGE_CONFIG names, and the local settings in the file localPath.
// EDGE_NAME and EDGE_LISTEN override the configuration file. The error joins the errors of both files.
func FromEnvironment(getenv func(string) string, localPath string) (Config, error) {
	c, err := readPlatform(getenv)
	local, localErr := ReadLocal(localPath)
	c.Local = local
	if localErr == nil && err == nil {
		if err := c.CheckReferences(); err != nil {
			localErr = fmt.Errorf("%s: %w", localPath, err)
		}
	}
	return c, errors.Join(err, localErr)
}

// Transient reports whether reading a configuration failed for a temporary reason, so that it can be tried again.
func Transient(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.EINTR, syscall.EAGAIN, syscall.EIO} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// readPlatform reads the platform's configuration file.
func readPlatform(getenv func(string) string) (Config, error) {
	path := getenv("EDGE_CONFIG")
	if path == "" {
		return Config{}, fmt.Errorf("EDGE_CONFIG: not set; it must name the configuration file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	return Parse(text, getenv("EDGE_NAME"), getenv("EDGE_LISTEN"))
}

// Parse parses the text of a configuration file. Unless empty, name and listen override its values. The local settings have
// their defaults.
func Parse(text []byte, name, listen string) (Config, error) {
	var parsed file
	if err := json.Unmarshal(text, &parsed); err != nil {
		return Config{}, fmt.Errorf("configuration: %s", describeJSONError(err))
	}
	local, err := ParseLocal(nil)
	if err != nil {
		return Config{}, err
	}
	c := Config{Local: local, Name: firstNonEmpty(name, parsed.Name), Listen: firstNonEmpty(listen, parsed.Listen),
		DiscoveryAddr: parsed.Board, Known: parsed.Known, Cores: valueOr(parsed.Limits.Cores, defaultCores),
		MemoryMB: valueOr(parsed.Limits.MemoryMB, defaultMemoryMB), Sockets: valueOr(parsed.Limits.Sockets, defaultSockets)}
	if c.Name == "" {
		return c, fmt.Errorf("name: missing; set EDGE_NAME or the key")
	}
	if err := checkAddress("listen", c.Listen); err != nil {
		return c, err
	}
	if err := checkAddress("board", c.DiscoveryAddr); err != nil {
		return c, err
	}
	if parsed.Seed != "" {
		seed, err := strconv.ParseUint(parsed.Seed, 16, 64)
		if err != nil {
			return c, fmt.Errorf("seed: %q is not up to 16 hex digits", parsed.Seed)
		}
		c.Seed = seed
	}
	switch {
	case !(c.Cores > 0):
		return c, fmt.Errorf("limits.cores: %v is not above 0", c.Cores)
	case !(c.MemoryMB >= 16):
		return c, fmt.Errorf("limits.memory_mb: %v is under 16", c.MemoryMB)
	case c.Sockets < minSockets:
		return c, fmt.Errorf("limits.sockets: %d is under %d", c.Sockets, minSockets)
	case len(parsed.Known) == 0:
		return c, fmt.Errorf("known: missing")
	case len(parsed.Settings) == 0:
		return c, fmt.Errorf("settings: missing")
	}
	settings, err := wire.ParseSettings(parsed.Settings)
	if err != nil {
		return c, fmt.Errorf("settings: %s", describeJSONError(err))
	}
	if len(settings.Classes) == 0 {
		return c, fmt.Errorf("settings.categories: no class is named")
	}
	settings.Seed = int64(c.Seed)
	// Client connections use at most a third of the descriptors, and each has one request.
	if clientSockets := c.Sockets / clientSocketDivisor; settings.MaxOpenRequests <= 0 ||
		settings.MaxOpenRequests > clientSockets {
		settings.MaxOpenRequests = clientSockets
	}
	c.Scheduler, c.settingsText = settings, parsed.Settings
	var program programSettings
	if err := json.Unmarshal(parsed.Settings, &program); err != nil {
		return c, fmt.Errorf("settings: %s", describeJSONError(err))
	}
	c.ConnectTimeout = valueOr(program.Ceilings.ConnectTimeoutMs, defaultConnectTimeout)
	c.ConnIdleTimeout = valueOr(program.Ceilings.ConnIdleMs, defaultConnIdle)
	c.AnswerSlack = valueOr(program.Invariants.AnswerSlackMs, defaultAnswerSlack)
	switch {
	case !(c.ConnectTimeout > 0):
		return c, fmt.Errorf("settings.ceilings.connectTimeoutMs: %v is not above 0", c.ConnectTimeout)
	case !(c.ConnIdleTimeout > 0):
		return c, fmt.Errorf("settings.ceilings.connIdleMs: %v is not above 0", c.ConnIdleTimeout)
	case !(c.AnswerSlack >= 0):
		return c, fmt.Errorf("settings.invariants.answerSlackMs: %v is under 0", c.AnswerSlack)
	}
	return c, nil
}

// RestartKeys returns the keys in which another configuration differs and which take effect after a restart only. The seed
// and the known worker groups are not compared, since they differ each time the configuration is read.
func (c Config) RestartKeys(other Config) (keys []string) {
	var a, b bytes.Buffer
	// Both texts were parsed before, so there is no error.
	_, _ = json.Compact(&a, c.settingsText), json.Compact(&b, other.settingsText)
	for _, k := range []struct {
		name   string
		differ bool
	}{{"name", c.Name != other.Name}, {"listen", c.Listen != other.Listen}, {"limits.cores", c.Cores != other.Cores},
		{"limits.memory_mb", c.MemoryMB != other.MemoryMB}, {"limits.sockets", c.Sockets != other.Sockets},
		{"settings", !bytes.Equal(a.Bytes(), b.Bytes())}, {"local settings", !reflect.DeepEqual(c.Local, other.Local)}} {
		if k.differ {
			keys = append(keys, k.name)
		}
	}
	return keys
}

// describeJSONError returns the text of an error of package json. For a value of the wrong type it names the key.
func describeJSONError(err error) string {
	if t, ok := err.(*json.UnmarshalTypeError); ok && t.Field != "" {
		return fmt.Sprintf("%s: a %s is not allowed here", t.Field, t.Value)
	}
	return err.Error()
}

// checkAddress returns an error if the value of a key is not an address with a port.
func checkAddress(key, addr string) error {
	if addr == "" {
		return fmt.Errorf("%s: missing; it takes the form IP:PORT", key)
	}
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return fmt.Errorf("%s: %q does not have the form IP:PORT", key, addr)
	}
	return nil
}

func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// valueOr returns the value at p, or the default if p is nil.
func valueOr[T any](p *T, defaultValue T) T {
	if p == nil {
		return defaultValue
	}
	return *p
}
