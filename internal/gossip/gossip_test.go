package gossip

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const retention = 60 * time.Second

// content returns all facts of a store as text, without their times of observation.
func content(s *Store) string {
	var lines []string
	for _, owner := range s.byHash {
		for key, fact := range owner.facts {
			lines = append(lines, fmt.Sprintf("%s %d %s %s %d %s",
				owner.name, fact.Incarnation, key.kind, key.subject, fact.Seq, fact.Data))
		}
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// pull simulates one request and its response with the given round trip time.
func pull(now time.Duration, requester, responder *Store, roundTrip time.Duration) {
	digest := requester.NextDigest()
	deltas := responder.DeltasFor(now+roundTrip/2, digest, 1<<20)
	requester.Merge(now+roundTrip, now, deltas)
}

// A fact that reaches an instance over several paths is stored once. Its age is
// overestimated by at most one round trip per hop, and never underestimated.
func TestAgesAcrossHops(t *testing.T) {
	a, b, c := New("a", 1, retention), New("b", 1, retention), New("c", 1, retention)
	a.Put("node", "x", 3*time.Second, []byte("bad"))
	now := 10 * time.Second
	roundTrip := 20 * time.Millisecond
	pull(now, b, a, roundTrip)
	pull(now+time.Second, c, b, roundTrip)
	pull(now+2*time.Second, c, a, roundTrip)
	for _, s := range []*Store{b, c} {
		facts := s.Facts(now+3*time.Second, "node")
		if len(facts) != 1 || facts[0].Owner != "a" || string(facts[0].Data) != "bad" {
			t.Fatalf("got %+v, want the one fact of a", facts)
		}
		if tooOld := 3*time.Second - facts[0].ObservedAt; tooOld < 0 || tooOld > roundTrip {
			t.Errorf("got an age that is %v too high, want 0 to %v", tooOld, roundTrip)
		}
	}
	// The clocks of two instances are independent of each other.
	d := New("d", 1, retention)
	requestedAt := 5000 * time.Hour
	d.Merge(requestedAt+roundTrip, requestedAt, a.DeltasFor(now, d.NextDigest(), 1<<20))
	facts := d.Facts(requestedAt+roundTrip, "node")
	if len(facts) != 1 || requestedAt-facts[0].ObservedAt != 7*time.Second {
		t.Fatalf("got %+v, want one fact with an age of 7s", facts)
	}
	// A response that took too long is dropped.
	e := New("e", 1, retention)
	e.Merge(now+time.Second, now, a.DeltasFor(now, e.NextDigest(), 1<<20))
	if facts := e.Facts(now, "node"); len(facts) != 0 || e.Counts().Late != 1 {
		t.Fatalf("got %+v and %+v from a late response, want nothing", facts, e.Counts())
	}
}

// mergeHistory runs random steps of three owners and records the responses that
// they send.
type mergeHistory struct {
	now          time.Duration
	owners       []*Store
	incarnations []uint64
	responses    [][]Delta
}

func newMergeHistory() *mergeHistory {
	h := &mergeHistory{now: time.Second}
	for i := range 3 {
		h.owners = append(h.owners, New(fmt.Sprint("o", i), 1, retention))
		h.incarnations = append(h.incarnations, 1)
	}
	return h
}

// step runs one random step.
func (h *mergeHistory) step(t *rapid.T) {
	i := rapid.IntRange(0, 2).Draw(t, "owner")
	switch rapid.IntRange(0, 4).Draw(t, "what") {
	case 0, 1:
		subject := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "subject")
		h.owners[i].Put("k", subject, h.now, []byte{byte(rapid.IntRange(0, 9).Draw(t, "value"))})
	case 2: // it responds to a store that has some of its facts
		known := uint64(rapid.IntRange(0, 3).Draw(t, "have"))
		digest := Digest{Hi: hashSpace, Watermarks: []Watermark{{h.owners[i].self.name, h.incarnations[i], known}}}
		maxBytes := rapid.SampledFrom([]int{1 << 20, 120, 180}).Draw(t, "bytes")
		h.responses = append(h.responses, h.owners[i].DeltasFor(h.now, digest, maxBytes))
	case 3: // it restarts without facts
		h.incarnations[i]++
		h.owners[i] = New(fmt.Sprint("o", i), h.incarnations[i], retention)
	case 4: // it pulls from another
		j := rapid.IntRange(0, 2).Draw(t, "from")
		pull(h.now, h.owners[i], h.owners[j], time.Millisecond)
	}
	h.now += 10 * time.Millisecond
}

// replicaOf returns a store that has merged the responses in the given order.
func (h *mergeHistory) replicaOf(responses [][]Delta) *Store {
	s := New("listener", 1, retention)
	for _, deltas := range responses {
		s.Merge(h.now, h.now, deltas)
	}
	return s
}

// exchange makes the replicas and the owners pull from every owner.
func (h *mergeHistory) exchange(replicas ...*Store) {
	for _, owner := range h.owners {
		for _, replica := range replicas {
			pull(h.now, replica, owner, 0)
		}
		for _, other := range h.owners {
			pull(h.now, owner, other, 0)
		}
	}
}

// Merging is commutative, associative and idempotent: after responses of several
// incarnations have been reordered, repeated or lost, a few rounds of requests
// make all stores equal.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := newMergeHistory()
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			history.step(t)
		}
		responses := history.responses
		a := history.replicaOf(responses)
		shuffled := rapid.Permutation(responses).Draw(t, "order")
		repeated := responses[:rapid.IntRange(0, len(responses)).Draw(t, "again")]
		b := history.replicaOf(slices.Concat(shuffled, repeated))
		for range 3 {
			history.exchange(a, b)
		}
		for i, s := range append(history.owners, b) {
			if got, want := content(s), content(a); got != want {
				t.Fatalf("store %d: got\n%s\nwant\n%s", i, got, want)
			}
			if got, want := s.Checksum(history.now), a.Checksum(history.now); got != want {
				t.Fatalf("store %d: got the checksum %x, want %x", i, got, want)
			}
		}
	})
}

// Three owners put one fact each, then replace it, and send one response after
// each put. Merging any subset of the six responses, in any order, each once or
// twice, results in the newest fact received of each owner. The test covers all
// subsets and orders.
func TestMergeEveryOrder(t *testing.T) {
	now := time.Second
	var responses [][]Delta
	for i := range 3 {
		owner := New(fmt.Sprint("o", i), 7, retention)
		owner.Put("k", "x", now, []byte("old"))
		responses = append(responses, owner.DeltasFor(now, Digest{Hi: hashSpace}, 1<<20))
		owner.Put("k", "x", now, []byte("new"))
		responses = append(responses, owner.DeltasFor(now, Digest{Hi: hashSpace}, 1<<20))
	}
	orders := 0
	for subset := range 1 << len(responses) {
		var picked []int
		for i := range responses {
			if subset>>i&1 == 1 {
				picked = append(picked, i)
			}
		}
		want := ""
		permute(picked, func(order []int) {
			orders++
			for _, times := range []int{1, 2} {
				s := mergeInOrder(now, responses, order, times)
				if want == "" {
					want = content(s)
				}
				if got := content(s); got != want {
					t.Fatalf("order %v: got %q, want %q", order, got, want)
				}
				requireNewest(t, s, order)
			}
		})
	}
	if orders != 1957 { // all orders of all subsets of six
		t.Fatalf("got %d orders, want 1957", orders)
	}
}

// mergeInOrder returns a store that has merged some of the responses.
func mergeInOrder(now time.Duration, responses [][]Delta, order []int, times int) *Store {
	s := New("s", 1, retention)
	for _, i := range order {
		for range times {
			s.Merge(now, now, responses[i])
		}
	}
	return s
}

// requireNewest checks that for each owner whose second response was merged, only
// the second fact is stored.
func requireNewest(t *testing.T, s *Store, order []int) {
	t.Helper()
	for i := range 3 {
		if !slices.Contains(order, 2*i+1) {
			continue
		}
		facts := s.owners[fmt.Sprint("o", i)].facts
		if len(facts) != 1 || string(facts[factKey{"k", "x"}].Data) != "new" {
			t.Fatalf("order %v: got %q, want the new fact of o%d", order, content(s), i)
		}
	}
}

func permute(list []int, do func([]int)) {
	var step func(int)
	step = func(i int) {
		if i >= len(list) {
			do(list)
			return
		}
		for j := i; j < len(list); j++ {
			list[i], list[j] = list[j], list[i]
			step(i + 1)
			list[i], list[j] = list[j], list[i]
		}
	}
	step(0)
}

// Late deltas do not bring back the facts of an ended incarnation, and an owner
// ignores deltas from others about its own facts.
func TestIncarnations(t *testing.T) {
	now := time.Second
	first, second, s := New("o", 1, retention), New("o", 2, retention), New("s", 1, retention)
	first.Put("k", "x", now, []byte("first"))
	second.Put("k", "y", now, []byte("second"))
	old := first.DeltasFor(now, s.NextDigest(), 1<<20)
	s.Merge(now, now, old)
	s.Merge(now, now, second.DeltasFor(now, s.NextDigest(), 1<<20))
	s.Merge(now, now, old)
	want := "o 2 k y 1 second"
	if got := content(s); got != want || s.Counts().EndedIncarnation != 1 {
		t.Fatalf("got %q, %+v, want %q and one delta of an ended incarnation", got, s.Counts(), want)
	}
	forged := Delta{Owner: "o", Incarnation: 9, To: 1, Facts: []DeltaFact{{"k", "y", 1, 0, []byte("forged")}}}
	second.Merge(now, now, []Delta{forged})
	if got := content(second); got != want || second.Counts().Own != 1 {
		t.Fatalf("got %q, %+v, want %q", got, second.Counts(), want)
	}
}

// Facts older than the retention time are dropped in all stores, do not come back,
// and their memory is no longer counted.
func TestRetention(t *testing.T) {
	a, b := New("a", 1, retention), New("b", 1, retention)
	now := time.Second
	for i := range 100 {
		a.Put("k", fmt.Sprint(i), now, bytes.Repeat([]byte("x"), 100))
	}
	pull(now, b, a, 0)
	if b.Len() != 100 || b.Bytes() < 10000 {
		t.Fatalf("got %d facts in %d bytes, want 100 in 10000 or more", b.Len(), b.Bytes())
	}
	late := now + retention + time.Second
	b.Sweep(late, func(string) bool { return false })
	if b.Len() != 0 || b.Bytes() != 0 || len(b.owners) != 1 {
		t.Fatalf("got %d facts, %d bytes, %d owners, want only its own owner record", b.Len(), b.Bytes(), len(b.owners))
	}
	pull(late, b, a, 0)
	if b.Len() != 0 || len(a.Facts(late, "k")) != 0 {
		t.Fatal("an expired fact came back")
	}
}

// Responses stay within their size limit, and repeated requests still return all
// facts of many owners.
func TestPagedResponses(t *testing.T) {
	hub := New("hub", 1, retention)
	now := time.Second
	for i := range 200 {
		owner := New(fmt.Sprintf("owner-%03d", i), 1, retention)
		for fact := range 3 {
			owner.Put("k", fmt.Sprint(fact), now, []byte("data"))
		}
		hub.Merge(now, now, owner.DeltasFor(now, Digest{Hi: hashSpace}, 1<<20))
	}
	late, requests := New("late", 1, retention), 0
	for late.Len() < hub.Len() && requests < 400 {
		requests++
		now += time.Millisecond
		digest := late.NextDigest()
		deltas := hub.DeltasFor(now, digest, 1000)
		if len(digest.Watermarks) > maxDigestWatermarks+4 || len(deltas) > 1000/deltaHeaderBytes+1 {
			t.Fatalf("got %d watermarks and %d deltas in one exchange", len(digest.Watermarks), len(deltas))
		}
		late.Merge(now, now, deltas)
	}
	if content(late) != content(hub) {
		t.Fatalf("got %d of %d facts after %d requests", late.Len(), hub.Len(), requests)
	}
}

// Malformed deltas and facts are counted and ignored, and a flood of facts does not
// exceed the bounds of the store.
func TestMalformedDeltas(t *testing.T) {
	s := New("s", 1, retention)
	now := time.Second
	long := strings.Repeat("x", 1000)
	s.Merge(now, now, []Delta{
		{},
		{Owner: long, Incarnation: 1},
		{Owner: "o", Incarnation: 1, From: 5, To: 4},
		{Owner: "o", Incarnation: 1, To: 9, Facts: []DeltaFact{
			{"", "x", 1, 0, nil},
			{"k", long, 2, 0, nil},
			{"k", "x", 3, -5, nil},
			{"k", "x", 30, 0, nil},
			{"k", "x", 4, 0, make([]byte, maxDataBytes+1)},
			{"k", "x", 5, 1 << 62, nil},
		}},
	})
	if s.Len() != 0 || s.Counts().Malformed != 9 {
		t.Fatalf("got %d facts, %+v, want none and 9 malformed", s.Len(), s.Counts())
	}
	tooLarge := make([]byte, maxDataBytes+1)
	if s.Put("", "x", now, nil) || s.Put("k", long, now, nil) || s.Put("k", "x", now, tooLarge) {
		t.Fatal("Put stored a malformed fact")
	}
	for i := range 50 {
		delta := Delta{Owner: fmt.Sprint("flood", i), Incarnation: 1, To: 1000}
		for fact := range 1000 {
			data := make([]byte, maxDataBytes)
			delta.Facts = append(delta.Facts, DeltaFact{"k", fmt.Sprint(fact), uint64(fact + 1), 0, data})
		}
		s.Merge(now, now, []Delta{delta})
	}
	if s.Bytes() > MaxBytes || len(s.owners["flood0"].facts) > MaxFactsPerOwner {
		t.Fatalf("got %d bytes, %d facts of one owner", s.Bytes(), len(s.owners["flood0"].facts))
	}
}
