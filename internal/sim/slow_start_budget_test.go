package sim

import (
	"fmt"
	"testing"
)

// What all instances together send to a backend that starts under a burst stays
// within its budget and what is left to chance.
func TestSlowStartsWithinBudgetOfAll(t *testing.T) {
	if testing.Short() {
		t.Skip("plays fleets of 80")
	}
	for _, sc := range slowStartScenarios() {
		for _, instances := range []int{3, 20, 30, 80} {
			for _, burst := range []float64{1.5, 4.7} {
				for _, work := range []float64{1, 2, 4} {
					name := fmt.Sprintf("%s/%d instances/burst %v/work %v", sc.name, instances, burst, work)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						checkBudget(t, sc, instances, burst, work)
					})
				}
			}
		}
	}
}

func checkBudget(t *testing.T, sc slowStartScenario, instances int, burst, work float64) {
	t.Helper()
	var summary slowStartSummary
	for _, seed := range slowStartSeeds() {
		report := play(t, sc.fleet(instances, seed, burst, work))
		summary.add(report)
		for _, start := range report.SlowStarts {
			if start.Mean.IsOverload() {
				t.Errorf("seed %d: got %v at backend %s, want no overload", seed, start.Mean, start.Backend)
			}
		}
	}
	t.Log(summary.String())
	// At 62 requests a second over 80 instances a single backend in slow start may get none of them.
	if summary.attempts == 0 && work < 4 {
		t.Error("got no attempt at a backend in slow start: the scenario shows nothing")
	}
}
