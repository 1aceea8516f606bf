package node

import (
	"fmt"
	"syscall"
	"testing"

	"thymeway/internal/config"
	"thymeway/internal/configtest"
	"thymeway/internal/deadline"
)

// Guards against missing a new address of the discovery service because of a temporary error: the request to reload is made only
// once, so Reload has to read the configuration again.
func TestReloadIsRepeatedAfterTransientError(t *testing.T) {
	for _, fault := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EIO} {
		c := configtest.Example(t)
		runner := &scriptRunner{t: t, now: startTime, deadlines: deadline.New(), clients: map[string]*scriptedConn{},
			cancelKeys: map[string][]byte{}}
		var err error
		if runner.node, err = New(c, runner, runner.deadlines, func() float64 { return runner.now },
			func() { runner.wakeRequested = true }); err != nil {
			t.Fatal(err)
		}
		readings := 0
		runner.node.Reload(func() (config.Config, error) {
			if readings++; readings < 4 {
				return config.Config{}, fmt.Errorf("EDGE_CONFIG: %w", fault)
			}
			c.DiscoveryAddr = "127.0.0.1:8600"
			return c, nil
		})
		runner.advanceTo(startTime + 1000)
		if readings != 4 || runner.node.Discovery.Addr != "127.0.0.1:8600" {
			t.Errorf("%v: the configuration was read %d times, the discovery service is %s", fault, readings,
				runner.node.Discovery.Addr)
		}
	}
}
