package zones

import (
	"time"

	"hitchspring/policy"
)

const (
	lateLead          = 0.05 // by which the own zone's late share must exceed that of the others for relief
	reliefGrowth      = 0.10 // a second; slow, so that the spill doesn't oscillate
	reliefDecline     = 0.04 // a second
	maxRetryAfterHint = time.Second
)

// updateSpill gives up the preference for the own zone, a little at a time, while it answers later than the others do.
// elapsed is the time since the last call, in seconds.
func (t *Tracker) updateSpill(now time.Duration, elapsed float64) {
	own := t.zones[t.cfg.Own]
	if own == nil {
		t.plannedSpill = 1
		return
	}
	lateElsewhere, endedElsewhere := 0.0, 0.0
	for _, z := range t.sorted {
		if z != own && z.state == Up {
			lateElsewhere += z.late.get(now)
			endedElsewhere += z.ended.get(now)
		}
	}
	if lateShare(own.late.get(now), own.ended.get(now)) > lateShare(lateElsewhere, endedElsewhere)+lateLead {
		t.relief = min(1, t.relief+reliefGrowth*elapsed)
	} else {
		t.relief = max(0, t.relief-reliefDecline*elapsed)
	}
	t.plannedSpill = max(t.relief*(1-t.fairShare(own)), 1-t.retainedShare(own))
}

// lateShare returns the share of late ones among the attempts that ended, both a second. Below one a second it is
// scaled down, as few attempts say little.
func lateShare(late, ended float64) float64 { return late / max(ended, 1) }

// retainedShare returns the share of its own work that a zone can retain by its capacity: all of it, down to
// 1/Overprovision of the nominal capacity.
func (t *Tracker) retainedShare(z *zone) float64 {
	if z.nominal <= 0 {
		return 0
	}
	return min(1, t.cfg.Overprovision*z.capacity*z.rampShare/z.nominal)
}

// fairShare returns a zone's part of the present capacity of all zones.
func (t *Tracker) fairShare(z *zone) float64 {
	total := 0.0
	for _, other := range t.sorted {
		total += other.capacity * other.rampShare
	}
	if total == 0 {
		return 0
	}
	return z.capacity * z.rampShare / total
}

// facts returns what the policy module is to know.
func (t *Tracker) facts() policy.ZonesChanged {
	event := policy.ZonesChanged{AvailableShare: t.availableShare}
	givenUp := t.preferenceGivenUp()
	for _, z := range t.sorted {
		z.price = 1 + (t.cfg.price(z.priority)-1)*(1-givenUp)
		event.Zones = append(event.Zones, policy.Zone{
			Name:     z.name,
			Price:    z.price,
			Rate:     z.rateLimit,
			Lost:     z.state == Lost && z.rateLimit == 0 && !z.lostByList,
			Unproven: t.unprovenBackends(z),
		})
		if z.state == Returning {
			hint := time.Duration((1 - z.rampShare) * float64(maxRetryAfterHint))
			event.MinRetryAfter = max(event.MinRetryAfter, min(maxRetryAfterHint, hint))
		}
	}
	return event
}

// preferenceGivenUp returns the share of the preference for the own zone that is given up: all of it where too little
// is available anywhere.
func (t *Tracker) preferenceGivenUp() float64 {
	if t.panicking {
		return 1
	}
	givenUp := t.relief
	if own := t.zones[t.cfg.Own]; own != nil {
		givenUp = max(givenUp, 1-t.retainedShare(own))
	}
	return givenUp
}
