// Package overrun states how much of a shared quota this instance holds, in
// which mode the quota is coordinated, and how much the instance may forward
// within a span should it hear nothing more from the shared counter. It takes
// in the policy engine's state of a tenant's quota and the time, and returns a
// Bound.
// It does no I/O, changes nothing and never decides whether a request is
// forwarded: the bounds hold because of how the policy engine spends (see its
// admission, quota refresh and failed counter calls).
package overrun

import "hitchspring/policy"

// Plan is what a tenant may use.
type Plan struct {
	Rate     float64 // units per second
	Burst    float64 // units
	MaxUnits float64 // of one request
}

// QuotaState is what this instance knows of one tenant's quota.
type QuotaState struct {
	policy.LearnedTenant
	policy.QuotaStanding
	Plan Plan
}

// instances returns the number of instances that the tenant's requests come through.
func (q *QuotaState) instances() int { return max(1, q.Spread) }

// QuotaStates returns the quota states of all tenants with a limited rate that
// a policy engine knows.
func QuotaStates(
	learned policy.LearnedState, standings map[string]policy.QuotaStanding, settings policy.Settings,
) []QuotaState {
	plans := map[string]Plan{}
	for _, p := range settings.Plans {
		if p.Rate > 0 {
			plans[p.Name] = Plan{
				Rate:     p.Rate,
				Burst:    max(p.Burst, settings.MaxUnits, 1),
				MaxUnits: settings.MaxUnits,
			}
		}
	}
	var states []QuotaState
	for _, tenant := range learned.Tenants {
		if plan, limited := plans[tenant.Plan]; limited {
			states = append(states, QuotaState{tenant, standings[tenant.Account], plan})
		}
	}
	return states
}
