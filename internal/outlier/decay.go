package outlier

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"hitchspring/policy"
)

const (
	minDecayTime       = 500 * time.Millisecond  // time constant of a decay, at least
	decayTimeSpread    = 1500 * time.Millisecond // what chance adds to it, at most
	negligibleSlowness = 1.05                    // below it a backend counts as healthy
)

// Decay lets the slowness of a backend wear off once its assessment improves, with a time constant that each instance
// draws by itself, so that the instances which left a backend together don't return together. It is used by one
// goroutine at a time.
type Decay struct {
	rng       *rand.Rand
	appliedAt time.Duration // of the last Apply
	slow      map[policy.BackendID]decayingSlowness
}

type decayingSlowness struct {
	slowness     float64
	timeConstant time.Duration // in which the slowness falls to 1/e
}

// NewDecay returns a decay under which no backend is slow.
func NewDecay(rng *rand.Rand) *Decay {
	return &Decay{rng: rng, slow: map[policy.BackendID]decayingSlowness{}}
}

// Apply takes the assessments as of now and returns the slowness in force of each backend that has any. A slowness that
// rises is in force at once. One that falls decays, or ends at once if the backend has served this instance.
func (d *Decay) Apply(now time.Duration, assessments []Assessment) map[policy.BackendID]float64 {
	elapsed := (now - d.appliedAt).Seconds()
	d.appliedAt = now
	latest := map[policy.BackendID]Assessment{}
	for _, a := range assessments {
		latest[a.Backend] = a
		d.raise(a)
	}
	inForce := map[policy.BackendID]float64{}
	for id, s := range d.slow {
		assessment := latest[id]
		if slices.Contains(assessment.Defenders, "") {
			delete(d.slow, id)
			continue
		}
		if target := max(1, assessment.Slowness); s.slowness > target {
			s.slowness = target + (s.slowness-target)*math.Exp(-elapsed/s.timeConstant.Seconds())
		}
		if s.slowness < negligibleSlowness {
			delete(d.slow, id)
			continue
		}
		d.slow[id] = s
		inForce[id] = s.slowness
	}
	return inForce
}

// raise takes over a slowness that is not below the one in force.
func (d *Decay) raise(a Assessment) {
	s, decaying := d.slow[a.Backend]
	if a.Slowness <= 1 || a.Slowness < s.slowness {
		return
	}
	if !decaying {
		s.timeConstant = minDecayTime + time.Duration(d.rng.Int64N(int64(decayTimeSpread)))
	}
	s.slowness = a.Slowness
	d.slow[a.Backend] = s
}
