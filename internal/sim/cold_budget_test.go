package sim

import (
	"fmt"
	"testing"
)

// What all gateways together send to a node that starts cold under a burst stays within its budget and what is left to chance.
func TestColdNodesWithinBudgetOfAll(t *testing.T) {
	if testing.Short() {
		t.Skip("plays fleets of 80")
	}
	for _, day := range coldDays() {
		for _, gateways := range coldSizes {
			for _, times := range []float64{1.5, 4.7} {
				for _, work := range []float64{1, 2, 4} {
					t.Run(fmt.Sprintf("%s/%d gateways/burst %v/work %v", day.name, gateways, times, work), func(t *testing.T) {
						t.Parallel()
						withinBudget(t, day, gateways, times, work)
					})
				}
			}
		}
	}
}

func withinBudget(t *testing.T, day coldDay, gateways int, times, work float64) {
	t.Helper()
	var worst coldWorst
	for _, seed := range coldSeeds() {
		r, err := Play(coldFleet(gateways, seed, day, times, work))
		if err != nil {
			t.Fatal(err)
		}
		worst.add(r)
		for _, c := range r.Cold {
			if c.Mean.IsOverload() {
				t.Errorf("seed %d: node %s got %v", seed, c.Node, c.Mean)
			}
		}
	}
	t.Log(worst.String())
	// At 62 requests a second over 80 gateways a node that is alone in being cold may get none while it is looked at.
	if worst.calls == 0 && work < 4 {
		t.Error("no cold node was sent anything: the day shows nothing")
	}
}
