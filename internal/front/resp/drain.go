package resp

import (
	"context"
	"time"

	"hitchspring/internal/metrics"
)

const (
	drainReapInterval = 50 * time.Millisecond  // between searches for idle connections while draining
	drainIdleAfter    = 600 * time.Millisecond // of draining, after which connections without an open request end
	drainRejectAfter  = 700 * time.Millisecond // of draining, after which a terminating front rejects commands
)

// StartDrain begins a graceful drain, unless the front is draining already. PING
// is answered by an error and each connection is closed after its next answer;
// after drainIdleAfter, connections without an open request are closed too. New
// connections are served in the same way: the listener stays open.
func (f *Front) StartDrain() {
	if f.drainingSince.CompareAndSwap(0, time.Now().UnixNano()) {
		f.notifyChanged()
	}
}

// StopDrain ends the drain that StartDrain has begun. A connection that is about
// to be closed is closed all the same.
func (f *Front) StopDrain() {
	f.drainingSince.Store(0)
	f.notifyChanged()
}

// Draining reports whether the front is draining.
func (f *Front) Draining() bool { return f.drainingSince.Load() != 0 }

// drainingFor is how long the front has been draining; it is negative if the
// front is not draining.
func (f *Front) drainingFor() time.Duration {
	if since := f.drainingSince.Load(); since != 0 {
		return time.Duration(time.Now().UnixNano() - since)
	}
	return -1
}

// Drain closes the listener, then each connection as soon as no command on it is
// without an answer, or at once when ctx ends. It returns when all connections
// have ended.
//
// A connection on which an answer is owed may stay open for longer than
// drainRejectAfter. Commands that come on it later are rejected and not left
// unread: the client has written them to an open connection.
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
