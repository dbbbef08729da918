package resp

import (
	"context"
	"time"
)

const (
	idleTime  = 2100 * time.Millisecond // after which a connection without an open request is closed
	reapEvery = 250 * time.Millisecond  // between two looks for idle connections
)

// reapIdle closes, until ctx ends, the connections that have been without an open request for too long: every one of them
// keeps memory and a descriptor, and some clients ask once and stay for good, or never ask.
func (f *Front) reapIdle(ctx context.Context) {
	tick := time.NewTicker(reapEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.changed:
			f.reservePlaces(time.Now())
			if f.Draining() || f.toReserve.Load() > 0 {
				tick.Reset(drainReapEvery)
			} else {
				tick.Reset(reapEvery)
			}
		case now := <-tick.C:
			draining := f.drainingFor()
			f.reservePlaces(now)
			f.closeExpired(now, draining)
		}
	}
}

// closeExpired closes the connections whose time without an open request is over. The front has been draining for so long; below 0: it
// is not.
func (f *Front) closeExpired(now time.Time, draining time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.connections {
		if c.expired(now, draining) {
			c.close()
		}
	}
}

// expired reports whether the connection is to be closed at its next moment between requests.
func (c *connection) expired(now time.Time, draining time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := now.Sub(c.used)
	most := idleTime
	if !c.hasAsked {
		most = firstCommand - reapEvery
	}
	// A command that has begun has a time limit of its own, by its reader.
	if len(c.waiting) == 0 && !c.partial.Load() && idle > most {
		return true
	}
	return draining > drainRefuseAfter || draining > drainIdleAfter && (c.hasAsked || idle > drainIdleAfter)
}
