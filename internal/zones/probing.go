package zones

import (
	"time"

	"hitchspring/policy"
)

const (
	probeInterval = 200 * time.Millisecond // of the unproven backends of a zone
	maxProbes     = 16                     // at a time
)

// DueProbes returns the backends to probe now: the unproven ones of zones that are lost or returning, and all of a zone
// of which half look unhealthy, so that it doesn't take requests to find out about the rest. ProbeEnded is to be called
// at the end of each probe.
func (t *Tracker) DueProbes(now time.Duration) []policy.BackendID {
	if !t.cfg.Probe {
		return nil
	}
	var due []policy.BackendID
	for _, z := range t.sorted {
		if !z.isProbed() || now-z.probedAt < probeInterval {
			continue
		}
		z.probedAt = now
		for _, b := range z.backends {
			wanted := b.unproven || z.suspect && z.state == Up
			if b.State == policy.Running && wanted && !b.probing && len(due) < maxProbes {
				b.probing = true
				due = append(due, b.ID)
			}
		}
	}
	return due
}

// isProbed reports whether a zone's state calls for probes.
func (z *zone) isProbed() bool {
	switch z.state {
	case Lost, Returning:
		return true
	case Up:
		return z.suspect
	case Drained:
		return false
	}
	return false
}

// ProbeEnded notes whether a backend that was probed has answered.
func (t *Tracker) ProbeEnded(now time.Duration, id policy.BackendID, ok bool) {
	b := t.backends[id]
	if b == nil || !b.probing {
		return
	}
	b.probing = false
	if ok {
		b.recordAnswer(now)
	} else {
		b.recordFailure(now)
	}
}

// unprovenBackends returns the backends of a zone that the policy module must not use. Without probes only requests can
// prove a backend, so there are none.
func (t *Tracker) unprovenBackends(z *zone) []policy.BackendID {
	if !z.requireProof || !t.cfg.Probe || z.state != Returning && z.rateLimit != 0 {
		return nil
	}
	var unproven []policy.BackendID
	for _, b := range z.backends {
		if b.unproven {
			unproven = append(unproven, b.ID)
		}
	}
	return unproven
}
