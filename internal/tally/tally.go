// Package tally counts faults that repeat and logs each kind now and then, so that a flood of them does not become
// a flood of lines.
package tally

import "log/slog"

const every = 10000.0 // ms between two lines of a kind

// Tally is all kinds of faults. Kinds are few and named in the program, never taken from what came.
type Tally struct {
	Now  func() float64
	seen map[string]*kind
}

type kind struct {
	n  int
	at float64
}

// Add counts a fault. The line tells how many came since the last one of its kind, and the latest of them; args are
// keys and values, as slog takes them.
func (t *Tally) Add(name string, args ...any) {
	if t.seen == nil {
		t.seen = map[string]*kind{}
	}
	k := t.seen[name]
	if k == nil {
		k = &kind{at: t.Now() - every}
		t.seen[name] = k
	}
	if k.n++; t.Now()-k.at < every {
		return
	}
	slog.Warn(name, append([]any{"n", k.n}, args...)...)
	k.n, k.at = 0, t.Now()
}
