// Package handover is how one process of an instance hands over to the next.
//
// The old process writes what it has learned into a state file, which the next one reads once. Both share the
// operators' overrides in another file, and find each other by file locks in a common directory. Split divides the
// learned quota units between the two without doubling or losing any. A file that is torn, of another address, of
// another version or out of range is rejected as a whole. The package knows neither clients nor backends, and decides
// nothing about requests.
package handover

import (
	"time"

	"hitchspring/internal/discovery"
	"hitchspring/policy"
)

// Version is the version of the files' format. A file of another version is not read.
const Version = 1

const (
	retainedDemand = 300 * time.Millisecond // of a tenant's demand, for the last requests of the old process
	retainedShare  = 0.25                   // of a tenant's units, at most
)

// State is what the old process hands over.
type State struct {
	Version int                 `json:"version"`
	Listen  string              `json:"listen"` // address of the instance
	At      time.Duration       `json:"at"`     // when it was made, on the clock that all instances share
	List    discovery.List      `json:"list"`   // the last endpoint list, without the operators' overrides
	Learned policy.LearnedState `json:"learned"`
}

// Split divides what an instance has learned between its old process, which retains a little for its last requests, and
// its new one, which is given the rest. The sums of units stay as they were. Only the new process reports units to the
// counter.
func Split(learned policy.LearnedState) (retained []policy.LearnedTenant, given policy.LearnedState) {
	given = learned
	given.Tenants = make([]policy.LearnedTenant, len(learned.Tenants))
	retained = make([]policy.LearnedTenant, len(learned.Tenants))
	for i, tenant := range learned.Tenants {
		old, next := tenant, tenant
		need := tenant.Demand * retainedDemand.Seconds()
		old.LeasedUnits, next.LeasedUnits = splitUnits(tenant.LeasedUnits, need)
		old.CeilingLevel, next.CeilingLevel = splitUnits(tenant.CeilingLevel, need)
		old.UnreportedUnits = 0
		retained[i], given.Tenants[i] = old, next
	}
	return retained, given
}

// splitUnits retains what is needed, up to retainedShare. A debt is given whole.
func splitUnits(units, need float64) (retained, given float64) {
	retained = max(0, min(need, units*retainedShare))
	return retained, units - retained
}
