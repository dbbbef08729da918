package sim

import (
	"fmt"
	"math"
	"time"

	"hitchspring/policy"
)

const (
	ceilingRate  = 30.0 // units per second
	ceilingBurst = 60.0 // units
	meanUnits    = 1.5  // mean units of a request
)

func plans() []policy.Plan {
	return []policy.Plan{
		{Name: "small", Price: 0.5, Rate: 1, Burst: 8, ExcessCost: 1},
		{
			Name: "large", Price: 1.5, Rate: 15, Burst: 30, MaxInFlight: 8, ExcessCost: 0.6,
			CeilingRate: ceilingRate, CeilingBurst: ceilingBurst, CeilingSlack: 6,
		},
	}
}

// tenant is a tenant that sends its requests through some of the instances.
type tenant struct {
	id            string
	plan          policy.Plan
	spread        int     // number of instances that receive its requests
	firstInstance int     // index of the first of these instances
	demand        float64 // units per second; set with DemandByQuota only
	inFlight      int     // attempts in flight

	ceilingLevel     float64
	ceilingUpdatedAt time.Duration // when ceilingLevel was computed
	quota            quotaBucket   // charged with the first attempts of all instances
	idealQuota       quotaBucket   // charged with all requests, as by a single instance that sees them all
}

// newTenant returns the tenant with an index. One in eight has the large plan.
func (s *simulation) newTenant(index int) *tenant {
	all := plans()
	plan := all[min(1, max(0, 1-index%8))]
	t := &tenant{
		id:           fmt.Sprint("c", index),
		plan:         plan,
		spread:       max(1, s.Instances*2/3),
		ceilingLevel: ceilingBurst,
		quota:        quotaBucket{level: plan.Burst},
		idealQuota:   quotaBucket{level: plan.Burst},
	}
	if plan.CeilingRate > 0 {
		t.spread = min(s.Instances, 10)
	}
	t.firstInstance = s.rng.IntN(s.Instances)
	return t
}

// setDemandByQuota sets the demand of each tenant as a multiple of its quota's rate, and
// computes the total arrival rate from these demands.
func (s *simulation) setDemandByQuota() {
	s.Rate = 0
	for i, t := range s.tenants {
		demandRatio := 0.35
		switch i / 8 % 20 { // i/8: the same ratios for small and large plans
		case 1, 7, 13:
			demandRatio = 0.95
		case 4, 10, 16:
			demandRatio = 3
		}
		t.demand = t.plan.Rate * demandRatio
		s.Rate += t.demand / meanUnits
	}
}

// drawTenant draws a random tenant for the next request.
func (s *simulation) drawTenant() *tenant {
	if !s.DemandByQuota { // tenants with a lower index send more requests
		return s.tenants[int(float64(len(s.tenants))*math.Pow(s.rng.Float64(), 1.3))]
	}
	x := s.rng.Float64() * s.Rate * meanUnits
	for _, t := range s.tenants {
		x -= t.demand
		if x < 0 {
			return t
		}
	}
	return s.tenants[len(s.tenants)-1]
}

// quotaBucket is the token bucket of a quota.
type quotaBucket struct {
	level     float64       // units at updatedAt
	updatedAt time.Duration // when level was computed
}

// refill adds the units that the bucket has gained since updatedAt.
func (b *quotaBucket) refill(p policy.Plan, now time.Duration) {
	b.level = min(p.Burst, b.level+p.Rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
}

// take removes units from the bucket if it holds enough, and reports whether it did.
func (b *quotaBucket) take(p policy.Plan, now time.Duration, units float64) bool {
	b.refill(p, now)
	if b.level < units {
		return false
	}
	b.level -= units
	return true
}
