package experiment

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"hitchspring/internal/lab"
)

// maxLineBytes is the maximum length of a line in the results file.
const maxLineBytes = 16 << 20

// Config describes how to run an experiment.
type Config struct {
	Results string    // JSON lines file; runs whose results it already holds are not repeated
	Out     io.Writer // for the progress; nil: none is printed
	Jobs    int       // concurrent runs, at least 1; too many for the machine delay the lab's own observers
	Build   Builder   // nil: Build
	Run     Runner    // nil: lab.Run
}

// Run makes the runs whose results are not stored yet, and returns the results of all runs of the experiment. If it is
// interrupted, the results so far are stored and returned.
func (s *Spec) Run(ctx context.Context, cfg Config) ([]RunResult, error) {
	if cfg.Build == nil {
		cfg.Build = Build
	}
	if cfg.Run == nil {
		cfg.Run = lab.Run
	}
	dir, err := os.MkdirTemp("", "lab-experiment-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	programs, digests, err := s.buildVariants(ctx, cfg.Build, dir)
	if err != nil {
		return nil, err
	}
	finished, err := readResults(cfg.Results)
	if err != nil {
		return nil, err
	}
	file, err := openResults(cfg.Results)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	cells := s.Cells()
	out := make([]*RunResult, len(cells))
	progress := &recorder{file: file, out: cfg.Out, cells: len(cells), jobs: max(1, cfg.Jobs)}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, cfg.Jobs))
	for i, c := range cells {
		key := s.key(c, digests)
		if line, found := finished[key]; found {
			out[i] = &line
			progress.skip()
			continue
		}
		group.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			began := time.Now()
			line, err := s.runCell(ctx, cfg, c, programs)
			if err != nil {
				return err
			}
			line.Key = key
			if err := progress.record(line, began); err != nil {
				return err
			}
			out[i] = &line
			return nil
		})
	}
	err = group.Wait()
	return completedLines(out), err
}

// completedLines returns the results that are not nil.
func completedLines(lines []*RunResult) (out []RunResult) {
	for _, line := range lines {
		if line != nil {
			out = append(out, *line)
		}
	}
	return out
}

// buildVariants builds the program of each variant in dir, and returns the programs' paths and digests.
func (s *Spec) buildVariants(ctx context.Context, build Builder, dir string) (programs, digests []string, err error) {
	for i, v := range s.Variants {
		program := filepath.Join(dir, fmt.Sprint("variant-", i))
		if err := build(ctx, v, program); err != nil {
			return nil, nil, err
		}
		sum, err := programDigest(program)
		if err != nil {
			return nil, nil, err
		}
		programs, digests = append(programs, program), append(digests, sum)
	}
	return programs, digests, nil
}

// recorder stores results and prints the progress of an experiment.
type recorder struct {
	cells, jobs int
	out         io.Writer // for the progress; nil: none is printed

	mu        sync.Mutex // guards the fields below and writes to out
	file      *os.File
	completed int           // runs that were made since the start
	finished  int           // completed, and those whose results were stored before
	runTime   time.Duration // total duration of the completed runs
}

// skip counts a run whose result is already stored.
func (r *recorder) skip() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.finished++
}

// record stores the result of a run, and prints the progress with an estimate of the remaining time.
func (r *recorder) record(line RunResult, began time.Time) error {
	text, err := json.Marshal(line)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, err := r.file.Write(append(text, '\n')); err != nil {
		return fmt.Errorf("storing a result: %w", err)
	}
	r.completed++
	r.finished++
	r.runTime += time.Since(began)
	if r.out == nil {
		return nil
	}
	left := time.Duration(r.cells-r.finished) * r.runTime / time.Duration(r.completed*r.jobs)
	fmt.Fprintf(r.out, "%3d of %d  %-16s seed %3d  %-24v service %.3f  CPU %4.0f us  code %d  (some %v to go)\n",
		r.finished, r.cells, line.Scenario, line.Seed, line.Variants, line.Report.Service,
		line.Report.CPUPerRequestUS, line.Code, left.Round(time.Second))
	return nil
}

// runCell runs one cell. The ingress processes of a paired run alternate between the two variants.
func (s *Spec) runCell(ctx context.Context, cfg Config, c Cell, programs []string) (RunResult, error) {
	first := s.Variants[c.Variants[0]]
	run := lab.Config{
		Scenario:  c.Scenario,
		Seed:      c.Seed,
		For:       time.Duration(s.Length),
		Rate:      s.Rate,
		Ingress:   programs[c.Variants[0]],
		Store:     first.Store,
		Zones:     first.Zones,
		ZoneLines: first.Lines,
	}
	l := RunResult{Scenario: c.Scenario, Seed: c.Seed}
	for _, v := range c.Variants {
		l.Variants = append(l.Variants, s.Variants[v].Name)
	}
	if len(c.Variants) == 2 {
		run.Ingresses, run.Programs = 4, []string{programs[c.Variants[0]], programs[c.Variants[1]]}
	}
	r, err := cfg.Run(ctx, run)
	if err != nil {
		return l, fmt.Errorf("scenario %s, seed %d, variants %v: %w", c.Scenario, c.Seed, l.Variants, err)
	}
	l.Code, l.Report = r.Code(), r
	return l, nil
}

// openResults opens the results file for appending.
func openResults(name string) (*os.File, error) {
	file, err := os.OpenFile(name, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	if err := terminateLastLine(name, file); err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return file, nil
}

// terminateLastLine appends a newline if an interrupted write has left the last line incomplete, so that the next
// result starts on a line of its own.
func terminateLastLine(name string, file *os.File) error {
	b, err := os.ReadFile(name)
	if err != nil || len(b) == 0 || b[len(b)-1] == '\n' {
		return err
	}
	_, err = file.WriteString("\n")
	return err
}

// readResults returns the stored results by key. It skips lines that cannot be decoded, since an interrupted write
// leaves an incomplete line.
func readResults(file string) (map[string]RunResult, error) {
	out := map[string]RunResult{}
	f, err := os.Open(file)
	if errors.Is(err, os.ErrNotExist) {
		return out, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	in := bufio.NewScanner(f)
	in.Buffer(nil, maxLineBytes)
	for n := 1; in.Scan(); n++ {
		var l RunResult
		if err := json.Unmarshal(in.Bytes(), &l); err != nil || l.Report == nil {
			continue
		}
		out[l.Key] = l
	}
	return out, in.Err()
}
