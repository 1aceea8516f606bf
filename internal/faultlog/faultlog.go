// Package faultlog logs faults at a limited rate, so that a flood of faults does not flood the log.
package faultlog

import "log/slog"

const logInterval = 10000.0 // ms between two lines for the same kind of fault

// FaultLog counts faults by kind and logs each kind at most once per interval. Kinds are constants in the program, never
// received text, so their number is bounded.
type FaultLog struct {
	Now   func() float64
	kinds map[string]*faultKind
}

// faultKind counts the faults of one kind.
type faultKind struct {
	count    int // since the last line
	loggedAt float64
}

// Add counts a fault, and logs it unless its kind was logged within the interval. The line holds the number of faults of
// this kind since the last line, and args of the latest fault: keys and values as for slog.
func (l *FaultLog) Add(name string, args ...any) {
	if l.kinds == nil {
		l.kinds = map[string]*faultKind{}
	}
	k := l.kinds[name]
	if k == nil {
		k = &faultKind{loggedAt: l.Now() - logInterval}
		l.kinds[name] = k
	}
	if k.count++; l.Now()-k.loggedAt < logInterval {
		return
	}
	slog.Warn(name, append([]any{"n", k.count}, args...)...)
	k.count, k.loggedAt = 0, l.Now()
}
