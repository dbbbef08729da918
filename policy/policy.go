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
	sweepsPerAim = 50                     // sweeps in the shortest aim: held requests overstay by 2% of it
	counterLost  = 0.3                    // share of asked requests: below, the counter is as good as silent
	leastAsked   = 0.05                   // the same at least, to find a counter that is back
	turnsPerAim  = 8                      // turns at a customer's cap in the shortest aim
	nameKept     = 60 * time.Second       // the counter keeps no name for longer
	epochLength  = nameKept * 5 / 6       // window of a name: within it the allowance grows at the rate
	leaseAhead   = 0.6                    // seconds of a customer's demand that a block holds
	callGap      = 250 * time.Millisecond // between calls of a customer whose room is gone
	startPerHost = 4.0                    // first window: attempts for each server, two cores of two
	lateShareBad = 0.1                    // share of untimely answers in a round that narrows the window
	localShare   = 0.25                   // untimely answers from fewer servers are theirs, not the fleet's
	widenBy      = 0.05                   // growth of a small window by one timely answer
	narrowBy     = 0.85                   // multiplicative decrease
	leastWindow  = 0.1                    // so that a gateway still learns: an attempt each ten round trips
	mostTrips    = 4.0                    // round trips that a round stands for at most: half the window
	retryRatio   = 0.15                   // further attempts that a first one earns
	hedgeDevs    = 3.0                    // mean deviations over the mean, after which a second copy goes
	sureDevs     = 2.0                    // the same, within which nearly all answers come
	slowGain     = 0.15                   // weight of one answer in a server's relative latency
	failPenalty  = 8.0                    // what a failed attempt counts for, in mean latencies
	crawling     = 4.0                    // relative latency of a server that is sent one attempt at a time
	lastResort   = 100.0                  // factor on a server that is taken only where there is no other
	failsToBan   = 3                      // failures in a row that eject a server
	unused       = 2.0                    // seconds; then a cold server has its turn like a warm one
	coldRate     = 1.5                    // sends to a cold server, in what a warm one so small answers
	forgetAims   = 8.0                    // longest aims after which half of a server's slowness is forgotten
)

// Gateway decides for one gateway; see the package comment.
type Engine struct {
	set               Settings
	rng               *rand.Rand
	now               time.Duration
	out               []Action
	sweep, longAim    time.Duration // time between sweeps; longest aim of a class
	ticking, watching bool          // the sweep runs; changes of the fleet list come

	classes   map[string]*class
	plans     map[string]*Plan
	customers map[string]*customer
	roster    []*customer // in order of first sight
	swept     int         // next of the roster to look at

	requests map[RequestID]*request
	live     []*request // in order of arrival
	queue    []*request // the priority queues end to end: highest worth first, in order of arrival within one

	window, lag     float64 // attempts that may be out; mean latency of answers, seconds
	busy, lentBusy  int     // attempts that fill the window; those of them that another process has out
	roundNo         int
	lately          int           // untimely ends in the round before
	good, bad, hit  int           // in this round: timely and untimely ends, servers with untimely ones
	round, lastSent time.Duration // when the window's round ends; last attempt out
	retries         float64       // budget of further attempts

	servers map[BackendID]*server
	fleet   []*server
	flow    float64 // answers a second to this gateway
	flowAt  time.Duration
	hosts   float64 // servers that they came from, until others have taken their place
	hostsAt time.Duration
	each    float64 // of eachAnswers, as of eachAt
	eachAt  time.Duration
	rounds  int             // parts of the fleet, of which this gateway prefers one
	dark    map[string]dark // halls none of whose servers has answered since some could not be reached
	cold    float64         // sends to cold servers that are saved up, of many gateways
	coldAt  time.Duration

	halls map[string]*hall
	reach float64       // of the halls' capacity
	pace  time.Duration // least retry-after while a hall returns

	parts        *Allocations // of customers, held by agreement with others; nil: all are even
	askShare     float64      // share of the sparse customers' requests that the counter is asked for
	thin         bool         // so many gateways that none sees much of a customer or of a server
	counterFails int
}

type class struct {
	Class
	mean, dev float64 // latency of answers, seconds
	good, bad int     // timely and untimely ends in this round
}

// takes is the latency to reckon with: the mean, and so many mean deviations more.
func (c *class) takes(devs float64) time.Duration {
	return time.Duration((c.mean + devs*c.dev) * float64(time.Second))
}

type request struct {
	Request
	class             *class
	plan              *Plan
	cust              *customer
	arrived           time.Duration
	rank              float64 // worth, as queued
	lease             string  // name that the counter was asked for
	asked             float64 // units that the counter was told
	odds              float64 // that it is inside its quota, where that is a guess; 0: it is known
	beyond            bool    // sent on beyond the quota
	charged, granted  bool    // its units came from the block; from the counter, within the ceiling
	held, sent, final bool    // in the queue; first attempt has gone; answered for good
	late, stream      bool    // the aim can no longer be met; the answer has begun
	attempts          []*attempt
	outs              int
	why               Reason // what keeps it
}

type attempt struct {
	n                   int
	s                   *server
	zone                string // of s when it was sent: the list may move a server
	cell                int
	sent                time.Duration
	ended, lost, mayRun bool // lost: out for so long that it no longer fills the window
}

// New returns a gateway, or an error where the settings cannot be decided with.
func New(set Settings, seed uint64) (*Engine, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	g := &Engine{
		set: set, rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)), sweep: time.Second,
		classes: map[string]*class{}, plans: map[string]*Plan{}, customers: map[string]*customer{},
		requests: map[RequestID]*request{}, servers: map[BackendID]*server{}, reach: 1, askShare: 1,
		halls: map[string]*hall{}, dark: map[string]dark{}, thin: set.Instances > fewGateways,
	}
	g.cold = g.rng.Float64()
	for _, c := range set.Classes {
		g.classes[c.Name] = &class{Class: c}
		g.sweep = min(g.sweep, max(c.LatencyObjective/sweepsPerAim, time.Millisecond))
		g.longAim = max(g.longAim, c.LatencyObjective)
	}
	for _, p := range set.Plans {
		p.Burst = max(p.Burst, set.MaxUnits, 1) // a store that can never hold a request would shut all out
		g.plans[p.Name] = &p
	}
	g.set.CounterTimeout = max(set.CounterTimeout, time.Millisecond)
	return g, nil
}

// Handle tells the gateway one event at a time on its clock; it appends what is to be done to out.
func (g *Engine) Handle(now time.Duration, ev Event, out []Action) []Action {
	g.now, g.out = max(now, g.now), out
	if !g.ticking {
		g.ticking = true
		g.do(SetTimer{After: g.sweep})
	}
	switch ev := ev.(type) {
	case Arrival:
		g.arrive(ev.Request)
	case AttemptEnded:
		g.attemptEnded(ev)
	case StreamStarted:
		if r := g.requests[ev.ID]; r != nil {
			r.stream = true
		}
	case Disconnected:
		if r := g.requests[ev.ID]; r != nil && !r.final {
			g.close(r)
		}
	case EndpointsChanged:
		g.fleetChanged(ev)
	case TimerFired:
		g.tick()
	case CounterReply:
		g.counted(ev)
	case ZonesChanged:
		g.hallsChanged(ev)
	}
	g.release()
	return g.out
}

func (g *Engine) do(a Action) { g.out = append(g.out, a) }

// tick is the sweep: expired and overdue requests first, so that no freed slot goes to a dead one.
func (g *Engine) tick() {
	g.do(SetTimer{After: g.sweep})
	if g.set.PollEndpoints && !g.watching {
		g.watching = true
		g.do(WatchEndpoints{})
	}
	g.endRound()
	g.live = slices.DeleteFunc(g.live, func(r *request) bool {
		if g.watch(r); r.held || !r.sent && !r.final {
			g.expire(r)
		}
		if r.final && r.outs == 0 {
			delete(g.requests, r.ID)
		}
		return r.final && r.outs == 0
	})
	for range (len(g.roster) + sweepsPerAim - 1) / sweepsPerAim {
		g.settleIdle()
	}
}

func (g *Engine) arrive(q Request) {
	r := &request{Request: q, class: g.classes[q.Class], plan: g.plans[q.Plan], arrived: g.now}
	if r.class == nil { // unknown: unsafe to repeat
		r.class = &class{Class: Class{Name: q.Class, LatencyObjective: max(q.GiveUpAt-g.now, time.Millisecond)}}
	}
	if r.plan == nil {
		r.plan = &Plan{Name: q.Plan, Price: 1}
	}
	r.Units = cmp.Or(max(r.Units, 0), 1)
	r.cust = g.customer(r)
	g.requests[q.ID] = r
	g.live = append(g.live, r)
	if p := q.Prior; p != nil { // begun at another gateway: it is bound as a repeat is
		at := &server{Backend: Backend{Zone: p.Zone, Cell: p.Cell}}
		first := &attempt{s: at, zone: p.Zone, cell: p.Cell, sent: p.At, ended: true, mayRun: true}
		r.attempts, r.sent = []*attempt{first}, true
	}
	if q.Charged {
		g.hold(r)
	} else {
		g.ask(r)
	}
	if !r.sent && !r.final {
		g.expire(r) // it may come with less time than a sweep takes
	}
}

// settle lets a request into the queues by what is known of its customer's store.
func (g *Engine) settle(r *request, inside bool) {
	if r.beyond = !inside; r.beyond && (r.plan.ExcessWeight <= r.plan.ExcessCost || g.pressed()) {
		r.why = cmp.Or(r.why, Quota) // else it earns more than it costs, and nobody inside a quota waits
		g.refuse(r, g.untilRoom(r))
		return
	}
	g.hold(r)
	g.release()
}

// worth is the request's priority: class worth x plan price, times what is left of it.
func (r *request) worth() float64 {
	w := r.class.PriorityWeight * r.plan.Price
	if r.beyond {
		w *= r.plan.ExcessWeight
	}
	if r.odds > 0 { // what it is worth on the average, with the cost of being wrong
		w *= max(0.01, r.odds*(1+r.plan.ExcessCost)-r.plan.ExcessCost)
	}
	if r.late {
		w *= r.class.LateShare
	}
	return w
}

// pressed says whether requests inside their quotas wait, or are about to.
func (g *Engine) pressed() bool { return len(g.queue) > 0 || float64(g.busy) > max(1, 0.7*g.window) }
