// Command rig plays one case of the review. It starts the coordinator as a process of its own, stands in for the worker
// groups, the notice board and the clients around it on loopback addresses, and judges what these saw.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1
	exitNotRun = 2 // the case couldn't run
)

const longestPlay = 115 * time.Second

// record writes what was sent, answered and run, one line each, with the time since the start in seconds.
type record struct {
	mu      sync.Mutex
	out     *bufio.Writer
	startAt time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.4f %s\n", time.Since(r.startAt).Seconds(), fmt.Sprintf(format, args...))
}

// flush writes what is buffered. No line can be added after it.
func (r *record) flush() error {
	r.mu.Lock()
	return r.out.Flush()
}

// current is the record of the play.
var current *record

// notRun ends the program because the case couldn't run. The coordinator ends with it.
func notRun(format string, args ...any) {
	text := fmt.Sprintf("not run: "+format, args...)
	if current != nil {
		current.add("%s", text)
		_ = current.flush()
	}
	fmt.Fprintln(os.Stderr, text)
	os.Exit(exitNotRun)
}

// freeAddr returns a loopback address whose port is free now.
func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		notRun("%v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

// coordinator is the running process.
type coordinator struct {
	process *exec.Cmd
	addr    string      // for PostgreSQL clients
	http    string      // for ClickHouse clients
	killed  atomic.Bool // by the platform, for its memory
	ended   chan error  // receives the result of the process once
}

// startCoordinator writes the configuration and starts the command of the deploy file.
func startCoordinator(command, folder string, d *deployment) *coordinator {
	c := &coordinator{addr: freeAddr(), http: freeAddr(), ended: make(chan error, 1)}
	config, local := filepath.Join(folder, "config.json"), filepath.Join(folder, "thymeway.ini")
	text, err := json.Marshal(d.configuration(c.addr))
	if err == nil {
		err = os.WriteFile(config, text, 0o600)
	}
	if err == nil {
		err = os.WriteFile(local, []byte("[clickhouse]\nlisten = "+c.http+"\n"), 0o600)
	}
	if err != nil {
		notRun("%v", err)
	}
	log, err := os.Create(filepath.Join(folder, "coordinator.log"))
	if err != nil {
		notRun("%v", err)
	}
	c.process = exec.Command("/bin/sh", "-c", command)
	c.process.Env = append(os.Environ(), "EDGE_CONFIG="+config, "EDGE_NAME=n0", "EDGE_LISTEN="+c.addr, "THYMEWAY_INI="+local,
		"TMPDIR="+folder)
	c.process.Stdout, c.process.Stderr = log, log
	c.process.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if err := c.process.Start(); err != nil {
		notRun("%v", err)
	}
	go func() { c.ended <- c.process.Wait() }()
	for deadline := time.Now().Add(20 * time.Second); ; {
		if s, err := connect(c.addr); err == nil {
			empty := s.emptyQuery()
			s.close()
			if empty == nil {
				return c
			}
		}
		if time.Now().After(deadline) {
			c.stop()
			notRun("the coordinator did not get ready")
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// watchMemory does what the platform does: it kills the process once its memory is over the limit. Only memory of its own
// counts here (RssAnon), no page of a file. It returns a function that ends the watch and tells the highest figure in MB and
// whether the process was killed.
func (c *coordinator) watchMemory(r *record, limitMB int) func() (peakMB int, killed bool) {
	finish, result := make(chan struct{}), make(chan struct{})
	peakKB := 0
	go func() {
		defer close(result)
		for !c.killed.Load() {
			select {
			case <-finish:
				return
			case <-time.After(10 * time.Millisecond):
			}
			text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", c.process.Process.Pid))
			for _, line := range strings.Split(string(text), "\n") {
				kb := 0
				if _, err := fmt.Sscanf(line, "RssAnon: %d kB", &kb); err == nil {
					peakKB = max(peakKB, kb)
				}
			}
			if peakKB > limitMB<<10 {
				r.add("platform kills the coordinator: %d kB, limit %d MB", peakKB, limitMB)
				c.killed.Store(true)
				_ = c.process.Process.Kill()
			}
		}
	}()
	return func() (int, bool) {
		close(finish)
		<-result
		return peakKB >> 10, c.killed.Load()
	}
}

// stop ends the process in an orderly way, and kills it if it takes too long.
func (c *coordinator) stop() {
	_ = c.process.Process.Signal(syscall.SIGTERM)
	select {
	case <-c.ended:
	case <-time.After(6 * time.Second):
		_ = syscall.Kill(-c.process.Process.Pid, syscall.SIGKILL)
		<-c.ended
	}
}

func main() {
	runtime.LockOSThread() // the coordinator is killed when this thread ends
	number := flag.Int("case", 0, "number of the case")
	command := flag.String("run", "exec bin/thymeway", "command that starts the coordinator")
	recordFile := flag.String("record", "record.txt", "file for what was sent, answered and run")
	folder := flag.String("folder", "", "temporary folder")
	trouble := flag.Bool("trouble", true, "play the disruption")
	seed := flag.Int64("seed", 1, "for all that is drawn")
	flag.Parse()
	play := cases[*number]
	if play == nil || *folder == "" {
		notRun("no such case, or no folder")
	}
	file, err := os.Create(*recordFile)
	if err != nil {
		notRun("%v", err)
	}
	r := &record{out: bufio.NewWriter(file), startAt: time.Now()}
	current = r
	time.AfterFunc(longestPlay, func() { notRun("the play took too long") })
	w := &world{record: r, random: rand.New(rand.NewSource(*seed)), trouble: *trouble, command: *command, folder: *folder}
	verdict, text := play(w)
	r.add("verdict exit=%d %s", verdict, text)
	if err := r.flush(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	fmt.Printf("exit=%d %s\n", verdict, text)
	os.Exit(verdict)
}
