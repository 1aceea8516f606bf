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

// answerSlack is by how much the final answer may come after the client's limit.
const answerSlack = 500 * time.Millisecond

// site is the program as a process of its own, whose wall clock the test steps, with one worker group listed.
type site struct {
	t         *testing.T
	addr      string
	clock     *wallclock.Clock
	discovery *standin.Discovery
	log       *strings.Builder
	process   *exec.Cmd
	asked     int // requests so far
}

// newSite starts the program in front of worker groups, as discovery lists them; pairs replace parts of the settings.
func newSite(t *testing.T, groups []string, pairs ...string) *site {
	t.Helper()
	return newSiteAt(t, 0, groups, pairs...)
}

// newSiteAt does the same where the wall clock is wrong from the start.
func newSiteAt(t *testing.T, shift time.Duration, groups []string, pairs ...string) *site {
	t.Helper()
	dir := t.TempDir()
	clock, err := wallclock.New(dir)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = clock.Close() })
	s := &site{t: t, addr: free(t), clock: clock, discovery: &standin.Discovery{}, log: &strings.Builder{}}
	s.shift(shift)
	board, err := s.discovery.Start(1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.discovery.Stop)
	file := filepath.Join(dir, "config.json")
	configure(t, file, groups, append([]string{"127.0.0.1:5499", s.addr, "127.0.0.1:8599", board}, pairs...)...)
	s.process = exec.Command(os.Args[0])
	s.process.Env = append(os.Environ(), append(clock.Environment(), "THYMEWAY_AS_PROGRAM=1", "EDGE_CONFIG="+file)...)
	s.process.Stderr = s.log
	if err := s.process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.stop)
	s.wait("discovery to be followed", s.discovery.Watched)
	return s
}

// stop ends the program; its log is shown where the test failed.
func (s *site) stop() {
	_ = s.process.Process.Signal(syscall.SIGTERM)
	kill := time.AfterFunc(20*time.Second, func() { _ = s.process.Process.Kill() })
	err := s.process.Wait()
	kill.Stop()
	if err != nil {
		s.t.Errorf("the program ended with %v", err)
	}
	if s.t.Failed() {
		s.t.Logf("log of the program:\n%s", s.log)
	}
}

func (s *site) wait(what string, ready func() bool) {
	s.t.Helper()
	for end := time.Now().Add(30 * time.Second); !ready(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("waited in vain for %s", what)
		}
	}
}

func (s *site) shift(by time.Duration) {
	s.t.Helper()
	if err := s.clock.Shift(by); err != nil {
		s.t.Fatal(err)
	}
}

// verdict is what a client was answered, and how long after it sent its request.
type verdict struct {
	err  error
	took time.Duration
}

// served tells whether rows came; a connection that ended without an answer is told as a failure of the test.
func (s *site) served(v verdict) bool {
	s.t.Helper()
	var failure *pgconn.PgError
	if v.err != nil && !errors.As(v.err, &failure) {
		s.t.Errorf("after %v the client has no answer: %v", v.took, v.err)
	}
	return v.err == nil
}

// ask sends a request of a class and gives its answer later. The client waits for long past its limit.
func (s *site) ask(class string, limit time.Duration) <-chan verdict {
	s.t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), limit+20*time.Second)
	conn, err := pgx.Connect(ctx, pgURL(s.addr))
	if err != nil {
		s.t.Fatal(err)
	}
	s.asked++
	text := fmt.Sprintf("/* verb=%s,txn=%016x,limit=%d,team=acme,unique=u%d,item=k1,cpu=1000 */ INSERT INTO sales_17.orders SELECT a FROM staging.b",
		class, s.asked, limit.Milliseconds(), s.asked)
	if class == "lookup" {
		text = fmt.Sprintf("/* verb=lookup,txn=%016x,limit=%d,team=acme,cpu=1000 */ SELECT a FROM sales_17.orders", s.asked, limit.Milliseconds())
	}
	done, sent := make(chan verdict, 1), time.Now()
	go func() {
		defer stop()
		_, err := conn.Exec(ctx, text)
		done <- verdict{err, time.Since(sent)}
		_ = conn.Close(ctx)
	}()
	return done
}

// group starts a worker group.
func group(t *testing.T, script func(standin.Query) standin.Answer) (*standin.WorkerGroup, string) {
	t.Helper()
	g := &standin.WorkerGroup{Script: script}
	addr, err := g.Start("")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(g.Stop)
	return g, addr
}

// steps are by how much the wall clock is stepped; none shows that the rest of a test keeps the rules.
var steps = []time.Duration{0, -5 * time.Second, -time.Hour, 5 * time.Second, time.Hour}

func eachStep(t *testing.T, play func(t *testing.T, step time.Duration)) {
	for _, step := range steps {
		t.Run(step.String(), func(t *testing.T) {
			t.Parallel()
			play(t, step)
		})
	}
}

// A keyed request that may have run was sent again after its window, as a step back made its first attempt look young.
func TestKeyedRequestIsRepeatedAfterWindowWhenWallClockSteps(t *testing.T) {
	eachStep(t, func(t *testing.T, step time.Duration) {
		const window = 1500 * time.Millisecond
		fail := make(chan struct{})
		first, addr := group(t, func(standin.Query) standin.Answer { return standin.Answer{Until: fail, Status: 500} })
		second, later := group(t, nil)
		s := newSite(t, []string{member("s-1", addr)}, `"dedupWindowMs": 12000`, fmt.Sprintf(`"dedupWindowMs": %d`, window.Milliseconds()))
		answer := s.ask("load", 4*time.Second)
		s.wait("the first attempt", func() bool { return len(first.Queries()) == 1 })
		sent := first.Queries()[0].Came
		s.discovery.Publish(strings.Replace(member("s-1", addr), "Ready", "Terminating", 1))
		time.Sleep(200 * time.Millisecond)
		close(fail)
		time.Sleep(200 * time.Millisecond)
		s.shift(step)
		time.Sleep(time.Until(sent.Add(window + 500*time.Millisecond)))
		s.discovery.Publish(member("s-2", later))
		v := <-answer
		for _, q := range append(first.Queries()[1:], second.Queries()...) {
			t.Errorf("sent again %v after the first attempt, window %v", q.Came.Sub(sent), window)
		}
		if s.served(v); v.took > 4*time.Second+answerSlack {
			t.Errorf("answered after %v, limit 4s", v.took)
		}
	})
}

// A request was answered as failed long before its limit, or long after it, as a step moved its deadline.
func TestAnswerIsEarlyOrLateWhenWallClockSteps(t *testing.T) {
	eachStep(t, func(t *testing.T, step time.Duration) {
		const limit = 1500 * time.Millisecond
		g, addr := group(t, func(standin.Query) standin.Answer { return standin.Answer{After: time.Minute} })
		s := newSite(t, []string{member("s-1", addr)})
		answer := s.ask("lookup", limit)
		s.wait("the attempt", func() bool { return len(g.Queries()) > 0 })
		s.shift(step)
		v := <-answer
		if s.served(v) || v.took > limit+answerSlack || v.took < limit-200*time.Millisecond {
			t.Errorf("answered after %v (%v), limit %v", v.took, v.err, limit)
		}
	})
}

// A request was failed though its worker group answered in time.
func TestRunningRequestIsFailedWhenWallClockSteps(t *testing.T) {
	eachStep(t, func(t *testing.T, step time.Duration) {
		g, addr := group(t, func(standin.Query) standin.Answer { return standin.Answer{After: 1200 * time.Millisecond} })
		s := newSite(t, []string{member("s-1", addr)})
		answer := s.ask("lookup", 3*time.Second)
		s.wait("the attempt", func() bool { return len(g.Queries()) > 0 })
		s.shift(step)
		if v := <-answer; !s.served(v) {
			t.Errorf("after %v: %v", v.took, v.err)
		}
		if n := len(g.Queries()); n != 1 {
			t.Errorf("%d attempts", n)
		}
	})
}

// A worker group was told of more time than the client had left.
func TestBudgetIsTooLongWhenWallClockSteps(t *testing.T) {
	eachStep(t, func(t *testing.T, step time.Duration) {
		const limit = 4 * time.Second
		const slack = 150 * time.Millisecond
		g, addr := group(t, nil)
		s := newSite(t, []string{strings.Replace(member("s-1", addr), "Ready", "Terminating", 1)})
		sent := time.Now()
		answer := s.ask("lookup", limit)
		time.Sleep(300 * time.Millisecond)
		s.shift(step)
		time.Sleep(time.Second)
		s.discovery.Publish(member("s-2", addr))
		if v := <-answer; !s.served(v) {
			t.Errorf("after %v: %v", v.took, v.err)
		}
		for _, q := range g.Queries() {
			if left := limit - q.Came.Sub(sent); q.Budget > left+slack {
				t.Errorf("told of %v, the client has %v left", q.Budget, left)
			}
		}
	})
}

// A worker group that had just started was overloaded, or kept idle, where the wall clock was wrong as the program started.
func TestColdWorkerGroupIsOverloadedWhenWallClockIsWrong(t *testing.T) {
	eachStep(t, func(t *testing.T, wrong time.Duration) {
		const requests = 100
		g, addr := group(t, nil)
		s := newSiteAt(t, wrong, []string{strings.Replace(member("s-1", addr), "Ready", "Terminating", 1)}, `"warmAfterMs": 14000`, `"warmAfterMs": 4000`)
		started := time.Now()
		s.discovery.Publish(strings.Replace(member("s-2", addr), `"up_since_ms": 0`, fmt.Sprintf(`"up_since_ms": %d`, started.UnixMilli()), 1))
		answers := make([]<-chan verdict, requests)
		for i := range answers {
			answers[i] = s.ask("lookup", 12*time.Second)
		}
		// The settings allow 2.5 times 0.34 of what 12 cores do at 85% in 3 s: 26 requests of 1 s of work, and 3 x root of N + 3.
		const allowed = 26 + 18
		time.Sleep(time.Until(started.Add(2 * time.Second)))
		if n := len(g.Queries()); n > allowed {
			t.Errorf("%d requests in 2 s after its start, %d allowed", n, allowed)
		}
		served := 0
		for _, a := range answers {
			if v := <-a; s.served(v) {
				served++
			}
		}
		if served < requests*9/10 {
			t.Errorf("%d of %d served though it is warm after 4 s", served, requests)
		}
	})
}
