package coordinator

import (
	"log/slog"

	"thymeway/choice"
	"thymeway/internal/link"
	"thymeway/internal/logs"
)

// note keeps what later attempts of a request are judged by: how the latest ended, and whether any may have run.
func (q *open) note(end link.EndReason) {
	q.lastEnd = end
	if end.Result().MayHaveRun() && !q.mayHaveRun {
		q.mayHaveRun, q.mayRunAt = true, q.sentAt
	}
}

// repeat counts a further attempt. One that could break a rule, of a class that bears no second run beyond its window, is
// logged with its age, so that the log alone shows whether it was allowed.
func (c *Coordinator) repeat(q *open, engine string, attempt int) {
	c.Repeats.Add(q.Class, q.lastEnd.String())
	class := c.classes[q.Class]
	if class.Idempotency == choice.Idempotent || !q.mayHaveRun {
		logs.Trace("repeat", q.ID, "attempt", attempt, "engine", engine, "after", q.lastEnd)
		return
	}
	slog.Info("repeat", "id", q.ID, "class", q.Class, "attempt", attempt, "engine", engine, "after", q.lastEnd,
		"first_sent_ms_ago", c.now()-q.mayRunAt, "window_ms", class.DedupWindow)
}
