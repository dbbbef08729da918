package zones

import (
	"math"
	"time"

	"hitchspring/policy"
)

const (
	nominalMaxAge          = time.Minute // how long a zone's highest running capacity remains its nominal capacity
	unitAnswerRateHalfLife = 30.0        // seconds in which the peak answer rate decays to one half
	returnHeadroom         = 1.2         // factor of a returning zone's rate limit over the answer rate of other zones
	initialUnitAnswerRate  = 2.0         // answers a second per unit of capacity, before any rate was measured
	minReturnRate          = 0.5         // minimum rate limit of a returning zone, in attempts a second
	unprobedRetryDelay     = time.Second // without probes, the delay until a lost zone gets requests again
	unprobedRateLimit      = 1.0         // rate limit of these requests, per second
)

// updateCapacity updates the capacity, the ramp share and the rate limit of each zone, and whether panic mode is on.
// elapsed is the time since the last call, in seconds.
func (t *Tracker) updateCapacity(now time.Duration, elapsed float64) {
	answers, units := 0.0, 0.0 // answers a second and base capacity of the zones that are up
	for _, z := range t.sortedZones {
		t.updateZoneCapacity(now, z)
		z.rampShare = t.currentRampShare(now, z)
		if z.state == Up {
			answers += z.answered.get(now)
			units += z.baseCapacity
		}
	}
	// A lower rate may only mean that fewer attempts are sent, so the peak rate counts and decays slowly.
	t.unitAnswerRate *= math.Exp2(-elapsed / unitAnswerRateHalfLife)
	if units >= 1 {
		t.unitAnswerRate = max(t.unitAnswerRate, answers/units)
	}
	t.raiseRampShares()
	lost := 0
	for _, z := range t.sortedZones {
		if z.state == Lost {
			lost++
		}
	}
	t.availableShare = t.computeAvailableShare()
	t.panicking = len(t.sortedZones) > 0 && (t.availableShare < t.cfg.Panic || lost == len(t.sortedZones))
	for _, z := range t.sortedZones {
		z.rateLimit = t.currentRateLimit(now, z, lost == len(t.sortedZones))
	}
}

// updateZoneCapacity updates a zone's present, base and nominal capacity.
func (t *Tracker) updateZoneCapacity(now time.Duration, z *zone) {
	running := 0.0
	z.capacity = 0
	z.baseCapacity = 0
	for _, b := range z.backends {
		if b.State == policy.Running {
			running += b.Size
		}
		z.capacity += t.capacity(now, b)
		if b.State == policy.Running && !b.unproven {
			z.baseCapacity += b.Size * t.capacityShare(now, b)
		}
	}
	if running >= z.nominal || now-z.nominalAt > nominalMaxAge {
		z.nominal = running
		z.nominalAt = now
	}
}

// currentRampShare returns the share of its full rate that a zone may get, by its state and the progress of its
// recovery ramp.
func (t *Tracker) currentRampShare(now time.Duration, z *zone) float64 {
	switch z.state {
	case Lost, Drained:
		return 0
	case Returning:
		start := t.rampStartShare(z)
		return start + (1-start)*min(1, max(0, (now-z.rampStartedAt).Seconds()/z.rampDuration.Seconds()))
	case Up:
		return 1
	}
	return 1
}

// raiseRampShares gives the returning zones at least the share of the load that the zones that are up can't serve,
// reduced by their caution factor. Where no zone is up and there is no caution, only the slow start of their backends
// limits them.
func (t *Tracker) raiseRampShares() {
	nominal, up := 0.0, 0.0
	for _, z := range t.sortedZones {
		nominal += z.nominal
		if z.state == Up {
			up += z.nominal
		}
	}
	if nominal <= 0 {
		return
	}
	for _, z := range t.sortedZones {
		if z.state == Returning {
			z.rampShare = max(z.rampShare, (1-up/nominal)/z.cautionFactor())
		}
	}
}

// computeAvailableShare returns the share of the nominal capacity of all zones whose backends are running and proven. A
// returning zone counts in full, since its ramp has its own rate limit.
func (t *Tracker) computeAvailableShare() float64 {
	available, nominal := 0.0, 0.0
	for _, z := range t.sortedZones {
		nominal += z.nominal
		if z.rampShare <= 0 {
			continue
		}
		for _, b := range z.backends {
			if b.State == policy.Running && !b.unproven {
				available += b.Size
			}
		}
	}
	if nominal <= 0 {
		return 1
	}
	return min(1, available/nominal)
}

// currentRateLimit returns the attempts a second that a zone may get. If all zones are lost, none is closed, since no
// healthy zone is left to protect.
func (t *Tracker) currentRateLimit(now time.Duration, z *zone, allLost bool) float64 {
	switch z.state {
	case Up:
		return unlimited
	case Lost:
		switch {
		case allLost:
			return unlimited
		case !t.cfg.Probe && now-z.stateSince > unprobedRetryDelay:
			return unprobedRateLimit
		}
		return 0
	case Drained:
		if t.panicking {
			return unlimited
		}
		return 0
	case Returning:
		unitAnswerRate := t.unitAnswerRate
		if unitAnswerRate == 0 {
			unitAnswerRate = initialUnitAnswerRate
		}
		return max(z.rampShare*returnHeadroom*unitAnswerRate*z.baseCapacity, minReturnRate)
	}
	return unlimited
}
