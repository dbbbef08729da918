package main

import (
	"context"
	"errors"
	"fmt"
	"io"

	"hitchspring/internal/lab"
	"hitchspring/internal/lab/mutation"
)

// mutationCmd tests the rule checker with builds that contain planted defects.
//
//nolint:lll // a struct tag can't be wrapped
type mutationCmd struct {
	Names []string `arg:"" optional:"" help:"Defects, or rules (lost, twice, drains, cold, ceilings, quotas); none: all."`
	Short bool     `help:"The short set alone."`
	List  bool     `help:"List the defects; play nothing."`
	Seed  uint64   `help:"The first." default:"1"`
	Seeds int      `help:"Runs of each defect." default:"1"`
	Clean bool     `help:"Play the untouched build on the same days too: it must stay clean." default:"true" negatable:""`
	Jobs  int      `help:"Runs at a time; more than the machine has cores for makes it late." default:"2"`
	JSON  string   `help:"Write the results as JSON." type:"path" placeholder:"FILE"`
}

// run builds the program with each planted defect, runs the scenario in which the rule checker must find it, and prints
// the results.
func (c *mutationCmd) run(ctx context.Context, out io.Writer) (int, error) {
	if c.List {
		return listDefects(out)
	}
	results, err := mutation.Run(ctx, mutation.Config{
		Names:     c.Names,
		ShortSet:  c.Short,
		Seed:      c.Seed,
		Seeds:     c.Seeds,
		Untouched: c.Clean,
		Jobs:      c.Jobs,
		Output:    out,
	})
	if err != nil {
		return failed, err
	}
	if c.JSON != "" {
		if err := writeJSON(c.JSON, results); err != nil {
			return failed, err
		}
	}
	text, err := mutation.Summarize(results)
	fmt.Fprintln(out, text)
	if errors.Is(err, mutation.ErrMissed) {
		return lab.Broken, nil
	}
	return lab.Clean, err
}

// listDefects prints a line for each defect. A star marks the defects of the short set.
func listDefects(out io.Writer) (int, error) {
	defects, err := mutation.Defects()
	if err != nil {
		return failed, err
	}
	for _, d := range defects {
		short := " "
		if d.ShortSet {
			short = "*"
		}
		fmt.Fprintf(out, "%s %-22s %-9s %-12s %-12s %s\n", short, d.Name, d.Rule, d.Component, d.Scenario, d.About)
	}
	return lab.Clean, nil
}
