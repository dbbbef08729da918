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

const horizon = 60 * time.Second

// content is all that a store holds, without ages.
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

// pull is one request and its response, on a network with a round trip time.
func pull(now time.Duration, requester, responder *Store, roundTrip time.Duration) {
	digest := requester.NextDigest()
	deltas := responder.DeltasFor(now+roundTrip/2, digest, 1<<20)
	requester.Merge(now+roundTrip, now, deltas)
}

// Facts reach all instances by way of others and are stored once. Their age is
// overestimated by at most the round trips, and never underestimated.
func TestAgesAcrossHops(t *testing.T) {
	a, b, c := New("a", 1, horizon), New("b", 1, horizon), New("c", 1, horizon)
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
	// The clocks of two instances have nothing in common.
	d := New("d", 1, horizon)
	requestedAt := 5000 * time.Hour
	d.Merge(requestedAt+roundTrip, requestedAt, a.DeltasFor(now, d.NextDigest(), 1<<20))
	facts := d.Facts(requestedAt+roundTrip, "node")
	if len(facts) != 1 || requestedAt-facts[0].ObservedAt != 7*time.Second {
		t.Fatalf("got %+v, want one fact of 7s", facts)
	}
	// A response that took too long is dropped.
	e := New("e", 1, horizon)
	e.Merge(now+time.Second, now, a.DeltasFor(now, e.NextDigest(), 1<<20))
	if facts := e.Facts(now, "node"); len(facts) != 0 || e.Counts().Late != 1 {
		t.Fatalf("got %+v and %+v from a late response, want nothing", facts, e.Counts())
	}
}

// mergeHistory plays random steps of three owners and records the responses
// that were on the wire.
type mergeHistory struct {
	now          time.Duration
	owners       []*Store
	incarnations []uint64
	responses    [][]Delta
}

func newMergeHistory() *mergeHistory {
	h := &mergeHistory{now: time.Second}
	for i := range 3 {
		h.owners = append(h.owners, New(fmt.Sprint("o", i), 1, horizon))
		h.incarnations = append(h.incarnations, 1)
	}
	return h
}

// step draws and plays one step.
func (h *mergeHistory) step(t *rapid.T) {
	i := rapid.IntRange(0, 2).Draw(t, "owner")
	switch rapid.IntRange(0, 4).Draw(t, "what") {
	case 0, 1:
		subject := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "subject")
		h.owners[i].Put("k", subject, h.now, []byte{byte(rapid.IntRange(0, 9).Draw(t, "value"))})
	case 2: // it answers a request of a store that has a part of its facts
		known := uint64(rapid.IntRange(0, 3).Draw(t, "have"))
		digest := Digest{Hi: hashSpace, Watermarks: []Watermark{{h.owners[i].self.name, h.incarnations[i], known}}}
		maxBytes := rapid.SampledFrom([]int{1 << 20, 120, 180}).Draw(t, "bytes")
		h.responses = append(h.responses, h.owners[i].DeltasFor(h.now, digest, maxBytes))
	case 3: // it restarts empty
		h.incarnations[i]++
		h.owners[i] = New(fmt.Sprint("o", i), h.incarnations[i], horizon)
	case 4: // it pulls from another
		j := rapid.IntRange(0, 2).Draw(t, "from")
		pull(h.now, h.owners[i], h.owners[j], time.Millisecond)
	}
	h.now += 10 * time.Millisecond
}

// listenerOf returns a store that has merged responses in their order.
func (h *mergeHistory) listenerOf(responses [][]Delta) *Store {
	s := New("listener", 1, horizon)
	for _, deltas := range responses {
		s.Merge(h.now, h.now, deltas)
	}
	return s
}

// exchange has the listeners and the owners pull from every owner.
func (h *mergeHistory) exchange(listeners ...*Store) {
	for _, owner := range h.owners {
		for _, listener := range listeners {
			pull(h.now, listener, owner, 0)
		}
		for _, other := range h.owners {
			pull(h.now, owner, other, 0)
		}
	}
}

// Merging is commutative, associative and idempotent: whatever responses of
// whichever incarnations arrive in whatever order and number, and whatever is
// lost on the way, a few rounds of requests make all stores equal.
func TestMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		history := newMergeHistory()
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			history.step(t)
		}
		responses := history.responses
		a := history.listenerOf(responses)
		shuffled := rapid.Permutation(responses).Draw(t, "order")
		repeated := responses[:rapid.IntRange(0, len(responses)).Draw(t, "again")]
		b := history.listenerOf(slices.Concat(shuffled, repeated))
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

// Exhaustive: three owners with one fact each, stated twice, and every subset
// and order of the six responses in between, each merged once or twice. The
// result is the newest of what arrived, and the same for every order.
func TestMergeEveryOrder(t *testing.T) {
	now := time.Second
	var responses [][]Delta
	for i := range 3 {
		owner := New(fmt.Sprint("o", i), 7, horizon)
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
	s := New("s", 1, horizon)
	for _, i := range order {
		for range times {
			s.Merge(now, now, responses[i])
		}
	}
	return s
}

// requireNewest checks that of each owner whose second response was merged the
// second fact is stored, alone.
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

// The facts of an ended incarnation do not come back, and others' claims on an
// owner's facts do not count at the owner.
func TestIncarnations(t *testing.T) {
	now := time.Second
	first, second, s := New("o", 1, horizon), New("o", 2, horizon), New("s", 1, horizon)
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

// Facts beyond the horizon are dropped everywhere, do not come back, and release
// their memory.
func TestHorizon(t *testing.T) {
	a, b := New("a", 1, horizon), New("b", 1, horizon)
	now := time.Second
	for i := range 100 {
		a.Put("k", fmt.Sprint(i), now, bytes.Repeat([]byte("x"), 100))
	}
	pull(now, b, a, 0)
	if b.Len() != 100 || b.Bytes() < 10000 {
		t.Fatalf("got %d facts in %d bytes, want 100 in 10000 or more", b.Len(), b.Bytes())
	}
	late := now + horizon + time.Second
	b.Sweep(late, func(string) bool { return false })
	if b.Len() != 0 || b.Bytes() != 0 || len(b.owners) != 1 {
		t.Fatalf("got %d facts, %d bytes, %d owners, want only the own record", b.Len(), b.Bytes(), len(b.owners))
	}
	pull(late, b, a, 0)
	if b.Len() != 0 || len(a.Facts(late, "k")) != 0 {
		t.Fatal("an expired fact came back")
	}
}

// Responses keep to their size and lose nothing: repeated requests yield all
// facts of many owners.
func TestPagedResponses(t *testing.T) {
	hub := New("hub", 1, horizon)
	now := time.Second
	for i := range 200 {
		owner := New(fmt.Sprintf("owner-%03d", i), 1, horizon)
		for fact := range 3 {
			owner.Put("k", fmt.Sprint(fact), now, []byte("data"))
		}
		hub.Merge(now, now, owner.DeltasFor(now, Digest{Hi: hashSpace}, 1<<20))
	}
	late, requests := New("late", 1, horizon), 0
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

// Malformed deltas and facts are counted and change nothing, and the bounds hold
// whatever arrives.
func TestMalformedDeltas(t *testing.T) {
	s := New("s", 1, horizon)
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
		t.Fatal("a malformed fact of the instance's own was stored")
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
