package policy

import (
	"math"
	"time"
)

// tenant is this instance's view of one tenant's quota under one plan. The quota
// is a token bucket shared by all instances. Its level is reconstructed from the
// counter's totals: it fills at the plan's rate up to the burst, and the growth of
// the total is deducted.
type tenant struct {
	account  string // Request.Account
	name     string // Request.Tenant
	plan     *Plan
	spread   int // number of instances that receive its requests
	position int // index of this instance among them

	shareDivisor    float64 // this instance has 1/shareDivisor of the plan
	unreportedShare float64 // share of the plan that others spend without reporting it to the counter

	leasedUnits        float64       // units that this instance may spend
	unreportedUnits    float64       // leased units not yet added to the counter
	level              float64       // of the quota at levelAt, minus all leases known here
	levelAt            time.Duration // time of level
	refreshedAt        time.Duration // time of demand
	demand             float64       // units per second requested at this instance, decaying
	othersRate         float64       // units per second used by other instances, estimated from the totals
	assumedOthersUnits float64       // units assumed to be used by others while the counter was silent
	lastRequest        time.Duration

	windowOffset  time.Duration // staggers the windows of different tenants
	epoch         int64         // number of the window of the current counter name
	total         float64       // last known total of that name
	totalAt       time.Duration // when the last total was received; 0: never
	callPending   bool          // a counter call is in flight
	callUnits     float64       // units that this call adds
	callBlock     float64       // part of callUnits that becomes the next block
	nextCall      time.Duration // earliest time of the next call
	counterSilent bool          // the counter is disabled or does not answer

	sparse          bool // blocks would be too small: the counter grants units per request
	awaitingCounter []*request
	grantWindow     time.Duration // sparse: length of the window of one counter name
	exhaustedUntil  time.Duration // sparse: no units are left until then
	observedUnits   float64       // sparse, large fleet: units requested in observedFor
	observedFor     float64       // observation time, in seconds of traffic at all instances
	observedAt      time.Duration // time of observedUnits and observedFor

	inFlight            int // attempts in flight
	predecessorInFlight int // those of them that belong to another process of this instance
	ceilingLevel        float64
	ceilingAt           time.Duration // time of ceilingLevel
}

// tenantFor returns the tenant of the request and creates it if necessary. It
// updates the tenant's set of instances to the one in the request.
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

// addTenant creates the state of a tenant with its first block. That block is
// reported to the counter once half of it is spent.
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
	// Allows at least one request before the counter has answered.
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

// refreshTenant updates the demand to the current time. While the counter is
// silent it also leases this instance's share of the rate, and assumes that the
// other instances use theirs.
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
	t.assumedOthersUnits += share * (t.shareDivisor - 1)
}

// leaseUnits moves units from the level to the leased units. The next counter call
// reports them.
func (t *tenant) leaseUnits(units float64) {
	t.leasedUnits += units
	t.unreportedUnits += units
	t.level -= units
}

// availableUnits returns the level of the quota at the current time.
func (e *Engine) availableUnits(t *tenant) float64 {
	return min(t.maxLevel(), t.level+t.refilled(e.now))
}

// refilled returns the units added to the quota since levelAt, without the share
// that others spend without reporting it to the counter.
func (t *tenant) refilled(now time.Duration) float64 {
	return t.plan.Rate * (1 - t.unreportedShare) * (now - t.levelAt).Seconds()
}

// maxLevel returns the level of a full quota, which excludes leased units. Every
// other instance is assumed to hold half as many leased units as this one.
func (t *tenant) maxLevel() float64 {
	return max(0, t.plan.Burst-max(0, t.leasedUnits)*(1+float64(t.spread-1)/2))
}

// guaranteedUnits returns the part of the level that this instance can count on:
// the level minus the estimated use by others since the last total, split by
// demand.
func (e *Engine) guaranteedUnits(t *tenant) float64 {
	if t.counterSilent {
		return 0
	}
	takenByOthers := t.othersRate * (e.now - t.totalAt).Seconds()
	return (e.availableUnits(t) - takenByOthers) * t.demand / (t.demand + t.othersRate)
}

// checkIdleTenant checks the next tenant in turn. It deletes a tenant that has been
// idle for so long that its quota is full again. For another idle tenant it calls
// the counter to report units, or to give back units that were not spent.
func (e *Engine) checkIdleTenant() {
	t := e.nextTenant()
	idle := (e.now - t.lastRequest).Seconds()
	if idle > counterNameRetention.Seconds() && t.isRefilled(e.now) {
		e.deleteTenant(t)
		return
	}
	minReported := 0.25 * t.plan.Burst / float64(t.spread)
	if t.plan.Rate > 0 && math.Abs(t.unreportedUnits) > minReported && idle*t.plan.Rate > 1 {
		e.callCounter(t, 0)
	}
}
