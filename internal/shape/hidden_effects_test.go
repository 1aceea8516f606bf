package shape

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"
)

// hiddenEffects are calls of functions that may have any effect.
var hiddenEffects = []string{"billing.post_invoice(17)", `"billing"."post_invoice"(17)`, "billing . post_invoice (17)",
	"lake.billing.post_invoice(17)", "billing/**/.post_invoice(17, 'x')", "sales_17.post(1)", "Billing.Post_Invoice()",
	"pg_catalog.nextval('s')", "PG_CATALOG.nextval('s')", "nextval('s')", "billing.post_invoice((SELECT max(a) FROM u))"}

// placesOfCalls are statements in which a call stands in the place of %s.
var placesOfCalls = []string{"SELECT %s", "SELECT a FROM %s", "SELECT a FROM %s AS x", "SELECT a FROM t, %s", "SELECT a FROM t, u, %s x, v",
	"SELECT a FROM t JOIN %s x ON x.a = t.a", "SELECT a FROM t LEFT JOIN LATERAL %s x ON true", "SELECT a FROM t CROSS JOIN %s",
	"SELECT a FROM (SELECT * FROM %s) q", "SELECT a FROM t WHERE b IN (SELECT c FROM %s)", "WITH w AS (SELECT * FROM %s) SELECT * FROM w",
	"SELECT a FROM t WHERE b = %s", "SELECT a FROM t GROUP BY %s", "SELECT a FROM t ORDER BY %s", "SELECT a FROM t LIMIT %s",
	"SELECT CASE WHEN %s THEN 1 END FROM t", "SELECT a FROM t UNION ALL SELECT * FROM %s", "VALUES (%s)", "SELECT count(%s) FROM t",
	"SELECT a FROM ROWS FROM (%s) AS r", "SELECT (%s).a", "SELECT ARRAY[%s]", "SELECT a FROM t HAVING %s > 1",
	"SELECT EXISTS (SELECT 1 FROM %s)", "SELECT a FROM sales_1.t JOIN sales_2.u USING (a), %s", "SELECT sum(a) OVER (ORDER BY %s) FROM t",
	"SELECT 1; SELECT * FROM %s"}

// hiddenStatements are statements that follow a line comment which ends with a carriage return, as in PostgreSQL.
var hiddenStatements = []string{"; DELETE FROM t", "; INSERT INTO t VALUES (1)", ", nextval('s')", ", billing.post_invoice(17)"}

// Guards against writes that are repeated as reads: a call of a function with unknown effects must be noticed wherever it stands, and
// a comment must not hide what an engine runs.
func TestHiddenEffectIsTakenForRead(t *testing.T) {
	const statements = 10000
	random := rand.New(rand.NewSource(1))
	pick := func(from []string) string { return from[random.Intn(len(from))] }
	catalog := NewCatalog(Options{MaxBytes: 1 << 20})
	taken := 0
	for n := range statements {
		text := fmt.Sprintf(pick(placesOfCalls), pick(hiddenEffects))
		if random.Intn(5) == 0 {
			text = "SELECT a" + pick([]string{" ", "\t"}) + "-- only a read\r" + pick([]string{"", "\r", " "}) + pick(hiddenStatements)
		}
		text = strings.ReplaceAll(text, " FROM ", pick([]string{" FROM ", " from\n", " FROM /* x */ ", " FROM -- x\n "}))
		if random.Intn(3) == 0 {
			text = "/* report */ " + text + pick([]string{";", "\n", " -- end"})
		}
		dialect := []Dialect{Postgres, ClickHouse}[n%2]
		if s := catalog.Recognize(text, dialect, 0); CheckRole(ReadRole, &s.Info) == NoReason {
			if taken++; taken < 20 {
				t.Errorf("taken for a %v: %q, dialect %v", s.Kind, text, dialect)
			}
		}
	}
	if taken > 0 {
		t.Errorf("%d of %d statements are taken for reads", taken, statements)
	}
	for _, text := range []string{"SELECT a FROM billing.invoices", "SELECT a FROM billing.invoices, sales_1.t", "SELECT a FROM pg_catalog.pg_class",
		"SELECT * FROM pg_catalog.generate_series(1, 3)", "SELECT a FROM t -- x\r\nWHERE b = 1", "SELECT a -- x\n FROM t"} {
		if s := catalog.Recognize(text, Postgres, 0); CheckRole(ReadRole, &s.Info) != NoReason {
			t.Errorf("not taken for a read: %q: %v", text, s.Reason)
		}
	}
}
