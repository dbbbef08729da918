package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// minUsableCallShare is the value of counterCallShare below which the counter is
	// treated as silent.
	minUsableCallShare = 0.3
	// minCounterCallShare is the minimum of counterCallShare, so that a counter that has
	// recovered is noticed.
	minCounterCallShare = 0.05
	// counterCallDecrease is the factor on counterCallShare after a call that was not
	// answered in time.
	counterCallDecrease = 0.7
	// counterCallIncrease, divided by counterCallShare, is added to counterCallShare
	// after each successful call.
	counterCallIncrease = 0.01
	// largeFleetCallIncrease replaces counterCallIncrease in a large fleet.
	largeFleetCallIncrease = 0.003
	// typicalUtilization is the share of its rate that a tenant is assumed to use before
	// there are observations of it.
	typicalUtilization = 0.7
	// utilizationHalfLife is the half-life of the observations of a tenant's use.
	utilizationHalfLife = 20 * time.Second
	// estimateTolerance is the estimated utilization up to which all requests of a
	// tenant are admitted.
	estimateTolerance = 1.3
	// totalFreshness is how long a total counts as recent evidence of a tenant's use.
	totalFreshness = 30 * time.Second
)

// decideSparse decides on a request of a sparse tenant, of which each instance sees
// too few requests to track the quota. The counter grants the units of each request.
// Each counter name covers a window of burst/rate and grants at most one burst in it,
// so that units of rejected requests need not be given back. For requests without a
// counter call, this instance's share of the rate decides, or in a large fleet an
// estimate of the tenant's utilization.
func (e *Engine) decideSparse(r *request) {
	t := r.tenant
	if e.now < t.exhaustedUntil ||
		t.plan.ExcessWeight > t.plan.ExcessCost && e.rng.Float64() > 2*e.counterCallShare-1 {
		r.reason = QuotaKnownSpent
		e.applyQuota(r, false)
		return
	}
	callShare := e.counterCallShare
	if e.largeFleet {
		t.ageObservations(e.now)
		t.observedUnits += r.Units
	}
	if t.plan.CeilingRate > 0 && e.counterCallShare >= minUsableCallShare {
		callShare = 1 // only the counter knows how much of the ceiling is left
	} else if e.largeFleet && t.totalAt > 0 && e.now-t.totalAt < totalFreshness {
		callShare *= e.counterCallShare // save calls for tenants without a recent total
	}
	if e.rng.Float64() > callShare {
		e.decideWithoutCounter(r)
	} else {
		e.queryCounter(r, callShare)
	}
}

// decideWithoutCounter decides on a sparse tenant's request for which the
// counter was not called or has not answered.
func (e *Engine) decideWithoutCounter(r *request) {
	if e.largeFleet {
		e.applyQuota(r, e.admitByEstimate(r))
	} else {
		e.applyQuota(r, e.chargeLeased(r))
	}
}

// queryCounter requests a grant of a request's units from the counter. In a large
// fleet only the share callShare of the requests is counted, and the units added for
// each are scaled up to account for the others.
func (e *Engine) queryCounter(r *request, callShare float64) {
	t := r.tenant
	if !e.largeFleet {
		callShare = 1
	}
	t.startEpoch(int64((e.now + t.windowOffset) / t.grantWindow))
	r.counterName = t.counterName()
	r.counterUnits = r.Units / callShare
	r.reason = CounterLate
	t.awaitingCounter = append(t.awaitingCounter, r)
	e.emit(AddToCounter{
		Name:      r.counterName,
		Add:       r.counterUnits,
		Retention: min(2*t.grantWindow, counterNameRetention),
	})
}

// handleGrantReply decides on the oldest request that waits for a reply with this
// name.
func (e *Engine) handleGrantReply(t *tenant, reply CounterReply) {
	i := slices.IndexFunc(t.awaitingCounter, func(r *request) bool { return r.counterName == reply.Name })
	if i < 0 {
		return
	}
	r := t.awaitingCounter[i]
	t.awaitingCounter = slices.Delete(t.awaitingCounter, i, i+1)
	if r.phase == phaseFinished {
		return
	}
	if reply.Outcome != Succeeded {
		r.reason = QuotaCounterFailed
		if reply.Outcome != Failed { // unanswered calls only add load to the counter: make fewer of them
			e.counterCallShare = max(minCounterCallShare, e.counterCallShare*counterCallDecrease)
		}
		e.decideWithoutCounter(r)
		return
	}
	r.reason = NoReason
	grant := t.windowGrant()
	inside := reply.Total-r.counterUnits+r.Units <= max(grant, r.Units)
	increase := counterCallIncrease
	if e.largeFleet {
		increase = largeFleetCallIncrease
	}
	e.counterCallShare = min(1, e.counterCallShare+increase/e.counterCallShare)
	if e.largeFleet {
		e.learnUtilization(t, r, reply.Total)
	}
	r.granted = inside && e.counterCallShare >= minUsableCallShare
	if inside {
		t.leasedUnits = max(0, t.leasedUnits-r.Units)
	} else if r.counterName == t.counterName() && reply.Total > grant+r.Units {
		t.exhaustedUntil = time.Duration(t.epoch+1)*t.grantWindow - t.windowOffset
	}
	e.applyQuota(r, inside)
}

// windowGrant returns the units that a counter name grants in its window.
func (t *tenant) windowGrant() float64 {
	if t.plan.CeilingRate > 0 { // the grants of two successive windows may be used at the same time
		return min(t.plan.Burst, t.plan.CeilingBurst/2)
	}
	return t.plan.Burst
}

// ageObservations decays the observations of a sparse tenant up to now, and adds the
// elapsed time divided by the number of instances that receive its requests.
func (t *tenant) ageObservations(now time.Duration) {
	elapsed := (now - t.observedAt).Seconds()
	retained := math.Exp2(-elapsed / utilizationHalfLife.Seconds())
	t.observedUnits *= retained
	t.observedFor = t.observedFor*retained + elapsed/float64(t.spread)
	t.observedAt = now
}

// estimateUtilization estimates the demand of a sparse tenant at all instances, as a
// multiple of its rate. It combines the requests seen here and the totals of the
// counter with typicalUtilization as the prior.
func (e *Engine) estimateUtilization(t *tenant) float64 {
	typicalUnits := max(1, e.settings.MaxUnits/2)
	typicalSeconds := typicalUnits / (typicalUtilization * t.plan.Rate)
	return (typicalUnits + t.observedUnits) / (typicalSeconds + t.observedFor) / t.plan.Rate
}

// admitByEstimate decides at random whether to admit a request without a grant of the
// counter. The probability is chosen so that all instances together send about the
// tenant's rate if the tenant demands more than that.
func (e *Engine) admitByEstimate(r *request) bool {
	use := e.estimateUtilization(r.tenant)
	r.withinQuotaProbability = 1 / max(1, use)
	return e.rng.Float64() < estimateTolerance/use
}

// learnUtilization adds a total of the counter to the observations of a sparse
// tenant. The weight accounts for the requests that were decided without the counter.
func (e *Engine) learnUtilization(t *tenant, r *request, total float64) {
	if r.counterName != t.counterName() {
		return
	}
	since := time.Duration(t.epoch)*t.grantWindow - t.windowOffset
	totalBefore := 0.0
	if t.totalAt > since {
		since = t.totalAt
		totalBefore = t.total
	}
	weight := e.counterCallShare * (1 + e.counterCallShare) / 2
	t.observedUnits += max(0, total-totalBefore-r.counterUnits) * weight
	t.observedFor += (e.now - since).Seconds() * weight
	t.total = total
	t.totalAt = e.now
}
