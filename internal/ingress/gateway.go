// Package ingress is the real ingress: it turns what comes on sockets into the decision module's events and
// carries out its actions. It decides nothing itself.
package ingress

import (
	"cmp"
	"container/heap"
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"sync"
	"time"

	"larchwick/internal/resp"
	"larchwick/internal/store"
	"larchwick/internal/store/tally"
	"larchwick/internal/wire"
	"larchwick/logic"
)

const (
	eventQueue   = 256
	memoryShare  = 8         // of the memory: commands held, commands coming in, answers unread, answers coming in
	usualMemory  = 256 << 20 // where no limit is told
	mostBatch    = 256
	answerMargin = 20 * time.Millisecond  // before the client gives up: the way back, and a busy machine
	overdue      = 8 * time.Millisecond   // into the margin: the module should have answered by now
	firstList    = 300 * time.Millisecond // what a start waits for discovery before it serves from the known list
	idleCheck    = time.Second
	fullRetry    = 250 * time.Millisecond  // when to come back to an ingress whose memory is full
	graceOpen    = 600 * time.Millisecond  // after SIGTERM: new connections go on being served
	graceAll     = 3300 * time.Millisecond // after SIGTERM: everything is answered by then
	spare        = 32                      // descriptors for the counter, discovery, the listener and the runtime
)

// Config is all that an ingress is told.
type Config struct {
	Listen, Discovery, Counter string
	Seed                       uint64
	Sockets                    int // descriptors that it may hold
	Memory                     int // bytes that it may use; 0: not told
	Known                      Fleet
	Settings                   logic.Settings
	Store                      func(store.Sink) (store.Counter, error) // makes the shared counter; nil: tally at Counter
	Connections                wire.Connections
}

// Kind is what a final answer says.
type Kind uint8

// The kinds of final answers.
const (
	Failed   Kind = iota // it promises nothing
	Served               // with a node's value
	Refused              // trying again is harmless
	Repeated             // a request of the same id is open: that one is served, this was not taken
)

// Answer is the one final answer to a request; a front words it in its protocol.
type Answer struct {
	Kind       Kind
	Value      []byte
	RetryAfter time.Duration // of a refusal; 0: no advice
}

// Place is where a front waits for the one final answer. Answer never blocks, and is called once.
type Place interface{ Answer(Answer) }

// event is what the gateway's goroutine is told by the others.
type event any

// endAll asks for a final answer to everything, at the end of a shutdown.
type endAll struct{}

// Gateway owns the decision module: its clock, its timers and the table of requests. Its goroutine never
// waits for a peer.
type Gateway struct {
	cfg     Config
	net     wire.Connections
	log     *slog.Logger
	classes map[string]logic.Class
	plans   map[string]bool
	counter store.Counter // nil: the settings know none
	disc    *discovery
	events  chan event
	stopped chan struct{}
	spawned sync.WaitGroup
	ctx     context.Context // of the goroutines that it spawns
	ready   chan struct{}
	addr    net.Addr
	start   time.Time
	epoch   time.Duration // start on the clock that all ingresses share

	mod       *logic.Gateway
	now       time.Duration
	alarms    alarms
	requests  map[logic.RequestID]*request
	keys      map[uint64]bool // ids of requests whose time is not up, ended or not
	lastID    logic.RequestID
	backends  map[logic.ServerID]*backend
	heldBytes int  // bytes of their commands
	conns     int  // to backends
	starved   bool // an attempt waits because of mostConns
	actions   []logic.Action
	queue     []logic.Event // for the module, from actions that ended at once

	mostConns int          // of conns
	mostHeld  int          // of heldBytes
	mostUnits float64      // of one request
	frames    *resp.Budget // memory of answers that are coming in
}

// New checks the configuration and returns an ingress that does not run yet.
func New(cfg Config, log *slog.Logger) (*Gateway, error) {
	if cfg.Sockets < 128 {
		return nil, fmt.Errorf("%d sockets are too few: 128 at least", cfg.Sockets)
	}
	if cfg.Settings.Counter && cfg.Counter == "" && cfg.Store == nil {
		return nil, fmt.Errorf("the settings name a shared counter, the configuration has no address of it")
	}
	for _, addr := range []string{cfg.Listen, cfg.Discovery, cfg.Counter} {
		if _, _, err := net.SplitHostPort(addr); addr != "" && err != nil {
			return nil, fmt.Errorf("not an address: %w", err)
		}
	}
	mod, err := logic.New(cfg.Settings, cfg.Seed)
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
	if cfg.Store == nil {
		cfg.Store = func(s store.Sink) (store.Counter, error) {
			return tally.New(cfg.Counter, cfg.Settings.CounterTimeout, s), nil
		}
	}
	start := time.Now()
	g := &Gateway{cfg: cfg, net: cfg.Connections, log: log, classes: map[string]logic.Class{}, plans: map[string]bool{},
		events: make(chan event, eventQueue), stopped: make(chan struct{}), ready: make(chan struct{}), start: start,
		epoch: time.Duration(start.UnixNano()), mod: mod, requests: map[logic.RequestID]*request{},
		keys: map[uint64]bool{}, backends: map[logic.ServerID]*backend{}, mostConns: cfg.Sockets * 3 / 8,
		mostHeld: cfg.Memory / memoryShare, mostUnits: cmp.Or(cfg.Settings.MaxUnits, math.MaxFloat64),
		frames: resp.NewBudget(cfg.Memory / memoryShare)}
	for _, c := range cfg.Settings.Classes {
		g.classes[c.Name] = c
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
	g.disc = newDiscovery(cfg.Discovery, cfg.Known.Rev, g.post, log)
	return g, nil
}

// Ready closes when clients are taken.
func (g *Gateway) Ready() <-chan struct{} { return g.ready }

// Addr is where, once Ready has closed.
func (g *Gateway) Addr() net.Addr { return g.addr }

// Move goes over to discovery and a counter at other addresses. It waits for nothing, may come at any time, and
// the last of several counts. Clients, backends and the module's books are left as they are.
func (g *Gateway) Move(discovery, counter string) {
	g.disc.moves.Set(discovery)
	if g.counter != nil {
		g.counter.Move(counter)
	}
}

// Run serves until ctx ends, then answers what it has taken and returns.
func (g *Gateway) Run(ctx context.Context) error {
	life, stop := context.WithCancel(context.Background())
	defer func() {
		stop()
		g.spawned.Wait()
	}()
	g.ctx = life
	g.known()
	g.spawn(g.loop)
	if g.counter != nil {
		g.spawn(g.counter.Run)
	}
	g.spawn(g.disc.run)
	select {
	case <-g.disc.first:
	case <-time.After(firstList):
	case <-ctx.Done():
		return nil
	}
	ln, err := net.Listen("tcp", g.cfg.Listen)
	if err != nil {
		return fmt.Errorf("listening: %w", err)
	}
	f := newFront(ln, g, g.cfg.Sockets-g.mostConns-spare, g.cfg.Memory/memoryShare)
	g.spawn(func(context.Context) { f.accept() })
	g.spawn(f.tidy)
	g.addr = ln.Addr()
	close(g.ready)
	g.log.Info("serving", "listen", g.cfg.Listen)

	<-ctx.Done()
	g.log.Info("shutting down")
	limit, cancel := context.WithTimeout(life, graceAll)
	defer cancel()
	time.Sleep(graceOpen)
	last := time.AfterFunc(graceAll-graceOpen-100*time.Millisecond, func() { g.post(endAll{}) })
	defer last.Stop()
	f.drain(limit)
	return nil
}

// spawn starts a goroutine that ends with the gateway's life, and is waited for.
func (g *Gateway) spawn(run func(context.Context)) {
	g.spawned.Add(1)
	go func() {
		defer g.spawned.Done()
		run(g.ctx)
	}()
}

// post tells the gateway's goroutine; after its end nothing is told any more.
func (g *Gateway) post(ev event) {
	select {
	case g.events <- ev:
	case <-g.stopped:
	}
}

// clock is the time that all ingresses share, advanced by the monotonic one.
func (g *Gateway) clock(t time.Time) time.Duration { return g.epoch + t.Sub(g.start) }

// known hands the module the list that the configuration brought, before anything else.
func (g *Gateway) known() {
	g.now = g.clock(time.Now())
	f := g.cfg.Known.usable(g.log)
	f.All = true
	g.handle(f)
}

// loop is the goroutine that owns all below.
func (g *Gateway) loop(ctx context.Context) {
	defer close(g.stopped)
	g.after(idleCheck, g.checkIdle)
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
		case <-timer.C:
		}
		g.now = g.clock(time.Now())
		g.ring()
	}
}

// ring does what is due.
func (g *Gateway) ring() {
	for len(g.alarms) > 0 && g.alarms[0].at <= g.now {
		heap.Pop(&g.alarms).(alarm).ring()
		g.flush()
	}
}

func (g *Gateway) checkIdle() {
	g.retireIdle()
	g.after(idleCheck, g.checkIdle)
}

func (g *Gateway) handle(ev event) {
	switch ev := ev.(type) {
	case arrived:
		g.arrived(ev.r)
	case abandoned:
		for _, r := range ev.reqs {
			g.abandon(r)
		}
	case connUp:
		g.connUp(ev)
	case connDown:
		g.connDown(ev)
	case replied:
		g.replied(ev)
	case counted:
		g.counted(ev)
	case Fleet:
		g.fleet(ev)
	case endAll:
		for _, r := range g.requests {
			g.cutOff(r)
		}
	}
	g.flush()
}

// tell queues an event for the module; flush hands it over.
func (g *Gateway) tell(ev logic.Event) { g.queue = append(g.queue, ev) }

// flush lets the module handle what is queued and carries out its actions, which may queue more.
func (g *Gateway) flush() {
	for i := 0; i < len(g.queue); i++ {
		g.actions = g.mod.Handle(g.now, g.queue[i], g.actions[:0])
		for _, a := range g.actions {
			g.act(a)
		}
	}
	clear(g.queue)
	g.queue = g.queue[:0]
}

func (g *Gateway) act(a logic.Action) {
	switch a := a.(type) {
	case logic.Send:
		g.send(a)
	case logic.Cancel:
		if r := g.requests[a.ID]; r != nil && a.Attempt < len(r.attempts) {
			g.giveUp(r.attempts[a.Attempt], logic.Cancelled)
		}
	case logic.Refuse:
		g.answer(g.requests[a.ID], Answer{Kind: Refused, RetryAfter: a.RetryAfter})
	case logic.Fail:
		g.answer(g.requests[a.ID], Answer{Kind: Failed})
	case logic.SetTimer:
		g.after(a.After, func() { g.tell(logic.TimerFired{}) })
	case logic.Count:
		g.count(a)
	case logic.Probe:
		g.probe(a.Server)
	case logic.CloseIdle:
		if be := g.backends[a.Server]; be != nil {
			for len(be.idle) > 0 {
				g.closeIdle(be)
			}
		}
	case logic.Watch, logic.Fetch: // the watch is always on: the list held is the answer
		g.tell(g.held())
	case logic.Log:
		g.log.Info(a.Text)
	default:
		g.log.Warn("no such action on sockets", "action", fmt.Sprintf("%T", a))
	}
}

// --- requests ---

func (g *Gateway) arrived(r *request) {
	// Many clients with large bodies must not fill the memory: beyond the bounds nothing is taken.
	if len(g.requests) >= g.net.MaxOpen || g.heldBytes+r.size > g.mostHeld {
		r.final = true
		r.place.Answer(Answer{Kind: Refused, RetryAfter: fullRetry})
		return
	}
	if g.keys[r.key] { // the one who asked first has its answer, and nobody else
		r.final = true
		r.place.Answer(Answer{Kind: Repeated})
		return
	}
	g.lastID++
	r.ID = g.lastID
	g.requests[r.ID], g.keys[r.key] = r, true
	g.heldBytes += r.size
	g.tell(logic.Arrival{Request: r.Request})
	g.at(r.GiveUpAt+overdue, func() {
		delete(g.keys, r.key)
		g.cutOff(r)
	})
}

// answer gives the final answer, once.
func (g *Gateway) answer(r *request, a Answer) {
	if r == nil || r.final {
		return
	}
	r.final = true
	r.place.Answer(a)
	g.forget(r)
}

// abandon ends a request whose client has gone.
func (g *Gateway) abandon(r *request) {
	if r.final {
		return
	}
	r.final = true
	g.tell(logic.Abandoned{ID: r.ID})
	g.forget(r)
}

// cutOff fails a request that the module has left unanswered until the last moment.
func (g *Gateway) cutOff(r *request) {
	if r.final {
		return
	}
	g.log.Warn("no answer in time", "class", r.Class, "attempts", len(r.attempts))
	g.answer(r, Answer{Kind: Failed})
	g.tell(logic.Abandoned{ID: r.ID})
}

func (g *Gateway) forget(r *request) {
	if r.final && r.out == 0 {
		g.heldBytes -= r.size
		delete(g.requests, r.ID)
		r.args, r.place, r.attempts = nil, nil, nil // its timer may hold it for seconds more
	}
}

// --- attempts ---

func (g *Gateway) send(s logic.Send) {
	r, be := g.requests[s.ID], g.backends[s.Server]
	if r == nil {
		return
	}
	if be == nil { // gone and forgotten
		be = &backend{Server: logic.Server{ID: s.Server, State: logic.Gone}}
	}
	a := &attempt{req: r, n: len(r.attempts), be: be, began: g.now, stop: r.GiveUpAt}
	if s.StopAt > 0 {
		a.stop = min(s.StopAt, r.GiveUpAt)
	}
	r.attempts = append(r.attempts, a)
	r.out++
	if r.final || a.stop <= g.now || a.n >= g.cfg.Settings.MaxAttempts || be.State != logic.Running {
		g.end(a, logic.Moot, reply{})
		return
	}
	g.at(a.stop, func() { g.giveUp(a, logic.TimedOut) })
	g.place(a)
}

// end tells the module how an attempt ended, once; the first that is served answers the client.
func (g *Gateway) end(a *attempt, o logic.Outcome, rep reply) {
	if a.ended {
		return
	}
	a.ended = true
	r := a.req
	if r == nil {
		g.tell(logic.ProbeEnded{Server: a.be.ID, Outcome: o, Took: g.now - a.began, Load: rep.load})
		return
	}
	if o == logic.Done && rep.value == nil {
		o = logic.Failed
	}
	if o == logic.Done && !r.final {
		r.final = true
		r.place.Answer(Answer{Kind: Served, Value: rep.value})
	}
	r.out--
	g.tell(logic.AttemptEnded{ID: r.ID, Attempt: a.n, Server: a.be.ID, Outcome: o, Took: g.now - a.began,
		Finished: r.final, Load: rep.load})
	g.forget(r)
}

func (g *Gateway) probe(id logic.ServerID) {
	be := g.backends[id]
	if be == nil {
		return
	}
	a := &attempt{be: be, began: g.now, stop: g.now + probeTimeout}
	g.at(a.stop, func() { g.giveUp(a, logic.TimedOut) })
	g.place(a)
}

// --- the list and the counter ---

func (g *Gateway) fleet(f Fleet) {
	ev := logic.FleetChanged{Whole: f.All}
	if f.All {
		for _, be := range g.backends {
			be.State = logic.Gone
		}
	}
	for _, t := range f.Targets {
		s := t.server()
		be := g.backends[s.ID]
		if be == nil {
			be = &backend{}
			g.backends[s.ID] = be
		}
		be.Server = s
		if s.State != logic.Gone {
			be.addr = t.Endpoint
		}
		ev.Servers = append(ev.Servers, s)
	}
	g.retireIdle()
	g.tell(ev)
	for _, be := range g.backends {
		g.drop(be)
	}
}

// held is the list as it stands.
func (g *Gateway) held() logic.Event {
	ev := logic.FleetChanged{Whole: true}
	for _, be := range g.backends {
		if be.State != logic.Gone {
			ev.Servers = append(ev.Servers, be.Server)
		}
	}
	return ev
}

// counted is the event of an answer of the shared counter.
type counted struct {
	call   *store.Call
	result store.Result
}

func (g *Gateway) count(a logic.Count) {
	k := &store.Call{Name: a.Name, Amount: a.Add, Keep: a.Keep}
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
func (g *Gateway) counted(ev counted) {
	if !ev.call.End() {
		return
	}
	o := logic.TimedOut // may have been added
	switch {
	case ev.result.Certainty == store.NotAdded:
		o = logic.NoConnect
	case ev.result.Certainty == store.Added && ev.result.Seen:
		o = logic.Done
	case ev.result.Certainty == store.Added:
		o = logic.Failed
	}
	g.tell(logic.CountReply{Name: ev.call.Name, Outcome: o, Total: ev.result.Total})
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

func (g *Gateway) at(t time.Duration, ring func()) { heap.Push(&g.alarms, alarm{t, ring}) }

func (g *Gateway) after(d time.Duration, ring func()) { g.at(g.now+d, ring) }
