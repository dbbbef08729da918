package sim

import (
	"fmt"
	"math"
	"time"

	"hitchspring/policy"
)

const (
	ceilingRate  = 30.0 // units a second
	ceilingBurst = 60.0 // units
	meanUnits    = 1.5  // of a request
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

// tenant sends requests through some of the instances.
type tenant struct {
	id       string
	plan     policy.Plan
	spread   int     // instances that its requests come through
	first    int     // index of the first of them
	demand   float64 // with DemandByQuota: units a second
	inFlight int     // attempts out

	ceilingLevel float64
	ceilingAt    time.Duration // time of ceilingLevel
	quota        bucket        // as all instances together use it
	idealQuota   bucket        // as one instance would have used it that sees all
}

// newTenant returns the tenant of an index. One in eight is large.
func (s *simulation) newTenant(index int) *tenant {
	all := plans()
	plan := all[min(1, max(0, 1-index%8))]
	t := &tenant{
		id:           fmt.Sprint("c", index),
		plan:         plan,
		spread:       max(1, s.Instances*2/3),
		ceilingLevel: ceilingBurst,
		quota:        bucket{level: plan.Burst},
		idealQuota:   bucket{level: plan.Burst},
	}
	if plan.CeilingRate > 0 {
		t.spread = min(s.Instances, 10)
	}
	t.first = s.rng.IntN(s.Instances)
	return t
}

// setDemandByQuota sets what each tenant demands by its quota, and so the rate of
// all.
func (s *simulation) setDemandByQuota() {
	s.Rate = 0
	for i, t := range s.tenants {
		use := 0.35
		switch i / 8 % 20 { // the same among small and large ones
		case 1, 7, 13:
			use = 0.95
		case 4, 10, 16:
			use = 3
		}
		t.demand = t.plan.Rate * use
		s.Rate += t.demand / meanUnits
	}
}

// drawTenant returns the tenant of the next request.
func (s *simulation) drawTenant() *tenant {
	if !s.DemandByQuota { // the first ones demand the most
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

// bucket is the token bucket of a quota.
type bucket struct {
	level float64       // units, as of at
	at    time.Duration // time of level
}

// fill brings the bucket up to now.
func (b *bucket) fill(p policy.Plan, now time.Duration) {
	b.level = min(p.Burst, b.level+p.Rate*(now-b.at).Seconds())
	b.at = now
}

// take takes units and reports whether the bucket held them.
func (b *bucket) take(p policy.Plan, now time.Duration, units float64) bool {
	b.fill(p, now)
	if b.level < units {
		return false
	}
	b.level -= units
	return true
}
