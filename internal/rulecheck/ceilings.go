package rulecheck

import "time"

const (
	// nearCeilingFraction is the distance from its ceiling, as a fraction of the burst, within which a tenant counts
	// as near the ceiling.
	nearCeilingFraction = 0.1
	// ceilingSlackSeconds is a part of the ceiling's slack: the units that its rate adds in this many seconds.
	ceilingSlackSeconds = 0.15
)

// ceilingBucket is the token bucket of one tenant's ceiling. Its level is negative while the ceiling is exceeded.
type ceilingBucket struct {
	level     float64
	updatedAt time.Duration // when the last attempt was charged to the bucket
}

// checkCeilings checks that the first attempts of each tenant's requests, over all instances together, stay within the
// tenant's ceiling in units. It records at most one violation for each tenant.
func (r *Result) checkCeilings(rules Rules, idx *index) {
	buckets := map[string]*ceilingBucket{}
	exceeded := map[string]bool{}
	for _, attempt := range firstAttempts(idx.attempts, rules.Ceilings) {
		r.Checked[Ceilings]++
		tenant, ceiling := attempt.Tenant, rules.Ceilings[attempt.Plan]
		bucket := buckets[tenant]
		if bucket == nil {
			bucket = &ceilingBucket{level: ceiling.Burst, updatedAt: attempt.ArrivedAt}
			buckets[tenant] = bucket
			r.Closest[tenant] = -1
		}
		gained := ceiling.Rate * (attempt.ArrivedAt - bucket.updatedAt).Seconds()
		bucket.level = min(ceiling.Burst, bucket.level+gained) - attempt.Units
		bucket.updatedAt = attempt.ArrivedAt
		r.Closest[tenant] = max(r.Closest[tenant], -bucket.level/ceiling.Burst)
		slack := max(rules.CeilingSlack*ceiling.Burst, rules.MaxUnits) + ceiling.Rate*ceilingSlackSeconds
		if -bucket.level > slack && !exceeded[tenant] {
			exceeded[tenant] = true
			r.addViolation(Ceilings, attempt.ArrivedAt, attempt.ArrivedAt,
				"customer %s of %s is %.1f units over its ceiling of %.1f and %.1f a second",
				tenant, attempt.Plan, -bucket.level, ceiling.Burst, ceiling.Rate)
		}
	}
	for _, closest := range r.Closest {
		r.Margins.Ceiling = max(r.Margins.Ceiling, closest)
		if closest > -nearCeilingFraction {
			r.Margins.CeilingFor++
		}
	}
}

// firstAttempts returns the first attempt of each request whose plan is a key of limits, in the order of attempts.
func firstAttempts[Limit any](attempts []BackendAttempt, limits map[string]Limit) []BackendAttempt {
	var first []BackendAttempt
	counted := map[string]bool{}
	for _, attempt := range attempts {
		if _, limited := limits[attempt.Plan]; !limited || counted[attempt.ID] {
			continue
		}
		counted[attempt.ID] = true
		first = append(first, attempt)
	}
	return first
}
