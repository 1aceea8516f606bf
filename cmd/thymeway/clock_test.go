package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"thymeway/internal/standin"
	"thymeway/internal/wallclock"
)

// answerSlack is how late after the client's timeout the final answer may arrive.
const answerSlack = 500 * time.Millisecond

// testProcess is the program in a separate process whose wall clock a test can shift.
type testProcess struct {
	t            *testing.T
	addr         string
	clock        *wallclock.Clock
	discovery    *standin.Discovery
	log          *strings.Builder
	cmd          *exec.Cmd
	requestCount int // requests sent so far
}

// startTestProcess starts the program with the given listed worker groups. pairs replaces parts of the settings, as in
// writeConfig.
func startTestProcess(t *testing.T, groups []string, pairs ...string) *testProcess {
	t.Helper()
	return startShiftedTestProcess(t, 0, groups, pairs...)
}

// startShiftedTestProcess is like startTestProcess, with a wall clock that is off by shift from the start.
func startShiftedTestProcess(t *testing.T, shift time.Duration, groups []string, pairs ...string) *testProcess {
	t.Helper()
	dir := t.TempDir()
	clock, err := wallclock.New(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = clock.Close() })
	process := &testProcess{t: t, addr: freeAddr(t), clock: clock, discovery: &standin.Discovery{}, log: &strings.Builder{}}
	process.shiftClock(shift)
	discoveryAddr, err := process.discovery.Start(1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(process.discovery.Stop)
	file := filepath.Join(dir, "config.json")
	writeConfig(t, file, groups, append([]string{"127.0.0.1:5499", process.addr, "127.0.0.1:8599", discoveryAddr}, pairs...)...)
	process.cmd = exec.Command(os.Args[0])
	process.cmd.Env = append(os.Environ(), append(clock.Environment(), "THYMEWAY_AS_PROGRAM=1", "EDGE_CONFIG="+file)...)
	process.cmd.Stderr = process.log
	if err := process.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(process.stop)
	process.waitFor("a watch of discovery", process.discovery.HasWatcher)
	if err := clock.CheckLoaded(process.cmd.Process.Pid); err != nil {
		t.Fatal(err)
	}
	return process
}

// stop ends the program, and prints its log if the test has failed.
func (p *testProcess) stop() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	killTimer := time.AfterFunc(20*time.Second, func() { _ = p.cmd.Process.Kill() })
	err := p.cmd.Wait()
	killTimer.Stop()
	if err != nil {
		p.t.Errorf("the program ended with %v", err)
	}
	if p.t.Failed() {
		p.t.Logf("log of the program:\n%s", p.log)
	}
}

// waitFor waits until ready returns true, and fails the test after 30 s.
func (p *testProcess) waitFor(what string, ready func() bool) {
	p.t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !ready(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			p.t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// shiftClock sets the offset of the program's wall clock.
func (p *testProcess) shiftClock(offset time.Duration) {
	p.t.Helper()
	if err := p.clock.Shift(offset); err != nil {
		p.t.Fatal(err)
	}
}

// result is the result of a request, and the time from sending it to the answer.
type result struct {
	err     error
	elapsed time.Duration
}

// served reports whether the request succeeded. A connection that ended without a final answer fails the test.
func (p *testProcess) served(r result) bool {
	p.t.Helper()
	var failure *pgconn.PgError
	if r.err != nil && !errors.As(r.err, &failure) {
		p.t.Errorf("the client has no answer after %v: %v", r.elapsed, r.err)
	}
	return r.err == nil
}

// sendRequest sends a request of a class and delivers its result on the returned channel. The client waits until long after
// the timeout that the request carries.
func (p *testProcess) sendRequest(class string, limit time.Duration) <-chan result {
	p.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit+20*time.Second)
	conn, err := pgx.Connect(ctx, pgURL(p.addr))
	if err != nil {
		p.t.Fatal(err)
	}
	p.requestCount++
	text := fmt.Sprintf(
		"/* verb=%s,txn=%016x,limit=%d,team=acme,unique=u%d,item=k1,cpu=1000 */ INSERT INTO sales_17.orders SELECT a FROM staging.b",
		class, p.requestCount, limit.Milliseconds(), p.requestCount)
	if class == "lookup" {
		text = fmt.Sprintf("/* verb=lookup,txn=%016x,limit=%d,team=acme,cpu=1000 */ SELECT a FROM sales_17.orders",
			p.requestCount, limit.Milliseconds())
	}
	done, sent := make(chan result, 1), time.Now()
	go func() {
		defer cancel()
		_, err := conn.Exec(ctx, text)
		done <- result{err, time.Since(sent)}
		_ = conn.Close(ctx)
	}()
	return done
}

// startGroup starts a worker group and returns it with its address.
func startGroup(t *testing.T, script func(standin.Query) standin.Answer) (*standin.WorkerGroup, string) {
	t.Helper()
	group := &standin.WorkerGroup{Script: script}
	addr, err := group.Start("")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(group.Stop)
	return group, addr
}

// clockSteps are the steps of the wall clock that each test is run with. With step 0 the test must pass as well, which
// shows that a failure with another step is due to the step.
var clockSteps = []time.Duration{0, -5 * time.Second, -time.Hour, 5 * time.Second, time.Hour}

// forEachClockStep runs a parallel subtest for each clock step.
func forEachClockStep(t *testing.T, test func(t *testing.T, step time.Duration)) {
	for _, step := range clockSteps {
		t.Run(step.String(), func(t *testing.T) {
			t.Parallel()
			test(t, step)
		})
	}
}

// Guards against a repeat after the dedup window of a deduplicated request that may have run: with a step back of the wall clock,
// its first attempt would seem younger than the window.
func TestDeduplicatedRequestIsRepeatedAfterWindowWhenWallClockSteps(t *testing.T) {
	forEachClockStep(t, func(t *testing.T, step time.Duration) {
		const window = 1500 * time.Millisecond
		fail := make(chan struct{})
		first, addr := startGroup(t, func(standin.Query) standin.Answer { return standin.Answer{Until: fail, Status: 500} })
		second, later := startGroup(t, nil)
		process := startTestProcess(t, []string{listedGroup("s-1", addr)}, `"dedupWindowMs": 12000`,
			fmt.Sprintf(`"dedupWindowMs": %d`, window.Milliseconds()))
		answer := process.sendRequest("load", 4*time.Second)
		process.waitFor("the first attempt", func() bool { return len(first.Queries()) == 1 })
		sent := first.Queries()[0].ReceivedAt
		process.discovery.Publish(strings.Replace(listedGroup("s-1", addr), "Ready", "Terminating", 1))
		time.Sleep(200 * time.Millisecond)
		close(fail)
		time.Sleep(200 * time.Millisecond)
		process.shiftClock(step)
		time.Sleep(time.Until(sent.Add(window + 500*time.Millisecond)))
		process.discovery.Publish(listedGroup("s-2", later))
		r := <-answer
		for _, q := range append(first.Queries()[1:], second.Queries()...) {
			t.Errorf("sent again %v after the first attempt, window %v", q.ReceivedAt.Sub(sent), window)
		}
		if process.served(r); r.elapsed > 4*time.Second+answerSlack {
			t.Errorf("answered after %v, limit 4s", r.elapsed)
		}
	})
}

// Guards against a timeout long before or long after the client's, which happens if a step of the wall clock moves the
// request's deadline.
func TestAnswerIsEarlyOrLateWhenWallClockSteps(t *testing.T) {
	forEachClockStep(t, func(t *testing.T, step time.Duration) {
		const limit = 1500 * time.Millisecond
		g, addr := startGroup(t, func(standin.Query) standin.Answer { return standin.Answer{RunTime: time.Minute} })
		process := startTestProcess(t, []string{listedGroup("s-1", addr)})
		answer := process.sendRequest("lookup", limit)
		process.waitFor("the attempt", func() bool { return len(g.Queries()) > 0 })
		process.shiftClock(step)
		r := <-answer
		if process.served(r) || r.elapsed > limit+answerSlack || r.elapsed < limit-200*time.Millisecond {
			t.Errorf("answered after %v (%v), limit %v", r.elapsed, r.err, limit)
		}
	})
}

// Guards against the failure of a running request whose worker group answers in time: a step of the wall clock must not
// expire its deadline.
func TestRunningRequestIsFailedWhenWallClockSteps(t *testing.T) {
	forEachClockStep(t, func(t *testing.T, step time.Duration) {
		g, addr := startGroup(t, func(standin.Query) standin.Answer { return standin.Answer{RunTime: 1200 * time.Millisecond} })
		process := startTestProcess(t, []string{listedGroup("s-1", addr)})
		answer := process.sendRequest("lookup", 3*time.Second)
		process.waitFor("the attempt", func() bool { return len(g.Queries()) > 0 })
		process.shiftClock(step)
		if r := <-answer; !process.served(r) {
			t.Errorf("after %v: %v", r.elapsed, r.err)
		}
		if n := len(g.Queries()); n != 1 {
			t.Errorf("%d attempts", n)
		}
	})
}

// Guards against a time budget sent to a worker group that exceeds the time the client still waits, which happens if a step
// of the wall clock changes the remaining time.
func TestBudgetIsTooLongWhenWallClockSteps(t *testing.T) {
	forEachClockStep(t, func(t *testing.T, step time.Duration) {
		const limit = 4 * time.Second
		const slack = 150 * time.Millisecond
		g, addr := startGroup(t, nil)
		process := startTestProcess(t, []string{strings.Replace(listedGroup("s-1", addr), "Ready", "Terminating", 1)})
		sent := time.Now()
		answer := process.sendRequest("lookup", limit)
		time.Sleep(300 * time.Millisecond)
		process.shiftClock(step)
		time.Sleep(time.Second)
		process.discovery.Publish(listedGroup("s-2", addr))
		if r := <-answer; !process.served(r) {
			t.Errorf("after %v: %v", r.elapsed, r.err)
		}
		for _, q := range g.Queries() {
			if left := limit - q.ReceivedAt.Sub(sent); q.Budget > left+slack {
				t.Errorf("budget of %v, the client has %v left", q.Budget, left)
			}
		}
	})
}

// Guards against overloading a worker group that has just started, or leaving it idle for too long, if the wall clock is wrong
// when the program starts: the discovery service reports start times by the correct clock.
func TestColdWorkerGroupIsOverloadedWhenWallClockIsWrong(t *testing.T) {
	forEachClockStep(t, func(t *testing.T, offset time.Duration) {
		const requests = 100
		g, addr := startGroup(t, nil)
		process := startShiftedTestProcess(t, offset,
			[]string{strings.Replace(listedGroup("s-1", addr), "Ready", "Terminating", 1)},
			`"warmAfterMs": 14000`, `"warmAfterMs": 4000`)
		started := time.Now()
		process.discovery.Publish(strings.Replace(listedGroup("s-2", addr), `"up_since_ms": 0`,
			fmt.Sprintf(`"up_since_ms": %d`, started.UnixMilli()), 1))
		answers := make([]<-chan result, requests)
		for i := range answers {
			answers[i] = process.sendRequest("lookup", 12*time.Second)
		}
		// While the group is cold, the settings allow 2.5 times 0.34 of what 12 cores do at 85% in 3 s, that is 26 requests of
		// 1 s of work, plus a tolerance of 3 * sqrt(26) + 3.
		const allowed = 26 + 18
		time.Sleep(time.Until(started.Add(2 * time.Second)))
		if n := len(g.Queries()); n > allowed {
			t.Errorf("%d requests in the 2 s after the start, %d allowed", n, allowed)
		}
		served := 0
		for _, results := range answers {
			if r := <-results; process.served(r) {
				served++
			}
		}
		if served < requests*9/10 {
			t.Errorf("%d of %d served, though the group is warm after 4 s", served, requests)
		}
	})
}
