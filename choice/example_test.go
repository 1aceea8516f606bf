package choice_test

import (
	"fmt"

	"thymeway/choice"
)

// The scheduler of a coordinator with one engine receives a request, sends it
// to the engine and receives the outcome of the successful attempt.
func Example() {
	now := 0.0
	scheduler := choice.New(choice.Settings{
		Seed: 1, CoordinatorCount: 1, MaxAttempts: 3,
		Kinds:   []choice.Kind{{Name: "std-8", Cores: 8}},
		Classes: []choice.Class{{Name: "lookup", Value: 1, LatencyTarget: 400, ClientTimeout: 2000, Threads: 1}},
	}, now)
	queue := []choice.Event{
		choice.EngineList{Complete: true, Engines: []choice.Engine{{ID: "e1", Kind: "std-8"}}},
		choice.Request{ID: "q1", Class: "lookup", Deadline: now + 2000, TableGroup: "orders"},
	}
	for len(queue) > 0 {
		events := queue
		queue = nil
		for _, action := range scheduler.Step(now, events) {
			switch a := action.(type) {
			case choice.Send: // a coordinator would send the query to the engine and wait for the answer
				fmt.Println("send", a.Request, "to", a.Engine)
				queue = append(queue, choice.Outcome{Request: a.Request, Engine: a.Engine,
					Result: choice.OK, Duration: 80, RequestEnded: true})
			case choice.Refuse:
				fmt.Println("refuse", a.Request, "come back after", a.RetryAfter)
			}
		}
		now += 80
	}
	// Output: send q1 to e1
}
