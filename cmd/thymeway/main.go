// Command thymeway is the coordinator: it serves clients over the network and lets the scheduler decide which worker group
// runs which query, and when.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"thymeway/internal/clock"
	"thymeway/internal/config"
	"thymeway/internal/deadline"
	"thymeway/internal/eventloop"
	"thymeway/internal/logs"
	"thymeway/internal/metrics"
	"thymeway/internal/node"
)

const (
	memoryLimitShare = 0.7 // share of the memory limit above which the garbage collector runs more often
	gcPercent        = 200 // percent by which the heap may grow between collections
	maxReadAttempts  = 20  // of a configuration file that temporarily can't be opened
	readRetryDelay   = 50 * time.Millisecond
)

// commands defines the commands and flags that kong parses.
type commands struct {
	Config   string   `help:"Our own settings." default:"${own}" env:"THYMEWAY_INI" type:"path" placeholder:"FILE"`
	Serve    struct{} `cmd:"" default:"1" help:"Serve until SIGTERM; the default. EDGE_CONFIG names the platform's configuration."`
	Check    struct{} `cmd:"" help:"Read every configuration, report all faults and exit with 1 if there is one."`
	Settings struct{} `cmd:"" help:"Print all of our own settings with their defaults."`
	Version  struct{} `cmd:"" help:"Print the version."`
}

func main() {
	slog.SetDefault(logs.New(os.Stderr, slog.LevelInfo))
	// A SIGHUP without a handler ends the program, so the handler is installed before anything else.
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	os.Exit(run(os.Args[1:], os.Getenv, os.Stdout, signals))
}

// run executes a command line and returns the exit code.
func run(args []string, getenv func(string) string, out io.Writer, signals <-chan os.Signal) int {
	var commandLine commands
	parser, err := kong.New(&commandLine, kong.Name("thymeway"), kong.Vars{"own": config.LocalFile}, kong.Writers(out, out),
		kong.Description("A coordinator in front of a fleet of query engines."))
	if err != nil {
		fmt.Fprintln(out, err)
		return 1
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(out, "thymeway: %v; see thymeway --help\n", err)
		return 2
	}
	localFile := commandLine.Config
	if getenv("THYMEWAY_INI") == "" && !strings.Contains(strings.Join(args, " "), "--config") {
		localFile = config.LocalFile // kong makes the default path absolute, but only this relative path may be missing
	}
	read := func() (config.Config, error) { return config.FromEnvironment(getenv, localFile) }
	switch ctx.Command() {
	case "check":
		return check(read, getenv, out)
	case "settings":
		config.WriteDefaults(out)
	case "version":
		fmt.Fprintln(out, version())
	default:
		c, err := readWithRetry(read)
		if err != nil {
			for _, f := range splitErrors(err) {
				slog.Error("configuration-refused", "error", f)
			}
			return 1
		}
		slog.SetDefault(logs.New(os.Stderr, c.Local.LogLevel))
		c.ProcessSeed = [2]uint64{rand.Uint64(), rand.Uint64()}
		if err := serve(c, read, signals); err != nil {
			slog.Error("stopped", "error", err)
			return 1
		}
		slog.Info("stopped", "name", c.Name)
	}
	return 0
}

// readWithRetry reads the configuration, and tries again a few times if it temporarily can't be opened.
func readWithRetry(read func() (config.Config, error)) (c config.Config, err error) {
	for range maxReadAttempts {
		if c, err = read(); err == nil || !config.Transient(err) {
			break
		}
		time.Sleep(readRetryDelay)
	}
	return c, err
}

// splitErrors returns the single errors that err joins, each with the prefix that wraps the joined error.
func splitErrors(err error) (all []error) {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		for _, e := range joined.Unwrap() {
			all = append(all, splitErrors(e)...)
		}
		return all
	}
	wrapped := errors.Unwrap(err)
	if _, joined := wrapped.(interface{ Unwrap() []error }); !joined {
		return []error{err}
	}
	prefix := strings.TrimSuffix(err.Error(), wrapped.Error())
	for _, e := range splitErrors(wrapped) {
		all = append(all, fmt.Errorf("%s%w", prefix, e))
	}
	return all
}

// check reads the configuration, writes a summary or all faults to out, and returns the exit code.
func check(read func() (config.Config, error), getenv func(string) string, out io.Writer) int {
	c, err := read()
	if err != nil {
		for _, f := range splitErrors(err) {
			fmt.Fprintln(out, f)
		}
		return 1
	}
	fmt.Fprintf(out, "ok: %s serves %s with %d classes, %d tenants and %.0f MB\n",
		c.Name, c.Listen, len(c.Scheduler.Classes), len(c.Scheduler.Tenants), c.MemoryMB)
	return 0
}

// version returns the program's name, the revision that it was built from and the Go version.
func version() string {
	text, info := "thymeway", map[string]string{}
	build, ok := debug.ReadBuildInfo()
	if !ok {
		return text
	}
	for _, s := range build.Settings {
		info[s.Key] = s.Value
	}
	if revision := info["vcs.revision"]; revision != "" {
		text += " " + revision[:min(12, len(revision))]
		if info["vcs.modified"] == "true" {
			text += "+changes"
		}
	}
	return text + " " + build.GoVersion
}

// serve runs the coordinator until SIGTERM or SIGINT has arrived and all accepted requests are answered. SIGHUP reloads the
// configuration.
func serve(c config.Config, read func() (config.Config, error), signals <-chan os.Signal) error {
	debug.SetMemoryLimit(int64(c.MemoryMB * memoryLimitShare * (1 << 20)))
	debug.SetGCPercent(gcPercent)
	queue := deadline.New()
	now := clock.New().Now
	loop := &eventloop.Loop{Deadlines: queue, Now: now, ConnectTimeout: c.ConnectTimeout}
	n, err := node.New(c, loop, queue, now, loop.RequestTurn)
	if err != nil {
		return err
	}
	loop.Accept = n.Accept
	n.WallClock = clock.NewMonitor()
	loop.Turn = n.Turn
	loop.FreeDescriptor = n.FreeDescriptor
	loop.OnStart = func() {
		slog.Info("ready", "name", c.Name, "listen", strings.Join(n.ListenAddrs(), ","), "classes", len(c.Scheduler.Classes),
			"rss_kb", processMemoryKB(os.Getpid(), "VmRSS"))
		n.Discovery.Start()
	}
	go func() {
		for s := range signals {
			loop.Do(func() {
				if s == syscall.SIGHUP {
					n.Reload(read)
				} else {
					n.ShutDown(loop.Stop)
				}
			})
		}
	}()
	if c.Local.MetricsListen != "" {
		l, err := net.Listen("tcp", c.Local.MetricsListen)
		if err != nil {
			return fmt.Errorf("[metrics] listen: %w", err)
		}
		defer metrics.StartServer(l, snapshotFunc(loop, n)).Close()
	}
	err = loop.Run(n.ListenAddrs()...)
	n.Close()
	return err
}

// snapshotFunc returns a function with which other goroutines get a copy of the event loop's counters. Calls are served one at
// a time; a call that is not served before its context ends returns the context's error.
func snapshotFunc(loop *eventloop.Loop, n *node.Node) func(context.Context) (metrics.Snapshot, error) {
	inUse := make(chan struct{}, 1)
	return func(ctx context.Context) (metrics.Snapshot, error) {
		select {
		case inUse <- struct{}{}:
		case <-ctx.Done():
			return metrics.Snapshot{}, ctx.Err()
		}
		snapshots := make(chan metrics.Snapshot, 1)
		loop.Do(func() {
			snapshots <- n.Snapshot()
			<-inUse
		})
		select {
		case s := <-snapshots:
			return s, nil
		case <-ctx.Done():
			return metrics.Snapshot{}, ctx.Err()
		}
	}
}

// processMemoryKB returns a memory figure from /proc/PID/status in KB, such as VmRSS, the resident memory. It returns 0 if the
// figure is not available.
func processMemoryKB(pid int, figure string) (kb int) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if _, err := fmt.Sscanf(line, figure+": %d kB", &kb); err == nil {
			return kb
		}
	}
	return 0
}
