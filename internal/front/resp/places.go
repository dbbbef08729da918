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
func (f *Front) reservePlaces(now time.Time) bool {
	f.reserving.Lock()
	defer f.reserving.Unlock()
	for want := int(f.toReserve.Load()); f.reserved != want; {
		if f.reserved > want {
			<-f.places
			f.reserved--
			continue
		}
		select {
		case f.places <- struct{}{}:
			f.reserved++
		default: // a later call finds the places of the connections that are closed now
			for range want - f.reserved - f.closingCount() {
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
func (f *Front) acquirePlace() {
	for {
		if !f.reservePlaces(time.Now()) {
			time.Sleep(evictionPause)
			continue
		}
		select {
		case f.places <- struct{}{}:
			return
		default: // all are taken
		}
		f.evictIdlest(time.Now())
		select {
		case f.places <- struct{}{}:
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
	var spoken bool
	for c := range f.connections {
		c.mu.Lock()
		free := !c.closing && len(c.waiting) == 0 && (c.hasAsked || now.Sub(c.used) > newcomerGrace) &&
			!(c.partial.Load() && now.Sub(c.used) < firstCommand)
		if free && (idlest == nil || spoken && !c.hasAsked || spoken == c.hasAsked && c.used.Before(since)) {
			idlest, since, spoken = c, c.used, c.hasAsked
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
	most := 0
	for c := range f.connections {
		c.mu.Lock()
		if c.unsent > most {
			slowest, most = c, c.unsent
		}
		c.mu.Unlock()
	}
	if slowest != nil {
		slowest.abort(metrics.ClosedSlowReader)
	}
}
