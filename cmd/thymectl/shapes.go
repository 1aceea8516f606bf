package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"thymeway/internal/shape"
	"thymeway/internal/snapshot"
)

// statement is a line of input. Only replay uses the fields after Dialect.
type statement struct {
	Text    *string `json:"text"`
	Dialect string  `json:"dialect"`
	Tenant  string  `json:"tenant"`
	Told    float64 `json:"told"` // the client's estimate, ms of CPU time
	Work    float64 `json:"work"` // actual CPU time in ms
	Mem     float64 `json:"mem"`  // peak memory in MB
}

// explainedStatement is a line of explain's output.
type explainedStatement struct {
	Kind    string   `json:"kind"`
	Reads   []string `json:"reads"`
	Writes  []string `json:"writes"`
	Shape   string   `json:"shape"`
	Verdict string   `json:"verdict"`
	Reason  string   `json:"reason"`
}

// parseLine decodes a line of input. fault describes what is wrong with the line; it is empty if the line is valid.
func parseLine(line []byte) (s statement, dialect shape.Dialect, fault string) {
	if err := json.Unmarshal(line, &s); err != nil {
		return s, dialect, "bad line: " + err.Error()
	}
	if s.Text == nil {
		return s, dialect, "bad line: no text"
	}
	switch s.Dialect {
	case "postgres", "":
	case "clickhouse":
		dialect = shape.ClickHouse
	default:
		return s, dialect, fmt.Sprintf("bad line: dialect %.40q is neither postgres nor clickhouse", s.Dialect)
	}
	return s, dialect, ""
}

// forEachLine calls f for each line that is not blank, without a limit on its length. It stops at the first error.
func forEachLine(r io.Reader, f func([]byte) error) error {
	b := bufio.NewReaderSize(r, 1<<16)
	for {
		line, err := b.ReadBytes('\n')
		if trimmed := bytes.TrimSpace(line); len(trimmed) > 0 {
			if err := f(trimmed); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// explain is the command that shows how statements are classified.
type explain struct{}

// Run reads statements from the input and writes an explainedStatement for each line.
func (explain) Run(s streams) error {
	catalog := shape.NewCatalog(shape.Options{MaxBytes: 8 << 20})
	w := bufio.NewWriter(s.out)
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	err := forEachLine(s.in, func(line []byte) error {
		input, dialect, fault := parseLine(line)
		if fault != "" {
			return encoder.Encode(explainedStatement{shape.Unknown.String(), []string{}, []string{}, "", "default", fault})
		}
		return encoder.Encode(explainShape(catalog.Recognize(*input.Text, dialect, 0)))
	})
	if err != nil {
		return err
	}
	return w.Flush()
}

// explainShape returns the output line for the shape of a statement.
func explainShape(s *shape.Shape) explainedStatement {
	result := explainedStatement{Kind: s.Kind.String(), Reads: append([]string{}, s.Reads...),
		Writes: append([]string{}, s.Writes...), Shape: s.Name(),
		Verdict: "known", Reason: "recognised"}
	if reason := shape.CheckRole(shape.AnyRole, &s.Info); reason != shape.NoReason {
		result.Verdict, result.Reason = "default", reason.String()
	}
	return result
}

// replay is the command that runs recorded statements through the shape cache.
type replay struct {
	File     string `arg:"" help:"JSON lines with text and dialect, and tenant, told, work and mem where known."`
	MemoryKB int    `name:"memory-kb" default:"1024" help:"Memory for shapes."`
	Most     int    `default:"20" help:"Shapes to list, the dearest first."`
}

// shapeStats holds the number of statements of one shape, their work and cost, and a text for display.
type shapeStats struct {
	shape  *shape.Shape
	count  int
	workMs float64
	cost   shape.Cost
	text   string
}

// Run reads the file and prints the statistics of the cache, the estimates and the most expensive shapes.
func (r replay) Run(s streams) error {
	f, err := os.Open(r.File)
	if err != nil {
		return err
	}
	defer f.Close()
	catalog := shape.NewCatalog(shape.Options{MaxBytes: r.MemoryKB << 10})
	owners, byShape, badLines := map[string]int{}, map[uint64]*shapeStats{}, 0
	unproven := map[shape.Reason]int{}
	var elapsed time.Duration
	err = forEachLine(f, func(line []byte) error {
		input, dialect, fault := parseLine(line)
		if fault != "" {
			badLines++
			return nil
		}
		owner, ok := owners[input.Tenant]
		if !ok {
			owner = len(owners)
			owners[input.Tenant] = owner
		}
		start := time.Now()
		found := catalog.Recognize(*input.Text, dialect, owner)
		elapsed += time.Since(start)
		if found.Reason != shape.NoReason {
			unproven[found.Reason]++
		}
		entry := byShape[found.ID]
		if entry == nil {
			entry = &shapeStats{shape: found, text: found.Text()}
			byShape[found.ID] = entry
		}
		entry.count++
		if input.Work > 0 {
			catalog.Learn(found, input.Told, input.Work, max(input.Mem, 0))
			entry.workMs += input.Work
			entry.cost.Work.Add(input.Work)
			entry.cost.Mem.Add(input.Mem)
		}
		return nil
	})
	if err != nil {
		return err
	}
	stats := catalog.Stats()
	if stats.Lookups == 0 {
		return fmt.Errorf("%s: no statement in it, %d bad lines", r.File, badLines)
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) { fmt.Fprintf(w, "%s\t%s\n", name, fmt.Sprintf(format, args...)) }
	row("statements", "%d", stats.Lookups)
	row("bad lines", "%d", badLines)
	row("shapes", "%d, of which %d are remembered in %d KB", len(byShape), stats.Shapes, stats.Bytes>>10)
	row("hit rate", "%.4f", float64(stats.Hits)/float64(stats.Lookups))
	row("evictions", "%d", stats.Evicted)
	row("too long to remember", "%d", stats.Uncached)
	row("ns a statement", "%.0f", float64(elapsed.Nanoseconds())/float64(stats.Lookups))
	if stats.LearnedEstimateError > 0 {
		row("estimates off by", "told x%.2f, learned x%.2f (medians)", stats.RequestEstimateError, stats.LearnedEstimateError)
	}
	for d := shape.NoReason; d < shape.NumReasons; d++ {
		if unproven[d] > 0 {
			row("doubted: "+d.String(), "%d", unproven[d])
		}
	}
	fmt.Fprintln(w)
	all := make([]*shapeStats, 0, len(byShape))
	for _, entry := range byShape {
		all = append(all, entry)
	}
	printCostliest(w, all, r.Most)
	return w.Flush()
}

// printCostliest prints at most limit shapes, ordered by total work, then by number of statements, both descending.
func printCostliest(w io.Writer, all []*shapeStats, limit int) {
	slices.SortFunc(all, func(a, b *shapeStats) int {
		switch {
		case a.workMs != b.workMs:
			return sign(b.workMs - a.workMs)
		case a.count != b.count:
			return b.count - a.count
		}
		return sign(float64(a.shape.ID) - float64(b.shape.ID))
	})
	fmt.Fprintln(w, "SHAPE\tKIND\tREADS\tWRITES\tN\tWORK MS\tP50\tP95\tMEM MB\tTEXT")
	for _, entry := range all[:min(limit, len(all))] {
		text := entry.text
		if r := []rune(text); len(r) > 80 {
			text = string(r[:77]) + "..."
		}
		cost := &entry.cost
		fmt.Fprintf(w, "%s\t%v\t%v\t%v\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%s\n", entry.shape.Name(),
			entry.shape.Kind, entry.shape.Reads, entry.shape.Writes, entry.count, entry.workMs,
			cost.Work.Quantile(0.5), cost.Work.Quantile(0.95), cost.Mem.Mean(), text)
	}
}

// sign returns -1, 0 or 1, like cmp.Compare(v, 0).
func sign(v float64) int {
	switch {
	case v < 0:
		return -1
	case v > 0:
		return 1
	}
	return 0
}

// show is the command that lists the shapes in a snapshot.
type show struct {
	File string `arg:"" help:"The file that shapes.file names."`
	Most int    `default:"20" help:"Shapes to list, the dearest first."`
}

// Run reads the snapshot and prints its most expensive shapes.
func (c show) Run(s streams) error {
	const maxBytes = 64 << 20
	payload, err := snapshot.Read(c.File, shape.DumpKind, shape.DumpVersion, maxBytes)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	catalog := shape.NewCatalog(shape.Options{MaxBytes: maxBytes})
	n, err := catalog.Load(payload)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "shapes\t%d\n\n", n)
	var all []*shapeStats
	catalog.Each(func(entry *shape.Shape) {
		cost := &entry.Cost
		all = append(all, &shapeStats{shape: entry, count: int(cost.Work.Count()), workMs: cost.Work.Count() * cost.Work.Mean(),
			cost: *cost, text: entry.Text()})
	})
	printCostliest(w, all, c.Most)
	return w.Flush()
}
