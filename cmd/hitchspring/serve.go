package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"syscall"

	"hitchspring/internal/config"
	"hitchspring/internal/handover"
	"hitchspring/internal/ingress"
)

// server is a running instance, with the state needed to reload its files.
type server struct {
	configPath   string
	optionsPath  string          // empty: no options file
	startOptions *config.Options // loaded at the start; a reload may change only some of them
	instance     *ingress.Instance
	log          *slog.Logger
}

// serve runs one instance until it has shut down after SIGTERM or SIGINT. SIGHUP reloads its files.
func serve(optionsPath string, log *slog.Logger) error {
	// Registered first: the default action of SIGHUP would end the process.
	sighups := make(chan os.Signal, 1)
	signal.Notify(sighups, syscall.SIGHUP)
	defer signal.Stop(sighups)
	s, err := newServer(optionsPath, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- s.instance.Run(ctx) }()
	for {
		select {
		case err := <-ended:
			return err
		case <-sighups: // also during a shutdown, which a reload must not disturb
			s.reload()
		}
	}
}

// newServer reads both files, applies the CPU and memory limits to the process and returns a server whose instance does
// not run yet.
func newServer(optionsPath string, log *slog.Logger) (*server, error) {
	path := os.Getenv(configVariable)
	if path == "" {
		return nil, errors.New("ROUTER_CONFIG names no configuration file")
	}
	options, err := config.Load(optionsPath)
	if err != nil {
		return nil, err
	}
	c, err := loadConfiguration(path, options, log)
	if err != nil {
		return nil, err
	}
	runtime.GOMAXPROCS(max(1, int(c.file.Limits.Cores)))
	if c.file.Limits.MemoryMB > 0 { // a quarter remains for memory that the Go runtime does not count
		debug.SetMemoryLimit(int64(c.ingress.Memory) / 4 * 3)
	}
	if c.socketFD > 0 {
		if c.ingress.Listener, err = handover.InheritedListener(c.socketFD); err != nil {
			return nil, fmt.Errorf("%s: %w", socketFDVariable, err)
		}
	}
	instance, err := ingress.New(c.ingress, log)
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return &server{
		configPath:   path,
		optionsPath:  optionsPath,
		startOptions: options,
		instance:     instance,
		log:          log,
	}, nil
}

// reload reads both files again and applies their addresses and rules. It applies nothing if a file is invalid, or if
// the options differ from those of the start in a value that requires a restart.
func (s *server) reload() {
	options, err := config.Load(s.optionsPath)
	if err != nil {
		s.log.Error("options rejected, keeping previous", "err", err)
		return
	}
	c, err := loadConfiguration(s.configPath, options, s.log)
	if err != nil {
		s.log.Error("configuration rejected, keeping previous", "err", err)
		return
	}
	if err := checkReloadable(s.startOptions, options); err != nil {
		s.log.Error("options rejected, keeping previous", "options", s.optionsPath, "err", err)
		return
	}
	s.log.Info("configuration reloaded", "discovery", c.ingress.Discovery, "counter", c.ingress.Counter)
	if c.ingress.Auth != nil {
		s.instance.SetRules(c.ingress.Auth.Table)
	}
	s.instance.SetAddresses(c.ingress.Discovery, c.ingress.Counter)
}

// checkReloadable returns an error if the options differ from those of the start in a value that requires a restart.
func checkReloadable(start, now *config.Options) error {
	switch {
	case !now.Store.EqualExceptAddress(start.Store):
		return errors.New("store: only the address can change without a restart")
	case !reflect.DeepEqual(now.Zones, start.Zones):
		return errors.New("halls: only the content of the drills file can change without a restart")
	case !reflect.DeepEqual(now.Peers, start.Peers):
		return errors.New("peers: only the content of the key file and the seeds file can change without a restart")
	case !reflect.DeepEqual(now.ClockError, start.ClockError):
		return errors.New("clock: no value can change without a restart")
	case !reflect.DeepEqual(now.Takeover, start.Takeover):
		return errors.New("takeover: the section can't be added or removed without a restart")
	case !reflect.DeepEqual(now.Escrow, start.Escrow):
		return errors.New("rights: the section can't be added or removed without a restart")
	case !now.ForwardAuth.EqualExceptRules(start.ForwardAuth):
		return errors.New("forward_auth: only the rules can change without a restart")
	}
	return nil
}
