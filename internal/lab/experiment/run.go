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

// mostLine bounds a kept result.
const maxLineBytes = 16 << 20

// Config says how an experiment is played.
type Config struct {
	Results string    // the file of JSON lines; what it holds already is not played again
	Out     io.Writer // progress
	Jobs    int       // runs at once, 1 at least: more than the machine has room for make the lab late
	Build   Builder
	Run     Runner
}

// Run plays what the results do not hold yet, and returns all lines that belong to the experiment. A run that is
// interrupted keeps what it has.
func (s *Spec) Run(ctx context.Context, cfg Config) ([]Line, error) {
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
	programs, digests := make([]string, len(s.Variants)), make([]string, len(s.Variants))
	for i, v := range s.Variants {
		programs[i] = filepath.Join(dir, fmt.Sprint("variant-", i))
		if err := cfg.Build(ctx, v, programs[i]); err != nil {
			return nil, err
		}
		if digests[i], err = programDigest(programs[i]); err != nil {
			return nil, err
		}
	}
	finished, err := readResults(cfg.Results)
	if err != nil {
		return nil, err
	}
	file, err := os.OpenFile(cfg.Results, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	if err := terminateLastLine(cfg.Results, file); err != nil {
		return nil, err
	}
	cells := s.Cells()
	out := make([]*Line, len(cells))
	var mu sync.Mutex // of the file, the progress and what was spent
	var spent time.Duration
	played, done := 0, 0
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(1, cfg.Jobs))
	for i, c := range cells {
		key := s.key(c, digests)
		if l, has := finished[key]; has {
			out[i] = &l
			mu.Lock()
			done++
			mu.Unlock()
			continue
		}
		group.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			began := time.Now()
			l, err := s.runCell(ctx, cfg, c, programs)
			if err != nil {
				return err
			}
			l.Key = key
			b, err := json.Marshal(l)
			if err != nil {
				return err
			}
			mu.Lock()
			defer mu.Unlock()
			if _, err := file.Write(append(b, '\n')); err != nil {
				return fmt.Errorf("keeping a result: %w", err)
			}
			out[i] = &l
			played++
			done++
			spent += time.Since(began)
			if cfg.Out != nil {
				left := time.Duration(len(cells)-done) * spent / time.Duration(played*max(1, cfg.Jobs))
				fmt.Fprintf(cfg.Out, "%3d of %d  %-16s seed %3d  %-24v service %.3f  CPU %4.0f us  code %d  (some %v to go)\n", done, len(cells), c.Scenario, c.Seed, l.Variants, l.Report.Service,
					l.Report.CPUPerRequestUS, l.Code, left.Round(time.Second))
			}
			return nil
		})
	}
	err = group.Wait()
	var lines []Line
	for _, l := range out {
		if l != nil {
			lines = append(lines, *l)
		}
	}
	return lines, err
}

func (s *Spec) runCell(ctx context.Context, cfg Config, c Cell, programs []string) (Line, error) {
	run := lab.Config{
		Scenario: c.Scenario, Seed: c.Seed, For: time.Duration(s.Length), Rate: s.Rate, Ingress: programs[c.Variants[0]], Store: s.Variants[c.Variants[0]].Store,
		Zones: s.Variants[c.Variants[0]].Zones, ZoneLines: s.Variants[c.Variants[0]].Lines,
	}
	l := Line{Scenario: c.Scenario, Seed: c.Seed}
	for _, v := range c.Variants {
		l.Variants = append(l.Variants, s.Variants[v].Name)
	}
	if len(c.Variants) == 2 {
		run.Ingresses, run.Mixed = 4, []string{programs[c.Variants[0]], programs[c.Variants[1]]}
	}
	r, err := cfg.Run(ctx, run)
	if err != nil {
		return l, fmt.Errorf("day %s, seed %d, %v: %w", c.Scenario, c.Seed, l.Variants, err)
	}
	l.Code, l.Report = r.Code(), r
	return l, nil
}

// endLine ends a line that the end of an earlier run has cut off, so that the next one stands alone.
func terminateLastLine(name string, file *os.File) error {
	b, err := os.ReadFile(name)
	if err != nil || len(b) == 0 || b[len(b)-1] == '\n' {
		return err
	}
	_, err = file.WriteString("\n")
	return err
}

// read returns the kept results by their keys. A last line that was cut off by the end of its run is left aside.
func readResults(file string) (map[string]Line, error) {
	out := map[string]Line{}
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
		var l Line
		if err := json.Unmarshal(in.Bytes(), &l); err != nil || l.Report == nil {
			continue
		}
		out[l.Key] = l
	}
	return out, in.Err()
}
