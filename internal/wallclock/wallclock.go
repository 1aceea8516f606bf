// Package wallclock shifts the wall clock of single processes, for tests. The monotonic clock of such a process and all
// clocks of other processes are unaffected. It requires a C compiler, and x86-64 or arm64.
package wallclock

import (
	"bytes"
	_ "embed"
	"encoding/binary"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

//go:embed shim/wallclock.c
var shimSource []byte

// Clock controls the wall clock of processes that are started with its Environment.
type Clock struct {
	libraryPath string
	controlFile *os.File
}

// New builds the shim library in dir, which must last as long as the clock is used. The clock is not shifted until Shift is
// called.
func New(dir string) (*Clock, error) {
	sourcePath, libraryPath := filepath.Join(dir, "wallclock.c"), filepath.Join(dir, "wallclock.so")
	if err := os.WriteFile(sourcePath, shimSource, 0o600); err != nil {
		return nil, err
	}
	compiler := exec.Command("cc", "-O1", "-shared", "-fPIC", "-o", libraryPath, sourcePath)
	if out, err := compiler.CombinedOutput(); err != nil {
		return nil, fmt.Errorf("building the shim: %w: %s", err, out)
	}
	controlFile, err := os.Create(filepath.Join(dir, "wallclock.shift"))
	if err != nil {
		return nil, err
	}
	c := &Clock{libraryPath: libraryPath, controlFile: controlFile}
	return c, c.Shift(0)
}

// Environment returns the environment variables that a process needs to use this clock.
func (c *Clock) Environment() []string {
	return []string{"LD_PRELOAD=" + c.libraryPath, "WALL_CLOCK_SHIFT=" + c.controlFile.Name()}
}

// CheckLoaded returns an error if a process runs without the shim, so that shifting has no effect on it: a program that is linked
// statically ignores LD_PRELOAD.
func (c *Clock) CheckLoaded(pid int) error {
	maps, err := os.ReadFile(fmt.Sprintf("/proc/%d/maps", pid))
	if err != nil {
		return err
	}
	if !bytes.Contains(maps, []byte(c.libraryPath)) {
		return fmt.Errorf("process %d has not loaded %s", pid, c.libraryPath)
	}
	return nil
}

// Shift sets the offset of the wall clock, with immediate effect. It replaces the previous offset.
func (c *Clock) Shift(offset time.Duration) error {
	_, err := c.controlFile.WriteAt(binary.NativeEndian.AppendUint64(nil, uint64(offset)), 0)
	return err
}

// Close closes the control file. Running processes keep the last offset.
func (c *Clock) Close() error { return c.controlFile.Close() }
