package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// tempDir holds the files of a case.
var tempDir string

// object is a JSON object.
type object map[string]any

// class is a class of requests in the settings.
type class struct {
	name, idempotency string
	points, sloMs     float64
	hardLimitMs       float64
	threads           int
	isLoad, inOrder   bool
	waits             bool
}

// usualClasses are the three classes of the first deployment.
func usualClasses() []class {
	return []class{
		{name: "lookup", idempotency: "idempotent", points: 1, sloMs: 600, hardLimitMs: 3000, threads: 1, waits: true},
		{name: "report", idempotency: "idempotent", points: 12, sloMs: 1500, hardLimitMs: 20000, threads: 3, waits: true},
		{name: "load", idempotency: "deduplicated", points: 15, sloMs: 4000, hardLimitMs: 20000, threads: 2, isLoad: true,
			inOrder: true},
	}
}

// member is an engine in the list of discovery.
type member struct {
	id, addr, zone, phase string
	upSinceMs             int64
}

func (m member) json() object {
	return object{"id": m.id, "host_port": m.addr, "locality": m.zone, "flavor": "std-12", "cell": 0, "phase": m.phase, "size": 1,
		"up_since_ms": m.upSinceMs}
}

// fleet is the configuration of one coordinator.
type fleet struct {
	classes  []class
	members  []member
	board    string
	memoryMB int
	local    string // text of the local settings
	seed     string
	index    int // number of the coordinator
	of       int // number of coordinators; 0: one
}

// writeFiles writes the configuration and the local settings of a coordinator.
func (f fleet) writeFiles(listen string) (config, local string, err error) {
	var categories, isLoad, waits, threads []any
	for _, c := range f.classes {
		category := object{"name": c.name, "points": c.points, "lateWorth": 0.3, "sloMs": c.sloMs, "aimStretch": 2.5,
			"hardLimitMs": c.hardLimitMs, "idempotency": c.idempotency, "keyScope": "all", "dedupWindowMs": 12000, "streamed": false}
		if c.inOrder {
			category["byArrival"] = true
		}
		categories, isLoad, waits = append(categories, category), append(isLoad, c.isLoad), append(waits, c.waits)
		threads = append(threads, c.threads)
	}
	var members []any
	for _, m := range f.members {
		members = append(members, m.json())
	}
	text, err := json.MarshalIndent(object{
		"name": fmt.Sprintf("n%d", f.index+1), "listen": listen, "seed": f.seed, "board": f.board,
		"limits": object{"cores": 1, "memory_mb": f.memoryMB, "sockets": 1024},
		"known": object{"rev": 1, "notices": []any{object{"rev": 1,
			"pool": object{"revision": 1, "complete": true, "members": members}}}},
		"settings": object{
			"categories": categories,
			"ceilings": object{"cancelling": true, "connIdleMs": 15000, "connectTimeoutMs": 250, "maxAttempts": 6,
				"maxRetryAfterMs": 2000, "mayDuplicate": false, "peers": false, "probes": true, "retryAfter": true},
			"familyInfo": object{"classWaits": waits, "isLoad": isLoad, "parallelism": threads, "cpuOfKind": []int{12},
				"sizeMb": []int{24576}, "grantsCount": true, "largestShare": 0.4, "memoryShort": "page", "notePeriodMs": 1000,
				"ranksHeeded": false, "tellsCost": true},
			"index": f.index, "instances": max(f.of, 1), "locality": "room-a", "models": []string{"std-12"}, "membershipMode": "push",
			"overShareWorth": 0.05,
			"invariants": object{"answerSlackMs": 20, "askEveryMs": 10000, "coldFrom": 0.34, "drainGraceMs": 2000,
				"fallMultiple": 2.5, "orderSettleMs": 500, "overloadForMs": 3000, "warmAfterMs": 14000},
			"prices":  object{"probe": 0.01, "crossZone": 0.032},
			"report":  object{"fields": []string{"busy", "q"}, "via": "inline"},
			"tenants": []any{object{"name": "acme", "quotaPerS": 1000, "fraction": 1}},
		},
	}, "", " ")
	if err != nil {
		return "", "", err
	}
	config, local = filepath.Join(tempDir, fmt.Sprintf("config-%d.json", f.index)),
		filepath.Join(tempDir, fmt.Sprintf("thymeway-%d.ini", f.index))
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return "", "", err
	}
	return config, local, os.WriteFile(local, []byte(f.local), 0o600)
}

// freeAddr returns a loopback address on which nothing listens. Its host differs for each process of this program: coordinators
// share their addresses (SO_REUSEPORT), so that two cases that are played at once must not be given the same one.
func freeAddr() (string, error) {
	pid := os.Getpid()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+pid>>14&127, pid>>7&127, 1+pid&127))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// program is a coordinator that was started.
type program struct {
	cmd    *exec.Cmd
	pgAddr string
	ended  chan struct{}
}

var (
	programsMu sync.Mutex
	programs   []*program
)

// stopPrograms kills all programs that are still running.
func stopPrograms() {
	programsMu.Lock()
	defer programsMu.Unlock()
	for _, p := range programs {
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
	programs = nil
}

// deployCommand returns a command of the deploy file.
func deployCommand(key string) (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"`).FindSubmatch(text)
	if m == nil {
		return "", fmt.Errorf("deploy/balancer.toml has no %s", key)
	}
	return strings.ReplaceAll(string(m[1]), `\"`, `"`), nil
}

// startProgram starts a coordinator and waits until it has answered an empty query.
func startProgram(f fleet) (*program, error) {
	command, err := deployCommand("run")
	if err != nil {
		return nil, err
	}
	listen, err := freeAddr()
	if err != nil {
		return nil, err
	}
	config, local, err := f.writeFiles(listen)
	if err != nil {
		return nil, err
	}
	logName := filepath.Join(tempDir, fmt.Sprintf("log-%d.txt", f.index))
	logFile, err := os.Create(logName)
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	p := &program{cmd: exec.Command("/bin/sh", "-c", command), pgAddr: listen, ended: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), "EDGE_CONFIG="+config, "THYMEWAY_INI="+local, fmt.Sprintf("EDGE_NAME=n%d", f.index+1), "EDGE_LISTEN="+listen,
		"TMPDIR="+tempDir)
	p.cmd.Stdout, p.cmd.Stderr = logFile, logFile
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	programsMu.Lock()
	programs = append(programs, p)
	programsMu.Unlock()
	go func() {
		_ = p.cmd.Wait()
		note("the coordinator has ended: %v", p.cmd.ProcessState)
		close(p.ended)
	}()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if c, err := dialPG(listen); err == nil {
			a := c.query("", 2*time.Second)
			c.close()
			if a.kind == "empty" {
				note("the coordinator serves at %s", listen)
				return p, nil
			}
		}
	}
	text, _ := os.ReadFile(logName)
	return nil, errors.New("the coordinator does not start: " + string(bytes.TrimSpace(text)))
}

// ownMB returns the memory of the program in MB, without pages of files; 0 once it has ended.
func (p *program) ownMB() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	m := regexp.MustCompile(`(?m)^RssAnon:\s+(\d+) kB`).FindSubmatch(text)
	if m == nil {
		return 0
	}
	kb, _ := strconv.Atoi(string(m[1]))
	return float64(kb) / 1024
}

// running reports whether the program has not ended.
func (p *program) running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}
