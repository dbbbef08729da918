package outlier

import (
	"math/rand/v2"
	"time"

	"hitchspring/policy"
)

const (
	probationInterval     = 400 * time.Millisecond  // mean time between openings by any instance, at first
	slowProbationInterval = 1200 * time.Millisecond // the same for a slow backend, as each opening costs a late answer
	maxProbationInterval  = 5 * time.Second
	faultAgeDivisor       = 4           // the interval grows to 1/faultAgeDivisor of the fault's age
	probationDuration     = time.Second // how long a backend stays open without an attempt
	minProbationSlowness  = 2.0         // from this slowness the policy module almost always avoids a backend
	maxProbationWait      = 4.0         // maximum wait, as a multiple of the mean wait
	maxProbationInstances = 32          // the wait doesn't grow with further instances
)

// Probation opens ejected backends for single attempts. While all instances avoid a backend, none would notice its
// recovery. So each instance opens it from time to time, at random, such that all instances together do so at a bounded
// rate. An instance that the backend serves publishes the success, which ends the ejection. It is not safe for
// concurrent use.
type Probation struct {
	rng       *rand.Rand
	instances int // number of instances that share the openings
	backends  map[policy.BackendID]*probationState
}

// probationState is the probation of one ejected backend.
type probationState struct {
	nextOpening time.Duration
	openedAt    time.Duration // 0: closed
}

// NewProbation returns a Probation without backends. instances is the number of instances that share the openings.
func NewProbation(rng *rand.Rand, instances int) *Probation {
	return &Probation{
		rng:       rng,
		instances: min(max(1, instances), maxProbationInstances),
		backends:  map[policy.BackendID]*probationState{},
	}
}

// Open returns the backends that are open now, whose slowness must not be applied. A backend stays open until this
// instance has sent an attempt to it, but at most for probationDuration. slowness is the result of Decay.Apply, and
// lastSent returns when this instance last sent an attempt to a backend.
func (p *Probation) Open(
	now time.Duration,
	slowness map[policy.BackendID]float64,
	assessments []Assessment,
	lastSent func(policy.BackendID) time.Duration,
) []policy.BackendID {
	for id := range p.backends {
		if slowness[id] < minProbationSlowness {
			delete(p.backends, id)
		}
	}
	var open []policy.BackendID
	for _, a := range assessments {
		if slowness[a.Backend] < minProbationSlowness {
			continue
		}
		state := p.backends[a.Backend]
		switch {
		case state == nil:
			state = &probationState{nextOpening: now + p.drawWait(now, a)}
			p.backends[a.Backend] = state
		case state.openedAt == 0 && now >= state.nextOpening:
			state.openedAt = now
		case state.openedAt > 0 && (lastSent(a.Backend) >= state.openedAt || now-state.openedAt >= probationDuration):
			state.openedAt = 0
			state.nextOpening = now + p.drawWait(now, a)
		}
		if state.openedAt > 0 {
			open = append(open, a.Backend)
		}
	}
	return open
}

// drawWait returns a random time until this instance's next opening. It is exponentially distributed, so that the
// openings of all instances together have a constant rate from the start, whatever the number of instances.
func (p *Probation) drawWait(now time.Duration, a Assessment) time.Duration {
	interval := probationInterval
	if a.Cause == Slow {
		interval = slowProbationInterval
	}
	if a.Since > 0 {
		interval = min(maxProbationInterval, max(interval, (now-a.Since)/faultAgeDivisor))
	}
	return time.Duration(min(p.rng.ExpFloat64(), maxProbationWait) * float64(interval) * float64(p.instances))
}
