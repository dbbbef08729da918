package zones

import (
	"fmt"
	"slices"
	"time"

	"hitchspring/policy"
)

const (
	minRamp        = time.Second // also after a loss that was shorter
	maxCaution     = 4           // doublings of the ramp
	answersToProve = 2           // answers in a row that prove a backend, and one more for each step of caution
)

// setState moves a zone into a state, for a reason that operators see.
func (t *Tracker) setState(now time.Duration, z *zone, to State, reason string) {
	if z.state == to {
		return
	}
	t.changes = append(t.changes, Change{Zone: z.name, From: z.state, To: to, Reason: reason, Caution: z.caution})
	z.state = to
	z.since = now
	z.reason = reason
}

// advance moves a zone's state on.
func (t *Tracker) advance(now time.Duration, z *zone) {
	lost, reason := t.detectLoss(now, z)
	if z.state == Drained || z.drainedUntil > now {
		t.advanceDrain(now, z, lost, reason)
		return
	}
	switch z.state {
	case Up:
		if lost {
			t.beginLoss(now, z, reason)
		} else if z.caution > 0 && now-z.calmSince > t.cfg.Forget {
			z.caution--
			z.calmSince = now
		}
	case Lost:
		if proven, running := t.proveBackends(now, z); proven > 0 {
			lostFor := (now - z.lostAt).Round(reasonPrecision)
			reason := fmt.Sprintf("%d of %d nodes answer again after %v", proven, running, lostFor)
			t.beginReturn(now, z, now, reason)
		}
	case Returning:
		if lost {
			t.beginLoss(now, z, reason)
			return
		}
		proven, running := t.proveBackends(now, z)
		if now-z.rampAt >= z.ramp && proven == running {
			z.calmSince = now
			z.requireProof = false
			t.setState(now, z, Up, fmt.Sprintf("back for %v", z.ramp))
		}
	case Drained: // see advanceDrain
	}
}

// advanceDrain keeps a zone out that operators have drained, and lets it in again as one that was lost.
func (t *Tracker) advanceDrain(now time.Duration, z *zone, lost bool, reason string) {
	if z.drainedUntil > now {
		remaining := (z.drainedUntil - now).Round(time.Second)
		t.setState(now, z, Drained, fmt.Sprintf("taken out on purpose for %v more", remaining))
		return
	}
	z.lostAt = z.since
	if lost {
		t.beginLoss(now, z, reason)
		return
	}
	t.beginReturn(now, z, now, "the drill is over")
}

// beginLoss takes a zone out: none of its backends is used until it has answered again. A loss during a return, or not
// long after, makes the next return more cautious.
func (t *Tracker) beginLoss(now time.Duration, z *zone, reason string) {
	if z.rampAt > 0 && (z.state == Returning || now-z.calmSince < t.cfg.Forget) {
		z.caution = min(z.caution+1, maxCaution)
	}
	z.lostAt = now
	z.requireProof = true
	for _, b := range z.backends {
		b.unproven = true
		b.answersInRow = 0
	}
	t.setState(now, z, Lost, reason)
}

// beginReturn begins a zone's recovery ramp as of rampAt. The ramp is as long as the zone was out, within bounds, and
// has its full length where backends are in slow start; each step of caution doubles it.
func (t *Tracker) beginReturn(now time.Duration, z *zone, rampAt time.Duration, reason string) {
	z.rampAt = rampAt
	z.ramp = min(t.cfg.Ramp, max(minRamp, now-z.lostAt))
	if slices.ContainsFunc(z.backends, func(b *backend) bool {
		return b.Started > 0 && now-b.Started < t.cfg.SlowStartWindow
	}) {
		z.ramp = t.cfg.Ramp
	}
	z.ramp <<= z.caution
	t.setState(now, z, Returning, reason)
}

// proveBackends accepts the backends of a zone that have answered often enough since the loss. It returns how many are
// accepted, of how many that run.
func (t *Tracker) proveBackends(now time.Duration, z *zone) (proven, running int) {
	for _, b := range z.backends {
		if b.State != policy.Running {
			continue
		}
		running++
		if b.unproven && b.answersInRow >= answersToProve+z.caution && now-b.answeredAt < staleAnswerAge {
			b.unproven = false
			b.failures = 0
		}
		if !b.unproven {
			proven++
		}
	}
	return proven, running
}

// detectRestart begins a zone's recovery ramp if the endpoint list says that most of its backends have just started,
// whether or not this instance has seen the loss: so an instance that has just started itself is as cautious as the
// others, from the same time. A lost zone returns by its answers instead.
func (t *Tracker) detectRestart(now time.Duration, z *zone) {
	if z.state != Up || len(z.backends) < 2 {
		return
	}
	var starts []time.Duration // of the backends that have just started
	for _, b := range z.backends {
		if b.Started > 0 && now-b.Started < t.cfg.Ramp {
			starts = append(starts, b.Started)
		}
	}
	if 2*len(starts) <= len(z.backends) {
		return
	}
	slices.Sort(starts)
	median := starts[len(starts)/2]
	if median <= z.rampAt { // noted already
		return
	}
	z.lostAt = median
	reason := fmt.Sprintf("%d of %d nodes have started within %v", len(starts), len(z.backends), t.cfg.Ramp)
	t.beginReturn(now, z, median, reason)
}

// startShare returns the share of its rate with which a zone's ramp begins.
func (t *Tracker) startShare(z *zone) float64 { return t.cfg.RampFrom / z.cautionFactor() }

// cautionFactor returns by how much the steps of caution lengthen a zone's ramp.
func (z *zone) cautionFactor() float64 { return float64(int(1) << z.caution) }
