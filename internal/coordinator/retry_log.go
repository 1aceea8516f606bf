package coordinator

import (
	"log/slog"

	"thymeway/choice"
	"thymeway/internal/logs"
	"thymeway/internal/transport"
)

// recordEnd records the end of an attempt: the reason of the latest end, and whether any attempt may have run.
func (r *openRequest) recordEnd(end transport.EndReason) {
	r.lastEnd = end
	r.ran = r.ran || end == transport.Served || end.Result().MayHaveRun()
	if end.Result().MayHaveRun() && !r.mayHaveRun {
		r.mayHaveRun, r.mayHaveRunSentAt = true, r.sentAt
	}
}

// recordRetry counts a repeated attempt. If an attempt may have run already and the class does not allow repeats at any
// time, the repeat is logged with its age, so that the log alone shows whether it kept within the deduplication window.
func (c *Coordinator) recordRetry(open *openRequest, engine string, attempt int) {
	c.RetryReasons.Add(open.Class, open.lastEnd.String())
	class := c.classes[open.Class]
	if class.Idempotency == choice.Idempotent || !open.mayHaveRun {
		logs.Trace("repeat", open.ID, "attempt", attempt, "engine", engine, "after", open.lastEnd)
		return
	}
	slog.Info("repeat", "id", open.ID, "class", open.Class, "attempt", attempt, "engine", engine, "after", open.lastEnd,
		"first_sent_ms_ago", c.now()-open.mayHaveRunSentAt, "window_ms", class.DedupWindow)
}
