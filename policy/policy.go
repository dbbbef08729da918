// Package policy makes the decisions of one ingress instance: which requests to
// admit or reject, in which order and to which backend to send their attempts,
// and which attempts to retry or hedge.
//
// Each request spends units of its tenant's quota. The instance leases these
// units from the shared counter in blocks; for tenants whose blocks would be too
// small, the counter grants the units of each request separately. An admitted
// request is queued by priority, which is the priority weight of its class times
// the price of its plan. The highest priority is sent first, as soon as the AIMD
// window of attempts has capacity. Backend selection, hedging, retries and slow
// start never change that order.
//
// An [Engine] receives events and returns actions. It does no I/O, starts no
// goroutines and reads no clock: the time is passed with each event, and random
// numbers are derived from the seed. An Engine is not safe for concurrent use.
package policy

import (
	"math/rand/v2"
	"slices"
	"time"
)

// sweepsPerObjective is the number of sweeps within the shortest latency
// objective. Queued requests expire at most 2% of that objective too late.
const sweepsPerObjective = 50

// Engine holds the state of one instance and makes its decisions.
type Engine struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration // time of the event being handled
	actions  []Action      // actions emitted for the current event so far

	sweepInterval     time.Duration
	longestObjective  time.Duration // longest latency objective of all classes
	longestWait       time.Duration // after which no request that has arrived is open
	timerRunning      bool          // a SetTimer has been emitted
	watchingEndpoints bool          // a WatchEndpoints is active
	largeFleet        bool          // more than maxSmallFleet instances

	classes map[string]*class
	plans   map[string]*Plan

	requests     map[RequestID]*request
	openRequests []*request // in order of arrival
	queue        []*request // highest priority first; FIFO within one priority
	retryBudget  float64    // retries and hedged requests that may be sent

	tenants          map[string]*tenant // by Request.Account
	tenantOrder      []*tenant          // in order of their first requests; checkIdleTenant iterates over it
	idleCursor       int                // index in tenantOrder of the tenant that was checked last
	allocations      *Allocations       // agreed shares of tenants' plans; nil: equal shares
	counterCallShare float64            // share of sparse tenants' requests that call the counter
	counterFailures  int                // consecutive failed counter calls

	window      attemptWindow
	meanLatency float64 // of all responses, in seconds

	backends    map[BackendID]*backend
	running     []*backend // backends in state Running, sorted by ID
	subsetCount int        // number of backend subsets; this instance prefers one of them

	responses         responseRate
	slowStartTokens   float64 // large fleet: token bucket of attempts to backends in slow start
	slowStartTokensAt time.Duration

	zones             map[string]*zoneState
	unreachable       map[string]unreachableZone // by zone name; removed when a backend of the zone responds
	availableShare    float64                    // available share of the capacity of all zones
	minZoneRetryAfter time.Duration              // minimum Retry-After while a zone recovers
}

// New returns an engine for one instance. If the settings are invalid, it returns
// an error that describes the invalid value.
func New(settings Settings, seed uint64) (*Engine, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	e := &Engine{
		settings:         settings,
		rng:              rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)),
		sweepInterval:    time.Second,
		largeFleet:       settings.Instances > maxSmallFleet,
		classes:          map[string]*class{},
		plans:            map[string]*Plan{},
		tenants:          map[string]*tenant{},
		counterCallShare: 1,
		requests:         map[RequestID]*request{},
		backends:         map[BackendID]*backend{},
		unreachable:      map[string]unreachableZone{},
		zones:            map[string]*zoneState{},
		availableShare:   1,
	}
	e.slowStartTokens = e.rng.Float64()
	for _, c := range settings.Classes {
		e.classes[c.Name] = &class{Class: c}
		e.sweepInterval = min(e.sweepInterval, max(c.LatencyObjective/sweepsPerObjective, time.Millisecond))
		e.longestObjective = max(e.longestObjective, c.LatencyObjective)
		e.longestWait = max(e.longestWait, 2*c.Deadline)
	}
	for _, p := range settings.Plans {
		p.Burst = max(p.Burst, settings.MaxUnits, 1) // a smaller burst would admit no request
		e.plans[p.Name] = &p
	}
	e.settings.CounterTimeout = max(settings.CounterTimeout, time.Millisecond)
	return e, nil
}

// Handle processes one event and appends the resulting actions, in the order in
// which they must be executed. now is the instance's clock; a value before the
// time of the previous event is replaced by that time.
func (e *Engine) Handle(now time.Duration, event Event, actions []Action) []Action {
	e.now = max(now, e.now)
	e.actions = actions
	if !e.timerRunning {
		e.timerRunning = true
		e.emit(SetTimer{After: e.sweepInterval})
	}
	switch event := event.(type) {
	case Arrival:
		e.handleArrival(event.Request)
	case AttemptEnded:
		e.handleAttemptEnded(event)
	case StreamStarted:
		if r := e.requests[event.ID]; r != nil {
			r.streaming = true
		}
	case Disconnected:
		if r := e.requests[event.ID]; r != nil && r.phase != phaseFinished {
			e.finish(r)
		}
	case EndpointsChanged:
		e.handleEndpointsChanged(event)
	case TimerFired:
		e.sweep()
	case CounterReply:
		e.handleCounterReply(event)
	case ZonesChanged:
		e.handleZonesChanged(event)
	}
	e.sendQueued()
	return e.actions
}

func (e *Engine) emit(a Action) { e.actions = append(e.actions, a) }

// sweep runs the periodic work. It ends expired and overdue requests before
// anything is sent, so that no free slot of the window is used for a request that
// cannot be answered in time.
func (e *Engine) sweep() {
	e.emit(SetTimer{After: e.sweepInterval})
	if e.settings.PollEndpoints && !e.watchingEndpoints {
		e.watchingEndpoints = true
		e.emit(WatchEndpoints{})
	}
	e.endWindowRound()
	e.openRequests = slices.DeleteFunc(e.openRequests, e.sweepRequest)
	for range (len(e.tenantOrder) + sweepsPerObjective - 1) / sweepsPerObjective {
		e.checkIdleTenant()
	}
}

// sweepRequest runs the periodic checks of one request. It reports whether the
// request is done, in which case it has been deleted from e.requests.
func (e *Engine) sweepRequest(r *request) (done bool) {
	e.checkOverdue(r)
	if r.phase == phaseQueued || !r.sent && r.phase != phaseFinished {
		e.expire(r)
	}
	if r.phase != phaseFinished || r.outstanding > 0 {
		return false
	}
	delete(e.requests, r.ID)
	return true
}

// Stats returns the size of the window, the attempts in flight that count toward
// it, the number of queued requests and the number of running backends. It is
// meant for display, not for decisions.
func (e *Engine) Stats() (window float64, inFlight, queued, backends int) {
	return e.window.size, e.window.inFlight, len(e.queue), len(e.running)
}

// IsQueued reports whether a request is queued within its tenant's quota.
func (e *Engine) IsQueued(id RequestID) bool {
	r := e.requests[id]
	return r != nil && r.phase == phaseQueued && !r.overQuota
}

// IsAvoided reports whether a running backend gets no attempts, or only as a last
// resort: it is ejected after consecutive failures, its zone is unreachable, or it
// is unproven after the loss of its zone.
func (e *Engine) IsAvoided(id BackendID) bool {
	b := e.backends[id]
	return b != nil && b.State == Running &&
		(b.unproven || b.ejectedUntil > e.now || e.unreachable[b.Zone].until > e.now)
}
