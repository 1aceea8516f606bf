package tally

import (
	"bytes"
	"log"
	"testing"
)

// A flood of one fault is a line at its start and one every ten seconds, with their number.
func TestFlood(t *testing.T) {
	var out bytes.Buffer
	flags := log.Flags()
	log.SetFlags(0)
	log.SetOutput(&out)
	defer func() {
		log.SetFlags(flags)
		log.SetOutput(log.Default().Writer())
	}()
	now := 0.0
	f := &Tally{Now: func() float64 { return now }}
	for ; now <= 10000; now += 10 {
		f.Add("garbled", "from=%s", "a")
	}
	if want := "event=garbled n=1 from=a\nevent=garbled n=1000 from=a\n"; out.String() != want {
		t.Errorf("got %q", out.String())
	}
}
