// Package ingress assembles one instance of the ingress: the core, the front for
// the platform's clients, the front for reverse proxies, the admin server, the
// status server and the link to other instances. Run serves until its context ends
// and then shuts down gracefully. Processes of one ingress that follow one another
// share a state directory and the listening socket. The package makes no decisions
// about requests.
package ingress

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

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
	discoveryWait     = 300 * time.Millisecond // for discovery, before the known list is served
	zoneDrainInterval = 500 * time.Millisecond // between two reads of the zone drain file

	reservedDescriptors  = 32 // for the counter, discovery, the listener and the runtime
	minClientConnections = 32
)

// Config is the configuration of an instance.
type Config struct {
	// Listen is the address for clients.
	Listen string
	// Counter is the address of the shared counter, used if Store is nil.
	Counter string
	// Auth configures the front for reverse proxies; nil: there is none.
	Auth *ForwardAuth
	// Metrics is the host:port of the status server; empty: there is none.
	Metrics string
	// Admin is the host:port of the admin server; empty: there is none.
	Admin string
	// Listener is the clients' listening socket if the platform holds it and
	// every process inherits it; nil: Listen is opened.
	Listener net.Listener
	// StateDir is the directory that all processes of this ingress share, for
	// the operators' overrides and what one process hands over to the next;
	// empty: nothing is stored.
	StateDir string
	// ZoneDrains is the file of the zones that are drained; empty: there is none.
	ZoneDrains string
	// Peers configures the link to other instances; nil: there are none.
	Peers *peers.Config
	// EnableTakeover is whether keyed requests survive this instance, and this
	// one takes over those of others; it needs Peers.
	EnableTakeover bool
	// EnableEscrow is whether allocations of quotas move between this instance
	// and others; it needs Peers.
	EnableEscrow bool
	core.Config
}

// ForwardAuth configures the front for reverse proxies.
type ForwardAuth struct {
	Listen string
	Config forwardauth.Config
	Table  *forwardauth.Table
}

// Instance is one instance of the ingress. Run starts and ends all its goroutines;
// the other methods may be called from any goroutine.
type Instance struct {
	config   Config
	core     *core.Core
	log      *slog.Logger
	registry *prometheus.Registry
	auth     *forwardauth.Front // nil: there is none
	peers    *peerLink          // nil: there are no peers

	ready    chan struct{} // closed when clients are accepted
	addr     net.Addr      // of the clients' listener; set before ready closes
	authAddr net.Addr      // of auth; set before ready closes

	admin        atomic.Pointer[net.TCPAddr] // address of the admin server; nil: not open
	front        atomic.Pointer[resp.Front]  // nil until clients are accepted
	prepared     atomic.Bool                 // ready to serve, even if another process still does
	shuttingDown atomic.Bool
	overrides    *overrideStore
	siblingCount atomic.Int64 // other processes of this ingress
}

// New checks the configuration and returns an instance that does not run yet.
func New(cfg Config, log *slog.Logger) (*Instance, error) {
	if err := checkAddresses(cfg); err != nil {
		return nil, err
	}
	cfg.CountBackends = cfg.Admin != "" || cfg.Metrics != ""
	if cfg.Listener != nil { // until the state directory shows their number
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
	instance := &Instance{
		log:       log,
		overrides: &overrideStore{},
		ready:     make(chan struct{}),
		registry:  prometheus.NewRegistry(),
	}
	if cfg.StateDir != "" {
		cfg.Overrides = instance.overrides
	}
	instance.configurePeers(&cfg)
	c, err := core.New(cfg.Config, log)
	if err != nil {
		return nil, err
	}
	instance.config, instance.core = cfg, c
	if cfg.Auth != nil {
		instance.auth = forwardauth.New(cfg.Auth.Config, cfg.Auth.Table, c, log, instance.registry)
	}
	instance.siblingCount.Store(int64(cfg.Siblings))
	return instance, nil
}

func checkAddresses(cfg Config) error {
	for _, addr := range []string{cfg.Listen, cfg.Counter} {
		if _, _, err := net.SplitHostPort(addr); addr != "" && err != nil {
			return fmt.Errorf("not an address: %w", err)
		}
	}
	if _, _, err := net.SplitHostPort(cfg.Admin); cfg.Admin != "" && err != nil {
		return fmt.Errorf("admin_addr %q: %w", cfg.Admin, err)
	}
	return nil
}

// configurePeers gives the core what it needs of other instances.
func (i *Instance) configurePeers(cfg *Config) {
	cfg.Takeover, cfg.Escrow = nil, nil
	if cfg.Peers == nil {
		return
	}
	i.peers = &peerLink{name: cfg.Peers.Name}
	cfg.Config.Peers = i.peers
	if cfg.EnableTakeover {
		cfg.Takeover = &core.TakeoverConfig{
			Self:        takeover.Member{Name: i.peers.name, Zone: cfg.Settings.Zone},
			Incarnation: 1,
			Transport:   i.peers,
			Rebuild:     i.rebuildRequest,
		}
	}
	if cfg.EnableEscrow {
		cfg.Escrow = i.peers
	}
}

// SetRules puts another table of rules in force at the front for reverse proxies.
// It does nothing if there is none.
func (i *Instance) SetRules(t *forwardauth.Table) {
	if i.auth != nil {
		i.auth.SetTable(t)
	}
}

// AuthAddr is the address of the front for reverse proxies, once Ready has closed;
// nil if there is none.
func (i *Instance) AuthAddr() net.Addr { return i.authAddr }

// Ready closes when clients are accepted.
func (i *Instance) Ready() <-chan struct{} { return i.ready }

// Addr is the address for clients, once Ready has closed.
func (i *Instance) Addr() net.Addr { return i.addr }

// SetAddresses migrates to discovery and a counter at other addresses; see
// core.Core.
func (i *Instance) SetAddresses(discovery, counter string) { i.core.SetAddresses(discovery, counter) }

// Run serves until ctx ends, then answers what it has taken and returns.
func (i *Instance) Run(ctx context.Context) error {
	closeStateDir := i.openStateDir()
	defer closeStateDir()
	closeAdmin, err := i.serveAdmin() // first, so that a slow start can be seen
	if err != nil {
		return err
	}
	defer closeAdmin()
	leavePeers, err := i.joinPeers() // before anything is served, so that it is known what the others know
	if err != nil {
		return err
	}
	defer leavePeers()
	i.core.Start()
	defer i.core.Stop()
	endWatch := i.watchZoneDrains()
	defer endWatch()
	select {
	case <-i.core.DiscoveryReady():
	case <-time.After(discoveryWait):
	case <-ctx.Done():
		return nil
	}
	i.awaitPeerSync(ctx)
	listener, err := i.listen(ctx)
	if errors.Is(err, errStopped) {
		return nil
	}
	if err != nil {
		return err
	}
	front, endStatus, err := i.startFronts(ctx, listener)
	if err != nil {
		return err
	}
	defer endStatus()
	i.log.Info("serving", "listen", i.config.Listen)

	<-ctx.Done()
	i.shutDown(front, time.Now())
	return nil
}

// watchZoneDrains follows the zone drain file until end is called.
func (i *Instance) watchZoneDrains() (end func()) {
	if i.config.ZoneDrains == "" {
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		zonedrain.Watch(ctx, i.config.ZoneDrains, zoneDrainInterval, i.core.SetZoneDrains, i.log)
	}()
	return func() {
		cancel()
		<-done
	}
}

// clientLimits is the number of client connections that the limit on descriptors
// leaves, and the bytes for them.
func (i *Instance) clientLimits() (connections, memory int, err error) {
	connections, memory = i.core.FrontLimits()
	if i.auth != nil {
		connections -= i.config.Auth.Config.MaxConnections
	}
	if i.config.Metrics != "" {
		connections -= maxMetricsCalls
	}
	if i.config.Admin != "" {
		connections -= admin.MaxConnections
	}
	connections -= reservedDescriptors
	if connections < minClientConnections {
		return 0, 0, fmt.Errorf(
			"the limit on sockets leaves %d for clients, %d at least are wanted: fewer forward_auth.connections",
			connections, minClientConnections)
	}
	return connections, memory, nil
}

// startFronts starts the status server and the fronts for reverse proxies and for
// the clients on listener.
func (i *Instance) startFronts(
	ctx context.Context,
	listener net.Listener,
) (front *resp.Front, endStatus func(), err error) {
	connections, memory, err := i.clientLimits()
	if err != nil {
		return nil, nil, err
	}
	if i.auth != nil {
		authListener, err := net.Listen("tcp", i.config.Auth.Listen)
		if err != nil {
			listener.Close()
			return nil, nil, fmt.Errorf("listening for gates: %w", err)
		}
		i.authAddr = authListener.Addr()
		i.auth.Start(authListener)
	}
	endStatus, err = i.serveStatus()
	if err != nil {
		listener.Close()
		if i.auth != nil {
			i.auth.Drain(ctx)
		}
		return nil, nil, err
	}
	front = resp.New(listener, i.core, connections, memory)
	front.Observe(i.core.Metrics(), i.core.Guard())
	i.front.Store(front)
	i.shareConnections()
	front.Start()
	i.addr = listener.Addr()
	i.prepared.Store(true)
	close(i.ready)
	return front, endStatus, nil
}
