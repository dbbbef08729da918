package resp

import (
	"time"

	"hitchspring/internal/metrics"
)

const (
	evictionPause = 5 * time.Millisecond  // before a further connection is closed to free a slot
	newcomerGrace = 50 * time.Millisecond // in which a connection that has sent nothing is not evicted
)

// reserveSlots takes or gives back the slots that are to be left to another
// process, and reports whether that is done. No connection is accepted before.
func (f *Front) reserveSlots(now time.Time) bool {
	f.reserveMu.Lock()
	defer f.reserveMu.Unlock()
	for want := int(f.slotsToReserve.Load()); f.slotsReserved != want; {
		if f.slotsReserved > want {
			<-f.slots
			f.slotsReserved--
			continue
		}
		select {
		case f.slots <- struct{}{}:
			f.slotsReserved++
		default: // a later call finds the slots of the connections that are closed now
			for range want - f.slotsReserved - f.closingCount() {
				f.evictIdlest(now)
			}
			return false
		}
	}
	return true
}

// closingCount is the number of connections that are about to end.
func (f *Front) closingCount() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.connections {
		c.mu.Lock()
		if c.closing {
			n++
		}
		c.mu.Unlock()
	}
	return n
}

// acquireSlot waits for the slot of a further connection. Clients keep idle
// connections for good, and hundreds may never send anything, so one of these is
// closed if all slots are taken.
func (f *Front) acquireSlot() {
	for {
		if !f.reserveSlots(time.Now()) {
			time.Sleep(evictionPause)
			continue
		}
		select {
		case f.slots <- struct{}{}:
			return
		default: // all are taken
		}
		f.evictIdlest(time.Now())
		select {
		case f.slots <- struct{}{}:
			return
		case <-time.After(evictionPause):
		}
	}
}

// evictIdlest closes the oldest connection that has sent no command yet, or else
// the one that has been between requests for the longest.
func (f *Front) evictIdlest(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var idlest *connection
	var idleSince time.Time
	var idlestHasSent bool
	for c := range f.connections {
		c.mu.Lock()
		idler := idlest == nil || idlestHasSent && !c.hasSentCommand ||
			idlestHasSent == c.hasSentCommand && c.lastActive.Before(idleSince)
		if idler && c.evictable(now) {
			idlest, idleSince, idlestHasSent = c, c.lastActive, c.hasSentCommand
		}
		c.mu.Unlock()
	}
	if idlest != nil {
		idlest.close()
	}
}

// evictable reports whether the connection may be closed to free its slot. The
// caller has locked c.mu.
func (c *connection) evictable(now time.Time) bool {
	idle := now.Sub(c.lastActive)
	if c.closing || len(c.pending) > 0 {
		return false
	}
	if c.partialCommand.Load() && idle < firstCommandTimeout {
		return false
	}
	return c.hasSentCommand || idle > newcomerGrace
}

// closeSlowestReader closes the connection with the most bytes of answers unsent.
func (f *Front) closeSlowestReader() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var slowest *connection
	maxUnsent := 0
	for c := range f.connections {
		c.mu.Lock()
		if c.unsentBytes > maxUnsent {
			slowest, maxUnsent = c, c.unsentBytes
		}
		c.mu.Unlock()
	}
	if slowest != nil {
		slowest.abort(metrics.ClosedSlowReader)
	}
}
