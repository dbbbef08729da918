// Package ingress assembles one instance of the ingress: the core, the RESP front
// for clients, the HTTP front for reverse proxies, the admin server, the status
// server and the link to other instances. Run serves until its context ends and
// then shuts down gracefully. During a restart the old and the new process share a
// state directory and the listening socket. Decisions about requests are made in
// package core, not here.
package ingress

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"hitchspring/internal/admin"
	"hitchspring/internal/core"
	"hitchspring/internal/cputime"
	"hitchspring/internal/front/forwardauth"
	"hitchspring/internal/front/resp"
	"hitchspring/internal/peers"
	"hitchspring/internal/store"
	"hitchspring/internal/store/tally"
	"hitchspring/internal/takeover"
	"hitchspring/internal/zonedrain"
)

const (
	initialDiscoveryTimeout = 300 * time.Millisecond // then the instance starts with the last known list
	zoneDrainInterval       = 500 * time.Millisecond // between reads of the zone drain file

	reservedDescriptors  = 32 // for the shared counter, discovery, the listener and the Go runtime
	minClientConnections = 32
)

// Config is the configuration of an instance.
type Config struct {
	// Listen is the address at which clients connect.
	Listen string
	// Counter is the address of the shared counter; it is used only if Store is nil.
	Counter string
	// Auth configures the front for reverse proxies; nil disables it.
	Auth *ForwardAuth
	// Metrics is the host:port of the status server; empty disables it.
	Metrics string
	// Admin is the host:port of the admin server; empty disables it.
	Admin string
	// Listener is the listening socket for clients if every process inherits it
	// from the platform; if nil, the instance listens at Listen.
	Listener net.Listener
	// StateDir is the directory that all processes of this ingress share. It
	// holds the operators' overrides and the state that one process hands over
	// to the next. If it is empty, nothing is stored.
	StateDir string
	// ZoneDrains is the file that lists the drained zones; empty if there is none.
	ZoneDrains string
	// Peers configures the link to other instances; nil disables it.
	Peers *peers.Config
	// EnableTakeover lets other instances take over the keyed requests of this
	// one if it fails, and this one theirs. It requires Peers.
	EnableTakeover bool
	// EnableEscrow lets this instance transfer quota allocations to and from
	// other instances. It requires Peers.
	EnableEscrow bool
	core.Config
}

// ForwardAuth configures the front for reverse proxies.
type ForwardAuth struct {
	Listen string
	Config forwardauth.Config
	Table  *forwardauth.Table
}

// Instance is one instance of the ingress. Run starts all its goroutines and waits
// for them to end; the other methods are safe for concurrent use.
type Instance struct {
	config   Config
	core     *core.Core
	log      *slog.Logger
	registry *prometheus.Registry
	auth     *forwardauth.Front // nil without a front for reverse proxies
	peers    *peerLink          // nil without peers

	ready    chan struct{} // closed when the instance accepts clients
	addr     net.Addr      // of the listener for clients; set before ready is closed
	authAddr net.Addr      // of the front for reverse proxies; set before ready is closed

	admin        atomic.Pointer[net.TCPAddr] // address of the admin server; nil until it listens
	front        atomic.Pointer[resp.Front]  // nil until the instance accepts clients
	prepared     atomic.Bool                 // ready to accept clients, even if a sibling process still does
	shuttingDown atomic.Bool
	overrides    *overrideStore
	sharedIDs    *sharedIDs
	siblingCount atomic.Int64 // number of sibling processes
}

// New validates the configuration and returns an instance; Run starts it.
func New(cfg Config, log *slog.Logger) (*Instance, error) {
	if err := checkAddresses(cfg); err != nil {
		return nil, err
	}
	cfg.CountBackends = cfg.Admin != "" || cfg.Metrics != ""
	if cfg.Listener != nil { // assume one sibling process until the state directory gives the number
		cfg.Siblings = 1
	}
	if cfg.NewCounter == nil {
		if cfg.Settings.Counter && cfg.Counter == "" {
			return nil, errors.New("the settings name a shared counter, the configuration has no address of it")
		}
		cfg.NewCounter = func(sink store.Sink) (store.Counter, error) {
			return tally.New(cfg.Counter, cfg.Settings.CounterTimeout, sink), nil
		}
	}
	instance := &Instance{
		log:       log,
		overrides: &overrideStore{},
		sharedIDs: &sharedIDs{},
		ready:     make(chan struct{}),
		registry:  prometheus.NewRegistry(),
	}
	if cfg.StateDir != "" {
		cfg.Overrides, cfg.SharedIDs = instance.overrides, instance.sharedIDs
	}
	instance.configurePeers(&cfg)
	cfg.Processor = cputime.NewScheduler(runtime.GOMAXPROCS(0))
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

// configurePeers sets the core's configuration for peers, takeover and escrow.
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

// SetRules replaces the rules of the front for reverse proxies. It does nothing if
// the instance has no such front.
func (i *Instance) SetRules(t *forwardauth.Table) {
	if i.auth != nil {
		i.auth.SetTable(t)
	}
}

// AuthAddr returns the address of the front for reverse proxies, or nil without
// such a front. It is valid once Ready is closed.
func (i *Instance) AuthAddr() net.Addr { return i.authAddr }

// Ready returns a channel that is closed when the instance accepts clients.
func (i *Instance) Ready() <-chan struct{} { return i.ready }

// Addr returns the address for clients. It is valid once Ready is closed.
func (i *Instance) Addr() net.Addr { return i.addr }

// SetAddresses changes the addresses of discovery and the shared counter; see
// core.Core.SetAddresses.
func (i *Instance) SetAddresses(discovery, counter string) { i.core.SetAddresses(discovery, counter) }

// Run serves until ctx ends, then answers the requests it has accepted and returns.
func (i *Instance) Run(ctx context.Context) error {
	closeStateDir := i.openStateDir()
	defer closeStateDir()
	closeAdmin, err := i.serveAdmin() // early, so that operators can observe a slow start
	if err != nil {
		return err
	}
	defer closeAdmin()
	leavePeers, err := i.joinPeers() // before the first request, to have the peers' observations of backends
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
	case <-time.After(initialDiscoveryTimeout):
	case <-ctx.Done():
		return nil
	}
	i.awaitPeerSync(ctx)
	listener, err := i.listen(ctx)
	if errors.Is(err, errStoppedBeforeServing) {
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

// watchZoneDrains polls the zone drain file until end is called.
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

// clientLimits returns how many client connections the limit on file descriptors
// allows after those set aside for other uses, and the memory for them in bytes.
func (i *Instance) clientLimits() (connections, memory int, err error) {
	connections, memory = i.core.FrontLimits()
	if i.auth != nil {
		connections -= i.config.Auth.Config.MaxConnections
	}
	if i.config.Metrics != "" {
		connections -= maxMetricsRequests
	}
	if i.config.Admin != "" {
		connections -= admin.MaxConnections
	}
	connections -= reservedDescriptors
	if connections < minClientConnections {
		return 0, 0, fmt.Errorf(
			"the limit on sockets leaves %d for clients, at least %d are required: lower forward_auth.connections",
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
			return nil, nil, fmt.Errorf("listening for reverse proxies: %w", err)
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
	front.ShareProcessor(i.config.Processor)
	i.front.Store(front)
	i.updateConnectionLimit()
	front.Start()
	i.addr = listener.Addr()
	i.prepared.Store(true)
	close(i.ready)
	return front, endStatus, nil
}
