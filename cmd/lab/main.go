// Command lab runs the complete service on loopback against stand-ins, for
// manual use and for tests. It runs scenarios that put real instances under load
// and faults, and checks the five rules by the records of clients and backends.
// It also runs experiments and soaks, plants defects to test the rule checker,
// and runs single stand-ins. The exit status is 0 if no rule was violated, 1 if
// one was, and 2 if something could not be run or checked.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	kongcompletion "github.com/jotaen/kong-completion"

	"hitchspring/internal/cmdline"
	"hitchspring/internal/lab"
	"hitchspring/internal/version"
)

// failed is the exit status if something could not be run or checked. The others are lab.Clean and lab.Broken.
const failed = lab.Unjudged

// cli is the command line as kong parses it. Names of commands and flags are part of the public interface: where the Go
// field has another name, a name tag keeps the public one.
//
//nolint:lll // a struct tag can't be wrapped
type cli struct {
	Demo              demoCmd                   `cmd:"" help:"Play a day once, with a line a second and a report."`
	Soak              soakCmd                   `cmd:"" help:"Play a day once for each seed, a line each."`
	Mutation          mutationCmd               `cmd:"" name:"prove" help:"Plant defects in the ingress and see whether the judge finds them."`
	Experiment        experimentCmd             `cmd:"" help:"Cross builds, days and seeds by a file; results as JSON lines and a page."`
	Zones             zonesCmd                  `cmd:"" name:"halls" help:"Lose halls and regain them, with [halls] off and on: figures and pictures."`
	Trial             trialCmd                  `cmd:"" help:"Many processes under faults between them, with a part of the program off and on."`
	OverlappingFaults overlappingFaultsCmd      `cmd:"" name:"overlap" help:"Many processes under troubles that overlap, drawn by a seed; every promise judged."`
	Compare           compareCmd                `cmd:"" help:"CPU, memory and service of this ingress against another commit's."`
	Cost              costCmd                   `cmd:"" help:"What a request waits and costs: builds and a bare proxy side by side."`
	CostProxy         costProxyCmd              `cmd:"" hidden:"" help:"The bare proxy of 'cost', until a signal."`
	FleetLogs         fleetLogsCmd              `cmd:"" help:"Add up, second by second, what many instances logged."`
	Scenarios         scenariosCmd              `cmd:"" name:"days" help:"List the days, or print one."`
	Redis             redisCmd                  `cmd:"" help:"The Redis stand-in alone, until a signal."`
	Gate              gateCmd                   `cmd:"" help:"The stand-in gate alone, until a signal."`
	Version           versionCmd                `cmd:"" help:"Print the revision and the Go version."`
	Completion        kongcompletion.Completion `cmd:"" help:"Print what a shell needs to complete this command line (bash, zsh, fish)."`
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

// runner is a command. run returns the exit status; ctx is cancelled on SIGINT and SIGTERM.
type runner interface {
	run(ctx context.Context, out io.Writer) (int, error)
}

// run parses the arguments, runs the selected command and returns the exit status. Without arguments it prints the help
// and returns an error.
func run(ctx context.Context, args []string, out io.Writer) (code int, err error) {
	const about = "Runs the whole service on loopback, with faults, " +
		"and judges the five rules by what the peers saw.\n" +
		"Exit codes: 0 no rule broke, 1 one did, 2 nothing could be run or judged."
	var c cli
	parsedArgs := args
	if len(args) == 0 {
		parsedArgs = []string{"--help"}
	}
	code = failed
	printed, err := cmdline.Run(&c, "lab", about, parsedArgs, out, func(k *kong.Context) (err error) {
		if command, ok := k.Selected().Target.Addr().Interface().(runner); ok {
			code, err = command.run(ctx, out)
			return err
		}
		if err := k.Run(); err != nil {
			return err
		}
		code = lab.Clean
		return nil
	}, kong.UsageOnError())
	switch {
	case printed && len(args) == 0:
		return failed, errors.New("no command")
	case printed:
		return lab.Clean, nil
	}
	return code, err
}

// versionCmd prints the version of the build.
type versionCmd struct{}

// run prints the version in one line.
func (versionCmd) run(_ context.Context, out io.Writer) (int, error) {
	_, err := fmt.Fprintln(out, version.Text("lab"))
	return lab.Clean, err
}

// writeJSON writes a value to a file as indented JSON.
func writeJSON(path string, value any) error {
	text, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}
