package policy

import (
	"slices"
	"time"
)

const (
	// minUnreachableBackends is how many backends of one zone must have been
	// unreachable, with no answer from there since, for the zone to count as
	// unreachable.
	minUnreachableBackends = 3
	// unreachableBackoff is the time until an unreachable zone is tried again, at
	// first; it doubles three times.
	unreachableBackoff = 2 * time.Second
)

// unreachableZone is what speaks against a zone since a backend there last
// answered.
type unreachableZone struct {
	backends   []*backend    // those that could not be connected to
	until      time.Duration // the zone is a last resort until then
	extensions int           // how often until was set
}

// recordUnreachable takes failures to connect to several backends of one zone for
// a failure of the zone. To learn that from each backend would take as many
// failures as it has backends, times the instances.
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
			e.writeOffZone(b.Zone)
		}
	}
	e.unreachable[b.Zone] = zone
}
