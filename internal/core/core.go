// Package core runs one instance: it owns the policy engine, its clock, its timers and the table of open requests.
//
// Fronts submit requests; discovery sends endpoint lists, the pool of backend connections sends the ends of attempts,
// and the shared counter sends totals. The core hands each of them to the engine and carries out the actions that the
// engine returns: it starts and aborts attempts, adds to the counter, and gives each request exactly one final answer.
// It makes no decision of its own and never waits for a peer. It knows no protocol, socket or store by name.
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

// endpointWatcher follows discovery's endpoint list, as package discovery does.
type endpointWatcher interface {
	Run(ctx context.Context)
	SetAddress(addr string)
	Ready() <-chan struct{}
}

// Core is one instance. All fields belong to the goroutine that runs loop, except the first group, which New sets and
// nothing changes, and what overrides guards with its own lock. The exported methods may be called by many goroutines.
//
// Start starts the goroutines of the loop, the counter, the endpoint watch and the pool; End ends them and waits.
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
	ctx         context.Context // of the goroutines in spawned
	stop        context.CancelFunc
	startedAt   time.Time
	epoch       time.Duration // startedAt on the clock that all instances share
	metrics     *metrics.Set
	guard       *guard.Monitor

	maxConnections  int     // to backends
	maxRequestBytes int     // upper limit of requestBytes
	maxUnits        float64 // of one request

	overrides operatorOverrides

	engine       *policy.Engine
	now          time.Duration // the time of the event that is being handled
	timers       timerHeap
	requests     map[policy.RequestID]*Request
	clientIDs    map[uint64]bool // of requests whose deadline has not passed, answered or not
	lastID       policy.RequestID
	requestBytes int // sum of Size over requests
	backends     pool
	endpoints    endpointSet
	actions      []policy.Action // reused for each event
	engineEvents []policy.Event  // queued by actions that ended at once
	allAnswered  bool            // AnswerAll has run: later requests are rejected

	// The optional components. Each is nil when the configuration turns it off.
	leases   *leaseTable     // lets callers send attempts themselves
	zones    *zoneTracker    // tracks capacity and failures by zone
	outliers *outlierTracker // shares observations on backends with other instances
	escrow   *escrowState    // moves quota shares between instances; nil: all shares are even
	takeover *takeoverState  // lets other instances complete this one's work
	summary  *summary        // writes a line of counts for each interval

	unreadable int // messages of other instances that could not be decoded
}

// New checks the configuration and returns a core that Start will run.
func New(cfg Config, log *slog.Logger) (*Core, error) {
	if err := cfg.validate(); err != nil {
		return nil, err
	}
	engine, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	c := newCore(cfg.withDefaults(), engine, log)
	c.createComponents()
	if err := c.createPeers(); err != nil {
		return nil, err
	}
	return c, nil
}

// newCore returns a core of a complete configuration, without its optional components and its peers.
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
		epoch:           time.Duration(startedAt.UnixNano()) + cfg.Clock.Offset,
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

// createPeers creates what reaches the outside: the pool of connections, the shared counter and the endpoint watch.
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
		c.counter, err = cfg.Store(func(call *store.Call, result store.Result) { c.post(counterReplied{call, result}) })
		if err != nil {
			return err
		}
	}
	polling := 1 // a list that is pushed comes from an agent that serves this instance alone
	if cfg.Settings.PollEndpoints {
		polling = cfg.Settings.Instances
	}
	known := len(cfg.Known.Targets) > 0
	receive := func(list discovery.List) { c.post(list) }
	c.discovery = discovery.New(cfg.Discovery, cfg.Known.Rev, polling, known, receive, c.log)
	return nil
}

// Start begins to handle requests with the known endpoint list and to follow discovery, until End.
func (c *Core) Start() {
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.loadKnownEndpoints()
	c.spawn(c.loop)
	if c.counter != nil {
		c.spawn(c.counter.Run)
	}
	c.spawn(c.discovery.Run)
}

// Stop ends all at once, whatever is open, and waits for all goroutines.
func (c *Core) Stop() {
	c.stop()
	c.spawned.Wait()
	c.checkUnanswered()
}

// spawn starts a goroutine that must return when its context is done; End waits for it.
func (c *Core) spawn(run func(context.Context)) {
	c.spawned.Add(1)
	go func() {
		defer c.spawned.Done()
		run(c.ctx)
	}()
}

// SetAddresses switches to discovery and a counter at other addresses. It waits for nothing and may be called at any
// time; the last call wins. Clients, backends and what the engine has learned are left as they are.
func (c *Core) SetAddresses(discovery, counter string) {
	c.discovery.SetAddress(discovery)
	if c.counter != nil {
		c.counter.SetAddress(counter)
	}
}

// DiscoveryReady returns a channel that is closed when discovery has sent a first list, or that has failed.
func (c *Core) DiscoveryReady() <-chan struct{} { return c.discovery.Ready() }

// Guard returns the counts of violated invariants.
func (c *Core) Guard() *guard.Monitor { return c.guard }

// Metrics returns the counts of what this process has done since its start.
func (c *Core) Metrics() *metrics.Set { return c.metrics }

// Class returns a class of the settings by its name.
func (c *Core) Class(name string) (policy.Class, bool) {
	class, ok := c.classes[name]
	return class, ok
}

// Plan reports whether the settings know a plan.
func (c *Core) Plan(name string) bool { return c.plans[name] }

// Instances returns how many instances there are.
func (c *Core) Instances() int { return c.cfg.Settings.Instances }

// MaxUnits returns the most units that one request may take.
func (c *Core) MaxUnits() float64 { return c.maxUnits }

// FrontLimits returns what fronts may use: sockets, and bytes of memory for each kind of buffer.
func (c *Core) FrontLimits() (sockets, memory int) {
	return c.cfg.Sockets - c.maxConnections, c.cfg.Memory / memoryShares
}
