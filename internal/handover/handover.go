// Package handover transfers state from one process of an instance to the next.
//
// The old process writes its learned state to a file, which the new process reads once. Both processes share the
// operators' overrides in a second file and detect each other by file locks in a common directory. Split divides the
// learned quota units between the two processes without duplicating or losing any. A file that is torn, was written for
// another address or version, or holds a value that is out of range is rejected as a whole. The package is independent
// of clients and backends, and makes no decisions about requests.
package handover

import (
	"time"

	"hitchspring/internal/discovery"
	"hitchspring/policy"
)

// Version is the version of the file format. Files of other versions are rejected.
const Version = 1

const (
	retainedDemand = 300 * time.Millisecond // time span of a tenant's demand that the old process retains units for
	retainedShare  = 0.25                   // maximum share of a tenant's units that the old process retains
)

// State is the state that the old process hands over.
type State struct {
	Version int                 `json:"version"`
	Listen  string              `json:"listen"` // listen address of the instance
	At      time.Duration       `json:"at"`     // when it was created, on the clock that all instances share
	List    discovery.List      `json:"list"`   // the latest endpoint list, without the operators' overrides
	Learned policy.LearnedState `json:"learned"`
}

// Split divides an instance's learned state between its old process, which retains a few units for its last requests,
// and its new process, which is given the rest. The sums of units do not change. Only the new process reports units to
// the counter.
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

// splitUnits retains the needed units, limited to retainedShare of them. A negative amount is given away completely.
func splitUnits(units, need float64) (retained, given float64) {
	retained = max(0, min(need, units*retainedShare))
	return retained, units - retained
}
