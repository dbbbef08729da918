package outlier

import (
	"math/rand/v2"
	"time"

	"hitchspring/policy"
)

const (
	probationInterval     = 400 * time.Millisecond  // from one opening to the next by all instances, at first
	slowProbationInterval = 1200 * time.Millisecond // the same for a slow backend: each opening costs a late answer
	maxProbationInterval  = 5 * time.Second
	faultAgeDivisor       = 4           // the interval grows to this part of the fault's age
	probationDuration     = time.Second // for which a backend stays open if no attempt goes there
	probationSlowness     = 2.0         // from which on the policy module as good as avoids a backend
	maxProbationWait      = 4.0         // of one wait, in mean waits
	maxProbationInstances = 32          // beyond which the wait grows no further
)

// Probation opens ejected backends for single attempts. Where all instances have left a backend, nobody would see that
// it has recovered: each instance opens it now and then, at times of its own chance, so that all together do so at a
// bounded rate. Whoever is served publishes it, which ends the ejection. It is used by one goroutine at a time.
type Probation struct {
	rng       *rand.Rand
	instances int // that share the openings
	backends  map[policy.BackendID]*probationState
}

// probationState is the probation of one ejected backend.
type probationState struct {
	nextOpening time.Duration
	openedAt    time.Duration // 0: closed
}

// NewProbation returns the probation of one of so many instances, with no backend in it.
func NewProbation(rng *rand.Rand, instances int) *Probation {
	return &Probation{
		rng:       rng,
		instances: min(max(1, instances), maxProbationInstances),
		backends:  map[policy.BackendID]*probationState{},
	}
}

// Open returns the backends that are open at the moment, whose slowness is not to be applied: each until this instance
// has sent an attempt there, or for probationDuration. slowness is what Decay has in force, and lastSent returns when
// this instance last sent an attempt to a backend.
func (p *Probation) Open(
	now time.Duration,
	slowness map[policy.BackendID]float64,
	assessments []Assessment,
	lastSent func(policy.BackendID) time.Duration,
) []policy.BackendID {
	for id := range p.backends {
		if slowness[id] < probationSlowness {
			delete(p.backends, id)
		}
	}
	var open []policy.BackendID
	for _, a := range assessments {
		if slowness[a.Backend] < probationSlowness {
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

// drawWait returns the time to this instance's next opening. It is exponentially distributed, so that the openings of
// all instances come at an even rate from the first moment on, however many they are.
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
