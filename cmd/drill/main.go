// Command drill runs scheduler instances for the simulator. It reads batches of events from standard input and writes one
// reply for each batch to standard output.
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

// run answers batches of events until the input ends.
func run(in io.Reader, out io.Writer) error {
	input, output := bufio.NewReaderSize(in, 1<<20), bufio.NewWriterSize(out, 1<<16)
	decoder := wire.NewDecoder()
	schedulers := map[int]*choice.Scheduler{}
	pendingEvents := map[int][]choice.Event{}
	var stepOrder []int // instances that start or have events in this batch, in the order of their lines
	var reply []byte
	var now float64
	inBatch := false
	// recoverPanic is deferred around calls of an instance's scheduler, and turns a panic into a GIVE_IN line.
	recoverPanic := func(instance int) {
		if problem := recover(); problem != nil {
			text := strings.Join(strings.Fields(fmt.Sprint(problem)), " ")
			reply = append(reply, fmt.Sprintf("GIVE_IN\t%d\t%s\n", instance, text)...)
		}
	}
	start := func(line wire.Line) {
		defer recoverPanic(line.Instance)
		schedulers[line.Instance], pendingEvents[line.Instance] = choice.New(line.Settings, now), nil
	}
	// step passes an instance its events of this batch and encodes its actions.
	step := func(instance int) {
		events := pendingEvents[instance]
		if len(events) == 0 || schedulers[instance] == nil {
			return
		}
		pendingEvents[instance] = events[:0]
		defer recoverPanic(instance)
		for _, a := range schedulers[instance].Step(now, events) {
			reply = wire.Encode(reply, instance, a)
		}
	}
	for lineNumber := 1; ; lineNumber++ {
		text, err := input.ReadString('\n')
		if errors.Is(err, io.EOF) && text == "" {
			if inBatch {
				return fmt.Errorf("line %d: input ended inside a batch", lineNumber)
			}
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return err
		}
		line, err := decoder.Decode(strings.TrimRight(text, "\r\n"))
		if err != nil {
			return err
		}
		if inBatch == (line.Kind == wire.Turn) {
			return fmt.Errorf("line %d: message out of place: a batch runs from TURN to FLUSH", lineNumber)
		}
		switch line.Kind {
		case wire.Turn:
			now, inBatch = line.Now, true
		case wire.Start:
			start(line)
			stepOrder = append(stepOrder, line.Instance)
		case wire.Stop:
			delete(schedulers, line.Instance)
			delete(pendingEvents, line.Instance)
		case wire.Event:
			if schedulers[line.Instance] == nil {
				return fmt.Errorf("line %d: field 1 (who): instance %d is not running", lineNumber, line.Instance)
			}
			if line.Event == nil {
				continue
			}
			if len(pendingEvents[line.Instance]) == 0 {
				stepOrder = append(stepOrder, line.Instance)
			}
			pendingEvents[line.Instance] = append(pendingEvents[line.Instance], line.Event)
		case wire.Flush:
			for _, instance := range stepOrder {
				step(instance)
			}
			stepOrder, inBatch = stepOrder[:0], false
			if _, err := output.Write(append(reply, "DONE\n"...)); err != nil {
				return err
			}
			if err := output.Flush(); err != nil {
				return err
			}
			reply = reply[:0]
		}
	}
}
