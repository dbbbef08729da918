package policy

import "time"

// ceilingAllows reports whether the tenant's ceiling admits the request: the counter
// has granted its units, or this instance's share of the ceiling holds enough. The
// share starts empty, since the units spent before a restart are not known.
func (e *Engine) ceilingAllows(r *request) bool {
	t := r.tenant
	p := r.plan
	if p.CeilingRate <= 0 || r.granted {
		return true
	}
	t.ceilingLevel = min(p.CeilingBurst/t.shareDivisor, t.refilledCeiling(e.now))
	t.ceilingAt = e.now
	if t.sparse && e.counterCallShare >= minUsableCallShare {
		return false // the counter grants the ceiling's units to other requests
	}
	return t.ceilingLevel >= r.Units
}

// refilledCeiling returns the units in this instance's share of the ceiling,
// including those added since ceilingAt. The result is not limited by the burst.
func (t *tenant) refilledCeiling(now time.Duration) float64 {
	return t.ceilingLevel + t.plan.CeilingRate/t.shareDivisor*(now-t.ceilingAt).Seconds()
}
