package policy

import (
	"math"
	"slices"
	"time"
)

// tenant is this instance's view of one tenant's quota under one plan. The quota
// is a token bucket that all instances draw from. Its level is replayed from the
// counter's totals: it fills at the plan's rate up to the burst, and what the
// totals show is taken off evenly over the time between two of them.
type tenant struct {
	account  string // Request.Account
	name     string // the tenant's own
	plan     *Plan
	spread   int // instances that its requests come through
	position int // of this instance among them

	shareDivisor    float64 // this instance's share of the plan is one in so many
	unreportedShare float64 // share of the plan that others spend without the counter's hearing of it

	leasedUnits     float64       // this instance's to spend
	unreportedUnits float64       // leased, and not yet added to the counter
	level           float64       // of the quota as of levelAt, less all leases that are known here
	levelAt         time.Duration // time of level
	refreshedAt     time.Duration // time of demand
	demand          float64       // units a second requested here, decaying
	othersRate      float64       // units a second that others take, by the totals
	presumedUnits   float64       // units taken to have been others' while the counter was silent
	lastRequest     time.Duration

	windowOffset  time.Duration // keeps the windows of tenants from ending together
	epoch         int64         // number of the counter name's present window
	total         float64       // last total of that name
	totalAt       time.Duration // when the counter last answered; 0: never
	callPending   bool          // a call is out
	callUnits     float64       // what that call adds
	callBlock     float64       // the part of callUnits that is to be the next block
	nextCall      time.Duration // no call before
	counterSilent bool          // no totals come

	sparse          bool // blocks would be too small: the counter grants the units of each request
	awaitingCounter []*request
	grantWindow     time.Duration // sparse: length of the window that a counter name stands for
	exhaustedUntil  time.Duration // sparse: nothing is left before
	observedUnits   float64       // sparse, large fleet: units of it seen in observedFor seconds
	observedFor     float64       // in seconds of the whole fleet
	observedAt      time.Duration // time of both

	inFlight            int // attempts out
	predecessorInFlight int // those of them that another process of this instance has out
	ceilingLevel        float64
	ceilingAt           time.Duration // time of ceilingLevel
}

// tenantFor returns the tenant that the request is counted in, by the set of
// instances that the request names.
func (e *Engine) tenantFor(r *request) *tenant {
	instances := e.settings.Instances
	spread := min(max(r.Spread, 1), instances)
	account := r.Account()
	t := e.tenants[account]
	if t == nil {
		t = e.addTenant(r, account, spread)
	}
	t.spread = spread
	t.position = (e.settings.Index - r.First%instances + instances) % instances
	t.lastRequest = e.now
	e.updateShare(t)
	return t
}

// addTenant starts the view of a tenant that is seen for the first time. Its first
// block is reported to the counter once half of it is spent.
func (e *Engine) addTenant(r *request, account string, spread int) *tenant {
	t := &tenant{
		account:       account,
		name:          r.Tenant,
		plan:          r.plan,
		spread:        spread,
		levelAt:       e.now,
		refreshedAt:   e.now,
		windowOffset:  time.Duration(hash64(account) % uint64(epochLength)),
		counterSilent: !e.settings.Counter,
		observedAt:    e.now,
		ceilingAt:     e.now,
	}
	t.sparse = !t.counterSilent && t.plan.Rate > 0 &&
		t.plan.Burst < float64(2*t.spread)*max(1, e.settings.MaxUnits)
	t.shareDivisor, t.unreportedShare = e.allocations.shareOf(t)
	t.leasedUnits = t.plan.Burst / t.shareDivisor
	t.unreportedUnits = t.leasedUnits
	// One request more may be admitted before the counter has answered.
	t.level = max(0, e.settings.MaxUnits-t.leasedUnits, 1-t.leasedUnits)
	if t.sparse {
		t.counterSilent = true
		t.grantWindow = max(minRefillTime, t.plan.refillTime(e.settings.MaxUnits))
		t.leasedUnits += e.rng.Float64() * max(1, e.settings.MaxUnits)
	}
	e.tenants[account] = t
	e.tenantOrder = append(e.tenantOrder, t)
	return t
}

// refreshTenant brings the demand up to now, and the leased units while the
// counter is silent: this instance then uses its share of the rate, and presumes
// that the others do.
func (e *Engine) refreshTenant(t *tenant) {
	elapsed := (e.now - t.refreshedAt).Seconds()
	t.refreshedAt = e.now
	t.demand *= math.Exp(-elapsed)
	if !t.counterSilent {
		return
	}
	share := t.plan.Rate / t.shareDivisor * elapsed
	limit := max(t.plan.Burst/t.shareDivisor, e.settings.MaxUnits, 1)
	t.leaseUnits(min(share, max(0, limit-t.leasedUnits)))
	t.level -= share * (t.shareDivisor - 1)
	t.presumedUnits += share * (t.shareDivisor - 1)
}

// leaseUnits moves units from the level to the leased ones; the next call
// reports them to the counter.
func (t *tenant) leaseUnits(units float64) {
	t.leasedUnits += units
	t.unreportedUnits += units
	t.level -= units
}

// availableUnits returns the level by now.
func (e *Engine) availableUnits(t *tenant) float64 {
	return min(t.maxLevel(), t.level+t.refilled(e.now))
}

// refilled returns what has come to the quota since levelAt, except what others
// spend without the counter's hearing of it.
func (t *tenant) refilled(now time.Duration) float64 {
	return t.plan.Rate * (1 - t.unreportedShare) * (now - t.levelAt).Seconds()
}

// maxLevel returns the level of a full quota. Leased units are not in it: ours,
// and half as many at each other instance.
func (t *tenant) maxLevel() float64 {
	return max(0, t.plan.Burst-max(0, t.leasedUnits)*(1+float64(t.spread-1)/2))
}

// certainUnits returns the part of the level that others cannot have taken since
// the last total.
func (e *Engine) certainUnits(t *tenant) float64 {
	if t.counterSilent {
		return 0
	}
	takenByOthers := t.othersRate * (e.now - t.totalAt).Seconds()
	return (e.availableUnits(t) - takenByOthers) * t.demand / (t.demand + t.othersRate)
}

// checkIdleTenant looks at one tenant in turn. A tenant that has not been seen for
// long, whose quota must be full, is forgotten; unspent leased units of another
// one are given back.
func (e *Engine) checkIdleTenant() {
	e.idleCursor = (e.idleCursor + 1) % len(e.tenantOrder)
	t := e.tenantOrder[e.idleCursor]
	idle := (e.now - t.lastRequest).Seconds()
	if idle > counterNameRetention.Seconds() && idle*t.plan.Rate >= t.plan.Burst && t.inFlight == 0 {
		delete(e.tenants, t.account)
		e.tenantOrder = slices.Delete(e.tenantOrder, e.idleCursor, e.idleCursor+1)
		return
	}
	minReported := 0.25 * t.plan.Burst / float64(t.spread)
	if t.plan.Rate > 0 && math.Abs(t.unreportedUnits) > minReported && idle*t.plan.Rate > 1 {
		e.callCounter(t, 0)
	}
}
