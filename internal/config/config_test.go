package config

import (
	"os"
	"strings"
	"testing"

	"thymeway/internal/shape"
)

func example(t *testing.T) string {
	text, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Each message has to name the faulty key.
func TestFaults(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`"name": "toy"`, `"name": ""`, "name: missing"},
		{`"127.0.0.1:5499"`, `"here"`, `listen: "here" does not`},
		{`"127.0.0.1:8599"`, `""`, "board: missing"},
		{`"8c1f30d27a5be964"`, `"xyz"`, "seed: "},
		{`"cores": 1.0`, `"cores": 0`, "limits.cores: 0"},
		{`"memory_mb": 192`, `"memory_mb": "much"`, "memory_mb: a string"},
		{`"sockets": 1024`, `"sockets": 3`, "limits.sockets: 3"},
		{`"known"`, `"unknown"`, "known: missing"},
		{`"settings"`, `"setting"`, "settings: missing"},
		{`"categories"`, `"category"`, "settings.categories: "},
		{`"idempotent"`, `"sometimes"`, "settings: categories[0].idempotency: "},
		{`"connIdleMs": 15000`, `"connIdleMs": -1`, "settings.ceilings.connIdleMs: -1"},
		{`{`, ``, "configuration: "},
	} {
		_, err := Parse([]byte(strings.Replace(example(t), c.old, c.new, 1)), "", "")
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %s", c.new, err, c.want)
		}
	}
}

func TestEnvironment(t *testing.T) {
	env := map[string]string{"EDGE_CONFIG": "../../examples/config.json", "EDGE_NAME": "n3", "EDGE_LISTEN": "127.0.0.1:7000"}
	c, err := FromEnvironment(func(k string) string { return env[k] }, OwnFile)
	if err != nil || c.Name != "n3" || c.Listen != "127.0.0.1:7000" || c.Sockets != 1024 || c.ConnectTimeout != 250 || len(c.Choice.Classes) != 3 {
		t.Errorf("got %+v, %v", c, err)
	}
	if _, err := FromEnvironment(func(string) string { return "" }, OwnFile); err == nil || !strings.Contains(err.Error(), "EDGE_CONFIG") {
		t.Errorf("got %v", err)
	}
}

// Each fault of our own settings names its section and key, and all of them are told at once.
func TestOwnFaults(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"[log]\nlevel = loud", "[log] level: "},
		{"[shapes]\nmemory_kb = 7", "[shapes] memory_kb: 7 is neither"},
		{"[shapes]\nmemory_kb = much", `[shapes] memory_kb: "much" is not`},
		{"[shapes]\nestimates = maybe", `[shapes] estimates: "maybe" is not one of off, fill`},
		{"[shapes]\nevery_s = 0", "[shapes] every_s: "},
		{"[shapes]\ncolour = red", "[shapes] colour: unknown key"},
		{"[shapes]\nfile = a\nfile = b", "[shapes] file: given 2 times"},
		{"[shapes]\n[log]\n[shapes]\n", "[shapes]: given twice"},
		{"[shape]\nfile = a", "[shape]: unknown section"},
		{"[class ]\nrole = any", "unknown section"},
		{"[class lookup]\nrole = sings", "[class lookup] role: "},
		{"file = a", "file: stands in no section"},
		{"[log\n", "unclosed section"},
		{"[log]\nlevel = loud\n[shapes]\nevery_s = x", "[shapes] every_s: "},
	} {
		if _, err := ParseOwn([]byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: got %v, want %s", c.text, err, c.want)
		}
	}
}

// The file in deploy sets nothing but the defaults, and tells of every key.
func TestOwnFile(t *testing.T) {
	text, err := os.ReadFile("../../deploy/thymeway.ini")
	if err != nil {
		t.Fatal(err)
	}
	var want strings.Builder
	WriteDefaults(&want)
	if !strings.HasSuffix(string(text), want.String()) {
		t.Errorf("deploy/thymeway.ini does not end with the settings as they are now:\n%s", want.String())
	}
	o, err := ParseOwn(text)
	none, err2 := ParseOwn(nil)
	if err != nil || err2 != nil || o.Shapes != none.Shapes || o.LogLevel != none.LogLevel || len(o.Roles) != 0 {
		t.Errorf("got %+v, %v, without a file %+v, %v", o, err, none, err2)
	}
	if _, err := ReadOwn("nowhere.ini"); err == nil {
		t.Error("a file that is asked for need not be there")
	}
}

// Roles of our own settings reach the rules, and memory for shapes follows the limit.
func TestClassify(t *testing.T) {
	c, err := Parse([]byte(example(t)), "", "")
	if err != nil {
		t.Fatal(err)
	}
	if c.Own, err = ParseOwn([]byte("[class report]\nrole = any\n[clickhouse]\nread_class = report\n")); err != nil {
		t.Fatal(err)
	}
	if r := c.Classify(); r.Role("report") != shape.Any || r.Role("load") != shape.Writes {
		t.Errorf("report %v, load %v", r.Role("report"), r.Role("load"))
	} else if name, _ := r.For(shape.Read); name != "report" {
		t.Errorf("reads are %s", name)
	}
	if c.ShapeBytes() != 4026531 {
		t.Errorf("%d bytes for shapes", c.ShapeBytes())
	}
}
