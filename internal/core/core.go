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
	eventQueue   = 256
	memoryShare  = 8         // of the memory: commands held, commands coming in, answers unread, answers coming in
	usualMemory  = 256 << 20 // where no limit is told
	mostBatch    = 256
	answerMargin = 20 * time.Millisecond // before the client gives up: the way back, and a busy machine
	overdue      = 8 * time.Millisecond  // into the margin: the module should have answered by now
	idleCheck    = time.Second
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
type lister interface {
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

var kindNames = [...]string{Failed: "failed", Served: "served", Rejected: "refused", Duplicate: "repeated", Granted: "granted", Concluded: "over", Mismatched: "other"}

// String is the kind's name.
func (k AnswerKind) String() string { return kindNames[k] }

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
	came           time.Duration
	asked          time.Duration    // when Gone was asked last
	passing        *backend.Attempt // brings a value that is passed on to the client
	out            int
	final          bool
	why            policy.Reason // of its refusal or failure
	kept           *keeping      // in custody; nil: it is not
}

// The events of a front.
type (
	arrived   struct{ r *Request }
	abandoned struct{ reqs []*Request }
)

// event is what the core's goroutine is told by the others.
type event any

// endAll asks for a final answer to everything, at the end of a shutdown.
type endAll struct{ done chan<- struct{} } // closed when all is answered

// Core is one instance. Its goroutine owns everything but what is said to be otherwise, and never waits for a peer; its
// exported methods are safe for many goroutines.
type Core struct {
	cfg     Config
	net     settings.Connections
	log     *slog.Logger
	classes map[string]policy.Class
	plans   map[string]bool
	counter store.Counter // nil: the settings know none
	disc    lister
	events  chan event
	stopped chan struct{}
	spawned sync.WaitGroup
	ctx     context.Context // of the goroutines that it spawns
	stop    context.CancelFunc
	start   time.Time
	epoch   time.Duration // start on the clock that all ingresses share

	mod       *policy.Engine
	now       time.Duration
	alarms    alarms
	requests  map[policy.RequestID]*Request
	keys      map[uint64]bool // ids of requests whose time is not up, ended or not
	lastID    policy.RequestID
	unread    int // messages of other instances that could not be read
	nodes     pool
	heldBytes int // bytes of their commands
	actions   []policy.Action
	queue     []policy.Event // for the module, from actions that ended at once

	handing   *handing    // nil: no front hands attempts out
	halls     *hallBook   // nil: nothing is known of halls
	mostConns int         // to nodes
	mostHeld  int         // of heldBytes
	mostUnits float64     // of one request
	judged    *judgements // nil: nobody tells of nodes
	holding   *holding    // nil: each instance holds an even part
	taking    *taking     // nil: work in hand ends with this instance
	sum       *summary    // nil: no lines that sum up
	fig       *metrics.Set
	guard     *guard.Monitor
	ending    bool // the last answers have been given
	ops       operators
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
	mod, err := policy.New(cfg.Settings, cfg.Seed)
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
		cfg.Memory = usualMemory
	}
	start := time.Now()
	g := &Core{
		cfg: cfg, net: cfg.Connections, log: log, classes: map[string]policy.Class{}, plans: map[string]bool{},
		events: make(chan event, eventQueue), stopped: make(chan struct{}), start: start,
		epoch: time.Duration(start.UnixNano()) + cfg.Clock.Ahead, mod: mod, requests: map[policy.RequestID]*Request{},
		keys: map[uint64]bool{}, mostConns: cfg.Sockets * 3 / 8,
		fig:      newFigures(cfg.Settings.Classes),
		guard:    guard.NewMonitor(log),
		ops:      operators{book: override.New(), store: cfg.Overrides, spoke: make(chan struct{}, 1)},
		mostHeld: cfg.Memory / memoryShare, mostUnits: cmp.Or(cfg.Settings.MaxUnits, math.MaxFloat64),
	}
	g.nodes = backend.New(owner{g}, backend.Config{
		OnSent: g.fig.AttemptSent, ConnectTimeout: cfg.Connections.ConnectTimeout, Idle: cfg.Connections.Idle, MaxConnections: g.nodeConns(cfg.Siblings),
		Frames: resp.NewBudget(cfg.Memory / memoryShare),
	})
	if cfg.Leases != nil {
		g.handing = newHanding(*cfg.Leases)
	}
	for _, c := range cfg.Settings.Classes {
		g.classes[c.Name] = c
	}
	if cfg.Zones != nil {
		g.halls = newHallBook(*cfg.Zones, cfg.Settings)
	}
	if cfg.Takeover != nil {
		g.taking = newTaking(*cfg.Takeover)
	}
	if cfg.Escrow != nil {
		g.holding = newHolding(cfg, g.clock(start))
	}
	if cfg.Peers != nil {
		g.judged = newJudgements(cfg)
	}
	for _, p := range cfg.Settings.Plans {
		g.plans[p.Name] = true
	}
	if cfg.Settings.Counter {
		g.counter, err = cfg.Store(func(k *store.Call, r store.Result) { g.post(counted{k, r}) })
		if err != nil {
			return nil, err
		}
	}
	sharing := 1 // where the list is pushed, the agent answers by itself
	if cfg.Settings.PollEndpoints {
		sharing = cfg.Settings.Instances
	}
	g.disc = discovery.New(cfg.Discovery, cfg.Known.Rev, sharing, len(cfg.Known.Targets) > 0,
		func(f discovery.List) { g.post(f) }, log)
	return g, nil
}

// Move goes over to discovery and a counter at other addresses. It waits for nothing, may come at any time, and
// the last of several counts. Clients, nodes and the module's books are left as they are.
func (g *Core) SetAddresses(discovery, counter string) {
	g.disc.SetAddress(discovery)
	if g.counter != nil {
		g.counter.SetAddress(counter)
	}
}

// Start begins to decide, from the known list, and to follow discovery; End ends it.
func (g *Core) Start() {
	g.ctx, g.stop = context.WithCancel(context.Background())
	g.known()
	g.spawn(g.loop)
	if g.counter != nil {
		g.spawn(g.counter.Run)
	}
	g.spawn(g.disc.Run)
}

// Listed closes when discovery has brought a first list, or that has failed.
func (g *Core) DiscoveryReady() <-chan struct{} { return g.disc.Ready() }

// End stops at once, whatever is open, and waits for all goroutines.
func (g *Core) End() {
	g.stop()
	g.spawned.Wait()
	g.checkOpen()
}

// Guard counts what must never happen.
func (g *Core) Guard() *guard.Monitor { return g.guard }

// Submit hands a request in; its Place is answered once, unless it is abandoned first.
func (g *Core) Submit(r *Request) { g.post(arrived{r}) }

// Abandon tells that the clients of requests have gone: nothing waits for their answers any more.
func (g *Core) NotifyDisconnected(reqs []*Request) { g.post(abandoned{reqs}) }

// EndAll gives a final answer to all that is open, and returns when each front has it, or when the core has ended.
func (g *Core) AnswerAll() {
	done := make(chan struct{})
	g.post(endAll{done})
	select {
	case <-done:
	case <-g.stopped:
	}
}

// Class returns a class of the settings by its name.
func (g *Core) Class(name string) (policy.Class, bool) {
	c, ok := g.classes[name]
	return c, ok
}

// Plan reports whether the settings know a plan.
func (g *Core) Plan(name string) bool { return g.plans[name] }

// Gateways is how many instances there are.
func (g *Core) Instances() int { return g.cfg.Settings.Instances }

// MostUnits is the most that one request may take.
func (g *Core) MaxUnits() float64 { return g.mostUnits }

// Room is what is left for fronts: descriptors, and bytes for each kind of what they hold.
func (g *Core) FrontLimits() (sockets, memory int) {
	return g.cfg.Sockets - g.mostConns, g.cfg.Memory / memoryShare
}

// GiveUpAt is when a client gives up that says so at a time, and will wait for so long; d is not believed beyond twice
// the class's deadline. The answer goes out a little before.
func (g *Core) GiveUpAt(c policy.Class, at time.Time, d time.Duration) time.Duration {
	wait := min(d, 2*c.Deadline)
	return g.clock(at) + wait - min(answerMargin, wait/4)
}

// spawn starts a goroutine that ends with the core's life, and is waited for.
func (g *Core) spawn(run func(context.Context)) {
	g.spawned.Add(1)
	go func() {
		defer g.spawned.Done()
		run(g.ctx)
	}()
}

// post tells the core's goroutine; after its end nothing is told any more.
func (g *Core) post(ev event) {
	select {
	case g.events <- ev:
	case <-g.stopped:
	}
}

// clock is the time that all ingresses share, advanced by the monotonic one.
func (g *Core) clock(t time.Time) time.Duration { return g.epoch + g.cfg.Clock.passed(t.Sub(g.start)) }

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
func (g *Core) Now() time.Duration { return g.clock(time.Now()) }

// known hands the module the list that the configuration brought, before anything else.
func (g *Core) known() {
	g.now = g.clock(time.Now())
	f := g.cfg.Known.Usable(g.log)
	f.Complete = true
	g.handle(f)
}

// loop is the goroutine that owns all below.
func (g *Core) loop(ctx context.Context) {
	defer close(g.stopped)
	g.after(idleCheck, g.checkIdle)
	if g.halls != nil {
		g.tickHalls()
	}
	if g.judged != nil {
		g.judge()
	}
	if g.taking != nil {
		g.lookAtDesk()
	}
	if g.holding != nil {
		g.lookAtRights()
	}
	g.summarize()
	if g.cfg.Operated {
		g.lookAtCluster()
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		timer.Reset(g.alarms[0].at - g.clock(time.Now()))
		select {
		case <-ctx.Done():
			return
		case ev := <-g.events:
			g.now = g.clock(time.Now())
			g.handle(ev)
			for n := 1; n < mostBatch && len(g.events) > 0; n++ {
				g.handle(<-g.events)
			}
		case <-g.ops.spoke:
			g.now = g.clock(time.Now())
			g.relist()
		case <-timer.C:
		}
		g.now = g.clock(time.Now())
		g.ring()
	}
}

// ring does what is due.
func (g *Core) ring() {
	for len(g.alarms) > 0 && g.alarms[0].at <= g.now {
		heap.Pop(&g.alarms).(alarm).ring()
		g.flush()
	}
}

func (g *Core) checkIdle() {
	g.nodes.RetireIdle()
	g.after(idleCheck, g.checkIdle)
}

func (g *Core) handle(ev event) {
	switch ev := ev.(type) {
	case arrived:
		g.arrived(ev.r)
	case abandoned:
		for _, r := range ev.reqs {
			g.abandon(r)
		}
	case backend.Event:
		g.nodes.Handle(ev)
	case counted:
		g.counted(ev)
	case discovery.List:
		g.fleet(ev)
	case asked:
		g.asked(ev)
	case left:
		g.left(ev)
	case reported:
		g.reported(ev)
	case drills:
		g.drills(ev)
	case giveOver:
		g.giveOver(ev)
	case takeOver:
		g.takeOver(ev.State)
	case company:
		g.company(int(ev))
	case heardWork:
		g.heardWork(ev)
	case fellows:
		g.fellows(ev)
	case weighNow:
		if g.judged != nil {
			g.lookAtNodes()
		}
	case budgetsAsked:
		g.budgets(ev)
	case endAll:
		for _, r := range g.requests {
			g.cutOff(r)
		}
		g.ending = true
		close(ev.done)
	}
	g.flush()
}

// tell queues an event for the module; flush hands it over.
func (g *Core) tell(ev policy.Event) { g.queue = append(g.queue, ev) }

// flush lets the module handle what is queued and carries out its actions, which may queue more.
func (g *Core) flush() {
	if h := g.holding; h != nil && g.now-h.ticked > 2*rightsEvery { // before the module lets anything go by what may have ended
		g.tickRights()
	}
	for i := 0; i < len(g.queue); i++ {
		g.actions = g.mod.Handle(g.now, g.queue[i], g.actions[:0])
		for _, a := range g.actions {
			g.act(a)
		}
	}
	clear(g.queue)
	g.queue = g.queue[:0]
}

func (g *Core) act(a policy.Action) {
	switch a := a.(type) {
	case policy.SendAttempt:
		g.send(a)
	case policy.CancelAttempt:
		if r := g.requests[a.ID]; r != nil && !r.Delegated && a.Attempt < len(r.attempts) && !g.calledOff(r, a.Attempt) {
			g.nodes.Abort(r.attempts[a.Attempt], policy.Cancelled)
		}
	case policy.Reject:
		g.refused(a)
		if r := g.requests[a.ID]; g.taking == nil || !g.askForAnswer(r, a.RetryAfter) {
			g.answer(r, Answer{Kind: Rejected, RetryAfter: a.RetryAfter})
		}
	case policy.Fail:
		g.failed(a)
		g.answer(g.requests[a.ID], Answer{Kind: Failed})
	case policy.SetTimer:
		g.after(a.After, func() { g.tell(policy.TimerFired{}) })
	case policy.AddToCounter:
		g.count(a)
	case policy.ProbeBackend:
		g.probe(a.Backend)
	case policy.CloseIdleConnections:
		g.nodes.CloseIdle(a.Backend)
	case policy.WatchEndpoints, policy.FetchEndpoints: // the watch is always on: the list held is the answer
		g.tell(g.held())
	case policy.LogLine:
		g.log.Info(a.Text)
	default:
		g.log.Warn("no such action on sockets", "action", fmt.Sprintf("%T", a))
	}
}

// --- requests ---

func (g *Core) arrived(r *Request) {
	g.fig.RequestAccepted()
	if g.goneOnArrival(r) {
		return
	}
	if a, taken := g.admission(r); !taken {
		g.final(r, a)
		return
	}
	g.lastID++
	r.ID, r.came = g.lastID, g.now
	g.requests[r.ID], g.keys[r.ClientID] = r, true
	g.heldBytes += r.Size
	g.sum.add(arrivals, 1)
	g.tell(policy.Arrival{Request: r.Request})
	if g.taking != nil && g.covers(r) {
		g.after(acceptAfter, func() { g.accept(r) })
	}
	g.at(r.GiveUpAt+overdue, func() {
		delete(g.keys, r.ClientID)
		g.cutOff(r)
	})
}

// answer gives the final answer, once.
func (g *Core) answer(r *Request, a Answer) {
	if r == nil || r.final {
		return
	}
	g.final(r, a)
	g.recall(r)
	g.forget(r)
}

// recall calls off what has not been written of a request that is over, whatever the module may call off: whoever waits for a connection
// then would go out for nobody.
func (g *Core) recall(r *Request) {
	for _, a := range r.attempts {
		g.nodes.Withdraw(a)
	}
}

// cutOff ends a request that the module has left unanswered until the last moment: refused where it was never sent, since trying again is
// harmless then.
func (g *Core) cutOff(r *Request) {
	if r.final {
		return
	}
	g.log.Warn("no answer in time", append(r.ids(), "attempts", len(r.attempts))...)
	g.sum.add(cutOffs, 1)
	a := Answer{Kind: Failed}
	if len(r.attempts) == 0 && r.Prior == nil {
		a = Answer{Kind: Rejected, RetryAfter: OverloadRetryAfter}
	}
	g.answer(r, a)
	g.tell(policy.Disconnected{ID: r.ID})
}

func (g *Core) forget(r *Request) {
	if r.final && r.out == 0 && g.requests[r.ID] == r {
		g.heldBytes -= r.Size
		delete(g.requests, r.ID)
		r.Command, r.Sink, r.attempts = nil, nil, nil // its timer may hold it for seconds more
	}
}

// --- attempts ---

func (g *Core) send(s policy.SendAttempt) {
	r := g.requests[s.ID]
	if r == nil {
		return
	}
	a := &backend.Attempt{Ref: r, Number: len(r.attempts), Command: r.Command, StartedAt: g.now, Deadline: r.GiveUpAt, By: g.repeatBy(r)}
	if s.StopAt > 0 {
		a.Deadline = min(s.StopAt, r.GiveUpAt)
	}
	r.attempts = append(r.attempts, a)
	r.out++
	if g.halls != nil {
		g.halls.AttemptSent(g.now, s.Backend)
	}
	g.dropIfGone(r)
	if r.final || a.Deadline <= g.now || a.Number >= g.cfg.Settings.MaxAttempts || r.Delegated && !g.grant(r, a, s.Backend) {
		g.nodes.CancelUnsent(a, s.Backend)
		return
	}
	if r.Delegated || g.taking != nil && g.inCustody(r, a, s.Backend) {
		return
	}
	g.launch(r, a, s.Backend)
}

// repeatBy is when a further attempt of a keyed request reaches its node at the latest: while that, or those beside it, still know the first
// that may have run. The module decides a little earlier, and doesn't know how long the attempt waits for a connection. 0: no repeat.
func (g *Core) repeatBy(r *Request) time.Duration {
	c := g.classes[r.Class]
	if c.Effect != policy.Keyed {
		return 0
	}
	remembered := c.RepeatWindow * 19 / 20
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
func (g *Core) launch(r *Request, a *backend.Attempt, to policy.BackendID) {
	g.sum.sent(a.Number, g.now-r.came)
	if g.holding != nil && a.Number == 0 {
		g.holding.passes(g.now, r)
	}
	if g.judged != nil {
		g.judged.sight.AttemptSent(g.now, to, outlier.AttemptID{Request: r.ID, Number: a.Number}, r.Class)
	}
	g.at(a.Deadline, func() { g.nodes.Abort(a, policy.TimedOut) })
	g.nodes.Start(a, to)
}

// attemptEnded tells the module how an attempt ended; the first that is served answers the client.
func (g *Core) attemptEnded(a *backend.Attempt, o policy.Outcome, rep backend.Reply) {
	if a.Ref == nil {
		if g.halls != nil {
			g.halls.ProbeEnded(g.now, a.BackendID(), o == policy.Succeeded)
		}
		g.tell(policy.ProbeEnded{Backend: a.BackendID(), Outcome: o, Took: g.now - a.StartedAt, Load: rep.Load})
		return
	}
	r := a.Ref.(*Request)
	g.sum.ended(o)
	g.fig.AttemptEnded(int(o))
	if r.passing == a {
		g.passed(r, o)
		return
	}
	if o == policy.Succeeded && !r.final {
		g.sum.served(g.now-r.came, g.classes[r.Class].LatencyObjective)
		g.final(r, Answer{Kind: Served, Value: rep.Value})
	}
	r.out--
	g.ended(r, policy.AttemptEnded{
		ID: r.ID, Attempt: a.Number, Backend: a.BackendID(), Outcome: o, Took: g.now - a.StartedAt,
		Finished: r.final, Load: rep.Load,
	})
	if o == policy.Succeeded {
		g.recall(r)
	}
}

// attemptBegan hands a value on that has begun to come. For the module that is the answer: it is served, its time counts from the
// first bytes, and what else is out for it is called off.
func (g *Core) attemptBegan(a *backend.Attempt, s *backend.Stream) (wanted bool) {
	r := a.Ref.(*Request)
	if r.final { // another attempt was first, or the client has gone: no fault of this node's
		return false
	}
	r.passing, r.final = a, true
	g.endCustody(r, Answer{Kind: Served, Stream: s})
	g.sum.served(g.now-r.came, g.classes[r.Class].LatencyObjective)
	g.deliver(r, Answer{Kind: Served, Stream: s})
	g.ended(r, policy.AttemptEnded{ID: r.ID, Attempt: a.Number, Backend: a.BackendID(), Outcome: policy.Succeeded, Took: g.now - a.StartedAt, Finished: true})
	g.recall(r)
	return true
}

// passed counts the end of a value that was passed on.
func (g *Core) passed(r *Request, o policy.Outcome) {
	g.fig.RequestEnded(r.Class, endOf(o))
	r.out--
	g.forget(r)
}

// ended tells the module of an attempt's end.
func (g *Core) ended(r *Request, ev policy.AttemptEnded) {
	if r.kept != nil {
		r.kept.left(ev)
	}
	if g.halls != nil {
		g.halls.AttemptEnded(g.now, ev.Backend, g.now-ev.Took, r.Class, ev.Outcome)
	}
	if g.judged != nil {
		g.judged.sight.AttemptEnded(g.now, outlier.AttemptID{Request: r.ID, Number: ev.Attempt}, ev.Outcome)
	}
	g.tell(ev)
	g.forget(r)
}

func (g *Core) probe(id policy.BackendID) (sent bool) {
	if !g.nodes.Contains(id) || g.out(id) {
		return false
	}
	a := &backend.Attempt{StartedAt: g.now, Deadline: g.now + probeTimeout}
	g.at(a.Deadline, func() { g.nodes.Abort(a, policy.TimedOut) })
	g.nodes.Start(a, id)
	return true
}

// owner is the core as the pool of connections sees it.
type owner struct{ g *Core }

// Now, After, Post, Spawn and AttemptEnded are for the pool.
func (o owner) Now() time.Duration               { return o.g.now }
func (o owner) After(d time.Duration, do func()) { o.g.after(d, do) }
func (o owner) Post(ev backend.Event)            { o.g.post(ev) }
func (o owner) Spawn(run func(context.Context))  { o.g.spawn(run) }
func (o owner) AttemptEnded(a *backend.Attempt, out policy.Outcome, r backend.Reply) {
	o.g.attemptEnded(a, out, r)
}

// AttemptWanted is for the pool.
func (o owner) AttemptWanted(a *backend.Attempt) bool {
	r, ok := a.Ref.(*Request)
	if !ok { // a probe
		return true
	}
	o.g.dropIfGone(r)
	return !r.final && o.g.maySend(r, a)
}

// AttemptBegan is for the pool.
func (o owner) AttemptBegan(a *backend.Attempt, s *backend.Stream) bool {
	return o.g.attemptBegan(a, s)
}

// --- the list and the counter ---

// held is the list as it stands.
func (g *Core) held() policy.Event {
	return policy.EndpointsChanged{Complete: true, Backends: g.nodes.Backends()}
}

// counted is the event of an answer of the shared counter.
type counted struct {
	call   *store.Call
	result store.Result
}

func (g *Core) count(a policy.AddToCounter) {
	k := &store.Call{Name: a.Name, Amount: a.Add, TTL: a.Keep, StartedAt: g.now}
	if g.counter == nil {
		g.counted(counted{k, store.Result{Certainty: store.NotAdded}})
		return
	}
	g.counter.Add(k)
	g.after(g.cfg.Settings.CounterTimeout, func() {
		switch {
		case k.Withdraw(): // never written, and never will be
			g.counted(counted{k, store.Result{Certainty: store.NotAdded}})
		case k.Lapse():
			g.counted(counted{k, store.Result{}})
		}
	})
}

// counted passes a call's answer on, once: one after the time-out is dropped. A store that has refused a call at the
// time-out is believed: its answer is under way.
func (g *Core) counted(ev counted) {
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
	g.sum.counted(o, g.now-ev.call.StartedAt)
	g.tell(policy.CounterReply{Name: ev.call.Name, Outcome: o, Total: ev.result.Total})
}

// --- timers ---

// alarm is something to do at a time; alarms is a heap of them, earliest first.
type alarm struct {
	at   time.Duration
	ring func()
}

type alarms []alarm

func (h alarms) Len() int           { return len(h) }
func (h alarms) Less(i, j int) bool { return h[i].at < h[j].at }
func (h alarms) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push is for container/heap.
func (h *alarms) Push(x any) { *h = append(*h, x.(alarm)) }

// Pop is for container/heap.
func (h *alarms) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = alarm{}
	*h = old[:len(old)-1]
	return last
}

func (g *Core) at(t time.Duration, ring func()) { heap.Push(&g.alarms, alarm{t, ring}) }

func (g *Core) after(d time.Duration, ring func()) { g.at(g.now+d, ring) }
