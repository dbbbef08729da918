package policy

import "math"

const (
	// crawlingSlowness is the relative latency from which a backend is sent one
	// attempt at a time.
	crawlingSlowness = 4.0
	// lastResortFactor is the factor on the score of a backend that is taken only
	// where there is no other.
	lastResortFactor = 100.0
	// otherZoneFactor is the factor on the score of a backend in another zone, where
	// traffic between zones has a price and nothing is known of that zone.
	otherZoneFactor = 1.3
	// slowStartIdleSeconds is the time without a send after which a backend in slow
	// start has its turn as any other.
	slowStartIdleSeconds = 2.0
)

// chooseBackend returns the backend with the least expected wait among those that
// may take the request; nil if none may.
func (e *Engine) chooseBackend(r *request) *backend {
	var best *backend
	bestScore := math.Inf(1)
	first := r.bindingAttempt()
	for _, b := range e.running {
		z := e.zones[b.Zone]
		if !e.mayTake(b, z, r, first) {
			continue
		}
		if score := e.score(b, z, r); score < bestScore {
			best = b
			bestScore = score
		}
	}
	return best
}

// mayTake reports whether the backend, in zone z, may be sent the request, whose
// binding attempt is first.
func (e *Engine) mayTake(b *backend, z *zoneState, r *request, first *attempt) bool {
	if first != nil && r.class.Effect != Safe && !sameGroup(r.class.Group, first, b) {
		return false
	}
	if !e.largeFleet && len(b.outstanding) > 0 && e.learnedSlowness(b) > crawlingSlowness {
		return false // another attempt would crawl with the one that is out
	}
	return !b.unproven && e.slowStartAllows(b) && z.hasCredit(e.now)
}

// score returns the wait to expect at the backend, in zone z, in no particular
// unit, with a random part that keeps instances from acting alike.
func (e *Engine) score(b *backend, z *zoneState, r *request) float64 {
	score := e.currentSlowness(b)
	// One of many instances sends too little to a backend for this: its answers show the same.
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

// isLastResort reports whether the backend is taken only where there is no other:
// the request was sent there before, its zone is unreachable, or it is ejected.
// When the ejection ends it is sent one attempt at a time until one succeeds.
func (e *Engine) isLastResort(b *backend, r *request) bool {
	if r.hasTried(b) || e.unreachable[b.Zone].until > e.now {
		return true
	}
	return b.consecutiveFailures >= failuresToEject && (b.ejectedUntil > e.now || len(b.outstanding) > 0)
}

// sameGroup reports whether a backend knows the idempotency keys of the one that
// the attempt was sent to, by that one's zone and cell at the time.
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
