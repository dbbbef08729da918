package main

import (
	"context"
	"fmt"
	"io"

	"hitchspring/internal/lab"
	"hitchspring/internal/lab/fleetlog"
)

// fleetLogsCmd adds up the logged summaries of many instances.
//
//nolint:lll // a struct tag stands on one line
type fleetLogsCmd struct {
	Dir  string `arg:"" help:"Folder with one *.log of each instance, written with [log] summary on." type:"existingdir"`
	Only string `help:"Figures whose names begin so, comma-separated; all without." placeholder:"NAMES"`
}

// run prints the sums of the counts of all instances, second by second.
func (c *fleetLogsCmd) run(_ context.Context, out io.Writer) (int, error) {
	table, err := fleetlog.Read(c.Dir)
	if err != nil {
		return failed, err
	}
	if len(table.Seconds) == 0 {
		return failed, fmt.Errorf("%s: no line of a [log] summary in it", c.Dir)
	}
	return lab.Clean, table.Write(out, c.Only)
}
