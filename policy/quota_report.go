package policy

import (
	"math"
	"time"
)

// QuotaStanding is how a tenant's quota stands at an instance, beside what
// ExportState returns.
type QuotaStanding struct {
	QueuedUnits    float64 // leased units taken by requests that have not been sent
	AvailableUnits float64 // the quota's level by now in this instance's view, less all known leases
	Sparse         bool    // no blocks: the counter is called for each request
	Escrowed       bool    // shares are agreed with others, who allow for what is spent here unheard
}

// QuotaStandings returns those of all tenants by account.
func (e *Engine) QuotaStandings() map[string]QuotaStanding {
	standings := map[string]QuotaStanding{}
	for _, t := range e.tenantOrder {
		standings[t.account] = QuotaStanding{
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

// QuotaNeed is a tenant's demand here beside this instance's share of its plan.
type QuotaNeed struct {
	Account     string  // Request.Account
	Spread      int     // instances that the tenant's requests come through
	First       int     // index of the first of them
	Rate        float64 // of the plan, units a second
	OthersRate  float64 // units a second that the counter's totals show of all others
	MaxInFlight int     // cap on attempts, where it is shared out; else 0
	WantedShare float64 // the share with which the demand here would be admitted
	CounterLost bool    // no totals come from the counter
}

// QuotaNeeds returns those of the tenants whose requests come through several
// instances and whose share matters, in order of their first requests.
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
