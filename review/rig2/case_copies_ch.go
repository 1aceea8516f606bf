package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"
)

func init() { cases["copies-ch"] = playCopiesCH }

// chCopyLate is how late the second copy of an answer comes: "a second answer may come some milliseconds late".
const chCopyLate = 8 * time.Millisecond

// playCopiesCH plays lookups on ClickHouse engines while some of their answers come a second time. Each client must get its own
// rows.
func playCopiesCH(trouble bool) (verdict, error) {
	log, b := &runLog{}, &board{}
	if err := b.start(); err != nil {
		return notRun, err
	}
	httpAddr, err := freeAddr()
	if err != nil {
		return notRun, err
	}
	f := fleet{classes: usualClasses(), memoryMB: 192, seed: "8c1f30d27a5be964", board: b.addr,
		local: "[clickhouse]\nlisten = " + httpAddr + "\n[kind std-12]\nprotocol = clickhouse\n"}
	var mu sync.Mutex
	answered, copied := 0, 0
	for i := range 6 {
		e := &clickHouse{name: fmt.Sprintf("stock-%d", i+1), log: log, runTime: func(string) time.Duration { return 15 * time.Millisecond },
			result: func(statement string) string {
				return "number\tstate\nString\tString\n" + statement[strings.LastIndexByte(statement, ' ')+1:] + "\tready\n"
			}}
		if err := e.start(); err != nil {
			return notRun, err
		}
		l, err := startLink(e.addr)
		if err != nil {
			return notRun, err
		}
		if trouble {
			l.copies = func(answer []byte) time.Duration {
				mu.Lock()
				defer mu.Unlock()
				if !bytes.HasPrefix(answer, []byte("HTTP/1.1 200")) {
					return 0
				}
				if answered++; answered%copyEach > 0 {
					return 0
				}
				copied++
				note("network: this answer of %s comes a second time, %v later: %q", e.name, chCopyLate,
					answer[bytes.Index(answer, []byte("\r\n\r\n"))+4:])
				return chCopyLate
			}
		}
		f.members = append(f.members, member{id: e.name, addr: l.addr, zone: []string{"room-a", "room-b", "room-c"}[i%3], phase: "Ready"})
	}
	if _, err := startProgram(f); err != nil {
		return notRun, err
	}
	var all sync.WaitGroup
	served, foreign := 0, 0
	client := newHTTPClient(httpAddr, true)
	for n := range copyRequests {
		all.Go(func() {
			statement := fmt.Sprintf("SELECT number, state FROM sales_%d.orders WHERE number = %d", n%4, n+1)
			r, err := client.client.Post("http://"+httpAddr+"/?"+url.Values{"user": {"acme"}}.Encode(), "text/plain", strings.NewReader(statement))
			if err != nil {
				note("client: %d is not answered: %v", n+1, err)
				return
			}
			defer r.Body.Close()
			body, err := io.ReadAll(r.Body)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || r.StatusCode != http.StatusOK {
				note("client: %d is answered with %d: %.80q", n+1, r.StatusCode, body)
				return
			}
			served++
			if string(body) != fmt.Sprintf("%d\tready\n", n+1) {
				foreign++
				note("client: %d is answered with the rows of another request: %.80q", n+1, body)
			}
		})
		time.Sleep(copyGap)
	}
	all.Wait()
	note("%d requests served, %d answers came twice, %d clients got the rows of another request", served, copied, foreign)
	if foreign > 0 {
		return broken, nil
	}
	if served < copyRequests/2 {
		return notRun, fmt.Errorf("only %d requests are served", served)
	}
	return held, nil
}
