package zones

import (
	"fmt"
	"math"
	"time"

	"hitchspring/policy"
)

const (
	lostThreshold   = 0.66                   // share of unhealthy running backends from which a zone is lost
	staleAnswerAge  = 500 * time.Millisecond // an older answer doesn't prove that a backend answers now
	reasonPrecision = 10 * time.Millisecond  // rounding of the durations in state reasons
)

// zoneHealth counts the running and unhealthy backends of a zone.
type zoneHealth struct {
	running    int
	unhealthy  int
	silent     int           // unhealthy because they are silent, not because they failed
	faultSince time.Duration // start of the oldest fault of an unhealthy backend; 0: none
}

// health returns the health of a zone's running backends.
func (t *Tracker) health(now time.Duration, z *zone) zoneHealth {
	var health zoneHealth
	for _, b := range z.backends {
		if b.State != policy.Running {
			continue
		}
		health.running++
		if !t.isUnhealthy(now, b) {
			continue
		}
		health.unhealthy++
		since := b.failingSince
		if b.consecutiveFailures < unhealthyThreshold {
			health.silent++
			since = b.silentSince()
		}
		if health.faultSince == 0 || since < health.faultSince {
			health.faultSince = since
		}
	}
	return health
}

// detectLoss reports whether enough of a zone's backends are unhealthy or not running for the zone to be lost, and the
// reason.
func (t *Tracker) detectLoss(now time.Duration, z *zone) (lost bool, reason string) {
	health := t.health(now, z)
	z.noneRunning = health.running == 0
	z.halfUnhealthy = health.unhealthy > 0 && 2*health.unhealthy >= health.running
	if z.noneRunning {
		if len(z.backends) > 0 {
			return true, fmt.Sprintf("all %d nodes are draining", len(z.backends))
		}
		return z.nominal > 0, "the list has no node of it"
	}
	threshold := max(min(2, health.running), int(math.Ceil(lostThreshold*float64(health.running))))
	if health.unhealthy < threshold || t.hasAnsweredSince(now, z, health.faultSince) {
		return false, ""
	}
	return true, health.describe(now)
}

// hasAnsweredSince reports whether a healthy backend of a zone has answered after faultSince and within staleAnswerAge.
func (t *Tracker) hasAnsweredSince(now time.Duration, z *zone, faultSince time.Duration) bool {
	for _, b := range z.backends {
		if b.State != policy.Running || t.isUnhealthy(now, b) {
			continue
		}
		if b.answeredAt > faultSince && now-b.answeredAt < staleAnswerAge {
			return true
		}
	}
	return false
}

// describe returns the reason for a loss, as shown to operators.
func (h zoneHealth) describe(now time.Duration) string {
	what := "failed"
	switch {
	case h.silent == h.unhealthy:
		what = "silent"
	case h.silent > 0:
		what = "failed or silent"
	}
	duration := (now - h.faultSince).Round(reasonPrecision)
	return fmt.Sprintf("%d of %d nodes %s for %v", h.unhealthy, h.running, what, duration)
}
