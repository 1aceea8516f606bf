// Command thymeway is the real coordinator: it serves clients on sockets and lets the decision module choose which
// worker group runs which query and when.
package main

import (
	"log"
	"math/rand"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"thymeway/internal/board"
	"thymeway/internal/config"
	"thymeway/internal/coordinator"
	"thymeway/internal/deadline"
	"thymeway/internal/link"
	"thymeway/internal/net"
	"thymeway/internal/pg"
	"thymeway/internal/rest"
)

const (
	memoryShare  = 0.7   // of the limit, at which the collector works harder
	answerMargin = 25.0  // ms by which an answer is due before the client's limit
	idleShare    = 0.7   // of the time after which worker groups close idle connections
	engineShare  = 0.5   // of the descriptors
	stayAfter    = 800.0 // ms that new requests may still come after SIGTERM
	stayCheck    = 20.0  // ms between looks whether all is answered
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
	debug.SetGCPercent(200)
	queue := deadline.New()
	loop := &net.Loop{Deadlines: queue, ConnectTimeout: c.ConnectTimeout}
	fleet := &rest.Fleet{Dialer: loop, Deadlines: queue, Now: net.Now, ConnectTimeout: c.ConnectTimeout,
		ConnIdle: c.ConnIdle * idleShare, MostWires: int(float64(c.Sockets) * engineShare)}
	coord := coordinator.New(c.Choice, net.Now, queue, fleet, loop.Wake)
	fleet.Watcher = coord
	sessions := &pg.Sessions{Coordinator: coord, Now: net.Now, Margin: answerMargin, Most: c.Sockets / 3 * 11 / 10,
		Random: rand.New(rand.NewSource(int64(c.Seed) ^ int64(os.Getpid())<<20))}
	watch := &board.Watch{Dialer: loop, Deadlines: queue, Now: net.Now, Listener: coord, Addr: c.Board,
		Connect: 2 * c.ConnectTimeout}
	if err := watch.Known(c.Known); err != nil {
		return err
	}
	loop.Accept = func() link.Handler { return sessions.Accept() }
	loop.Turn = coord.Turn
	loop.Ready = func() {
		log.Printf("event=ready name=%s listen=%s classes=%d", c.Name, c.Listen, len(c.Choice.Classes))
		watch.Start()
	}
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-term
		loop.Do(func() { leave(loop, queue, func() bool { return coord.Owed() == 0 && sessions.Pending() == 0 }) })
	}()
	return loop.Run(c.Listen)
}

// leave stops the loop once nothing new comes and all is answered.
func leave(loop *net.Loop, queue *deadline.Queue, quiet func() bool) {
	log.Printf("event=leaving")
	e := &deadline.Entry{}
	e.Do = func() {
		if quiet() {
			loop.Stop()
			return
		}
		queue.Set(e, net.Now()+stayCheck)
	}
	queue.Set(e, net.Now()+stayAfter)
}
