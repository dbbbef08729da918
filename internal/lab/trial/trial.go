// Package trial runs groups of real ingress processes under injected faults, with one feature off and on, and compares
// the results. A Config names the trial, the seeds and the numbers of instances. Run prints a line for each run and a
// summary table, optionally writes the results as JSON and a chart to a directory, and returns ErrViolations if any run
// violated a rule or an expectation of the trial. Package lab starts the processes, records what backends, clients and
// links observe, and checks the rules that hold for every run.
package trial

import (
	"context"
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

// Range of the number of instances in a trial.
const (
	minInstances = 2
	maxInstances = 24
)

// Config selects the trial and its runs.
type Config struct {
	Name      string
	Program   string   // path of the ingress binary; empty: it is built from this source
	Seed      uint64   // the first seed
	Seeds     int      // how many consecutive seeds
	Instances []int    // numbers of instances to run with; empty: the trial's default
	Cases     []string // names of the trial's cases; empty: all
	Jobs      int      // concurrent runs
	Out       string   // directory for results.jsonl, table.txt and chart.svg; empty: no files are written
}

// Cell is one run of a trial.
type Cell struct {
	Case      string `json:"Case"` // one of the trial's cases
	Instances int    `json:"Instances"`
	Seed      uint64 `json:"Seed"`
	On        bool   `json:"On"` // whether the feature under trial is on
}

// Result is the outcome of one run.
type Result struct {
	Cell
	Metrics    map[string]float64 `json:"Figures"`
	Violations []string           `json:"Breaks"` // of the lab's rules and of the trial's own expectations
	Doubts     []string           `json:"Doubts"` // why the run is inconclusive; empty if it is conclusive
}

// trials holds all trials by their names on the command line.
var trials = map[string]*definition{
	"judgements": slowBackend,
	"partitions": partitions,
	"cost":       peeringOverhead,
	"takeover":   takeover,
	"custody":    takeoverOverhead,
	"budgets":    quotaBounds,
}

// definition describes one trial.
type definition struct {
	description  string
	cases        []string
	instances    []int // default numbers of instances
	withBaseline bool  // each cell also runs with the feature off, for comparison
	run          func(ctx context.Context, c Cell, program string) (Result, error)
	table        func(out io.Writer, results []Result)
	chart        func(file string, results []Result) error // nil: the trial has no chart
}

// Descriptions returns a sorted list of lines, each with the name and the description of a trial.
func Descriptions() (out []string) {
	for name, trial := range trials {
		out = append(out, fmt.Sprintf("%-12s %s", name, trial.description))
	}
	slices.Sort(out)
	return out
}

// ErrViolations means that some run violated a rule of the lab or an expectation of the trial.
var ErrViolations = errors.New("the trial found violations")

// Run runs a trial and prints a line for each run, then the summary table. If any run has a violation, it returns the
// results together with ErrViolations.
func Run(ctx context.Context, cfg Config, out io.Writer) ([]Result, error) {
	trial := trials[cfg.Name]
	if trial == nil {
		return nil, fmt.Errorf("unknown trial %q; the trials are:\n%s", cfg.Name, strings.Join(Descriptions(), "\n"))
	}
	if len(cfg.Instances) == 0 {
		cfg.Instances = trial.instances
	}
	for _, n := range cfg.Instances {
		if n < minInstances || n > maxInstances {
			return nil, fmt.Errorf("instances: %d is out of range, %d to %d", n, minInstances, maxInstances)
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
	for _, name := range cfg.Cases {
		if !slices.Contains(trial.cases, name) {
			return nil, fmt.Errorf("cases: trial %s has no case %q; its cases are %q", cfg.Name, name, trial.cases)
		}
	}
	results, err := runCells(ctx, trial, trial.cells(cfg), cfg, out)
	if err != nil {
		return results, err
	}
	return results, summarize(trial, cfg, results, out)
}

// cells returns the runs that cfg selects. Each baseline run precedes the run that it is compared with.
func (d *definition) cells(cfg Config) (out []Cell) {
	for _, name := range d.cases {
		if len(cfg.Cases) > 0 && !slices.Contains(cfg.Cases, name) {
			continue
		}
		for _, instances := range cfg.Instances {
			for s := range cfg.Seeds {
				seed := cfg.Seed + uint64(s)
				if d.withBaseline {
					out = append(out, Cell{Case: name, Instances: instances, Seed: seed})
				}
				out = append(out, Cell{Case: name, Instances: instances, Seed: seed, On: true})
			}
		}
	}
	return out
}

// runCells runs all cells, up to cfg.Jobs at a time, and waits for them. Results are in the order of the cells.
func runCells(ctx context.Context, trial *definition, cells []Cell, cfg Config, out io.Writer) ([]Result, error) {
	results := make([]Result, len(cells))
	errs := make([]error, len(cells))
	next := make(chan int)
	var wg sync.WaitGroup
	var mu sync.Mutex // guards out
	for range max(1, cfg.Jobs) {
		wg.Go(func() {
			for i := range next {
				results[i], errs[i] = runCell(ctx, trial, cells[i], cfg.Program)
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
	return results, errors.Join(append(errs, ctx.Err())...)
}

// maxReruns is how often an inconclusive run is repeated, each time with another seed.
const maxReruns = 2

// rerunSeedStep is added to the seed for each rerun. It is large, so that reruns use no seed of the trial's other runs.
const rerunSeedStep = 1000

// runCell runs one cell, and repeats it up to maxReruns times while the result is inconclusive.
func runCell(ctx context.Context, trial *definition, c Cell, program string) (r Result, err error) {
	for range 1 + maxReruns {
		r, err = trial.run(ctx, c, program)
		r.Cell = c
		if err != nil || len(r.Doubts) == 0 || len(r.Violations) > 0 || ctx.Err() != nil {
			return r, err
		}
		c.Seed += rerunSeedStep
	}
	return r, err
}

// tolerance is the maximum delay of the lab's own observers in a conclusive run. It is generous, because many runs
// share the machine.
const tolerance = 400 * time.Millisecond
