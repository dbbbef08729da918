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

// cli is the command line.
type cli struct {
	Options string `help:"The options file (TOML); without it everything is as ROUTER_CONFIG has it." env:"HITCHSPRING_OPTIONS" placeholder:"FILE"`

	Serve      serveCmd                  `cmd:"" default:"1" help:"Serve, as ROUTER_CONFIG and the options say. The default."`
	Check      checkCmd                  `cmd:"" help:"Say what is wrong with the settings, or print those in force."`
	Status     statusCmd                 `cmd:"" help:"What a running ingress holds, from its metrics listener."`
	Hall       zoneCmd                   `cmd:"" help:"Take a hall out on purpose, for a while, and let it in again."`
	Version    versionCmd                `cmd:"" help:"Print the revision and the Go version."`
	Completion kongcompletion.Completion `cmd:"" help:"Print what a shell needs to complete this command line (bash, zsh, fish)."`
}

// env is what commands are run with.
type commandEnv struct {
	ctx     context.Context
	out     io.Writer
	log     *slog.Logger
	options string
}

type serveCmd struct{}

func (serveCmd) Run(e *commandEnv) error { return serve(e.options, e.log) }

type versionCmd struct{}

func (versionCmd) Run(e *commandEnv) error {
	_, err := io.WriteString(e.out, version.Text("hitchspring")+"\n")
	return err
}

type checkCmd struct{}

// Run checks both files, and starts nothing.
func (checkCmd) Run(e *commandEnv) error {
	o, err := config.Load(e.options)
	if err != nil {
		return err
	}
	if path := os.Getenv("ROUTER_CONFIG"); path != "" {
		if _, _, err := load(path, o, slog.New(slog.DiscardHandler)); err != nil {
			return err
		}
	}
	_, err = io.WriteString(e.out, o.Text())
	return err
}

// command runs the program as its arguments say. Without any it serves, and nothing of the command line is built.
func runCommand(args []string, out io.Writer, log *slog.Logger) error {
	if len(args) == 0 {
		return serve(os.Getenv("HITCHSPRING_OPTIONS"), log)
	}
	var c cli
	parsed := false
	_, err := cmdline.Run(&c, "hitchspring", "The ingress: clients on one side, playout nodes on the other, the decision module between.", args, out,
		func(k *kong.Context) error {
			parsed = true
			return k.Run(&commandEnv{ctx: context.Background(), out: out, log: log, options: c.Options})
		})
	if err != nil && !parsed {
		return errors.New(strings.ReplaceAll(err.Error(), "\n", " ") + "; hitchspring --help lists the commands")
	}
	return err
}
