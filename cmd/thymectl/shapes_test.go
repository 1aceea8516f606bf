package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"thymeway/internal/shape"
	"thymeway/internal/snapshot"
)

// runTool runs thymectl with the given input and arguments.
func runTool(t *testing.T, in string, args ...string) (out, errs string, code int) {
	var stdout, stderr bytes.Buffer
	code = run(args, streams{strings.NewReader(in), &stdout}, &stderr)
	return stdout.String(), stderr.String(), code
}

// explain writes one line in the documented format for each line of input, valid or not.
func TestExplain(t *testing.T) {
	in := `{"text":"SELECT count(*) FROM sales_17.orders o, ref_8.x WHERE a = 'x'","dialect":"postgres"}
{"text":"select COUNT(*) from sales_17.orders O, ref_8.x where a = 'y' -- z","dialect":"postgres"}

{"text":"WITH x AS (INSERT INTO sales_3.t SELECT * FROM staging.u RETURNING 1) SELECT * FROM x","dialect":"postgres"}
{"text":"INSERT INTO sales_3.t FORMAT CSV 1,'","dialect":"clickhouse"}
{"text":"SELECT 'open","dialect":"postgres"}
{"text":"SHOW x"}
{"text":"SELECT 1","dialect":"oracle"}
{"dialect":"postgres"}
nonsense`
	out, errs, code := runTool(t, in, "shapes", "explain")
	got := strings.Split(strings.TrimSpace(out), "\n")
	if code != 0 || errs != "" || len(got) != 9 {
		t.Fatalf("code %d, %s%s", code, out, errs)
	}
	if got[0] != got[1] || !strings.HasPrefix(got[0], `{"kind":"aggregate","reads":["17","8"],"writes":[],"shape":"`) ||
		!strings.HasSuffix(got[0], `","verdict":"known","reason":"recognised"}`) {
		t.Errorf("%s\n%s", got[0], got[1])
	}
	for i, want := range map[int][]string{2: {`"write"`, `"reads":[]`, `"writes":["3"]`, `"known"`},
		3: {`"write"`, `["3"]`, `"known"`}, 4: {`"unknown"`, `"default"`, `"malformed"`}, 5: {`"control"`},
		6: {`"unknown"`, `"default"`, "oracle"}, 7: {"no text"}, 8: {"bad line"}} {
		for _, w := range want {
			if !strings.Contains(got[i], w) {
				t.Errorf("line %d: %s lacks %s", i, got[i], w)
			}
		}
	}
}

// replay reports the hit rate and the errors of the estimates, and lists the most expensive shape first.
func TestReplay(t *testing.T) {
	var in strings.Builder
	for i := range 100 {
		fmt.Fprintf(&in, `{"text":"SELECT a FROM sales_3.t WHERE id = %d","tenant":"a","work":10,"told":40,"mem":3}`+"\n", i)
		fmt.Fprintf(&in, `{"text":"SELECT sum(a) FROM sales_4.t WHERE id = %d","tenant":"b","work":500}`+"\n", i)
	}
	in.WriteString("nonsense\n" + `{"text":"SELECT 'open"}` + "\n")
	file := filepath.Join(t.TempDir(), "in")
	if err := os.WriteFile(file, []byte(in.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	out, _, code := runTool(t, "", "shapes", "replay", file)
	lines := strings.Split(out, "\n")
	for _, want := range []string{"statements", "201", "hit rate", "0.9851", "malformed", "told x4.", "learned x1."} {
		if !strings.Contains(out, want) {
			t.Errorf("%s is missing in\n%s", want, out)
		}
	}
	for i, l := range lines {
		if strings.HasPrefix(l, "SHAPE") && !strings.Contains(lines[i+1], "aggregate") {
			t.Errorf("the first shape listed is %s", lines[i+1])
		}
	}
	if code != 0 {
		t.Errorf("code %d", code)
	}
	if _, errs, code := runTool(t, "", "shapes", "replay", file+"x"); code != 1 || !strings.Contains(errs, "no such file") {
		t.Errorf("code %d, %s", code, errs)
	}
	if _, errs, code := runTool(t, "", "shapes", "sing"); code != 2 || errs == "" {
		t.Errorf("code %d, %s", code, errs)
	}
}

// show lists the shapes in a snapshot, and rejects a truncated one with the reason.
func TestShow(t *testing.T) {
	catalog := shape.NewCatalog(shape.Options{MaxBytes: 1 << 20})
	catalog.Learn(catalog.Recognize("SELECT a FROM sales_3.t WHERE b = 5", shape.Postgres, 0), 0, 70, 5)
	dump := catalog.Dump()
	dump.Step(10)
	file := filepath.Join(t.TempDir(), "s")
	whole := snapshot.Encode(shape.DumpKind, shape.DumpVersion, dump.Bytes())
	if err := snapshot.Write(file, whole); err != nil {
		t.Fatal(err)
	}
	if out, errs, code := runTool(t, "", "shapes", "show", file); code != 0 ||
		!strings.Contains(out, "select a from sales_3 . t where b = ?") || !strings.Contains(out, "70") {
		t.Errorf("%s%s", out, errs)
	}
	if err := os.WriteFile(file, whole[:50], 0o600); err != nil {
		t.Fatal(err)
	}
	if _, errs, code := runTool(t, "", "shapes", "show", file); code != 1 || !strings.Contains(errs, "torn") {
		t.Errorf("code %d, %s", code, errs)
	}
}
