// Package mutation verifies that the rule checker detects planted defects. Each defect is a small change of the
// ingress's source, which go build -overlay applies without writing a source file. The package builds the ingress with
// a defect, runs the scenario that should show it, and looks for the expected violation in the report. Its input is
// the defects that are part of the program. Its output is one result for each run.
package mutation

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

	"hitchspring/internal/lab"
)

// Config selects the defects and says how they are run.
type Config struct {
	Names     []string // names of defects or short names of rules; empty: all
	ShortSet  bool     // only the short set
	Seed      uint64   // the first seed
	Seeds     int      // runs of each defect, each with the next seed
	Untouched bool     // also run the unchanged build in the same scenarios, where it must violate no rule
	Jobs      int      // builds and runs at a time
	Output    io.Writer
}

// selects reports whether a defect is to be run.
func (c Config) selects(defect Defect) bool {
	if c.ShortSet && !defect.ShortSet {
		return false
	}
	return len(c.Names) == 0 || slices.Contains(c.Names, defect.Name) || slices.Contains(c.Names, defect.Rule)
}

// Run builds and runs the selected defects. An error means that a build or the setup failed, not that a defect was
// missed.
func Run(ctx context.Context, cfg Config) ([]Result, error) {
	defects, err := Defects()
	if err != nil {
		return nil, err
	}
	defects = slices.DeleteFunc(defects, func(defect Defect) bool { return !cfg.selects(defect) })
	if len(defects) == 0 {
		return nil, fmt.Errorf("no defect is called %s, and no rule", strings.Join(cfg.Names, " or "))
	}
	root, err := ModuleRoot(ctx)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "lab-prove-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	var jobs []job
	if cfg.Untouched {
		program := filepath.Join(dir, "untouched")
		if err := lab.Build(ctx, program, false, ""); err != nil {
			return nil, err
		}
		jobs = untouchedJobs(cfg, defects, program)
	}
	if err := buildDefects(ctx, cfg, defects, root, dir); err != nil {
		return nil, err
	}
	for _, defect := range defects {
		jobs = append(jobs, seededJobs(cfg, defect, filepath.Join(dir, defect.Name))...)
	}
	return runJobs(ctx, cfg, jobs), ctx.Err()
}

// untouchedJobs returns the runs of the untouched build: for each combination of scenario, store and faults in which a
// defect is run, one for each seed.
func untouchedJobs(cfg Config, defects []Defect, program string) (jobs []job) {
	added := map[string]bool{}
	for _, defect := range defects {
		setting := defect.Scenario + defect.Store + strings.Join(defect.Faults, ";")
		if added[setting] {
			continue
		}
		added[setting] = true
		untouched := Defect{
			Scenario:           defect.Scenario,
			Store:              defect.Store,
			Faults:             defect.Faults,
			Peers:              defect.Peers,
			LocallyUnreachable: defect.LocallyUnreachable,
			Takeover:           defect.Takeover,
		}
		jobs = append(jobs, seededJobs(cfg, untouched, program)...)
	}
	return jobs
}

// seededJobs returns the runs of one build, one for each seed.
func seededJobs(cfg Config, defect Defect, program string) (jobs []job) {
	for i := range cfg.Seeds {
		jobs = append(jobs, job{defect, program, cfg.Seed + uint64(i)})
	}
	return jobs
}

// buildDefects builds the ingress with each defect into dir, under the defect's name, cfg.Jobs at a time.
func buildDefects(ctx context.Context, cfg Config, defects []Defect, root, dir string) error {
	buildErrs := make([]error, len(defects))
	var wg sync.WaitGroup
	slots := make(chan struct{}, max(1, cfg.Jobs))
	for i, defect := range defects {
		overlay, err := defect.WriteOverlay(root, dir)
		if err != nil {
			wg.Wait()
			return err
		}
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if err := lab.Build(ctx, filepath.Join(dir, defect.Name), false, overlay); err != nil {
				buildErrs[i] = fmt.Errorf("defect %s: %w", defect.Name, err)
			}
		})
	}
	wg.Wait()
	return errors.Join(buildErrs...)
}
