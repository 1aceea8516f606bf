// Command thymectl is the operators' offline tool. It analyzes statements and the files that the coordinator writes, in a
// process of its own, so that expensive work does not slow the coordinator down.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

// streams holds the input and output of a command.
type streams struct {
	in  io.Reader
	out io.Writer
}

// commands defines the commands and flags that kong parses.
type commands struct {
	Shapes struct {
		Explain explain `cmd:"" help:"Read JSON lines with text and dialect, and tell for each what its statement is taken for."`
		Replay  replay  `cmd:"" help:"Play such lines through the cache and the prices, and tell how they did."`
		Show    show    `cmd:"" help:"Show what a snapshot of shapes holds."`
	} `cmd:"" help:"Statements and their shapes."`
}

func main() { os.Exit(run(os.Args[1:], streams{os.Stdin, os.Stdout}, os.Stderr)) }

// run executes a command line and returns the exit code.
func run(args []string, s streams, stderr io.Writer) int {
	var commandLine commands
	parser, err := kong.New(&commandLine, kong.Name("thymectl"), kong.Writers(s.out, stderr),
		kong.Description("The operators' tool of thymeway."))
	if err != nil {
		fmt.Fprintln(stderr, "thymectl:", err)
		return 1
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintf(stderr, "thymectl: %v; see thymectl --help\n", err)
		return 2
	}
	if err := ctx.Run(s); err != nil {
		fmt.Fprintln(stderr, "thymectl:", err)
		return 1
	}
	return 0
}
