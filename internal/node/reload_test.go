package node

import (
	"fmt"
	"syscall"
	"testing"

	"thymeway/internal/config"
	"thymeway/internal/conftest"
	"thymeway/internal/deadline"
)

// A new board was missed where its configuration could not be opened for a moment.
func TestReloadIsLostWhenFileCannotBeOpenedForAMoment(t *testing.T) {
	for _, fault := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EIO} {
		c := conftest.Example(t)
		p := &player{t: t, now: start, queue: deadline.New(), clients: map[string]*side{}, keys: map[string][]byte{}}
		var err error
		if p.n, err = New(c, p, p.queue, func() float64 { return p.now }, func() { p.woken = true }); err != nil {
			t.Fatal(err)
		}
		readings := 0
		p.n.Reload(func() (config.Config, error) {
			if readings++; readings < 4 {
				return config.Config{}, fmt.Errorf("EDGE_CONFIG: %w", fault)
			}
			c.DiscoveryAddr = "127.0.0.1:8600"
			return c, nil
		})
		p.advance(start + 1000)
		if readings != 4 || p.n.Watch.Addr != "127.0.0.1:8600" {
			t.Errorf("%v: %d readings, board %s", fault, readings, p.n.Watch.Addr)
		}
	}
}
