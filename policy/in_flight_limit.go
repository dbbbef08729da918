package policy

// turnsPerObjective is the number of turns within the shortest latency objective,
// if instances take turns in using a tenant's limit of attempts in flight.
const turnsPerObjective = 8

// inFlightLimit returns this instance's share of a tenant's limit of attempts in
// flight, at least 1. If the plan charges for exceeding the limit and there are more
// instances than attempts, the instances take turns instead, and the result may be
// 0. This applies only if each gets a turn within the shortest latency objective.
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
