package main

import (
	"context"
	"fmt"
	"io"

	"hitchspring/internal/lab"
	"hitchspring/internal/lab/fleetlog"
)

// fleetLogsCmd adds up the summary lines in the logs of many instances.
//
//nolint:lll // a struct tag can't be wrapped
type fleetLogsCmd struct {
	Dir  string `arg:"" help:"Folder with one *.log of each instance, written with [log] summary on." type:"existingdir"`
	Only string `help:"Figures whose names begin so, comma-separated; all without." placeholder:"NAMES"`
}

// run prints the counts of each second, summed over all instances.
func (c *fleetLogsCmd) run(_ context.Context, out io.Writer) (int, error) {
	table, err := fleetlog.Read(c.Dir)
	if err != nil {
		return failed, err
	}
	if len(table.Seconds) == 0 {
		return failed, fmt.Errorf("%s: found no log line with a summary; set summary in [log]", c.Dir)
	}
	return lab.Clean, table.Write(out, c.Only)
}
