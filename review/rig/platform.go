package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// member is an entry of the list of worker groups.
type member struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Flavor    string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMs int64   `json:"up_since_ms"`
}

// event is a numbered change of the list.
type event struct {
	Rev  int  `json:"rev"`
	Pool pool `json:"pool"`
}

type pool struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// board is the notice board.
type board struct {
	record *record
	addr   string
	mu     sync.Mutex
	events []event
	conns  map[net.Conn]int // the last event that was written to each
}

func startBoard(r *record, first []member) *board {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		notRun("%v", err)
	}
	b := &board{record: r, addr: l.Addr().String(), conns: map[net.Conn]int{}}
	b.events = []event{{1, pool{1, true, first}}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return b
}

// serve reads the watch line of a connection, then writes later events and, each second, the last number.
func (b *board) serve(c net.Conn) {
	defer c.Close()
	line, err := bufio.NewReader(c).ReadString('\n')
	last := 0
	if _, scanErr := fmt.Sscanf(line, "watch %d", &last); err != nil || scanErr != nil {
		return
	}
	b.mu.Lock()
	b.conns[c] = last
	b.writeEvents(c)
	b.mu.Unlock()
	for {
		time.Sleep(time.Second)
		b.mu.Lock()
		_, err := fmt.Fprintln(c, len(b.events))
		if err != nil {
			delete(b.conns, c)
		}
		b.mu.Unlock()
		if err != nil {
			return
		}
	}
}

// writeEvents writes the events that a connection has not been told yet.
func (b *board) writeEvents(c net.Conn) {
	for ; b.conns[c] < len(b.events); b.conns[c]++ {
		text, _ := json.Marshal(b.events[b.conns[c]])
		_, _ = c.Write(append(text, '\n'))
	}
}

// tell adds an event with the given changes.
func (b *board) tell(changed ...member) {
	b.mu.Lock()
	defer b.mu.Unlock()
	rev := len(b.events) + 1
	b.events = append(b.events, event{rev, pool{rev, false, changed}})
	for c := range b.conns {
		b.writeEvents(c)
	}
	for _, m := range changed {
		b.record.add("board rev=%d id=%s addr=%s phase=%s", rev, m.ID, m.HostPort, m.Phase)
	}
}

// deployment is what a coordinator is told. The classes, kinds and figures are those of the site dar-kurasini.
type deployment struct {
	board    string
	members  []member
	sockets  int
	noCancel bool // an attempt can't be cancelled, as on the site lj-tehnopark
}

// zones are the rooms of the site.
var zones = []string{"room-a", "room-b", "room-c"}

const siteSettings = `{
 "categories": [
  {"name": "lookup", "points": 1, "lateWorth": 0.1, "sloMs": 600, "aimStretch": 2, "hardLimitMs": 3000, "idempotency": "idempotent", "keyScope": "all", "dedupWindowMs": 5000, "streamed": false},
  {"name": "report", "points": 12, "lateWorth": 0.3, "sloMs": 1500, "aimStretch": 2.5, "hardLimitMs": 20000, "idempotency": "idempotent", "keyScope": "all", "dedupWindowMs": 5000, "streamed": false},
  {"name": "load", "points": 15, "lateWorth": 0.6, "sloMs": 4000, "aimStretch": 3, "hardLimitMs": 20000, "idempotency": "deduplicated", "keyScope": "all", "dedupWindowMs": 12000, "byArrival": true, "streamed": false}],
 "ceilings": {"cancelling": true, "connIdleMs": 15000, "connectTimeoutMs": 250, "cpuUsPerRequest": 0, "cpuUsPerS": 500000, "maxAttempts": 6, "maxRetryAfterMs": 2000, "mayDuplicate": false, "mostHeld": 20000, "peers": false, "probes": false, "retryAfter": true, "streamsPerConn": 100},
 "clients": {"marksRetry": true}, "countedBy": "request", "family": "queries",
 "familyInfo": {"classWaits": [true, true, false], "cpuOfKind": [12], "grantsCount": true, "isLoad": [false, false, true], "largestShare": 0.4, "memoryShort": "page", "notePeriodMs": 1000, "parallelism": [1, 3, 2], "ranksHeeded": false, "sizeMb": [24576], "tellsCost": true},
 "goal": {"whole": 0.35, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.35}, "granularityMs": 5,
 "index": 0, "instances": 1,
 "invariants": {"answerSlackMs": 20, "askEveryMs": 10000, "coldFrom": 0.34, "drainGraceMs": 2000, "fallMultiple": 2.5, "orderSettleMs": 500, "overloadForMs": 3000, "warmAfterMs": 14000},
 "layers": ["query-fleet"], "locality": "room-a", "membershipMode": "push", "models": ["std-12"], "overShareWorth": 0.05,
 "prices": {"crossZone": 0.032, "lateFail": 0.05, "probe": 0.01, "waste": 0.05},
 "report": {"fields": ["busy", "q"], "via": "inline"},
 "tenants": [{"fraction": 0.34, "name": "afya-bora", "quotaPerS": 26}, {"fraction": 0.29, "name": "dawa-plus", "quotaPerS": 22}, {"fraction": 0.19, "name": "tiba-njema", "quotaPerS": 14}, {"fraction": 0.18, "name": "kisima-dawa", "quotaPerS": 14}],
 "tier": 0, "weights": "nominal", "zones": ["room-a", "room-b", "room-c"]}`

var tenants = []string{"afya-bora", "dawa-plus", "tiba-njema", "kisima-dawa"}

// configuration returns the configuration file.
func (d *deployment) configuration(listen string) map[string]any {
	settings := strings.ReplaceAll(siteSettings, "\n", "")
	if d.noCancel {
		settings = strings.Replace(settings, `"cancelling": true`, `"cancelling": false`, 1)
	}
	return map[string]any{"name": "n0", "listen": listen, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": d.sockets}, "board": d.board,
		"known":    map[string]any{"rev": 1, "notices": []event{{1, pool{1, true, d.members}}}},
		"settings": json.RawMessage(settings)}
}
