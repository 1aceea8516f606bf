// Command thymeway is the real coordinator: it serves clients on sockets and lets the decision module choose which
// worker group runs which query and when.
package main

import (
	"log"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"thymeway/internal/config"
	"thymeway/internal/deadline"
	"thymeway/internal/link"
	"thymeway/internal/net"
	"thymeway/internal/node"
)

const (
	memoryShare = 0.7 // of the limit, at which the collector works harder
	garbage     = 200 // percent that the heap may grow between collections
)

func main() {
	log.SetFlags(log.LUTC | log.Ldate | log.Lmicroseconds)
	// Danger: SIGHUP ends a program that does not ask for it, so it is asked for before anything else.
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	c, err := read()
	if err != nil {
		log.Fatalf("event=configuration-refused error=%q", err)
	}
	if err := serve(c, signals); err != nil {
		log.Fatalf("event=stopped error=%q", err)
	}
	log.Printf("event=stopped name=%s", c.Name)
}

func read() (config.Config, error) { return config.FromEnvironment(os.Getenv) }

// serve runs until SIGTERM, and on until all that was taken is answered. SIGHUP reads the configuration anew.
func serve(c config.Config, signals <-chan os.Signal) error {
	debug.SetMemoryLimit(int64(c.MemoryMB * memoryShare * (1 << 20)))
	debug.SetGCPercent(garbage)
	queue := deadline.New()
	loop := &net.Loop{Deadlines: queue, ConnectTimeout: c.ConnectTimeout}
	n, err := node.New(c, loop, queue, net.Now, loop.Wake)
	if err != nil {
		return err
	}
	loop.Accept = func() link.Handler { return n.Sessions.Accept() }
	loop.Turn = n.Coordinator.Turn
	loop.Ready = func() {
		log.Printf("event=ready name=%s listen=%s classes=%d", c.Name, c.Listen, len(c.Choice.Classes))
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
	return loop.Run(c.Listen)
}
