// Package gossip replicates facts among instances by anti-entropy. It takes in
// an instance's own facts and deltas of others', and yields the facts that are
// known, a lower bound of the time at which each was observed, and the deltas
// that another instance lacks. Only its owner writes a fact; all others merge.
// A fact is identified by its owner, the owner's incarnation, its kind and its
// subject, and the highest sequence wins, so that merging is commutative,
// associative and idempotent. The package does no I/O and knows neither the
// meaning of a kind, nor the state of a member, nor how messages travel.
//
// # Ages
//
// Instances need no common clock. A response repeats when its request was sent
// by the requester's own monotonic clock, and carries the age of each fact at
// the moment of the response. A fact of age a in the response to a request that
// was sent at t was therefore observed no earlier than t-a. The requester takes
// that time, by which a fact seems older than it is by at most one round trip
// for each hop, and never younger. A response that took longer than
// MaxRoundTrip is dropped. A clock that runs fast or slow by some fraction
// distorts ages by the same fraction.
package gossip

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"time"
)

// Fact is one fact of a store.
type Fact struct {
	Owner       string
	Kind        string
	Subject     string
	Incarnation uint64        // of the owner
	Seq         uint64        // order among the facts of the owner's incarnation
	ObservedAt  time.Duration // lower bound, by this instance's monotonic clock
	Data        []byte        // as the kind defines it; must not be modified
}

// Store holds what one instance knows. Only one goroutine may use it at a time.
type Store struct {
	self          *ownerRecord // the record of this instance; also in owners
	owners        map[string]*ownerRecord
	byHash        []*ownerRecord // all owners, ordered by compareOwners
	horizon       time.Duration  // facts that are older are dropped
	usedBytes     int            // sum of factSize over all facts
	nextDigestLow uint64         // lowest hash of the next periodic digest
	version       uint64         // rises with each change of the facts or the own incarnation
	counts        Counts
}

// New returns the store of an instance's incarnation. It drops facts that are
// older than the horizon, which is one second at least.
func New(name string, incarnation uint64, horizon time.Duration) *Store {
	s := &Store{owners: map[string]*ownerRecord{}, horizon: max(horizon, minHorizon)}
	s.self = s.findOrAddOwner(name, incarnation)
	return s
}

// Version returns a number that changes whenever the content of the store does.
func (s *Store) Version() uint64 { return s.version }

// Counts returns how much was not taken over since the start, by cause.
func (s *Store) Counts() Counts { return s.counts }

// Bytes estimates the memory that the facts take.
func (s *Store) Bytes() int { return s.usedBytes }

// Len returns the number of facts.
func (s *Store) Len() int {
	n := 0
	for _, owner := range s.byHash {
		n += len(owner.facts)
	}
	return n
}

// SetIncarnation begins another incarnation of this instance, which takes over
// the facts of the one before.
func (s *Store) SetIncarnation(incarnation uint64) {
	if incarnation == s.self.incarnation {
		return
	}
	s.self.incarnation = incarnation
	for _, fact := range s.self.facts {
		fact.Incarnation = incarnation
	}
	s.version++
}

// Put states a fact of this instance, observed at a time of its clock. The fact
// replaces an earlier one of the same kind and subject. It reports false if
// there is no capacity, or a string or the data is too long.
func (s *Store) Put(kind, subject string, observedAt time.Duration, data []byte) bool {
	if !validSizes(kind, subject, data) {
		return false
	}
	key := factKey{kind, subject}
	previous := s.self.facts[key]
	next := &Fact{
		Owner:       s.self.name,
		Kind:        kind,
		Subject:     subject,
		Incarnation: s.self.incarnation,
		Seq:         s.self.completeThrough + 1,
		ObservedAt:  observedAt,
		Data:        data,
	}
	if !s.admit(s.self, previous, next) {
		return false
	}
	s.self.completeThrough++
	s.insert(s.self, key, previous, next)
	return true
}

// Sweep drops facts that are older than the horizon, and owners without facts
// unless retain reports that they are still needed.
func (s *Store) Sweep(now time.Duration, retain func(owner string) bool) {
	s.byHash = slices.DeleteFunc(s.byHash, func(owner *ownerRecord) bool {
		for key, fact := range owner.facts {
			if s.expired(now, fact) {
				s.remove(owner, key)
			}
		}
		if owner == s.self || len(owner.facts) > 0 || retain(owner.name) {
			return false
		}
		delete(s.owners, owner.name)
		return true
	})
}

func (s *Store) expired(now time.Duration, fact *Fact) bool {
	return now-fact.ObservedAt > s.horizon
}

// Facts returns all facts of a kind, those of this instance among them, ordered
// by owner and subject. None is older than the horizon.
func (s *Store) Facts(now time.Duration, kind string) []Fact {
	var facts []Fact
	for _, owner := range s.byHash {
		for key, fact := range owner.facts {
			if key.kind == kind && !s.expired(now, fact) {
				facts = append(facts, *fact)
			}
		}
	}
	slices.SortFunc(facts, func(a, b Fact) int {
		return cmp.Or(cmp.Compare(a.Owner, b.Owner), cmp.Compare(a.Subject, b.Subject))
	})
	return facts
}

// Checksum returns a number that is equal for two stores with the same facts.
// The times of observation, which each store estimates for itself, are not part
// of it.
func (s *Store) Checksum(now time.Duration) uint64 {
	var sum uint64
	for _, owner := range s.byHash {
		for key, fact := range owner.facts {
			if s.expired(now, fact) {
				continue
			}
			h := fnv.New64a()
			fmt.Fprintf(h, "%q %d %q %q %d ", owner.name, owner.incarnation, key.kind, key.subject, fact.Seq)
			h.Write(fact.Data)
			sum += h.Sum64()
		}
	}
	return sum
}
