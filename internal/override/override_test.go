package override

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hitchspring/policy"
)

// Whatever is listed and called in whatever order: a node is draining exactly while the last word on it is out, its start is
// never before it was put back, and a book that merges another's words says the same.
func TestBook(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, out, back, listed := New(), map[policy.BackendID]bool{}, map[policy.BackendID]time.Duration{}, map[policy.BackendID]bool{}
		ids := []policy.BackendID{"a", "b", "c", "d"}
		now := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3).Draw(t, "passes")) * time.Second
			id := rapid.SampledFrom(ids).Draw(t, "id")
			switch rapid.SampledFrom([]string{"list", "out", "back", "merge"}).Draw(t, "step") {
			case "list":
				b.NoteListed([]policy.BackendID{id})
				listed[id] = true
			case "out", "back":
				isOut := rapid.Bool().Draw(t, "out")
				changed, err := b.Set(id, isOut, now)
				if listed[id] == errors.Is(err, ErrUnknown) {
					t.Fatalf("%s was listed: %v, the answer is %v", id, listed[id], err)
				}
				if err != nil {
					continue
				}
				if changed != (out[id] != isOut) {
					t.Fatalf("a call on %s changed something: %v; before it was out: %v", id, changed, out[id])
				}
				if changed && !isOut {
					back[id] = now
				}
				out[id] = isOut
			case "merge":
				other := New()
				other.Merge(b.All())
				if len(other.Merge(b.All())) > 0 {
					t.Fatal("words that were merged before have changed something")
				}
				other.NoteListed(ids)
				b = other
				for _, id := range ids {
					listed[id] = true
				}
			}
			for _, id := range ids {
				for _, state := range []policy.BackendState{policy.Running, policy.Draining, policy.Gone} {
					s := b.Apply(policy.Backend{ID: id, State: state})
					want := state
					if out[id] && state == policy.Running {
						want = policy.Draining
					}
					if s.State != want {
						t.Fatalf("%s out: %v, listed as %v: it is %v", id, out[id], state, s.State)
					}
					if !out[id] && s.Started < back[id] {
						t.Fatalf("%s was put back at %v and counts as started at %v", id, back[id], s.Started)
					}
				}
			}
		}
	})
}

// A restart that discovery has told of since the node was taken out is the true one: the node has been warming since.
func TestToldRestartCounts(t *testing.T) {
	for _, c := range []struct{ listed, want time.Duration }{{0, 20}, {9, 20}, {10, 20}, {12, 12}, {25, 25}} {
		b := New()
		b.NoteListed([]policy.BackendID{"a"})
		b.Set("a", true, 10)
		b.Set("a", false, 20)
		if s := b.Apply(policy.Backend{ID: "a", State: policy.Running, Started: c.listed}); s.Started != c.want {
			t.Errorf("out at 10, back at 20, listed as started at %d: counts as started at %d, want %d", c.listed, s.Started, c.want)
		}
	}
}

// Ids are ever new: the book stays bounded, and forgets nobody who is out.
func TestBounded(t *testing.T) {
	b := New()
	b.NoteListed([]policy.BackendID{"kept"})
	b.Set("kept", true, 1)
	for i := range 3 * maxKnown {
		b.NoteListed([]policy.BackendID{policy.BackendID(fmt.Sprint("s", i))})
	}
	if len(b.known) > maxKnown || !b.IsSuspended("kept") {
		t.Fatalf("%d ids known, kept is out: %v", len(b.known), b.IsSuspended("kept"))
	}
	if _, err := b.Set(policy.BackendID(fmt.Sprint("s", 3*maxKnown-1)), true, 2); err != nil {
		t.Fatal("the id that was listed last is forgotten: ", err)
	}
}

// A change that names few nodes has none of a large list forgotten: operators can speak of each.
func TestLargeList(t *testing.T) {
	b := New()
	var ids []policy.BackendID
	for i := range 7700 {
		ids = append(ids, policy.BackendID(fmt.Sprint("s", i)))
	}
	b.NoteListed(ids)
	b.NoteListed([]policy.BackendID{"another"})
	for _, id := range ids {
		if _, err := b.Set(id, true, 1); err != nil {
			t.Fatalf("%s is listed: %v", id, err)
		}
	}
}

// Of two words on one node the later counts, in whichever order they are heard.
func TestLaterWordCounts(t *testing.T) {
	early, late := []Override{{ID: "a", Suspended: true, At: 1}}, []Override{{ID: "a", Suspended: false, At: 2}}
	for _, order := range [][][]Override{{early, late}, {late, early}} {
		b := New()
		for _, w := range order {
			b.Merge(w)
		}
		if b.IsSuspended("a") {
			t.Fatalf("order %v: a is out", order)
		}
	}
}
