package measure

import (
	"cmp"
	"slices"
	"time"
)

// sortedByDue returns a copy of the operations, sorted by when they were due.
func sortedByDue(operations []Operation) []Operation {
	sorted := slices.Clone(operations)
	slices.SortStableFunc(sorted, func(a, b Operation) int { return cmp.Compare(a.Due, b.Due) })
	return sorted
}

// earnings sums up the value that was requested and the value that was earned.
type earnings struct{ requested, earned float64 }

// add adds value to both sums.
func (e *earnings) add(requested, earned float64) {
	e.requested += requested
	e.earned += earned
}

// earnedRatio returns the earned fraction of the requested value, or 1 if nothing was requested.
func (e earnings) earnedRatio() float64 {
	if e.requested == 0 {
		return 1
	}
	return e.earned / e.requested
}

// creditOperations returns, for each operation, the value that it requested within its tenant's quota and the value
// that it earned. The operations must be sorted by when they were due. At any time a tenant has earned at most the
// value that it has requested within its quota so far.
func creditOperations(classes map[string]Class, plans map[string]Plan, operations []Operation) []earnings {
	within := withinQuota(plans, operations)
	unearned := map[string]float64{} // by tenant: value that was requested within the quota and has not been earned yet
	credits := make([]earnings, len(operations))
	for i, operation := range operations {
		class := classes[operation.Class]
		value := class.PriorityWeight * plans[operation.Plan].Price * operation.Units
		credit := &credits[i]
		if within[i] {
			credit.requested = value
			unearned[operation.Tenant] += value
		}
		switch {
		case operation.Served && operation.latency() <= class.LatencyObjective:
			credit.earned = value
		case operation.Served:
			credit.earned = value * class.LateShare
		}
		credit.earned = min(credit.earned, unearned[operation.Tenant])
		unearned[operation.Tenant] -= credit.earned
	}
	return credits
}

// withinQuota replays each tenant's token bucket over its operations, in order, and reports for each operation whether
// the quota covered it.
func withinQuota(plans map[string]Plan, operations []Operation) []bool {
	type bucket struct {
		level float64
		at    time.Duration
	}
	buckets := map[string]*bucket{}
	within := make([]bool, len(operations))
	for i, operation := range operations {
		plan := plans[operation.Plan]
		b := buckets[operation.Tenant]
		if b == nil {
			b = &bucket{level: plan.Burst, at: operation.Due}
			buckets[operation.Tenant] = b
		}
		b.level = min(plan.Burst, b.level+plan.Rate*(operation.Due-b.at).Seconds())
		b.at = operation.Due
		within[i] = b.level >= operation.Units
		if within[i] {
			b.level -= operation.Units
		}
	}
	return within
}
