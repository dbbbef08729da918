package resp

import (
	"context"
	"time"
)

const (
	idleTimeout  = 2100 * time.Millisecond // after which a connection without an open request is closed
	reapInterval = 250 * time.Millisecond  // between searches for idle connections
)

// reapIdle closes, until ctx ends, the connections that have been without an
// open request for too long. Each of them holds memory and a descriptor, and some
// clients send one request and stay for good, or never send any.
func (f *Front) reapIdle(ctx context.Context) {
	tick := time.NewTicker(reapInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.changed:
			f.reserveSlots(time.Now())
			if f.Draining() || f.slotsToReserve.Load() > 0 {
				tick.Reset(drainReapInterval)
			} else {
				tick.Reset(reapInterval)
			}
		case now := <-tick.C:
			draining := f.drainingFor()
			f.reserveSlots(now)
			f.closeExpired(now, draining)
		}
	}
}

// closeExpired closes the connections whose time without an open request is
// over. draining is how long the front has been draining, or negative.
func (f *Front) closeExpired(now time.Time, draining time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.connections {
		if c.isExpired(now, draining) {
			c.close()
		}
	}
}

// isExpired reports whether the connection is to be closed at the next moment
// when no command on it is without an answer.
func (c *connection) isExpired(now time.Time, draining time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := now.Sub(c.lastActive)
	timeout := idleTimeout
	if !c.hasSentCommand {
		timeout = firstCommandTimeout - reapInterval
	}
	// The reader limits the time of a partial command.
	if len(c.pending) == 0 && !c.partialCommand.Load() && idle > timeout {
		return true
	}
	return draining > drainRejectAfter || draining > drainIdleAfter && (c.hasSentCommand || idle > drainIdleAfter)
}
