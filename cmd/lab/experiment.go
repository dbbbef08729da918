package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"hitchspring/internal/lab"
	"hitchspring/internal/lab/experiment"
	"hitchspring/internal/lab/scenario"
)

type experimentCmd struct {
	File string `arg:"" help:"The experiment (TOML)." type:"path"`
	Out  string `help:"Folder for results.jsonl and index.html; results there are not played again." type:"path" default:"found/experiment"`
	Jobs int    `help:"Runs at once." default:"1"`
}

func (c *experimentCmd) run(ctx context.Context, out io.Writer) (int, error) {
	s, err := experiment.Load(c.File)
	if err != nil {
		return failed, err
	}
	_, code, err := played(ctx, s, c.Out, c.Jobs, out)
	return code, err
}

// played plays an experiment and writes its page, also of what an interruption has left.
func played(ctx context.Context, s *experiment.Spec, dir string, jobs int, out io.Writer) ([]experiment.Line, int, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, failed, err
	}
	lines, err := s.Run(ctx, experiment.Config{Results: filepath.Join(dir, "results.jsonl"), Out: out, Jobs: jobs})
	if len(lines) > 0 {
		io.WriteString(out, s.Text(lines))
		page := filepath.Join(dir, "index.html")
		f, perr := os.Create(page)
		if perr == nil {
			perr = s.Page(f, lines)
			if cerr := f.Close(); perr == nil {
				perr = cerr
			}
		}
		if perr != nil {
			return nil, failed, fmt.Errorf("the page: %w", perr)
		}
		fmt.Fprintln(out, "page:", page)
	}
	if err != nil {
		return nil, failed, err
	}
	code := lab.Clean
	for _, l := range lines {
		if l.Code == lab.Broken {
			code = lab.Broken
		}
	}
	return lines, code, nil
}

type compareCmd struct {
	Base   string        `help:"The other commit." default:"HEAD"`
	Day    string        `help:"Days, with commas." default:"calm"`
	Rounds int           `help:"Seeds." default:"3"`
	Seed   uint64        `help:"The first." default:"1"`
	For    time.Duration `help:"Length of each run; 0: the day's." default:"0s"`
	Rate   float64       `help:"Times the day's load." default:"1"`
	Out    string        `help:"Folder for results.jsonl and index.html; empty: they are not kept." type:"path" default:""`
}

// run is an experiment of two builds, which also share worlds, so that both meet the same machine.
func (c *compareCmd) run(ctx context.Context, out io.Writer) (int, error) {
	s := &experiment.Spec{
		Name: "compare", About: "This source against " + c.Base + ".", Scenarios: strings.Split(c.Day, ","), Seeds: c.Rounds, First: c.Seed,
		Length: scenario.Duration(c.For), Rate: c.Rate, Paired: true, Variants: []experiment.Variant{{Name: "base", Commit: c.Base}, {Name: "now"}},
	}
	if err := s.Check(); err != nil {
		return failed, err
	}
	if c.Out == "" {
		dir, err := os.MkdirTemp("", "lab-compare-")
		if err != nil {
			return failed, err
		}
		defer os.RemoveAll(dir)
		c.Out = dir
	}
	_, code, err := played(ctx, s, c.Out, 1, out)
	return code, err
}
