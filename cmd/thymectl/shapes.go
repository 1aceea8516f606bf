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

// statement is a line of input. What goes beyond text and dialect serves replay.
type statement struct {
	Text    *string `json:"text"`
	Dialect string  `json:"dialect"`
	Tenant  string  `json:"tenant"`
	Told    float64 `json:"told"` // ms, the estimate that came with it
	Work    float64 `json:"work"` // ms, what it took
	Mem     float64 `json:"mem"`  // MB
}

// explained is a line of output.
type explained struct {
	Kind    string   `json:"kind"`
	Reads   []string `json:"reads"`
	Writes  []string `json:"writes"`
	Shape   string   `json:"shape"`
	Verdict string   `json:"verdict"`
	Reason  string   `json:"reason"`
}

// parse reads a line. Its fault is a reason in words.
func parse(line []byte) (s statement, d shape.Dialect, fault string) {
	if err := json.Unmarshal(line, &s); err != nil {
		return s, d, "bad line: " + err.Error()
	}
	if s.Text == nil {
		return s, d, "bad line: no text"
	}
	switch s.Dialect {
	case "postgres", "":
	case "clickhouse":
		d = shape.ClickHouse
	default:
		return s, d, fmt.Sprintf("bad line: dialect %.40q is neither postgres nor clickhouse", s.Dialect)
	}
	return s, d, ""
}

// lines calls f for each line that is not blank, however long.
func lines(r io.Reader, f func([]byte) error) error {
	b := bufio.NewReaderSize(r, 1<<16)
	for {
		line, err := b.ReadBytes('\n')
		if t := bytes.TrimSpace(line); len(t) > 0 {
			if err := f(t); err != nil {
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

type explain struct{}

// Run is the command.
func (explain) Run(s streams) error {
	book := shape.NewCatalog(shape.Options{MaxBytes: 8 << 20})
	w := bufio.NewWriter(s.out)
	e := json.NewEncoder(w)
	e.SetEscapeHTML(false)
	err := lines(s.in, func(line []byte) error {
		x, d, fault := parse(line)
		if fault != "" {
			return e.Encode(explained{shape.Unknown.String(), []string{}, []string{}, "", "default", fault})
		}
		return e.Encode(explanation(book.Recognise(*x.Text, d, 0)))
	})
	if err != nil {
		return err
	}
	return w.Flush()
}

func explanation(s *shape.Shape) explained {
	x := explained{Kind: s.Kind.String(), Reads: append([]string{}, s.Reads...), Writes: append([]string{}, s.Writes...), Shape: s.Name(),
		Verdict: "known", Reason: "recognised"}
	if d := shape.CheckRole(shape.AnyRole, &s.Info); d != shape.NoReason {
		x.Verdict, x.Reason = "default", d.String()
	}
	return x
}

type replay struct {
	File     string `arg:"" help:"JSON lines with text and dialect, and tenant, told, work and mem where known."`
	MemoryKB int    `name:"memory-kb" default:"1024" help:"Memory for shapes."`
	Most     int    `default:"20" help:"Shapes to list, the dearest first."`
}

// tally is what a replay saw of a shape.
type tally struct {
	s     *shape.Shape
	n     int
	work  float64
	price shape.Cost
	text  string
}

// Run is the command.
func (r replay) Run(s streams) error {
	f, err := os.Open(r.File)
	if err != nil {
		return err
	}
	defer f.Close()
	book := shape.NewCatalog(shape.Options{MaxBytes: r.MemoryKB << 10})
	owners, seen, bad := map[string]int{}, map[uint64]*tally{}, 0
	doubts := map[shape.Reason]int{}
	var took time.Duration
	err = lines(f, func(line []byte) error {
		x, d, fault := parse(line)
		if fault != "" {
			bad++
			return nil
		}
		owner, ok := owners[x.Tenant]
		if !ok {
			owner = len(owners)
			owners[x.Tenant] = owner
		}
		from := time.Now()
		sh := book.Recognise(*x.Text, d, owner)
		took += time.Since(from)
		if sh.Reason != shape.NoReason {
			doubts[sh.Reason]++
		}
		t := seen[sh.ID]
		if t == nil {
			t = &tally{s: sh, text: sh.Text()}
			seen[sh.ID] = t
		}
		t.n++
		if x.Work > 0 {
			book.Learn(sh, x.Told, x.Work, max(x.Mem, 0))
			t.work += x.Work
			t.price.Work.Add(x.Work)
			t.price.Mem.Add(x.Mem)
		}
		return nil
	})
	if err != nil {
		return err
	}
	st := book.Stats()
	if st.Lookups == 0 {
		return fmt.Errorf("%s: no statement in it, %d bad lines", r.File, bad)
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) { fmt.Fprintf(w, "%s\t%s\n", name, fmt.Sprintf(format, args...)) }
	row("statements", "%d", st.Lookups)
	row("bad lines", "%d", bad)
	row("shapes", "%d, of which %d are remembered in %d KB", len(seen), st.Shapes, st.Bytes>>10)
	row("hit rate", "%.4f", float64(st.Hits)/float64(st.Lookups))
	row("evictions", "%d", st.Evicted)
	row("too long to remember", "%d", st.Uncached)
	row("ns a statement", "%.0f", float64(took.Nanoseconds())/float64(st.Lookups))
	if st.LearnedEstimateError > 0 {
		row("estimates off by", "told x%.2f, learned x%.2f (medians)", st.RequestEstimateError, st.LearnedEstimateError)
	}
	for d := shape.NoReason; d < shape.NumReasons; d++ {
		if doubts[d] > 0 {
			row("doubted: "+d.String(), "%d", doubts[d])
		}
	}
	fmt.Fprintln(w)
	all := make([]*tally, 0, len(seen))
	for _, t := range seen {
		all = append(all, t)
	}
	dearest(w, all, r.Most)
	return w.Flush()
}

// dearest lists shapes, those first that took most work, and among equals those that came most often.
func dearest(w io.Writer, all []*tally, most int) {
	slices.SortFunc(all, func(a, b *tally) int {
		switch {
		case a.work != b.work:
			return sign(b.work - a.work)
		case a.n != b.n:
			return b.n - a.n
		}
		return sign(float64(a.s.ID) - float64(b.s.ID))
	})
	fmt.Fprintln(w, "SHAPE\tKIND\tREADS\tWRITES\tN\tWORK MS\tP50\tP95\tMEM MB\tTEXT")
	for _, t := range all[:min(most, len(all))] {
		text := t.text
		if r := []rune(text); len(r) > 80 {
			text = string(r[:77]) + "..."
		}
		p := &t.price
		fmt.Fprintf(w, "%s\t%v\t%v\t%v\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%s\n", t.s.Name(), t.s.Kind, t.s.Reads, t.s.Writes, t.n, t.work,
			p.Work.Quantile(0.5), p.Work.Quantile(0.95), p.Mem.Mean(), text)
	}
}

func sign(v float64) int {
	switch {
	case v < 0:
		return -1
	case v > 0:
		return 1
	}
	return 0
}

type show struct {
	File string `arg:"" help:"The file that shapes.file names."`
	Most int    `default:"20" help:"Shapes to list, the dearest first."`
}

// Run is the command.
func (c show) Run(s streams) error {
	const most = 64 << 20
	payload, err := snapshot.Read(c.File, shape.DumpKind, shape.DumpVersion, most)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	book := shape.NewCatalog(shape.Options{MaxBytes: most})
	n, err := book.Load(payload)
	if err != nil {
		return fmt.Errorf("%s: %w", c.File, err)
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "shapes\t%d\n\n", n)
	var all []*tally
	book.Each(func(x *shape.Shape) {
		p := &x.Cost
		all = append(all, &tally{s: x, n: int(p.Work.Count()), work: p.Work.Count() * p.Work.Mean(), price: *p, text: x.Text()})
	})
	dearest(w, all, c.Most)
	return w.Flush()
}
