// Command hitchspring is the ingress: clients on one side, backends on the other, the decision module between.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"

	"larchwick/internal/ingress"
	"larchwick/internal/wire"
)

func main() {
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	if err := run(log); err != nil {
		fmt.Fprintln(os.Stderr, "hitchspring:", err)
		os.Exit(1)
	}
}

// configFile is the form of the configuration.
type configFile struct {
	Listen    string        `json:"listen"`
	Discovery string        `json:"discovery"`
	Counter   string        `json:"counter"`
	Seed      string        `json:"seed"`
	Known     ingress.Fleet `json:"known"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int64   `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Settings json.RawMessage `json:"settings"`
}

// load reads the configuration file and checks it whole.
func load(path string, log *slog.Logger) (ingress.Config, *configFile, error) {
	var f configFile
	fail := func(err error) (ingress.Config, *configFile, error) {
		return ingress.Config{}, nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return fail(err)
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return fail(err)
	}
	if f.Listen == "" || f.Discovery == "" || len(f.Settings) == 0 {
		return fail(errors.New("listen, discovery and settings are wanted"))
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return fail(fmt.Errorf("seed: %w", err))
	}
	settings, conns, err := wire.ParseSettings(f.Settings)
	if err != nil {
		return fail(err)
	}
	cfg := ingress.Config{Listen: f.Listen, Discovery: f.Discovery, Counter: f.Counter, Seed: seed,
		Sockets: f.Limits.Sockets, Memory: int(f.Limits.MemoryMB << 20), Known: f.Known, Settings: *settings, Connections: conns}
	if _, err := ingress.New(cfg, log); err != nil { // one that is not run holds nothing
		return fail(err)
	}
	return cfg, &f, nil
}

func run(log *slog.Logger) error {
	// From the start on, so that a SIGHUP never meets the default, which ends the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	path := os.Getenv("ROUTER_CONFIG")
	if path == "" {
		return errors.New("ROUTER_CONFIG names no configuration file")
	}
	cfg, f, err := load(path, log)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(f.Limits.Cores)))
	if f.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(f.Limits.MemoryMB << 20 / 4 * 3)
	}
	gw, err := ingress.New(cfg, log)
	if err != nil {
		return fmt.Errorf("configuration %s: %w", path, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- gw.Run(ctx) }()
	for {
		select {
		case err := <-ended:
			return err
		case <-hup: // also during a shutdown, where it must do no harm
			reload(path, gw, log)
		}
	}
}

// reload moves the ingress to the addresses that the file names now; a bad file changes nothing.
func reload(path string, gw *ingress.Gateway, log *slog.Logger) {
	cfg, _, err := load(path, log)
	if err != nil {
		log.Error("the old configuration is kept", "err", err)
		return
	}
	log.Info("new configuration", "discovery", cfg.Discovery, "counter", cfg.Counter)
	gw.Move(cfg.Discovery, cfg.Counter)
}
