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
func (e *Engine) ExportState() LearnedState {
	l := LearnedState{Window: e.window, Lag: e.meanLatency, AnswerRate: e.answerRate, AnswerRateAt: e.answerRateAt, CounterCallShare: e.counterCallShare, InFlight: e.inFlight}
	for _, c := range e.settings.Classes {
		if k := e.classes[c.Name]; k.meanLatency > 0 {
			l.Classes = append(l.Classes, LearnedClass{c.Name, k.meanLatency, k.latencyDeviation})
		}
	}
	for _, s := range e.running {
		l.Backends = append(l.Backends, LearnedBackend{
			ID: s.ID, Started: s.Started, SlownessAt: s.slownessAt, LastSent: s.lastSent, EjectedUntil: s.ejectedUntil,
			Slowness: s.slowness, ConsecutiveFailures: s.consecutiveFailures,
		})
	}
	for _, c := range e.tenantOrder {
		l.Tenants = append(l.Tenants, LearnedTenant{
			ID: c.account, Tenant: c.name, Plan: c.plan.Name, Spread: c.spread,
			First: (e.settings.Index - c.position + e.settings.Instances) % e.settings.Instances, LeasedUnits: c.leasedUnits, UnreportedUnits: c.unreportedUnits, Level: c.level, Demand: c.demand,
			Others: c.othersRate, LevelAt: c.levelAt, TotalAt: c.totalAt, ExhaustedUntil: c.exhaustedUntil, Epoch: c.epoch, Total: c.total, ObservedUnits: c.observedUnits,
			ObservedFor: c.observedFor, ObservedAt: c.observedAt, LastRequest: c.lastRequest, NextCounterCall: c.nextCall, RefreshedAt: c.refreshedAt, CounterSilent: c.counterSilent,
			CeilingLevel: c.ceilingLevel, CeilingAt: c.ceilingAt, InFlight: c.inFlight, Share: 1 / c.shareDivisor,
		})
	}
	return l
}

// Learn takes over what another process knew. Its attempts that are out count here until Release.
func (e *Engine) ImportState(now time.Duration, l LearnedState) {
	e.now = max(now, e.now)
	e.ReleasePredecessor()
	if l.Window > 0 {
		e.window, e.counterCallShare = max(l.Window, minWindow), min(1, max(l.CounterCallShare, minCounterCallShare))
		e.meanLatency, e.answerRate, e.answerRateAt = l.Lag, l.AnswerRate, l.AnswerRateAt
	}
	for _, k := range l.Classes {
		if c := e.classes[k.Name]; c != nil {
			c.meanLatency, c.latencyDeviation = k.Mean, k.Deviation
		}
	}
	for _, k := range l.Backends {
		if s := e.backends[k.ID]; s != nil && s.Started == k.Started {
			s.slowness, s.slownessAt, s.lastSent, s.consecutiveFailures, s.ejectedUntil = max(k.Slowness, 0.01), k.SlownessAt, k.LastSent, k.ConsecutiveFailures, k.EjectedUntil
		}
	}
	for _, k := range l.Tenants {
		if p := e.plans[k.Plan]; p != nil && k.ID != "" {
			e.importTenant(p, k)
		}
	}
	e.predecessorInFlight = l.InFlight
	e.inFlight += l.InFlight
}

func (e *Engine) importTenant(p *Plan, k LearnedTenant) {
	if k.Tenant == "" { // told by a version whose books were the customer's alone, under another name at the counter
		k.Tenant, _, _ = strings.Cut(k.ID, "/")
		k.Epoch, k.Total = -1, 0
	}
	c := e.tenantFor(&request{Request: Request{Tenant: k.Tenant, Plan: k.Plan, Spread: k.Spread, First: max(k.First, 0)}, plan: p})
	c.leasedUnits, c.unreportedUnits, c.level, c.demand, c.othersRate = k.LeasedUnits, k.UnreportedUnits, k.Level, k.Demand, k.Others
	c.levelAt, c.totalAt, c.exhaustedUntil, c.epoch, c.total = k.LevelAt, k.TotalAt, k.ExhaustedUntil, k.Epoch, k.Total
	c.observedUnits, c.observedFor, c.observedAt, c.lastRequest, c.refreshedAt = k.ObservedUnits, k.ObservedFor, k.ObservedAt, k.LastRequest, k.RefreshedAt
	c.nextCall, c.counterSilent, c.ceilingLevel, c.ceilingAt = k.NextCounterCall, k.CounterSilent, k.CeilingLevel, k.CeilingAt
	c.predecessorInFlight = k.InFlight
	c.inFlight += k.InFlight
}

// Release ends what Learn has counted for the other process: nothing of it is out any more.
func (e *Engine) ReleasePredecessor() {
	e.inFlight -= e.predecessorInFlight
	e.predecessorInFlight = 0
	for _, c := range e.tenantOrder {
		c.inFlight -= c.predecessorInFlight
		c.predecessorInFlight = 0
	}
}

// Keep lays down what is left here of the units of each customer, in the order of Learned, after the rest was given to another
// process of this gateway. From then on stores and ceilings do not fill here any more: they do there.
func (e *Engine) RetainUnits(kept []LearnedTenant) {
	for _, k := range kept {
		if c := e.tenants[k.ID]; c != nil {
			c.leasedUnits, c.unreportedUnits, c.ceilingLevel = k.LeasedUnits, k.UnreportedUnits, k.CeilingLevel
			c.level = min(0, c.level) - c.plan.Burst/2 // what the store fills with is lent there
		}
	}
	for _, p := range e.plans {
		p.CeilingRate = min(p.CeilingRate, math.SmallestNonzeroFloat32)
	}
}

// Hear takes over how slow servers are to be reckoned with by what other gateways say, in mean latencies; those that are not
// named are left to what this one sees itself. One at Try is to be tried: what is remembered of it here is put aside as well.
// Nothing here is told on as this gateway's own.
func (e *Engine) SetPeerSlowness(slow map[BackendID]float64) {
	for id, s := range e.backends {
		if s.peerSlowness = slow[id]; s.peerSlowness == ProbationSlowness {
			s.slowness, s.slownessAt, s.consecutiveFailures, s.ejectedUntil = ProbationSlowness, e.now, 0, 0
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
func (e *Engine) QuotaStandings() map[string]QuotaStanding {
	out := map[string]QuotaStanding{}
	for _, c := range e.tenantOrder {
		out[c.account] = QuotaStanding{AvailableUnits: e.availableUnits(c), Sparse: c.sparse, Escrowed: e.allocations != nil && c.spread > 1}
	}
	for _, r := range e.openRequests {
		if r.charged && !r.sent && !r.finished {
			s := out[r.tenant.account]
			s.QueuedUnits += r.Units
			out[r.tenant.account] = s
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
func (p *Allocations) shareOf(c *tenant) (ways, away float64) {
	ways = float64(c.spread)
	if p == nil {
		return ways, 0
	}
	if x, named := p.ByAccount[c.account]; named {
		return 1 / min(1, max(minShare, x.Share)), min(1, max(0, x.Unreported))
	}
	return ways / min(1, max(minShare, p.Default)), 0
}

// leastPart is as good as none.
const minShare = 1e-9

// Hold takes over what this gateway holds from now on. What was let into its block before stays.
//
// After a time in which this process did not run (stopped), nothing has come to it meanwhile: what it held then may have ended.
func (e *Engine) SetAllocations(now time.Duration, p Allocations, stopped bool) {
	e.now = max(now, e.now)
	e.allocations = &p
	for _, c := range e.tenantOrder {
		if stopped {
			c.refreshedAt, c.ceilingAt = e.now, e.now
		}
		e.updateShare(c)
	}
}

// repart brings this gateway's part of a customer's plan up to date, after what it depends on has changed. What has filled until now came by the
// part that was.
func (e *Engine) updateShare(c *tenant) {
	ways, away := e.allocations.shareOf(c)
	if ways == c.shareDivisor && away == c.unreportedShare {
		return
	}
	e.refreshTenant(c)
	c.level, c.levelAt = c.level+c.refilled(e.now), e.now
	filled := c.ceilingLevel + c.plan.CeilingRate/c.shareDivisor*(e.now-c.ceilingAt).Seconds()
	c.ceilingLevel, c.ceilingAt = min(filled, c.plan.CeilingBurst/c.shareDivisor, c.plan.CeilingBurst/ways), e.now
	c.shareDivisor, c.unreportedShare = ways, away
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
func (e *Engine) QuotaNeeds(now time.Duration) (out []QuotaNeed) {
	for _, c := range e.tenantOrder {
		if c.spread < 2 || c.plan.Rate <= 0 || c.sparse {
			continue
		}
		n := QuotaNeed{Account: c.account, Spread: c.spread, First: (e.settings.Index - c.position + e.settings.Instances) % e.settings.Instances, Rate: c.plan.Rate, OthersRate: c.othersRate, CounterLost: c.counterSilent}
		demand := c.demand * math.Exp(-(now - c.refreshedAt).Seconds())
		if n.CounterLost {
			n.WantedShare = demand / c.plan.Rate
		}
		if c.plan.CeilingRate > 0 {
			n.WantedShare = max(n.WantedShare, demand/c.plan.CeilingRate)
		}
		if c.plan.MaxInFlight >= c.spread {
			n.MaxInFlight = c.plan.MaxInFlight
			n.WantedShare = max(n.WantedShare, float64(c.inFlight)/float64(c.plan.MaxInFlight))
		}
		out = append(out, n)
	}
	return out
}
