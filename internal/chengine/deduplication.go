package chengine

import (
	"strings"

	"thymeway/internal/coordinator"
	"thymeway/internal/shape"
)

// DiscardsRepeats reports whether engines discard repeats of a recognized request, or nothing has to be discarded as it only reads.
// Engines do so by insert_deduplication_token, which is a setting of INSERT: they run any other write again, with or without a token.
// The rows have to be the same each time, and only a client that sends a token states that the table keeps tokens.
func DiscardsRepeats(r *coordinator.Request) bool {
	switch {
	case r.Shape.Reason == shape.NoReason && (r.Shape.Kind == shape.Read || r.Shape.Kind == shape.Aggregate):
		return true
	case !r.Shape.InsertsOwnRows, r.IdempotencyKey == "", r.KeyGenerated:
		return false
	case r.ClickHouse == nil:
		return true
	}
	return keepsDeduplication(r.ClickHouse.Settings)
}

// keepsDeduplication reports whether settings, as names and values, leave it to the token whether an INSERT is discarded. With
// async_insert the engine gathers rows of several INSERTs and does not look at their tokens.
func keepsDeduplication(settings [][2]string) bool {
	for _, setting := range settings {
		on := setting[1] == "1" || strings.EqualFold(setting[1], "true")
		off := setting[1] == "0" || strings.EqualFold(setting[1], "false")
		switch setting[0] {
		case "async_insert":
			if !off {
				return false
			}
		case "insert_deduplicate":
			if !on {
				return false
			}
		}
	}
	return true
}
