// Command toy runs a fake worker group and a fake discovery service for trying out the coordinator with examples/config.json.
// The worker group answers every statement with three rows after a short delay.
package main

import (
	"flag"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"thymeway/internal/standin"
)

func main() {
	engine := flag.String("engine", "127.0.0.1:4101", "address of the worker group")
	discoveryAddr := flag.String("board", "127.0.0.1:8599", "address of the notice board")
	clickhouse := flag.Bool("clickhouse", false, "speak ClickHouse's HTTP interface instead, as examples/clickhouse.ini has it")
	work := flag.Duration("work", 20*time.Millisecond, "time that a statement takes, under 250ms")
	flag.Parse()
	l, err := net.Listen("tcp", *discoveryAddr)
	if err != nil {
		log.Fatal(err)
	}
	go serveDiscovery(l)
	if *clickhouse {
		e := &standin.ClickHouse{Script: func(n int, text string) standin.Fault {
			log.Printf("event=statement n=%d text=%q", n, text)
			return standin.Fault{Delay: *work}
		}}
		if _, err := e.Start(*engine); err != nil {
			log.Fatal(err)
		}
		select {}
	}
	http.HandleFunc("POST /obj", func(w http.ResponseWriter, r *http.Request) {
		statement, _ := io.ReadAll(r.Body)
		log.Printf("event=statement id=%s class=%s budget=%s text=%q", r.Header.Get("X-Hop-Id"), r.Header.Get("X-Sort"),
			r.Header.Get("X-Budget"), statement)
		time.Sleep(*work)
		w.Header().Set("Page-Count", "1")
		w.Header().Set("Work-Ms", fmt.Sprint(work.Milliseconds()))
		w.Header().Set("X-Report", "util:0.10;queue:0")
		fmt.Fprint(w, "mon\t1\tfirst\ntue\t2\tsecond\nwed\t3\tthird\n")
	})
	http.HandleFunc("DELETE /obj/{id}", func(w http.ResponseWriter, r *http.Request) { w.WriteHeader(http.StatusNoContent) })
	http.HandleFunc("GET /obj/{id}/{page}", func(w http.ResponseWriter, r *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
	})
	http.HandleFunc("GET /busy", func(w http.ResponseWriter, r *http.Request) { w.Header().Set("X-Report", "util:0.10;queue:0") })
	log.Fatal(http.ListenAndServe(*engine, nil))
}

// serveDiscovery sends a heartbeat line to each connection once a second. Its revision is always 1, as the list of worker groups
// never changes.
func serveDiscovery(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			log.Fatal(err)
		}
		go func() {
			defer c.Close()
			for {
				if _, err := fmt.Fprintln(c, `{"rev":1}`); err != nil {
					return
				}
				time.Sleep(time.Second)
			}
		}()
	}
}
