package policy

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Plan sets the quotas of each of its tenants, over all instances together.
type Plan struct {
	Name           string
	Price          float64 // factor on the priority weight of a request's class
	Rate           float64 // units a second; 0: no such quota
	Burst          float64 // units that a full quota holds
	MaxInFlight    int     // attempts out at once; 0: no such quota
	ExcessWeight   float64 // share of the priority weight earned beyond the quota
	ExcessCost     float64 // share of the priority weight paid for each attempt beyond the quota
	CeilingRate    float64 // units a second; 0: no ceiling
	CeilingBurst   float64 // units that a full ceiling holds
	CeilingSlack   float64 // units by which the ceiling may be exceeded
	SettledByReply bool    // the true units come with the answer
}

// Settings are what an instance is given once, at its start.
type Settings struct {
	Index            int // number of this instance, from 0
	Instances        int // how many instances there are
	Zone             string
	Classes          []Class
	Plans            []Plan
	MaxUnits         float64 // most units of one request
	MaxAttempts      int     // of one request
	MaxRetryAfter    time.Duration
	MayCancel        bool // CancelAttempt is allowed
	MayProbe         bool // ProbeBackend is allowed
	Hedging          bool // two attempts of a request may be out at once
	Counter          bool // the shared counter may be called
	CounterTimeout   time.Duration
	PollEndpoints    bool // the endpoint list comes only when it is requested
	CrossZonePrice   float64
	SlowStartShare   float64 // share of its capacity, at least, that a backend starts with
	SlowStartWindow  time.Duration
	OverloadMultiple float64
	OverloadSpan     time.Duration
	DrainGrace       time.Duration
}

// check returns an error that names what cannot be decided with.
func (s Settings) check() error {
	if s.Instances < 1 || s.Index < 0 || s.Index >= s.Instances {
		return fmt.Errorf("logic: gateway %d of %d", s.Index, s.Instances)
	}
	if len(s.Classes) == 0 {
		return fmt.Errorf("logic: no classes")
	}
	for _, c := range s.Classes {
		if c.LatencyObjective <= 0 || c.Deadline < c.LatencyObjective {
			return fmt.Errorf("logic: class %q: aim %v, deadline %v", c.Name, c.LatencyObjective, c.Deadline)
		}
	}
	for _, p := range s.Plans {
		numbers := []float64{p.Price, p.Rate, p.Burst, float64(p.MaxInFlight), p.CeilingRate, p.CeilingBurst}
		if !(slices.Min(numbers) >= 0) || math.IsInf(slices.Max(numbers), 1) { // NaN is not >= 0
			return fmt.Errorf("logic: plan %q: unusable figures %v", p.Name, numbers)
		}
		if p.Rate > 0 && p.refillTime(s.MaxUnits) < minRefillTime {
			return fmt.Errorf("logic: plan %q: rate %v refills burst %v in under %v", p.Name, p.Rate, p.Burst,
				minRefillTime)
		}
	}
	return nil
}

// Bounds of the time in which a plan's rate fills its burst.
const (
	minRefillTime = time.Nanosecond
	maxRefillTime = 10 * 365 * 24 * time.Hour
)

// refillTime is how long the plan's rate takes to fill its burst. A burst has at
// least the units of one request, the largest of which has maxUnits.
func (p Plan) refillTime(maxUnits float64) time.Duration {
	seconds := max(p.Burst, maxUnits, 1) / p.Rate
	return time.Duration(min(seconds*float64(time.Second), float64(maxRefillTime)))
}
