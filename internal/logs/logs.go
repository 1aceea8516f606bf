// Package logs sets the form of the program's log: a line of key=value text for each event, whose name stands under
// event.
package logs

import (
	"context"
	"io"
	"log/slog"
)

// Trace writes a line of one request's life where the log's level is debug, and costs little where it is not.
func Trace(event, id string, args ...any) {
	if l := slog.Default(); l.Enabled(context.Background(), slog.LevelDebug) {
		l.Debug(event, append([]any{"id", id}, args...)...)
	}
}

// New returns a logger that writes lines of key=value text.
func New(w io.Writer, level slog.Leveler) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: func(groups []string, a slog.Attr) slog.Attr {
		if a.Key == slog.MessageKey && len(groups) == 0 {
			a.Key = "event"
		}
		return a
	}}))
}
