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
type tenant struct {
	account, name                      string // of these books: request.Account; the customer's own
	plan                               *Plan
	spread, position                   int           // gateways that it comes through; our place among them
	shareDivisor, unreportedShare      float64       // our part is one in so many; part that others spend unheard
	windowOffset                       time.Duration // spreads the customers' window ends
	leasedUnits, unreportedUnits       float64       // leased units, ours to spend; to add at the next call
	level                              float64       // the store at the last look, less all leases that we know of
	levelAt, totalAt                   time.Duration // of the level; when the counter last answered, 0 never
	demand, othersRate, presumedUnits  float64       // units/s asked here, taken by others; units reckoned theirs
	observedUnits, observedFor         float64       // sparse: units of it in so many seconds of the fleet
	observedAt                         time.Duration // of this evidence
	epoch                              int64
	total, callUnits, callBlock        float64 // last of this epoch's name; the call that is out adds, for a block of
	callPending, counterSilent, sparse bool    // a call is out; no answers come; blocks would be under two requests
	awaitingCounter                    []*request
	grantWindow, exhaustedUntil        time.Duration // of the window that a sparse one is asked for in; no room before
	lastRequest, refreshedAt, nextCall time.Duration
	inFlight, predecessorInFlight      int // attempts out; those of them that another process has out
	ceilingLevel                       float64
	ceilingAt                          time.Duration
}

func (e *Engine) tenantFor(r *request) *tenant {
	id, n := r.Account(), e.settings.Instances
	c, spread, place := e.tenants[id], min(max(r.Spread, 1), n), (e.settings.Index-r.First%n+n)%n
	if c == nil {
		c = &tenant{
			account: id, name: r.Tenant, plan: r.plan, spread: spread, observedAt: e.now,
			windowOffset: time.Duration(hash64(id) % uint64(epochLength)), counterSilent: !e.settings.Counter, levelAt: e.now,
			refreshedAt: e.now, ceilingAt: e.now,
		}
		c.sparse = !c.counterSilent && c.plan.Rate > 0 && c.plan.Burst < float64(2*c.spread)*max(1, e.settings.MaxUnits)
		c.shareDivisor, c.unreportedShare = e.allocations.shareOf(c)
		c.leasedUnits = c.plan.Burst / c.shareDivisor // the first block, told to the counter once half is spent
		c.unreportedUnits = c.leasedUnits
		c.level = max(0, e.settings.MaxUnits-c.leasedUnits, 1-c.leasedUnits) // one request more before the first look
		if c.sparse {
			c.counterSilent, c.grantWindow = true, time.Duration(c.plan.Burst/c.plan.Rate*float64(time.Second))
			c.leasedUnits += e.rng.Float64() * max(1, e.settings.MaxUnits)
		}
		e.tenants[id] = c
		e.tenantOrder = append(e.tenantOrder, c)
	}
	c.spread, c.position, c.lastRequest = spread, place, e.now // each request is judged by its own set
	e.updateShare(c)
	return c
}

// refresh brings demand, and the block while the counter is silent, up to now.
func (e *Engine) refreshTenant(c *tenant) {
	dt := (e.now - c.refreshedAt).Seconds()
	c.refreshedAt, c.demand = e.now, c.demand*math.Exp(-dt)
	if c.counterSilent { // no totals come: live on the fair share of the rate, and reckon that the others do
		part, most := c.plan.Rate/c.shareDivisor*dt, max(c.plan.Burst/c.shareDivisor, e.settings.MaxUnits, 1)
		c.leaseUnits(min(part, max(0, most-c.leasedUnits)))
		c.level, c.presumedUnits = c.level-part*(c.shareDivisor-1), c.presumedUnits+part*(c.shareDivisor-1)
	}
}

// borrow moves units from the store's picture to the block; the counter is told at the next call.
func (c *tenant) leaseUnits(units float64) {
	c.leasedUnits, c.unreportedUnits, c.level = c.leasedUnits+units, c.unreportedUnits+units, c.level-units
}

// room is the level by now.
func (e *Engine) availableUnits(c *tenant) float64 {
	return min(c.maxLevel(), c.level+c.refilled(e.now))
}

// filled is what has come to the store since the last look, but for what others spend unheard.
func (c *tenant) refilled(now time.Duration) float64 {
	return c.plan.Rate * (1 - c.unreportedShare) * (now - c.levelAt).Seconds()
}

// most is the level of a full store: blocks are not in it, ours and half as much at each other gateway.
func (c *tenant) maxLevel() float64 {
	return max(0, c.plan.Burst-max(0, c.leasedUnits)*(1+float64(c.spread-1)/2))
}

// sure is the part of the level that others cannot have taken since the last look.
func (e *Engine) certainUnits(c *tenant) float64 {
	if c.counterSilent {
		return 0
	}
	return (e.availableUnits(c) - c.othersRate*(e.now-c.totalAt).Seconds()) * c.demand / (c.demand + c.othersRate)
}

// ask leases one request's units as it comes, for a customer that each gateway sees too seldom to know its
// store. The name's window is burst over rate long and grants the burst: refused tries need no giving back.
// Where not all calls get through, the fair share of the rate decides.
func (e *Engine) decideQuota(r *request) {
	c := r.tenant
	switch {
	case !c.sparse:
		e.applyQuota(r, e.chargeBlock(r))
	case e.now < c.exhaustedUntil || c.plan.ExcessWeight > c.plan.ExcessCost && e.rng.Float64() > 2*e.counterCallShare-1:
		r.reason = QuotaKnown
		e.applyQuota(r, false)
	default:
		part := e.counterCallShare
		if e.largeFleet {
			e.ageObservations(c)
			c.observedUnits += r.Units
		}
		if c.plan.CeilingRate > 0 && e.counterCallShare >= lostCounterShare {
			part = 1 // the counter alone knows what is left of a ceiling
		} else if e.largeFleet && c.totalAt > 0 && e.now-c.totalAt < totalFreshness {
			part *= e.counterCallShare // what calls there are go to those of whom less is known
		}
		if e.rng.Float64() > part {
			e.decideWithoutCounter(r)
		} else {
			e.queryCounter(r, part)
		}
	}
}

// unasked settles a request without the counter's word.
func (e *Engine) decideWithoutCounter(r *request) {
	e.applyQuota(r, e.largeFleet && e.admitByEstimate(r) || !e.largeFleet && e.chargeBlock(r))
}

// inquire asks the counter for a request's units, which stand for those of the part that is asked for.
func (e *Engine) queryCounter(r *request, part float64) {
	c := r.tenant
	if !e.largeFleet {
		part = 1
	}
	if epoch := int64((e.now + c.windowOffset) / c.grantWindow); epoch != c.epoch {
		c.epoch, c.total = epoch, 0
	}
	r.counterName, r.counterUnits = c.counterName(), r.Units/part
	c.awaitingCounter, r.reason = append(c.awaitingCounter, r), CounterLate
	e.emit(AddToCounter{Name: r.counterName, Add: r.counterUnits, Keep: min(2*c.grantWindow, counterNameRetention)})
}

// answered settles the request that asked first for the name.
func (e *Engine) handleGrantReply(c *tenant, ev CounterReply) {
	i := slices.IndexFunc(c.awaitingCounter, func(r *request) bool { return r.counterName == ev.Name })
	if i < 0 {
		return
	}
	r := c.awaitingCounter[i]
	if c.awaitingCounter = slices.Delete(c.awaitingCounter, i, i+1); r.finished {
		return
	}
	if r.reason = NoReason; ev.Outcome != Succeeded {
		r.reason = QuotaBlind
		if ev.Outcome != Failed { // AIMD: a call that waits too long is work for nothing
			e.counterCallShare = max(minCounterCallShare, e.counterCallShare*0.7)
		}
		e.decideWithoutCounter(r)
		return
	}
	grant := c.windowGrant()
	inside := ev.Total-r.counterUnits+r.Units <= max(grant, r.Units)
	if e.largeFleet {
		e.counterCallShare = min(1, e.counterCallShare+0.003/e.counterCallShare)
		e.learnFromTotal(c, r, ev.Total)
	} else {
		e.counterCallShare = min(1, e.counterCallShare+0.01/e.counterCallShare)
	}
	r.granted = inside && e.counterCallShare >= lostCounterShare
	if inside {
		c.leasedUnits = max(0, c.leasedUnits-r.Units)
	} else if r.counterName == c.counterName() && ev.Total > grant+r.Units {
		c.exhaustedUntil = time.Duration(c.epoch+1)*c.grantWindow - c.windowOffset
	}
	e.applyQuota(r, inside)
}

// admit takes the request's units from the block, or on credit from room that the last total showed.
func (e *Engine) chargeBlock(r *request) bool {
	c := r.tenant
	if c.plan.Rate <= 0 {
		return true
	}
	e.refreshTenant(c)
	c.demand += r.Units
	if c.leasedUnits < r.Units && e.certainUnits(c) >= r.Units-c.leasedUnits {
		c.leaseUnits(r.Units - c.leasedUnits)
	}
	if r.charged = c.leasedUnits >= r.Units-1e-9; r.charged {
		c.leasedUnits -= r.Units
	}
	e.requestBlock(c)
	return r.charged
}

// lease asks the counter for the next block once half of this one is spent: some demand ahead, at least one
// large request, at most a share of the burst.
func (e *Engine) requestBlock(c *tenant) {
	size := min(max(c.demand*blockDemandSeconds, 2*max(1, e.settings.MaxUnits/2)), c.plan.Burst/float64(c.spread))
	if c.leasedUnits <= size/2 {
		e.callCounter(c, max(0, min(size-c.leasedUnits, e.availableUnits(c)/float64(c.spread))))
	}
}

// call adds what is owed and the next block; one call a customer at a time.
func (e *Engine) callCounter(c *tenant, want float64) {
	if !e.settings.Counter || c.sparse || c.callPending || e.now < c.nextCall {
		return
	}
	if epoch := int64((e.now + c.windowOffset) / epochLength); epoch != c.epoch {
		c.epoch, c.total = epoch, 0
	}
	c.callPending, c.callUnits, c.callBlock, c.unreportedUnits = true, c.unreportedUnits+want, want, 0
	e.emit(AddToCounter{Name: c.counterName(), Add: c.callUnits, Keep: counterNameRetention})
}

func (c *tenant) counterName() string { return c.account + ":" + strconv.FormatInt(c.epoch, 36) }

// counted takes the counter's answer: what others have added since the last total comes off the level.
func (e *Engine) handleCounterReply(ev CounterReply) {
	c := e.tenants[ev.Name[:max(0, strings.LastIndexByte(ev.Name, ':'))]]
	if c != nil && len(c.awaitingCounter) > 0 {
		e.handleGrantReply(c, ev)
		return
	}
	if c == nil || !c.callPending {
		return
	}
	c.callPending = false
	e.refreshTenant(c)
	if ev.Outcome != Succeeded {
		e.handleCounterFailure(c, ev.Outcome)
		return
	}
	e.counterFailures, c.counterSilent = 0, false
	fresh := ev.Total - c.callUnits - c.total
	if fresh < -c.plan.Burst {
		fresh = 0 // the counter came back empty: it shows less than we know, so nothing new
	}
	if c.totalAt == 0 { // never looked before: all that the name holds may have been taken a moment ago
		c.levelAt = e.now
		c.level = max(c.plan.Burst, fresh) - c.total - c.callUnits + c.callBlock - c.unreportedUnits
	} else {
		dt := max((e.now - c.totalAt).Seconds(), 0.01)
		c.othersRate += (max(0, fresh)/dt - c.othersRate) * (1 - math.Exp(-2*dt))
		fresh -= max(0, min(fresh, c.presumedUnits))
	}
	// What was let in beyond the quota took nothing from the true store, so the debt is bounded.
	c.level = max(-c.plan.Burst/2, min(c.maxLevel(), c.level+c.refilled(e.now)-fresh))
	c.levelAt, c.total, c.totalAt, c.presumedUnits = e.now, ev.Total, e.now, 0
	c.leaseUnits(max(0, min(c.callBlock, c.level/float64(c.spread))))
	c.unreportedUnits -= c.callBlock
	c.nextCall = e.now + e.settings.CounterTimeout/8
	if c.leasedUnits < 1 {
		c.nextCall = e.now + exhaustedCallInterval
	}
}

// callFailed goes on without the counter: the block grows at the fair share of the rate until a total comes.
// A spoilt answer is no silence: the amount was added, and the next total shows the rest.
func (e *Engine) handleCounterFailure(c *tenant, o Outcome) {
	if o == Failed {
		c.total, c.unreportedUnits, c.nextCall = c.total+c.callUnits, c.unreportedUnits-c.callBlock, e.now
		return
	}
	if o.NeverRan() { // else it may have been added, and shows as others' use once
		c.unreportedUnits += c.callUnits - c.callBlock
	}
	e.counterFailures++
	if !c.counterSilent {
		c.leaseUnits(max(0, e.availableUnits(c)) / c.shareDivisor)
		c.counterSilent = true
	}
	wait := e.settings.CounterTimeout << min(e.counterFailures, 4)
	c.nextCall = e.now + wait + time.Duration(e.rng.Int64N(int64(wait)))
}

// settleIdle looks at one customer in turn: unspent units go back, and one not seen for long is dropped.
func (e *Engine) checkIdleTenant() {
	e.idleCursor = (e.idleCursor + 1) % len(e.tenantOrder)
	c := e.tenantOrder[e.idleCursor]
	idle := (e.now - c.lastRequest).Seconds()
	if idle > counterNameRetention.Seconds() && idle*c.plan.Rate >= c.plan.Burst && c.inFlight == 0 { // its store is full
		delete(e.tenants, c.account)
		e.tenantOrder = slices.Delete(e.tenantOrder, e.idleCursor, e.idleCursor+1)
		return
	}
	if c.plan.Rate > 0 && math.Abs(c.unreportedUnits) > 0.25*c.plan.Burst/float64(c.spread) && idle*c.plan.Rate > 1 {
		e.callCounter(c, 0)
	}
}

// untilRoom is the retry-after of a refusal: when the store will hold the units.
func (e *Engine) quotaRetryAfter(r *request) time.Duration {
	c := r.tenant
	if c.sparse && e.largeFleet {
		return c.grantWindow - (e.now+c.windowOffset)%c.grantWindow
	}
	if c.sparse {
		return max(c.exhaustedUntil-e.now, e.sweepInterval)
	}
	missing := max(r.Units-max(0, e.availableUnits(c))-max(0, c.leasedUnits), 1)
	return time.Duration(missing / max(c.plan.Rate, 0.01) * float64(time.Second))
}

// share is this gateway's part of the customer's attempts out at once, one at least. Where going over costs,
// more gateways than attempts take turns, if a turn comes round within the shortest aim.
func (e *Engine) inFlightLimit(c *tenant) int {
	open, n, turn := c.plan.MaxInFlight, c.spread, e.sweepInterval*sweepsPerObjective/turnsPerObjective
	if e.allocations != nil && open >= n {
		return max(1, int(float64(open)/c.shareDivisor+1e-6))
	}
	if c.plan.ExcessCost == 0 || open >= n || n > open*turnsPerObjective {
		return max(1, (open+n-1-c.position)/n)
	}
	return (open + n - 1 - (c.position+open*int((e.now+c.windowOffset)/turn))%n) / n
}

// ceilingRoom says whether the ceiling lets the units go: the counter granted them, or this gateway's part of
// the ceiling's store holds them, which starts empty since a restart cannot tell what was spent before.
func (e *Engine) ceilingAllows(r *request) bool {
	c, p := r.tenant, r.plan
	if p.CeilingRate <= 0 || r.granted {
		return true
	}
	filled := c.ceilingLevel + p.CeilingRate/c.shareDivisor*(e.now-c.ceilingAt).Seconds()
	c.ceilingLevel, c.ceilingAt = min(p.CeilingBurst/c.shareDivisor, filled), e.now
	return c.ceilingLevel >= r.Units && !(c.sparse && e.counterCallShare >= lostCounterShare) // while others are granted theirs
}
