package rulecheck

import "time"

// Quota is a plan's quota: a token bucket that starts full.
type Quota struct {
	Rate  float64 // units a second that the bucket gains
	Burst float64 // units that the bucket holds
}

// QuotaUse is what one tenant used of its quota, replayed over all instances together.
type QuotaUse struct {
	Plan        string
	WithinQuota float64 // units of first attempts that the quota covered
	BeyondQuota float64 // units of first attempts that it did not
	Overrun     float64 // the most units by which the bucket is overdrawn at a time if all use is taken from it
}

// QuotaUses replays the quotas over the attempts and returns the use of each tenant.
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
	level  float64 // without the attempts that it did not cover
	strict float64 // with all attempts; below 0 when overdrawn
	at     time.Duration
}

// replayQuotas takes each first attempt from its tenant's bucket in order of arrival. It calls visit with whether the
// bucket covered the attempt, and by how many units all use together has overdrawn it.
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
			bucket = &quotaBucket{level: quota.Burst, strict: quota.Burst, at: attempt.ArrivedAt}
			buckets[attempt.Tenant] = bucket
		}
		gained := quota.Rate * (attempt.ArrivedAt - bucket.at).Seconds()
		bucket.level = min(quota.Burst, bucket.level+gained)
		bucket.strict = min(quota.Burst, bucket.strict+gained)
		bucket.at = attempt.ArrivedAt
		covered := bucket.level >= attempt.Units
		if covered {
			bucket.level -= attempt.Units
		}
		bucket.strict -= attempt.Units
		visit(attempt, covered, -bucket.strict)
	}
}
