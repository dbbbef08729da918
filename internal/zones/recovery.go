package zones

import (
	"fmt"
	"slices"
	"time"

	"hitchspring/policy"
)

const (
	minRampDuration = time.Second // also after a shorter loss
	maxCaution      = 4           // maximum number of caution steps, each of which doubles the ramp
	answersToProve  = 2           // consecutive answers that prove a backend; each caution step requires one more
)

// setState changes a zone's state and records the change, with a reason for operators.
func (t *Tracker) setState(now time.Duration, z *zone, to State, reason string) {
	if z.state == to {
		return
	}
	t.changes = append(t.changes, Change{Zone: z.name, From: z.state, To: to, Reason: reason, Caution: z.caution})
	z.state = to
	z.stateSince = now
	z.reason = reason
}

// advanceState updates a zone's state from the health of its backends and from zone drains.
func (t *Tracker) advanceState(now time.Duration, z *zone) {
	lost, reason := t.detectLoss(now, z)
	if z.state == Drained || z.drainedUntil > now {
		t.advanceDrain(now, z, lost, reason)
		return
	}
	switch z.state {
	case Up:
		if lost {
			t.markLost(now, z, reason)
		} else if z.caution > 0 && now-z.stableSince > t.cfg.CautionDecayInterval {
			z.caution--
			z.stableSince = now
		}
	case Lost:
		if proven, running := t.proveBackends(now, z); proven > 0 {
			lostFor := (now - z.lostAt).Round(reasonPrecision)
			reason := fmt.Sprintf("%d of %d nodes answer again after %v", proven, running, lostFor)
			t.startRamp(now, z, now, reason)
		}
	case Returning:
		if lost {
			t.markLost(now, z, reason)
			return
		}
		proven, running := t.proveBackends(now, z)
		if now-z.rampStartedAt >= z.rampDuration && proven == running {
			z.stableSince = now
			z.requireProof = false
			t.setState(now, z, Up, fmt.Sprintf("back for %v", z.rampDuration))
		}
	case Drained: // handled by advanceDrain above
	}
}

// advanceDrain keeps a zone drained until its drain ends, then starts its recovery as after a loss.
func (t *Tracker) advanceDrain(now time.Duration, z *zone, lost bool, reason string) {
	if z.drainedUntil > now {
		remaining := (z.drainedUntil - now).Round(time.Second)
		t.setState(now, z, Drained, fmt.Sprintf("taken out on purpose for %v more", remaining))
		return
	}
	z.lostAt = z.stateSince
	if lost {
		t.markLost(now, z, reason)
		return
	}
	t.startRamp(now, z, now, "the drill is over")
}

// markLost takes a zone out of service: each of its backends is used again only once it is proven. A loss during a
// recovery or soon after it adds a caution step to the next recovery.
func (t *Tracker) markLost(now time.Duration, z *zone, reason string) {
	if z.rampStartedAt > 0 && (z.state == Returning || now-z.stableSince < t.cfg.CautionDecayInterval) {
		z.caution = min(z.caution+1, maxCaution)
	}
	z.lostAt = now
	z.requireProof = true
	for _, b := range z.backends {
		b.unproven = true
		b.consecutiveAnswers = 0
	}
	t.setState(now, z, Lost, reason)
}

// startRamp starts a zone's recovery ramp as of rampStartedAt. The ramp is as long as the zone was out of service,
// within bounds, but has its full length if a backend is in slow start. Each caution step doubles it.
func (t *Tracker) startRamp(now time.Duration, z *zone, rampStartedAt time.Duration, reason string) {
	z.rampStartedAt = rampStartedAt
	z.rampDuration = min(t.cfg.MaxRampDuration, max(minRampDuration, now-z.lostAt))
	if slices.ContainsFunc(z.backends, func(b *backend) bool {
		return b.Started > 0 && now-b.Started < t.cfg.SlowStartWindow
	}) {
		z.rampDuration = t.cfg.MaxRampDuration
	}
	z.rampDuration <<= z.caution
	t.setState(now, z, Returning, reason)
}

// proveBackends marks as proven the backends of a zone that have answered often enough since the loss. It returns the
// numbers of proven and of running backends.
func (t *Tracker) proveBackends(now time.Duration, z *zone) (proven, running int) {
	for _, b := range z.backends {
		if b.State != policy.Running {
			continue
		}
		running++
		if b.unproven && b.consecutiveAnswers >= answersToProve+z.caution && now-b.answeredAt < staleAnswerAge {
			b.unproven = false
			b.consecutiveFailures = 0
		}
		if !b.unproven {
			proven++
		}
	}
	return proven, running
}

// detectRestart starts a zone's recovery ramp if, by the endpoint list, more than half of its backends have just
// started. It does so even if this instance has not seen the loss, so that an instance that has just started itself
// applies the same ramp as the others, from the same time. A lost zone returns once its backends answer instead.
func (t *Tracker) detectRestart(now time.Duration, z *zone) {
	if z.state != Up || len(z.backends) < 2 {
		return
	}
	var starts []time.Duration // start times of the backends that have just started
	for _, b := range z.backends {
		if b.Started > 0 && now-b.Started < t.cfg.MaxRampDuration {
			starts = append(starts, b.Started)
		}
	}
	if 2*len(starts) <= len(z.backends) {
		return
	}
	slices.Sort(starts)
	median := starts[len(starts)/2]
	if median <= z.rampStartedAt { // this restart is handled already
		return
	}
	z.lostAt = median
	reason := fmt.Sprintf("%d of %d nodes have started within %v", len(starts), len(z.backends), t.cfg.MaxRampDuration)
	t.startRamp(now, z, median, reason)
}

// rampStartShare returns the share of its full rate with which a zone's ramp starts.
func (t *Tracker) rampStartShare(z *zone) float64 { return t.cfg.RampFrom / z.cautionFactor() }

// cautionFactor returns the factor by which the caution steps lengthen a zone's ramp and lower its start.
func (z *zone) cautionFactor() float64 { return float64(int(1) << z.caution) }
