package gossip

import (
	"fmt"
	"testing"
	"time"
)

// responseBytes is the approximate size of the deltas in a production response.
const responseBytes = 1000

// backendFactData has the size of the data in a typical fact about a backend.
var backendFactData = make([]byte, 32)

// pullUntilEqual sends requests from one store to another until a response changes
// nothing. It returns the number of requests.
func pullUntilEqual(now time.Duration, requester, responder *Store) int {
	requests := 0
	for changed := true; changed; requests++ {
		digest := requester.NextDigest()
		deltas := responder.DeltasFor(now, digest, responseBytes)
		before := requester.Version()
		requester.Merge(now, now, deltas)
		changed = requester.Version() != before
	}
	return requests
}

// putFacts puts one fact about each of the given number of backends into a store.
// It returns how many of them were rejected.
func putFacts(s *Store, now time.Duration, backends int) int {
	rejected := 0
	for i := range backends {
		if !s.Put("node", fmt.Sprintf("backend-%05d", i), now, backendFactData) {
			rejected++
		}
	}
	return rejected
}

// All facts of one owner about 2,000 backends are stored and reach another store
// in several responses.
func TestManyBackendsOfOneOwner(t *testing.T) {
	now := time.Second
	owner, other := New("owner", 1, retention), New("other", 1, retention)
	if rejected := putFacts(owner, now, 2000); rejected > 0 {
		t.Fatalf("got %d of 2000 facts rejected at their owner, want none", rejected)
	}
	requests := pullUntilEqual(now, other, owner)
	if content(other) != content(owner) || other.Counts().Full != 0 {
		t.Fatalf("got %d of %d facts after %d requests, %d rejected as full",
			other.Len(), owner.Len(), requests, other.Counts().Full)
	}
}

// All facts of 350 owners about 100 backends each are stored.
func TestManyOwners(t *testing.T) {
	now := time.Second
	s := New("listener", 1, retention)
	for i := range 350 {
		owner := New(fmt.Sprintf("instance-%03d", i), 1, retention)
		putFacts(owner, now, 100)
		s.Merge(now, now, owner.DeltasFor(now, Digest{Hi: hashSpace}, 1<<20))
	}
	if s.Len() != 35000 || s.Counts().Full != 0 {
		t.Fatalf("got %d of 35000 facts in %d bytes, %d rejected as full", s.Len(), s.Bytes(), s.Counts().Full)
	}
}

// An owner with MaxFactsPerOwner facts keeps them and can replace them. Further
// facts are rejected and counted until some of the stored facts expire.
func TestFactsPerOwnerBound(t *testing.T) {
	now := time.Second
	s := New("owner", 1, retention)
	if rejected := putFacts(s, now, MaxFactsPerOwner); rejected > 0 {
		t.Fatalf("got %d facts rejected below the bound, want none", rejected)
	}
	if s.Put("node", "one more", now, backendFactData) || s.Counts().Full != 1 || s.Len() != MaxFactsPerOwner {
		t.Fatalf("got %+v and %d facts at the bound, want the next one rejected", s.Counts(), s.Len())
	}
	later := now + retention/2
	if !s.Put("node", "backend-00000", later, backendFactData) {
		t.Fatal("a known fact cannot be replaced")
	}
	s.Sweep(now+retention+time.Millisecond, func(string) bool { return true })
	if s.Len() != 1 || !s.Put("node", "one more", later, backendFactData) {
		t.Fatalf("got %d facts after the others expired, want 1", s.Len())
	}
}

// A store that is full of others' facts rejects and counts further ones but still
// accepts its own. Rejected facts are stored once there is capacity again.
func TestMaxBytesBound(t *testing.T) {
	now := time.Second
	s := New("listener", 1, retention)
	large := make([]byte, maxDataBytes)
	flood := func(owner string) {
		delta := Delta{Owner: owner, Incarnation: 1, To: MaxFactsPerOwner}
		for i := range MaxFactsPerOwner {
			delta.Facts = append(delta.Facts, DeltaFact{"node", fmt.Sprint(i), uint64(i + 1), 0, large})
		}
		s.Merge(now, now, []Delta{delta})
	}
	flood("first")
	flood("second")
	first := len(s.owners["first"].facts)
	if s.Counts().Full == 0 || s.Bytes() > MaxBytes || first != MaxFactsPerOwner {
		t.Fatalf("got %+v, %d bytes, %d facts of the first owner", s.Counts(), s.Bytes(), first)
	}
	if !s.Put("node", "own", now, large) {
		t.Fatal("own fact rejected because the store is full of others' facts")
	}
	late := New("late", 1, retention)
	now += retention + time.Second
	putFacts(late, now, 3)
	before := s.Len()
	s.Merge(now, now, late.DeltasFor(now, s.NextDigest(), responseBytes))
	if s.Len() != before {
		t.Fatalf("got %d facts stored in a full store, want none", s.Len()-before)
	}
	s.Sweep(now, func(string) bool { return true })
	s.Merge(now, now, late.DeltasFor(now, s.NextDigest(), responseBytes))
	if s.Len() != 3 {
		t.Fatalf("got %d of 3 facts once there was capacity again", s.Len())
	}
}

// A continued request resumes where the last response ended until nothing of its
// range is missing, regardless of the number of other owners.
func TestContinueDigest(t *testing.T) {
	now := time.Second
	busy, hub, late := New("busy", 1, retention), New("hub", 1, retention), New("late", 1, retention)
	putFacts(busy, now, 600)
	pullUntilEqual(now, hub, busy)
	for i := range 300 {
		other := New(fmt.Sprintf("instance-%03d", i), 1, retention)
		putFacts(other, now, 1)
		hub.Merge(now, now, other.DeltasFor(now, Digest{Hi: hashSpace}, responseBytes))
	}
	digest, missing := late.DigestFor([]Watermark{{"busy", 1, 600}})
	if !missing {
		t.Fatal("DigestFor reports no missing facts for an unknown owner")
	}
	requests := 0
	for more := true; more && requests < 100; requests++ {
		deltas := hub.DeltasFor(now, digest, responseBytes)
		more = hub.HasMore(digest, deltas)
		late.Merge(now, now, deltas)
		digest = late.ContinueDigest(digest)
	}
	if late.Len() != 600 || requests > 80 {
		t.Fatalf("got %d of 600 facts of the requested owner after %d requests", late.Len(), requests)
	}
	ranged := Digest{Lo: 1 << 30, Hi: 1 << 31}
	if next := late.ContinueDigest(ranged); next.Lo != ranged.Lo || next.Hi != ranged.Hi || next.NamedOnly {
		t.Fatalf("got %+v, want the range of %+v", next, ranged)
	}
}
