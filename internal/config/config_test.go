package config

import (
	"os"
	"strings"
	"testing"

	"thymeway/internal/shape"
)

func exampleConfig(t *testing.T) string {
	text, err := os.ReadFile("../../examples/config.json")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Each error must name the invalid key.
func TestErrorsNameTheKey(t *testing.T) {
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
		_, err := Parse([]byte(strings.Replace(exampleConfig(t), c.old, c.new, 1)), "", "")
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want %s", c.new, err, c.want)
		}
	}
}

// EDGE_NAME and EDGE_LISTEN must override the configuration file, and the error must name a missing EDGE_CONFIG.
func TestEnvironment(t *testing.T) {
	env := map[string]string{"EDGE_CONFIG": "../../examples/config.json", "EDGE_NAME": "n3", "EDGE_LISTEN": "127.0.0.1:7000"}
	c, err := FromEnvironment(func(k string) string { return env[k] }, LocalFile)
	if err != nil || c.Name != "n3" || c.Listen != "127.0.0.1:7000" || c.Sockets != 1024 ||
		c.ConnectTimeout != 250 || len(c.Scheduler.Classes) != 3 {
		t.Errorf("got %+v, %v", c, err)
	}
	if _, err := FromEnvironment(func(string) string { return "" }, LocalFile); err == nil ||
		!strings.Contains(err.Error(), "EDGE_CONFIG") {
		t.Errorf("got %v", err)
	}
}

// Each error in the local settings must name its section and key, and all errors are reported together.
func TestLocalSettingsErrorsNameTheKey(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"[log]\nlevel = loud", "[log] level: "},
		{"[shapes]\nmemory_kb = 7", "[shapes] memory_kb: 7 is neither"},
		{"[shapes]\nmemory_kb = much", `[shapes] memory_kb: "much" is not`},
		{"[shapes]\nestimates = maybe", `[shapes] estimates: "maybe" is not one of off, fill`},
		{"[shapes]\nevery_s = 0", "[shapes] every_s: "},
		{"[shapes]\ncolour = red", "[shapes] colour: unknown key"},
		{"[shapes]\nfile = a\nfile = b", "[shapes] file: given 2 times"},
		{"[shapes]\n[log]\n[shapes]\n", "[shapes]: section given twice"},
		{"[shape]\nfile = a", "[shape]: unknown section"},
		{"[class ]\nrole = any", "unknown section"},
		{"[class lookup]\nrole = sings", "[class lookup] role: "},
		{"file = a", "file: key outside any section"},
		{"[log\n", "unclosed section"},
		{"[log]\nlevel = loud\n[shapes]\nevery_s = x", "[shapes] every_s: "},
	} {
		if _, err := ParseLocal([]byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: got %v, want %s", c.text, err, c.want)
		}
	}
}

// deploy/thymeway.ini must list every key with its default, as WriteDefaults writes them.
func TestLocalSettingsFile(t *testing.T) {
	text, err := os.ReadFile("../../deploy/thymeway.ini")
	if err != nil {
		t.Fatal(err)
	}
	var want strings.Builder
	WriteDefaults(&want)
	if !strings.HasSuffix(string(text), want.String()) {
		t.Errorf("deploy/thymeway.ini does not end with the current settings:\n%s", want.String())
	}
	local, err := ParseLocal(text)
	none, err2 := ParseLocal(nil)
	if err != nil || err2 != nil || local.Shapes != none.Shapes || local.LogLevel != none.LogLevel || len(local.Roles) != 0 {
		t.Errorf("got %+v, %v, without a file %+v, %v", local, err, none, err2)
	}
	if _, err := ReadLocal("nowhere.ini"); err == nil {
		t.Error("no error for a missing file other than the default one")
	}
}

// Roles in the local settings must be part of the class rules, and the memory for shapes follows the memory limit.
func TestClassRules(t *testing.T) {
	c, err := Parse([]byte(exampleConfig(t)), "", "")
	if err != nil {
		t.Fatal(err)
	}
	if c.Local, err = ParseLocal([]byte("[class report]\nrole = any\n[clickhouse]\nread_class = report\n")); err != nil {
		t.Fatal(err)
	}
	if r := c.ClassRules(); r.Role("report") != shape.AnyRole || r.Role("load") != shape.WriteRole {
		t.Errorf("report %v, load %v", r.Role("report"), r.Role("load"))
	} else if name, _ := r.ClassOf(shape.Read); name != "report" {
		t.Errorf("reads have class %s", name)
	}
	if c.ShapeBytes() != 4026531 {
		t.Errorf("%d bytes for shapes", c.ShapeBytes())
	}
}
