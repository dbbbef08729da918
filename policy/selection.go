package policy

import "math"

const (
	// severeSlowness is the relative latency above which a backend is sent only one
	// attempt at a time.
	severeSlowness = 4.0
	// lastResortFactor multiplies the score of a backend that is used only if there is
	// no other.
	lastResortFactor = 100.0
	// otherZoneFactor multiplies the score of a backend in another zone if traffic
	// between zones has a price and no Zone update has been received for that zone.
	otherZoneFactor = 1.3
	// slowStartIdleSeconds is the time without an attempt after which the score of a
	// backend in slow start is no longer raised.
	slowStartIdleSeconds = 2.0
)

// chooseBackend returns the backend with the lowest score among those that can take
// the request, or nil if there is none.
func (e *Engine) chooseBackend(r *request) *backend {
	var best *backend
	bestScore := math.Inf(1)
	first := r.bindingAttempt()
	for _, b := range e.running {
		z := e.zones[b.Zone]
		if !e.canTake(b, z, r, first) {
			continue
		}
		if score := e.score(b, z, r); score < bestScore {
			best = b
			bestScore = score
		}
	}
	return best
}

// canTake reports whether the request may be sent to the backend. z is the state of
// the backend's zone, and first is the binding attempt of the request or nil.
func (e *Engine) canTake(b *backend, z *zoneState, r *request, first *attempt) bool {
	if first != nil && r.class.Effect != Safe && !sameGroup(r.class.Group, first, b) {
		return false
	}
	if r.class.Effect != Safe && r.hasLostConnection(b) {
		return false
	}
	if !e.largeFleet && len(b.outstanding) > 0 && e.learnedSlowness(b) > severeSlowness {
		return false // another attempt would be as slow as the one in flight
	}
	return !b.unproven && e.slowStartAllows(b) && z.hasCredit(e.now)
}

// score returns a relative measure of the expected latency at the backend; lower is
// better. z is the state of the backend's zone. A random part keeps instances from
// all choosing the same backend.
func (e *Engine) score(b *backend, z *zoneState, r *request) float64 {
	score := e.currentSlowness(b)
	// Skipped in a large fleet, where one instance sends too few attempts to a backend for this to matter.
	if !e.largeFleet && (e.now-max(b.lastSent, b.Started)).Seconds() < slowStartIdleSeconds*b.sendPhase {
		score = max(score, 1/e.capacityShare(b))
	}
	score *= (1 + float64(len(b.outstanding))) * (1 + 0.1*e.rng.Float64())
	if !e.inSubset(b) {
		score *= outsideSubsetFactor
	}
	if z != nil {
		score *= z.Price
	} else if b.Zone != e.settings.Zone && e.settings.CrossZonePrice > 0 {
		score *= otherZoneFactor
	}
	if e.isLastResort(b, r) {
		score *= lastResortFactor
	}
	return score
}

// isLastResort reports whether the backend is used only if there is no other: the
// request has been sent to it before, its zone is unreachable, or it is ejected.
// After the ejection it gets one attempt at a time until one succeeds.
func (e *Engine) isLastResort(b *backend, r *request) bool {
	if r.hasTried(b) || e.unreachable[b.Zone].until > e.now {
		return true
	}
	return b.consecutiveFailures >= failuresToEject && (b.ejectedUntil > e.now || len(b.outstanding) > 0)
}

// sameGroup reports whether a backend shares idempotency keys with the backend of
// the attempt, using the zone and cell of that backend when the attempt was sent.
func sameGroup(group Group, a *attempt, b *backend) bool {
	switch group {
	case GroupAll:
		return true
	case GroupZone:
		return a.zone == b.Zone
	case GroupCell:
		return a.cell == b.Cell
	default:
		return false
	}
}
