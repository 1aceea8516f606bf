package coordinator

import (
	"fmt"
	"testing"
)

// Guards against ids that are refused for ever or forgotten too early, and against memory that grows with their number.
func TestIDsAreRemembered(t *testing.T) {
	var m repeatedIDs
	ids := clientIDs{request: "txn 1", query: "query_id 1"}
	for _, step := range []struct {
		name       string
		at         float64
		close      bool // ends the request, else it arrives
		ran, left  bool
		ids        clientIDs
		want       error
		remembered int
	}{
		{"first", 0, false, false, false, ids, nil, 0},
		{"while open", 1, false, false, false, ids, errIDOpen, 0},
		{"never ran", 2, true, false, true, ids, nil, 0},
		{"may come again", 3, false, false, false, ids, nil, 0},
		{"client left", 4, true, true, true, ids, nil, 2},
		{"ran", 5, false, false, false, clientIDs{request: "txn 1"}, errIDRan, 2},
		{"query_id ran", 5, false, false, false, clientIDs{query: "query_id 1"}, errIDRan, 2},
		{"same text, other kind", 6, false, false, false, clientIDs{request: "txn 2", query: "query_id 2"}, nil, 2},
		{"answered", 7, true, true, false, clientIDs{request: "txn 2", query: "query_id 2"}, nil, 3},
		{"query_id of an answered query", 8, false, false, false, clientIDs{query: "query_id 2"}, nil, 3},
		{"no ids", 9, false, false, false, clientIDs{}, nil, 3},
		{"no ids again", 9, false, false, false, clientIDs{}, nil, 3},
		{"time is over", 4 + idMemory, false, false, false, clientIDs{request: "txn 1"}, nil, 1},
	} {
		if step.close {
			m.close(step.ids, step.ran, step.left, step.at)
		} else if err := m.admit(step.ids, step.at); err != step.want {
			t.Errorf("%s: %v, want %v", step.name, err, step.want)
		}
		if len(m.ran) != step.remembered || len(m.oldest) != step.remembered {
			t.Errorf("%s: %d ids are remembered, %d in order, want %d", step.name, len(m.ran), len(m.oldest), step.remembered)
		}
	}
	for i := range 2 * maxRememberedIDs {
		m.close(clientIDs{request: fmt.Sprint("txn x", i)}, true, true, 5+idMemory)
	}
	if len(m.ran) != maxRememberedIDs || len(m.oldest) != maxRememberedIDs {
		t.Errorf("%d ids are remembered, %d in order, want %d", len(m.ran), len(m.oldest), maxRememberedIDs)
	}
}
