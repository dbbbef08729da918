package gossip

import (
	"fmt"
	"testing"
	"time"
)

// answerBytes is about what an instance answers with at a time.
const responseBytes = 1000

// nodeFact is as large as a usual fact about a node.
var backendFactData = make([]byte, 32)

// pullAll has one store ask another until there is nothing more, with small answers; it returns the number of questions.
func pullAll(now time.Duration, from, to *Store) (asked int) {
	for more := true; more; asked++ {
		d := from.NextDigest()
		shares := to.DeltasFor(now, d, responseBytes)
		before := from.Version()
		from.Merge(now, now, shares)
		more = from.Version() != before
	}
	return asked
}

// fill has a store state facts about so many backends.
func putFacts(s *Store, now time.Duration, backends int) (refused int) {
	for i := range backends {
		if !s.Put("node", fmt.Sprintf("backend-%05d", i), now, backendFactData) {
			refused++
		}
	}
	return refused
}

// One owner's facts about 2,000 backends are all held and all reach another, in pieces.
func TestManyBackendsOfOneOwner(t *testing.T) {
	now := time.Second
	owner, other := New("owner", 1, horizon), New("other", 1, horizon)
	if refused := putFacts(owner, now, 2000); refused > 0 {
		t.Fatalf("%d of 2000 facts found no room at their owner", refused)
	}
	asked := pullAll(now, other, owner)
	if content(other) != content(owner) || other.Counts().Full != 0 {
		t.Fatalf("%d of %d facts after %d questions, %d without room", other.Len(), owner.Len(), asked, other.Counts().Full)
	}
}

// What 350 instances have seen of 100 backends each is held, all of it.
func TestManyOwners(t *testing.T) {
	now := time.Second
	s := New("listener", 1, horizon)
	for i := range 350 {
		owner := New(fmt.Sprintf("instance-%03d", i), 1, horizon)
		putFacts(owner, now, 100)
		s.Merge(now, now, owner.DeltasFor(now, Digest{Hi: hashSpace}, 1<<20))
	}
	if s.Len() != 35000 || s.Counts().Full != 0 {
		t.Fatalf("%d of 35000 facts in %d bytes, %d without room", s.Len(), s.Bytes(), s.Counts().Full)
	}
}

// An owner at its bound keeps what it has, may go on replacing it, counts what it refuses, and has room again when facts end.
func TestOwnerAtItsBound(t *testing.T) {
	now := time.Second
	s := New("owner", 1, horizon)
	if refused := putFacts(s, now, MaxFactsPerOwner); refused > 0 {
		t.Fatalf("%d refused below the bound", refused)
	}
	if s.Put("node", "one more", now, backendFactData) || s.Counts().Full != 1 || s.Len() != MaxFactsPerOwner {
		t.Fatal(s.Counts(), s.Len())
	}
	later := now + horizon/2
	if !s.Put("node", "backend-00000", later, backendFactData) {
		t.Fatal("a fact that is known can't be replaced")
	}
	s.Sweep(now+horizon+time.Millisecond, func(string) bool { return true })
	if s.Len() != 1 || !s.Put("node", "one more", later, backendFactData) {
		t.Fatal(s.Len())
	}
}

// A store that is full of others' facts refuses further ones and counts them, still takes what its own instance has seen, and takes
// what it refused when there is room again: nothing is lost.
func TestStoreAtItsBound(t *testing.T) {
	now := time.Second
	s := New("listener", 1, horizon)
	large := make([]byte, maxDataBytes)
	flood := func(owner string) {
		sh := Delta{Owner: owner, Incarnation: 1, To: MaxFactsPerOwner}
		for i := range MaxFactsPerOwner {
			sh.Facts = append(sh.Facts, DeltaFact{"node", fmt.Sprint(i), uint64(i + 1), 0, large})
		}
		s.Merge(now, now, []Delta{sh})
	}
	flood("first")
	flood("second")
	if s.Counts().Full == 0 || s.Bytes() > MaxBytes || len(s.owners["first"].facts) != MaxFactsPerOwner {
		t.Fatal(s.Counts(), s.Bytes(), len(s.owners["first"].facts))
	}
	if !s.Put("node", "seen here", now, large) {
		t.Fatal("others' facts keep out the instance's own")
	}
	late := New("late", 1, horizon)
	now += horizon + time.Second
	putFacts(late, now, 3)
	held := s.Len()
	s.Merge(now, now, late.DeltasFor(now, s.NextDigest(), responseBytes))
	if s.Len() != held {
		t.Fatalf("%d facts were taken without room", s.Len()-held)
	}
	s.Sweep(now, func(string) bool { return true })
	s.Merge(now, now, late.DeltasFor(now, s.NextDigest(), responseBytes))
	if s.Len() != 3 {
		t.Fatalf("%d of 3 facts when there was room again", s.Len())
	}
}

// A question goes on where the last answer ended, with as many other owners about as there may be, until nothing of that part lacks.
func TestAskOn(t *testing.T) {
	now := time.Second
	busy, hub, late := New("busy", 1, horizon), New("hub", 1, horizon), New("late", 1, horizon)
	putFacts(busy, now, 600)
	pullAll(now, hub, busy)
	for i := range 300 {
		other := New(fmt.Sprintf("instance-%03d", i), 1, horizon)
		putFacts(other, now, 1)
		hub.Merge(now, now, other.DeltasFor(now, Digest{Hi: hashSpace}, responseBytes))
	}
	d, lacks := late.DigestFor([]Watermark{{"busy", 1, 600}})
	if !lacks {
		t.Fatal("nothing lacks")
	}
	asked := 0
	for more := true; more && asked < 100; asked++ {
		shares := hub.DeltasFor(now, d, responseBytes)
		more = hub.HasMore(d, shares)
		late.Merge(now, now, shares)
		d = late.ContinueDigest(d)
	}
	if late.Len() != 600 || asked > 80 {
		t.Fatalf("%d of 600 facts of the owner that was asked for, after %d questions", late.Len(), asked)
	}
	part := Digest{Lo: 1 << 30, Hi: 1 << 31}
	if on := late.ContinueDigest(part); on.Lo != part.Lo || on.Hi != part.Hi || on.NamedOnly {
		t.Fatalf("%+v", on)
	}
}
