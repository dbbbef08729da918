package policy

// turnsPerObjective is the number of turns at a tenant's cap on attempts in the
// shortest latency objective.
const turnsPerObjective = 8

// inFlightLimit returns this instance's share of the attempts that a tenant may
// have out at once, one at least. Where going beyond the cap costs, instances that
// outnumber the attempts take turns instead, if each has a turn within the
// shortest latency objective.
func (e *Engine) inFlightLimit(t *tenant) int {
	limit := t.plan.MaxInFlight
	instances := t.spread
	if e.allocations != nil && limit >= instances {
		return max(1, int(float64(limit)/t.shareDivisor+1e-6)) // for rounding
	}
	if t.plan.ExcessCost == 0 || limit >= instances || instances > limit*turnsPerObjective {
		return max(1, (limit+instances-1-t.position)/instances)
	}
	turnLength := e.sweepInterval * sweepsPerObjective / turnsPerObjective
	turn := int((e.now + t.windowOffset) / turnLength)
	return (limit + instances - 1 - (t.position+limit*turn)%instances) / instances
}
