package resp

import (
	"context"
	"time"
)

// Leave begins to let the clients go, once: PING says no, each connection is closed after its next answer, after 0.6 s also
// those without an open request. New ones are served in the same way. The listener stays.
func (f *Front) Leave() {
	if f.leaving.CompareAndSwap(0, time.Now().UnixNano()) {
		f.turn()
	}
}

// Return ends what Leave has begun; a connection that is about to be closed is closed all the same.
func (f *Front) Return() {
	f.leaving.Store(0)
	f.turn()
}

// Leaving reports whether Leave holds.
func (f *Front) Leaving() bool { return f.leaving.Load() != 0 }

// left is for how long the front has been leaving; below 0 where it is not.
func (f *Front) left() time.Duration {
	if since := f.leaving.Load(); since != 0 {
		return time.Duration(time.Now().UnixNano() - since)
	}
	return -1
}

// Drain closes the listener, and every connection as soon as nothing on it waits for an answer; where ctx ends first, at
// once. What comes later than 0.7 s after Leave on a connection that is still open, because an answer is owed on it, is refused at once: it was
// taken by being written. It returns when all have ended.
func (f *Front) Drain(ctx context.Context) {
	f.ln.Close()
	defer func() {
		f.stop()
		f.own.Wait()
	}()
	f.ending.Store(true)
	f.mu.Lock()
	f.draining = true
	for c := range f.connections {
		c.close()
	}
	f.mu.Unlock()
	done := make(chan struct{})
	go func() {
		f.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		f.mu.Lock()
		for c := range f.connections {
			c.nc.Close()
		}
		f.mu.Unlock()
		<-done
	}
}
