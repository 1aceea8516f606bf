package wallclock

import (
	"bufio"
	"fmt"
	"math"
	_ "net" // links the test binary against the C library: LD_PRELOAD has no effect on a static program
	"os"
	"os/exec"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// childVariable makes the test binary print its clocks for each line of its input, in place of running the tests.
const childVariable = "WALL_CLOCK_TEST_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childVariable) == "" {
		os.Exit(m.Run())
	}
	for lines := bufio.NewScanner(os.Stdin); lines.Scan(); {
		var monotonic unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
			fmt.Println(err)
			os.Exit(1)
		}
		fmt.Println(time.Now().UnixNano(), monotonic.Nano())
	}
}

// Guards against tests of stepped clocks that pass because nothing was stepped: the wall clock of a started process must move by what
// it is shifted by, at once, and neither its monotonic clock nor the clock of this process.
func TestWallClockOfProcessMoves(t *testing.T) {
	const tolerance = 5 * time.Second // for a busy machine; all shifts are far larger
	clock, err := New(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	defer clock.Close()
	child := exec.Command(os.Args[0])
	child.Env = append(append(os.Environ(), clock.Environment()...), childVariable+"=1")
	child.Stderr = os.Stderr
	input, err := child.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	output, err := child.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	if err := clock.CheckLoaded(os.Getpid()); err == nil {
		t.Error("this process seems to have loaded the shim")
	}
	defer func() {
		_ = input.Close()
		_ = child.Wait()
	}()
	answers := bufio.NewReader(output)
	// read returns how far the child's clocks are ahead of this process's.
	read := func() (wall, monotonic time.Duration) {
		t.Helper()
		if _, err := fmt.Fprintln(input); err != nil {
			t.Fatal(err)
		}
		var wallNs, monotonicNs int64
		if _, err := fmt.Fscanln(answers, &wallNs, &monotonicNs); err != nil {
			t.Fatal(err)
		}
		var own unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &own); err != nil {
			t.Fatal(err)
		}
		return time.Duration(wallNs - time.Now().UnixNano()), time.Duration(monotonicNs - own.Nano())
	}
	read()
	if err := clock.CheckLoaded(child.Process.Pid); err != nil {
		t.Error(err)
	}
	for _, shift := range []time.Duration{0, time.Hour, -time.Hour, 24 * time.Hour, 0} {
		if err := clock.Shift(shift); err != nil {
			t.Fatal(err)
		}
		wall, monotonic := read()
		if math.Abs(float64(wall-shift)) > float64(tolerance) || math.Abs(float64(monotonic)) > float64(tolerance) {
			t.Errorf("shifted by %v: the wall clock is ahead by %v, the monotonic clock by %v", shift, wall, monotonic)
		}
	}
}
