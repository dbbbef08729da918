// Package core owns the decision module: its clock, its timers and the table of requests. In: requests of fronts, lists of
// nodes, ends of attempts, totals of the store. Out: one final answer for each request, attempts, adds. It decides nothing
// itself, waits for nobody, and must never know a protocol, a socket or a store by name.
package core

import (
	"cmp"
	"container/heap"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net"
	"sync"
	"time"

	"hitchspring/internal/backend"
	"hitchspring/internal/discovery"
	"hitchspring/internal/guard"
	"hitchspring/internal/lease"
	"hitchspring/internal/metrics"
	"hitchspring/internal/outlier"
	"hitchspring/internal/override"
	"hitchspring/internal/resp"
	"hitchspring/internal/settings"
	"hitchspring/internal/store"
	"hitchspring/internal/zones"
	"hitchspring/policy"
)

const (
	eventQueueLength   = 256
	memoryShares  = 8         // of the memory: commands held, commands coming in, answers unread, answers coming in
	defaultMemory  = 256 << 20 // where no limit is told
	maxEventBatch    = 256
	answerMargin = 20 * time.Millisecond // before the client gives up: the way back, and a busy machine
	answerOverdueAfter      = 8 * time.Millisecond  // into the margin: the module should have answered by now
	idleCheckInterval    = time.Second
	probeTimeout = 250 * time.Millisecond // of a probe, which has no request whose time could end it
)

// FullRetry is when to come back to an ingress whose memory is full.
const OverloadRetryAfter = 250 * time.Millisecond

// Config is all that the core is told.
type Config struct {
	Discovery   string
	Seed        uint64
	Sockets     int // descriptors that it may hold
	Memory      int // bytes that it may use; 0: not told
	Known       discovery.List
	Settings    policy.Settings
	Store       func(store.Sink) (store.Counter, error) // makes the shared counter; nil: the settings know none
	Connections settings.Connections
	Leases      *Leases       // of attempts that who asks sends itself; nil: none are granted
	Zones       *zones.Config // what an operator says of halls; nil: another hall costs a fixed factor
	Summary     time.Duration // between two lines of the log that sum up what happened; 0: none
	LogRequests bool          // a line of the log for the end of each request
	Siblings    int           // other processes of this ingress that there may be at the start: limits hold for all together
	Operated    bool          // somebody asks for the figures of the cluster
	Overrides   OverrideStore // of what operators say of nodes; nil: it ends with the process
	Peers       Peers         // other instances, with whom judgements on nodes are shared; nil: there are none
	Clock       Clock         // of this process, where tests have it wrong
	Escrow      Transport     // parts of budgets move between instances by it; nil: all are even
	Takeover    *Takeover     // work in hand survives this instance; nil: it does not
}

// lister keeps the list of nodes up to date, as package discovery does.
type endpointWatcher interface {
	Run(context.Context)
	SetAddress(addr string)
	Ready() <-chan struct{}
}

// Kind is what a final answer says.
type AnswerKind uint8

// The kinds of final answers.
const (
	Failed     AnswerKind = iota // it promises nothing
	Served                       // with a node's value
	Rejected                     // trying again is harmless
	Duplicate                    // a request of the same id is open: that one is served, this was not taken
	Granted                      // a node, under a lease: who asked sends it there itself
	Concluded                    // of a Handed request: it was reported as served, unsent or never; nothing is granted any more
	Mismatched                   // of a Handed request: its id was asked with other particulars
)

var answerKindNames = [...]string{Failed: "failed", Served: "served", Rejected: "refused", Duplicate: "repeated", Granted: "granted", Concluded: "over", Mismatched: "other"}

// String is the kind's name.
func (k AnswerKind) String() string { return answerKindNames[k] }

// Answer is the one final answer to a request; a front words it in its protocol.
type Answer struct {
	Kind       AnswerKind
	Value      []byte
	Stream     *backend.Stream // of a Served one whose value is passed on as it comes, in place of Value; the front reads or closes it
	RetryAfter time.Duration   // of a refusal; 0: no advice
	Grant      Grant           // of Granted
	State      lease.State     // of Over
}

// Place is where a front waits for the one final answer.
type ReplySink interface {
	// Answer hands the final answer over, once. It never blocks.
	Deliver(Answer)
	// Gone reports whether nobody waits for the answer any more, as far as can be told now: a front has not always been told by the
	// time that its request is about to be sent. It may ask the kernel, and never blocks.
	Disconnected() bool
}

// pool is the connections to the nodes, as package nodes keeps them.
type pool interface {
	Update(list []backend.Endpoint, whole bool)
	Backends() []policy.Backend
	Start(a *backend.Attempt, id policy.BackendID)
	CancelUnsent(a *backend.Attempt, id policy.BackendID)
	Abort(a *backend.Attempt, why policy.Outcome)
	Withdraw(a *backend.Attempt)
	Handle(backend.Event)
	Contains(id policy.BackendID) bool
	Addr(id policy.BackendID) (addr string, serves bool)
	CloseIdle(id policy.BackendID)
	RetireIdle()
	SetMaxConnections(conns int)
	Dials() int
}

// Request is a client's request as a front hands it in. Its exported fields are set before and not changed after, but by
// the core, which numbers it.
type Request struct {
	policy.Request
	ClientID       uint64 // the client's own id: of two open requests of one id, the later is answered Repeated
	Sink           ReplySink
	Command        backend.Command
	IdempotencyKey string // the client's key, of a class that has one
	Size           int    // bytes that it holds
	attempts       []*backend.Attempt
	arrivedAt           time.Duration
	disconnectCheckedAt          time.Duration    // when Gone was asked last
	streaming        *backend.Attempt // brings a value that is passed on to the client
	inFlight            int
	finished          bool
	reason            policy.Reason // of its refusal or failure
	pending           *pendingWork      // in custody; nil: it is not
}

// The events of a front.
type (
	requestArrived   struct{ request *Request }
	clientsDisconnected struct{ requests []*Request }
)

// event is what the core's goroutine is told by the others.
type event any

// endAll asks for a final answer to everything, at the end of a shutdown.
type answerAllRequested struct{ done chan<- struct{} } // closed when all is answered

// Core is one instance. Its goroutine owns everything but what is said to be otherwise, and never waits for a peer; its
// exported methods are safe for many goroutines.
type Core struct {
	cfg     Config
	connections     settings.Connections
	log     *slog.Logger
	classes map[string]policy.Class
	plans   map[string]bool
	counter store.Counter // nil: the settings know none
	discovery    endpointWatcher
	events  chan event
	stopped chan struct{}
	spawned sync.WaitGroup
	ctx     context.Context // of the goroutines that it spawns
	stop    context.CancelFunc
	startedAt   time.Time
	epoch   time.Duration // start on the clock that all ingresses share

	engine       *policy.Engine
	now       time.Duration
	timers    timerHeap
	requests  map[policy.RequestID]*Request
	clientIDs      map[uint64]bool // ids of requests whose time is not up, ended or not
	lastID    policy.RequestID
	unreadable    int // messages of other instances that could not be read
	backends     pool
	requestBytes int // bytes of their commands
	actions   []policy.Action
	engineEvents     []policy.Event // for the module, from actions that ended at once

	leases   *leaseTable    // nil: no front hands attempts out
	zones     *zoneTracker   // nil: nothing is known of halls
	maxConnections int         // to nodes
	maxRequestBytes  int         // of heldBytes
	maxUnits float64     // of one request
	outliers    *outlierTracker // nil: nobody tells of nodes
	escrow   *escrowState    // nil: each instance holds an even part
	takeover    *takeoverState     // nil: work in hand ends with this instance
	summary       *summary    // nil: no lines that sum up
	metrics       *metrics.Set
	guard     *guard.Monitor
	allAnswered    bool // the last answers have been given
	overrides       operatorOverrides
}

// New checks the configuration and returns a core that does not run yet.
func New(cfg Config, log *slog.Logger) (*Core, error) {
	if cfg.Sockets < 128 {
		return nil, fmt.Errorf("%d sockets are too few: 128 at least", cfg.Sockets)
	}
	if cfg.Settings.Counter && cfg.Store == nil {
		return nil, errors.New("the settings name a shared counter, and there is none")
	}
	for _, addr := range []string{cfg.Discovery} {
		if _, _, err := net.SplitHostPort(addr); addr != "" && err != nil {
			return nil, fmt.Errorf("not an address: %w", err)
		}
	}
	engine, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, err
	}
	if cfg.Connections.ConnectTimeout <= 0 {
		cfg.Connections.ConnectTimeout = 250 * time.Millisecond
	}
	if cfg.Connections.MaxOpen <= 0 {
		cfg.Connections.MaxOpen = 20000
	}
	if cfg.Connections.Idle <= 0 {
		cfg.Connections.Idle = 15 * time.Second
	}
	if cfg.Memory <= 0 {
		cfg.Memory = defaultMemory
	}
	start := time.Now()
	c := &Core{
		cfg: cfg, connections: cfg.Connections, log: log, classes: map[string]policy.Class{}, plans: map[string]bool{},
		events: make(chan event, eventQueueLength), stopped: make(chan struct{}), startedAt: start,
		epoch: time.Duration(start.UnixNano()) + cfg.Clock.Ahead, engine: engine, requests: map[policy.RequestID]*Request{},
		clientIDs: map[uint64]bool{}, maxConnections: cfg.Sockets * 3 / 8,
		metrics:      newMetrics(cfg.Settings.Classes),
		guard:    guard.NewMonitor(log),
		overrides:      operatorOverrides{active: override.New(), store: cfg.Overrides, changed: make(chan struct{}, 1)},
		maxRequestBytes: cfg.Memory / memoryShares, maxUnits: cmp.Or(cfg.Settings.MaxUnits, math.MaxFloat64),
	}
	c.backends = backend.New(poolOwner{c}, backend.Config{
		OnSent: c.metrics.AttemptSent, ConnectTimeout: cfg.Connections.ConnectTimeout, Idle: cfg.Connections.Idle, MaxConnections: c.backendConnections(cfg.Siblings),
		Frames: resp.NewBudget(cfg.Memory / memoryShares),
	})
	if cfg.Leases != nil {
		c.leases = newLeaseTable(*cfg.Leases)
	}
	for _, class := range cfg.Settings.Classes {
		c.classes[class.Name] = class
	}
	if cfg.Zones != nil {
		c.zones = newZoneTracker(*cfg.Zones, cfg.Settings)
	}
	if cfg.Takeover != nil {
		c.takeover = newTakeoverState(*cfg.Takeover)
	}
	if cfg.Escrow != nil {
		c.escrow = newEscrowState(cfg, c.clock(start))
	}
	if cfg.Peers != nil {
		c.outliers = newOutlierTracker(cfg)
	}
	for _, p := range cfg.Settings.Plans {
		c.plans[p.Name] = true
	}
	if cfg.Settings.Counter {
		c.counter, err = cfg.Store(func(k *store.Call, r store.Result) { c.post(counterReplied{k, r}) })
		if err != nil {
			return nil, err
		}
	}
	sharing := 1 // where the list is pushed, the agent answers by itself
	if cfg.Settings.PollEndpoints {
		sharing = cfg.Settings.Instances
	}
	c.discovery = discovery.New(cfg.Discovery, cfg.Known.Rev, sharing, len(cfg.Known.Targets) > 0,
		func(f discovery.List) { c.post(f) }, log)
	return c, nil
}

// Move goes over to discovery and a counter at other addresses. It waits for nothing, may come at any time, and
// the last of several counts. Clients, nodes and the module's books are left as they are.
func (c *Core) SetAddresses(discovery, counter string) {
	c.discovery.SetAddress(discovery)
	if c.counter != nil {
		c.counter.SetAddress(counter)
	}
}

// Start begins to decide, from the known list, and to follow discovery; End ends it.
func (c *Core) Start() {
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.loadKnownEndpoints()
	c.spawn(c.loop)
	if c.counter != nil {
		c.spawn(c.counter.Run)
	}
	c.spawn(c.discovery.Run)
}

// Listed closes when discovery has brought a first list, or that has failed.
func (c *Core) DiscoveryReady() <-chan struct{} { return c.discovery.Ready() }

// End stops at once, whatever is open, and waits for all goroutines.
func (c *Core) End() {
	c.stop()
	c.spawned.Wait()
	c.checkUnanswered()
}

// Guard counts what must never happen.
func (c *Core) Guard() *guard.Monitor { return c.guard }

// Submit hands a request in; its Place is answered once, unless it is abandoned first.
func (c *Core) Submit(r *Request) { c.post(requestArrived{r}) }

// Abandon tells that the clients of requests have gone: nothing waits for their answers any more.
func (c *Core) NotifyDisconnected(reqs []*Request) { c.post(clientsDisconnected{reqs}) }

// EndAll gives a final answer to all that is open, and returns when each front has it, or when the core has ended.
func (c *Core) AnswerAll() {
	done := make(chan struct{})
	c.post(answerAllRequested{done})
	select {
	case <-done:
	case <-c.stopped:
	}
}

// Class returns a class of the settings by its name.
func (c *Core) Class(name string) (policy.Class, bool) {
	class, ok := c.classes[name]
	return class, ok
}

// Plan reports whether the settings know a plan.
func (c *Core) Plan(name string) bool { return c.plans[name] }

// Gateways is how many instances there are.
func (c *Core) Instances() int { return c.cfg.Settings.Instances }

// MostUnits is the most that one request may take.
func (c *Core) MaxUnits() float64 { return c.maxUnits }

// Room is what is left for fronts: descriptors, and bytes for each kind of what they hold.
func (c *Core) FrontLimits() (sockets, memory int) {
	return c.cfg.Sockets - c.maxConnections, c.cfg.Memory / memoryShares
}

// GiveUpAt is when a client gives up that says so at a time, and will wait for so long; d is not believed beyond twice
// the class's deadline. The answer goes out a little before.
func (c *Core) GiveUpAt(class policy.Class, at time.Time, d time.Duration) time.Duration {
	wait := min(d, 2*class.Deadline)
	return c.clock(at) + wait - min(answerMargin, wait/4)
}

// spawn starts a goroutine that ends with the core's life, and is waited for.
func (c *Core) spawn(run func(context.Context)) {
	c.spawned.Add(1)
	go func() {
		defer c.spawned.Done()
		run(c.ctx)
	}()
}

// post tells the core's goroutine; after its end nothing is told any more.
func (c *Core) post(ev event) {
	select {
	case c.events <- ev:
	case <-c.stopped:
	}
}

// clock is the time that all ingresses share, advanced by the monotonic one.
func (c *Core) clock(t time.Time) time.Duration { return c.epoch + c.cfg.Clock.passed(t.Sub(c.startedAt)) }

// Clock says how wrong a process's clock is, for tests of what depends on clocks.
type Clock struct {
	Ahead time.Duration // of the true time, at the start
	Rate  float64       // seconds that pass on it in a true one; 0: one
}

func (c Clock) passed(d time.Duration) time.Duration {
	if c.Rate == 0 {
		return d
	}
	return time.Duration(float64(d) * c.Rate)
}

// Now is the time on the clock that all instances share, as this one has it.
func (c *Core) Now() time.Duration { return c.clock(time.Now()) }

// known hands the module the list that the configuration brought, before anything else.
func (c *Core) loadKnownEndpoints() {
	c.now = c.clock(time.Now())
	f := c.cfg.Known.Usable(c.log)
	f.Complete = true
	c.handle(f)
}

// loop is the goroutine that owns all below.
func (c *Core) loop(ctx context.Context) {
	defer close(c.stopped)
	c.scheduleAfter(idleCheckInterval, c.retireIdle)
	if c.zones != nil {
		c.tickZones()
	}
	if c.outliers != nil {
		c.tickOutliers()
	}
	if c.takeover != nil {
		c.tickTakeover()
	}
	if c.escrow != nil {
		c.runEscrow()
	}
	c.startSummary()
	if c.cfg.Operated {
		c.updateBackendCounts()
	}
	wakeup := time.NewTimer(0)
	defer wakeup.Stop()
	for {
		wakeup.Reset(c.timers[0].at - c.clock(time.Now()))
		select {
		case <-ctx.Done():
			return
		case ev := <-c.events:
			c.now = c.clock(time.Now())
			c.handle(ev)
			for n := 1; n < maxEventBatch && len(c.events) > 0; n++ {
				c.handle(<-c.events)
			}
		case <-c.overrides.changed:
			c.now = c.clock(time.Now())
			c.reapplyOverrides()
		case <-wakeup.C:
		}
		c.now = c.clock(time.Now())
		c.fireTimers()
	}
}

// ring does what is due.
func (c *Core) fireTimers() {
	for len(c.timers) > 0 && c.timers[0].at <= c.now {
		heap.Pop(&c.timers).(timer).fire()
		c.flushEvents()
	}
}

func (c *Core) retireIdle() {
	c.backends.RetireIdle()
	c.scheduleAfter(idleCheckInterval, c.retireIdle)
}

func (c *Core) handle(ev event) {
	switch ev := ev.(type) {
	case requestArrived:
		c.handleArrival(ev.request)
	case clientsDisconnected:
		for _, r := range ev.requests {
			c.abandonRequest(r)
		}
	case backend.Event:
		c.backends.Handle(ev)
	case counterReplied:
		c.handleCounterReply(ev)
	case discovery.List:
		c.updateEndpoints(ev)
	case leaseRequested:
		c.handleLeaseRequest(ev)
	case waitCanceled:
		c.cancelWait(ev)
	case outcomeReported:
		c.handleOutcomeReport(ev)
	case zoneDrainsSet:
		c.setZoneDrains(ev)
	case handOverRequested:
		c.handOver(ev)
	case handoverReceived:
		c.acceptHandover(ev.State)
	case siblingsChanged:
		c.setSiblings(int(ev))
	case messageReceived:
		c.handleMessage(ev)
	case membersChanged:
		c.updateMembers(ev)
	case assessmentRequested:
		if c.outliers != nil {
			c.checkOutliers()
		}
	case quotaBoundsRequested:
		c.replyQuotaBounds(ev)
	case answerAllRequested:
		for _, r := range c.requests {
			c.answerOverdue(r)
		}
		c.allAnswered = true
		close(ev.done)
	}
	c.flushEvents()
}

// tell queues an event for the module; flush hands it over.
func (c *Core) notifyEngine(ev policy.Event) { c.engineEvents = append(c.engineEvents, ev) }

// flush lets the module handle what is queued and carries out its actions, which may queue more.
func (c *Core) flushEvents() {
	if h := c.escrow; h != nil && c.now-h.tickedAt > 2*escrowTickInterval { // before the module lets anything go by what may have ended
		c.tickEscrow()
	}
	for i := 0; i < len(c.engineEvents); i++ {
		c.actions = c.engine.Handle(c.now, c.engineEvents[i], c.actions[:0])
		for _, a := range c.actions {
			c.performAction(a)
		}
	}
	clear(c.engineEvents)
	c.engineEvents = c.engineEvents[:0]
}

func (c *Core) performAction(a policy.Action) {
	switch a := a.(type) {
	case policy.SendAttempt:
		c.sendAttempt(a)
	case policy.CancelAttempt:
		if r := c.requests[a.ID]; r != nil && !r.Delegated && a.Attempt < len(r.attempts) && !c.cancelAwaiting(r, a.Attempt) {
			c.backends.Abort(r.attempts[a.Attempt], policy.Cancelled)
		}
	case policy.Reject:
		c.recordRejection(a)
		if r := c.requests[a.ID]; c.takeover == nil || !c.queryOutcome(r, a.RetryAfter) {
			c.answerRequest(r, Answer{Kind: Rejected, RetryAfter: a.RetryAfter})
		}
	case policy.Fail:
		c.recordFailure(a)
		c.answerRequest(c.requests[a.ID], Answer{Kind: Failed})
	case policy.SetTimer:
		c.scheduleAfter(a.After, func() { c.notifyEngine(policy.TimerFired{}) })
	case policy.AddToCounter:
		c.addToCounter(a)
	case policy.ProbeBackend:
		c.probeBackend(a.Backend)
	case policy.CloseIdleConnections:
		c.backends.CloseIdle(a.Backend)
	case policy.WatchEndpoints, policy.FetchEndpoints: // the watch is always on: the list held is the answer
		c.notifyEngine(c.endpointSnapshot())
	case policy.LogLine:
		c.log.Info(a.Text)
	default:
		c.log.Warn("no such action on sockets", "action", fmt.Sprintf("%T", a))
	}
}

// --- requests ---

func (c *Core) handleArrival(r *Request) {
	c.metrics.RequestAccepted()
	if c.dropDisconnectedArrival(r) {
		return
	}
	if a, taken := c.checkAdmission(r); !taken {
		c.finishRequest(r, a)
		return
	}
	c.lastID++
	r.ID, r.arrivedAt = c.lastID, c.now
	c.requests[r.ID], c.clientIDs[r.ClientID] = r, true
	c.requestBytes += r.Size
	c.summary.add(summaryArrived, 1)
	c.notifyEngine(policy.Arrival{Request: r.Request})
	if c.takeover != nil && c.canReplicate(r) {
		c.scheduleAfter(replicateQueuedAfter, func() { c.replicateQueued(r) })
	}
	c.scheduleAt(r.GiveUpAt+answerOverdueAfter, func() {
		delete(c.clientIDs, r.ClientID)
		c.answerOverdue(r)
	})
}

// answer gives the final answer, once.
func (c *Core) answerRequest(r *Request, a Answer) {
	if r == nil || r.finished {
		return
	}
	c.finishRequest(r, a)
	c.withdrawUnsent(r)
	c.releaseRequest(r)
}

// recall calls off what has not been written of a request that is over, whatever the module may call off: whoever waits for a connection
// then would go out for nobody.
func (c *Core) withdrawUnsent(r *Request) {
	for _, a := range r.attempts {
		c.backends.Withdraw(a)
	}
}

// cutOff ends a request that the module has left unanswered until the last moment: refused where it was never sent, since trying again is
// harmless then.
func (c *Core) answerOverdue(r *Request) {
	if r.finished {
		return
	}
	c.log.Warn("no answer in time", append(r.logAttrs(), "attempts", len(r.attempts))...)
	c.summary.add(summaryOverdue, 1)
	a := Answer{Kind: Failed}
	if len(r.attempts) == 0 && r.Prior == nil {
		a = Answer{Kind: Rejected, RetryAfter: OverloadRetryAfter}
	}
	c.answerRequest(r, a)
	c.notifyEngine(policy.Disconnected{ID: r.ID})
}

func (c *Core) releaseRequest(r *Request) {
	if r.finished && r.inFlight == 0 && c.requests[r.ID] == r {
		c.requestBytes -= r.Size
		delete(c.requests, r.ID)
		r.Command, r.Sink, r.attempts = nil, nil, nil // its timer may hold it for seconds more
	}
}

// --- attempts ---

func (c *Core) sendAttempt(s policy.SendAttempt) {
	r := c.requests[s.ID]
	if r == nil {
		return
	}
	a := &backend.Attempt{Ref: r, Number: len(r.attempts), Command: r.Command, StartedAt: c.now, Deadline: r.GiveUpAt, By: c.retryDeadline(r)}
	if s.StopAt > 0 {
		a.Deadline = min(s.StopAt, r.GiveUpAt)
	}
	r.attempts = append(r.attempts, a)
	r.inFlight++
	if c.zones != nil {
		c.zones.AttemptSent(c.now, s.Backend)
	}
	c.dropIfDisconnected(r)
	if r.finished || a.Deadline <= c.now || a.Number >= c.cfg.Settings.MaxAttempts || r.Delegated && !c.grantLease(r, a, s.Backend) {
		c.backends.CancelUnsent(a, s.Backend)
		return
	}
	if r.Delegated || c.takeover != nil && c.awaitReplicas(r, a, s.Backend) {
		return
	}
	c.startAttempt(r, a, s.Backend)
}

// repeatBy is when a further attempt of a keyed request reaches its node at the latest: while that, or those beside it, still know the first
// that may have run. The module decides a little earlier, and doesn't know how long the attempt waits for a connection. 0: no repeat.
func (c *Core) retryDeadline(r *Request) time.Duration {
	class := c.classes[r.Class]
	if class.Effect != policy.Keyed {
		return 0
	}
	remembered := class.RepeatWindow * 19 / 20
	if r.Prior != nil {
		return r.Prior.At + remembered
	}
	for _, a := range r.attempts {
		if !a.NeverRan() {
			return a.StartedAt + remembered
		}
	}
	return 0
}

// launch lets an attempt go out.
func (c *Core) startAttempt(r *Request, a *backend.Attempt, to policy.BackendID) {
	c.summary.addAttempt(a.Number, c.now-r.arrivedAt)
	if c.escrow != nil && a.Number == 0 {
		c.escrow.recordForwarded(c.now, r)
	}
	if c.outliers != nil {
		c.outliers.detector.AttemptSent(c.now, to, outlier.AttemptID{Request: r.ID, Number: a.Number}, r.Class)
	}
	c.scheduleAt(a.Deadline, func() { c.backends.Abort(a, policy.TimedOut) })
	c.backends.Start(a, to)
}

// attemptEnded tells the module how an attempt ended; the first that is served answers the client.
func (c *Core) attemptEnded(a *backend.Attempt, o policy.Outcome, rep backend.Reply) {
	if a.Ref == nil {
		if c.zones != nil {
			c.zones.ProbeEnded(c.now, a.BackendID(), o == policy.Succeeded)
		}
		c.notifyEngine(policy.ProbeEnded{Backend: a.BackendID(), Outcome: o, Took: c.now - a.StartedAt, Load: rep.Load})
		return
	}
	r := a.Ref.(*Request)
	c.summary.addAttemptEnd(o)
	c.metrics.AttemptEnded(int(o))
	if r.streaming == a {
		c.streamEnded(r, o)
		return
	}
	if o == policy.Succeeded && !r.finished {
		c.summary.addServed(c.now-r.arrivedAt, c.classes[r.Class].LatencyObjective)
		c.finishRequest(r, Answer{Kind: Served, Value: rep.Value})
	}
	r.inFlight--
	c.notifyAttemptEnded(r, policy.AttemptEnded{
		ID: r.ID, Attempt: a.Number, Backend: a.BackendID(), Outcome: o, Took: c.now - a.StartedAt,
		Finished: r.finished, Load: rep.Load,
	})
	if o == policy.Succeeded {
		c.withdrawUnsent(r)
	}
}

// attemptBegan hands a value on that has begun to come. For the module that is the answer: it is served, its time counts from the
// first bytes, and what else is out for it is called off.
func (c *Core) streamStarted(a *backend.Attempt, s *backend.Stream) (wanted bool) {
	r := a.Ref.(*Request)
	if r.finished { // another attempt was first, or the client has gone: no fault of this node's
		return false
	}
	r.streaming, r.finished = a, true
	c.completeWork(r, Answer{Kind: Served, Stream: s})
	c.summary.addServed(c.now-r.arrivedAt, c.classes[r.Class].LatencyObjective)
	c.deliverAnswer(r, Answer{Kind: Served, Stream: s})
	c.notifyAttemptEnded(r, policy.AttemptEnded{ID: r.ID, Attempt: a.Number, Backend: a.BackendID(), Outcome: policy.Succeeded, Took: c.now - a.StartedAt, Finished: true})
	c.withdrawUnsent(r)
	return true
}

// passed counts the end of a value that was passed on.
func (c *Core) streamEnded(r *Request, o policy.Outcome) {
	c.metrics.RequestEnded(r.Class, requestEndOf(o))
	r.inFlight--
	c.releaseRequest(r)
}

// ended tells the module of an attempt's end.
func (c *Core) notifyAttemptEnded(r *Request, ev policy.AttemptEnded) {
	if r.pending != nil {
		r.pending.attemptEnded(ev)
	}
	if c.zones != nil {
		c.zones.AttemptEnded(c.now, ev.Backend, c.now-ev.Took, r.Class, ev.Outcome)
	}
	if c.outliers != nil {
		c.outliers.detector.AttemptEnded(c.now, outlier.AttemptID{Request: r.ID, Number: ev.Attempt}, ev.Outcome)
	}
	c.notifyEngine(ev)
	c.releaseRequest(r)
}

func (c *Core) probeBackend(id policy.BackendID) (sent bool) {
	if !c.backends.Contains(id) || c.isSuspended(id) {
		return false
	}
	a := &backend.Attempt{StartedAt: c.now, Deadline: c.now + probeTimeout}
	c.scheduleAt(a.Deadline, func() { c.backends.Abort(a, policy.TimedOut) })
	c.backends.Start(a, id)
	return true
}

// owner is the core as the pool of connections sees it.
type poolOwner struct{ core *Core }

// Now, After, Post, Spawn and AttemptEnded are for the pool.
func (o poolOwner) Now() time.Duration               { return o.core.now }
func (o poolOwner) After(d time.Duration, do func()) { o.core.scheduleAfter(d, do) }
func (o poolOwner) Post(ev backend.Event)            { o.core.post(ev) }
func (o poolOwner) Spawn(run func(context.Context))  { o.core.spawn(run) }
func (o poolOwner) AttemptEnded(a *backend.Attempt, out policy.Outcome, r backend.Reply) {
	o.core.attemptEnded(a, out, r)
}

// AttemptWanted is for the pool.
func (o poolOwner) AttemptWanted(a *backend.Attempt) bool {
	r, ok := a.Ref.(*Request)
	if !ok { // a probe
		return true
	}
	o.core.dropIfDisconnected(r)
	return !r.finished && o.core.maySend(r, a)
}

// AttemptBegan is for the pool.
func (o poolOwner) AttemptBegan(a *backend.Attempt, s *backend.Stream) bool {
	return o.core.streamStarted(a, s)
}

// --- the list and the counter ---

// held is the list as it stands.
func (c *Core) endpointSnapshot() policy.Event {
	return policy.EndpointsChanged{Complete: true, Backends: c.backends.Backends()}
}

// counted is the event of an answer of the shared counter.
type counterReplied struct {
	call   *store.Call
	result store.Result
}

func (c *Core) addToCounter(a policy.AddToCounter) {
	k := &store.Call{Name: a.Name, Amount: a.Add, TTL: a.Keep, StartedAt: c.now}
	if c.counter == nil {
		c.handleCounterReply(counterReplied{k, store.Result{Certainty: store.NotAdded}})
		return
	}
	c.counter.Add(k)
	c.scheduleAfter(c.cfg.Settings.CounterTimeout, func() {
		switch {
		case k.Withdraw(): // never written, and never will be
			c.handleCounterReply(counterReplied{k, store.Result{Certainty: store.NotAdded}})
		case k.Lapse():
			c.handleCounterReply(counterReplied{k, store.Result{}})
		}
	})
}

// counted passes a call's answer on, once: one after the time-out is dropped. A store that has refused a call at the
// time-out is believed: its answer is under way.
func (c *Core) handleCounterReply(ev counterReplied) {
	if !ev.call.FirstAnswer() {
		return
	}
	o := policy.TimedOut // may have been added
	switch {
	case ev.result.Certainty == store.NotAdded:
		o = policy.NoConnect
	case ev.result.Certainty == store.Added && ev.result.Seen:
		o = policy.Succeeded
	case ev.result.Certainty == store.Added:
		o = policy.Failed
	}
	c.summary.addCounterReply(o, c.now-ev.call.StartedAt)
	c.notifyEngine(policy.CounterReply{Name: ev.call.Name, Outcome: o, Total: ev.result.Total})
}

// --- timers ---

// alarm is something to do at a time; alarms is a heap of them, earliest first.
type timer struct {
	at   time.Duration
	fire func()
}

type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push is for container/heap.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop is for container/heap.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return last
}

func (c *Core) scheduleAt(t time.Duration, ring func()) { heap.Push(&c.timers, timer{t, ring}) }

func (c *Core) scheduleAfter(d time.Duration, ring func()) { c.scheduleAt(c.now+d, ring) }
