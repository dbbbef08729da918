package resp

import (
	"time"
)

// balance takes and gives back the places that are to stay free, and says whether that is done; nobody is accepted before.
func (f *Front) balance(now time.Time) bool {
	f.balancing.Lock()
	defer f.balancing.Unlock()
	for want := int(f.unused.Load()); f.ballast != want; {
		if f.ballast > want {
			<-f.slots
			f.ballast--
			continue
		}
		select {
		case f.slots <- struct{}{}:
			f.ballast++
		default: // a later look finds the places of those that are closed now
			for range want - f.ballast - f.closing() {
				f.closeIdlest(now)
			}
			return false
		}
	}
	return true
}

// closing is how many connections are about to end.
func (f *Front) closing() (n int) {
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

// takeSlot waits for the place of a further connection. Clients keep idle ones for good and hundreds may say nothing at
// all, so where all places are taken one of these is closed.
func (f *Front) takeSlot() {
	for {
		if !f.balance(time.Now()) {
			time.Sleep(slotPause)
			continue
		}
		select {
		case f.slots <- struct{}{}:
			return
		default:
		}
		f.closeIdlest(time.Now())
		select {
		case f.slots <- struct{}{}:
			return
		case <-time.After(slotPause):
		}
	}
}

// closeIdlest closes the oldest connection that has said nothing yet, or else the one that has been between requests
// for the longest.
func (f *Front) closeIdlest(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var idlest *connection
	var since time.Time
	var spoken bool
	for c := range f.connections {
		c.mu.Lock()
		free := !c.closing && len(c.waiting) == 0 && (c.spoken || now.Sub(c.used) > newcomer) &&
			!(c.partial.Load() && now.Sub(c.used) < firstCommand)
		if free && (idlest == nil || spoken && !c.spoken || spoken == c.spoken && c.used.Before(since)) {
			idlest, since, spoken = c, c.used, c.spoken
		}
		c.mu.Unlock()
	}
	if idlest != nil {
		idlest.close()
	}
}

// closeFullest closes the connection of the slowest reader.
func (f *Front) closeFullest() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var fullest *connection
	most := 0
	for c := range f.connections {
		c.mu.Lock()
		if c.unsent > most {
			fullest, most = c, c.unsent
		}
		c.mu.Unlock()
	}
	if fullest != nil {
		fullest.nc.Close()
	}
}
