// Package ingress puts the lean ingress together: the core, and the front for the platform's clients.
package ingress

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"

	"hitchspring/internal/core"
	"hitchspring/internal/front/resp"
	"hitchspring/internal/store"
	"hitchspring/internal/store/tally"
)

const (
	firstList = 300 * time.Millisecond  // what a start waits for discovery before it serves from the known list
	graceOpen = 600 * time.Millisecond  // after SIGTERM: new connections go on being served
	graceAll  = 3300 * time.Millisecond // after SIGTERM: everything is answered by then
	spare     = 32                      // descriptors for the counter, discovery, the listener and the runtime
)

// Config is all that an ingress is told.
type Config struct {
	Listen  string
	Counter string // the address of tally, where Store is nil
	core.Config
}

// Gateway is one ingress.
type Gateway struct {
	cfg   Config
	core  *core.Core
	log   *slog.Logger
	ready chan struct{}
	addr  net.Addr
}

// New checks the configuration and returns an ingress that does not run yet.
func New(cfg Config, log *slog.Logger) (*Gateway, error) {
	for _, addr := range []string{cfg.Listen, cfg.Counter} {
		if _, _, err := net.SplitHostPort(addr); addr != "" && err != nil {
			return nil, fmt.Errorf("not an address: %w", err)
		}
	}
	if cfg.Store == nil {
		if cfg.Settings.Counter && cfg.Counter == "" {
			return nil, errors.New("the settings name a shared counter, the configuration has no address of it")
		}
		cfg.Store = func(sink store.Sink) (store.Counter, error) {
			return tally.New(cfg.Counter, cfg.Settings.CounterTimeout, sink), nil
		}
	}
	c, err := core.New(cfg.Config, log)
	if err != nil {
		return nil, err
	}
	return &Gateway{cfg: cfg, core: c, log: log, ready: make(chan struct{})}, nil
}

// Ready closes when clients are taken.
func (g *Gateway) Ready() <-chan struct{} { return g.ready }

// Addr is where, once Ready has closed.
func (g *Gateway) Addr() net.Addr { return g.addr }

// Move goes over to discovery and a counter at other addresses; see core.Core.
func (g *Gateway) Move(discovery, counter string) { g.core.Move(discovery, counter) }

// Run serves until ctx ends, then answers what it has taken and returns.
func (g *Gateway) Run(ctx context.Context) error {
	g.core.Start()
	defer g.core.End()
	select {
	case <-g.core.Listed():
	case <-time.After(firstList):
	case <-ctx.Done():
		return nil
	}
	ln, err := net.Listen("tcp", g.cfg.Listen)
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	conns, memory := g.core.Room()
	f := resp.New(ln, g.core, conns-spare, memory)
	f.Start()
	g.addr = ln.Addr()
	close(g.ready)
	g.log.Info("serving", "listen", g.cfg.Listen)

	<-ctx.Done()
	g.log.Info("shutting down")
	limit, cancel := context.WithTimeout(context.Background(), graceAll)
	defer cancel()
	time.Sleep(graceOpen)
	last := time.AfterFunc(graceAll-graceOpen-100*time.Millisecond, g.core.EndAll)
	defer last.Stop()
	f.Drain(limit)
	return nil
}
