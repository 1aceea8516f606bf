// Command thymeway is the real coordinator: it serves clients on sockets and lets the decision module choose which
// worker group runs which query and when.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	stdnet "net"
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
	"thymeway/internal/logs"
	"thymeway/internal/metrics"
	"thymeway/internal/net"
	"thymeway/internal/node"
)

const (
	memoryShare = 0.7 // of the limit, at which the collector works harder
	garbage     = 200 // percent that the heap may grow between collections
	readTries   = 20  // readings of a configuration that can't be opened for a moment
	readPause   = 50 * time.Millisecond
)

// commands is the command line.
type commands struct {
	Config   string   `help:"Our own settings." default:"${own}" env:"THYMEWAY_INI" type:"path" placeholder:"FILE"`
	Serve    struct{} `cmd:"" default:"1" help:"Serve until SIGTERM; the default. EDGE_CONFIG names the platform's configuration."`
	Check    struct{} `cmd:"" help:"Read every configuration, report all faults and exit with 1 if there is one."`
	Settings struct{} `cmd:"" help:"Print all of our own settings with their defaults."`
	Version  struct{} `cmd:"" help:"Print the version."`
}

func main() {
	slog.SetDefault(logs.New(os.Stderr, slog.LevelInfo))
	// Danger: SIGHUP ends a program that does not ask for it, so it is asked for before anything else.
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	os.Exit(run(os.Args[1:], os.Getenv, os.Stdout, signals))
}

// run carries a command line out and tells with which code the program ends.
func run(args []string, getenv func(string) string, out io.Writer, signals <-chan os.Signal) int {
	var line commands
	p, err := kong.New(&line, kong.Name("thymeway"), kong.Vars{"own": config.LocalFile}, kong.Writers(out, out),
		kong.Description("A coordinator in front of a fleet of query engines."))
	if err != nil {
		fmt.Fprintln(out, err)
		return 1
	}
	ctx, err := p.Parse(args)
	if err != nil {
		fmt.Fprintf(out, "thymeway: %v; see thymeway --help\n", err)
		return 2
	}
	own := line.Config
	if getenv("THYMEWAY_INI") == "" && !strings.Contains(strings.Join(args, " "), "--config") {
		own = config.LocalFile // kong makes an absolute path of it, which is no longer the one that may be missing
	}
	read := func() (config.Config, error) { return config.FromEnvironment(getenv, own) }
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
			for _, f := range faults(err) {
				slog.Error("configuration-refused", "error", f)
			}
			return 1
		}
		slog.SetDefault(logs.New(os.Stderr, c.Local.LogLevel))
		if err := serve(c, read, signals); err != nil {
			slog.Error("stopped", "error", err)
			return 1
		}
		slog.Info("stopped", "name", c.Name)
	}
	return 0
}

// readWithRetry reads a configuration, a few times where it can't be opened for a moment.
func readWithRetry(read func() (config.Config, error)) (c config.Config, err error) {
	for range readTries {
		if c, err = read(); err == nil || !config.Transient(err) {
			break
		}
		time.Sleep(readPause)
	}
	return c, err
}

// faults are the single faults that an error joins.
func faults(err error) (all []error) {
	if joined, ok := err.(interface{ Unwrap() []error }); ok {
		for _, e := range joined.Unwrap() {
			all = append(all, faults(e)...)
		}
		return all
	}
	next := errors.Unwrap(err)
	if _, joined := next.(interface{ Unwrap() []error }); !joined {
		return []error{err}
	}
	prefix := strings.TrimSuffix(err.Error(), next.Error())
	for _, e := range faults(next) {
		all = append(all, fmt.Errorf("%s%w", prefix, e))
	}
	return all
}

func check(read func() (config.Config, error), getenv func(string) string, out io.Writer) int {
	c, err := read()
	if err != nil {
		for _, f := range faults(err) {
			fmt.Fprintln(out, f)
		}
		return 1
	}
	fmt.Fprintf(out, "ok: %s serves %s with %d classes, %d tenants and %.0f MB\n", c.Name, c.Listen, len(c.Scheduler.Classes), len(c.Scheduler.Tenants), c.MemoryMB)
	return 0
}

// version is what the build was made of.
func version() string {
	v, info := "thymeway", map[string]string{}
	b, ok := debug.ReadBuildInfo()
	if !ok {
		return v
	}
	for _, s := range b.Settings {
		info[s.Key] = s.Value
	}
	if r := info["vcs.revision"]; r != "" {
		v += " " + r[:min(12, len(r))]
		if info["vcs.modified"] == "true" {
			v += "+changes"
		}
	}
	return v + " " + b.GoVersion
}

// serve runs until SIGTERM, and on until all that was taken is answered. SIGHUP reads the configuration anew.
func serve(c config.Config, read func() (config.Config, error), signals <-chan os.Signal) error {
	debug.SetMemoryLimit(int64(c.MemoryMB * memoryShare * (1 << 20)))
	debug.SetGCPercent(garbage)
	queue := deadline.New()
	now := clock.New().Now
	loop := &net.Loop{Deadlines: queue, Now: now, ConnectTimeout: c.ConnectTimeout}
	n, err := node.New(c, loop, queue, now, loop.Ask)
	if err != nil {
		return err
	}
	loop.Accept = n.Accept
	n.Clock = clock.NewMonitor()
	loop.Turn = n.Turn
	loop.Exhausted = n.FreeDescriptor
	loop.Ready = func() {
		slog.Info("ready", "name", c.Name, "listen", strings.Join(n.Listen(), ","), "classes", len(c.Scheduler.Classes), "rss_kb", memory(os.Getpid(), "VmRSS"))
		n.Watch.Start()
	}
	go func() {
		for s := range signals {
			loop.Do(func() {
				if s == syscall.SIGHUP {
					n.Reload(read)
				} else {
					n.Leave(loop.Stop)
				}
			})
		}
	}()
	if c.Local.MetricsListen != "" {
		l, err := stdnet.Listen("tcp", c.Local.MetricsListen)
		if err != nil {
			return fmt.Errorf("[metrics] listen: %w", err)
		}
		defer metrics.Server(l, copies(loop, n)).Close()
	}
	err = loop.Run(n.Listen()...)
	n.Close()
	return err
}

// copies gives others than the loop what it counted. One asks at a time: who does not get his turn in time goes without.
func copies(loop *net.Loop, n *node.Node) func(context.Context) (metrics.Snapshot, error) {
	turn := make(chan struct{}, 1)
	return func(ctx context.Context) (metrics.Snapshot, error) {
		select {
		case turn <- struct{}{}:
		case <-ctx.Done():
			return metrics.Snapshot{}, ctx.Err()
		}
		got := make(chan metrics.Snapshot, 1)
		loop.Do(func() {
			got <- n.Snapshot()
			<-turn
		})
		select {
		case s := <-got:
			return s, nil
		case <-ctx.Done():
			return metrics.Snapshot{}, ctx.Err()
		}
	}
}

// memory is a figure of a process's memory in KB, such as VmRSS, what is resident; 0 where the system does not tell.
func memory(pid int, figure string) (kb int) {
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
