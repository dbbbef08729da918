package zones

import (
	"math"
	"time"

	"hitchspring/policy"
)

const (
	nominalMaxAge     = time.Minute // for which the capacity that a zone once had counts as its nominal capacity
	unitRateHalfLife  = 30.0        // seconds in which half of the highest rate of answers is forgotten
	returnHeadroom    = 1.2         // of a returning zone's rate over what proven backends elsewhere answer
	initialUnitRate   = 2.0         // answers a second and backend, where nobody has answered yet
	minReturnRate     = 0.5         // attempts a second of a returning zone
	unprobedPause     = time.Second // where backends may not be probed, after which a lost zone gets requests
	unprobedRateLimit = 1.0         // of these requests, a second
)

// measureCapacity updates what each zone can take, and how much of it it may have. elapsed is the time since the last
// call, in seconds.
func (t *Tracker) measureCapacity(now time.Duration, elapsed float64) {
	answers, units := 0.0, 0.0 // answers a second, and warm capacity, of the zones that are up
	for _, z := range t.sorted {
		t.measureZone(now, z)
		z.rampShare = t.currentRampShare(now, z)
		if z.state == Up {
			answers += z.answered.get(now)
			units += z.warmCapacity
		}
	}
	// What a backend can do doesn't fall when it is sent less, so the highest rate counts, and is forgotten slowly.
	t.unitRate *= math.Exp2(-elapsed / unitRateHalfLife)
	if units >= 1 {
		t.unitRate = max(t.unitRate, answers/units)
	}
	t.deepenRamps()
	lost := 0
	for _, z := range t.sorted {
		if z.state == Lost {
			lost++
		}
	}
	t.availableShare = t.measureAvailableShare()
	t.panicking = len(t.sorted) > 0 && (t.availableShare < t.cfg.Panic || lost == len(t.sorted))
	for _, z := range t.sorted {
		z.rateLimit = t.currentRateLimit(now, z, lost == len(t.sorted))
	}
}

// measureZone updates a zone's present and nominal capacity.
func (t *Tracker) measureZone(now time.Duration, z *zone) {
	running := 0.0
	z.capacity = 0
	z.warmCapacity = 0
	for _, b := range z.backends {
		if b.State == policy.Running {
			running += b.Size
		}
		z.capacity += t.capacity(now, b)
		if b.State == policy.Running && !b.unproven {
			z.warmCapacity += b.Size * t.capacityShare(now, b)
		}
	}
	if running >= z.nominal || now-z.nominalAt > nominalMaxAge {
		z.nominal = running
		z.nominalAt = now
	}
}

// currentRampShare returns the share of its rate that a zone may have by its state and the age of its ramp.
func (t *Tracker) currentRampShare(now time.Duration, z *zone) float64 {
	switch z.state {
	case Lost, Drained:
		return 0
	case Returning:
		start := t.startShare(z)
		return start + (1-start)*min(1, max(0, (now-z.rampAt).Seconds()/z.ramp.Seconds()))
	case Up:
		return 1
	}
	return 1
}

// deepenRamps lets the returning zones have at least what the zones that are up can't carry. Where none is up, only the
// slow start of their backends bounds them.
func (t *Tracker) deepenRamps() {
	nominal, up := 0.0, 0.0
	for _, z := range t.sorted {
		nominal += z.nominal
		if z.state == Up {
			up += z.nominal
		}
	}
	if nominal <= 0 {
		return
	}
	for _, z := range t.sorted {
		if z.state == Returning {
			z.rampShare = max(z.rampShare, (1-up/nominal)/z.cautionFactor())
		}
	}
}

// measureAvailableShare returns the share of the nominal capacity of all zones that runs and is proven. A zone on its
// ramp counts in full, as the ramp has a rate limit of its own.
func (t *Tracker) measureAvailableShare() float64 {
	available, nominal := 0.0, 0.0
	for _, z := range t.sorted {
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

// currentRateLimit returns the attempts a second that a zone may have. Where all zones are lost, none is closed: there
// is nothing to protect.
func (t *Tracker) currentRateLimit(now time.Duration, z *zone, allLost bool) float64 {
	switch z.state {
	case Up:
		return unlimited
	case Lost:
		switch {
		case allLost:
			return unlimited
		case !t.cfg.Probe && now-z.since > unprobedPause:
			return unprobedRateLimit
		}
		return 0
	case Drained:
		if t.panicking {
			return unlimited
		}
		return 0
	case Returning:
		unitRate := t.unitRate
		if unitRate == 0 {
			unitRate = initialUnitRate
		}
		return max(z.rampShare*returnHeadroom*unitRate*z.warmCapacity, minReturnRate)
	}
	return unlimited
}
