package resp

import (
	"context"
	"time"
)

// tidy closes, until ctx ends, the connections that have been without an open request for too long: every one of them
// keeps memory and a descriptor, and some clients ask once and stay for good, or never ask.
func (f *Front) tidy(ctx context.Context) {
	tick := time.NewTicker(tidyEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.turned:
			f.balance(time.Now())
			if f.Leaving() || f.unused.Load() > 0 {
				tick.Reset(leaveTidy)
			} else {
				tick.Reset(tidyEvery)
			}
		case now := <-tick.C:
			left := f.left()
			f.balance(now)
			f.mu.Lock()
			for c := range f.connections {
				c.mu.Lock()
				idle := now.Sub(c.used)
				// A command that has begun has a time limit of its own, by its reader.
				over := len(c.waiting) == 0 && !c.partial.Load() && (c.spoken && idle > idleTime || !c.spoken && idle > firstCommand-tidyEvery)
				over = over || left > leaveOpen && (c.spoken || idle > leaveOpen) || left > leaveTake
				c.mu.Unlock()
				if over {
					c.close()
				}
			}
			f.mu.Unlock()
		}
	}
}
