package zones

import (
	"time"

	"hitchspring/policy"
)

const (
	probeInterval = 200 * time.Millisecond // between probes of the backends of one zone
	maxProbes     = 16                     // maximum number of backends that DueProbes returns at once
)

// DueProbes returns the backends to probe now: the unproven ones of lost and returning zones, and all backends of a
// zone that is up with at least half of them unhealthy, so that no requests are needed to test the rest. The caller
// must call ProbeEnded at the end of each probe.
func (t *Tracker) DueProbes(now time.Duration) []policy.BackendID {
	if !t.cfg.Probe {
		return nil
	}
	var due []policy.BackendID
	for _, z := range t.sortedZones {
		if !z.needsProbes() || now-z.lastProbedAt < probeInterval {
			continue
		}
		z.lastProbedAt = now
		for _, b := range z.backends {
			wanted := b.unproven || z.halfUnhealthy && z.state == Up
			if b.State == policy.Running && wanted && !b.probing && len(due) < maxProbes {
				b.probing = true
				due = append(due, b.ID)
			}
		}
	}
	return due
}

// needsProbes reports whether a zone's state calls for probes.
func (z *zone) needsProbes() bool {
	switch z.state {
	case Lost, Returning:
		return true
	case Up:
		return z.halfUnhealthy
	case Drained:
		return false
	}
	return false
}

// ProbeEnded records whether a probed backend has answered.
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

// unprovenBackends returns the backends of a zone that the policy module must not use yet. There are none if probes are
// disabled, since then only requests can prove a backend.
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
