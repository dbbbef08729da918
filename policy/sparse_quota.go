package policy

import (
	"math"
	"slices"
	"time"
)

const (
	// lostCounterShare is the share of requests for which the counter is called below
	// which it is as good as silent.
	lostCounterShare = 0.3
	// minCounterCallShare is that share at least, to find a counter that is back.
	minCounterCallShare = 0.05
	// counterCallDecrease is the factor on that share after a call that the counter
	// did not answer in time.
	counterCallDecrease = 0.7
	// counterCallIncrease is what that share grows by after an answer, divided by the
	// share itself.
	counterCallIncrease = 0.01
	// largeFleetCallIncrease is the same in a large fleet.
	largeFleetCallIncrease = 0.003
	// typicalUse is the share of its rate that a tenant uses, before anything is known
	// of it.
	typicalUse = 0.7
	// useHalfLife is the time in which half of what is known of a tenant's use is
	// forgotten.
	useHalfLife = 20 * time.Second
	// estimateTolerance is what a tenant may seem to use, as a multiple of its rate,
	// with all its requests admitted.
	estimateTolerance = 1.3
	// totalFreshness is how long a total is good evidence of a tenant's use.
	totalFreshness = 30 * time.Second
)

// decideSparse decides on a request of a tenant that each instance sees too
// seldom to know its quota: the counter grants the units of each request.
// The counter's name stands for a window of burst over rate, which grants the
// burst, so that units of rejected requests need not be given back. Where not all
// calls get through, this instance's share of the rate decides, or in a large
// fleet an estimate.
func (e *Engine) decideSparse(r *request) {
	t := r.tenant
	if e.now < t.exhaustedUntil ||
		t.plan.ExcessWeight > t.plan.ExcessCost && e.rng.Float64() > 2*e.counterCallShare-1 {
		r.reason = QuotaKnown
		e.applyQuota(r, false)
		return
	}
	callShare := e.counterCallShare
	if e.largeFleet {
		t.ageObservations(e.now)
		t.observedUnits += r.Units
	}
	if t.plan.CeilingRate > 0 && e.counterCallShare >= lostCounterShare {
		callShare = 1 // only the counter knows what is left of a ceiling
	} else if e.largeFleet && t.totalAt > 0 && e.now-t.totalAt < totalFreshness {
		callShare *= e.counterCallShare // the calls there are go to tenants of which less is known
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
// fleet they stand for those of all requests of which callShare are counted.
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
		Name: r.counterName,
		Add:  r.counterUnits,
		Keep: min(2*t.grantWindow, counterNameRetention),
	})
}

// handleGrantReply decides on the first request that waits for the reply's name.
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
		r.reason = QuotaBlind
		if reply.Outcome != Failed { // a call that the counter does not answer in time is load for nothing
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
		e.learnFromTotal(t, r, reply.Total)
	}
	r.granted = inside && e.counterCallShare >= lostCounterShare
	if inside {
		t.leasedUnits = max(0, t.leasedUnits-r.Units)
	} else if r.counterName == t.counterName() && reply.Total > grant+r.Units {
		t.exhaustedUntil = time.Duration(t.epoch+1)*t.grantWindow - t.windowOffset
	}
	e.applyQuota(r, inside)
}

// windowGrant returns the units that a counter name may grant in its window.
func (t *tenant) windowGrant() float64 {
	if t.plan.CeilingRate > 0 { // the end of one window and the start of the next may be used at once
		return min(t.plan.Burst, t.plan.CeilingBurst/2)
	}
	return t.plan.Burst
}

// ageObservations lets what is known of a sparse tenant's use fade up to now, and
// adds the time in which this instance has seen its share of the requests.
func (t *tenant) ageObservations(now time.Duration) {
	elapsed := (now - t.observedAt).Seconds()
	retained := math.Exp2(-elapsed / useHalfLife.Seconds())
	t.observedUnits *= retained
	t.observedFor = t.observedFor*retained + elapsed/float64(t.spread)
	t.observedAt = now
}

// estimateUse returns the units a second that a sparse tenant demands at all
// instances, as a multiple of its rate. It weighs what has come here and what
// totals have shown against what is typical.
func (e *Engine) estimateUse(t *tenant) float64 {
	typicalUnits := max(1, e.settings.MaxUnits/2)
	typicalSeconds := typicalUnits / (typicalUse * t.plan.Rate)
	return (typicalUnits + t.observedUnits) / (typicalSeconds + t.observedFor) / t.plan.Rate
}

// admitByEstimate reports whether a request that the counter has not decided on is
// admitted: of a tenant that demands more than its rate, so many that all
// instances together send its rate.
func (e *Engine) admitByEstimate(r *request) bool {
	use := e.estimateUse(r.tenant)
	r.insideProbability = 1 / max(1, use)
	return e.rng.Float64() < estimateTolerance/use
}

// learnFromTotal learns a sparse tenant's use from a total of its window. Only a
// part of what was used was counted, and it stands for the rest.
func (e *Engine) learnFromTotal(t *tenant, r *request, total float64) {
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
