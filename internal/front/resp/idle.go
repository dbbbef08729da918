package resp

import (
	"context"
	"time"
)

const (
	idleTimeout  = 2100 * time.Millisecond // time without an open request after which a connection is closed
	reapInterval = 250 * time.Millisecond  // interval of the search for idle connections
)

// reapIdle closes connections that have had no open request for too long, and those
// whose clients don't read while memory is short, until ctx ends. Each connection uses
// memory and a file descriptor, and some clients keep one open forever after a single
// request, or without sending any.
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
			f.closeStalledReaders(now)
		}
	}
}

// closeExpired closes the connections that isExpired selects. draining is how long
// the front has been draining; it is negative if the front is not draining.
func (f *Front) closeExpired(now time.Time, draining time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.connections {
		if c.isExpired(now, draining) {
			c.close()
		}
	}
}

// isExpired reports whether the connection is to be closed as soon as no reply is
// pending: its idle timeout has passed, or the drain requires it.
func (c *connection) isExpired(now time.Time, draining time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := now.Sub(c.lastActive)
	timeout := idleTimeout
	if !c.hasSentCommand {
		timeout = firstCommandTimeout - reapInterval
	}
	// A partial command is limited by the read deadline instead.
	if len(c.pending) == 0 && !c.hasPartialCommand.Load() && idle > timeout {
		return true
	}
	return draining > drainRejectAfter || draining > drainIdleAfter && (c.hasSentCommand || idle > drainIdleAfter)
}
