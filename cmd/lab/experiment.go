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

// experimentCmd runs the experiment that is defined in a file.
//
//nolint:lll // a struct tag can't be wrapped
type experimentCmd struct {
	File string `arg:"" help:"The experiment (TOML)." type:"path"`
	Out  string `help:"Folder for results.jsonl and index.html; results there are not played again." type:"path" default:"found/experiment"`
	Jobs int    `help:"Runs at once." default:"1"`
}

// run runs the experiment and prints its results.
func (c *experimentCmd) run(ctx context.Context, out io.Writer) (int, error) {
	spec, err := experiment.Load(c.File)
	if err != nil {
		return failed, err
	}
	_, code, err := runExperiment(ctx, spec, c.Out, c.Jobs, out)
	return code, err
}

// runExperiment runs an experiment and writes its HTML page, even from partial results if the run was interrupted. It
// returns the results and the exit status.
func runExperiment(
	ctx context.Context, spec *experiment.Spec, dir string, jobs int, out io.Writer,
) ([]experiment.RunResult, int, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, failed, err
	}
	cfg := experiment.Config{Results: filepath.Join(dir, "results.jsonl"), Out: out, Jobs: jobs}
	lines, err := spec.Run(ctx, cfg)
	if len(lines) > 0 {
		fmt.Fprint(out, spec.Text(lines))
		page := filepath.Join(dir, "index.html")
		if pageErr := writePage(spec, page, lines); pageErr != nil {
			return nil, failed, fmt.Errorf("writing the page: %w", pageErr)
		}
		fmt.Fprintln(out, "page:", page)
	}
	if err != nil {
		return nil, failed, err
	}
	code := lab.Clean
	for _, line := range lines {
		if line.Code == lab.Broken {
			code = lab.Broken
		}
	}
	return lines, code, nil
}

// writePage writes the HTML page with the results of an experiment.
func writePage(spec *experiment.Spec, path string, lines []experiment.RunResult) error {
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	err = spec.Page(file, lines)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

// compareCmd compares the current source with another commit.
//
//nolint:lll // a struct tag can't be wrapped
type compareCmd struct {
	Base      string        `help:"The other commit." default:"HEAD"`
	Scenarios string        `name:"day" help:"Days, with commas." default:"calm"`
	Rounds    int           `help:"Seeds." default:"3"`
	Seed      uint64        `help:"The first." default:"1"`
	For       time.Duration `help:"Length of each run; 0: the day's." default:"0s"`
	Rate      float64       `help:"Times the day's load." default:"1"`
	Out       string        `help:"Folder for results.jsonl and index.html; empty: they are not kept." type:"path" default:""`
}

// run runs an experiment with two variants, the other commit and the current source. Both run in the same testbed, so
// that load from other programs on the machine affects both equally.
func (c *compareCmd) run(ctx context.Context, out io.Writer) (int, error) {
	spec := &experiment.Spec{
		Name:      "compare",
		About:     "This source against " + c.Base + ".",
		Scenarios: strings.Split(c.Scenarios, ","),
		Seeds:     c.Rounds,
		First:     c.Seed,
		Length:    scenario.Duration(c.For),
		Rate:      c.Rate,
		Paired:    true,
		Variants:  []experiment.Variant{{Name: "base", Commit: c.Base}, {Name: "now"}},
	}
	if err := spec.Check(); err != nil {
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
	_, code, err := runExperiment(ctx, spec, c.Out, 1, out)
	return code, err
}
