package main

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"os"
	"strings"

	"github.com/alecthomas/kong"
	kongcompletion "github.com/jotaen/kong-completion"

	"hitchspring/internal/cmdline"
	"hitchspring/internal/config"
	"hitchspring/internal/version"
)

// optionsVariable is the environment variable with the path of the options file; --options overrides it.
const optionsVariable = "HITCHSPRING_OPTIONS"

// cli is the command line as kong parses it. Names of commands and flags are part of the public interface: where the Go
// field has another name, a name tag keeps the public one.
//
//nolint:lll // a struct tag can't be wrapped
type cli struct {
	Options string `help:"The options file (TOML); without it everything is as ROUTER_CONFIG has it." env:"HITCHSPRING_OPTIONS" placeholder:"FILE"`

	Serve      serveCmd                  `cmd:"" default:"1" help:"Serve, as ROUTER_CONFIG and the options say. The default."`
	Check      checkCmd                  `cmd:"" help:"Say what is wrong with the settings, or print those in force."`
	Status     statusCmd                 `cmd:"" help:"What a running ingress holds, from its metrics listener."`
	Zone       zoneCmd                   `cmd:"" name:"hall" help:"Take a hall out on purpose, for a while, and let it in again."`
	Version    versionCmd                `cmd:"" help:"Print the revision and the Go version."`
	Completion kongcompletion.Completion `cmd:"" help:"Print what a shell needs to complete this command line (bash, zsh, fish)."`
}

// commandEnv is the environment that each command receives.
type commandEnv struct {
	ctx         context.Context
	out         io.Writer
	log         *slog.Logger
	optionsPath string // empty: no options file
}

// serveCmd runs the ingress. It is the default command.
type serveCmd struct{}

// Run serves until SIGTERM or SIGINT.
func (serveCmd) Run(e *commandEnv) error { return serve(e.optionsPath, e.log) }

// versionCmd prints the version of the build.
type versionCmd struct{}

// Run prints the version in one line.
func (versionCmd) Run(e *commandEnv) error {
	_, err := io.WriteString(e.out, version.Text("hitchspring")+"\n")
	return err
}

// checkCmd validates the configuration and the options.
type checkCmd struct{}

// Run validates the options file, and the configuration file if ROUTER_CONFIG is set, and prints the effective options.
// It starts nothing.
func (checkCmd) Run(e *commandEnv) error {
	options, err := config.Load(e.optionsPath)
	if err != nil {
		return err
	}
	if path := os.Getenv(configVariable); path != "" {
		if _, err := loadConfiguration(path, options, slog.New(slog.DiscardHandler)); err != nil {
			return err
		}
	}
	_, err = io.WriteString(e.out, options.Text())
	return err
}

// runCommand runs the command given by the arguments. Without arguments it serves, without building a command-line
// parser.
func runCommand(args []string, out io.Writer, log *slog.Logger) error {
	if len(args) == 0 {
		return serve(os.Getenv(optionsVariable), log)
	}
	var c cli
	parsed := false
	const about = "The ingress: clients on one side, playout nodes on the other, the decision module between."
	_, err := cmdline.Run(&c, "hitchspring", about, args, out, func(k *kong.Context) error {
		parsed = true
		return k.Run(&commandEnv{ctx: context.Background(), out: out, log: log, optionsPath: c.Options})
	})
	if err != nil && !parsed {
		return errors.New(strings.ReplaceAll(err.Error(), "\n", " ") + "; hitchspring --help lists the commands")
	}
	return err
}
