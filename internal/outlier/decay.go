package outlier

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"hitchspring/policy"
)

const (
	minTimeConstant    = 500 * time.Millisecond  // minimum time constant of a decay
	timeConstantJitter = 1500 * time.Millisecond // maximum random addition to it
	negligibleSlowness = 1.05                    // below it a backend counts as healthy
)

// Decay gradually reduces the slowness of a backend once its assessment improves. Each instance draws its own time
// constant, so that instances that left a backend at the same time don't all return to it at the same time. It is not
// safe for concurrent use.
type Decay struct {
	rng       *rand.Rand
	appliedAt time.Duration // time of the last call of Apply
	byBackend map[policy.BackendID]decayingSlowness
}

type decayingSlowness struct {
	slowness     float64
	timeConstant time.Duration // in which the slowness falls to 1/e
}

// NewDecay returns a Decay without slow backends.
func NewDecay(rng *rand.Rand) *Decay {
	return &Decay{rng: rng, byBackend: map[policy.BackendID]decayingSlowness{}}
}

// Apply updates the slowness of the backends from the assessments as of now, and returns the effective slowness of each
// slow backend. An increase takes effect at once. A decrease is gradual, or immediate if the backend has served this
// instance.
func (d *Decay) Apply(now time.Duration, assessments []Assessment) map[policy.BackendID]float64 {
	elapsed := (now - d.appliedAt).Seconds()
	d.appliedAt = now
	latest := map[policy.BackendID]Assessment{}
	for _, a := range assessments {
		latest[a.Backend] = a
		d.raise(a)
	}
	effective := map[policy.BackendID]float64{}
	for id, s := range d.byBackend {
		assessment := latest[id]
		if slices.Contains(assessment.Defenders, "") {
			delete(d.byBackend, id)
			continue
		}
		if target := max(1, assessment.Slowness); s.slowness > target {
			s.slowness = target + (s.slowness-target)*math.Exp(-elapsed/s.timeConstant.Seconds())
		}
		if s.slowness < negligibleSlowness {
			delete(d.byBackend, id)
			continue
		}
		d.byBackend[id] = s
		effective[id] = s.slowness
	}
	return effective
}

// raise applies an assessed slowness that is not below the effective one.
func (d *Decay) raise(a Assessment) {
	s, decaying := d.byBackend[a.Backend]
	if a.Slowness <= 1 || a.Slowness < s.slowness {
		return
	}
	if !decaying {
		s.timeConstant = minTimeConstant + time.Duration(d.rng.Int64N(int64(timeConstantJitter)))
	}
	s.slowness = a.Slowness
	d.byBackend[a.Backend] = s
}
