package policy

import "time"

// hall is what the gateway was last told of a hall, and what is left of the rate that it may be sent.
type zoneState struct {
	Zone
	credit   float64
	creditAt time.Duration
}

const (
	minZoneCredit      = 1.5  // sends that may come at once to a hall with a rate
	zoneCreditSeconds  = 0.1  // seconds of its rate, the same
	availableShareStep = 0.03 // a fall of what is to be had that the window follows at once
	fullCapacityShare  = 0.95 // below this share of all capacity retries are spread
)

// hallsChanged takes over what is known of halls. The window shrinks with what is lost, at once: its own way
// there would cost the work that many round trips bring too much.
func (e *Engine) handleZonesChanged(ev ZonesChanged) {
	for _, s := range e.running {
		s.unproven = false
	}
	for _, f := range ev.Zones {
		h := e.zones[f.Name]
		if h == nil {
			h = &zoneState{creditAt: e.now}
			e.zones[f.Name] = h
		}
		lost := f.Lost && !h.Lost
		if h.Rate < 0 && f.Rate >= 0 {
			h.credit, h.creditAt = 0, e.now
		}
		h.Zone = f
		for _, id := range f.Unproven {
			if s := e.backends[id]; s != nil {
				s.unproven = true
			}
		}
		if lost {
			e.writeOffZone(f.Name)
		}
	}
	if ev.AvailableShare < e.availableShare-availableShareStep {
		least := max(minWindow, float64(len(e.running))/float64(e.settings.Instances))
		e.window = min(e.window, max(e.window*ev.AvailableShare/e.availableShare, least))
		e.availableShare = ev.AvailableShare
	}
	e.availableShare, e.minRetryAfter = max(e.availableShare, ev.AvailableShare), ev.MinRetryAfter
}

// hasRoom says whether the hall may be sent another attempt.
func (z *zoneState) hasCredit(now time.Duration) bool {
	if z == nil || z.Rate <= 0 {
		return z == nil || z.Rate < 0
	}
	z.credit, z.creditAt = min(z.credit+z.Rate*(now-z.creditAt).Seconds(), max(minZoneCredit, z.Rate*zoneCreditSeconds)), now
	return z.credit >= 1
}

func (z *zoneState) spendCredit() {
	if z != nil && z.Rate >= 0 {
		z.credit--
	}
}

// strand deals with what is out in a hall that has just been lost: it no longer fills the window, and what
// may be repeated anywhere goes to the queues again, at no cost to the budget of further attempts.
func (e *Engine) writeOffZone(zone string) {
	for _, r := range e.openRequests {
		for _, a := range r.attempts {
			if a.ended || a.backend.Zone != zone {
				continue
			}
			if !a.writtenOff {
				a.writtenOff = true
				e.inFlight--
			}
			switch {
			case r.finished || r.queued || r.Delegated || r.class.Effect != Safe || !e.mayRetry(r):
			case e.settings.Hedging && r.outstanding == 1:
				e.enqueue(r)
			case !e.settings.Hedging && e.settings.MayCancel:
				e.retryBudget++
				e.emit(CancelAttempt{ID: r.ID, Attempt: a.index})
			}
		}
	}
}

// spread draws a part of a retry-after while capacity is missing: who was refused together comes back apart.
func (e *Engine) spreadRetryAfter(after time.Duration) time.Duration {
	if e.availableShare >= fullCapacityShare || after <= 0 {
		return after
	}
	return after - time.Duration(e.rng.Float64()*float64(after)/2)
}
