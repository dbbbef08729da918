package override

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hitchspring/policy"
)

// overridesModel is the expected state of overrides after random calls.
type overridesModel struct {
	overrides *Overrides
	ids       []policy.BackendID
	now       time.Duration
	suspended map[policy.BackendID]bool
	resumedAt map[policy.BackendID]time.Duration
	listed    map[policy.BackendID]bool
}

func newOverridesModel() *overridesModel {
	return &overridesModel{
		overrides: New(),
		ids:       []policy.BackendID{"a", "b", "c", "d"},
		suspended: map[policy.BackendID]bool{},
		resumedAt: map[policy.BackendID]time.Duration{},
		listed:    map[policy.BackendID]bool{},
	}
}

func (m *overridesModel) list(id policy.BackendID) {
	m.overrides.RecordListed([]policy.BackendID{id})
	m.listed[id] = true
}

func (m *overridesModel) set(t *rapid.T, id policy.BackendID, suspended bool) {
	changed, err := m.overrides.Set(id, suspended, m.now)
	if m.listed[id] == errors.Is(err, ErrUnknown) {
		t.Fatalf("%s was listed: %v, got error %v", id, m.listed[id], err)
	}
	if err != nil {
		return
	}
	if changed != (m.suspended[id] != suspended) {
		t.Fatalf("%s: got changed %v of a call with %v, before it was %v", id, changed, suspended, m.suspended[id])
	}
	if changed && !suspended {
		m.resumedAt[id] = m.now
	}
	m.suspended[id] = suspended
}

// merge replaces the overrides with new ones into which the earlier ones were merged.
func (m *overridesModel) merge(t *rapid.T) {
	other := New()
	other.Merge(m.overrides.All())
	if changed := other.Merge(m.overrides.All()); len(changed) > 0 {
		t.Fatalf("got %v changed by overrides that were merged before, want none", changed)
	}
	other.RecordListed(m.ids)
	m.overrides = other
	for _, id := range m.ids {
		m.listed[id] = true
	}
}

func (m *overridesModel) check(t *rapid.T, id policy.BackendID, state policy.BackendState) {
	got := m.overrides.Apply(policy.Backend{ID: id, State: state})
	want := state
	if m.suspended[id] && state == policy.Running {
		want = policy.Draining
	}
	if got.State != want {
		t.Fatalf("%s, suspended %v, listed as %v: got state %v, want %v", id, m.suspended[id], state, got.State, want)
	}
	if !m.suspended[id] && got.Started < m.resumedAt[id] {
		t.Fatalf("%s: got start %v, want it not before it was resumed at %v", id, got.Started, m.resumedAt[id])
	}
}

// For any sequence of lists and calls: a running backend is draining exactly while it is suspended, its start is never
// before it was resumed, and overrides that were merged into others give the same results.
func TestOverrides(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newOverridesModel()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.now += time.Duration(rapid.IntRange(0, 3).Draw(t, "passes")) * time.Second
			id := rapid.SampledFrom(m.ids).Draw(t, "id")
			switch rapid.SampledFrom([]string{"list", "call", "another call", "merge"}).Draw(t, "step") {
			case "list":
				m.list(id)
			case "call", "another call":
				m.set(t, id, rapid.Bool().Draw(t, "suspended"))
			case "merge":
				m.merge(t)
			}
			for _, id := range m.ids {
				for _, state := range []policy.BackendState{policy.Running, policy.Draining, policy.Removed} {
					m.check(t, id, state)
				}
			}
		}
	})
}

// set calls Set and fails if it returns an error.
func set(t *testing.T, o *Overrides, id policy.BackendID, suspended bool, now time.Duration) {
	t.Helper()
	if _, err := o.Set(id, suspended, now); err != nil {
		t.Fatalf("setting suspended to %v for %s: %v", suspended, id, err)
	}
}

// A restart that discovery has reported since the suspension takes precedence over the resume call: the backend has
// been warming up since that restart.
func TestListedRestartAfterSuspensionTakesPrecedence(t *testing.T) {
	for _, c := range []struct{ listed, want time.Duration }{{0, 20}, {9, 20}, {10, 20}, {12, 12}, {25, 25}} {
		o := New()
		o.RecordListed([]policy.BackendID{"a"})
		set(t, o, "a", true, 10)
		set(t, o, "a", false, 20)
		got := o.Apply(policy.Backend{ID: "a", State: policy.Running, Started: c.listed}).Started
		if got != c.want {
			t.Errorf("suspended at 10, resumed at 20, listed with start %d: got start %d, want %d",
				c.listed, got, c.want)
		}
	}
}

// If new ids keep arriving, the number of entries stays bounded and no suspended backend is evicted.
func TestNumberOfEntriesIsBounded(t *testing.T) {
	o := New()
	o.RecordListed([]policy.BackendID{"suspended"})
	set(t, o, "suspended", true, 1)
	for i := range 3 * maxEntries {
		o.RecordListed([]policy.BackendID{policy.BackendID(fmt.Sprint("s", i))})
	}
	if len(o.entries) > maxEntries {
		t.Fatalf("got %d ids, want at most %d", len(o.entries), maxEntries)
	}
	if !o.IsSuspended("suspended") {
		t.Fatal("got a suspended backend evicted, want it suspended")
	}
	set(t, o, policy.BackendID(fmt.Sprint("s", 3*maxEntries-1)), true, 2)
}

// After a change that names few backends of a large endpoint list, operators can still suspend every backend in the
// list.
func TestLargeList(t *testing.T) {
	o := New()
	var ids []policy.BackendID
	for i := range 7700 {
		ids = append(ids, policy.BackendID(fmt.Sprint("s", i)))
	}
	o.RecordListed(ids)
	o.RecordListed([]policy.BackendID{"another"})
	for _, id := range ids {
		set(t, o, id, true, 1)
	}
}

// Of two overrides of one backend the later wins, in whichever order they are merged.
func TestLaterOverrideWins(t *testing.T) {
	suspended := []Override{{ID: "a", Suspended: true, At: 1}}
	resumed := []Override{{ID: "a", Suspended: false, At: 2}}
	for name, order := range map[string][][]Override{
		"in order":     {suspended, resumed},
		"out of order": {resumed, suspended},
	} {
		t.Run(name, func(t *testing.T) {
			o := New()
			for _, overrides := range order {
				o.Merge(overrides)
			}
			if o.IsSuspended("a") {
				t.Error("got it suspended, want it resumed")
			}
		})
	}
}
