package policy

import (
	"cmp"
	"time"
)

// blockDemandSeconds is the size of a block, in seconds of the tenant's demand.
const blockDemandSeconds = 0.6

// decideQuota decides whether a request is within its tenant's quota, and queues
// or rejects it. A request of a sparse tenant may first wait for the counter's
// reply.
func (e *Engine) decideQuota(r *request) {
	if r.tenant.sparse {
		e.decideSparse(r)
	} else {
		e.applyQuota(r, e.chargeLeased(r))
	}
}

// applyQuota queues a request that is within its quota. A request over the quota is
// queued only if it earns more than it costs and the instance is not overloaded;
// otherwise it is rejected.
func (e *Engine) applyQuota(r *request, inside bool) {
	r.overQuota = !inside
	if r.overQuota && (r.plan.ExcessWeight <= r.plan.ExcessCost || e.overloaded()) {
		r.reason = cmp.Or(r.reason, Quota)
		e.reject(r, e.quotaRetryAfter(r))
		return
	}
	e.enqueue(r)
	e.sendQueued()
}

// chargeLeased deducts the request's units from the leased units and reports whether
// there were enough. If too few are leased, it leases the rest in advance, provided
// that the last total guarantees them.
func (e *Engine) chargeLeased(r *request) bool {
	t := r.tenant
	if t.plan.Rate <= 0 {
		return true
	}
	e.refreshTenant(t)
	t.demand += r.Units
	if t.leasedUnits < r.Units && e.guaranteedUnits(t) >= r.Units-t.leasedUnits {
		t.leaseUnits(r.Units - t.leasedUnits)
	}
	r.charged = t.leasedUnits >= r.Units-1e-9 // for rounding
	if r.charged {
		t.leasedUnits -= r.Units
	}
	e.requestBlock(t)
	return r.charged
}

// requestBlock requests the next block from the counter once half of the current
// one is spent. A block covers blockDemandSeconds of demand; it is at least large
// enough for one large request and at most an equal share of the burst.
func (e *Engine) requestBlock(t *tenant) {
	largest := t.plan.Burst / float64(t.spread)
	size := min(max(t.demand*blockDemandSeconds, 2*max(1, e.settings.MaxUnits/2)), largest)
	if t.leasedUnits <= size/2 {
		e.callCounter(t, max(0, min(size-t.leasedUnits, e.availableUnits(t)/float64(t.spread))))
	}
}

// quotaRetryAfter returns the time until the quota will cover the request's units.
func (e *Engine) quotaRetryAfter(r *request) time.Duration {
	t := r.tenant
	if t.sparse && e.largeFleet {
		return t.grantWindow - (e.now+t.windowOffset)%t.grantWindow
	}
	if t.sparse {
		return max(t.exhaustedUntil-e.now, e.sweepInterval)
	}
	missing := max(r.Units-max(0, e.availableUnits(t))-max(0, t.leasedUnits), 1)
	return time.Duration(missing / max(t.plan.Rate, 0.01) * float64(time.Second))
}
