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
	c, err := config.FromEnvironment(os.Getenv)
	if err != nil {
		log.Fatalf("event=configuration-refused error=%q", err)
	}
	if err := serve(c); err != nil {
		log.Fatalf("event=stopped error=%q", err)
	}
	log.Printf("event=stopped name=%s", c.Name)
}

// serve runs until SIGTERM, and on until all that was taken is answered.
func serve(c config.Config) error {
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
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-term
		loop.Do(func() {
			log.Printf("event=leaving owed=%d", n.Coordinator.Owed())
			n.Leave(loop.Stop)
		})
	}()
	return loop.Run(c.Listen)
}
