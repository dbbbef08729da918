package policy

import (
	"math"
	"time"
)

// QuotaStatus is the state of a tenant's quota at an instance, in addition to the
// values that ExportState returns.
type QuotaStatus struct {
	QueuedUnits    float64 // units charged for requests that have not been sent
	AvailableUnits float64 // current level of the quota as seen by this instance, minus all known leases
	Sparse         bool    // no blocks are leased: the counter grants units per request
	Escrowed       bool    // shares are agreed with other instances, which reserve them for unreported use
}

// QuotaStatuses returns the quota state of all tenants by account.
func (e *Engine) QuotaStatuses() map[string]QuotaStatus {
	standings := map[string]QuotaStatus{}
	for _, t := range e.tenantOrder {
		standings[t.account] = QuotaStatus{
			AvailableUnits: e.availableUnits(t),
			Sparse:         t.sparse,
			Escrowed:       e.allocations != nil && t.spread > 1,
		}
	}
	for _, r := range e.openRequests {
		if r.charged && !r.sent && r.phase != phaseFinished {
			s := standings[r.tenant.account]
			s.QueuedUnits += r.Units
			standings[r.tenant.account] = s
		}
	}
	return standings
}

// QuotaNeed is a tenant's demand at this instance, for negotiating its share of the
// tenant's plan.
type QuotaNeed struct {
	Account     string  // Request.Account
	Spread      int     // number of instances that receive the tenant's requests
	First       int     // index of the first of those instances
	Rate        float64 // of the plan, units per second
	OthersRate  float64 // units per second used by other instances, from the counter's totals
	MaxInFlight int     // limit of attempts in flight if it is divided among the instances; else 0
	WantedShare float64 // share with which all demand at this instance would be admitted
	CounterLost bool    // the counter is disabled or does not answer
}

// QuotaNeeds returns the needs of all tenants that have a rate, are not sparse and
// are served by several instances, in order of their first requests.
func (e *Engine) QuotaNeeds(now time.Duration) []QuotaNeed {
	var needs []QuotaNeed
	for _, t := range e.tenantOrder {
		if t.spread >= 2 && t.plan.Rate > 0 && !t.sparse {
			needs = append(needs, e.quotaNeed(t, now))
		}
	}
	return needs
}

func (e *Engine) quotaNeed(t *tenant, now time.Duration) QuotaNeed {
	need := QuotaNeed{
		Account:     t.account,
		Spread:      t.spread,
		First:       e.firstInstance(t),
		Rate:        t.plan.Rate,
		OthersRate:  t.othersRate,
		CounterLost: t.counterSilent,
	}
	demand := t.demand * math.Exp(-(now - t.refreshedAt).Seconds())
	if need.CounterLost {
		need.WantedShare = demand / t.plan.Rate
	}
	if t.plan.CeilingRate > 0 {
		need.WantedShare = max(need.WantedShare, demand/t.plan.CeilingRate)
	}
	if t.plan.MaxInFlight >= t.spread {
		need.MaxInFlight = t.plan.MaxInFlight
		need.WantedShare = max(need.WantedShare, float64(t.inFlight)/float64(t.plan.MaxInFlight))
	}
	return need
}
