package policy

import (
	"slices"
	"time"
)

// reclaimChecks is the number of tenants that are checked for one that can be deleted
// when another is to be added at the limit.
const reclaimChecks = 16

// admitTenant reports whether the request's tenant is tracked, or may be. At the
// limit it deletes a tenant whose quota is full again, since a new one would begin
// in the same state. Work that was taken over is always admitted: it may have run.
func (e *Engine) admitTenant(r *request) bool {
	limit := e.settings.MaxTenants
	if limit <= 0 || len(e.tenants) < limit || r.Prior != nil || r.Charged || e.tenants[r.Account()] != nil {
		return true
	}
	for range reclaimChecks {
		t := e.nextTenant()
		unused := e.now-t.lastRequest > e.longestWait && !t.awaitsCounter()
		if unused && t.isRefilled(e.now) {
			e.deleteTenant(t)
			return true
		}
	}
	return false
}

// nextTenant returns the tracked tenants in turn. There must be one.
func (e *Engine) nextTenant() *tenant {
	e.idleCursor = (e.idleCursor + 1) % len(e.tenantOrder)
	return e.tenantOrder[e.idleCursor]
}

// deleteTenant deletes the tenant that nextTenant has returned last.
func (e *Engine) deleteTenant(t *tenant) {
	delete(e.tenants, t.account)
	e.tenantOrder = slices.Delete(e.tenantOrder, e.idleCursor, e.idleCursor+1)
}

// isRefilled reports whether the tenant has been idle for so long that its quota and
// its ceiling are full again, as far as its plan has them.
func (t *tenant) isRefilled(now time.Duration) bool {
	idle := (now - t.lastRequest).Seconds()
	quotaFull := t.plan.Rate <= 0 || idle*t.plan.Rate >= t.plan.Burst
	ceilingFull := t.plan.CeilingRate <= 0 || idle*t.plan.CeilingRate >= t.plan.CeilingBurst
	return quotaFull && ceilingFull && t.inFlight == 0
}

// awaitsCounter reports whether a reply of the counter is expected for the tenant.
func (t *tenant) awaitsCounter() bool { return t.callPending || len(t.awaitingCounter) > 0 }
