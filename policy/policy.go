// Package policy decides for one instance of a metered ingress: which requests
// it admits, in which order and to which backend their attempts go, which of
// them are retried or hedged, and what is rejected.
//
// A request spends units of a block that its tenant leases from the shared
// counter, or, where blocks would be too small, of a grant that the counter
// gives for it alone. It then joins the queue of its priority, which is the
// priority weight of its class times the price of its plan, and leaves when the
// AIMD window of attempts has capacity, highest priority first. The choice of a
// backend, hedging, retries and slow start never change that order.
//
// Events go in and actions come out; the package does no I/O, starts no
// goroutine and reads no clock. Time comes with the events, chance from the
// seed. An [Engine] must not be used by two goroutines at once.
package policy

import (
	"math/rand/v2"
	"slices"
	"time"
)

// sweepsPerObjective is the number of sweeps in the shortest latency objective,
// so that queued requests overstay by 2% of it at most.
const sweepsPerObjective = 50

// Engine holds what one instance knows and decides for it; see the package
// comment.
type Engine struct {
	settings Settings
	rng      *rand.Rand
	now      time.Duration // time of the event that is handled
	actions  []Action      // what the event has led to so far

	sweepInterval     time.Duration
	longestObjective  time.Duration // longest latency objective of a class
	timerRunning      bool          // a SetTimer is out
	watchingEndpoints bool          // changes of the endpoint list come
	largeFleet        bool          // so many instances that each sees little of a tenant or a backend

	classes map[string]*class
	plans   map[string]*Plan

	requests     map[RequestID]*request
	openRequests []*request // in order of arrival
	queue        []*request // highest priority first, in order of arrival within one
	retryBudget  float64    // further attempts that may be sent

	tenants          map[string]*tenant // by Request.Account
	tenantOrder      []*tenant          // in order of their first requests
	idleCursor       int                // index in tenantOrder of the tenant checked last
	allocations      *Allocations       // agreed shares of tenants' plans; nil: all are even
	counterCallShare float64            // share of sparse tenants' requests for which the counter is called
	counterFailures  int                // failed counter calls in a row

	window      attemptWindow
	meanLatency float64 // of answers, in seconds

	backends    map[BackendID]*backend
	running     []*backend // those that serve by the endpoint list, by ID
	subsetCount int        // parts of the fleet, of which this instance prefers one

	answers           answerRate
	slowStartTokens   float64 // large fleet: saved-up sends to backends in slow start
	slowStartTokensAt time.Duration

	zones             map[string]*zoneState
	unreachable       map[string]unreachableZone // by zone, since a backend there last answered
	availableShare    float64                    // of the capacity of all zones
	minZoneRetryAfter time.Duration              // least Retry-After while a zone returns
}

// New returns the engine of an instance. It returns an error that names the
// field if the settings cannot be decided with.
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
	}
	for _, p := range settings.Plans {
		p.Burst = max(p.Burst, settings.MaxUnits, 1) // a burst under one request would admit nothing
		e.plans[p.Name] = &p
	}
	e.settings.CounterTimeout = max(settings.CounterTimeout, time.Millisecond)
	return e, nil
}

// Handle takes one event at a time on the instance's clock and appends the
// actions that it leads to, in the order in which they are to be done. A time
// before that of the last event counts as that one.
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

// sweep does what is due by time. It ends expired and overdue requests before
// anything is sent, so that no free slot goes to a request that cannot use it.
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

// sweepRequest looks after one request and reports whether nothing is left to
// do for it; it has been forgotten then.
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

// Stats returns, for people, the size of the window, the attempts that fill it,
// the requests that are queued and the backends that serve by the endpoint list.
func (e *Engine) Stats() (window float64, inFlight, queued, backends int) {
	return e.window.size, e.window.inFlight, len(e.queue), len(e.running)
}

// IsQueued reports whether a request waits in a queue, admitted by its tenant's
// quota.
func (e *Engine) IsQueued(id RequestID) bool {
	r := e.requests[id]
	return r != nil && r.phase == phaseQueued && !r.excess
}

// IsAvoided reports whether a backend that serves by the endpoint list is left
// out by choice: ejected after failures in a row, or with its zone.
func (e *Engine) IsAvoided(id BackendID) bool {
	b := e.backends[id]
	return b != nil && b.State == Running &&
		(b.unproven || b.ejectedUntil > e.now || e.unreachable[b.Zone].until > e.now)
}
