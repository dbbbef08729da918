package policy

import "time"

// ceilingAllows reports whether the tenant's ceiling lets the request's units
// pass: the counter has granted them, or this instance's share of the ceiling
// holds them. That starts empty, since nothing is known after a restart of what
// was spent before.
func (e *Engine) ceilingAllows(r *request) bool {
	t := r.tenant
	p := r.plan
	if p.CeilingRate <= 0 || r.granted {
		return true
	}
	t.ceilingLevel = min(p.CeilingBurst/t.shareDivisor, t.refilledCeiling(e.now))
	t.ceilingAt = e.now
	if t.sparse && e.counterCallShare >= lostCounterShare {
		return false // the counter grants other requests theirs
	}
	return t.ceilingLevel >= r.Units
}

// refilledCeiling returns this instance's share of the ceiling with what has come
// to it since ceilingAt, not limited by its burst.
func (t *tenant) refilledCeiling(now time.Duration) float64 {
	return t.ceilingLevel + t.plan.CeilingRate/t.shareDivisor*(now-t.ceilingAt).Seconds()
}
