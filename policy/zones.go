package policy

import "time"

// Zone is the state of a zone and the limits on traffic to it.
type Zone struct {
	Name     string
	Price    float64     // factor on the score of the zone's backends; a higher one attracts less traffic
	Rate     float64     // maximum attempts per second; 0: none; negative: unlimited
	Lost     bool        // with Rate 0: attempts in flight there will not be answered soon
	Unproven []BackendID // backends that must not receive attempts yet
}

// zoneState is a Zone with the token bucket of its rate. A nil zoneState is valid and
// represents a zone for which no update has been received.
type zoneState struct {
	Zone

	credit   float64 // attempts that may be sent at creditAt
	creditAt time.Duration
}

const (
	minZoneCredit      = 1.5  // minimum size of the token bucket of a zone with a rate, in attempts
	zoneCreditSeconds  = 0.1  // size of the bucket in seconds of the rate, if that is more
	availableShareStep = 0.03 // decrease of the available share above which the window shrinks at once
	fullCapacityShare  = 0.95 // available share below which Retry-After is randomized
)

// handleZonesChanged applies updates of zones. If capacity is lost, the window
// shrinks at once: adapting through timeouts would take many round trips, and the
// requests sent meanwhile would be lost.
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

// updateZone applies the update of one zone.
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
		e.handleZoneLoss(update.Name)
	}
}

// hasCredit reports whether the zone's rate allows another attempt.
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

// spendCredit charges one attempt to the zone's token bucket.
func (z *zoneState) spendCredit() {
	if z != nil && z.Rate >= 0 {
		z.credit--
	}
}

// handleZoneLoss handles the attempts in flight in a zone that has just been lost.
// They no longer count toward the window, and requests that may be repeated anywhere
// are sent again without a charge to the retry budget.
func (e *Engine) handleZoneLoss(zone string) {
	for _, r := range e.openRequests {
		for _, a := range r.attempts {
			if !a.ended && a.backend.Zone == zone {
				e.handleLostAttempt(r, a)
			}
		}
	}
}

// handleLostAttempt removes one attempt in a lost zone from the window, and queues its
// request again or cancels the attempt to allow a retry.
func (e *Engine) handleLostAttempt(r *request, a *attempt) {
	if !a.releasedFromWindow {
		a.releasedFromWindow = true
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

// spreadRetryAfter shortens a Retry-After by up to half, at random, while capacity is
// reduced, so that clients that were rejected together retry at different times.
func (e *Engine) spreadRetryAfter(retryAfter time.Duration) time.Duration {
	if e.availableShare >= fullCapacityShare || retryAfter <= 0 {
		return retryAfter
	}
	return retryAfter - time.Duration(e.rng.Float64()*float64(retryAfter)/2)
}
