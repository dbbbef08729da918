package outlier

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"hitchspring/policy"
)

// countOpenings runs one instance's probation of an ejected backend for ten seconds, with an attempt at each opening,
// and returns the number of openings and the time of the first; 0 if there was none.
func countOpenings(t *testing.T, p *Probation, cause Cause) (openings int, first time.Duration) {
	t.Helper()
	const since = time.Minute
	sentAt := time.Duration(0)
	lastSent := func(policy.BackendID) time.Duration { return sentAt }
	slowness := map[policy.BackendID]float64{"n": 8}
	assessments := []Assessment{
		{Backend: "n", Slowness: 8, Cause: cause, Since: since},
		{Backend: "m", Slowness: 1},
	}
	for now := since + 300*ms; now < since+10*time.Second; now += 50 * ms {
		open := p.Open(now, slowness, assessments, lastSent)
		if len(open) == 0 {
			continue
		}
		if !slices.Equal(open, []policy.BackendID{"n"}) {
			t.Fatalf("got %v open, want the ejected backend alone", open)
		}
		if sentAt > 0 && now-sentAt < 100*ms {
			t.Fatalf("two attempts in one opening, at %v and %v", sentAt, now)
		}
		sentAt = now
		openings++
		if first == 0 {
			first = now
		}
	}
	return openings, first
}

// countOpeningsOfAll returns the number of openings by all instances, and the time of the first.
func countOpeningsOfAll(t *testing.T, seed uint64, instances int, cause Cause) (openings int, first time.Duration) {
	t.Helper()
	for i := range instances {
		p := NewProbation(rand.New(rand.NewPCG(seed, uint64(i))), instances)
		own, firstOwn := countOpenings(t, p, cause)
		openings += own
		if firstOwn > 0 && (first == 0 || firstOwn < first) {
			first = firstOwn
		}
	}
	return openings, first
}

// A backend that all instances avoid still gets single attempts: often enough that its recovery is noticed soon, but
// seldom enough that few attempts fail while it has not recovered.
func TestProbation(t *testing.T) {
	for name, c := range map[string]struct {
		cause     Cause
		instances int
		min, max  float64 // openings by all instances in ten seconds
	}{
		"unreachable, 3 instances":  {Unreachable, 3, 7, 30},
		"unreachable, 12 instances": {Unreachable, 12, 7, 30},
		"slow, 12 instances":        {Slow, 12, 3, 10},
	} {
		t.Run(name, func(t *testing.T) {
			const runs = 30
			total, firstMean := 0, time.Duration(0)
			for run := range runs {
				openings, firstOfRun := countOpeningsOfAll(t, uint64(run), c.instances, c.cause)
				total += openings
				firstMean += (firstOfRun - time.Minute) / runs
			}
			if mean := float64(total) / runs; mean < c.min || mean > c.max {
				t.Errorf("got %.1f openings in ten seconds, want %v to %v", mean, c.min, c.max)
			}
			if firstMean > 3*time.Second {
				t.Errorf("got the first opening after %v, want at most 3s", firstMean)
			}
		})
	}
}

// A backend that is still in use is not opened.
func TestProbationOfUsedBackend(t *testing.T) {
	p := NewProbation(rand.New(rand.NewPCG(1, 2)), 1)
	slowness := map[policy.BackendID]float64{"n": 1.5}
	assessments := []Assessment{{Backend: "n", Slowness: 8, Cause: Unreachable, Since: time.Minute}}
	neverSent := func(policy.BackendID) time.Duration { return 0 }
	for now := time.Minute; now < 2*time.Minute; now += 50 * ms {
		if open := p.Open(now, slowness, assessments, neverSent); len(open) > 0 {
			t.Fatalf("got %v open, want none", open)
		}
	}
}
