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

// crossing is for how long before the end of its connection a request may have been sent to go without an answer.
const crossing = 50 * time.Millisecond

// caller sends requests on one connection, one after another, until it ends.
type caller struct {
	addr    string
	numbers *atomic.Int64
	random  *rand.Rand
}

// run returns the last request's error if it was sent long before the connection ended and got no final answer.
func (c *caller) run(ctx context.Context) error {
	conn, err := pgx.Connect(ctx, pgURL(c.addr))
	if err != nil {
		return nil // refused: it is tried elsewhere
	}
	defer conn.Close(ctx)
	for {
		number := c.numbers.Add(1)
		limit := 100 + c.random.Intn(1500)
		sent := time.Now()
		_, err := conn.Exec(ctx, fmt.Sprintf("/* verb=lookup,txn=%016x,limit=%d,team=acme,cpu=20 */ SELECT a FROM sales_%d.t", number, limit, number%9))
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
		case took > crossing:
			return fmt.Errorf("request %d: no answer, the connection ended after %v: %w", number, took, err)
		default:
			return nil
		}
	}
}

// A request that was read before the program ended on SIGTERM went without its final answer.
func TestRequestIsLostWhenProgramEnds(t *testing.T) {
	const clients = 40
	for seed := int64(1); seed <= 3; seed++ {
		random := rand.New(rand.NewSource(seed))
		var groups []string
		for i := range 3 {
			slow := rand.New(rand.NewSource(seed*10 + int64(i)))
			var mu sync.Mutex
			_, addr := group(t, func(standin.Query) standin.Answer {
				mu.Lock()
				defer mu.Unlock()
				return standin.Answer{After: time.Duration(slow.ExpFloat64() * float64(150*time.Millisecond))}
			})
			groups = append(groups, member(fmt.Sprint("s-", i), addr))
		}
		s := newSite(t, groups)
		ctx, stop := context.WithTimeout(context.Background(), 30*time.Second)
		var numbers atomic.Int64
		faults := make(chan error, clients)
		for range clients {
			c := &caller{addr: s.addr, numbers: &numbers, random: rand.New(rand.NewSource(random.Int63()))}
			go func() { faults <- c.run(ctx) }()
		}
		time.Sleep(300 * time.Millisecond)
		_ = s.process.Process.Signal(syscall.SIGTERM)
		for range clients {
			if err := <-faults; err != nil {
				t.Errorf("seed %d: %v", seed, err)
			}
		}
		stop()
		if numbers.Load() < clients {
			t.Errorf("seed %d: only %d requests", seed, numbers.Load())
		}
	}
}
