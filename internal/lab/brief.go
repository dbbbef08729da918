package lab

import (
	"time"

	"hitchspring/internal/lab/measure"
	"hitchspring/internal/rulecheck"
	"hitchspring/internal/standin/backend"
)

const ms = time.Millisecond

// class is a kind of request of the brief.
type class struct {
	name          string
	share         float64
	work          backend.Work
	aim, deadline time.Duration
	worth         float64
	late          float64
	effect        string // as the settings word it
	units         float64
}

// classes are the brief's; the last is the lab's own, for days that need one which may not be repeated.
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

// plan is a plan of the brief, by the middle of its figures.
type plan struct {
	name                    string
	channels                int
	price, rate, seconds    float64 // seconds: of the rate that may be used at once
	open                    int
	excessWorth, excessCost float64
	ceiling                 float64 // times the quota; 0: none
}

func (p *plan) burst() float64        { return p.rate * p.seconds }
func (p *plan) ceilingRate() float64  { return p.rate * p.ceiling }
func (p *plan) ceilingBurst() float64 { return p.burst() * p.ceiling }

// quota is what a channel may use: no more than its ceiling.
func (p *plan) quota() rulecheck.Quota {
	q := rulecheck.Quota{Rate: p.rate, Burst: p.burst()}
	if p.ceiling > 0 && p.ceiling < 1 {
		q.Rate, q.Burst = p.ceilingRate(), p.ceilingBurst()
	}
	return q
}

// plans are the brief's; the ceiling of so many channels of storby has been cut to half of their quota, so that it alone
// holds them.
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
	maxUnits     = 6.0
	tolerance    = 0.1
	crossHall    = 0.01 // points of service for a request that crosses halls
	warmAfter    = 18 * time.Second
	coldShare    = 0.25
	fallMultiple = 4
	keyMemory    = 3 * time.Second
)

// mean is the units and the work of a request, over all classes.
func mean(cs []class) (units float64, work time.Duration) {
	for _, c := range cs {
		units += c.share * c.units
		work += time.Duration(c.share * float64(c.work.Mean()))
	}
	return units, work
}

// worths is what the measuring room is told of classes and plans.
func worths(cs []class, ps []*plan) (map[string]measure.Class, map[string]measure.Plan) {
	mc, mp := map[string]measure.Class{}, map[string]measure.Plan{}
	for _, c := range cs {
		mc[c.name] = measure.Class{PriorityWeight: c.worth, LatencyObjective: c.aim, LateShare: c.late}
	}
	for _, p := range ps {
		q := p.quota()
		mp[p.name] = measure.Plan{Price: p.price, Rate: q.Rate, Burst: q.Burst, ExcessCost: p.excessCost}
	}
	return mc, mp
}
