package outlier

import (
	"math/rand/v2"
	"time"

	"hitchspring/policy"
)

const (
	trialEvery   = 400 * time.Millisecond  // between two trials of a node that could not be used, by all instances together, at first
	trialSlow    = 1200 * time.Millisecond // the same of one that is slow: each trial is an answer that comes late
	trialMost    = 5 * time.Second         // the same at the most: it grows with the trouble's age
	trialAges    = 4                       // part of that age
	trialLasts   = time.Second             // for which a trial is open, where the module picks others
	trialLeast   = 2.0                     // slowness by others' word from which on a node is as good as left
	trialLongest = 4.0                     // mean waits that one lasts at the most
	trialVoices  = 32                      // instances beyond which the wait grows no further
)

// Trials opens blamed nodes for one attempt now and then: where all instances have left a node, nobody would ever see that it is well
// again. All together try once in a while, each by its own chance, whoever is served tells it, and the blame ends. It is used by one goroutine.
type Probation struct {
	rng       *rand.Rand
	instances int
	nodes     map[policy.BackendID]*trial
}

type trial struct {
	due    time.Duration // of the next
	opened time.Duration // 0: it is not open
}

// NewTrials returns one for one of so many instances.
func NewProbation(rng *rand.Rand, instances int) *Probation {
	return &Probation{rng: rng, instances: min(max(1, instances), trialVoices), nodes: map[policy.BackendID]*trial{}}
}

// Open takes the blames in force, their verdicts, and when this instance last sent to a node, and returns the nodes whose blame does not count at
// the moment: until an attempt of this instance has gone there, or for a second.
func (t *Probation) Open(now time.Duration, force map[policy.BackendID]float64, verdicts []Assessment, sent func(policy.BackendID) time.Duration) (out []policy.BackendID) {
	for id := range t.nodes {
		if force[id] < trialLeast {
			delete(t.nodes, id)
		}
	}
	for _, v := range verdicts {
		if force[v.Backend] < trialLeast {
			continue
		}
		x := t.nodes[v.Backend]
		switch {
		case x == nil:
			x = &trial{due: now + t.wait(now, v)}
			t.nodes[v.Backend] = x
		case x.opened == 0 && now >= x.due:
			x.opened = now
		case x.opened > 0 && (sent(v.Backend) >= x.opened || now-x.opened >= trialLasts):
			x.opened, x.due = 0, now+t.wait(now, v)
		}
		if x.opened > 0 {
			out = append(out, v.Backend)
		}
	}
	return out
}

// wait is the time to this instance's next trial.
func (t *Probation) wait(now time.Duration, v Assessment) time.Duration {
	every := trialEvery
	if v.Cause == Slow {
		every = trialSlow
	}
	if v.Since > 0 {
		every = min(trialMost, max(every, (now-v.Since)/trialAges))
	}
	// Drawn so, the trials of all come at an even rate from the first moment on, however many they are.
	return time.Duration(min(t.rng.ExpFloat64(), trialLongest) * float64(every) * float64(t.instances))
}
