// Command drill hosts instances of the decision module on the simulator's wire:
// batches of events on standard input, one reply for each on standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"thymeway/choice"
	"thymeway/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<20), bufio.NewWriterSize(out, 1<<16)
	dec := wire.NewDecoder()
	fronts := map[int]*choice.Front{}
	pending := map[int][]choice.Event{}
	var order []int // instances with an event, by first event
	var reply []byte
	var now float64
	open := false
	// guarded turns a panic of an instance's module into its GIVE_IN; use with defer.
	guarded := func(who int) {
		if p := recover(); p != nil {
			text := strings.Join(strings.Fields(fmt.Sprint(p)), " ")
			reply = append(reply, fmt.Sprintf("GIVE_IN\t%d\t%s\n", who, text)...)
		}
	}
	start := func(l wire.Line) {
		defer guarded(l.Who)
		fronts[l.Who], pending[l.Who] = choice.New(l.Settings, now), nil
	}
	// settle lets an instance answer what it has been told in this batch.
	settle := func(who int) {
		events := pending[who]
		if len(events) == 0 || fronts[who] == nil {
			return
		}
		pending[who] = events[:0]
		defer guarded(who)
		for _, a := range fronts[who].Step(now, events) {
			reply = wire.Encode(reply, who, a)
		}
	}
	for n := 1; ; n++ {
		text, err := r.ReadString('\n')
		if errors.Is(err, io.EOF) && text == "" {
			if open {
				return fmt.Errorf("line %d: input ended inside a batch", n)
			}
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		l, err := dec.Decode(strings.TrimRight(text, "\r\n"))
		if err != nil {
			return err
		}
		if open == (l.Kind == wire.Turn) {
			return fmt.Errorf("line %d: message out of place: a batch runs from TURN to FLUSH", n)
		}
		switch l.Kind {
		case wire.Turn:
			now, open = l.Now, true
		case wire.Start:
			start(l)
			order = append(order, l.Who)
		case wire.Stop:
			delete(fronts, l.Who)
			delete(pending, l.Who)
		case wire.Happens:
			if fronts[l.Who] == nil {
				return fmt.Errorf("line %d: field 1 (who): instance %d is not running", n, l.Who)
			}
			if l.Event == nil {
				continue
			}
			if len(pending[l.Who]) == 0 {
				order = append(order, l.Who)
			}
			pending[l.Who] = append(pending[l.Who], l.Event)
		case wire.Flush:
			for _, who := range order {
				settle(who)
			}
			order, open = order[:0], false
			if _, err := w.Write(append(reply, "DONE\n"...)); err != nil {
				return err
			}
			if err := w.Flush(); err != nil {
				return err
			}
			reply = reply[:0]
		}
	}
}
