// Package logs sets the format of the program's log: one line of key=value text per event, with the event's name under the
// key "event".
package logs

import (
	"context"
	"io"
	"log/slog"
)

// Trace logs an event of the request with the given id at level debug. It costs little if that level is off.
func Trace(event, id string, args ...any) {
	if l := slog.Default(); l.Enabled(context.Background(), slog.LevelDebug) {
		l.Debug(event, append([]any{"id", id}, args...)...)
	}
}

// New returns a logger that writes lines of key=value text to w, from the given level up.
func New(w io.Writer, level slog.Leveler) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level,
		ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
			if a.Key == slog.MessageKey && len(groups) == 0 {
				a.Key = "event"
			}
			return a
		}}))
}
