// Package override manages the operators' overrides of backends, which take precedence over the endpoint list. A
// suspended backend that the list has as running is draining until it is resumed. A resumed backend counts as started
// at the time of the resume call, unless discovery has reported a restart since the suspension. The inputs are the ids
// of the endpoint list, and the operators' calls with their times. The outputs are the entries of the list for the
// policy module. The package does no I/O, and Overrides is not safe for concurrent use.
package override

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"hitchspring/policy"
)

// maxEntries is the maximum number of ids that are retained. It is more than twice the 7,700 backends of the largest
// fleet of the design: a change to the endpoint list names only the changed backends, so a listed id may not have been
// named for a long time. Beyond the maximum, the ids that were named longest ago and are not suspended are evicted
// first.
const maxEntries = 16384

// ErrUnknown is returned for an id that was never listed.
var ErrUnknown = errors.New("no such node was ever listed")

// Override is the last suspend or resume call of operators for one backend.
type Override struct {
	ID        policy.BackendID `json:"id"`
	Suspended bool             `json:"out"` // false: it was resumed
	At        time.Duration    `json:"at"`  // the time of the call, on the clock that all instances share
	// SuspendedAt is when a resumed backend had been suspended.
	SuspendedAt time.Duration `json:"since,omitempty"`
}

// entry is the state of one backend id.
type entry struct {
	override   Override
	overridden bool   // whether override is set
	lastListed uint64 // number of the last update that named the id
}

// isSuspended reports whether the last override suspends the backend.
func (e *entry) isSuspended() bool { return e.override.Suspended }

func (e *entry) set(o Override) {
	e.override = o
	e.overridden = true
}

// Overrides holds the overrides of all backends.
type Overrides struct {
	entries map[policy.BackendID]*entry
	updates uint64 // number of endpoint lists and changes to the list so far
}

// New returns Overrides without any ids.
func New() *Overrides { return &Overrides{entries: map[policy.BackendID]*entry{}} }

// RecordListed records the ids of an endpoint list or of a change to it.
func (o *Overrides) RecordListed(ids []policy.BackendID) {
	o.updates++
	for _, id := range ids {
		o.entry(id).lastListed = o.updates
	}
	o.evict()
}

// entry returns the entry of an id, and adds it if it is new.
func (o *Overrides) entry(id policy.BackendID) *entry {
	e := o.entries[id]
	if e == nil {
		e = &entry{}
		o.entries[id] = e
	}
	return e
}

// evict deletes the ids that were listed longest ago once there are more than maxEntries, about a quarter of all ids at
// a time. Suspended ids and those named by the last update are retained.
func (o *Overrides) evict() {
	if len(o.entries) <= maxEntries {
		return
	}
	type listedID struct {
		id         policy.BackendID
		lastListed uint64
	}
	var candidates []listedID
	for id, e := range o.entries {
		if !e.isSuspended() && e.lastListed < o.updates {
			candidates = append(candidates, listedID{id, e.lastListed})
		}
	}
	slices.SortFunc(candidates, func(a, b listedID) int {
		return cmp.Or(cmp.Compare(a.lastListed, b.lastListed), cmp.Compare(a.id, b.id))
	})
	excess := len(o.entries) - maxEntries*3/4
	for _, c := range candidates[:min(len(candidates), excess)] {
		delete(o.entries, c.id)
	}
}

// Set records an operator's call to suspend or to resume a backend. It reports whether the call changes anything; a
// repeated call doesn't. It returns ErrUnknown for an id that was never listed.
func (o *Overrides) Set(id policy.BackendID, suspended bool, now time.Duration) (changed bool, err error) {
	e := o.entries[id]
	if e == nil {
		return false, ErrUnknown
	}
	if e.isSuspended() == suspended {
		return false, nil
	}
	next := Override{ID: id, Suspended: suspended, At: max(now, e.override.At+1)}
	if !suspended {
		next.SuspendedAt = e.override.At
	}
	e.set(next)
	return true, nil
}

// Merge adds overrides that were recorded elsewhere. Of two overrides of one backend the later wins. It returns the ids
// of the backends whose override changed.
func (o *Overrides) Merge(others []Override) (changed []policy.BackendID) {
	for _, other := range others {
		if other.ID == "" {
			continue
		}
		e := o.entry(other.ID)
		if e.overridden && e.override.At >= other.At {
			continue
		}
		if e.override.Suspended != other.Suspended || e.override.At != other.At {
			changed = append(changed, other.ID)
		}
		e.set(other)
	}
	o.evict()
	return changed
}

// All returns the last override of each backend that has one, sorted by id.
func (o *Overrides) All() []Override {
	var all []Override
	for _, e := range o.entries {
		if e.overridden {
			all = append(all, e.override)
		}
	}
	slices.SortFunc(all, func(a, b Override) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// IsSuspended reports whether a backend is suspended.
func (o *Overrides) IsSuspended(id policy.BackendID) bool {
	e := o.entries[id]
	return e != nil && e.isSuspended()
}

// Apply returns an entry of the endpoint list with the override of its backend applied.
func (o *Overrides) Apply(listed policy.Backend) policy.Backend {
	e := o.entries[listed.ID]
	if e == nil || !e.overridden {
		return listed
	}
	switch {
	case e.isSuspended():
		if listed.State == policy.Running {
			listed.State = policy.Draining
		}
	case listed.Started <= e.override.SuspendedAt:
		// The restart isn't in the list yet. It happened at the latest when the backend was resumed.
		listed.Started = e.override.At
	}
	return listed
}
