package gossip

import "time"

// maxAgeMicroseconds is the largest accepted age. It prevents an overflow in the
// conversion to nanoseconds.
const maxAgeMicroseconds = (1 << 62) / int64(time.Microsecond)

// Merge stores the facts in the deltas of a response. requestedAt is when this
// instance sent the request, by its own clock; ages are subtracted from it.
func (s *Store) Merge(now, requestedAt time.Duration, deltas []Delta) {
	if now-requestedAt > MaxRoundTrip || requestedAt > now {
		s.counts.Late++
		return
	}
	for _, delta := range deltas {
		s.mergeDelta(requestedAt, delta)
	}
}

func (s *Store) mergeDelta(requestedAt time.Duration, delta Delta) {
	if delta.Owner == s.self.name { // only this instance writes its own facts
		s.counts.Own++
		return
	}
	if delta.Owner == "" || len(delta.Owner) > maxNameBytes || delta.To < delta.From {
		s.counts.Malformed++
		return
	}
	owner := s.findOrAddOwner(delta.Owner, delta.Incarnation)
	switch {
	case owner == nil:
		s.counts.Full++
		return
	case delta.Incarnation < owner.incarnation:
		s.counts.EndedIncarnation++
		return
	case delta.Incarnation > owner.incarnation:
		s.beginIncarnation(owner, delta.Incarnation)
	}
	complete := true
	for _, fact := range delta.Facts {
		if !s.mergeFact(requestedAt, owner, delta, fact) {
			complete = false
		}
	}
	if complete && delta.From <= owner.completeThrough {
		owner.completeThrough = max(owner.completeThrough, delta.To)
	}
}

// beginIncarnation switches an owner to a new incarnation and drops the facts of
// the previous one: the new incarnation publishes again what still applies.
func (s *Store) beginIncarnation(owner *ownerRecord, incarnation uint64) {
	for key := range owner.facts {
		s.remove(owner, key)
	}
	owner.incarnation, owner.completeThrough = incarnation, 0
}

// mergeFact stores one fact of a delta unless the stored one is as new. It reports
// false if the fact has to be requested again, because it was malformed or there
// was no capacity.
func (s *Store) mergeFact(requestedAt time.Duration, owner *ownerRecord, delta Delta, received DeltaFact) bool {
	if !validFact(delta, received) {
		s.counts.Malformed++
		return false
	}
	key := factKey{received.Kind, received.Subject}
	stored := owner.facts[key]
	observedAt := requestedAt - time.Duration(received.AgeUS)*time.Microsecond
	switch {
	case stored != nil && stored.Seq > received.Seq:
		return true
	case stored != nil && stored.Seq == received.Seq:
		// The same fact over another path. Both times are lower bounds, so the
		// higher one is more accurate.
		if observedAt > stored.ObservedAt {
			stored.ObservedAt = observedAt
			s.version++
		}
		return true
	case requestedAt-observedAt > s.retention: // expired in all stores, so it is not requested again
		return true
	}
	next := &Fact{
		Owner:       owner.name,
		Kind:        received.Kind,
		Subject:     received.Subject,
		Incarnation: owner.incarnation,
		Seq:         received.Seq,
		ObservedAt:  observedAt,
		Data:        received.Data,
	}
	if !s.admit(owner, stored, next) {
		return false
	}
	s.insert(owner, key, stored, next)
	return true
}

func validFact(delta Delta, fact DeltaFact) bool {
	return validSizes(fact.Kind, fact.Subject, fact.Data) &&
		fact.AgeUS >= 0 && fact.AgeUS <= maxAgeMicroseconds &&
		fact.Seq > delta.From && fact.Seq <= delta.To
}
