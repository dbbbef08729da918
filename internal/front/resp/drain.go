package resp

import (
	"context"
	"time"

	"hitchspring/internal/metrics"
)

const (
	drainReapInterval = 50 * time.Millisecond  // between two looks for idle connections of a draining front
	drainIdleAfter    = 600 * time.Millisecond // of draining: new connections still come; then those without an open request are closed
	drainRejectAfter  = 700 * time.Millisecond // of draining for good: what comes later on a connection that is still open is refused at once
)

// Leave begins a graceful drain, once: PING is answered by an error, each connection is closed after its next answer, after 0.6 s also
// those without an open request. New ones are served in the same way. The listener stays.
func (f *Front) StartDrain() {
	if f.drainingSince.CompareAndSwap(0, time.Now().UnixNano()) {
		f.notify()
	}
}

// Return ends the drain that Leave has begun; a connection that is about to be closed is closed all the same.
func (f *Front) StopDrain() {
	f.drainingSince.Store(0)
	f.notify()
}

// Leaving reports whether the front is draining.
func (f *Front) Draining() bool { return f.drainingSince.Load() != 0 }

// drainingFor is for how long the front has been draining; below 0 where it is not.
func (f *Front) drainingFor() time.Duration {
	if since := f.drainingSince.Load(); since != 0 {
		return time.Duration(time.Now().UnixNano() - since)
	}
	return -1
}

// Drain closes the listener, and every connection as soon as nothing on it waits for an answer; where ctx ends first, at
// once. What comes later than 0.7 s after Leave on a connection that is still open, because an answer is owed on it, is refused at once: it was
// taken by being written. It returns when all have ended.
func (f *Front) Drain(ctx context.Context) {
	f.listener.Close()
	defer func() {
		f.stop()
		f.reaping.Wait()
	}()
	f.terminating.Store(true)
	f.mu.Lock()
	for c := range f.connections {
		c.close()
	}
	f.mu.Unlock()
	done := make(chan struct{})
	go func() {
		f.accepting.Wait() // it may have accepted a connection that is not served yet
		f.serving.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		f.mu.Lock()
		for c := range f.connections {
			c.abort(metrics.ClosedShutdownLimit)
		}
		f.mu.Unlock()
		<-done
	}
}
