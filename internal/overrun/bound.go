package overrun

import (
	"cmp"
	"slices"
	"time"
)

const (
	// transfersEndWithin is when the last share that other instances have
	// transferred here has ended; see escrow.TransferTerm.
	transfersEndWithin = time.Second
	// callsEndWithin is how long counter calls may still be answered after the
	// last total; quota is leased by that total meanwhile.
	callsEndWithin = 500 * time.Millisecond
	// noticedWithin is when the other instances take into account what one
	// spends without the counter: after a call that fails and the next message
	// to them, or a second without messages; see package escrow.
	noticedWithin = 1500 * time.Millisecond
)

// noTotal is the Age of a Bound if the counter was never heard.
const noTotal time.Duration = -1

// Bound states what an instance may spend of one tenant's quota. Amounts are in
// units.
type Bound struct {
	Tenant    string `json:"Customer"`
	Plan      string `json:"Plan"`
	Mode      Mode   `json:"Mode"`
	Instances int    `json:"Ways"` // that the tenant's requests come through
	// Demand is the units per second that are requested here, Others what the
	// other instances used, as last seen.
	Demand float64 `json:"Demand"`
	Others float64 `json:"Others"`
	// Age is the age of the counter's last total; -1 means that there was none.
	Age time.Duration `json:"Age"`
	// ReservedUnits may be forwarded in any case: they are leased, or queued
	// requests have taken them.
	ReservedUnits float64 `json:"Held"`
	// UnreportedUnits are leased or spent already, without the counter's knowledge.
	UnreportedUnits float64 `json:"Untold"`
	// AvailableUnits is the estimate of what the counter has besides; below 0
	// is debt.
	AvailableUnits float64 `json:"Room"`
	// Span is the time that MaxSpend is for.
	Span time.Duration `json:"For"`
	// MaxSpend is the most that is forwarded within Span, should the counter
	// not be heard from now on.
	MaxSpend float64 `json:"Spend"`
	// MaxUnreported is the part of MaxSpend, and of what is spent already, that
	// the counter doesn't know of. The other instances may spend as much again.
	MaxUnreported float64 `json:"Uncounted"`
	// Share is the fraction of the plan that this instance holds, by equal
	// division or by transfers.
	Share float64 `json:"Part"`
	// Overrun is the most by which this instance may overdraw the quota:
	// MaxUnreported, or what it spends before the others take it into account.
	Overrun float64 `json:"Overrun"`
}

// BoundOf states what may be spent of a quota within span, should the counter
// not be heard from now on.
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
	if quota.Escrowed { // the others leave this instance its share once they know that it spends without the counter
		leasedAtOnce := max(0, bound.AvailableUnits) * bound.Share
		refill := quota.Plan.Rate * max(bound.Share, equalShare) * noticedWithin.Seconds()
		bound.Overrun = min(bound.Overrun, bound.UnreportedUnits+leasedAtOnce+refill)
	}
	return bound
}

// maxLeasedWithoutCounter returns the most units that this instance leases
// itself within span without hearing the counter.
func (q *QuotaState) maxLeasedWithoutCounter(now, span time.Duration) float64 {
	instances := float64(q.instances())
	equalShare := 1 / instances
	units := q.Plan.Rate / instances * span.Seconds()
	if q.Share > equalShare { // transferred by others, who can't be reached to renew it
		units += q.Plan.Rate * (q.Share - equalShare) * min(span, transfersEndWithin).Seconds()
	}
	if q.CounterSilent {
		// The refill of its share since the last refresh is there, up to a
		// full lease.
		refill := q.Plan.Rate / instances * max(0, now-q.RefreshedAt).Seconds()
		maxLease := max(q.Plan.Burst/instances, q.Plan.MaxUnits, 1)
		return units + min(refill, max(0, maxLease-q.LeasedUnits))
	}
	// When calls fail it leases its share of what is there once, and until then
	// its calls may still be answered.
	return units + max(0, q.AvailableUnits+q.Plan.Rate*callsEndWithin.Seconds())
}

// TopBounds returns the bounds of the quotas with the most demand, in
// descending order, limit at the most. It sorts quotas.
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
