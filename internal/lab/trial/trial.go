// Package trial plays many real processes of the program under faults between them, with a part of it off and on, and sums up
// what the observers at nodes, clients and links saw. In: which trial, seeds, sizes. Out: a line for each run as JSON, a table,
// a chart, and whether what was stated beforehand held. It decides nothing about a run; package lab plays it.
package trial

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"hitchspring/internal/lab"
)

// Config says how much of a trial is played.
type Config struct {
	Name      string
	Program   string // empty: it is built from this source
	Seed      uint64 // the first
	Seeds     int
	Instances []int
	Cases     []string // of the trial's; empty: all
	Jobs      int      // runs at once
	Out       string   // folder for results.jsonl, table.txt and chart.svg; empty: none is written
}

// Cell is one run to be played.
type Cell struct {
	Case      string `json:"Case"` // of the trial's cases
	Instances int    `json:"Instances"`
	Seed      uint64 `json:"Seed"`
	On        bool   `json:"On"` // the part that is tried is on
}

// Result is what one run came to.
type Result struct {
	Cell
	Metrics    map[string]float64 `json:"Figures"`
	Violations []string           `json:"Breaks"` // of the rules, and of what the trial states
	Doubts     []string           `json:"Doubts"` // why it proves nothing
}

// trials are those that there are.
var trials = map[string]*definition{
	"judgements": slowBackend,
	"partitions": partitions,
	"cost":       peeringOverhead,
	"takeover":   takeover,
	"custody":    takeoverOverhead,
	"budgets":    quotaBounds,
}

// kind is one trial.
type definition struct {
	about        string
	cases        []string
	instances    []int
	withBaseline bool
	run          func(ctx context.Context, c Cell, program string) (Result, error)
	table        func(out io.Writer, all []Result)
	chart        func(file string, all []Result) error
}

// Names are the trials, with what they are about.
func Names() (out []string) {
	for name, k := range trials {
		out = append(out, fmt.Sprintf("%-12s %s", name, k.about))
	}
	slices.Sort(out)
	return out
}

// ErrBroken is a run in which something did not hold.
var ErrBroken = errors.New("something did not hold")

// Run plays a trial, and prints a line for each run and the table.
func Run(ctx context.Context, cfg Config, out io.Writer) ([]Result, error) {
	k := trials[cfg.Name]
	if k == nil {
		return nil, fmt.Errorf("trial %q: there is none of this name:\n%s", cfg.Name, strings.Join(Names(), "\n"))
	}
	if len(cfg.Instances) == 0 {
		cfg.Instances = k.instances
	}
	for _, n := range cfg.Instances {
		if n < 2 || n > 24 {
			return nil, fmt.Errorf("instances: %d is out of range, 2 to 24", n)
		}
	}
	if cfg.Program == "" {
		dir, err := os.MkdirTemp("", "lab-trial-")
		if err != nil {
			return nil, err
		}
		defer os.RemoveAll(dir)
		cfg.Program = filepath.Join(dir, "hitchspring")
		if err := lab.Build(ctx, cfg.Program, false, ""); err != nil {
			return nil, err
		}
	}
	for _, c := range cfg.Cases {
		if !slices.Contains(k.cases, c) {
			return nil, fmt.Errorf("cases: %s has no %q, but %q", cfg.Name, c, k.cases)
		}
	}
	var cells []Cell
	for _, c := range k.cases {
		if len(cfg.Cases) > 0 && !slices.Contains(cfg.Cases, c) {
			continue
		}
		for _, n := range cfg.Instances {
			for s := range cfg.Seeds {
				if k.withBaseline {
					cells = append(cells, Cell{c, n, cfg.Seed + uint64(s), false})
				}
				cells = append(cells, Cell{c, n, cfg.Seed + uint64(s), true})
			}
		}
	}
	results := make([]Result, len(cells))
	errs := make([]error, len(cells))
	next := make(chan int)
	var wg sync.WaitGroup
	var mu sync.Mutex // of out
	for range max(1, cfg.Jobs) {
		wg.Go(func() {
			for i := range next {
				results[i], errs[i] = runCell(ctx, k, cells[i], cfg.Program)
				mu.Lock()
				fmt.Fprintln(out, results[i].line(errs[i]))
				mu.Unlock()
			}
		})
	}
	for i := range cells {
		select {
		case next <- i:
		case <-ctx.Done():
		}
	}
	close(next)
	wg.Wait()
	if err := errors.Join(append(errs, ctx.Err())...); err != nil {
		return results, err
	}
	var table bytes.Buffer
	k.table(&table, results)
	broken, doubtful := 0, 0
	for _, r := range results {
		if len(r.Violations) > 0 {
			broken++
		} else if len(r.Doubts) > 0 {
			doubtful++
		}
	}
	fmt.Fprintf(&table, "%d runs: %d in which something did not hold, %d that prove nothing\n", len(results), broken, doubtful)
	out.Write(table.Bytes())
	if cfg.Out != "" {
		if err := writeResults(cfg.Out, k, results, table.Bytes()); err != nil {
			return results, err
		}
	}
	if broken > 0 {
		return results, ErrBroken
	}
	return results, nil
}

// again is how often a run that proves nothing, for the lab was late or a fault met nothing, is played with another seed.
const maxReplays = 2

func runCell(ctx context.Context, k *definition, c Cell, program string) (r Result, err error) {
	for range 1 + maxReplays {
		r, err = k.run(ctx, c, program)
		r.Cell = c
		if err != nil || len(r.Doubts) == 0 || len(r.Violations) > 0 || ctx.Err() != nil {
			return r, err
		}
		c.Seed += 1000
	}
	return r, err
}

func (r Result) line(err error) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-24s %2d instances seed %4d on=%-5v", r.Case, r.Instances, r.Seed, r.On)
	var names []string
	for name := range r.Metrics {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&b, "  %s %.4g", name, r.Metrics[name])
	}
	for _, x := range r.Violations {
		fmt.Fprintf(&b, "\n    BROKEN: %s", x)
	}
	for _, x := range r.Doubts {
		fmt.Fprintf(&b, "\n    proves nothing: %s", x)
	}
	if err != nil {
		fmt.Fprintf(&b, "\n    not played: %v", err)
	}
	return b.String()
}

// keep writes what was found into a folder.
func writeResults(dir string, k *definition, results []Result, table []byte) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	var lines bytes.Buffer
	for _, r := range results {
		b, err := json.Marshal(r)
		if err != nil {
			return err
		}
		lines.Write(append(b, '\n'))
	}
	if err := os.WriteFile(filepath.Join(dir, "results.jsonl"), lines.Bytes(), 0o644); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, "table.txt"), table, 0o644); err != nil {
		return err
	}
	if k.chart == nil {
		return nil
	}
	return k.chart(filepath.Join(dir, "chart.svg"), results)
}

// verdict puts a report's breaks and doubts into a result.
func (r *Result) addReport(rep *lab.Report) {
	for _, b := range rep.Violations {
		if !b.Doubtful {
			r.Violations = append(r.Violations, fmt.Sprintf("%s at %.3f s: %s", b.Rule, b.At.Seconds(), b.Detail))
		}
	}
	r.Violations = append(r.Violations, rep.Crashed...)
	r.Doubts = append(r.Doubts, rep.Doubts()...)
}

// pick are the figures of one name in all runs that fit.
func metricValues(all []Result, name string, fits func(Result) bool) (out []float64) {
	for _, r := range all {
		if v, has := r.Metrics[name]; has && fits(r) && len(r.Doubts) == 0 {
			out = append(out, v)
		}
	}
	slices.Sort(out)
	return out
}

func mean(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	return sum / float64(len(v))
}

// quantile is of sorted figures.
func quantile(v []float64, q float64) float64 {
	if len(v) == 0 {
		return 0
	}
	return v[min(len(v)-1, int(q*float64(len(v))))]
}

// tolerance is generous: many runs share the machine.
const tolerance = 400 * time.Millisecond
