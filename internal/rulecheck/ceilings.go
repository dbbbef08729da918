package rulecheck

import "time"

const (
	// nearCeiling is the fraction of the burst within which a tenant counts as near its ceiling.
	nearCeiling = 0.1
	// ceilingRateSlackS is for how many seconds the ceiling's rate is added to its slack.
	ceilingRateSlackS = 0.15
)

// ceilingBucket is the token bucket of one tenant's ceiling. Its level falls below 0 when the ceiling is exceeded.
type ceilingBucket struct {
	level float64
	at    time.Duration // of the last attempt taken from it
}

// checkCeilings checks that the units of the first attempts of each tenant, over all instances together, stay
// within its ceiling. A tenant has at most one violation.
func (r *Result) checkCeilings(rules Rules, idx *index) {
	buckets := map[string]*ceilingBucket{}
	broken := map[string]bool{}
	for _, attempt := range firstAttempts(idx.attempts, rules.Ceilings) {
		r.Checked[Ceilings]++
		tenant, ceiling := attempt.Tenant, rules.Ceilings[attempt.Plan]
		bucket := buckets[tenant]
		if bucket == nil {
			bucket = &ceilingBucket{level: ceiling.Burst, at: attempt.ArrivedAt}
			buckets[tenant] = bucket
			r.Closest[tenant] = -1
		}
		gained := ceiling.Rate * (attempt.ArrivedAt - bucket.at).Seconds()
		bucket.level = min(ceiling.Burst, bucket.level+gained) - attempt.Units
		bucket.at = attempt.ArrivedAt
		r.Closest[tenant] = max(r.Closest[tenant], -bucket.level/ceiling.Burst)
		slack := max(rules.CeilingSlack*ceiling.Burst, rules.MaxUnits) + ceiling.Rate*ceilingRateSlackS
		if -bucket.level > slack && !broken[tenant] {
			broken[tenant] = true
			r.addViolation(Ceilings, attempt.ArrivedAt, attempt.ArrivedAt,
				"customer %s of %s is %.1f units over its ceiling of %.1f and %.1f a second",
				tenant, attempt.Plan, -bucket.level, ceiling.Burst, ceiling.Rate)
		}
	}
	for _, closest := range r.Closest {
		r.Margins.Ceiling = max(r.Margins.Ceiling, closest)
		if closest > -nearCeiling {
			r.Margins.CeilingFor++
		}
	}
}

// firstAttempts returns the first attempt of each request whose plan has a limit, in the order given.
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
