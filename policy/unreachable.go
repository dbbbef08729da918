package policy

import (
	"slices"
	"time"
)

const (
	// minUnreachableBackends is the number of backends of one zone that must have been
	// unreachable, without a response from the zone since, for the zone to count as
	// unreachable.
	minUnreachableBackends = 3
	// unreachableBackoff is the initial time until an unreachable zone is tried again.
	// It doubles up to three times.
	unreachableBackoff = 2 * time.Second
)

// unreachableZone holds the connection failures of a zone since one of its backends
// last responded.
type unreachableZone struct {
	backends   []*backend    // backends to which no connection could be established
	until      time.Duration // the zone is used only as a last resort until then
	extensions int           // number of times that until was set
}

// recordUnreachable records a connection failure. When several backends of one zone
// cannot be connected to, the whole zone counts as unreachable: to detect this for
// each backend separately would cost failures at every backend and every instance.
func (e *Engine) recordUnreachable(b *backend, outcome Outcome) {
	zone := e.unreachable[b.Zone]
	if outcome != NoConnect || zone.until > e.now {
		return
	}
	if !slices.Contains(zone.backends, b) {
		zone.backends = append(zone.backends, b)
	}
	if len(zone.backends) >= minUnreachableBackends {
		backoff := unreachableBackoff << min(zone.extensions, 3)
		zone.until = e.now + time.Duration(float64(backoff)*(0.5+e.rng.Float64()))
		zone.extensions++
		if zone.extensions == 1 {
			e.handleZoneLoss(b.Zone)
		}
	}
	e.unreachable[b.Zone] = zone
}
