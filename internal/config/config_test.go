package config

import (
	"os"
	"strings"
	"testing"
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
	c, err := FromEnvironment(func(k string) string { return env[k] })
	if err != nil || c.Name != "n3" || c.Listen != "127.0.0.1:7000" || c.Sockets != 1024 || c.ConnectTimeout != 250 || len(c.Choice.Classes) != 3 {
		t.Errorf("got %+v, %v", c, err)
	}
	if _, err := FromEnvironment(func(string) string { return "" }); err == nil || !strings.Contains(err.Error(), "EDGE_CONFIG") {
		t.Errorf("got %v", err)
	}
}
