package policy

import "time"

// Zone is what is known of a zone.
type Zone struct {
	Name     string
	Price    float64     // what a backend there counts for, against one with the same load elsewhere
	Rate     float64     // attempts a second that may be sent there; 0: none; below 0: any
	Lost     bool        // with Rate 0: what is out there will not be answered soon
	Unproven []BackendID // backends that are not to be sent to yet
}

// zoneState is a Zone with what is left of the rate that may be sent there. A nil
// zoneState stands for a zone of which nothing is known.
type zoneState struct {
	Zone

	credit   float64 // attempts that may be sent, as of creditAt
	creditAt time.Duration
}

const (
	minZoneCredit      = 1.5  // attempts that may be sent at once to a zone with a rate, at least
	zoneCreditSeconds  = 0.1  // the same as seconds of its rate
	availableShareStep = 0.03 // a fall of the available share that the window follows at once
	fullCapacityShare  = 0.95 // available share below which retries of clients are spread
)

// handleZonesChanged takes over what is known of zones. The window shrinks at
// once with what is lost: to find out by itself would cost the work that it sends
// in many round trips.
func (e *Engine) handleZonesChanged(event ZonesChanged) {
	for _, b := range e.running {
		b.unproven = false
	}
	for _, z := range event.Zones {
		e.updateZone(z)
	}
	if event.AvailableShare < e.availableShare-availableShareStep {
		floor := max(minWindow, float64(len(e.running))/float64(e.settings.Instances))
		e.window.size = min(e.window.size, max(e.window.size*event.AvailableShare/e.availableShare, floor))
		e.availableShare = event.AvailableShare
	}
	e.availableShare = max(e.availableShare, event.AvailableShare)
	e.minZoneRetryAfter = event.MinRetryAfter
}

// updateZone takes over what is known of one zone.
func (e *Engine) updateZone(update Zone) {
	z := e.zones[update.Name]
	if z == nil {
		z = &zoneState{creditAt: e.now}
		e.zones[update.Name] = z
	}
	newlyLost := update.Lost && !z.Lost
	if z.Rate < 0 && update.Rate >= 0 {
		z.credit = 0
		z.creditAt = e.now
	}
	z.Zone = update
	for _, id := range update.Unproven {
		if b := e.backends[id]; b != nil {
			b.unproven = true
		}
	}
	if newlyLost {
		e.writeOffZone(update.Name)
	}
}

// hasCredit reports whether the zone may be sent another attempt.
func (z *zoneState) hasCredit(now time.Duration) bool {
	if z == nil || z.Rate < 0 {
		return true
	}
	if z.Rate == 0 {
		return false
	}
	limit := max(minZoneCredit, z.Rate*zoneCreditSeconds)
	z.credit = min(z.credit+z.Rate*(now-z.creditAt).Seconds(), limit)
	z.creditAt = now
	return z.credit >= 1
}

// spendCredit takes an attempt that is sent off the zone's rate.
func (z *zoneState) spendCredit() {
	if z != nil && z.Rate >= 0 {
		z.credit--
	}
}

// writeOffZone deals with what is out in a zone that has just been lost: it no
// longer fills the window, and what may be repeated anywhere is queued again, at
// no cost to the retry budget.
func (e *Engine) writeOffZone(zone string) {
	for _, r := range e.openRequests {
		for _, a := range r.attempts {
			if !a.ended && a.backend.Zone == zone {
				e.writeOffLost(r, a)
			}
		}
	}
}

// writeOffLost writes off one attempt that is out in a lost zone.
func (e *Engine) writeOffLost(r *request, a *attempt) {
	if !a.writtenOff {
		a.writtenOff = true
		e.window.inFlight--
	}
	switch {
	case r.phase == phaseFinished, r.phase == phaseQueued, r.Delegated:
	case r.class.Effect != Safe, !e.mayRetry(r):
	case e.settings.Hedging && r.outstanding == 1:
		e.enqueue(r)
	case !e.settings.Hedging && e.settings.MayCancel:
		e.retryBudget++
		e.emit(CancelAttempt{ID: r.ID, Attempt: a.index})
	}
}

// spreadRetryAfter shortens a Retry-After by a random part while capacity is
// missing, so that clients who were rejected together come back at different
// times.
func (e *Engine) spreadRetryAfter(retryAfter time.Duration) time.Duration {
	if e.availableShare >= fullCapacityShare || retryAfter <= 0 {
		return retryAfter
	}
	return retryAfter - time.Duration(e.rng.Float64()*float64(retryAfter)/2)
}
