// Package overrun computes how much of a shared quota this instance holds, in
// which mode the quota is coordinated, and how much the instance may forward
// within a span if the shared counter doesn't answer any more. Its input is the
// policy engine's state of a tenant's quota and the time; its output is a Bound.
//
// It does no I/O, modifies no state and never decides whether a request is
// forwarded. The bounds describe how the policy engine spends quota; see its
// admission, quota refresh and handling of failed counter calls.
package overrun

import "hitchspring/policy"

// Plan holds the limits of a tenant's plan.
type Plan struct {
	Rate     float64 // units per second
	Burst    float64 // units
	MaxUnits float64 // units of one request
}

// QuotaState is this instance's state of one tenant's quota.
type QuotaState struct {
	policy.LearnedTenant
	policy.QuotaStatus
	Plan Plan
}

// instances returns the number of instances that receive the tenant's requests.
func (q *QuotaState) instances() int { return max(1, q.Spread) }

// QuotaStates returns the quota states of all tenants of a policy engine that have
// a limited rate.
func QuotaStates(
	learned policy.LearnedState, standings map[string]policy.QuotaStatus, settings policy.Settings,
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
