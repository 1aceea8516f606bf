// Package config is the one place where the configuration is read, checked and given defaults.
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

// Config is what a coordinator is told at its start.
type Config struct {
	Name     string
	Listen   string
	Seed     uint64
	Cores    float64
	MemoryMB float64
	Sockets  int
	Board    string
	Known    json.RawMessage // as the notice board would write it; package board reads it
	Choice   choice.Settings
	Own      Own
	// The settings that concern the program and not the decisions, in ms.
	ConnectTimeout float64
	ConnIdle       float64
	AnswerSlack    float64
	settings       json.RawMessage // as they were read
}

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

type settings struct {
	Ceilings struct {
		ConnIdleMs, ConnectTimeoutMs *float64
	}
	Invariants struct {
		AnswerSlackMs *float64
	}
}

// Defaults for keys that may be left out.
const (
	defaultCores   = 1.0
	defaultMemory  = 192.0
	defaultSockets = 1024
	leastSockets   = 64
	clientShare    = 3 // one part in so many of the descriptors is the clients'
	defaultConnect = 250.0
	defaultIdle    = 15000.0
	defaultSlack   = 20.0
)

// FromEnvironment reads EDGE_CONFIG and the file that it names, and our own settings in the file own. EDGE_NAME and
// EDGE_LISTEN go before the file. The error joins the faults of both.
func FromEnvironment(getenv func(string) string, own string) (Config, error) {
	c, err := platform(getenv)
	o, fault := ReadOwn(own)
	c.Own = o
	if fault == nil && err == nil {
		if err := c.References(); err != nil {
			fault = fmt.Errorf("%s: %w", own, err)
		}
	}
	return c, errors.Join(err, fault)
}

// Transient tells whether a configuration could not be read for a reason that may pass by itself.
func Transient(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOMEM, syscall.EINTR, syscall.EAGAIN, syscall.EIO} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

func platform(getenv func(string) string) (Config, error) {
	path := getenv("EDGE_CONFIG")
	if path == "" {
		return Config{}, fmt.Errorf("EDGE_CONFIG: not set; it names the configuration file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("EDGE_CONFIG: %w", err)
	}
	return Parse(text, getenv("EDGE_NAME"), getenv("EDGE_LISTEN"))
}

// Parse reads the text of a configuration file; name and listen go before it unless empty.
func Parse(text []byte, name, listen string) (Config, error) {
	var f file
	if err := json.Unmarshal(text, &f); err != nil {
		return Config{}, fmt.Errorf("configuration: %s", jsonFault(err))
	}
	ours, err := ParseOwn(nil)
	if err != nil {
		return Config{}, err
	}
	c := Config{Own: ours, Name: first(name, f.Name), Listen: first(listen, f.Listen), Board: f.Board, Known: f.Known,
		Cores: value(f.Limits.Cores, defaultCores), MemoryMB: value(f.Limits.MemoryMB, defaultMemory),
		Sockets: value(f.Limits.Sockets, defaultSockets)}
	if c.Name == "" {
		return c, fmt.Errorf("name: missing; set EDGE_NAME or the key")
	}
	if err := address("listen", c.Listen); err != nil {
		return c, err
	}
	if err := address("board", c.Board); err != nil {
		return c, err
	}
	if f.Seed != "" {
		seed, err := strconv.ParseUint(f.Seed, 16, 64)
		if err != nil {
			return c, fmt.Errorf("seed: %q is not up to 16 hex digits", f.Seed)
		}
		c.Seed = seed
	}
	switch {
	case !(c.Cores > 0):
		return c, fmt.Errorf("limits.cores: %v is not above 0", c.Cores)
	case !(c.MemoryMB >= 16):
		return c, fmt.Errorf("limits.memory_mb: %v is under 16", c.MemoryMB)
	case c.Sockets < leastSockets:
		return c, fmt.Errorf("limits.sockets: %d is under %d", c.Sockets, leastSockets)
	case len(f.Known) == 0:
		return c, fmt.Errorf("known: missing")
	case len(f.Settings) == 0:
		return c, fmt.Errorf("settings: missing")
	}
	s, err := wire.ParseSettings(f.Settings)
	if err != nil {
		return c, fmt.Errorf("settings: %s", jsonFault(err))
	}
	if len(s.Classes) == 0 {
		return c, fmt.Errorf("settings.categories: no class is named")
	}
	s.Seed = int64(c.Seed)
	// Clients hold a third of the descriptors at most, one request on each.
	if held := c.Sockets / clientShare; s.MaxOpenRequests <= 0 || s.MaxOpenRequests > held {
		s.MaxOpenRequests = held
	}
	c.Choice, c.settings = s, f.Settings
	var own settings
	if err := json.Unmarshal(f.Settings, &own); err != nil {
		return c, fmt.Errorf("settings: %s", jsonFault(err))
	}
	c.ConnectTimeout = value(own.Ceilings.ConnectTimeoutMs, defaultConnect)
	c.ConnIdle = value(own.Ceilings.ConnIdleMs, defaultIdle)
	c.AnswerSlack = value(own.Invariants.AnswerSlackMs, defaultSlack)
	switch {
	case !(c.ConnectTimeout > 0):
		return c, fmt.Errorf("settings.ceilings.connectTimeoutMs: %v is not above 0", c.ConnectTimeout)
	case !(c.ConnIdle > 0):
		return c, fmt.Errorf("settings.ceilings.connIdleMs: %v is not above 0", c.ConnIdle)
	case !(c.AnswerSlack >= 0):
		return c, fmt.Errorf("settings.invariants.answerSlackMs: %v is under 0", c.AnswerSlack)
	}
	return c, nil
}

// Fixed names the keys in which another configuration differs and that count from a start only. The seed and what
// is known of worker groups are new with each reading.
func (c Config) Fixed(o Config) (keys []string) {
	var a, b bytes.Buffer
	_, _ = json.Compact(&a, c.settings), json.Compact(&b, o.settings) // both were read before
	for _, k := range []struct {
		name   string
		differ bool
	}{{"name", c.Name != o.Name}, {"listen", c.Listen != o.Listen}, {"limits.cores", c.Cores != o.Cores},
		{"limits.memory_mb", c.MemoryMB != o.MemoryMB}, {"limits.sockets", c.Sockets != o.Sockets},
		{"settings", !bytes.Equal(a.Bytes(), b.Bytes())}, {"our own settings", !reflect.DeepEqual(c.Own, o.Own)}} {
		if k.differ {
			keys = append(keys, k.name)
		}
	}
	return keys
}

func jsonFault(err error) string {
	if t, ok := err.(*json.UnmarshalTypeError); ok && t.Field != "" {
		return fmt.Sprintf("%s: a %s is not what belongs there", t.Field, t.Value)
	}
	return err.Error()
}

func address(key, addr string) error {
	if addr == "" {
		return fmt.Errorf("%s: missing; it takes the form IP:PORT", key)
	}
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return fmt.Errorf("%s: %q does not have the form IP:PORT", key, addr)
	}
	return nil
}

func first(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

func value[T any](p *T, absent T) T {
	if p == nil {
		return absent
	}
	return *p
}
