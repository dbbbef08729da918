package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"hitchspring/internal/lab"
	"hitchspring/internal/lab/scenario"
)

// scenarioFlags are the flags of all commands that run scenarios.
//
//nolint:lll // a struct tag can't be wrapped
type scenarioFlags struct {
	Scenario   string        `name:"day" help:"The day: a name from 'lab days', or a TOML file." default:"evening"`
	For        time.Duration `help:"Length of the load, 10m at most; 0: the day's." default:"0s"`
	Store      string        `help:"The shared counter: tally, redis (a primary and a replica) or redis-sentinel; empty: the day's." enum:",tally,redis,redis-sentinel" default:""`
	Faults     []string      `name:"fault" help:"TARGET:WHAT at TIME, beside the day's; may stand several times." sep:"none" placeholder:"TEXT"`
	Seed       uint64        `help:"Of the load, the nodes, drawn faults and the faults' chances." default:"1"`
	HotFactor  float64       `name:"hot" help:"One channel of storby asks for so many times its quota, through all ingresses; 0: none." default:"0"`
	Rate       float64       `help:"Times the day's load, up to 4." default:"1"`
	Backends   int           `name:"nodes" help:"Playout nodes, 3 to 60; 0: the day's." default:"0"`
	Instances  int           `name:"ingresses" help:"Ingresses, 1 to 4; 0: the day's." default:"0"`
	Program    string        `name:"ingress" help:"Another build of the ingress; empty: it is built from this source." type:"path" placeholder:"PROGRAM"`
	Race       bool          `help:"Build the ingress with the race detector."`
	Zones      bool          `name:"halls" help:"The ingresses know of halls ([halls] in their options)."`
	Fronts     string        `help:"What wishes come through: resp, http (a gate that asks), or resp,http (half each)." default:"resp"`
	GateFaults []string      `name:"gate-fault" help:"A fault rule for all gates, from the start; may stand several times." sep:"none" placeholder:"RULE"`
	Logs       string        `help:"Write what the ingresses log to a file." type:"path" placeholder:"FILE"`
	JSON       string        `help:"Write the report as JSON." type:"path" placeholder:"FILE"`
}

// config returns the configuration given by the flags. The caller must call closeLog after the last run.
func (f *scenarioFlags) config() (cfg lab.Config, closeLog func(), err error) {
	cfg = lab.Config{
		Scenario:       f.Scenario,
		Seed:           f.Seed,
		For:            f.For,
		Backends:       f.Backends,
		Ingresses:      f.Instances,
		Store:          f.Store,
		Faults:         f.Faults,
		Rate:           f.Rate,
		HotQuotaFactor: f.HotFactor,
		Ingress:        f.Program,
		Race:           f.Race,
		Zones:          f.Zones,
		GateFaultRules: f.GateFaults,
	}
	switch f.Fronts {
	case "resp":
	case "http":
		cfg.HTTPShare = 1
	case "resp,http", "http,resp":
		cfg.HTTPShare = 0.5
	default:
		return cfg, nil, fmt.Errorf("--fronts: %q is none of resp, http and resp,http", f.Fronts)
	}
	closeLog = func() {}
	if f.Logs != "" {
		file, err := os.Create(f.Logs)
		if err != nil {
			return cfg, nil, err
		}
		cfg.Log = file
		closeLog = func() { file.Close() }
	}
	return cfg, closeLog, nil
}

// demoCmd runs a scenario once, with a live table of its progress.
type demoCmd struct {
	scenarioFlags
	Quiet bool `help:"No live table."`
}

// run runs the scenario and prints the report.
func (c *demoCmd) run(ctx context.Context, out io.Writer) (int, error) {
	cfg, closeLog, err := c.config()
	if err != nil {
		return failed, err
	}
	defer closeLog()
	if !c.Quiet {
		cfg.Live = out
	}
	report, err := lab.Run(ctx, cfg)
	if err != nil {
		return failed, err
	}
	fmt.Fprint(out, report.Text())
	if c.JSON != "" {
		if err := writeJSON(c.JSON, report); err != nil {
			return failed, err
		}
	}
	return report.Code(), nil
}

// scenariosCmd shows the scenarios that are built into the program.
type scenariosCmd struct {
	Name string `arg:"" optional:"" help:"Print this one."`
}

// run lists the scenarios, or prints the definition of one.
func (c *scenariosCmd) run(_ context.Context, out io.Writer) (int, error) {
	if c.Name != "" {
		text, err := scenario.Text(c.Name)
		if err != nil {
			return failed, err
		}
		fmt.Fprint(out, text)
		return lab.Clean, nil
	}
	for _, name := range scenario.Names() {
		s, err := scenario.Load(name)
		if err != nil {
			return failed, err
		}
		fmt.Fprintf(out, "%-12s %5v  %s\n", name, time.Duration(s.Length), s.About)
	}
	return lab.Clean, nil
}
