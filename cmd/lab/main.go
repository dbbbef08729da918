// Command lab runs the service on loopback against stand-ins, for people and for tests: days that load real ingresses and
// judge the five rules, proofs that the judge sees planted breaks, experiments, and stand-ins on their own.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	kongcompletion "github.com/jotaen/kong-completion"

	"hitchspring/internal/cmdline"
	"hitchspring/internal/lab"
	"hitchspring/internal/lab/scenario"
	"hitchspring/internal/version"
)

// cli is the command line.
type cli struct {
	Demo       demoCmd                   `cmd:"" help:"Play a day once, with a line a second and a report."`
	Soak       soakCmd                   `cmd:"" help:"Play a day once for each seed, a line each."`
	Prove      proveCmd                  `cmd:"" help:"Plant defects in the ingress and see whether the judge finds them."`
	Experiment experimentCmd             `cmd:"" help:"Cross builds, days and seeds by a file; results as JSON lines and a page."`
	Halls      hallsCmd                  `cmd:"" help:"Lose halls and regain them, with [halls] off and on: figures and pictures."`
	Trial      trialCmd                  `cmd:"" help:"Many processes under faults between them, with a part of the program off and on."`
	Overlap    overlapCmd                `cmd:"" help:"Many processes under troubles that overlap, drawn by a seed; every promise judged."`
	Compare    compareCmd                `cmd:"" help:"CPU, memory and service of this ingress against another commit's."`
	Cost       costCmd                   `cmd:"" help:"What a request waits and costs: builds and a bare proxy side by side."`
	CostProxy  costProxyCmd              `cmd:"" hidden:"" help:"The bare proxy of 'cost', until a signal."`
	FleetLogs  fleetLogsCmd              `cmd:"" help:"Add up, second by second, what many instances logged."`
	Days       daysCmd                   `cmd:"" help:"List the days, or print one."`
	Redis      redisCmd                  `cmd:"" help:"The Redis stand-in alone, until a signal."`
	Gate       gateCmd                   `cmd:"" help:"The stand-in gate alone, until a signal."`
	Version    versionCmd                `cmd:"" help:"Print the revision and the Go version."`
	Completion kongcompletion.Completion `cmd:"" help:"Print what a shell needs to complete this command line (bash, zsh, fish)."`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	code, err := run(ctx, os.Args[1:], os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "lab:", err)
	}
	os.Exit(code)
}

// failed is the exit code where nothing could be run or judged; lab.Clean and lab.Broken are the others.
const failed = lab.Unjudged

// job is a command; run returns the exit code.
type job interface {
	run(ctx context.Context, out io.Writer) (int, error)
}

func run(ctx context.Context, args []string, out io.Writer) (code int, err error) {
	var c cli
	words := args
	if len(args) == 0 {
		words = []string{"--help"}
	}
	code = failed
	done, err := cmdline.Run(&c, "lab", "Runs the whole service on loopback, with faults, and judges the five rules by what the peers saw.\n"+
		"Exit codes: 0 no rule broke, 1 one did, 2 nothing could be run or judged.", words, out, func(k *kong.Context) (err error) {
		if j, ok := k.Selected().Target.Addr().Interface().(job); ok {
			code, err = j.run(ctx, out)
			return err
		}
		if err := k.Run(); err != nil {
			return err
		}
		code = lab.Clean
		return nil
	}, kong.UsageOnError())
	switch {
	case done && len(args) == 0:
		return failed, errors.New("no command")
	case done:
		return lab.Clean, nil
	}
	return code, err
}

// play is the flags of whatever plays days.
type play struct {
	Day       string        `help:"The day: a name from 'lab days', or a TOML file." default:"evening"`
	For       time.Duration `help:"Length of the load, 10m at most; 0: the day's." default:"0s"`
	Store     string        `help:"The shared counter: tally, redis (a primary and a replica) or redis-sentinel; empty: the day's." enum:",tally,redis,redis-sentinel" default:""`
	Fault     []string      `help:"TARGET:WHAT at TIME, beside the day's; may stand several times." sep:"none" placeholder:"TEXT"`
	Seed      uint64        `help:"Of the load, the nodes, drawn faults and the faults' chances." default:"1"`
	Hot       float64       `help:"One channel of storby asks for so many times its quota, through all ingresses; 0: none." default:"0"`
	Rate      float64       `help:"Times the day's load, up to 4." default:"1"`
	Nodes     int           `help:"Playout nodes, 3 to 60; 0: the day's." default:"0"`
	Ingresses int           `help:"Ingresses, 1 to 4; 0: the day's." default:"0"`
	Ingress   string        `help:"Another build of the ingress; empty: it is built from this source." type:"path" placeholder:"PROGRAM"`
	Race      bool          `help:"Build the ingress with the race detector."`
	Halls     bool          `help:"The ingresses know of halls ([halls] in their options)."`
	Fronts    string        `help:"What wishes come through: resp, http (a gate that asks), or resp,http (half each)." default:"resp"`
	GateFault []string      `help:"A fault rule for all gates, from the start; may stand several times." sep:"none" placeholder:"RULE"`
	Logs      string        `help:"Write what the ingresses log to a file." type:"path" placeholder:"FILE"`
	JSON      string        `help:"Write the report as JSON." type:"path" placeholder:"FILE"`
}

// config is what the flags come to; done closes the log.
func (p *play) config() (cfg lab.Config, done func(), err error) {
	cfg = lab.Config{
		Scenario: p.Day, Seed: p.Seed, For: p.For, Backends: p.Nodes, Ingresses: p.Ingresses, Store: p.Store, Faults: p.Fault, Rate: p.Rate, Hot: p.Hot,
		Ingress: p.Ingress, Race: p.Race, Zones: p.Halls, GateFault: p.GateFault,
	}
	switch p.Fronts {
	case "resp":
	case "http":
		cfg.HTTP = 1
	case "resp,http", "http,resp":
		cfg.HTTP = 0.5
	default:
		return cfg, nil, fmt.Errorf("--fronts: %q is none of resp, http and resp,http", p.Fronts)
	}
	done = func() {}
	if p.Logs != "" {
		file, err := os.Create(p.Logs)
		if err != nil {
			return cfg, nil, err
		}
		cfg.Log = file
		done = func() { file.Close() }
	}
	return cfg, done, nil
}

type demoCmd struct {
	play
	Quiet bool `help:"No live table."`
}

func (c *demoCmd) run(ctx context.Context, out io.Writer) (int, error) {
	cfg, done, err := c.config()
	if err != nil {
		return failed, err
	}
	defer done()
	if !c.Quiet {
		cfg.Live = out
	}
	r, err := lab.Run(ctx, cfg)
	if err != nil {
		return failed, err
	}
	io.WriteString(out, r.Text())
	if c.JSON != "" {
		if err := writeJSON(c.JSON, r); err != nil {
			return failed, err
		}
	}
	return r.Code(), nil
}

type soakCmd struct {
	play
	Seeds int    `help:"How many, from --seed on." default:"20"`
	All   string `help:"Play these days in turn, one a seed: names with commas, or 'all'." placeholder:"DAYS"`
}

// run plays one run for each seed and prints a line each.
func (c *soakCmd) run(ctx context.Context, out io.Writer) (int, error) {
	cfg, done, err := c.config()
	if err != nil {
		return failed, err
	}
	defer done()
	days := []string{c.Day}
	if c.All == "all" {
		days = scenario.Names()
	} else if c.All != "" {
		days = strings.Split(c.All, ",")
	}
	if cfg.Ingress == "" {
		dir, err := os.MkdirTemp("", "lab-soak-")
		if err != nil {
			return failed, err
		}
		defer os.RemoveAll(dir)
		cfg.Ingress = dir + "/hitchspring"
		if err := lab.Build(ctx, cfg.Ingress, c.Race, ""); err != nil {
			return failed, err
		}
	}
	var all []*lab.Report
	broken, doubtful, worst := 0, 0, 0.0
	for i := range c.Seeds {
		cfg.Seed, cfg.Scenario = c.Seed+uint64(i), days[i%len(days)]
		r, err := lab.Run(ctx, cfg)
		if err != nil {
			return failed, fmt.Errorf("day %s, seed %d: %w", cfg.Scenario, cfg.Seed, err)
		}
		all = append(all, r)
		switch r.Code() {
		case lab.Broken:
			broken++
		case lab.Unjudged:
			doubtful++
		}
		worst = max(worst, r.WorstOverrun)
		fmt.Fprintf(out, "%-12s seed %3d  tries %6d  service %.3f  breaks %d  beyond %3.0f%%  ceiling %+4.0f%%  cold %.2f  CPU %.0f us a try  late %.0f ms\n", r.Scenario, cfg.Seed, r.Attempts,
			r.Service, len(r.Violations)+len(r.Crashed), 100*r.BeyondShare, 100*r.Margins.Ceiling, r.Margins.SlowStartPush, r.CPUPerRequestUS, r.ObserverDelayMS)
		for _, b := range r.Violations {
			fmt.Fprintf(out, "    %s at %.3f s: %s\n", b.Rule, b.At.Seconds(), b.Detail)
		}
		for _, x := range r.Crashed {
			fmt.Fprintln(out, "    CRASHED:", x)
		}
		if r.Code() == lab.Unjudged {
			fmt.Fprintln(out, "    can't judge:", strings.Join(r.Doubts(), "; "))
		}
	}
	fmt.Fprintf(out, "%d runs: %d with a broken rule, %d that could not be judged; most overdrawn %.1f%% of a ceiling\n", len(all), broken, doubtful, 100*worst)
	if c.JSON != "" {
		if err := writeJSON(c.JSON, all); err != nil {
			return failed, err
		}
	}
	switch {
	case broken > 0:
		return lab.Broken, nil
	case doubtful > 0:
		return lab.Unjudged, nil
	}
	return lab.Clean, nil
}

type daysCmd struct {
	Name string `arg:"" optional:"" help:"Print this one."`
}

func (c *daysCmd) run(_ context.Context, out io.Writer) (int, error) {
	if c.Name != "" {
		text, err := scenario.Text(c.Name)
		if err != nil {
			return failed, err
		}
		io.WriteString(out, text)
		return lab.Clean, nil
	}
	for _, name := range scenario.Names() {
		d, err := scenario.Load(name)
		if err != nil {
			return failed, err
		}
		fmt.Fprintf(out, "%-12s %5v  %s\n", name, time.Duration(d.Length), d.About)
	}
	return lab.Clean, nil
}

type versionCmd struct{}

func (versionCmd) run(_ context.Context, out io.Writer) (int, error) {
	fmt.Fprintln(out, version.Text("lab"))
	return lab.Clean, nil
}

func writeJSON(path string, v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(b, '\n'), 0o644)
}
