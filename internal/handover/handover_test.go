package handover

import (
	"log/slog"
	"math"
	"testing"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"hitchspring/policy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var discardLogger = slog.New(slog.DiscardHandler)

// A split neither duplicates nor loses units, and only the new process reports units to the counter.
func TestSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var learned policy.LearnedState
		for range rapid.IntRange(0, 20).Draw(t, "tenants") {
			units := rapid.Float64Range(-50, 500)
			learned.Tenants = append(learned.Tenants, policy.LearnedTenant{
				LeasedUnits:     units.Draw(t, "leased"),
				UnreportedUnits: units.Draw(t, "unreported"),
				CeilingLevel:    units.Draw(t, "ceiling"),
				Demand:          rapid.Float64Range(0, 1000).Draw(t, "demand"),
			})
		}
		retained, given := Split(learned)
		for i, tenant := range learned.Tenants {
			old, next := retained[i], given.Tenants[i]
			for _, units := range []struct {
				name             string
				total, old, next float64
				maxRetained      float64
			}{
				{"LeasedUnits", tenant.LeasedUnits, old.LeasedUnits, next.LeasedUnits, retainedShare},
				{"CeilingLevel", tenant.CeilingLevel, old.CeilingLevel, next.CeilingLevel, retainedShare},
				{"UnreportedUnits", tenant.UnreportedUnits, old.UnreportedUnits, next.UnreportedUnits, 0},
			} {
				if sum := units.old + units.next; !(math.Abs(sum-units.total) < 1e-9) {
					t.Fatalf("%s: got %v and %v, want a sum of %v", units.name, units.old, units.next, units.total)
				}
				if limit := max(0, units.total) * units.maxRetained; units.old < 0 || units.old > limit {
					t.Fatalf("%s: got %v retained of %v, want 0 to %v", units.name, units.old, units.total, limit)
				}
			}
		}
	})
}
