package policy

import (
	"math"
	"strings"
	"time"
)

// Learned is what a gateway knows, as facts with their times, for another process of the same gateway. It holds nothing of
// requests but how much is out for them.
type Learned struct {
	Window    float64           `json:"Window"`
	Lag       float64           `json:"Lag"`
	Flow      float64           `json:"Flow"`
	FlowAt    time.Duration     `json:"FlowAt"`
	AskShare  float64           `json:"AskShare"`
	Busy      int               `json:"Busy"` // attempts that fill the window
	Classes   []LearnedClass    `json:"Classes"`
	Servers   []LearnedServer   `json:"Servers"`
	Customers []LearnedCustomer `json:"Customers"`
}

// LearnedClass is a class's latency, in seconds.
type LearnedClass struct {
	Name string  `json:"Name"`
	Mean float64 `json:"Mean"`
	Dev  float64 `json:"Dev"`
}

// LearnedServer is what is known of a server that was started at a time.
type LearnedServer struct {
	ID       ServerID      `json:"ID"`
	Started  time.Duration `json:"Started"`
	SlowAt   time.Duration `json:"SlowAt"`
	LastSent time.Duration `json:"LastSent"`
	Banned   time.Duration `json:"Banned"`
	Slow     float64       `json:"Slow"`
	Fails    int           `json:"Fails"`
}

// LearnedCustomer is the picture of a customer's store, and what is leased of it.
type LearnedCustomer struct {
	ID        string        `json:"ID"`
	Plan      string        `json:"Plan"` // ID: the books' name, Request.Account
	Customer  string        `json:"Customer"`
	Spread    int           `json:"Spread"`
	First     int           `json:"First"`
	Block     float64       `json:"Block"`
	Owed      float64       `json:"Owed"` // leased and not spent; to tell the counter
	Level     float64       `json:"Level"`
	Demand    float64       `json:"Demand"`
	Others    float64       `json:"Others"`
	At        time.Duration `json:"At"`
	Looked    time.Duration `json:"Looked"`
	Spent     time.Duration `json:"Spent"`
	Epoch     int64         `json:"Epoch"`
	Total     float64       `json:"Total"`
	SeenUnits float64       `json:"SeenUnits"`
	SeenFor   float64       `json:"SeenFor"`
	SeenAt    time.Duration `json:"SeenAt"`
	Seen      time.Duration `json:"Seen"`
	NextCall  time.Duration `json:"NextCall"`
	Refreshed time.Duration `json:"Refreshed"`
	Silent    bool          `json:"Silent"`
	Ceiling   float64       `json:"Ceiling"`
	CeilingAt time.Duration `json:"CeilingAt"`
	Open      int           `json:"Open"` // attempts out
	Part      float64       `json:"Part"` // held of the plan's figures
}

// Learned returns what is known now.
func (g *Gateway) Learned() Learned {
	l := Learned{Window: g.window, Lag: g.lag, Flow: g.flow, FlowAt: g.flowAt, AskShare: g.askShare, Busy: g.busy}
	for _, c := range g.set.Classes {
		if k := g.classes[c.Name]; k.mean > 0 {
			l.Classes = append(l.Classes, LearnedClass{c.Name, k.mean, k.dev})
		}
	}
	for _, s := range g.fleet {
		l.Servers = append(l.Servers, LearnedServer{ID: s.ID, Started: s.Started, SlowAt: s.slowAt, LastSent: s.lastSent, Banned: s.banned,
			Slow: s.slow, Fails: s.fails})
	}
	for _, c := range g.roster {
		l.Customers = append(l.Customers, LearnedCustomer{ID: c.id, Customer: c.who, Plan: c.plan.Name, Spread: c.spread,
			First: (g.set.Me - c.place + g.set.Gateways) % g.set.Gateways, Block: c.block, Owed: c.owed, Level: c.level, Demand: c.demand,
			Others: c.others, At: c.at, Looked: c.looked, Spent: c.spent, Epoch: c.epoch, Total: c.total, SeenUnits: c.seenUnits,
			SeenFor: c.seenFor, SeenAt: c.seenAt, Seen: c.seen, NextCall: c.nextCall, Refreshed: c.refreshed, Silent: c.silent,
			Ceiling: c.ceiling, CeilingAt: c.ceilingAt, Open: c.open, Part: 1 / c.ways})
	}
	return l
}

// Learn takes over what another process knew. Its attempts that are out count here until Release.
func (g *Gateway) Learn(now time.Duration, l Learned) {
	g.now = max(now, g.now)
	g.Release()
	if l.Window > 0 {
		g.window, g.askShare = max(l.Window, leastWindow), min(1, max(l.AskShare, leastAsked))
		g.lag, g.flow, g.flowAt = l.Lag, l.Flow, l.FlowAt
	}
	for _, k := range l.Classes {
		if c := g.classes[k.Name]; c != nil {
			c.mean, c.dev = k.Mean, k.Dev
		}
	}
	for _, k := range l.Servers {
		if s := g.servers[k.ID]; s != nil && s.Started == k.Started {
			s.slow, s.slowAt, s.lastSent, s.fails, s.banned = max(k.Slow, 0.01), k.SlowAt, k.LastSent, k.Fails, k.Banned
		}
	}
	for _, k := range l.Customers {
		if p := g.plans[k.Plan]; p != nil && k.ID != "" {
			g.learnCustomer(p, k)
		}
	}
	g.lentBusy = l.Busy
	g.busy += l.Busy
}

func (g *Gateway) learnCustomer(p *Plan, k LearnedCustomer) {
	if k.Customer == "" { // told by a version whose books were the customer's alone, under another name at the counter
		k.Customer, _, _ = strings.Cut(k.ID, "/")
		k.Epoch, k.Total = -1, 0
	}
	c := g.customer(&request{Request: Request{Customer: k.Customer, Plan: k.Plan, Spread: k.Spread, First: max(k.First, 0)}, plan: p})
	c.block, c.owed, c.level, c.demand, c.others = k.Block, k.Owed, k.Level, k.Demand, k.Others
	c.at, c.looked, c.spent, c.epoch, c.total = k.At, k.Looked, k.Spent, k.Epoch, k.Total
	c.seenUnits, c.seenFor, c.seenAt, c.seen, c.refreshed = k.SeenUnits, k.SeenFor, k.SeenAt, k.Seen, k.Refreshed
	c.nextCall, c.silent, c.ceiling, c.ceilingAt = k.NextCall, k.Silent, k.Ceiling, k.CeilingAt
	c.lent = k.Open
	c.open += k.Open
}

// Release ends what Learn has counted for the other process: nothing of it is out any more.
func (g *Gateway) Release() {
	g.busy -= g.lentBusy
	g.lentBusy = 0
	for _, c := range g.roster {
		c.open -= c.lent
		c.lent = 0
	}
}

// Keep lays down what is left here of the units of each customer, in the order of Learned, after the rest was given to another
// process of this gateway. From then on stores and ceilings do not fill here any more: they do there.
func (g *Gateway) Keep(kept []LearnedCustomer) {
	for _, k := range kept {
		if c := g.customers[k.ID]; c != nil {
			c.block, c.owed, c.ceiling = k.Block, k.Owed, k.Ceiling
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
func (g *Gateway) Hear(slow map[ServerID]float64) {
	for id, s := range g.servers {
		if s.heard = slow[id]; s.heard == Try {
			s.slow, s.slowAt, s.fails, s.banned = Try, g.now, 0, 0
		}
	}
}

// Try is the slowness, for Hear, of a server that is to be tried: it is sooner chosen than one that is as fast as all.
const Try = 0.5

// Standing is how a customer's quota stands at a gateway beside what Learned tells.
type Standing struct {
	Queued float64 // units taken from the block by requests that have not gone out
	Room   float64 // the store's level by now, as this gateway pictures it, less all leases it knows of
	Sparse bool    // no blocks: each request is asked for
	Agreed bool    // parts are held by agreement with the others, who reckon with what is spent here unheard
}

// Standings are those of all customers.
func (g *Gateway) Standings() map[string]Standing {
	out := map[string]Standing{}
	for _, c := range g.roster {
		out[c.id] = Standing{Room: g.room(c), Sparse: c.sparse, Agreed: g.parts != nil && c.spread > 1}
	}
	for _, r := range g.live {
		if r.charged && !r.sent && !r.final {
			s := out[r.cust.id]
			s.Queued += r.Units
			out[r.cust.id] = s
		}
	}
	return out
}

// Parts are what this gateway holds, by agreement with the others, of what customers may use: of the rate, the burst, the ceiling and the
// cap. Parts of one customer at all gateways together are one at the most, whatever is lost between them.
type Parts struct {
	Home float64         // of the even part, where a customer is not named
	Of   map[string]Part // by Request.Account
}

// Part is one customer's.
type Part struct {
	Share float64 // held here, of one
	Away  float64 // held by those who spend without the counter's hearing of it
}

// of is a customer's part, one in so many, and the part that is spent unheard. Without any agreement each gateway has an even part.
func (p *Parts) of(c *customer) (ways, away float64) {
	ways = float64(c.spread)
	if p == nil {
		return ways, 0
	}
	if x, named := p.Of[c.id]; named {
		return 1 / min(1, max(leastPart, x.Share)), min(1, max(0, x.Away))
	}
	return ways / min(1, max(leastPart, p.Home)), 0
}

// leastPart is as good as none.
const leastPart = 1e-9

// Hold takes over what this gateway holds from now on. What was let into its block before stays.
//
// After a time in which this process did not run (stopped), nothing has come to it meanwhile: what it held then may have ended.
func (g *Gateway) Hold(now time.Duration, p Parts, stopped bool) {
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
func (g *Gateway) repart(c *customer) {
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
type Need struct {
	Account       string // Request.Account
	Spread, First int
	Rate          float64 // units a second
	Others        float64 // units a second that the counter's totals show of all others
	Places        int     // of the cap, where parts of it are held
	Want          float64 // the part with which what is asked for here would pass
	Alone         bool    // the counter is not heard
}

// Needs are those of the customers that come through several gateways and whose part counts for something, in order of first sight.
func (g *Gateway) Needs(now time.Duration) (out []Need) {
	for _, c := range g.roster {
		if c.spread < 2 || c.plan.Rate <= 0 || c.sparse {
			continue
		}
		n := Need{Account: c.id, Spread: c.spread, First: (g.set.Me - c.place + g.set.Gateways) % g.set.Gateways, Rate: c.plan.Rate, Others: c.others, Alone: c.silent}
		demand := c.demand * math.Exp(-(now - c.refreshed).Seconds())
		if n.Alone {
			n.Want = demand / c.plan.Rate
		}
		if c.plan.CeilingRate > 0 {
			n.Want = max(n.Want, demand/c.plan.CeilingRate)
		}
		if c.plan.Open >= c.spread {
			n.Places = c.plan.Open
			n.Want = max(n.Want, float64(c.open)/float64(c.plan.Open))
		}
		out = append(out, n)
	}
	return out
}
