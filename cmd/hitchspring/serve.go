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

// server is an instance in service, with what reading its files again needs.
type server struct {
	configPath   string
	optionsPath  string          // empty: there are no options
	startOptions *config.Options // those of the start: what can't change in service must stay as it is there
	instance     *ingress.Instance
	log          *slog.Logger
}

// serve runs one instance until SIGTERM or SIGINT has shut it down. SIGHUP reads its files again.
func serve(optionsPath string, log *slog.Logger) error {
	// From the start on, so that a SIGHUP never meets the default, which ends the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
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
		case <-hangups: // also during a shutdown, where it must do no harm
			s.reload()
		}
	}
}

// newServer reads both files, sets the limits of the process and returns the instance, which doesn't run yet.
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
	if c.file.Limits.MemoryMB > 0 { // a quarter is left for memory that the Go runtime does not count
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

// reload moves the instance to the addresses and rules that the files name now. A bad file changes nothing, nor do
// options that differ in what can't change in service.
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

// checkReloadable returns an error if the options differ from those of the start in what can't change in service.
func checkReloadable(start, now *config.Options) error {
	switch {
	case !now.Store.EqualExceptAddress(start.Store):
		return errors.New("store: only the address can change in service")
	case !reflect.DeepEqual(now.Zones, start.Zones):
		return errors.New("halls: only the content of the file of drills can change in service")
	case !reflect.DeepEqual(now.Peers, start.Peers):
		return errors.New("peers: only the content of the files of keys and seeds can change in service")
	case !reflect.DeepEqual(now.Clock, start.Clock):
		return errors.New("clock: nothing can change in service")
	case !reflect.DeepEqual(now.Takeover, start.Takeover):
		return errors.New("takeover: nothing can change in service")
	case !reflect.DeepEqual(now.Escrow, start.Escrow):
		return errors.New("rights: nothing can change in service")
	case !now.ForwardAuth.EqualExceptRules(start.ForwardAuth):
		return errors.New("forward_auth: only the rules can change in service")
	}
	return nil
}
