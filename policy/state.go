package policy

import (
	"math"
	"strings"
	"time"
)

// Learned is what a gateway knows, as facts with their times, for another process of the same gateway. It holds nothing of
// requests but how much is out for them.
type LearnedState struct {
	Window           float64          `json:"Window"`
	Lag              float64          `json:"Lag"`
	AnswerRate       float64          `json:"Flow"`
	AnswerRateAt     time.Duration    `json:"FlowAt"`
	CounterCallShare float64          `json:"AskShare"`
	InFlight         int              `json:"Busy"` // attempts that fill the window
	Classes          []LearnedClass   `json:"Classes"`
	Backends         []LearnedBackend `json:"Servers"`
	Tenants          []LearnedTenant  `json:"Customers"`
}

// LearnedClass is a class's latency, in seconds.
type LearnedClass struct {
	Name      string  `json:"Name"`
	Mean      float64 `json:"Mean"`
	Deviation float64 `json:"Dev"`
}

// LearnedServer is what is known of a server that was started at a time.
type LearnedBackend struct {
	ID                  BackendID     `json:"ID"`
	Started             time.Duration `json:"Started"`
	SlownessAt          time.Duration `json:"SlowAt"`
	LastSent            time.Duration `json:"LastSent"`
	EjectedUntil        time.Duration `json:"Banned"`
	Slowness            float64       `json:"Slow"`
	ConsecutiveFailures int           `json:"Fails"`
}

// LearnedCustomer is the picture of a customer's store, and what is leased of it.
type LearnedTenant struct {
	ID              string        `json:"ID"`
	Plan            string        `json:"Plan"` // ID: the books' name, Request.Account
	Tenant          string        `json:"Customer"`
	Spread          int           `json:"Spread"`
	First           int           `json:"First"`
	LeasedUnits     float64       `json:"Block"`
	UnreportedUnits float64       `json:"Owed"` // leased and not spent; to tell the counter
	Level           float64       `json:"Level"`
	Demand          float64       `json:"Demand"`
	Others          float64       `json:"Others"`
	LevelAt         time.Duration `json:"At"`
	TotalAt         time.Duration `json:"Looked"`
	ExhaustedUntil  time.Duration `json:"Spent"`
	Epoch           int64         `json:"Epoch"`
	Total           float64       `json:"Total"`
	ObservedUnits   float64       `json:"SeenUnits"`
	ObservedFor     float64       `json:"SeenFor"`
	ObservedAt      time.Duration `json:"SeenAt"`
	LastRequest     time.Duration `json:"Seen"`
	NextCounterCall time.Duration `json:"NextCall"`
	RefreshedAt     time.Duration `json:"Refreshed"`
	CounterSilent   bool          `json:"Silent"`
	CeilingLevel    float64       `json:"Ceiling"`
	CeilingAt       time.Duration `json:"CeilingAt"`
	InFlight        int           `json:"Open"` // attempts out
	Share           float64       `json:"Part"` // held of the plan's figures
}

// Learned returns what is known now.
func (g *Engine) ExportState() LearnedState {
	l := LearnedState{Window: g.window, Lag: g.lag, AnswerRate: g.flow, AnswerRateAt: g.flowAt, CounterCallShare: g.askShare, InFlight: g.busy}
	for _, c := range g.set.Classes {
		if k := g.classes[c.Name]; k.mean > 0 {
			l.Classes = append(l.Classes, LearnedClass{c.Name, k.mean, k.dev})
		}
	}
	for _, s := range g.fleet {
		l.Backends = append(l.Backends, LearnedBackend{
			ID: s.ID, Started: s.Started, SlownessAt: s.slowAt, LastSent: s.lastSent, EjectedUntil: s.banned,
			Slowness: s.slow, ConsecutiveFailures: s.fails,
		})
	}
	for _, c := range g.roster {
		l.Tenants = append(l.Tenants, LearnedTenant{
			ID: c.id, Tenant: c.who, Plan: c.plan.Name, Spread: c.spread,
			First: (g.set.Index - c.place + g.set.Instances) % g.set.Instances, LeasedUnits: c.block, UnreportedUnits: c.owed, Level: c.level, Demand: c.demand,
			Others: c.others, LevelAt: c.at, TotalAt: c.looked, ExhaustedUntil: c.spent, Epoch: c.epoch, Total: c.total, ObservedUnits: c.seenUnits,
			ObservedFor: c.seenFor, ObservedAt: c.seenAt, LastRequest: c.seen, NextCounterCall: c.nextCall, RefreshedAt: c.refreshed, CounterSilent: c.silent,
			CeilingLevel: c.ceiling, CeilingAt: c.ceilingAt, InFlight: c.open, Share: 1 / c.ways,
		})
	}
	return l
}

// Learn takes over what another process knew. Its attempts that are out count here until Release.
func (g *Engine) ImportState(now time.Duration, l LearnedState) {
	g.now = max(now, g.now)
	g.ReleasePredecessor()
	if l.Window > 0 {
		g.window, g.askShare = max(l.Window, leastWindow), min(1, max(l.CounterCallShare, leastAsked))
		g.lag, g.flow, g.flowAt = l.Lag, l.AnswerRate, l.AnswerRateAt
	}
	for _, k := range l.Classes {
		if c := g.classes[k.Name]; c != nil {
			c.mean, c.dev = k.Mean, k.Deviation
		}
	}
	for _, k := range l.Backends {
		if s := g.servers[k.ID]; s != nil && s.Started == k.Started {
			s.slow, s.slowAt, s.lastSent, s.fails, s.banned = max(k.Slowness, 0.01), k.SlownessAt, k.LastSent, k.ConsecutiveFailures, k.EjectedUntil
		}
	}
	for _, k := range l.Tenants {
		if p := g.plans[k.Plan]; p != nil && k.ID != "" {
			g.learnCustomer(p, k)
		}
	}
	g.lentBusy = l.InFlight
	g.busy += l.InFlight
}

func (g *Engine) learnCustomer(p *Plan, k LearnedTenant) {
	if k.Tenant == "" { // told by a version whose books were the customer's alone, under another name at the counter
		k.Tenant, _, _ = strings.Cut(k.ID, "/")
		k.Epoch, k.Total = -1, 0
	}
	c := g.customer(&request{Request: Request{Tenant: k.Tenant, Plan: k.Plan, Spread: k.Spread, First: max(k.First, 0)}, plan: p})
	c.block, c.owed, c.level, c.demand, c.others = k.LeasedUnits, k.UnreportedUnits, k.Level, k.Demand, k.Others
	c.at, c.looked, c.spent, c.epoch, c.total = k.LevelAt, k.TotalAt, k.ExhaustedUntil, k.Epoch, k.Total
	c.seenUnits, c.seenFor, c.seenAt, c.seen, c.refreshed = k.ObservedUnits, k.ObservedFor, k.ObservedAt, k.LastRequest, k.RefreshedAt
	c.nextCall, c.silent, c.ceiling, c.ceilingAt = k.NextCounterCall, k.CounterSilent, k.CeilingLevel, k.CeilingAt
	c.lent = k.InFlight
	c.open += k.InFlight
}

// Release ends what Learn has counted for the other process: nothing of it is out any more.
func (g *Engine) ReleasePredecessor() {
	g.busy -= g.lentBusy
	g.lentBusy = 0
	for _, c := range g.roster {
		c.open -= c.lent
		c.lent = 0
	}
}

// Keep lays down what is left here of the units of each customer, in the order of Learned, after the rest was given to another
// process of this gateway. From then on stores and ceilings do not fill here any more: they do there.
func (g *Engine) RetainUnits(kept []LearnedTenant) {
	for _, k := range kept {
		if c := g.customers[k.ID]; c != nil {
			c.block, c.owed, c.ceiling = k.LeasedUnits, k.UnreportedUnits, k.CeilingLevel
			c.level = min(0, c.level) - c.plan.Burst/2 // what the store fills with is lent there
		}
	}
	for _, p := range g.plans {
		p.CeilingRate = min(p.CeilingRate, math.SmallestNonzeroFloat32)
	}
}

// Hear takes over how slow servers are to be reckoned with by what other gateways say, in mean latencies; those that are not
// named are left to what this one sees itself. One at Try is to be tried: what is remembered of it here is put aside as well.
// Nothing here is told on as this gateway's own.
func (g *Engine) SetPeerSlowness(slow map[BackendID]float64) {
	for id, s := range g.servers {
		if s.heard = slow[id]; s.heard == ProbationSlowness {
			s.slow, s.slowAt, s.fails, s.banned = ProbationSlowness, g.now, 0, 0
		}
	}
}

// Try is the slowness, for Hear, of a server that is to be tried: it is sooner chosen than one that is as fast as all.
const ProbationSlowness = 0.5

// Standing is how a customer's quota stands at a gateway beside what Learned tells.
type QuotaStanding struct {
	QueuedUnits    float64 // units taken from the block by requests that have not gone out
	AvailableUnits float64 // the store's level by now, as this gateway pictures it, less all leases it knows of
	Sparse         bool    // no blocks: each request is asked for
	Escrowed       bool    // parts are held by agreement with the others, who reckon with what is spent here unheard
}

// Standings are those of all customers.
func (g *Engine) QuotaStandings() map[string]QuotaStanding {
	out := map[string]QuotaStanding{}
	for _, c := range g.roster {
		out[c.id] = QuotaStanding{AvailableUnits: g.room(c), Sparse: c.sparse, Escrowed: g.parts != nil && c.spread > 1}
	}
	for _, r := range g.live {
		if r.charged && !r.sent && !r.final {
			s := out[r.cust.id]
			s.QueuedUnits += r.Units
			out[r.cust.id] = s
		}
	}
	return out
}

// Parts are what this gateway holds, by agreement with the others, of what customers may use: of the rate, the burst, the ceiling and the
// cap. Parts of one customer at all gateways together are one at the most, whatever is lost between them.
type Allocations struct {
	Default   float64               // of the even part, where a customer is not named
	ByAccount map[string]Allocation // by Request.Account
}

// Part is one customer's.
type Allocation struct {
	Share      float64 // held here, of one
	Unreported float64 // held by those who spend without the counter's hearing of it
}

// of is a customer's part, one in so many, and the part that is spent unheard. Without any agreement each gateway has an even part.
func (p *Allocations) of(c *customer) (ways, away float64) {
	ways = float64(c.spread)
	if p == nil {
		return ways, 0
	}
	if x, named := p.ByAccount[c.id]; named {
		return 1 / min(1, max(leastPart, x.Share)), min(1, max(0, x.Unreported))
	}
	return ways / min(1, max(leastPart, p.Default)), 0
}

// leastPart is as good as none.
const leastPart = 1e-9

// Hold takes over what this gateway holds from now on. What was let into its block before stays.
//
// After a time in which this process did not run (stopped), nothing has come to it meanwhile: what it held then may have ended.
func (g *Engine) SetAllocations(now time.Duration, p Allocations, stopped bool) {
	g.now = max(now, g.now)
	g.parts = &p
	for _, c := range g.roster {
		if stopped {
			c.refreshed, c.ceilingAt = g.now, g.now
		}
		g.repart(c)
	}
}

// repart brings this gateway's part of a customer's plan up to date, after what it depends on has changed. What has filled until now came by the
// part that was.
func (g *Engine) repart(c *customer) {
	ways, away := g.parts.of(c)
	if ways == c.ways && away == c.away {
		return
	}
	g.refresh(c)
	c.level, c.at = c.level+c.filled(g.now), g.now
	filled := c.ceiling + c.plan.CeilingRate/c.ways*(g.now-c.ceilingAt).Seconds()
	c.ceiling, c.ceilingAt = min(filled, c.plan.CeilingBurst/c.ways, c.plan.CeilingBurst/ways), g.now
	c.ways, c.away = ways, away
}

// Need is what a customer asks for here beside what this gateway holds of it.
type QuotaNeed struct {
	Account       string // Request.Account
	Spread, First int
	Rate          float64 // units a second
	OthersRate    float64 // units a second that the counter's totals show of all others
	MaxInFlight   int     // of the cap, where parts of it are held
	WantedShare   float64 // the part with which what is asked for here would pass
	CounterLost   bool    // the counter is not heard
}

// Needs are those of the customers that come through several gateways and whose part counts for something, in order of first sight.
func (g *Engine) QuotaNeeds(now time.Duration) (out []QuotaNeed) {
	for _, c := range g.roster {
		if c.spread < 2 || c.plan.Rate <= 0 || c.sparse {
			continue
		}
		n := QuotaNeed{Account: c.id, Spread: c.spread, First: (g.set.Index - c.place + g.set.Instances) % g.set.Instances, Rate: c.plan.Rate, OthersRate: c.others, CounterLost: c.silent}
		demand := c.demand * math.Exp(-(now - c.refreshed).Seconds())
		if n.CounterLost {
			n.WantedShare = demand / c.plan.Rate
		}
		if c.plan.CeilingRate > 0 {
			n.WantedShare = max(n.WantedShare, demand/c.plan.CeilingRate)
		}
		if c.plan.MaxInFlight >= c.spread {
			n.MaxInFlight = c.plan.MaxInFlight
			n.WantedShare = max(n.WantedShare, float64(c.open)/float64(c.plan.MaxInFlight))
		}
		out = append(out, n)
	}
	return out
}
