package policy

import (
	"math"
	"time"
)

const (
	// slowStartRateFactor is the rate of attempts to a backend in slow start, as a
	// multiple of the response rate expected at its capacity share.
	slowStartRateFactor = 1.5
	// largeFleetRateFactor replaces slowStartRateFactor in a large fleet.
	largeFleetRateFactor = 1.2
	// slowStartExponent is the power to which the capacity share is raised in a large
	// fleet. It is above 1 because random bursts overload a backend with a small
	// capacity share more easily.
	slowStartExponent = 1.4
	// slowStartInterval is the minimum time between two attempts of one instance of a
	// large fleet to one backend in slow start.
	slowStartInterval = time.Second
)

// responseRate is the rate of responses to this instance and the number of backends
// that they came from.
type responseRate struct {
	rate       float64       // responses per second at rateAt, decaying since then
	rateAt     time.Duration // time of the last response
	backends   float64       // backends that these came from, at backendsAt
	backendsAt time.Duration // time of the last change of the endpoint list

	perBackend   float64 // cached result of responsesPerBackend
	perBackendAt time.Duration
}

// capacityShare returns the share of its full capacity that a backend is assumed to
// have. It grows linearly over the slow start window.
func (e *Engine) capacityShare(b *backend) float64 {
	age := e.now - b.Started
	if b.Started == 0 || age >= e.settings.SlowStartWindow || e.settings.SlowStartWindow <= 0 {
		return 1
	}
	initial := max(e.settings.SlowStartShare, 0.01)
	return initial + (1-initial)*max(0, age.Seconds())/e.settings.SlowStartWindow.Seconds()
}

// slowStartAllows reports whether slow start allows another attempt to the backend.
// The rate of attempts is the response rate of other backends at this instance,
// scaled by the capacity share, so that the sum over all instances stays within the
// backend's capacity. The first attempt is sent after a random part of the interval.
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

// refillSlowStartTokens refills the token bucket of attempts that this instance of a
// large fleet may send to all backends in slow start together, and returns the
// tokens. Each such backend adds tokens at its allowed rate divided by the number of
// instances. With a separate interval per backend, the first attempt would often be
// due only after the end of the slow start.
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
	} else if e.slowStartTokens < 0 { // first one: begin at a random phase, unlike others
		e.slowStartTokens = e.rng.Float64()
	}
	rate *= largeFleetRateFactor * e.expectedBackendRate()
	e.slowStartTokens = min(1+rate*0.1, e.slowStartTokens+rate*(e.now-e.slowStartTokensAt).Seconds())
	e.slowStartTokensAt = e.now
	return e.slowStartTokens
}

// expectedBackendRate returns the responses per second that this instance expects
// from a backend at full capacity. It has a lower bound for the time before the
// first responses.
func (e *Engine) expectedBackendRate() float64 {
	return max(e.responsesPerBackend(), initialAttemptsPerBackend/float64(e.settings.Instances))
}

// responsesPerBackend returns the responses per second of a backend at full capacity
// to this instance. If most backends have just been removed, the current rate
// includes their responses; therefore the number of backends decays at the same pace
// as the rate.
func (e *Engine) responsesPerBackend() float64 {
	if e.responses.perBackendAt != e.now { // it is needed for many backends at the same time
		e.responses.perBackendAt = e.now
		faded := e.responses.rate * math.Exp(-(e.now - e.responses.rateAt).Seconds())
		e.responses.perBackend = faded / max(e.countRespondingBackends(), 0.1)
	}
	return e.responses.perBackend
}

// countRespondingBackends returns the number of backends that the responses came
// from, in units of full capacity. A backend in slow start counts with its capacity
// share; otherwise, if all backends are in slow start, their reduced rate would be
// taken for their full capacity.
func (e *Engine) countRespondingBackends() float64 {
	n := 0.0
	for _, b := range e.running {
		share := e.capacityShare(b)
		if !e.largeFleet { // the few responses of a very slow backend say nothing about the others
			share = min(share, 1/max(1, e.currentSlowness(b)))
		}
		n += share
	}
	return n + max(0, e.responses.backends-n)*math.Exp(-(e.now-e.responses.backendsAt).Seconds())
}
