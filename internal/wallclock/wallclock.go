// Package wallclock steps the wall clock of single processes, for tests. The monotonic clock of such a process, and all
// clocks of others, stay as they are. A C compiler is needed, and x86-64.
package wallclock

import (
	_ "embed"
	"encoding/binary"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

//go:embed shim/wallclock.c
var source []byte

// Clock is the wall clock of one process.
type Clock struct {
	library string
	control *os.File
}

// New builds the shim in a folder of the caller's own. The clock is right until Shift.
func New(dir string) (*Clock, error) {
	text, library := filepath.Join(dir, "wallclock.c"), filepath.Join(dir, "wallclock.so")
	if err := os.WriteFile(text, source, 0o600); err != nil {
		return nil, err
	}
	compiler := exec.Command("cc", "-O1", "-shared", "-fPIC", "-o", library, text)
	if out, err := compiler.CombinedOutput(); err != nil {
		return nil, fmt.Errorf("building the shim: %w: %s", err, out)
	}
	control, err := os.Create(filepath.Join(dir, "wallclock.shift"))
	if err != nil {
		return nil, err
	}
	c := &Clock{library: library, control: control}
	return c, c.Shift(0)
}

// Environment is what a process has to be started with.
func (c *Clock) Environment() []string {
	return []string{"LD_PRELOAD=" + c.library, "WALL_CLOCK_SHIFT=" + c.control.Name()}
}

// Shift sets by how much the wall clock is off, at once.
func (c *Clock) Shift(by time.Duration) error {
	_, err := c.control.WriteAt(binary.NativeEndian.AppendUint64(nil, uint64(by)), 0)
	return err
}

// Close frees the control file. Processes that run keep the last shift.
func (c *Clock) Close() error { return c.control.Close() }
