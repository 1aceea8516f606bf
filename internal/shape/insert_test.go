package shape

import "testing"

// Guards against repeated writes: only an INSERT that brings all its rows is the same each time that it runs. Anything that the engine
// reads for it, and settings of its own, must be noticed.
func TestInsertBringsItsRows(t *testing.T) {
	for _, dialect := range []Dialect{Postgres, ClickHouse} {
		for text, want := range map[string]bool{
			"INSERT INTO sales_1.t VALUES (1)":                         true,
			"insert into sales_1.t (a, b) values (1, 'x'), (2, now())": true,
			"INSERT INTO sales_1.t VALUES (1);":                        true,
			"/* c */ INSERT INTO \"sales_1\".\"t\" VALUES (1)":         true,
			"INSERT INTO t SELECT 1":                                   false,
			"INSERT INTO t (a) SELECT a FROM u":                        false,
			"INSERT INTO t (a) VALUES (1) UNION SELECT 2":              false,
			"INSERT INTO t TABLE u":                                    false,
			"INSERT INTO t DEFAULT VALUES":                             false,
			"INSERT INTO t VALUES (1); DELETE FROM t":                  false,
			"INSERT INTO t VALUES (1) ON CONFLICT DO NOTHING":          false,
			"INSERT INTO t VALUES (1) RETURNING a":                     false,
			"WITH x AS (SELECT 1) INSERT INTO t SELECT * FROM x":       false,
			"ALTER TABLE t DELETE WHERE a = 1":                         false,
			"UPDATE t SET a = 1":                                       false,
			"SELECT a FROM t":                                          false,
			"EXPLAIN INSERT INTO t VALUES (1)":                         false,
			"INSERT INTO":                                              false,
			"INSERT INTO t VALUES (nextval('s'))":                      false,
		} {
			checkInsertsOwnRows(t, dialect, text, want)
		}
	}
	for text, want := range map[string]bool{
		"INSERT INTO sales_1.t FORMAT TSV\n1\tx\n":                      true,
		"INSERT INTO TABLE sales_1.t (a) FORMAT JSONEachRow {\"a\": 1}": true,
		"INSERT INTO t SETTINGS async_insert = 1 VALUES (1)":            false,
		"INSERT INTO t (a) SETTINGS insert_deduplicate = 0 FORMAT TSV":  false,
		"INSERT INTO FUNCTION remote('h', 'd', 't') VALUES (1)":         false,
		"INSERT INTO t FROM INFILE 'x' FORMAT CSV":                      false,
		"INSERT INTO t WATCH v":                                         false,
	} {
		checkInsertsOwnRows(t, ClickHouse, text, want)
	}
}

// checkInsertsOwnRows checks InsertsOwnRows of a statement.
func checkInsertsOwnRows(t *testing.T, dialect Dialect, text string, want bool) {
	t.Helper()
	catalog := NewCatalog(Options{MaxBytes: 1 << 20})
	if got := catalog.Recognize(text, dialect, 0).InsertsOwnRows; got != want {
		t.Errorf("dialect %v, %s: %v, want %v", dialect, text, got, want)
	}
}
