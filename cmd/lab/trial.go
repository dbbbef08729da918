package main

import (
	"context"
	"errors"
	"fmt"
	"io"

	"hitchspring/internal/lab"
	"hitchspring/internal/lab/trial"
)

// trialCmd runs a trial: many instance processes with faults in the network between them.
//
//nolint:lll // a struct tag can't be wrapped
type trialCmd struct {
	Name      string   `arg:"" optional:"" help:"The trial; none: list them."`
	Seed      uint64   `help:"The first." default:"1"`
	Seeds     int      `help:"How many." default:"3"`
	Instances []int    `help:"Processes, 2 to 24; several sizes with commas; none: the trial's."`
	Cases     []string `help:"Some of the trial's cases, with commas; none: all." sep:","`
	Jobs      int      `help:"Runs at once: six processes take about half a core." default:"3"`
	Program   string   `name:"ingress" help:"Another build of the ingress; empty: it is built from this source." type:"path" placeholder:"PROGRAM"`
	Out       string   `help:"Folder for results.jsonl, table.txt and chart.svg." type:"path" placeholder:"DIR"`
}

// run runs the trial, or lists the trials if none is named.
func (c *trialCmd) run(ctx context.Context, out io.Writer) (int, error) {
	if c.Name == "" {
		for _, line := range trial.Descriptions() {
			fmt.Fprintln(out, line)
		}
		return lab.Clean, nil
	}
	cfg := trial.Config{
		Name:      c.Name,
		Program:   c.Program,
		Seed:      c.Seed,
		Seeds:     c.Seeds,
		Instances: c.Instances,
		Cases:     c.Cases,
		Jobs:      c.Jobs,
		Out:       c.Out,
	}
	_, err := trial.Run(ctx, cfg, out)
	switch {
	case errors.Is(err, trial.ErrViolations):
		return lab.Broken, nil
	case err != nil:
		return failed, err
	}
	return lab.Clean, nil
}
