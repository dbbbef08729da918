package rulecheck

import "time"

// Quota is a plan's quota: a token bucket that starts full.
type Quota struct {
	Rate  float64 // refill rate in units per second
	Burst float64 // capacity of the bucket in units
}

// QuotaUse is one tenant's use of its quota through all instances together.
type QuotaUse struct {
	Plan        string
	WithinQuota float64 // units of first attempts that the quota covered
	BeyondQuota float64 // units of first attempts that the quota did not cover
	Overrun     float64 // maximum overdraft of the bucket in units if every first attempt is charged to it
}

// QuotaUses replays the attempts against the quotas, which are by plan, and returns the use of each tenant.
func QuotaUses(quotas map[string]Quota, attempts []BackendAttempt) map[string]QuotaUse {
	uses := map[string]QuotaUse{}
	replayQuotas(quotas, attempts, func(attempt BackendAttempt, covered bool, overrun float64) {
		use := uses[attempt.Tenant]
		use.Plan = attempt.Plan
		use.Overrun = max(use.Overrun, overrun)
		if covered {
			use.WithinQuota += attempt.Units
		} else {
			use.BeyondQuota += attempt.Units
		}
		uses[attempt.Tenant] = use
	})
	return uses
}

// AttemptsBeyondQuota returns the first attempts that their tenants' quotas did not cover.
func AttemptsBeyondQuota(quotas map[string]Quota, attempts []BackendAttempt) (beyond []BackendAttempt) {
	replayQuotas(quotas, attempts, func(attempt BackendAttempt, covered bool, _ float64) {
		if !covered {
			beyond = append(beyond, attempt)
		}
	})
	return beyond
}

// quotaBucket is the token bucket of one tenant's quota.
type quotaBucket struct {
	coveredLevel float64 // after charging only the attempts that the quota covered
	totalLevel   float64 // after charging all attempts; negative while overdrawn
	updatedAt    time.Duration
}

// replayQuotas charges each first attempt to its tenant's bucket in order of arrival. For each it calls visit with
// whether the quota covered the attempt, and with the overrun: by how many units the tenant has overdrawn the quota if
// every attempt so far is charged. A negative overrun is what is left.
func replayQuotas(
	quotas map[string]Quota,
	attempts []BackendAttempt,
	visit func(attempt BackendAttempt, covered bool, overrun float64),
) {
	buckets := map[string]*quotaBucket{}
	for _, attempt := range firstAttempts(byArrival(attempts), quotas) {
		quota := quotas[attempt.Plan]
		bucket := buckets[attempt.Tenant]
		if bucket == nil {
			bucket = &quotaBucket{coveredLevel: quota.Burst, totalLevel: quota.Burst, updatedAt: attempt.ArrivedAt}
			buckets[attempt.Tenant] = bucket
		}
		gained := quota.Rate * (attempt.ArrivedAt - bucket.updatedAt).Seconds()
		bucket.coveredLevel = min(quota.Burst, bucket.coveredLevel+gained)
		bucket.totalLevel = min(quota.Burst, bucket.totalLevel+gained)
		bucket.updatedAt = attempt.ArrivedAt
		covered := bucket.coveredLevel >= attempt.Units
		if covered {
			bucket.coveredLevel -= attempt.Units
		}
		bucket.totalLevel -= attempt.Units
		visit(attempt, covered, -bucket.totalLevel)
	}
}
