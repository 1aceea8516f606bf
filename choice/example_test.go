package choice_test

import (
	"fmt"

	"thymeway/choice"
)

// A front with one engine takes a request, sends it and hears of its end.
func Example() {
	now := 0.0
	front := choice.New(choice.Settings{
		Seed: 1, Fronts: 1, MaxAttempts: 3,
		Kinds:   []choice.Kind{{Name: "std-8", Cores: 8}},
		Classes: []choice.Class{{Name: "lookup", Worth: 1, Aim: 400, Limit: 2000, Threads: 1}},
	}, now)
	queue := []choice.Event{
		choice.EngineList{Whole: true, Engines: []choice.Engine{{ID: "e1", Kind: "std-8"}}},
		choice.Request{ID: "q1", Class: "lookup", Deadline: now + 2000, Tables: "orders"},
	}
	for len(queue) > 0 {
		events := queue
		queue = nil
		for _, action := range front.Step(now, events) {
			switch a := action.(type) {
			case choice.Send: // a real front would pass the query on and wait
				fmt.Println("send", a.Request, "to", a.Engine)
				queue = append(queue, choice.Outcome{Request: a.Request, Engine: a.Engine,
					Result: choice.OK, Took: 80, Ended: true})
			case choice.Refuse:
				fmt.Println("refuse", a.Request, "come back after", a.ComeBack)
			}
		}
		now += 80
	}
	// Output: send q1 to e1
}
