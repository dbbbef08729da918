package outlier

import (
	"math/rand/v2"
	"testing"
	"time"

	"hitchspring/policy"
)

// A node that all have left is tried again: by all together often enough that it is back soon, seldom enough that a node that is still bad gets
// little; each trial ends with its attempt, and no trial is begun for a node that is not blamed.
func TestTrials(t *testing.T) {
	for name, c := range map[string]struct {
		cause       Cause
		instances   int
		least, most float64 // trials by all together in ten seconds
	}{
		"it could not be reached, 3":  {Unreachable, 3, 7, 30},
		"it could not be reached, 12": {Unreachable, 12, 7, 30},
		"it is slow, 12":              {Slow, 12, 3, 10},
	} {
		t.Run(name, func(t *testing.T) {
			const runs = 30
			opened, firsts := 0, time.Duration(0)
			for run := range runs {
				first := time.Duration(0)
				for i := range c.instances {
					trials := NewProbation(rand.New(rand.NewPCG(uint64(run), uint64(i))), c.instances)
					began := time.Minute
					sent := time.Duration(0)
					for now := began + 300*ms; now < began+10*time.Second; now += 50 * ms {
						v := Assessment{Backend: "n", Slowness: 8, Cause: c.cause, Since: began}
						open := trials.Open(now, map[policy.BackendID]float64{"n": 8}, []Assessment{v, {Backend: "m", Slowness: 1}}, func(policy.BackendID) time.Duration { return sent })
						if len(open) > 1 || len(open) == 1 && open[0] != "n" {
							t.Fatal(open)
						}
						if len(open) == 1 { // the module sends there at once
							if sent > 0 && now-sent < 100*ms {
								t.Fatalf("two attempts in one trial, at %v and %v", sent, now)
							}
							sent = now
							opened++
							if first == 0 || now < first {
								first = now
							}
						}
					}
				}
				firsts += (first - time.Minute) / runs
			}
			if n := float64(opened) / runs; n < c.least || n > c.most {
				t.Errorf("%.1f trials in ten seconds by all %d", n, c.instances)
			}
			if firsts > 3*time.Second {
				t.Errorf("the first trial comes after %v", firsts)
			}
		})
	}
	trials := NewProbation(rand.New(rand.NewPCG(1, 2)), 1)
	v := []Assessment{{Backend: "n", Slowness: 8, Cause: Unreachable, Since: time.Minute}}
	for now := time.Minute; now < 2*time.Minute; now += 50 * ms {
		if open := trials.Open(now, map[policy.BackendID]float64{"n": 1.5}, v, func(policy.BackendID) time.Duration { return 0 }); len(open) > 0 {
			t.Fatal("a trial for a node that is used")
		}
	}
}
