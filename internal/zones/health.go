package zones

import (
	"fmt"
	"math"
	"time"

	"hitchspring/policy"
)

const (
	lostShare       = 0.66                   // of a zone's running backends that are unhealthy: the zone is lost
	staleAnswerAge  = 500 * time.Millisecond // an answer older than that doesn't prove that a backend answers now
	reasonPrecision = 10 * time.Millisecond  // to which the reasons of a state give a time
)

// zoneHealth sums up the health of a zone's running backends.
type zoneHealth struct {
	running    int
	unhealthy  int
	silent     int           // unhealthy ones without failures in a row
	faultSince time.Duration // when the oldest fault of an unhealthy one began; 0: none is
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
		if b.failures < failuresUnhealthy {
			health.silent++
			since = b.silentSince()
		}
		if health.faultSince == 0 || since < health.faultSince {
			health.faultSince = since
		}
	}
	return health
}

// detectLoss reports whether a zone's backends, taken together, show that the zone is lost, and why.
func (t *Tracker) detectLoss(now time.Duration, z *zone) (lost bool, reason string) {
	health := t.health(now, z)
	z.lostByList = health.running == 0
	z.suspect = health.unhealthy > 0 && 2*health.unhealthy >= health.running
	if z.lostByList {
		if len(z.backends) > 0 {
			return true, fmt.Sprintf("all %d nodes are draining", len(z.backends))
		}
		return z.nominal > 0, "the list has no node of it"
	}
	threshold := max(min(2, health.running), int(math.Ceil(lostShare*float64(health.running))))
	if health.unhealthy < threshold || t.hasAnsweredSince(now, z, health.faultSince) {
		return false, ""
	}
	return true, health.describe(now)
}

// hasAnsweredSince reports whether a healthy backend of a zone has answered since a fault began, and not long ago.
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

// describe returns the reason of a loss, for operators.
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
