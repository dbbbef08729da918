package sim

import "slices"

// checkRules checks an attempt that arrived at a backend against the limits of the
// backend's slow start and of the tenant's plan. Only the first attempt
// of a request is charged to the quota and the ceiling.
func (s *simulation) checkRules(a *attempt) {
	s.checkOverload(a)
	r := a.request
	t := s.tenants[slices.IndexFunc(s.tenants, func(t *tenant) bool { return t.id == r.Tenant })]
	overCap := t.plan.MaxInFlight > 0 && t.inFlight >= t.plan.MaxInFlight
	t.inFlight++
	a.counted = t
	if r.counted {
		return
	}
	r.counted = true
	if overCap || !t.quota.take(t.plan, s.now, r.Units) {
		s.report.ExcessCostTotal += r.weight(t.plan) * t.plan.ExcessCost
	}
	if t.plan.CeilingRate > 0 {
		refilled := t.ceilingLevel + ceilingRate*(s.now-t.ceilingUpdatedAt).Seconds()
		t.ceilingLevel = min(ceilingBurst, refilled) - r.Units
		t.ceilingUpdatedAt = s.now
		s.report.OverCeiling = max(s.report.OverCeiling, -t.ceilingLevel)
	}
}

// checkOverload adds an attempt to the recent work of a backend in slow start. It reports
// the backend as overloaded if that work exceeds the limit.
func (s *simulation) checkOverload(a *attempt) {
	b := a.backend
	share := s.capacityShare(b)
	if share >= 1 {
		return
	}
	b.recentWork = append(b.recentWork, timedWork{s.now, a.work / b.speed})
	b.recentWork = slices.DeleteFunc(b.recentWork, func(w timedWork) bool { return s.now-w.at > overloadSpan })
	sum := 0.0
	for _, w := range b.recentWork {
		sum += w.amount
	}
	limit := overloadMultiple * share * float64(b.cores)
	if sum > limit && len(b.recentWork) > 2 && !slices.Contains(s.report.Overloaded, b.ID) {
		s.report.Overloaded = append(s.report.Overloaded, b.ID)
	}
}

// capacityShare returns the share of its full capacity that a backend has now. It grows
// linearly over the slow start window.
func (s *simulation) capacityShare(b *backend) float64 {
	age := epoch + s.now - b.Started
	if b.Started == 0 || age >= slowStartWindow {
		return 1
	}
	return slowStartShare + (1-slowStartShare)*max(0, age.Seconds())/slowStartWindow.Seconds()
}
