package policy

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// customer is this gateway's picture of a customer's store, replayed from the counter's totals: it fills at
// the rate up to the burst, and what the totals show is taken evenly over the time between two looks.
type customer struct {
	id, who                   string // of these books: request.Account; the customer's own
	plan                      *Plan
	spread, place             int           // gateways that it comes through; our place among them
	ways, away                float64       // our part is one in so many; part that others spend unheard
	offset                    time.Duration // spreads the customers' window ends
	block, owed               float64       // leased units, ours to spend; to add at the next call
	level                     float64       // the store at the last look, less all leases that we know of
	at, looked                time.Duration // of the level; when the counter last answered, 0 never
	demand, others, unheard   float64       // units/s asked here, taken by others; units reckoned theirs
	seenUnits, seenFor        float64       // sparse: units of it in so many seconds of the fleet
	seenAt                    time.Duration // of this evidence
	epoch                     int64
	total, adding, want       float64 // last of this epoch's name; the call that is out adds, for a block of
	calling, silent, sparse   bool    // a call is out; no answers come; blocks would be under two requests
	asked                     []*request
	span, spent               time.Duration // of the window that a sparse one is asked for in; no room before
	seen, refreshed, nextCall time.Duration
	open, lent                int // attempts out; those of them that another process has out
	ceiling                   float64
	ceilingAt                 time.Duration
}

func (g *Engine) customer(r *request) *customer {
	id, n := r.Account(), g.set.Instances
	c, spread, place := g.customers[id], min(max(r.Spread, 1), n), (g.set.Index-r.First%n+n)%n
	if c == nil {
		c = &customer{
			id: id, who: r.Tenant, plan: r.plan, spread: spread, seenAt: g.now,
			offset: time.Duration(hashed(id) % uint64(epochLength)), silent: !g.set.Counter, at: g.now,
			refreshed: g.now, ceilingAt: g.now,
		}
		c.sparse = !c.silent && c.plan.Rate > 0 && c.plan.Burst < float64(2*c.spread)*max(1, g.set.MaxUnits)
		c.ways, c.away = g.parts.of(c)
		c.block = c.plan.Burst / c.ways // the first block, told to the counter once half is spent
		c.owed = c.block
		c.level = max(0, g.set.MaxUnits-c.block, 1-c.block) // one request more before the first look
		if c.sparse {
			c.silent, c.span = true, time.Duration(c.plan.Burst/c.plan.Rate*float64(time.Second))
			c.block += g.rng.Float64() * max(1, g.set.MaxUnits)
		}
		g.customers[id] = c
		g.roster = append(g.roster, c)
	}
	c.spread, c.place, c.seen = spread, place, g.now // each request is judged by its own set
	g.repart(c)
	return c
}

// refresh brings demand, and the block while the counter is silent, up to now.
func (g *Engine) refresh(c *customer) {
	dt := (g.now - c.refreshed).Seconds()
	c.refreshed, c.demand = g.now, c.demand*math.Exp(-dt)
	if c.silent { // no totals come: live on the fair share of the rate, and reckon that the others do
		part, most := c.plan.Rate/c.ways*dt, max(c.plan.Burst/c.ways, g.set.MaxUnits, 1)
		c.borrow(min(part, max(0, most-c.block)))
		c.level, c.unheard = c.level-part*(c.ways-1), c.unheard+part*(c.ways-1)
	}
}

// borrow moves units from the store's picture to the block; the counter is told at the next call.
func (c *customer) borrow(units float64) {
	c.block, c.owed, c.level = c.block+units, c.owed+units, c.level-units
}

// room is the level by now.
func (g *Engine) room(c *customer) float64 {
	return min(c.most(), c.level+c.filled(g.now))
}

// filled is what has come to the store since the last look, but for what others spend unheard.
func (c *customer) filled(now time.Duration) float64 {
	return c.plan.Rate * (1 - c.away) * (now - c.at).Seconds()
}

// most is the level of a full store: blocks are not in it, ours and half as much at each other gateway.
func (c *customer) most() float64 {
	return max(0, c.plan.Burst-max(0, c.block)*(1+float64(c.spread-1)/2))
}

// sure is the part of the level that others cannot have taken since the last look.
func (g *Engine) sure(c *customer) float64 {
	if c.silent {
		return 0
	}
	return (g.room(c) - c.others*(g.now-c.looked).Seconds()) * c.demand / (c.demand + c.others)
}

// ask leases one request's units as it comes, for a customer that each gateway sees too seldom to know its
// store. The name's window is burst over rate long and grants the burst: refused tries need no giving back.
// Where not all calls get through, the fair share of the rate decides.
func (g *Engine) ask(r *request) {
	c := r.cust
	switch {
	case !c.sparse:
		g.settle(r, g.admit(r))
	case g.now < c.spent || c.plan.ExcessWeight > c.plan.ExcessCost && g.rng.Float64() > 2*g.askShare-1:
		r.why = QuotaKnown
		g.settle(r, false)
	default:
		part := g.askShare
		if g.thin {
			g.evidence(c)
			c.seenUnits += r.Units
		}
		if c.plan.CeilingRate > 0 && g.askShare >= counterLost {
			part = 1 // the counter alone knows what is left of a ceiling
		} else if g.thin && c.looked > 0 && g.now-c.looked < lookKept {
			part *= g.askShare // what calls there are go to those of whom less is known
		}
		if g.rng.Float64() > part {
			g.unasked(r)
		} else {
			g.inquire(r, part)
		}
	}
}

// unasked settles a request without the counter's word.
func (g *Engine) unasked(r *request) {
	g.settle(r, g.thin && g.guess(r) || !g.thin && g.admit(r))
}

// inquire asks the counter for a request's units, which stand for those of the part that is asked for.
func (g *Engine) inquire(r *request, part float64) {
	c := r.cust
	if !g.thin {
		part = 1
	}
	if epoch := int64((g.now + c.offset) / c.span); epoch != c.epoch {
		c.epoch, c.total = epoch, 0
	}
	r.lease, r.asked = c.name(), r.Units/part
	c.asked, r.why = append(c.asked, r), CounterLate
	g.do(AddToCounter{Name: r.lease, Add: r.asked, Keep: min(2*c.span, nameKept)})
}

// answered settles the request that asked first for the name.
func (g *Engine) answered(c *customer, ev CounterReply) {
	i := slices.IndexFunc(c.asked, func(r *request) bool { return r.lease == ev.Name })
	if i < 0 {
		return
	}
	r := c.asked[i]
	if c.asked = slices.Delete(c.asked, i, i+1); r.final {
		return
	}
	if r.why = NoReason; ev.Outcome != Succeeded {
		r.why = QuotaBlind
		if ev.Outcome != Failed { // AIMD: a call that waits too long is work for nothing
			g.askShare = max(leastAsked, g.askShare*0.7)
		}
		g.unasked(r)
		return
	}
	grant := c.grant()
	inside := ev.Total-r.asked+r.Units <= max(grant, r.Units)
	if g.thin {
		g.askShare = min(1, g.askShare+0.003/g.askShare)
		g.look(c, r, ev.Total)
	} else {
		g.askShare = min(1, g.askShare+0.01/g.askShare)
	}
	r.granted = inside && g.askShare >= counterLost
	if inside {
		c.block = max(0, c.block-r.Units)
	} else if r.lease == c.name() && ev.Total > grant+r.Units {
		c.spent = time.Duration(c.epoch+1)*c.span - c.offset
	}
	g.settle(r, inside)
}

// admit takes the request's units from the block, or on credit from room that the last total showed.
func (g *Engine) admit(r *request) bool {
	c := r.cust
	if c.plan.Rate <= 0 {
		return true
	}
	g.refresh(c)
	c.demand += r.Units
	if c.block < r.Units && g.sure(c) >= r.Units-c.block {
		c.borrow(r.Units - c.block)
	}
	if r.charged = c.block >= r.Units-1e-9; r.charged {
		c.block -= r.Units
	}
	g.lease(c)
	return r.charged
}

// lease asks the counter for the next block once half of this one is spent: some demand ahead, at least one
// large request, at most a share of the burst.
func (g *Engine) lease(c *customer) {
	size := min(max(c.demand*leaseAhead, 2*max(1, g.set.MaxUnits/2)), c.plan.Burst/float64(c.spread))
	if c.block <= size/2 {
		g.call(c, max(0, min(size-c.block, g.room(c)/float64(c.spread))))
	}
}

// call adds what is owed and the next block; one call a customer at a time.
func (g *Engine) call(c *customer, want float64) {
	if !g.set.Counter || c.sparse || c.calling || g.now < c.nextCall {
		return
	}
	if epoch := int64((g.now + c.offset) / epochLength); epoch != c.epoch {
		c.epoch, c.total = epoch, 0
	}
	c.calling, c.adding, c.want, c.owed = true, c.owed+want, want, 0
	g.do(AddToCounter{Name: c.name(), Add: c.adding, Keep: nameKept})
}

func (c *customer) name() string { return c.id + ":" + strconv.FormatInt(c.epoch, 36) }

// counted takes the counter's answer: what others have added since the last total comes off the level.
func (g *Engine) counted(ev CounterReply) {
	c := g.customers[ev.Name[:max(0, strings.LastIndexByte(ev.Name, ':'))]]
	if c != nil && len(c.asked) > 0 {
		g.answered(c, ev)
		return
	}
	if c == nil || !c.calling {
		return
	}
	c.calling = false
	g.refresh(c)
	if ev.Outcome != Succeeded {
		g.callFailed(c, ev.Outcome)
		return
	}
	g.counterFails, c.silent = 0, false
	fresh := ev.Total - c.adding - c.total
	if fresh < -c.plan.Burst {
		fresh = 0 // the counter came back empty: it shows less than we know, so nothing new
	}
	if c.looked == 0 { // never looked before: all that the name holds may have been taken a moment ago
		c.at = g.now
		c.level = max(c.plan.Burst, fresh) - c.total - c.adding + c.want - c.owed
	} else {
		dt := max((g.now - c.looked).Seconds(), 0.01)
		c.others += (max(0, fresh)/dt - c.others) * (1 - math.Exp(-2*dt))
		fresh -= max(0, min(fresh, c.unheard))
	}
	// What was let in beyond the quota took nothing from the true store, so the debt is bounded.
	c.level = max(-c.plan.Burst/2, min(c.most(), c.level+c.filled(g.now)-fresh))
	c.at, c.total, c.looked, c.unheard = g.now, ev.Total, g.now, 0
	c.borrow(max(0, min(c.want, c.level/float64(c.spread))))
	c.owed -= c.want
	c.nextCall = g.now + g.set.CounterTimeout/8
	if c.block < 1 {
		c.nextCall = g.now + callGap
	}
}

// callFailed goes on without the counter: the block grows at the fair share of the rate until a total comes.
// A spoilt answer is no silence: the amount was added, and the next total shows the rest.
func (g *Engine) callFailed(c *customer, o Outcome) {
	if o == Failed {
		c.total, c.owed, c.nextCall = c.total+c.adding, c.owed-c.want, g.now
		return
	}
	if o.NeverRan() { // else it may have been added, and shows as others' use once
		c.owed += c.adding - c.want
	}
	g.counterFails++
	if !c.silent {
		c.borrow(max(0, g.room(c)) / c.ways)
		c.silent = true
	}
	wait := g.set.CounterTimeout << min(g.counterFails, 4)
	c.nextCall = g.now + wait + time.Duration(g.rng.Int64N(int64(wait)))
}

// settleIdle looks at one customer in turn: unspent units go back, and one not seen for long is dropped.
func (g *Engine) settleIdle() {
	g.swept = (g.swept + 1) % len(g.roster)
	c := g.roster[g.swept]
	idle := (g.now - c.seen).Seconds()
	if idle > nameKept.Seconds() && idle*c.plan.Rate >= c.plan.Burst && c.open == 0 { // its store is full
		delete(g.customers, c.id)
		g.roster = slices.Delete(g.roster, g.swept, g.swept+1)
		return
	}
	if c.plan.Rate > 0 && math.Abs(c.owed) > 0.25*c.plan.Burst/float64(c.spread) && idle*c.plan.Rate > 1 {
		g.call(c, 0)
	}
}

// untilRoom is the retry-after of a refusal: when the store will hold the units.
func (g *Engine) untilRoom(r *request) time.Duration {
	c := r.cust
	if c.sparse && g.thin {
		return c.span - (g.now+c.offset)%c.span
	}
	if c.sparse {
		return max(c.spent-g.now, g.sweep)
	}
	missing := max(r.Units-max(0, g.room(c))-max(0, c.block), 1)
	return time.Duration(missing / max(c.plan.Rate, 0.01) * float64(time.Second))
}

// share is this gateway's part of the customer's attempts out at once, one at least. Where going over costs,
// more gateways than attempts take turns, if a turn comes round within the shortest aim.
func (g *Engine) share(c *customer) int {
	open, n, turn := c.plan.MaxInFlight, c.spread, g.sweep*sweepsPerAim/turnsPerAim
	if g.parts != nil && open >= n {
		return max(1, int(float64(open)/c.ways+1e-6))
	}
	if c.plan.ExcessCost == 0 || open >= n || n > open*turnsPerAim {
		return max(1, (open+n-1-c.place)/n)
	}
	return (open + n - 1 - (c.place+open*int((g.now+c.offset)/turn))%n) / n
}

// ceilingRoom says whether the ceiling lets the units go: the counter granted them, or this gateway's part of
// the ceiling's store holds them, which starts empty since a restart cannot tell what was spent before.
func (g *Engine) ceilingRoom(r *request) bool {
	c, p := r.cust, r.plan
	if p.CeilingRate <= 0 || r.granted {
		return true
	}
	filled := c.ceiling + p.CeilingRate/c.ways*(g.now-c.ceilingAt).Seconds()
	c.ceiling, c.ceilingAt = min(p.CeilingBurst/c.ways, filled), g.now
	return c.ceiling >= r.Units && !(c.sparse && g.askShare >= counterLost) // while others are granted theirs
}
