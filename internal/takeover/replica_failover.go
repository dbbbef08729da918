package takeover

import (
	"maps"
	"slices"
	"time"
)

// memberLeft records that an incarnation of a member is believed to have ended,
// and takes over the orphaned records whose successor is this instance. A false
// report is safe: the successor's attempts go to the scope of the owner's, where
// a repeat has no further effect.
func (r *ReplicaStore) memberLeft(now time.Duration, name string, incarnation uint64) {
	r.endedIncarnations[name] = max(r.endedIncarnations[name], incarnation)
	for _, key := range slices.Sorted(maps.Keys(r.records)) {
		rec := r.records[key]
		if rec.owner == name && rec.incarnation <= incarnation {
			rec.orphan()
		}
		r.takeOverOrphan(now, rec)
	}
}

// memberReturned records that an incarnation of a member is alive. If it was
// believed to have ended, it owns again those of its records that no successor
// has taken over here.
func (r *ReplicaStore) memberReturned(name string, incarnation uint64) {
	if incarnation < r.endedIncarnations[name] {
		return // this incarnation has ended, and so has a later one
	}
	delete(r.endedIncarnations, name)
	for _, rec := range r.records {
		if rec.owner == name && rec.incarnation == incarnation {
			rec.restoreOwner()
		}
	}
}

// takeOverOrphan takes over an orphaned record if this instance is its successor.
// If it is too late to repeat the attempt, the record fails.
func (r *ReplicaStore) takeOverOrphan(now time.Duration, rec *record) {
	if rec.state != recordOrphaned || r.successor(rec) != r.self {
		return
	}
	windowOver := rec.scope != ScopeNone && now >= rec.reliableUntil()
	if windowOver || now >= rec.deadline {
		r.counts.Failed++
		r.completeRecord(now, rec, Answer{Kind: AnswerFailed})
		return
	}
	formerOwner := rec.owner
	rec.assign(r.self, r.incarnation)
	rec.epoch++
	r.counts.TookOver++
	r.takenWork = append(r.takenWork, TakenWork{
		Work:       rec.Work,
		Attempt:    rec.attempt,
		Epoch:      rec.epoch,
		Relocation: rec.relocation,
		Scope:      rec.scope,
		StartedAt:  rec.startedAt,
		Deadline:   rec.deadline,
		Owner:      formerOwner,
	})
}

// successor returns the first of a record's replicas that is neither its owner
// nor believed to have ended.
func (r *ReplicaStore) successor(rec *record) string {
	for _, name := range rec.replicas {
		_, ended := r.endedIncarnations[name]
		if name != rec.owner && (name == r.self || !ended) {
			return name
		}
	}
	return ""
}
