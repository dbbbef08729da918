// Package logic decides for one gateway of a metered service; api.go has its settings, events and actions.
//
// A request spends units of its customer's leased block (lease), or of one leased as it comes (ask). It joins
// the queue of its priority, class worth x plan price, and leaves when the AIMD window of attempts has room,
// highest first (release). The choice of server, hedges, retries and slow starts never change that order.
// A Gateway is single-threaded: the clock comes with the events, chance from the seed.
package policy

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	sweepsPerObjective         = 50                           // sweeps in the shortest aim: held requests overstay by 2% of it
	lostCounterShare           = 0.3                          // share of asked requests: below, the counter is as good as silent
	minCounterCallShare        = 0.05                         // the same at least, to find a counter that is back
	turnsPerObjective          = 8                            // turns at a customer's cap in the shortest aim
	counterNameRetention       = 60 * time.Second             // the counter keeps no name for longer
	epochLength                = counterNameRetention * 5 / 6 // window of a name: within it the allowance grows at the rate
	blockDemandSeconds         = 0.6                          // seconds of a customer's demand that a block holds
	exhaustedCallInterval      = 250 * time.Millisecond       // between calls of a customer whose room is gone
	initialAttemptsPerBackend  = 4.0                          // first window: attempts for each server, two cores of two
	untimelyShareLimit         = 0.1                          // share of untimely answers in a round that narrows the window
	minAffectedShare           = 0.25                         // untimely answers from fewer servers are theirs, not the fleet's
	maxWindowGrowth            = 0.05                         // growth of a small window by one timely answer
	windowDecrease             = 0.85                         // multiplicative decrease
	minWindow                  = 0.1                          // so that a gateway still learns: an attempt each ten round trips
	maxRoundTrips              = 4.0                          // round trips that a round stands for at most: half the window
	retryRatio                 = 0.15                         // further attempts that a first one earns
	hedgeDeviations            = 3.0                          // mean deviations over the mean, after which a second copy goes
	expiryDeviations           = 2.0                          // the same, within which nearly all answers come
	slownessGain               = 0.15                         // weight of one answer in a server's relative latency
	failurePenalty             = 8.0                          // what a failed attempt counts for, in mean latencies
	crawlingSlowness           = 4.0                          // relative latency of a server that is sent one attempt at a time
	lastResortFactor           = 100.0                        // factor on a server that is taken only where there is no other
	failuresToEject            = 3                            // failures in a row that eject a server
	slowStartIdleSeconds       = 2.0                          // seconds; then a cold server has its turn like a warm one
	slowStartRateFactor        = 1.5                          // sends to a cold server, in what a warm one so small answers
	slownessHalfLifeObjectives = 8.0                          // longest aims after which half of a server's slowness is forgotten
)

// Gateway decides for one gateway; see the package comment.
type Engine struct {
	settings                        Settings
	rng                             *rand.Rand
	now                             time.Duration
	actions                         []Action
	sweepInterval, longestObjective time.Duration // time between sweeps; longest aim of a class
	timerRunning, watchingEndpoints bool          // the sweep runs; changes of the fleet list come

	classes     map[string]*class
	plans       map[string]*Plan
	tenants     map[string]*tenant
	tenantOrder []*tenant // in order of first sight
	idleCursor  int       // next of the roster to look at

	requests     map[RequestID]*request
	openRequests []*request // in order of arrival
	queue        []*request // the priority queues end to end: highest worth first, in order of arrival within one

	window, meanLatency                float64 // attempts that may be out; mean latency of answers, seconds
	inFlight, predecessorInFlight      int     // attempts that fill the window; those of them that another process has out
	roundNumber                        int
	untimelyLastRound                  int           // untimely ends in the round before
	timely, untimely, untimelyBackends int           // in this round: timely and untimely ends, servers with untimely ones
	roundEnd, lastSent                 time.Duration // when the window's round ends; last attempt out
	retryBudget                        float64       // budget of further attempts

	backends            map[BackendID]*backend
	running             []*backend
	answerRate          float64 // answers a second to this gateway
	answerRateAt        time.Duration
	answeringBackends   float64 // servers that they came from, until others have taken their place
	answeringBackendsAt time.Duration
	backendAnswerRate   float64 // of eachAnswers, as of eachAt
	backendAnswerRateAt time.Duration
	subsetCount         int                        // parts of the fleet, of which this gateway prefers one
	unreachable         map[string]unreachableZone // halls none of whose servers has answered since some could not be reached
	slowStartTokens     float64                    // sends to cold servers that are saved up, of many gateways
	slowStartTokensAt   time.Duration

	zones          map[string]*zoneState
	availableShare float64       // of the halls' capacity
	minRetryAfter  time.Duration // least retry-after while a hall returns

	allocations      *Allocations // of customers, held by agreement with others; nil: all are even
	counterCallShare float64      // share of the sparse customers' requests that the counter is asked for
	largeFleet       bool         // so many gateways that none sees much of a customer or of a server
	counterFailures  int
}

type class struct {
	Class
	meanLatency, latencyDeviation float64 // latency of answers, seconds
	timely, untimely              int     // timely and untimely ends in this round
}

// takes is the latency to reckon with: the mean, and so many mean deviations more.
func (c *class) expectedLatency(devs float64) time.Duration {
	return time.Duration((c.meanLatency + devs*c.latencyDeviation) * float64(time.Second))
}

type request struct {
	Request
	class                  *class
	plan                   *Plan
	tenant                 *tenant
	arrivedAt              time.Duration
	queuedPriority         float64 // worth, as queued
	counterName            string  // name that the counter was asked for
	counterUnits           float64 // units that the counter was told
	insideProbability      float64 // that it is inside its quota, where that is a guess; 0: it is known
	excess                 bool    // sent on beyond the quota
	charged, granted       bool    // its units came from the block; from the counter, within the ceiling
	queued, sent, finished bool    // in the queue; first attempt has gone; answered for good
	late, streaming        bool    // the aim can no longer be met; the answer has begun
	attempts               []*attempt
	outstanding            int
	reason                 Reason // what keeps it
}

type attempt struct {
	index                         int
	backend                       *backend
	zone                          string // of s when it was sent: the list may move a server
	cell                          int
	sentAt                        time.Duration
	ended, writtenOff, mayHaveRun bool // lost: out for so long that it no longer fills the window
}

// New returns a gateway, or an error where the settings cannot be decided with.
func New(set Settings, seed uint64) (*Engine, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	g := &Engine{
		settings: set, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), sweepInterval: time.Second,
		classes: map[string]*class{}, plans: map[string]*Plan{}, tenants: map[string]*tenant{},
		requests: map[RequestID]*request{}, backends: map[BackendID]*backend{}, availableShare: 1, counterCallShare: 1,
		zones: map[string]*zoneState{}, unreachable: map[string]unreachableZone{}, largeFleet: set.Instances > maxSmallFleet,
	}
	g.slowStartTokens = g.rng.Float64()
	for _, c := range set.Classes {
		g.classes[c.Name] = &class{Class: c}
		g.sweepInterval = min(g.sweepInterval, max(c.LatencyObjective/sweepsPerObjective, time.Millisecond))
		g.longestObjective = max(g.longestObjective, c.LatencyObjective)
	}
	for _, p := range set.Plans {
		p.Burst = max(p.Burst, set.MaxUnits, 1) // a store that can never hold a request would shut all out
		g.plans[p.Name] = &p
	}
	g.settings.CounterTimeout = max(set.CounterTimeout, time.Millisecond)
	return g, nil
}

// Handle tells the gateway one event at a time on its clock; it appends what is to be done to out.
func (e *Engine) Handle(now time.Duration, ev Event, out []Action) []Action {
	e.now, e.actions = max(now, e.now), out
	if !e.timerRunning {
		e.timerRunning = true
		e.emit(SetTimer{After: e.sweepInterval})
	}
	switch ev := ev.(type) {
	case Arrival:
		e.handleArrival(ev.Request)
	case AttemptEnded:
		e.handleAttemptEnded(ev)
	case StreamStarted:
		if r := e.requests[ev.ID]; r != nil {
			r.streaming = true
		}
	case Disconnected:
		if r := e.requests[ev.ID]; r != nil && !r.finished {
			e.finish(r)
		}
	case EndpointsChanged:
		e.handleEndpointsChanged(ev)
	case TimerFired:
		e.sweep()
	case CounterReply:
		e.handleCounterReply(ev)
	case ZonesChanged:
		e.handleZonesChanged(ev)
	}
	e.sendQueued()
	return e.actions
}

func (e *Engine) emit(a Action) { e.actions = append(e.actions, a) }

// tick is the sweep: expired and overdue requests first, so that no freed slot goes to a dead one.
func (e *Engine) sweep() {
	e.emit(SetTimer{After: e.sweepInterval})
	if e.settings.PollEndpoints && !e.watchingEndpoints {
		e.watchingEndpoints = true
		e.emit(WatchEndpoints{})
	}
	e.endWindowRound()
	e.openRequests = slices.DeleteFunc(e.openRequests, func(r *request) bool {
		if e.checkOverdue(r); r.queued || !r.sent && !r.finished {
			e.expire(r)
		}
		if r.finished && r.outstanding == 0 {
			delete(e.requests, r.ID)
		}
		return r.finished && r.outstanding == 0
	})
	for range (len(e.tenantOrder) + sweepsPerObjective - 1) / sweepsPerObjective {
		e.checkIdleTenant()
	}
}

func (e *Engine) handleArrival(q Request) {
	r := &request{Request: q, class: e.classes[q.Class], plan: e.plans[q.Plan], arrivedAt: e.now}
	if r.class == nil { // unknown: unsafe to repeat
		r.class = &class{Class: Class{Name: q.Class, LatencyObjective: max(q.GiveUpAt-e.now, time.Millisecond)}}
	}
	if r.plan == nil {
		r.plan = &Plan{Name: q.Plan, Price: 1}
	}
	r.Units = cmp.Or(max(r.Units, 0), 1)
	r.tenant = e.tenantFor(r)
	e.requests[q.ID] = r
	e.openRequests = append(e.openRequests, r)
	if p := q.Prior; p != nil { // begun at another gateway: it is bound as a repeat is
		at := &backend{Backend: Backend{Zone: p.Zone, Cell: p.Cell}}
		first := &attempt{backend: at, zone: p.Zone, cell: p.Cell, sentAt: p.At, ended: true, mayHaveRun: true}
		r.attempts, r.sent = []*attempt{first}, true
	}
	if q.Charged {
		e.enqueue(r)
	} else {
		e.decideQuota(r)
	}
	if !r.sent && !r.finished {
		e.expire(r) // it may come with less time than a sweep takes
	}
}

// settle lets a request into the queues by what is known of its customer's store.
func (e *Engine) applyQuota(r *request, inside bool) {
	if r.excess = !inside; r.excess && (r.plan.ExcessWeight <= r.plan.ExcessCost || e.overloaded()) {
		r.reason = cmp.Or(r.reason, Quota) // else it earns more than it costs, and nobody inside a quota waits
		e.reject(r, e.quotaRetryAfter(r))
		return
	}
	e.enqueue(r)
	e.sendQueued()
}

// worth is the request's priority: class worth x plan price, times what is left of it.
func (r *request) currentPriority() float64 {
	w := r.class.PriorityWeight * r.plan.Price
	if r.excess {
		w *= r.plan.ExcessWeight
	}
	if r.insideProbability > 0 { // what it is worth on the average, with the cost of being wrong
		w *= max(0.01, r.insideProbability*(1+r.plan.ExcessCost)-r.plan.ExcessCost)
	}
	if r.late {
		w *= r.class.LateShare
	}
	return w
}

// pressed says whether requests inside their quotas wait, or are about to.
func (e *Engine) overloaded() bool {
	return len(e.queue) > 0 || float64(e.inFlight) > max(1, 0.7*e.window)
}
