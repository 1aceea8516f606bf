package chengine

import (
	"testing"

	"thymeway/choice"
	"thymeway/internal/coordinator"
	"thymeway/internal/shape"
)

// Guards against writes that are sent again although engines would run them again: only an INSERT that brings its rows is discarded
// by its token, and settings may switch that off.
func TestRepeatsAreDiscarded(t *testing.T) {
	const insert = "INSERT INTO sales_1.t VALUES (1)"
	for _, c := range []struct {
		text      string
		key       string
		generated bool
		settings  [][2]string
		want      bool
	}{
		{insert, "k", false, nil, true},
		{insert, "", false, nil, false},
		{insert, "once-1", true, nil, false},
		{insert, "k", false, [][2]string{{"async_insert", "0"}, {"insert_deduplicate", "1"}}, true},
		{insert, "k", false, [][2]string{{"async_insert", "1"}}, false},
		{insert, "k", false, [][2]string{{"insert_deduplicate", "0"}}, false},
		{insert, "k", false, [][2]string{{"max_threads", "4"}}, true},
		{"INSERT INTO t SELECT a FROM u", "k", false, nil, false},
		{"ALTER TABLE t UPDATE a = a + 1 WHERE 1", "k", false, nil, false},
		{"SELECT a FROM t", "once-1", true, nil, true},
		{"SELECT count() FROM t", "", false, nil, true},
		{"SELECT * FROM url('http://10.0.0.1/')", "k", false, nil, false},
		{"SYSTEM RELOAD CONFIG", "k", false, nil, false},
	} {
		catalog := shape.NewCatalog(shape.Options{MaxBytes: 1 << 20})
		request := &coordinator.Request{Request: choice.Request{ID: "1"}, IdempotencyKey: c.key, KeyGenerated: c.generated,
			Statement: c.text, Shape: catalog.Recognize(c.text, shape.ClickHouse, 0),
			ClickHouse: &coordinator.ClickHouse{Text: c.text, Settings: c.settings}}
		if got := DiscardsRepeats(request); got != c.want {
			t.Errorf("%s, key %q (generated %v), %v: %v, want %v", c.text, c.key, c.generated, c.settings, got, c.want)
		}
	}
}
