// Package override keeps the operators' overrides of backends, which take precedence over the endpoint list. A backend
// that was suspended is draining until it is resumed, whatever the list says of it. One that was resumed counts as
// started at that time, unless discovery has reported a restart since it was suspended. In come the ids of the endpoint
// list and the operators' calls with their times; out go entries of the list as the policy module is to see them. The
// package does no I/O, and Overrides is not safe for concurrent use.
package override

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"hitchspring/policy"
)

// maxKnown is the number of ids that are remembered: more than twice the 7,700 backends of the largest fleet that is
// designed for, since a change to the list names only what changed, and so an id that is listed may not have been named
// for long. Beyond it those go first that were named longest ago and are not suspended.
const maxKnown = 16384

// ErrUnknown is returned for an id that was never listed.
var ErrUnknown = errors.New("no such node was ever listed")

// Override is the last call of operators for one backend.
type Override struct {
	ID        policy.BackendID `json:"id"`
	Suspended bool             `json:"out"` // else it was resumed
	At        time.Duration    `json:"at"`  // the time of the call, on the clock that all instances share
	// SuspendedAt is when a backend that was resumed had been suspended.
	SuspendedAt time.Duration `json:"since,omitempty"`
}

// entry is what is known of an id.
type entry struct {
	override   Override
	overridden bool   // override is set
	listed     uint64 // number of the last list that had the id
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
	lists   uint64 // number of lists, or changes to it, so far
}

// New returns overrides that know no id.
func New() *Overrides { return &Overrides{entries: map[policy.BackendID]*entry{}} }

// NoteListed remembers the ids of an endpoint list or of a change to it.
func (o *Overrides) NoteListed(ids []policy.BackendID) {
	o.lists++
	for _, id := range ids {
		o.entry(id).listed = o.lists
	}
	o.evict()
}

// entry returns the entry of an id, and adds it where it is new.
func (o *Overrides) entry(id policy.BackendID) *entry {
	e := o.entries[id]
	if e == nil {
		e = &entry{}
		o.entries[id] = e
	}
	return e
}

// evict forgets, once there are more than maxKnown, the ids that were listed longest ago, a quarter of all at a time.
// Ids that are suspended or in the last list stay.
func (o *Overrides) evict() {
	if len(o.entries) <= maxKnown {
		return
	}
	type listedID struct {
		id     policy.BackendID
		listed uint64
	}
	var candidates []listedID
	for id, e := range o.entries {
		if !e.isSuspended() && e.listed < o.lists {
			candidates = append(candidates, listedID{id, e.listed})
		}
	}
	slices.SortFunc(candidates, func(a, b listedID) int {
		return cmp.Or(cmp.Compare(a.listed, b.listed), cmp.Compare(a.id, b.id))
	})
	excess := len(o.entries) - maxKnown*3/4
	for _, c := range candidates[:min(len(candidates), excess)] {
		delete(o.entries, c.id)
	}
}

// Set records an operator's call: to suspend a backend, or to resume it. It reports whether that changes anything; a
// repeat doesn't. It returns ErrUnknown for an id that was never listed.
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

// Merge takes in overrides that were recorded elsewhere; of two for one backend the later counts. It returns the ids of
// those that changed.
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

// All returns the last override of each backend that has one, in the order of ids.
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

// Apply returns an entry of the endpoint list as it holds under the overrides.
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
		// Its restart isn't in the list yet: at the latest it was when the backend was resumed.
		listed.Started = e.override.At
	}
	return listed
}
