package sim

import (
	"fmt"
	"testing"
)

// TestSlowStartsWithinBudgetOfAll checks that all instances together stay within the
// limit of a backend that starts during a burst: its budget and an allowance for random
// variation.
func TestSlowStartsWithinBudgetOfAll(t *testing.T) {
	if testing.Short() {
		t.Skip("simulates 80 instances")
	}
	for _, sc := range slowStartScenarios() {
		for _, instances := range []int{3, 20, 30, 80} {
			for _, burst := range []float64{1.5, 4.7} {
				for _, work := range []float64{1, 2, 4} {
					name := fmt.Sprintf("%s/%d instances/burst %v/work %v", sc.name, instances, burst, work)
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						checkSlowStartBudget(t, sc, instances, burst, work)
					})
				}
			}
		}
	}
}

func checkSlowStartBudget(t *testing.T, sc slowStartScenario, instances int, burst, work float64) {
	t.Helper()
	var summary slowStartSummary
	for _, seed := range slowStartSeeds() {
		report := mustRun(t, sc.fleet(instances, seed, burst, work))
		summary.add(report)
		for _, start := range report.SlowStarts {
			if start.Mean.IsOverload() {
				t.Errorf("seed %d: got %v at backend %s, want no overload", seed, start.Mean, start.Backend)
			}
		}
	}
	t.Log(summary.String())
	// At 62 requests per second over 80 instances, a single backend in slow start may get no attempt.
	if summary.attempts == 0 && work < 4 {
		t.Error("got no attempt at a backend in slow start: the scenario tests nothing")
	}
}
