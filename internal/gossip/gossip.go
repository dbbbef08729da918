// Package gossip replicates facts among instances by anti-entropy. A Store holds
// an instance's own facts and those received from others, each with a lower bound
// of the time at which it was observed, and computes the deltas that another
// instance lacks.
//
// Only its owner writes a fact; all other instances merge it. A fact is identified
// by its owner, the owner's incarnation, its kind and its subject. The highest
// sequence wins, so that merging is commutative, associative and idempotent. The
// package performs no I/O and does not depend on the meaning of a kind, the
// membership or the transport of messages.
//
// # Ages
//
// Instances need no common clock. The requester remembers when, by its own
// monotonic clock, it sent a request, and the response carries the age of each
// fact at the time of the response. A fact of age a in the response to a request
// sent at t was therefore observed no earlier than t-a. The requester stores that
// time. A fact thus appears older than it is by at most one round trip per hop,
// and never younger. A response that takes longer than MaxRoundTrip is dropped. A
// clock that runs fast or slow by some fraction distorts ages by the same fraction.
package gossip

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"time"
)

// Fact is a piece of data that its owner has observed about a subject.
type Fact struct {
	Owner       string
	Kind        string
	Subject     string
	Incarnation uint64        // of the owner
	Seq         uint64        // order among the facts of the owner's incarnation
	ObservedAt  time.Duration // lower bound, on this instance's monotonic clock
	Data        []byte        // format depends on the kind; must not be modified
}

// Store holds the facts known to one instance. It is not safe for concurrent use.
type Store struct {
	self          *ownerRecord // the record of this instance; also in owners
	owners        map[string]*ownerRecord
	byHash        []*ownerRecord // all owners, ordered by compareOwners
	retention     time.Duration  // older facts are dropped
	usedBytes     int            // sum of factSize over all facts
	nextDigestLow uint64         // lowest hash of the next periodic digest
	version       uint64         // incremented with each change of the facts or of this instance's incarnation
	counts        Counts
}

// New returns an empty store for an instance. Facts older than the retention time
// are dropped. A retention of less than one second is raised to one second.
func New(name string, incarnation uint64, retention time.Duration) *Store {
	s := &Store{owners: map[string]*ownerRecord{}, retention: max(retention, minRetention)}
	s.self = s.findOrAddOwner(name, incarnation)
	return s
}

// Version returns a number that is incremented whenever the content of the store
// changes.
func (s *Store) Version() uint64 { return s.version }

// Counts returns the counters of what was rejected since the start.
func (s *Store) Counts() Counts { return s.counts }

// Bytes returns the estimated memory of all facts.
func (s *Store) Bytes() int { return s.usedBytes }

// Len returns the number of facts.
func (s *Store) Len() int {
	n := 0
	for _, owner := range s.byHash {
		n += len(owner.facts)
	}
	return n
}

// SetIncarnation changes the incarnation of this instance. Its own facts are
// retained and assigned to the new incarnation.
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

// Put stores a fact of this instance, observed at the given time of its clock. The
// fact replaces an earlier one of the same kind and subject. Put reports false if
// there is no capacity, the kind is empty, or a string or the data is too long.
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

// Sweep drops facts that are older than the retention time. It also removes owners
// without facts, unless retain reports that they are still needed.
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
	return now-fact.ObservedAt > s.retention
}

// Facts returns all facts of a kind that are not older than the retention time,
// including this instance's own, ordered by owner and subject.
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

// Checksum returns a checksum that is equal for two stores with the same facts. It
// excludes the times of observation, since each store has its own lower bounds.
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
