// Package core runs one instance: an event loop that owns the policy engine, the timers and the table of open requests.
//
// Its events are requests from fronts, endpoint lists from discovery, outcomes of attempts from the backend connection
// pool, and totals from the shared counter. The core passes each event to the engine and carries out the actions that
// the engine returns: it starts and aborts attempts, adds to the counter, and gives each request exactly one final
// answer. All decisions are the engine's. The loop never blocks on a peer, and the package depends on no client
// protocol, socket API or kind of store.
package core

import (
	"cmp"
	"context"
	"log/slog"
	"math"
	"sync"
	"time"

	"hitchspring/internal/backend"
	"hitchspring/internal/discovery"
	"hitchspring/internal/guard"
	"hitchspring/internal/metrics"
	"hitchspring/internal/override"
	"hitchspring/internal/resp"
	"hitchspring/internal/settings"
	"hitchspring/internal/store"
	"hitchspring/policy"
)

// endpointWatcher follows the endpoint list of the discovery service; package discovery implements it.
type endpointWatcher interface {
	Run(ctx context.Context)
	SetAddress(addr string)
	Ready() <-chan struct{}
}

// Core is one instance. All fields are confined to the goroutine that runs loop, except the first group, which doesn't
// change after Start, and overrides, which has its own lock. The exported methods are safe for concurrent use.
//
// Start starts the goroutines of the loop, the counter, the endpoint watch and the pool. Stop ends them and waits.
type Core struct {
	cfg         Config
	connections settings.Connections
	log         *slog.Logger
	classes     map[string]policy.Class
	plans       map[string]bool
	counter     store.Counter // nil: the settings name no counter
	discovery   endpointWatcher
	events      chan event
	stopped     chan struct{} // closed when the loop has ended
	spawned     sync.WaitGroup
	ctx         context.Context // done when the goroutines in spawned must end
	stop        context.CancelFunc
	startedAt   time.Time
	epoch       time.Duration // startedAt on the shared clock
	metrics     *metrics.Set
	guard       *guard.Monitor

	// requestMemory holds the Size of each request from before its front copies it until it is released.
	requestMemory *resp.Budget

	maxConnections  int     // to backends, of all processes of this instance
	maxRequestBytes int     // size of requestMemory
	maxUnits        float64 // upper limit of the units of one request

	overrides operatorOverrides

	engine       *policy.Engine
	now          time.Duration // time of the event being handled, on the shared clock
	timers       timerHeap
	requests     map[policy.RequestID]*Request
	clientIDs    map[uint64]bool // of requests that are open, or that may have run and whose deadline has not passed
	recentIDs    *recentIDs      // of requests that may have run and whose deadline has passed
	sharedIDs    sharedIDState
	lastID       policy.RequestID
	backends     pool
	endpoints    endpointSet
	actions      []policy.Action // reused for each event
	engineEvents []policy.Event  // queued for the engine until flushEvents
	allAnswered  bool            // AnswerAll has run: later requests are rejected

	// The optional components. Each is nil when the configuration turns it off.
	leases   *leaseTable     // lets callers send attempts themselves
	zones    *zoneTracker    // tracks capacity and failures by zone
	outliers *outlierTracker // shares observations of backends with other instances
	escrow   *escrowState    // moves quota shares between instances; nil: all instances have equal shares
	takeover *takeoverState  // lets other instances complete this one's work after its end
	summary  *summary        // writes a summary line of counts to the log in each interval

	unreadableMessages int // messages from other instances that could not be decoded
}

// New validates the configuration and returns a core, which Start then runs.
func New(cfg Config, log *slog.Logger) (*Core, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	cfg = cfg.withDefaults()
	engine, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	c := newCore(cfg, engine, log)
	c.createComponents()
	if err := c.createPeers(); err != nil {
		return nil, err
	}
	return c, nil
}

// newCore returns a core without its optional components, pool, counter and endpoint watch. The configuration must have
// its defaults set.
func newCore(cfg Config, engine *policy.Engine, log *slog.Logger) *Core {
	startedAt := time.Now()
	c := &Core{
		cfg:             cfg,
		connections:     cfg.Connections,
		log:             log,
		classes:         map[string]policy.Class{},
		plans:           map[string]bool{},
		events:          make(chan event, eventQueueLength),
		stopped:         make(chan struct{}),
		startedAt:       startedAt,
		epoch:           time.Duration(startedAt.UnixNano()) + cfg.ClockError.Offset,
		metrics:         newMetrics(cfg.Settings.Classes),
		guard:           guard.NewMonitor(log),
		maxConnections:  cfg.Sockets * 3 / 8,
		maxRequestBytes: cfg.Memory / memoryShares,
		maxUnits:        cmp.Or(cfg.Settings.MaxUnits, math.MaxFloat64),
		overrides: operatorOverrides{
			active:  override.New(),
			store:   cfg.Overrides,
			changed: make(chan struct{}, 1),
		},
		engine:    engine,
		requests:  map[policy.RequestID]*Request{},
		clientIDs: map[uint64]bool{},
	}
	c.requestMemory = resp.NewBudget(c.maxRequestBytes)
	c.recentIDs = newRecentIDs(cfg.Memory / recentIDShare / recentIDBytes)
	for _, class := range cfg.Settings.Classes {
		c.classes[class.Name] = class
	}
	for _, plan := range cfg.Settings.Plans {
		c.plans[plan.Name] = true
	}
	return c
}

// createComponents creates the optional components that the configuration turns on.
func (c *Core) createComponents() {
	cfg := c.cfg
	if cfg.Leases != nil {
		c.leases = newLeaseTable(*cfg.Leases)
	}
	if cfg.Zones != nil {
		c.zones = newZoneTracker(*cfg.Zones, cfg.Settings)
	}
	if cfg.Takeover != nil {
		c.takeover = newTakeoverState(*cfg.Takeover)
	}
	if cfg.Escrow != nil {
		c.escrow = newEscrowState(cfg, c.clock(c.startedAt))
	}
	if cfg.Peers != nil {
		c.outliers = newOutlierTracker(cfg)
	}
}

// createPeers creates the components that use the network: the backend pool, the shared counter and the endpoint watch.
func (c *Core) createPeers() (err error) {
	cfg := c.cfg
	c.backends = backend.New(poolOwner{c}, backend.Config{
		OnSent:         c.metrics.AttemptSent,
		ConnectTimeout: cfg.Connections.ConnectTimeout,
		IdleTimeout:    cfg.Connections.Idle,
		MaxConnections: c.backendConnections(cfg.Siblings),
		FrameBudget:    resp.NewBudget(cfg.Memory / memoryShares),
	})
	if cfg.Settings.Counter {
		c.counter, err = cfg.NewCounter(func(call *store.Call, result store.Result) {
			c.post(counterReplied{call, result})
		})
		if err != nil {
			return err
		}
	}
	polling := 1 // without polling, an agent that serves only this instance pushes the list
	if cfg.Settings.PollEndpoints {
		polling = cfg.Settings.Instances
	}
	known := len(cfg.InitialEndpoints.Targets) > 0
	receive := func(list discovery.List) { c.post(list) }
	c.discovery = discovery.New(cfg.Discovery, cfg.InitialEndpoints.Rev, polling, known, receive, c.log)
	return nil
}

// Start begins to handle requests, with the endpoint list of the configuration, and to follow discovery. It runs until
// Stop.
func (c *Core) Start() {
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.loadKnownEndpoints()
	c.spawn(c.loop)
	if c.counter != nil {
		c.spawn(c.counter.Run)
	}
	c.spawn(c.discovery.Run)
}

// Stop ends the core immediately, even with requests open, and waits for all its goroutines.
func (c *Core) Stop() {
	c.stop()
	c.spawned.Wait()
	c.checkUnanswered()
}

// spawn starts a goroutine that must return when its context is done. Stop waits for it.
func (c *Core) spawn(run func(context.Context)) {
	c.spawned.Add(1)
	go func() {
		defer c.spawned.Done()
		run(c.ctx)
	}()
}

// SetAddresses changes the addresses of the discovery service and the shared counter. It doesn't block and may be
// called at any time; the last call wins. Client and backend connections and the engine's state are not affected.
func (c *Core) SetAddresses(discovery, counter string) {
	c.discovery.SetAddress(discovery)
	if c.counter != nil {
		c.counter.SetAddress(counter)
	}
}

// DiscoveryReady returns a channel that is closed when discovery has sent its first list or failed to.
func (c *Core) DiscoveryReady() <-chan struct{} { return c.discovery.Ready() }

// Guard returns the monitor that counts violated invariants.
func (c *Core) Guard() *guard.Monitor { return c.guard }

// Metrics returns the metrics of this process since its start.
func (c *Core) Metrics() *metrics.Set { return c.metrics }

// Class returns the class with a name, and false if the settings have none.
func (c *Core) Class(name string) (policy.Class, bool) {
	class, ok := c.classes[name]
	return class, ok
}

// Plan reports whether the settings have a plan with a name.
func (c *Core) Plan(name string) bool { return c.plans[name] }

// Instances returns the number of instances in the settings.
func (c *Core) Instances() int { return c.cfg.Settings.Instances }

// MaxUnits returns the maximum units of one request.
func (c *Core) MaxUnits() float64 { return c.maxUnits }

// FrontLimits returns the limits of the fronts: their sockets, and the bytes of each kind of buffer.
func (c *Core) FrontLimits() (sockets, memory int) {
	return c.cfg.Sockets - c.maxConnections, c.cfg.Memory / memoryShares
}
