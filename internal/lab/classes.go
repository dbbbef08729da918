package lab

import (
	"time"

	"hitchspring/internal/lab/measure"
	"hitchspring/internal/rulecheck"
	"hitchspring/internal/standin/backend"
)

const ms = time.Millisecond

// class is a request class of the specification.
type class struct {
	name                       string
	share                      float64
	work                       backend.Work
	latencyObjective, deadline time.Duration
	priorityWeight             float64
	lateShare                  float64
	effect                     string // value of the setting classes[].effect
	units                      float64
}

// classes returns the request classes of the specification. If unsafe is set, it adds a class of requests that must not
// be sent twice, for scenarios that test this.
func classes(unsafe bool) []class {
	out := []class{
		{"guide-read", 0.60, backend.Work{Min: 26 * ms, Max: 45 * ms}, 400 * ms, time.Second, 2, 0.1, "read_like", 1},
		{"schedule-set", 0.22, backend.Work{Min: 57 * ms, Max: 99 * ms}, 750 * ms, 2 * time.Second, 2, 0.1, "read_like", 2},
		{"clip-publish", 0.18, backend.Work{Min: 88 * ms, Max: 150 * ms}, 1500 * ms, 5 * time.Second, 5, 0.2, "idempotency_key", 4},
	}
	if unsafe {
		out[0].share = 0.54
		out = append(out, class{"air-switch", 0.06, backend.Work{Min: 57 * ms, Max: 99 * ms}, time.Second, 3 * time.Second, 4, 0.2, "non_idempotent", 3})
	}
	return out
}

// plan is a tenant plan of the specification, with the middle of each range of values.
type plan struct {
	name                            string
	tenants                         int
	price, refillRate, burstSeconds float64 // the burst is refillRate times burstSeconds
	concurrency                     int
	excessWorth, excessCost         float64
	ceilingFactor                   float64 // relative to the quota; 0: no ceiling
}

func (p *plan) burst() float64        { return p.refillRate * p.burstSeconds }
func (p *plan) ceilingRate() float64  { return p.refillRate * p.ceilingFactor }
func (p *plan) ceilingBurst() float64 { return p.burst() * p.ceilingFactor }

// quota returns the quota of a tenant, limited by its ceiling if that is lower.
func (p *plan) quota() rulecheck.Quota {
	q := rulecheck.Quota{Rate: p.refillRate, Burst: p.burst()}
	if p.ceilingFactor > 0 && p.ceilingFactor < 1 {
		q.Rate, q.Burst = p.ceilingRate(), p.ceilingBurst()
	}
	return q
}

// plans returns the plans of the specification. cut tenants of storby get a ceiling of half of their quota, so that
// the ceiling alone limits them.
func plans(cut int) []*plan {
	out := []*plan{
		{"grend", 90, 0.45, 1.6, 4.8, 0, 0, 1.2, 0},
		{"bygd", 32, 0.88, 5.3, 4.6, 0, 0, 0.8, 0},
		{"by", 9, 1.1, 16, 1.7, 0, 0, 0.5, 0},
		{"storby", 7 - cut, 1.6, 40, 2.2, 12, 0, 0.6, 2},
	}
	if cut > 0 {
		out = append(out, &plan{"storby-cut", cut, 1.6, 40, 2.2, 36, 0, 0.6, 0.5})
	}
	return out
}

const (
	maxUnits          = 6.0
	ceilingTolerance  = 0.1
	crossZonePrice    = 0.01 // service score points for each request sent to another zone
	slowStartWindow   = 18 * time.Second
	slowStartShare    = 0.25
	overloadMultiple  = 4
	idempotencyWindow = 3 * time.Second
)

// mean returns the mean units and the mean work of a request over all classes, weighted by their shares.
func mean(requestClasses []class) (units float64, work time.Duration) {
	for _, c := range requestClasses {
		units += c.share * c.units
		work += time.Duration(c.share * float64(c.work.Mean()))
	}
	return units, work
}

// scoreWeights converts classes and plans to the parameters of package measure.
func scoreWeights(requestClasses []class, tenantPlans []*plan) (map[string]measure.Class, map[string]measure.Plan) {
	classWeights, planWeights := map[string]measure.Class{}, map[string]measure.Plan{}
	for _, c := range requestClasses {
		classWeights[c.name] = measure.Class{PriorityWeight: c.priorityWeight, LatencyObjective: c.latencyObjective, LateShare: c.lateShare}
	}
	for _, p := range tenantPlans {
		q := p.quota()
		planWeights[p.name] = measure.Plan{Price: p.price, Rate: q.Rate, Burst: q.Burst, ExcessCost: p.excessCost}
	}
	return classWeights, planWeights
}
