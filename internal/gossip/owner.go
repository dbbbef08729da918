package gossip

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// hashSpace is one more than the highest hash of an owner's name.
const hashSpace = 1 << 32

// factKey identifies a fact among those of its owner.
type factKey struct{ kind, subject string }

// ownerRecord holds the facts of one owner and how far they are complete.
type ownerRecord struct {
	name            string
	hash            uint64 // of the name, below hashSpace
	incarnation     uint64
	completeThrough uint64 // every fact up to this sequence was received; some may have been replaced since
	facts           map[factKey]*Fact
	changedAt       uint64 // the store's version when a fact was last inserted; 0: never
}

// watermark returns up to which sequence the owner's facts are known.
func (o *ownerRecord) watermark() Watermark {
	return Watermark{o.name, o.incarnation, o.completeThrough}
}

// aheadOf reports whether this record is newer than a store with the given
// watermark.
func (o *ownerRecord) aheadOf(w Watermark) bool {
	return w.Incarnation < o.incarnation || w.Incarnation == o.incarnation && w.Seq < o.completeThrough
}

// behind reports whether a store with the given watermark is newer than this
// record.
func (o *ownerRecord) behind(w Watermark) bool {
	return o.incarnation < w.Incarnation || o.incarnation == w.Incarnation && o.completeThrough < w.Seq
}

func ownerHash(name string) uint64 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return uint64(h.Sum32())
}

// compareOwners orders records by hash, and by name where two hashes are equal.
func compareOwners(a, b *ownerRecord) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.name, b.name))
}

// findOrAddOwner returns the record of an owner. For an unknown owner it adds one
// with the given incarnation, or returns nil if there are already maxOwners.
func (s *Store) findOrAddOwner(name string, incarnation uint64) *ownerRecord {
	if owner := s.owners[name]; owner != nil {
		return owner
	}
	if len(s.owners) >= maxOwners {
		return nil
	}
	owner := &ownerRecord{name: name, hash: ownerHash(name), incarnation: incarnation, facts: map[factKey]*Fact{}}
	s.owners[name] = owner
	i, _ := slices.BinarySearchFunc(s.byHash, owner, compareOwners)
	s.byHash = slices.Insert(s.byHash, i, owner)
	return owner
}

// insert stores next in place of previous, which is nil if there is none.
func (s *Store) insert(owner *ownerRecord, key factKey, previous, next *Fact) {
	if previous != nil {
		s.usedBytes -= factSize(previous)
	}
	s.usedBytes += factSize(next)
	owner.facts[key] = next
	s.version++
	owner.changedAt = s.version
}

// remove drops a stored fact.
func (s *Store) remove(owner *ownerRecord, key factKey) {
	s.usedBytes -= factSize(owner.facts[key])
	delete(owner.facts, key)
	s.version++
}
