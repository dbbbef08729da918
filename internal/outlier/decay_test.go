package outlier

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// returnTime returns how long the slowness of an ejected backend that is healthy again takes to fall below 2, with the
// random numbers of a seed. It fails the test if the slowness falls in a large step.
func returnTime(t *testing.T, seed uint64) time.Duration {
	t.Helper()
	decay := NewDecay(rand.New(rand.NewPCG(seed, 1)))
	decay.Apply(0, []Assessment{{Backend: "n", Slowness: 8}})
	last := 8.0
	for now := 50 * ms; ; now += 50 * ms {
		slowness := decay.Apply(now, []Assessment{{Backend: "n", Slowness: 1}})["n"]
		if slowness > last || last-slowness > 0.12*last+0.06 && slowness > 0 {
			t.Fatalf("slowness went from %v to %v in one step", last, slowness)
		}
		last = slowness
		if slowness < 2 {
			return now
		}
	}
}

// The slowness of a backend decays without large steps, and at a different rate at each instance. If the backend serves
// this instance, the slowness ends at once.
func TestDecay(t *testing.T) {
	var returns []time.Duration
	for seed := range uint64(40) {
		returns = append(returns, returnTime(t, seed))
	}
	slices.Sort(returns)
	if spread := returns[36] - returns[4]; returns[0] < 500*ms || returns[39] > 6*time.Second || spread < time.Second {
		t.Fatalf("got returns from %v to %v, spread %v; want them from 500ms to 6s, spread at least 1s",
			returns[0], returns[39], spread)
	}
	decay := NewDecay(rand.New(rand.NewPCG(1, 1)))
	decay.Apply(0, []Assessment{{Backend: "n", Slowness: 8}})
	got := decay.Apply(50*ms, []Assessment{{Backend: "n", Slowness: 1, Defenders: []string{""}}})
	if len(got) != 0 {
		t.Fatalf("got slowness %v of a backend that serves this instance, want none", got)
	}
}
