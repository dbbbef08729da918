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

type costCmd struct {
	Build       []string      `help:"NAME=PATH of a hitchspring; may stand several times." default:"bin/hitchspring" sep:"none" placeholder:"NAME=PATH"`
	Rate        []int         `help:"Requests a second; may stand several times." default:"190,3000"`
	Seconds     float64       `help:"Length of each measurement, after a second of the same load." default:"5"`
	Repeats     int           `help:"Rounds; in each every build is measured at every rate." default:"3"`
	Backends    int           `help:"Stand-in backends." default:"12"`
	Connections int           `help:"Client connections." default:"64"`
	Second      time.Duration `name:"second-answers" help:"Backends answer a share of requests again, so long after the first answer." placeholder:"LATE"`
	SecondShare float64       `help:"That share." default:"0.01"`
	Short       bool          `help:"The check for CI: 190 a second, the added median at most 1 ms in the best of up to three rounds; under 12 s."`
	JSON        string        `help:"Write all measurements and their sums as JSON." type:"path" placeholder:"FILE"`
	Chart       string        `help:"Write a chart as SVG." type:"path" placeholder:"FILE"`
}

// config is what the flags come to.
func (c *costCmd) config() (cost.Config, error) {
	cfg := cost.Default()
	self, err := os.Executable()
	if err != nil {
		return cfg, err
	}
	cfg.Proxy = []string{self, "cost-proxy"}
	for _, text := range c.Build {
		b, err := cost.ParseBuild(text)
		if err != nil {
			return cfg, err
		}
		if b.Program, err = filepath.Abs(b.Program); err != nil {
			return cfg, err
		}
		cfg.Builds = append(cfg.Builds, b)
	}
	cfg.Rates, cfg.Length, cfg.Repeats = c.Rate, time.Duration(c.Seconds*float64(time.Second)), c.Repeats
	cfg.Backends, cfg.Connections = c.Backends, c.Connections
	if c.Second > 0 {
		cfg.SecondLate, cfg.SecondShare = c.Second, c.SecondShare
	}
	return cfg, cfg.Check()
}

func (c *costCmd) run(ctx context.Context, out io.Writer) (int, error) {
	cfg, err := c.config()
	if err != nil {
		return failed, err
	}
	if c.Short {
		return c.short(ctx, cfg, out)
	}
	r, err := cost.Run(ctx, cfg, func(m cost.Measurement) {
		fmt.Fprintf(out, "round %d, %d/s, %s: p50 %.2f p99 %.2f ms, %.0f us, %.1f MB %s\n", m.Round+1, m.Rate, m.Build, m.P50, m.P99, m.CPU, m.PeakMB, m.Void)
	})
	if err != nil {
		return failed, err
	}
	fmt.Fprint(out, "\n", r.Text())
	if err := c.write(r); err != nil {
		return failed, err
	}
	if n := len(r.Voids()); n > 0 {
		return failed, fmt.Errorf("%d measurements are void", n)
	}
	return lab.Clean, nil
}

// short is the check for CI: 1 where a build is too slow, 2 where nothing could be judged.
func (c *costCmd) short(ctx context.Context, cfg cost.Config, out io.Writer) (int, error) {
	r, err := cost.Short(ctx, cfg, out)
	if r != nil {
		err = errors.Join(err, c.write(r))
	}
	switch {
	case err == nil:
		return lab.Clean, nil
	case errors.Is(err, cost.ErrTooSlow):
		return lab.Broken, err
	}
	return failed, err
}

func (c *costCmd) write(r *cost.Report) error {
	if c.JSON != "" {
		all := struct {
			*cost.Report
			Rows []cost.Row `json:"rows"`
		}{r, r.Rows()}
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
	return errors.Join(r.Chart(file), file.Close())
}

// costProxyCmd is the bare proxy that 'lab cost' starts as a process of its own.
type costProxyCmd struct {
	Listen  string   `help:"Loopback address." required:""`
	Backend []string `help:"Address of a backend; may stand several times." required:"" sep:"none"`
}

func (c *costProxyCmd) run(ctx context.Context, _ io.Writer) (int, error) {
	if err := onLoopback(c.Listen); err != nil {
		return failed, err
	}
	ln, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return failed, err
	}
	if err := cost.ServeProxy(ctx, ln, c.Backend); err != nil {
		return failed, err
	}
	return lab.Clean, nil
}
