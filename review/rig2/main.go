// Command rig2 plays the cases 6 to 10 of the review. Each case starts the coordinator with the command of the deploy file, as a
// process of its own, and holds the stand-ins for clients, engines, discovery and the network. It writes what was sent, answered
// and run to a record, and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// maxDuration ends a case that hangs. A script may run for 120 s.
const maxDuration = 110 * time.Second

// verdict is the exit code of a case.
type verdict int

const (
	held   verdict = 0
	broken verdict = 1
	notRun verdict = 2
)

// cases holds the cases by name. trouble says whether the disruption is played.
var cases = map[string]func(trouble bool) (verdict, error){}

// recorder writes the record of a case: a line for each thing that was sent, answered or run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

var record = &recorder{start: time.Now()}

// note writes one line with the time in ms since the start.
func note(format string, args ...any) {
	record.mu.Lock()
	defer record.mu.Unlock()
	fmt.Fprintf(record.file, "%9.1f  %s\n", sinceStart(time.Now()), fmt.Sprintf(format, args...))
}

// sinceStart returns a time in ms since the start of the case.
func sinceStart(t time.Time) float64 { return float64(t.Sub(record.start).Microseconds()) / 1000 }

func main() {
	runtime.LockOSThread() // a coordinator ends with the thread that has started it
	code, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	os.Exit(int(code))
}

// run plays the case that the command line names and returns its verdict.
func run() (verdict, error) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		return notRun, errors.New("usage: rig2 CASE FOLDER")
	}
	var err error
	if record.file, err = os.Create(filepath.Join(os.Args[2], "record.txt")); err != nil {
		return notRun, err
	}
	defer record.file.Close()
	temp, err := os.MkdirTemp("", "review-")
	if err != nil {
		return notRun, err
	}
	tempDir = temp
	defer os.RemoveAll(temp)
	defer stopPrograms()
	stop := func(why string) {
		stopPrograms()
		_ = os.RemoveAll(temp)
		fmt.Fprintln(os.Stderr, why)
		os.Exit(int(notRun))
	}
	time.AfterFunc(maxDuration, func() { stop("the case took too long") })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { stop("ended by " + (<-signals).String()) }()
	trouble := os.Getenv("TROUBLE") != "0"
	note("case %s, trouble %v", os.Args[1], trouble)
	code, err := cases[os.Args[1]](trouble)
	switch {
	case err != nil:
		note("could not run: %v", err)
		return notRun, err
	case code == broken:
		note("verdict: the rule was broken")
	case code == held:
		note("verdict: the rule was kept")
	default:
		note("verdict: the case could not run")
	}
	return code, nil
}
