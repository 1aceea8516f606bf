package wire

import (
	"strings"
	"testing"

	"thymeway/choice"
)

// settings is a JSON object with settings, and one unknown key.
const settings = `{"categories":[{"name":"c","sloMs":100,"idempotency":"at_most_once","byArrival":true}],"later":{"x":1}}`

// lines are valid lines, in an order that the decoder accepts.
var lines = []string{
	"TURN\t8412.25", "FLUSH", "SHEET\t0\t2", "ROW\t-\tfloor-3\tstd-8\t1\thealthy\t0\te1",
	"ROW\t6100.0\tfloor-5\tstd-8\t1.5\tcordoned\t0\te2", "POWER_ON\t3\t77\t" + settings,
	"REGISTRY\t3\tstale_copy\t41\t0", "NEW_REQUEST\t3\tt/a\tc\tten\tobj.k\t8652.25\t12.0\t384\t11\t1",
	"DONE\t3\tt/a\t0\te1\tdelivered\t18.5\t1\t69728\tbusy:0.62,new:3", "NOTICE\t3\tt/a\t0\te1\t1\t0.5",
	"HEALTH\t3\te1\tdelivered\t2\trif:3", "ALARM\t3\tsweep", "VANISHED\t3\tt/a", "FIRST\t3\tt/a\t0\te1\t5",
	"PEER\t3\t1\t00", "DESTROY\t3",
}

// TestDecode decodes all valid lines, and compares the decoded fields of an engine list, a request, an outcome and settings.
func TestDecode(t *testing.T) {
	d := NewDecoder()
	var got []Line
	for _, s := range lines {
		l, err := d.Decode(s)
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, l)
	}
	if l := got[6].Event.(choice.EngineList); !l.Complete || len(l.Engines) != 2 || l.Engines[1].Status != choice.Draining {
		t.Errorf("list: %+v", l)
	}
	want := choice.Request{ID: "t/a", Class: "c", Tenant: "ten", OrderKey: "obj.k", Deadline: 8652.25, Work: 12, Mem: 384,
		TableGroup: "11"}
	if got[7].Event != want {
		t.Errorf("request: %+v", got[7].Event)
	}
	o := got[8].Event.(choice.Outcome)
	if o.Work != 17 || o.Mem != 4*96 || !o.RequestEnded || o.Result != choice.OK || o.Report.Busy != 0.62 {
		t.Errorf("outcome: %+v", o)
	}
	if c := got[5].Settings.Classes[0]; c.Idempotency != choice.AtMostOnce || !c.InOrder || got[5].Settings.Seed != 77 {
		t.Errorf("settings: %+v", got[5].Settings)
	}
}

// TestDecodeErrorNamesLineAndField checks that the error for a malformed line names the line and the field.
func TestDecodeErrorNamesLineAndField(t *testing.T) {
	for _, c := range []struct{ line, want string }{
		{"TURN\tx", "field 1 (atTimeMs)"},
		{"TURN", "field 1 (atTimeMs)"},
		{"WHAT\t1", "WHAT"},
		{"DONE\t3\tt/a\t0\te1\tmaybe\t1\t0\t-\t-", "field 5 (code)"},
		{"DONE\t3\tt/a\tzero\te1\tshed\t1\t0\t-\t-", "field 3 (leg)"},
		{"DONE\t3\tt/a\t0\te1\tshed\t1\t0\t-\tbusy", "field 9 (pressure)"},
		{"DONE\t3\tt/a\t0\te1\tshed\tNaN\t0\t-\t-", "field 6 (waitTimeMs)"},
		{"NEW_REQUEST\t3\tt/a\tc\t-\t-\t-\t-\t-\t-\t0", "field 6 (notAfterMs)"},
		{"REGISTRY\t3\twhole\t1\t9", "field 4 (bank)"},
		{"POWER_ON\t3\t5\t{", "field 3 (bootInfo)"},
		{"ROW\t-\ta\tb\t1\thealthy\t0\te", "ROW"},
	} {
		_, err := NewDecoder().Decode(c.line)
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), "line 1") {
			t.Errorf("%q: %v, want %s", c.line, err, c.want)
		}
	}
}

// TestEncode encodes one action of each kind except SendToPeer.
func TestEncode(t *testing.T) {
	for want, a := range map[string]choice.Action{
		"DISPATCH\t3\tt/a\te1\t80\n":   choice.Send{Request: "t/a", Engine: "e1", Timeout: 80},
		"AFTER\t3\tsweep\t8912.25\n":   choice.Wake{Token: "sweep", At: 8912.25},
		"ALLOT\t3\tt/a\t2\t640\n":      choice.SendOptions{Request: "t/a", Priority: 2, Grant: 640},
		"CALL_OFF\t3\tt/a\t1\n":        choice.Cancel{Request: "t/a", Attempt: 1},
		"SHED\t3\tt/a\t500\n":          choice.Refuse{Request: "t/a", RetryAfter: 500},
		"ERROR\t3\tt/a\n":              choice.Fail{Request: "t/a"},
		"TEST\t3\te1\n":                choice.Probe{Engine: "e1"},
		"WATCH\t3\t1\n":                choice.Subscribe{},
		"JOURNAL_LINE\t3\ttwo words\n": choice.Log{Text: "two words"},
	} {
		if got := string(Encode(nil, 3, a)); got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}

// FuzzDecode checks that no input crashes the decoder, and that each error names its line.
func FuzzDecode(f *testing.F) {
	for _, s := range lines {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		d := NewDecoder()
		if _, err := d.Decode("SHEET\t0\t0"); err != nil {
			t.Fatal(err)
		}
		if _, err := d.Decode(s); err != nil && !strings.HasPrefix(err.Error(), "line 2: ") {
			t.Fatalf("error without its line: %v", err)
		}
	})
}
