package zones

import (
	"time"

	"hitchspring/policy"
)

const (
	lateShareThreshold         = 0.05 // excess over the late share of other zones that reduces the preference
	preferenceReductionGrowth  = 0.10 // per second; slow, so that the spill doesn't oscillate
	preferenceReductionDecline = 0.04 // per second
	maxRetryAfterHint          = time.Second
)

// updateSpill gradually reduces the preference for the own zone while more of its answers are late than in the other
// zones, and gradually restores it otherwise. elapsed is the time since the last call, in seconds.
func (t *Tracker) updateSpill(now time.Duration, elapsed float64) {
	own := t.zones[t.cfg.Own]
	if own == nil {
		t.plannedSpill = 1
		return
	}
	lateElsewhere, endedElsewhere := 0.0, 0.0
	for _, z := range t.sortedZones {
		if z != own && z.state == Up {
			lateElsewhere += z.late.get(now)
			endedElsewhere += z.ended.get(now)
		}
	}
	if lateShare(own.late.get(now), own.ended.get(now)) > lateShare(lateElsewhere, endedElsewhere)+lateShareThreshold {
		t.preferenceReduction = min(1, t.preferenceReduction+preferenceReductionGrowth*elapsed)
	} else {
		t.preferenceReduction = max(0, t.preferenceReduction-preferenceReductionDecline*elapsed)
	}
	t.plannedSpill = max(t.preferenceReduction*(1-t.zoneCapacityShare(own)), 1-t.retainedShare(own))
}

// lateShare returns the share of late attempts among the ended ones; both arguments are rates per second. Below one
// ended attempt a second the share is scaled down, since so few attempts are not significant.
func lateShare(late, ended float64) float64 { return late / max(ended, 1) }

// retainedShare returns the share of its own load that a zone has the capacity for: all of it while its capacity is at
// least 1/Overprovision of the nominal capacity.
func (t *Tracker) retainedShare(z *zone) float64 {
	if z.nominal <= 0 {
		return 0
	}
	return min(1, t.cfg.Overprovision*z.capacity*z.rampShare/z.nominal)
}

// zoneCapacityShare returns a zone's share of the present capacity of all zones.
func (t *Tracker) zoneCapacityShare(z *zone) float64 {
	total := 0.0
	for _, other := range t.sortedZones {
		total += other.capacity * other.rampShare
	}
	if total == 0 {
		return 0
	}
	return z.capacity * z.rampShare / total
}

// zonesChanged returns the event that gives the policy module the state of all zones.
func (t *Tracker) zonesChanged() policy.ZonesChanged {
	event := policy.ZonesChanged{AvailableShare: t.availableShare}
	reduction := t.totalPreferenceReduction()
	for _, z := range t.sortedZones {
		z.price = 1 + (t.cfg.price(z.priority)-1)*(1-reduction)
		event.Zones = append(event.Zones, policy.Zone{
			Name:     z.name,
			Price:    z.price,
			Rate:     z.rateLimit,
			Lost:     z.state == Lost && z.rateLimit == 0 && !z.noneRunning,
			Unproven: t.unprovenBackends(z),
		})
		if z.state == Returning {
			hint := time.Duration((1 - z.rampShare) * float64(maxRetryAfterHint))
			event.MinRetryAfter = max(event.MinRetryAfter, min(maxRetryAfterHint, hint))
		}
	}
	return event
}

// totalPreferenceReduction returns the share by which the preference for the own zone is reduced, for late answers and
// for lack of capacity: 1 in panic mode.
func (t *Tracker) totalPreferenceReduction() float64 {
	if t.panicking {
		return 1
	}
	reduction := t.preferenceReduction
	if own := t.zones[t.cfg.Own]; own != nil {
		reduction = max(reduction, 1-t.retainedShare(own))
	}
	return reduction
}
