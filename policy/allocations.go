package policy

import "time"

// minShare is the smallest share of a plan; it avoids a division by zero.
const minShare = 1e-9

// Allocations are the shares of tenants' plans that this instance has agreed on
// with the other instances. A share applies to the rate, the burst, the ceiling and
// the limit of attempts in flight. The shares of one tenant at all instances add up
// to at most 1, even if messages between instances are lost.
type Allocations struct {
	Default   float64               // fraction of the equal share, for accounts not in ByAccount
	ByAccount map[string]Allocation // by Request.Account
}

// Allocation is the agreement on one tenant's plan.
type Allocation struct {
	Share      float64 // share of this instance, from 0 to 1
	Unreported float64 // share of the plan spent by others without reporting to the counter
}

// SetAllocations sets the shares that this instance has from now on. Units that are
// already leased remain leased.
//
// stopped means that this process was suspended until now. The time of the
// suspension then adds no units, since the shares may have ended during it.
func (e *Engine) SetAllocations(now time.Duration, allocations Allocations, stopped bool) {
	e.now = max(now, e.now)
	e.allocations = &allocations
	for _, t := range e.tenantOrder {
		if stopped {
			t.refreshedAt = e.now
			t.ceilingAt = e.now
		}
		e.updateShare(t)
	}
}

// shareOf returns the divisor of a tenant's share (the share is 1/divisor), and the
// share that other instances spend without reporting it. Without allocations each
// instance has an equal share.
func (a *Allocations) shareOf(t *tenant) (divisor, unreported float64) {
	divisor = float64(t.spread)
	if a == nil {
		return divisor, 0
	}
	if allocation, named := a.ByAccount[t.account]; named {
		return 1 / min(1, max(minShare, allocation.Share)), min(1, max(0, allocation.Unreported))
	}
	return divisor / min(1, max(minShare, a.Default)), 0
}

// updateShare recomputes this instance's share of a tenant's plan. Units added up
// to now are credited at the old share.
func (e *Engine) updateShare(t *tenant) {
	divisor, unreported := e.allocations.shareOf(t)
	if divisor == t.shareDivisor && unreported == t.unreportedShare {
		return
	}
	e.refreshTenant(t)
	t.level += t.refilled(e.now)
	t.levelAt = e.now
	burst := t.plan.CeilingBurst
	t.ceilingLevel = min(t.refilledCeiling(e.now), burst/t.shareDivisor, burst/divisor)
	t.ceilingAt = e.now
	t.shareDivisor = divisor
	t.unreportedShare = unreported
}
