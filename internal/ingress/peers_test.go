package ingress

import (
	"slices"
	"testing"

	"hitchspring/internal/core"
	"hitchspring/internal/swim"
)

// The core is notified of deaths and refutations in their order. A new incarnation
// also ends the previous one, whether it is first heard of as alive or suspect.
func TestMemberChangesKeepTheirOrder(t *testing.T) {
	change := func(state swim.State, incarnation uint64, added bool) swim.Change {
		return swim.Change{Update: swim.Update{Name: "n1", Incarnation: incarnation, State: state}, New: added}
	}
	alive := func(incarnation uint64) core.MemberChange {
		return core.MemberChange{Incarnation: core.Incarnation{Name: "n1", Number: incarnation}}
	}
	ended := func(incarnation uint64) core.MemberChange {
		return core.MemberChange{Incarnation: core.Incarnation{Name: "n1", Number: incarnation}, Ended: true}
	}
	tests := map[string]struct {
		changes []swim.Change
		want    []core.MemberChange
	}{
		"a refuted death, and another death": {
			changes: []swim.Change{
				change(swim.Dead, 5, false),
				change(swim.Alive, 5, false),
				change(swim.Dead, 5, false),
			},
			want: []core.MemberChange{ended(5), alive(5), ended(5)},
		},
		"a new incarnation": {
			changes: []swim.Change{change(swim.Alive, 6, true)},
			want:    []core.MemberChange{ended(5), alive(6)},
		},
		"a new incarnation that is first heard of as suspect": {
			changes: []swim.Change{change(swim.Suspect, 6, true), change(swim.Alive, 6, false)},
			want:    []core.MemberChange{ended(5), alive(6), alive(6)},
		},
		"a death that is refuted, and a suspicion after it": {
			changes: []swim.Change{change(swim.Dead, 5, false), change(swim.Suspect, 5, false)},
			want:    []core.MemberChange{ended(5), alive(5)},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			if got := memberChanges(test.changes); !slices.Equal(got, test.want) {
				t.Errorf("got %+v, want %+v", got, test.want)
			}
		})
	}
}
