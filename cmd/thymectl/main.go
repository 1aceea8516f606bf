// Command thymectl is the operators' tool: it looks at what the coordinator knows and does, off line. What is heavy is
// here and not in the coordinator.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

// streams are what a command reads and writes.
type streams struct {
	in  io.Reader
	out io.Writer
}

type commands struct {
	Shapes struct {
		Explain explain `cmd:"" help:"Read JSON lines with text and dialect, and tell for each what its statement is taken for."`
		Replay  replay  `cmd:"" help:"Play such lines through the cache and the prices, and tell how they did."`
		Show    show    `cmd:"" help:"Show what a snapshot of shapes holds."`
	} `cmd:"" help:"Statements and their shapes."`
}

func main() { os.Exit(run(os.Args[1:], streams{os.Stdin, os.Stdout}, os.Stderr)) }

func run(args []string, s streams, errs io.Writer) int {
	var line commands
	p, err := kong.New(&line, kong.Name("thymectl"), kong.Writers(s.out, errs), kong.Description("The operators' tool of thymeway."))
	if err != nil {
		fmt.Fprintln(errs, "thymectl:", err)
		return 1
	}
	ctx, err := p.Parse(args)
	if err != nil {
		fmt.Fprintf(errs, "thymectl: %v; see thymectl --help\n", err)
		return 2
	}
	if err := ctx.Run(s); err != nil {
		fmt.Fprintln(errs, "thymectl:", err)
		return 1
	}
	return 0
}
