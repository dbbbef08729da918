package policy

import "time"

// hall is what the gateway was last told of a hall, and what is left of the rate that it may be sent.
type hall struct {
	Zone
	credit float64
	at     time.Duration
}

const (
	leastCredit = 1.5  // sends that may come at once to a hall with a rate
	creditFor   = 0.1  // seconds of its rate, the same
	reachStep   = 0.03 // a fall of what is to be had that the window follows at once
	spreadShort = 0.95 // below this share of all capacity retries are spread
)

// hallsChanged takes over what is known of halls. The window shrinks with what is lost, at once: its own way
// there would cost the work that many round trips bring too much.
func (g *Engine) hallsChanged(ev ZonesChanged) {
	for _, s := range g.fleet {
		s.unproven = false
	}
	for _, f := range ev.Zones {
		h := g.halls[f.Name]
		if h == nil {
			h = &hall{at: g.now}
			g.halls[f.Name] = h
		}
		lost := f.Lost && !h.Lost
		if h.Rate < 0 && f.Rate >= 0 {
			h.credit, h.at = 0, g.now
		}
		h.Zone = f
		for _, id := range f.Unproven {
			if s := g.servers[id]; s != nil {
				s.unproven = true
			}
		}
		if lost {
			g.strand(f.Name)
		}
	}
	if ev.AvailableShare < g.reach-reachStep {
		least := max(leastWindow, float64(len(g.fleet))/float64(g.set.Instances))
		g.window = min(g.window, max(g.window*ev.AvailableShare/g.reach, least))
		g.reach = ev.AvailableShare
	}
	g.reach, g.pace = max(g.reach, ev.AvailableShare), ev.MinRetryAfter
}

// hasRoom says whether the hall may be sent another attempt.
func (h *hall) hasRoom(now time.Duration) bool {
	if h == nil || h.Rate <= 0 {
		return h == nil || h.Rate < 0
	}
	h.credit, h.at = min(h.credit+h.Rate*(now-h.at).Seconds(), max(leastCredit, h.Rate*creditFor)), now
	return h.credit >= 1
}

func (h *hall) spend() {
	if h != nil && h.Rate >= 0 {
		h.credit--
	}
}

// strand deals with what is out in a hall that has just been lost: it no longer fills the window, and what
// may be repeated anywhere goes to the queues again, at no cost to the budget of further attempts.
func (g *Engine) strand(zone string) {
	for _, r := range g.live {
		for _, a := range r.attempts {
			if a.ended || a.s.Zone != zone {
				continue
			}
			if !a.lost {
				a.lost = true
				g.busy--
			}
			switch {
			case r.final || r.held || r.Delegated || r.class.Effect != Safe || !g.repeatable(r):
			case g.set.Hedging && r.outs == 1:
				g.hold(r)
			case !g.set.Hedging && g.set.MayCancel:
				g.retries++
				g.do(CancelAttempt{ID: r.ID, Attempt: a.n})
			}
		}
	}
}

// spread draws a part of a retry-after while capacity is missing: who was refused together comes back apart.
func (g *Engine) spread(after time.Duration) time.Duration {
	if g.reach >= spreadShort || after <= 0 {
		return after
	}
	return after - time.Duration(g.rng.Float64()*float64(after)/2)
}
