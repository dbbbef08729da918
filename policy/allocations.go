package policy

import "time"

// minShare is the share of a plan that is as good as none.
const minShare = 1e-9

// Allocations are the shares of what tenants may use that this instance has by
// agreement with the others: of the rate, the burst, the ceiling and the cap
// on attempts in flight. The shares of one tenant at all instances together are at
// most 1, whatever is lost between them.
type Allocations struct {
	Default   float64               // share of the even part, for tenants that are not named
	ByAccount map[string]Allocation // by Request.Account
}

// Allocation is what has been agreed on for one tenant's plan.
type Allocation struct {
	Share      float64 // of this instance, of 1
	Unreported float64 // of those who spend it without reporting to the counter
}

// SetAllocations takes over the shares that this instance has from now on. Units that were
// leased before stay.
//
// After a time in which this process did not run (stopped), nothing has come to it
// meanwhile: its shares of that time may have ended.
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

// shareOf returns a tenant's share as one in so many, and the share that others
// spend unreported. Without any agreement each instance has an even share.
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

// updateShare brings this instance's share of a tenant's plan up to date after
// what it depends on has changed. What has come until now came by the old share.
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
