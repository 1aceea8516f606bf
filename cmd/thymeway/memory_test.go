package main

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"thymeway/internal/standin"
)

// ownMemoryMB returns the memory of a process in MB, without pages of files.
func ownMemoryMB(t *testing.T, pid int) float64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for _, line := range strings.Split(string(status), "\n") {
		var kb float64
		if _, err := fmt.Sscanf(line, "RssAnon: %f kB", &kb); err == nil {
			return kb / 1024
		}
	}
	t.Fatal("the process has no RssAnon")
	return 0
}

// limitedProgram is the program as a process of its own with a limit on its memory, and six worker groups.
type limitedProgram struct {
	t                *testing.T
	process          *exec.Cmd
	pid              int
	memoryMB         float64
	pgAddr, httpAddr string
	metricsAddr      string
	groups           []*standin.WorkerGroup
	log              *strings.Builder
	requests         int // sent by otherClients
}

// startLimited starts the program with a memory limit in MB and waits until it serves clients of both protocols. script returns how
// queries end; replaced holds further texts of the example configuration and their replacements in turn.
func startLimited(t *testing.T, memoryMB float64, script func(standin.Query) standin.Answer, replaced ...string) *limitedProgram {
	t.Helper()
	var listed []string
	var groups []*standin.WorkerGroup
	for i := range 6 {
		group, addr := startGroup(t, script)
		listed, groups = append(listed, listedGroup(fmt.Sprint("s-", i), addr)), append(groups, group)
	}
	p := startLimitedWith(t, memoryMB, listed, "", replaced...)
	p.groups = groups
	return p
}

// startLimitedWith starts the program with a memory limit in MB, listed engines in the form of discovery, and further lines of the local
// settings.
func startLimitedWith(t *testing.T, memoryMB float64, listed []string, settings string, replaced ...string) *limitedProgram {
	t.Helper()
	dir := t.TempDir()
	p := &limitedProgram{t: t, memoryMB: memoryMB, pgAddr: freeAddr(t), httpAddr: freeAddr(t), metricsAddr: freeAddr(t)}
	file, localFile := filepath.Join(dir, "config.json"), filepath.Join(dir, "thymeway.ini")
	writeConfig(t, file, listed, append(replaced, "127.0.0.1:5499", p.pgAddr, "127.0.0.1:8599", freeAddr(t),
		`"memory_mb": 192`, fmt.Sprintf(`"memory_mb": %.0f`, memoryMB))...)
	if err := os.WriteFile(localFile, []byte("[clickhouse]\nlisten = "+p.httpAddr+"\n[metrics]\nlisten = "+p.metricsAddr+"\n"+settings), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("EDGE_CONFIG", file)
	t.Setenv("THYMEWAY_INI", localFile)
	p.start()
	return p
}

// start starts the program and waits until it serves clients of both protocols.
func (p *limitedProgram) start() {
	t := p.t
	t.Helper()
	program, log := startProgram(t)
	p.process, p.pid, p.log = program, program.Process.Pid, log
	t.Cleanup(func() {
		_ = program.Process.Kill()
		_ = program.Wait()
		if t.Failed() {
			t.Logf("log of the program:\n%s", log)
		}
	})
	client := &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(30 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if r, err := client.Get("http://" + p.httpAddr + "/ping"); err == nil {
			_ = r.Body.Close()
			return
		}
		if time.Now().After(end) {
			t.Fatal("the program does not start")
		}
	}
}

// restart kills the program and starts it again under its addresses, with the same configuration.
func (p *limitedProgram) restart() {
	p.t.Helper()
	_ = p.process.Process.Kill()
	_ = p.process.Wait()
	p.start()
}

// packedInsert returns an INSERT of some 900 KB, packed by gzip.
func packedInsert(t *testing.T) []byte {
	var packed bytes.Buffer
	z := gzip.NewWriter(&packed)
	text := "INSERT INTO sales_1.stock VALUES " + strings.Repeat("(17,'branch-017','2026-12-04','in stock'),", 22000) + "(1,'a','2026-12-04','b')"
	if _, err := io.WriteString(z, text); err != nil {
		t.Fatal(err)
	}
	if err := z.Close(); err != nil {
		t.Fatal(err)
	}
	return packed.Bytes()
}

// Guards against a process that is killed for its memory: hundreds of packed inserts come at once, each below the limit on one
// body. Each must be answered, some of them served, and the process must stay within the memory of its configuration.
func TestPackedInsertsExceedProcessMemory(t *testing.T) {
	const memoryMB, inserts = 64, 150
	p := startLimited(t, memoryMB, func(standin.Query) standin.Answer { return standin.Answer{RunTime: 800 * time.Millisecond} })
	client := &http.Client{Timeout: 30 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	body, statuses, all := packedInsert(t), make([]int, inserts), sync.WaitGroup{}
	for i := range inserts {
		all.Go(func() {
			request, err := http.NewRequest("POST", fmt.Sprintf("http://%s/?user=acme&order_key=k%d", p.httpAddr, i), bytes.NewReader(body))
			if err != nil {
				return
			}
			request.Header.Set("Content-Encoding", "gzip")
			if r, err := client.Do(request); err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				_ = r.Body.Close()
				statuses[i] = r.StatusCode
			}
		})
	}
	answered := make(chan struct{})
	go func() {
		all.Wait()
		close(answered)
	}()
	peakMB := 0.0
	for done := false; !done; {
		select {
		case <-answered:
			done = true
		case <-time.After(2 * time.Millisecond):
		}
		peakMB = max(peakMB, ownMemoryMB(t, p.pid))
	}
	counts := map[int]int{}
	for _, status := range statuses {
		counts[status]++
	}
	t.Logf("peak %.0f MB, answers by status %v", peakMB, counts)
	if peakMB > memoryMB || counts[0] > 0 || counts[200] == 0 {
		t.Errorf("peak %.0f MB of %d, answers by status %v", peakMB, memoryMB, counts)
	}
}
