package overrun

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxTransferRemaining is the longest that a share transferred by other
	// instances remains usable without a renewal; see escrow.TransferTerm.
	maxTransferRemaining = time.Second
	// maxCounterReplyDelay is the longest time after the last total for which
	// counter calls may still be answered. Until then quota is leased according
	// to that total.
	maxCounterReplyDelay = 500 * time.Millisecond
	// maxDetectionDelay is the longest time until the other instances account for
	// the units that one spends without the counter. They learn of it from its
	// first message after a failed call, or from a second without messages; see
	// package escrow.
	maxDetectionDelay = 1500 * time.Millisecond
)

// noTotal is the Age of a Bound if the counter has never answered.
const noTotal time.Duration = -1

// Bound is the maximum that an instance may spend of one tenant's quota. Amounts
// are in units.
type Bound struct {
	Tenant    string `json:"Customer"`
	Plan      string `json:"Plan"`
	Mode      Mode   `json:"Mode"`
	Instances int    `json:"Ways"` // number of instances that receive the tenant's requests
	// Demand is the requested units per second at this instance. Others is the
	// latest known rate of the other instances' use.
	Demand float64 `json:"Demand"`
	Others float64 `json:"Others"`
	// Age is the age of the counter's last total, -1 if there was none.
	Age time.Duration `json:"Age"`
	// ReservedUnits may be forwarded in any case: they are leased, or charged by
	// queued requests.
	ReservedUnits float64 `json:"Held"`
	// UnreportedUnits are already leased or spent, but not yet reported to the
	// counter.
	UnreportedUnits float64 `json:"Untold"`
	// AvailableUnits is the estimate of the further units that the counter has;
	// a negative value is a debt.
	AvailableUnits float64 `json:"Room"`
	// Span is the time to which MaxSpend applies.
	Span time.Duration `json:"For"`
	// MaxSpend is the maximum that is forwarded within Span if the counter
	// doesn't answer from now on.
	MaxSpend float64 `json:"Spend"`
	// MaxUnreported is the part of MaxSpend and of the units already spent that is
	// not reported to the counter. The other instances may spend the same amount
	// again.
	MaxUnreported float64 `json:"Uncounted"`
	// Share is the fraction of the plan that this instance holds, by equal
	// division or by transfers.
	Share float64 `json:"Part"`
	// Overrun is the maximum by which this instance may overdraw the quota:
	// MaxUnreported, or with escrow what it spends until the other instances
	// account for it, if that is less.
	Overrun float64 `json:"Overrun"`
}

// BoundOf returns the bound on the spending of a quota within span if the counter
// doesn't answer from now on.
func BoundOf(now time.Duration, quota QuotaState, span time.Duration) Bound {
	equalShare := 1 / float64(quota.instances())
	bound := Bound{
		Tenant:          cmp.Or(quota.Tenant, quota.Account),
		Plan:            quota.LearnedTenant.Plan,
		Instances:       quota.instances(),
		Demand:          quota.Demand,
		Others:          quota.OthersRate,
		Age:             noTotal,
		ReservedUnits:   max(0, quota.LeasedUnits) + quota.QueuedUnits,
		UnreportedUnits: max(0, quota.UnreportedUnits),
		AvailableUnits:  quota.AvailableUnits,
		Span:            span,
		Share:           equalShare,
	}
	if quota.TotalAt > 0 {
		bound.Age = now - quota.TotalAt
	}
	bound.Mode = quota.mode(bound.Age)
	leasable := quota.maxLeasedWithoutCounter(now, span)
	bound.MaxSpend = bound.ReservedUnits + leasable
	bound.MaxUnreported = bound.UnreportedUnits + leasable
	if quota.Share > 0 {
		bound.Share = quota.Share
	}
	bound.Overrun = bound.MaxUnreported
	if quota.Escrowed { // once the others know that this instance spends without the counter, they leave it its share
		leasedAtOnce := max(0, bound.AvailableUnits) * bound.Share
		refill := quota.Plan.Rate * max(bound.Share, equalShare) * maxDetectionDelay.Seconds()
		bound.Overrun = min(bound.Overrun, bound.UnreportedUnits+leasedAtOnce+refill)
	}
	return bound
}

// maxLeasedWithoutCounter returns the maximum number of units that this instance
// leases within span without an answer of the counter.
func (q *QuotaState) maxLeasedWithoutCounter(now, span time.Duration) float64 {
	instances := float64(q.instances())
	equalShare := 1 / instances
	units := q.Plan.Rate / instances * span.Seconds()
	if q.Share > equalShare { // the excess was transferred by others, which may be unreachable for a renewal
		units += q.Plan.Rate * (q.Share - equalShare) * min(span, maxTransferRemaining).Seconds()
	}
	if q.CounterSilent {
		// The refill of its share since the last refresh is available, up to a
		// full lease.
		refill := q.Plan.Rate / instances * max(0, now-q.RefreshedAt).Seconds()
		maxLease := max(q.Plan.Burst/instances, q.Plan.MaxUnits, 1)
		return units + min(refill, max(0, maxLease-q.LeasedUnits))
	}
	// When calls begin to fail, it leases its share of the available units once.
	// Until then its calls may still be answered.
	return units + max(0, q.AvailableUnits+q.Plan.Rate*maxCounterReplyDelay.Seconds())
}

// TopBounds returns the bounds of the up to limit quotas with the highest demand,
// in descending order. It sorts quotas in place.
func TopBounds(now time.Duration, quotas []QuotaState, span time.Duration, limit int) []Bound {
	slices.SortFunc(quotas, func(a, b QuotaState) int {
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Account, b.Account))
	})
	quotas = quotas[:min(limit, len(quotas))]
	bounds := make([]Bound, 0, len(quotas))
	for _, quota := range quotas {
		bounds = append(bounds, BoundOf(now, quota, span))
	}
	return bounds
}
