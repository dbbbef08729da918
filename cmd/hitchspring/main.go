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

func run(log *slog.Logger) error {
	path := os.Getenv("ROUTER_CONFIG")
	if path == "" {
		return errors.New("ROUTER_CONFIG names no configuration file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("configuration: %w", err)
	}
	var f configFile
	if err := json.Unmarshal(text, &f); err != nil {
		return fmt.Errorf("configuration %s: %w", path, err)
	}
	if f.Listen == "" || f.Discovery == "" || len(f.Settings) == 0 {
		return fmt.Errorf("configuration %s: listen, discovery and settings are wanted", path)
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return fmt.Errorf("configuration %s: seed: %w", path, err)
	}
	settings, conns, err := wire.ParseSettings(f.Settings)
	if err != nil {
		return fmt.Errorf("configuration %s: %w", path, err)
	}
	runtime.GOMAXPROCS(max(1, int(f.Limits.Cores)))
	if f.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(f.Limits.MemoryMB << 20 / 4 * 3)
	}
	gw, err := ingress.New(ingress.Config{Listen: f.Listen, Discovery: f.Discovery, Counter: f.Counter, Seed: seed,
		Sockets: f.Limits.Sockets, Known: f.Known, Settings: *settings, Connections: conns}, log)
	if err != nil {
		return fmt.Errorf("configuration %s: %w", path, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return gw.Run(ctx)
}
