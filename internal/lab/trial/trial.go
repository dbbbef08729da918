// Package trial runs many real processes of the ingress under faults between them, with one feature off and on,
// and summarizes what the observers at backends, clients and links saw. A Config names the trial, the seeds and
// the sizes. Run prints a line for each run and a table, writes the results as JSON and a chart to a directory,
// and returns whether everything that the trial states was true. Package lab runs the processes and checks the
// rules; this package decides nothing about a single run.
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

// Config says which runs of a trial are made.
type Config struct {
	Name      string
	Program   string   // path of the ingress; empty: it is built from this source
	Seed      uint64   // the first seed
	Seeds     int      // how many consecutive seeds
	Instances []int    // instances of each run; empty: the trial's default
	Cases     []string // names of the trial's cases; empty: all
	Jobs      int      // concurrent runs
	Out       string   // directory for results.jsonl, table.txt and chart.svg; empty: none is written
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
	Violations []string           `json:"Breaks"` // of the rules and of the trial's own statements
	Doubts     []string           `json:"Doubts"` // why the run is inconclusive; empty if it is conclusive
}

// trials are all trials by their name on the command line.
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
	about        string
	cases        []string
	instances    []int // default sizes
	withBaseline bool  // each cell also runs with the feature off
	run          func(ctx context.Context, c Cell, program string) (Result, error)
	table        func(out io.Writer, all []Result)
	chart        func(file string, all []Result) error // nil: the trial has no chart
}

// Names returns a line for each trial, with its name and what it is about.
func Names() (out []string) {
	for name, k := range trials {
		out = append(out, fmt.Sprintf("%-12s %s", name, k.about))
	}
	slices.Sort(out)
	return out
}

// ErrBroken says that in some run a rule or a statement of the trial did not hold.
var ErrBroken = errors.New("something did not hold")

// Run runs a trial, and prints a line for each run and then the table. It returns ErrBroken with the results if
// something did not hold in a run.
func Run(ctx context.Context, cfg Config, out io.Writer) ([]Result, error) {
	trial := trials[cfg.Name]
	if trial == nil {
		return nil, fmt.Errorf("trial %q: there is none of this name:\n%s", cfg.Name, strings.Join(Names(), "\n"))
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
			return nil, fmt.Errorf("cases: %s has no %q, but %q", cfg.Name, name, trial.cases)
		}
	}
	results, err := runCells(ctx, trial, trial.cells(cfg), cfg, out)
	if err != nil {
		return results, err
	}
	return results, summarize(trial, cfg, results, out)
}

// cells returns the runs that cfg selects, the baseline before the run that it is compared with.
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

// runCells runs all cells, cfg.Jobs at once. Its goroutines end before it returns.
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

// maxReplays is how often an inconclusive run is repeated with another seed.
const maxReplays = 2

// replaySeedStep is added to the seed for a replay, so that it meets no seed of the same trial.
const replaySeedStep = 1000

// runCell runs one cell, and replays it while the run is inconclusive.
func runCell(ctx context.Context, trial *definition, c Cell, program string) (r Result, err error) {
	for range 1 + maxReplays {
		r, err = trial.run(ctx, c, program)
		r.Cell = c
		if err != nil || len(r.Doubts) == 0 || len(r.Violations) > 0 || ctx.Err() != nil {
			return r, err
		}
		c.Seed += replaySeedStep
	}
	return r, err
}

// tolerance is how late the lab's own processes may be. It is generous, since many runs share the machine.
const tolerance = 400 * time.Millisecond
