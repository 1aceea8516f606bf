package main

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"

	"thymeway/internal/standin"
)

// lostWrite is a write whose first response is lost.
type lostWrite struct {
	name, text, data string
	settings         string // in the URL; for PostgreSQL clients "" stands for a request without them
	wantRuns         int
}

// lostWrites are writes of both fronts. Only an INSERT that brings its rows and whose client sends a token may run again.
var lostWrites = []lostWrite{
	{"insert with token", "INSERT INTO sales_17.stock VALUES (1)", "", "insert_deduplication_token=t1", 2},
	{"data with token", "INSERT INTO sales_17.stock FORMAT TSV", "1\n", "insert_deduplication_token=t2", 2},
	{"insert without token", "INSERT INTO sales_17.stock VALUES (2)", "", "", 1},
	{"alter without token", "ALTER TABLE sales_17.stock UPDATE n = n - 1 WHERE a = 1", "", "", 1},
	{"alter with token", "ALTER TABLE sales_17.stock UPDATE n = n - 1 WHERE a = 2", "", "insert_deduplication_token=t3", 1},
	{"update with token", "UPDATE sales_17.stock SET n = n - 1 WHERE a = 1", "", "insert_deduplication_token=t4", 1},
	{"delete with token", "DELETE FROM sales_17.stock WHERE n < 5", "", "insert_deduplication_token=t5", 1},
	{"insert of a query", "INSERT INTO sales_17.stock SELECT a FROM sales_17.orders", "", "insert_deduplication_token=t6", 1},
	{"gathered insert", "INSERT INTO sales_17.stock VALUES (3)", "", "insert_deduplication_token=t7&async_insert=1", 1},
	{"deduplication off", "INSERT INTO sales_17.stock VALUES (4)", "", "insert_deduplication_token=t8&insert_deduplicate=0", 1},
	{"settings in the text", "INSERT INTO sales_17.stock SETTINGS async_insert = 1 VALUES (5)", "", "insert_deduplication_token=t9", 1},
}

// Guards against writes that are applied twice: the response to a write on a ClickHouse engine is lost. The engine discards a repeat
// only if it is an INSERT with a deduplication token, so any other write must not be sent again.
func TestWriteWithoutDeduplicationIsRepeated(t *testing.T) {
	cluster := startCluster(t, 2, func(_, n int, text string) standin.Fault {
		return standin.Fault{ConnReset: !strings.Contains(text, "SELECT 1") && n%2 == 1}
	})
	pg, err := pgx.Connect(context.Background(), pgURL(cluster.pgAddr))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = pg.Close(context.Background()) })
	for i, write := range lostWrites {
		sent := len(cluster.runs())
		address := fmt.Sprintf("http://%s/?user=acme&order_key=k%d&%s", cluster.httpAddr, i, write.settings)
		body := write.text
		if write.data != "" {
			address, body = address+"&query="+url.QueryEscape(write.text), write.data
		}
		r, err := http.Post(address, "text/plain", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		_ = r.Body.Close()
		checkRuns(t, cluster, "clickhouse", write, sent, r.StatusCode == 200)

		if write.settings == "" || write.data != "" || strings.Contains(write.settings, "&") {
			continue // PostgreSQL clients always send a key, and neither data nor settings
		}
		sent = len(cluster.runs())
		_, err = pg.Exec(context.Background(), fmt.Sprintf(
			"/* verb=load,txn=%016x,limit=9000,team=acme,cpu=5,unique=u%d,item=p%d */ %s", i+1, i, i, write.text))
		checkRuns(t, cluster, "postgres", write, sent, err == nil)
	}
}

// checkRuns checks how often a write ran, and that it was answered as served only if its response arrived. Of two engines, each loses
// every other response, so the writes that may run again do so until one arrives.
func checkRuns(t *testing.T, cluster *testCluster, protocol string, write lostWrite, before int, served bool) {
	t.Helper()
	runs := len(cluster.runs()) - before
	if runs > write.wantRuns && write.wantRuns == 1 || runs < 1 {
		t.Errorf("%s over %s: ran %d times, want %d", write.name, protocol, runs, write.wantRuns)
	}
	if write.wantRuns > 1 && !served {
		t.Errorf("%s over %s: not served, although it may be sent again", write.name, protocol)
	}
}
