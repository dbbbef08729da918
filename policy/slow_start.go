package policy

import (
	"math"
	"time"
)

const (
	// slowStartRateFactor is the rate of sends to a backend in slow start, in what a
	// backend of that capacity answers.
	slowStartRateFactor = 1.5
	// largeFleetRateFactor is the same where many instances send each a little.
	largeFleetRateFactor = 1.2
	// slowStartExponent is the power of the capacity share that the rate follows in a
	// large fleet: chance overloads a small backend sooner.
	slowStartExponent = 1.4
	// slowStartInterval is the least time between two sends of one instance of a
	// large fleet to one backend in slow start.
	slowStartInterval = time.Second
)

// answerRate is the rate of answers to this instance and what it came from.
type answerRate struct {
	rate       float64       // answers a second, decaying since rateAt
	rateAt     time.Duration // when the last answer came
	backends   float64       // backends that these came from, as of the endpoint list before
	backendsAt time.Duration // when that list was replaced

	perBackend   float64 // cached result of answersPerBackend
	perBackendAt time.Duration
}

// capacityShare returns the share of its capacity that a backend surely has: it
// grows evenly over the slow start window.
func (e *Engine) capacityShare(b *backend) float64 {
	age := e.now - b.Started
	if b.Started == 0 || age >= e.settings.SlowStartWindow || e.settings.SlowStartWindow <= 0 {
		return 1
	}
	initial := max(e.settings.SlowStartShare, 0.01)
	return initial + (1-initial)*max(0, age.Seconds())/e.settings.SlowStartWindow.Seconds()
}

// slowStartAllows reports whether the backend may be sent another attempt as far
// as its slow start is concerned. Sends are spaced by what other backends answer
// here, scaled to the capacity share, so that the sum over all instances stays
// within it; the first comes at a random part of the space.
func (e *Engine) slowStartAllows(b *backend) bool {
	share := e.capacityShare(b)
	if share >= 1 {
		return true
	}
	if e.largeFleet {
		return e.refillSlowStartTokens() >= 1 && e.now-b.lastSent > slowStartInterval
	}
	rate := slowStartRateFactor * share * e.expectedBackendRate()
	return (e.now - max(b.lastSent, b.Started)).Seconds() >= b.sendPhase/rate
}

// refillSlowStartTokens brings the sends that this instance of a large fleet may
// make to all backends in slow start together up to now, and returns them. Each
// backend adds sends at the rate at which all instances may send to it, divided by
// their number. Spaced for each backend alone, the first send would often come
// after the end of its slow start.
func (e *Engine) refillSlowStartTokens() float64 {
	if e.slowStartTokensAt == e.now {
		return e.slowStartTokens
	}
	rate := 0.0
	for _, b := range e.running {
		if share := e.capacityShare(b); share < 1 {
			rate += math.Pow(share, slowStartExponent)
		}
	}
	if rate == 0 {
		e.slowStartTokens = -1
	} else if e.slowStartTokens < 0 { // the first after none: each instance begins with a part of its own
		e.slowStartTokens = e.rng.Float64()
	}
	rate *= largeFleetRateFactor * e.expectedBackendRate()
	e.slowStartTokens = min(1+rate*0.1, e.slowStartTokens+rate*(e.now-e.slowStartTokensAt).Seconds())
	e.slowStartTokensAt = e.now
	return e.slowStartTokens
}

// expectedBackendRate returns the answers a second to expect here of a backend at
// full capacity, also before any have come.
func (e *Engine) expectedBackendRate() float64 {
	return max(e.answersPerBackend(), initialAttemptsPerBackend/float64(e.settings.Instances))
}

// answersPerBackend returns the answers a second that a backend at full capacity
// gives here. Where most of the fleet has just been removed, the few that are left
// have not given these answers: the rate and the number of backends fade alike.
func (e *Engine) answersPerBackend() float64 {
	if e.answers.perBackendAt != e.now { // many backends are looked at in one moment
		e.answers.perBackendAt = e.now
		faded := e.answers.rate * math.Exp(-(e.now - e.answers.rateAt).Seconds())
		e.answers.perBackend = faded / max(e.countAnsweringBackends(), 0.1)
	}
	return e.answers.perBackend
}

// countAnsweringBackends returns the backends at full capacity that answers came
// from. One in slow start counts by its capacity share, or a fleet that is in slow
// start as a whole would take its slowness for all that backends can do.
func (e *Engine) countAnsweringBackends() float64 {
	n := 0.0
	for _, b := range e.running {
		share := e.capacityShare(b)
		if !e.largeFleet { // a crawling backend answers little, which says nothing of the others
			share = min(share, 1/max(1, e.currentSlowness(b)))
		}
		n += share
	}
	return n + max(0, e.answers.backends-n)*math.Exp(-(e.now-e.answers.backendsAt).Seconds())
}
