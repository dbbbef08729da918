package resp

import (
	"time"

	"hitchspring/internal/metrics"
)

const (
	evictionPause = 5 * time.Millisecond  // before a further connection is closed for want of a place
	newcomerGrace = 50 * time.Millisecond // in which a new connection that has sent nothing is not closed for want of a place
)

// reservePlaces takes and gives back the places that are to be left to another process, and reports whether that is done; no connection is
// accepted before.
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
		default: // a later call finds the places of the connections that are closed now
			for range want - f.slotsReserved - f.closingCount() {
				f.evictIdlest(now)
			}
			return false
		}
	}
	return true
}

// closingCount is how many connections are about to end.
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

// acquirePlace waits for the place of a further connection. Clients keep idle ones for good and hundreds may say nothing at
// all, so where all places are taken one of these is closed.
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

// evictIdlest closes the oldest connection that has asked nothing yet, or else the one that has been between requests
// for the longest.
func (f *Front) evictIdlest(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var idlest *connection
	var since time.Time
	var idlestHasSent bool
	for c := range f.connections {
		c.mu.Lock()
		evictable := !c.closing && len(c.pending) == 0 && (c.hasSentCommand || now.Sub(c.lastActive) > newcomerGrace) &&
			!(c.partialCommand.Load() && now.Sub(c.lastActive) < firstCommandTimeout)
		if evictable && (idlest == nil || idlestHasSent && !c.hasSentCommand || idlestHasSent == c.hasSentCommand && c.lastActive.Before(since)) {
			idlest, since, idlestHasSent = c, c.lastActive, c.hasSentCommand
		}
		c.mu.Unlock()
	}
	if idlest != nil {
		idlest.close()
	}
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
