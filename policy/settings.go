package policy

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Plan defines the quotas of each of its tenants. They apply to all instances
// together.
type Plan struct {
	Name           string
	Price          float64 // multiplies the priority weight of a request's class
	Rate           float64 // units per second; 0: unlimited
	Burst          float64 // units in a full quota
	MaxInFlight    int     // attempts in flight; 0: unlimited
	ExcessWeight   float64 // share of the priority weight that a request over the quota earns
	ExcessCost     float64 // share of the priority weight that each attempt over the quota costs
	CeilingRate    float64 // units per second; 0: no ceiling
	CeilingBurst   float64 // units in a full ceiling
	CeilingSlack   float64 // units by which the ceiling may be exceeded
	SettledByReply bool    // the response states the units that were actually used
}

// Settings configure an instance. They are fixed at its start.
type Settings struct {
	Index            int // index of this instance, from 0
	Instances        int // number of instances
	Zone             string
	Classes          []Class
	Plans            []Plan
	MaxUnits         float64 // maximum units of one request
	MaxTenants       int     // tenants whose quotas are tracked at one time; 0: unlimited
	MaxAttempts      int     // per request, retries and hedged requests included
	MaxRetryAfter    time.Duration
	MayCancel        bool // CancelAttempt is allowed
	MayProbe         bool // ProbeBackend is allowed
	Hedging          bool // two attempts of one request may be in flight at once
	Counter          bool // the shared counter may be called
	CounterTimeout   time.Duration
	PollEndpoints    bool // the endpoint list is sent only on request
	CrossZonePrice   float64
	SlowStartShare   float64 // share of its full capacity that a backend starts with
	SlowStartWindow  time.Duration
	OverloadMultiple float64
	OverloadSpan     time.Duration
	DrainGrace       time.Duration
}

// check returns an error that describes the first invalid value.
func (s Settings) check() error {
	if s.Instances < 1 || s.Index < 0 || s.Index >= s.Instances {
		return fmt.Errorf("logic: gateway %d of %d", s.Index, s.Instances)
	}
	if len(s.Classes) == 0 {
		return fmt.Errorf("logic: no classes")
	}
	for _, c := range s.Classes {
		if c.LatencyObjective <= 0 || c.Deadline < c.LatencyObjective {
			return fmt.Errorf("logic: class %q: latency objective %v, deadline %v", c.Name,
				c.LatencyObjective, c.Deadline)
		}
	}
	for _, p := range s.Plans {
		numbers := []float64{p.Price, p.Rate, p.Burst, float64(p.MaxInFlight), p.CeilingRate, p.CeilingBurst}
		if !(slices.Min(numbers) >= 0) || math.IsInf(slices.Max(numbers), 1) { // NaN is not >= 0
			return fmt.Errorf("logic: plan %q: values must be finite and not negative: %v", p.Name, numbers)
		}
		if p.Rate > 0 && p.refillTime(s.MaxUnits) < minRefillTime {
			return fmt.Errorf("logic: plan %q: rate %v refills burst %v in under %v", p.Name, p.Rate, p.Burst,
				minRefillTime)
		}
	}
	return nil
}

// Bounds of the time that a plan's rate takes to fill its burst. A shorter time is
// an error, a longer one is capped.
const (
	minRefillTime = time.Nanosecond
	maxRefillTime = 10 * 365 * 24 * time.Hour
)

// refillTime returns how long the plan's rate takes to fill its burst, capped at
// maxRefillTime. A burst counts as at least the units of the largest request,
// maxUnits.
func (p Plan) refillTime(maxUnits float64) time.Duration {
	seconds := max(p.Burst, maxUnits, 1) / p.Rate
	return time.Duration(min(seconds*float64(time.Second), float64(maxRefillTime)))
}
