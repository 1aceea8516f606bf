package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"thymeway/internal/standin"
)

// maxInTransit is how long before the end of its connection a request may be sent and still go unanswered: it may be in transit
// when the program closes the connection.
const maxInTransit = 50 * time.Millisecond

// testClient sends requests on one connection, one after another, until the connection ends.
type testClient struct {
	addr       string
	lastNumber *atomic.Int64
	random     *rand.Rand
}

// run returns an error if a request was answered too late, or if the last one got no final answer though it was sent more
// than maxInTransit before the connection ended.
func (c *testClient) run(ctx context.Context) error {
	conn, err := pgx.Connect(ctx, pgURL(c.addr))
	if err != nil {
		return nil // refused: a real client would connect to another coordinator
	}
	defer conn.Close(ctx)
	for {
		number := c.lastNumber.Add(1)
		limit := 100 + c.random.Intn(1500)
		sent := time.Now()
		_, err := conn.Exec(ctx, fmt.Sprintf("/* verb=lookup,txn=%016x,limit=%d,team=acme,cpu=20 */ SELECT a FROM sales_%d.t",
			number, limit, number%9))
		took := time.Since(sent)
		var answer *pgconn.PgError
		final := err == nil || errors.As(err, &answer)
		switch {
		case final && took > time.Duration(limit)*time.Millisecond+answerSlack:
			return fmt.Errorf("request %d: answered after %v, limit %d ms", number, took, limit)
		case final && !conn.IsClosed():
			time.Sleep(time.Duration(c.random.Intn(20)) * time.Millisecond)
		case final:
			return nil
		case took > maxInTransit:
			return fmt.Errorf("request %d: no answer, the connection ended after %v: %w", number, took, err)
		default:
			return nil
		}
	}
}

// Guards against requests without a final answer when the program ends on SIGTERM: each request that it has read must be
// answered first.
func TestRequestIsLostWhenProgramEnds(t *testing.T) {
	const clients = 40
	for seed := int64(1); seed <= 3; seed++ {
		random := rand.New(rand.NewSource(seed))
		var groups []string
		for i := range 3 {
			durations := rand.New(rand.NewSource(seed*10 + int64(i)))
			var mu sync.Mutex
			_, addr := startGroup(t, func(standin.Query) standin.Answer {
				mu.Lock()
				defer mu.Unlock()
				return standin.Answer{RunTime: time.Duration(durations.ExpFloat64() * float64(150*time.Millisecond))}
			})
			groups = append(groups, listedGroup(fmt.Sprint("s-", i), addr))
		}
		process := startTestProcess(t, groups)
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
		var numbers atomic.Int64
		faults := make(chan error, clients)
		for range clients {
			c := &testClient{addr: process.addr, lastNumber: &numbers, random: rand.New(rand.NewSource(random.Int63()))}
			go func() { faults <- c.run(ctx) }()
		}
		time.Sleep(300 * time.Millisecond)
		_ = process.cmd.Process.Signal(syscall.SIGTERM)
		for range clients {
			if err := <-faults; err != nil {
				t.Errorf("seed %d: %v", seed, err)
			}
		}
		cancel()
		if numbers.Load() < clients {
			t.Errorf("seed %d: only %d requests", seed, numbers.Load())
		}
	}
}
