package main

import (
	"fmt"
	"net/url"
	"strings"
	"sync"
	"time"
)

func init() { cases["alter"] = playAlter }

// alterRequests is the number of changes of the stock that the client sends, one after the other.
const alterRequests = 12

// stockTable is the stock that both engines hold. It takes an INSERT once for each token and does each ALTER as it comes, as
// insert_deduplication_token is a setting of INSERT.
type stockTable struct {
	mu      sync.Mutex
	tokens  map[string]bool
	changes map[string]int // how often each statement was applied
}

func (s *stockTable) apply(statement, token string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if strings.HasPrefix(statement, "INSERT") && token != "" {
		if s.tokens[token] {
			return
		}
		s.tokens[token] = true
	}
	s.changes[statement]++
}

// playAlter plays writes that come without a deduplication token, over ClickHouse's interface. Some answers of the engines get lost
// and their connections are reset. No such write may be applied twice.
func playAlter(trouble bool) (verdict, error) {
	log, b, stock := &runLog{}, &board{}, &stockTable{tokens: map[string]bool{}, changes: map[string]int{}}
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
	answers := 0
	for i, name := range []string{"stock-1", "stock-2"} {
		e := &clickHouse{name: name, log: log, runTime: func(string) time.Duration { return 50 * time.Millisecond }, applied: stock.apply}
		if err := e.start(); err != nil {
			return notRun, err
		}
		l, err := startLink(e.addr)
		if err != nil {
			return notRun, err
		}
		l.loses = func(answer []byte) bool {
			mu.Lock()
			defer mu.Unlock()
			if !trouble || !strings.Contains(string(answer), "X-Clickhouse-Summary") {
				return false
			}
			answers++
			if answers%4 == 2 {
				note("network: an answer of %s is lost, and its connection reset", name)
			}
			return answers%4 == 2
		}
		f.members = append(f.members, member{id: name, addr: l.addr, zone: []string{"room-a", "room-b"}[i], phase: "Ready"})
	}
	if _, err := startProgram(f); err != nil {
		return notRun, err
	}
	client := newHTTPClient(httpAddr, true)
	for n := range alterRequests {
		text := fmt.Sprintf("ALTER TABLE sales_17.stock UPDATE in_stock = in_stock - 1 WHERE article = %d", n+1)
		a := client.post(text, url.Values{"order_key": {"branch-17"}}, 25*time.Second)
		note("client: %s is answered: %v", text, a)
		if !a.whole {
			return notRun, fmt.Errorf("a request is not answered")
		}
	}
	twice := 0
	for statement, times := range stock.changes {
		if times > 1 {
			note("applied %d times: %s", times, statement)
			twice++
		}
	}
	note("%d of %d writes were applied more than once", twice, alterRequests)
	if twice > 0 {
		return broken, nil
	}
	return held, nil
}
