package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"time"

	"hitchspring/internal/lab"
	"hitchspring/internal/lab/cost"
)

// costCmd measures the latency and the CPU time per request of several builds and of a bare proxy, for comparison.
//
//nolint:lll // a struct tag can't be wrapped
type costCmd struct {
	Builds      []string      `name:"build" help:"NAME=PATH of a hitchspring; may stand several times." default:"bin/hitchspring" sep:"none" placeholder:"NAME=PATH"`
	Rates       []int         `name:"rate" help:"Requests a second; may stand several times." default:"190,3000"`
	Seconds     float64       `help:"Length of each measurement, after a second of the same load." default:"5"`
	Rounds      int           `name:"repeats" help:"Rounds; in each every build is measured at every rate." default:"3"`
	Backends    int           `help:"Stand-in backends." default:"12"`
	Connections int           `help:"Client connections." default:"64"`
	SecondDelay time.Duration `name:"second-answers" help:"Backends answer a share of requests again, so long after the first answer." placeholder:"LATE"`
	SecondShare float64       `help:"That share." default:"0.01"`
	Short       bool          `help:"The check for CI: 190 a second, the added median at most 1 ms in the best of up to three rounds; under 12 s."`
	JSON        string        `help:"Write all measurements and their sums as JSON." type:"path" placeholder:"FILE"`
	Chart       string        `help:"Write a chart as SVG." type:"path" placeholder:"FILE"`
}

// config returns the configuration given by the flags.
func (c *costCmd) config() (cost.Config, error) {
	cfg := cost.Default()
	self, err := os.Executable()
	if err != nil {
		return cfg, err
	}
	cfg.Proxy = []string{self, "cost-proxy"}
	for _, text := range c.Builds {
		build, err := cost.ParseBuild(text)
		if err != nil {
			return cfg, err
		}
		if build.Program, err = filepath.Abs(build.Program); err != nil {
			return cfg, err
		}
		cfg.Builds = append(cfg.Builds, build)
	}
	cfg.Rates = c.Rates
	cfg.Length = time.Duration(c.Seconds * float64(time.Second))
	cfg.Repeats = c.Rounds
	cfg.Backends = c.Backends
	cfg.Connections = c.Connections
	if c.SecondDelay > 0 {
		cfg.SecondAnswerDelay = c.SecondDelay
		cfg.SecondAnswerFraction = c.SecondShare
	}
	return cfg, cfg.Check()
}

// run measures every build at every rate, prints the results, and writes the files given by the flags.
func (c *costCmd) run(ctx context.Context, out io.Writer) (int, error) {
	cfg, err := c.config()
	if err != nil {
		return failed, err
	}
	if c.Short {
		return c.runShort(ctx, cfg, out)
	}
	report, err := cost.Run(ctx, cfg, func(m cost.Measurement) {
		fmt.Fprintf(out, "round %d, %d/s, %s: p50 %.2f p99 %.2f ms, %.0f us, %.1f MB %s\n",
			m.Round+1, m.Rate, m.Build, m.P50, m.P99, m.CPU, m.PeakMB, m.Void)
	})
	if err != nil {
		return failed, err
	}
	fmt.Fprint(out, "\n", report.Text())
	if err := c.writeReport(report); err != nil {
		return failed, err
	}
	if n := len(report.Voids()); n > 0 {
		return failed, fmt.Errorf("%d measurements are void", n)
	}
	return lab.Clean, nil
}

// runShort runs the short measurement for CI. The exit status is 1 if a build is too slow and 2 if the measurement
// could not be made.
func (c *costCmd) runShort(ctx context.Context, cfg cost.Config, out io.Writer) (int, error) {
	report, err := cost.Short(ctx, cfg, out)
	if report != nil {
		err = errors.Join(err, c.writeReport(report))
	}
	switch {
	case err == nil:
		return lab.Clean, nil
	case errors.Is(err, cost.ErrTooSlow):
		return lab.Broken, err
	}
	return failed, err
}

// writeReport writes the JSON file and the chart, if the flags name them.
func (c *costCmd) writeReport(report *cost.Report) error {
	if c.JSON != "" {
		all := struct {
			*cost.Report
			Rows []cost.Row `json:"rows"`
		}{report, report.Rows()}
		if err := writeJSON(c.JSON, all); err != nil {
			return err
		}
	}
	if c.Chart == "" {
		return nil
	}
	file, err := os.Create(c.Chart)
	if err != nil {
		return err
	}
	return errors.Join(report.Chart(file), file.Close())
}

// costProxyCmd runs the bare proxy, which 'lab cost' starts as a separate process.
type costProxyCmd struct {
	Listen   string   `help:"Loopback address." required:""`
	Backends []string `name:"backend" help:"Address of a backend; may stand several times." required:"" sep:"none"`
}

// run serves until ctx is done.
func (c *costProxyCmd) run(ctx context.Context, _ io.Writer) (int, error) {
	if err := checkLoopback(c.Listen); err != nil {
		return failed, err
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return failed, err
	}
	if err := cost.ServeProxy(ctx, listener, c.Backends); err != nil {
		return failed, err
	}
	return lab.Clean, nil
}
