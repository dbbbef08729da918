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
	discoveryWait = 300 * time.Millisecond // what a start waits for discovery before it serves from the known list
	reservedDescriptors     = 32                     // descriptors for the counter, discovery, the listener and the runtime

	zoneDrainInterval = 500 * time.Millisecond // the file of drills is read again

	maxMetricsCalls = 8  // connections and calls for figures
	minClientConnections  = 32 // of clients
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
	config      Config
	core     *core.Core
	log      *slog.Logger
	ready    chan struct{}
	addr     net.Addr
	auth     *forwardauth.Front          // nil: off
	authAddr       net.Addr                    // of auth
	admin    atomic.Pointer[net.TCPAddr] // of the door; nil: not open
	front    atomic.Pointer[resp.Front]  // nil until clients are taken
	prepared atomic.Bool                 // prepared to serve, also where another process still does
	shuttingDown     atomic.Bool                 // shutting down
	overrides    *overrideStore                      // the folder that this ingress's processes share, where there is one that can be used
	siblingCount   atomic.Int64                // other processes of this ingress that are there
	registry      *prometheus.Registry
	peers  *peerLink // nil: there are no peers
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
	kept := &overrideStore{}
	if cfg.StateDir != "" {
		cfg.Overrides = kept
	}
	var others *peerLink
	if cfg.Peers != nil {
		others = &peerLink{name: cfg.Peers.Name}
		cfg.Config.Peers = others
	}
	var later *Instance // which takes over, once it is there
	if cfg.Takeover = nil; cfg.EnableTakeover && others != nil {
		cfg.Takeover = &core.Takeover{
			Self: takeover.Member{Name: others.name, Zone: cfg.Settings.Zone}, Incarnation: 1, Transport: others,
			Rebuild: func(words [][]byte) (*core.Request, error) { return later.rebuildRequest(words) },
		}
	}
	if cfg.Config.Escrow = nil; cfg.EnableEscrow && others != nil {
		cfg.Config.Escrow = others
	}
	c, err := core.New(cfg.Config, log)
	if err != nil {
		return nil, err
	}
	g := &Instance{config: cfg, core: c, peers: others, log: log, overrides: kept, ready: make(chan struct{}), registry: prometheus.NewRegistry()}
	later = g
	if cfg.Auth != nil {
		g.auth = forwardauth.New(cfg.Auth.Config, cfg.Auth.Table, c, log, g.registry)
	}
	g.siblingCount.Store(int64(cfg.Siblings))
	return g, nil
}

// SetRules puts another table of rules in force at the front for gates; it does nothing where that is off.
func (i *Instance) SetRules(t *forwardauth.Table) {
	if i.auth != nil {
		i.auth.SetTable(t)
	}
}

// AuthAddr is where gates ask, once Ready has closed; nil where that is off.
func (i *Instance) AuthAddr() net.Addr { return i.authAddr }

// Ready closes when clients are taken.
func (i *Instance) Ready() <-chan struct{} { return i.ready }

// Addr is where, once Ready has closed.
func (i *Instance) Addr() net.Addr { return i.addr }

// Move goes over to discovery and a counter at other addresses; see core.Core.
func (i *Instance) SetAddresses(discovery, counter string) { i.core.SetAddresses(discovery, counter) }

// Run serves until ctx ends, then answers what it has taken and returns.
func (i *Instance) Run(ctx context.Context) error {
	endKeeping := i.openStateDir()
	defer endKeeping()
	if i.config.Admin != "" { // first, so that a start that takes its time says so
		ln, err := net.Listen("tcp", i.config.Admin)
		if err != nil {
			return fmt.Errorf("admin_addr: %w", err)
		}
		i.admin.Store(ln.Addr().(*net.TCPAddr))
		defer admin.Serve(ln, adminService{i}, i.log).Close()
	}
	leave, err := i.joinPeers() // before anything is served, so that a starter knows what the others know
	if err != nil {
		return err
	}
	defer leave()
	i.core.Start()
	defer i.core.End()
	if i.config.ZoneDrains != "" {
		watching, end := context.WithCancel(context.Background())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			zonedrain.Watch(watching, i.config.ZoneDrains, zoneDrainInterval, i.core.SetZoneDrains, i.log)
		}()
		defer func() {
			end()
			<-ended
		}()
	}
	select {
	case <-i.core.DiscoveryReady():
	case <-time.After(discoveryWait):
	case <-ctx.Done():
		return nil
	}
	i.awaitPeerSync(ctx)
	ln, err := i.listen(ctx)
	if err != nil || ln == nil {
		return err
	}
	conns, memory := i.core.FrontLimits()
	if i.auth != nil {
		conns -= i.config.Auth.Config.MaxConnections
	}
	if i.config.Metrics != "" {
		conns -= maxMetricsCalls
	}
	if i.config.Admin != "" {
		conns -= admin.MaxConnections
	}
	if conns-reservedDescriptors < minClientConnections {
		return fmt.Errorf("the limit on sockets leaves %d for clients, %d at least are wanted: fewer forward_auth.connections", conns-reservedDescriptors, minClientConnections)
	}
	var gates net.Listener
	if i.auth != nil {
		if gates, err = net.Listen("tcp", i.config.Auth.Listen); err != nil {
			ln.Close()
			return fmt.Errorf("listening for gates: %w", err)
		}
		i.authAddr = gates.Addr()
		i.auth.Start(gates)
	}
	endMetrics, err := i.serveStatus()
	if err != nil {
		ln.Close()
		if gates != nil {
			i.auth.Drain(ctx)
		}
		return err
	}
	defer endMetrics()
	f := resp.New(ln, i.core, conns-reservedDescriptors, memory)
	f.Observe(i.core.Metrics(), i.core.Guard())
	i.front.Store(f)
	i.shareConnections()
	f.Start()
	i.addr = ln.Addr()
	i.prepared.Store(true)
	close(i.ready)
	i.log.Info("serving", "listen", i.config.Listen)

	<-ctx.Done()
	i.shutDown(f, time.Now())
	return nil
}

// serveMetrics serves the figures where the settings name a place for them.
func (i *Instance) serveStatus() (end func(), err error) {
	if i.config.Metrics == "" {
		return func() {}, nil
	}
	ln, err := net.Listen("tcp", i.config.Metrics)
	if err != nil {
		return nil, fmt.Errorf("listening for metrics: %w", err)
	}
	i.registry.MustRegister(newRequestCollector(i.core.Metrics(), i.core.Guard()))
	if i.config.Zones != nil {
		i.registry.MustRegister(newZoneCollector(i.core.ZoneStatus))
	}
	if i.peers != nil {
		i.registry.MustRegister(newPeerCollector(i.PeersStatus))
	}
	i.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	mux := http.NewServeMux()
	mux.HandleFunc("GET /halls", i.serveZones)
	mux.HandleFunc("GET /peers", i.servePeers)
	mux.HandleFunc("GET /nodes", i.serveBackends)
	mux.HandleFunc("GET /work", i.serveWork)
	mux.HandleFunc("GET /budgets", i.serveQuotaBounds)
	mux.HandleFunc("GET /rights", i.serveEscrow)
	mux.Handle("GET /metrics", promhttp.HandlerFor(i.registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxMetricsCalls}))
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
