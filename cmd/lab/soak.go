package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"hitchspring/internal/lab"
	"hitchspring/internal/lab/scenario"
)

// soakCmd runs scenarios with many seeds.
type soakCmd struct {
	scenarioFlags
	Seeds int    `help:"How many, from --seed on." default:"20"`
	All   string `help:"Play these days in turn, one a seed: names with commas, or 'all'." placeholder:"DAYS"`
}

// run runs one scenario for each seed and prints a line for each run.
func (c *soakCmd) run(ctx context.Context, out io.Writer) (int, error) {
	cfg, closeLog, err := c.config()
	if err != nil {
		return failed, err
	}
	defer closeLog()
	program, removeProgram, err := programOrBuild(ctx, cfg.Ingress, "lab-soak-", c.Race)
	if err != nil {
		return failed, err
	}
	defer removeProgram()
	cfg.Ingress = program
	scenarios := c.scenarios()
	var sum soakSummary
	for i := range c.Seeds {
		cfg.Seed = c.Seed + uint64(i)
		cfg.Scenario = scenarios[i%len(scenarios)]
		report, err := lab.Run(ctx, cfg)
		if err != nil {
			return failed, fmt.Errorf("day %s, seed %d: %w", cfg.Scenario, cfg.Seed, err)
		}
		sum.add(report)
		printRun(out, cfg.Seed, report)
	}
	fmt.Fprintf(out, "%d runs: %d with a broken rule, %d that could not be judged; "+
		"most overdrawn %.1f%% of a ceiling\n",
		len(sum.reports), sum.broken, sum.unchecked, 100*sum.worstOverrun)
	if c.JSON != "" {
		if err := writeJSON(c.JSON, sum.reports); err != nil {
			return failed, err
		}
	}
	return exitCode(sum.broken, sum.unchecked), nil
}

// scenarios returns the names of the scenarios, which the seeds use in turn.
func (c *soakCmd) scenarios() []string {
	switch c.All {
	case "":
		return []string{c.Scenario}
	case "all":
		return scenario.Names()
	}
	return strings.Split(c.All, ",")
}

// soakSummary sums up the runs of a soak.
type soakSummary struct {
	reports      []*lab.Report
	broken       int     // runs with a rule violation
	unchecked    int     // runs that could not be checked
	worstOverrun float64 // largest overrun of all runs, as a share of the ceiling
}

// add adds the report of one run.
func (s *soakSummary) add(r *lab.Report) {
	s.reports = append(s.reports, r)
	switch r.Code() {
	case lab.Broken:
		s.broken++
	case lab.Unjudged:
		s.unchecked++
	}
	s.worstOverrun = max(s.worstOverrun, r.WorstOverrun)
}

// printRun prints a line for one run, one for each violation and each crash, and one with the reasons if the run could
// not be checked.
func printRun(out io.Writer, seed uint64, r *lab.Report) {
	breaks := len(r.Violations) + len(r.Crashed)
	fmt.Fprintf(out, "%-12s seed %3d  tries %6d  service %.3f  breaks %d  ",
		r.Scenario, seed, r.Attempts, r.Service, breaks)
	fmt.Fprintf(out, "beyond %3.0f%%  ceiling %+4.0f%%  cold %.2f  ",
		100*r.BeyondShare, 100*r.Margins.Ceiling, r.Margins.SlowStartPush)
	fmt.Fprintf(out, "CPU %.0f us a try  late %.0f ms\n", r.CPUPerRequestUS, r.ObserverDelayMS)
	for _, v := range r.Violations {
		fmt.Fprintf(out, "    %s at %.3f s: %s\n", v.Rule, v.At.Seconds(), v.Detail)
	}
	for _, crash := range r.Crashed {
		fmt.Fprintln(out, "    CRASHED:", crash)
	}
	if r.Code() == lab.Unjudged {
		fmt.Fprintln(out, "    can't judge:", strings.Join(r.Doubts(), "; "))
	}
}

// programOrBuild returns program, or if it is empty, the path of a program that it builds from the current source in a
// temporary directory. The caller must call remove when the program is no longer needed.
func programOrBuild(
	ctx context.Context, program, dirPrefix string, race bool,
) (path string, remove func(), err error) {
	if program != "" {
		return program, func() {}, nil
	}
	dir, err := os.MkdirTemp("", dirPrefix)
	if err != nil {
		return "", nil, err
	}
	remove = func() { os.RemoveAll(dir) }
	path = filepath.Join(dir, "hitchspring")
	if err := lab.Build(ctx, path, race, ""); err != nil {
		remove()
		return "", nil, err
	}
	return path, remove, nil
}

// exitCode returns the exit status for the numbers of runs with rule violations and of runs that could not be checked.
func exitCode(broken, unjudged int) int {
	switch {
	case broken > 0:
		return lab.Broken
	case unjudged > 0:
		return lab.Unjudged
	}
	return lab.Clean
}
