package main

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"time"

	"hitchspring/internal/lab/soak"
)

// maxViolationsShown is the maximum number of violations per rule that are printed in full.
const maxViolationsShown = 3

// overlappingFaultsCmd runs many instance processes under random faults that overlap in time.
//
//nolint:lll // a struct tag can't be wrapped
type overlappingFaultsCmd struct {
	Seed      uint64        `help:"The first." default:"1"`
	Seeds     int           `help:"How many." default:"1"`
	Instances int           `help:"Processes, up to 30." default:"24"`
	For       time.Duration `help:"Length of the load, up to 5m." default:"20s"`
	Program   string        `name:"ingress" help:"Another build of the ingress; empty: it is built from this source." type:"path" placeholder:"PROGRAM"`
	Race      bool          `help:"Build the ingress with the race detector."`
	Logs      string        `help:"Folder for what the ingresses log, one for each seed in it; empty: it is not kept." type:"path" placeholder:"DIR"`
}

// run runs the test once for each seed, and prints a summary line and the details of violations for each run.
func (c *overlappingFaultsCmd) run(ctx context.Context, out io.Writer) (int, error) {
	program, removeProgram, err := programOrBuild(ctx, c.Program, "lab-overlap-", c.Race)
	if err != nil {
		return failed, err
	}
	defer removeProgram()
	broken := 0
	doubtful := 0
	for i := range c.Seeds {
		cfg := soak.Config{Program: program, Seed: c.Seed + uint64(i), Instances: c.Instances, Length: c.For}
		if c.Logs != "" {
			cfg.LogDir = filepath.Join(c.Logs, fmt.Sprint(cfg.Seed))
		}
		report, err := soak.Run(ctx, cfg)
		if err != nil {
			return failed, fmt.Errorf("seed %d: %w", cfg.Seed, err)
		}
		fmt.Fprintln(out, report.Line())
		fmt.Fprint(out, report.Text(maxViolationsShown))
		switch {
		case report.Certain() > 0:
			broken++
		case len(report.Violations) > 0:
			doubtful++
		}
	}
	fmt.Fprintf(out, "%d runs: %d with a broken promise, %d with breaks that late observers may explain\n",
		c.Seeds, broken, doubtful)
	return exitCode(broken, doubtful), nil
}
