package resp

import (
	"time"

	"hitchspring/internal/socket"
)

const (
	evictionPause      = 5 * time.Millisecond  // before another connection is closed to free a slot
	newConnectionGrace = 50 * time.Millisecond // time for which a connection that has sent nothing is not evicted
)

// reserveSlots adjusts the number of reserved slots to slotsToReserve. If too few
// slots are free, it evicts idle connections and returns false; the caller must call
// it again. No connection is accepted until it returns true.
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
		default: // the connections evicted here free their slots for a later call
			for range want - f.slotsReserved - f.closingCount() {
				f.evictIdlest(now)
			}
			return false
		}
	}
	return true
}

// closingCount returns the number of connections that are marked for closing.
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

// acquireSlot waits for a free slot for the next connection. If all slots are taken
// it evicts an idle connection: clients may keep idle connections open forever, and
// hundreds of them may never send anything.
func (f *Front) acquireSlot() {
	for {
		if !f.reserveSlots(time.Now()) {
			time.Sleep(evictionPause)
			continue
		}
		select {
		case f.slots <- struct{}{}:
			return
		default: // all slots are taken
		}
		f.evictIdlest(time.Now())
		select {
		case f.slots <- struct{}{}:
			return
		case <-time.After(evictionPause):
		}
	}
}

// evictIdlest closes the connection that has waited longest for its first command.
// If there is none, it closes the one that has been idle longest since its last. It
// closes none if a client has disconnected, whose connection is about to end by itself.
func (f *Front) evictIdlest(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isEndingByItself() {
		return
	}
	var idlest *connection
	var idleSince time.Time
	var idlestHasSent bool
	for c := range f.connections {
		c.mu.Lock()
		idler := idlest == nil || idlestHasSent && !c.hasSentCommand ||
			idlestHasSent == c.hasSentCommand && c.lastActive.Before(idleSince)
		if idler && c.isEvictable(now) {
			idlest, idleSince, idlestHasSent = c, c.lastActive, c.hasSentCommand
		}
		c.mu.Unlock()
	}
	if idlest != nil {
		idlest.close()
	}
}

// isEvictable reports whether the connection may be closed to free its slot. The
// caller must hold c.mu.
func (c *connection) isEvictable(now time.Time) bool {
	idle := now.Sub(c.lastActive)
	if c.closing || len(c.pending) > 0 {
		return false
	}
	if c.hasPartialCommand.Load() && idle < firstCommandTimeout {
		return false
	}
	return c.hasSentCommand || idle > newConnectionGrace
}

// isEndingByItself reports whether a client without an open request has disconnected,
// although its connection's reader has not noticed yet. The caller must hold f.mu.
func (f *Front) isEndingByItself() bool {
	for c := range f.connections {
		c.mu.Lock()
		open := len(c.pending) > 0
		c.mu.Unlock()
		if !open && socket.HungUp(c.conn) {
			return true
		}
	}
	return false
}
