// Package ingress puts the lean ingress together: the core, the front for the platform's clients, and the one for gates.
package ingress

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"hitchspring/internal/admin"
	"hitchspring/internal/core"
	"hitchspring/internal/front/forwardauth"
	"hitchspring/internal/front/resp"
	"hitchspring/internal/peers"
	"hitchspring/internal/store"
	"hitchspring/internal/store/tally"
	"hitchspring/internal/takeover"
	"hitchspring/internal/zonedrain"
)

const (
	firstList = 300 * time.Millisecond // what a start waits for discovery before it serves from the known list
	spare     = 32                     // descriptors for the counter, discovery, the listener and the runtime

	drillsEvery = 500 * time.Millisecond // the file of drills is read again

	mostMetrics = 8  // connections and calls for figures
	leastConns  = 32 // of clients
)

// Config is all that an ingress is told.
type Config struct {
	Listen  string
	Counter string // the address of tally, where Store is nil
	Auth    *Auth  // nil: no gate may ask
	Metrics string // host:port where figures are served; empty: nowhere
	Admin   string // host:port of the operators' door; empty: there is none
	// Listener is the clients' listening socket where the platform holds it and every process inherits it; nil: Listen is
	// opened.
	Listener net.Listener
	// StateDir is the folder that all processes of this ingress have in common, where the operators' words and what one process
	// leaves to the next are kept; empty: nothing is kept.
	StateDir   string
	ZoneDrains string        // file of the halls that are taken out on purpose; empty: there is none
	Peers      *peers.Config // other instances with whom this one shares what it sees; nil: none
	// TakesOver is whether keyed work in hand survives this instance, and this one finishes others'; it needs Peers.
	EnableTakeover bool
	// Lends is whether parts of budgets move between this instance and others; it needs Peers.
	EnableEscrow bool
	core.Config
}

// Auth is the front for gates.
type Auth struct {
	Listen string
	Config forwardauth.Config
	Table  *forwardauth.Table
}

// Gateway is one ingress.
type Instance struct {
	cfg      Config
	core     *core.Core
	log      *slog.Logger
	ready    chan struct{}
	addr     net.Addr
	auth     *forwardauth.Front          // nil: off
	at       net.Addr                    // of auth
	admin    atomic.Pointer[net.TCPAddr] // of the door; nil: not open
	front    atomic.Pointer[resp.Front]  // nil until clients are taken
	prepared atomic.Bool                 // prepared to serve, also where another process still does
	over     atomic.Bool                 // shutting down
	words    *words                      // the folder that this ingress's processes share, where there is one that can be used
	others   atomic.Int64                // other processes of this ingress that are there
	reg      *prometheus.Registry
	company  *company // nil: there are no peers
}

// New checks the configuration and returns an ingress that does not run yet.
func New(cfg Config, log *slog.Logger) (*Instance, error) {
	for _, addr := range []string{cfg.Listen, cfg.Counter} {
		if _, _, err := net.SplitHostPort(addr); addr != "" && err != nil {
			return nil, fmt.Errorf("not an address: %w", err)
		}
	}
	if _, _, err := net.SplitHostPort(cfg.Admin); cfg.Admin != "" && err != nil {
		return nil, fmt.Errorf("admin_addr %q: %w", cfg.Admin, err)
	}
	cfg.Operated = cfg.Admin != "" || cfg.Metrics != ""
	if cfg.Listener != nil { // until the locks have told
		cfg.Siblings = 1
	}
	if cfg.Store == nil {
		if cfg.Settings.Counter && cfg.Counter == "" {
			return nil, errors.New("the settings name a shared counter, the configuration has no address of it")
		}
		cfg.Store = func(sink store.Sink) (store.Counter, error) {
			return tally.New(cfg.Counter, cfg.Settings.CounterTimeout, sink), nil
		}
	}
	kept := &words{}
	if cfg.StateDir != "" {
		cfg.Overrides = kept
	}
	var others *company
	if cfg.Peers != nil {
		others = &company{name: cfg.Peers.Name}
		cfg.Config.Peers = others
	}
	var later *Instance // which takes over, once it is there
	if cfg.Takeover = nil; cfg.EnableTakeover && others != nil {
		cfg.Takeover = &core.Takeover{
			Self: takeover.Member{Name: others.name, Zone: cfg.Settings.Zone}, Incarnation: 1, Transport: others,
			Rebuild: func(words [][]byte) (*core.Request, error) { return later.rebuild(words) },
		}
	}
	if cfg.Config.Escrow = nil; cfg.EnableEscrow && others != nil {
		cfg.Config.Escrow = others
	}
	c, err := core.New(cfg.Config, log)
	if err != nil {
		return nil, err
	}
	g := &Instance{cfg: cfg, core: c, company: others, log: log, words: kept, ready: make(chan struct{}), reg: prometheus.NewRegistry()}
	later = g
	if cfg.Auth != nil {
		g.auth = forwardauth.New(cfg.Auth.Config, cfg.Auth.Table, c, log, g.reg)
	}
	g.others.Store(int64(cfg.Siblings))
	return g, nil
}

// SetRules puts another table of rules in force at the front for gates; it does nothing where that is off.
func (g *Instance) SetRules(t *forwardauth.Table) {
	if g.auth != nil {
		g.auth.SetTable(t)
	}
}

// AuthAddr is where gates ask, once Ready has closed; nil where that is off.
func (g *Instance) AuthAddr() net.Addr { return g.at }

// Ready closes when clients are taken.
func (g *Instance) Ready() <-chan struct{} { return g.ready }

// Addr is where, once Ready has closed.
func (g *Instance) Addr() net.Addr { return g.addr }

// Move goes over to discovery and a counter at other addresses; see core.Core.
func (g *Instance) SetAddresses(discovery, counter string) { g.core.SetAddresses(discovery, counter) }

// Run serves until ctx ends, then answers what it has taken and returns.
func (g *Instance) Run(ctx context.Context) error {
	endKeeping := g.keep()
	defer endKeeping()
	if g.cfg.Admin != "" { // first, so that a start that takes its time says so
		ln, err := net.Listen("tcp", g.cfg.Admin)
		if err != nil {
			return fmt.Errorf("admin_addr: %w", err)
		}
		g.admin.Store(ln.Addr().(*net.TCPAddr))
		defer admin.Serve(ln, door{g}, g.log).Close()
	}
	leave, err := g.takePart() // before anything is served, so that a starter knows what the others know
	if err != nil {
		return err
	}
	defer leave()
	g.core.Start()
	defer g.core.End()
	if g.cfg.ZoneDrains != "" {
		watching, end := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			zonedrain.Watch(watching, g.cfg.ZoneDrains, drillsEvery, g.core.SetZoneDrains, g.log)
		}()
		defer func() {
			end()
			<-ended
		}()
	}
	select {
	case <-g.core.DiscoveryReady():
	case <-time.After(firstList):
	case <-ctx.Done():
		return nil
	}
	g.learnFirst(ctx)
	ln, err := g.listen(ctx)
	if err != nil || ln == nil {
		return err
	}
	conns, memory := g.core.FrontLimits()
	if g.auth != nil {
		conns -= g.cfg.Auth.Config.MaxConnections
	}
	if g.cfg.Metrics != "" {
		conns -= mostMetrics
	}
	if g.cfg.Admin != "" {
		conns -= admin.MaxConnections
	}
	if conns-spare < leastConns {
		return fmt.Errorf("the limit on sockets leaves %d for clients, %d at least are wanted: fewer forward_auth.connections", conns-spare, leastConns)
	}
	var gates net.Listener
	if g.auth != nil {
		if gates, err = net.Listen("tcp", g.cfg.Auth.Listen); err != nil {
			ln.Close()
			return fmt.Errorf("listening for gates: %w", err)
		}
		g.at = gates.Addr()
		g.auth.Start(gates)
	}
	endMetrics, err := g.serveMetrics()
	if err != nil {
		ln.Close()
		if gates != nil {
			g.auth.Drain(ctx)
		}
		return err
	}
	defer endMetrics()
	f := resp.New(ln, g.core, conns-spare, memory)
	f.Observe(g.core.Metrics(), g.core.Guard())
	g.front.Store(f)
	g.room()
	f.Start()
	g.addr = ln.Addr()
	g.prepared.Store(true)
	close(g.ready)
	g.log.Info("serving", "listen", g.cfg.Listen)

	<-ctx.Done()
	g.shutDown(f, time.Now())
	return nil
}

// serveMetrics serves the figures where the settings name a place for them.
func (g *Instance) serveMetrics() (end func(), err error) {
	if g.cfg.Metrics == "" {
		return func() {}, nil
	}
	ln, err := net.Listen("tcp", g.cfg.Metrics)
	if err != nil {
		return nil, fmt.Errorf("listening for metrics: %w", err)
	}
	g.reg.MustRegister(newRequestFigures(g.core.Metrics(), g.core.Guard()))
	if g.cfg.Zones != nil {
		g.reg.MustRegister(newHallFigures(g.core.ZoneStatus))
	}
	if g.company != nil {
		g.reg.MustRegister(newPeerFigures(g.PeersStatus))
	}
	g.reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	mux := http.NewServeMux()
	mux.HandleFunc("GET /halls", g.serveHalls)
	mux.HandleFunc("GET /peers", g.servePeers)
	mux.HandleFunc("GET /nodes", g.serveNodes)
	mux.HandleFunc("GET /work", g.serveWork)
	mux.HandleFunc("GET /budgets", g.serveBudgets)
	mux.HandleFunc("GET /rights", g.serveRights)
	mux.Handle("GET /metrics", promhttp.HandlerFor(g.reg, promhttp.HandlerOpts{MaxRequestsInFlight: mostMetrics}))
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 2 * time.Second, WriteTimeout: 10 * time.Second, IdleTimeout: 2 * time.Minute, MaxHeaderBytes: 8 << 10}
	done := make(chan struct{})
	go func() {
		defer close(done)
		srv.Serve(ln)
	}()
	return func() {
		srv.Close()
		<-done
	}, nil
}
