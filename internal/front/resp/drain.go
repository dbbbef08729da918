package resp

import (
	"context"
	"time"

	"hitchspring/internal/metrics"
)

const (
	drainReapInterval = 50 * time.Millisecond  // interval of the search for idle connections while draining
	drainIdleAfter    = 600 * time.Millisecond // into a drain: connections without an open request are closed
	drainRejectAfter  = 700 * time.Millisecond // into a drain: commands are rejected
	// drainEndAfter is when, into a drain by an operator, a connection ends behind a complete command although more has
	// arrived: its client never pauses. By then the requests that were submitted before drainRejectAfter have had most
	// of their time. The operator may take the instance away 4 s after the call.
	drainEndAfter = 3 * time.Second
)

// StartDrain begins a graceful drain, unless the front is draining already. While
// draining, PING is answered with an error and each connection is closed after its
// next reply. After drainIdleAfter, connections without an open request are closed
// as well. After drainRejectAfter, commands are rejected, so that the connection of a
// client which sends without waiting for replies has a moment without an open request.
// The listener stays open; a new connection is served, and closed after its reply.
func (f *Front) StartDrain() {
	if f.drainingSince.CompareAndSwap(0, time.Now().UnixNano()) {
		f.notifyChanged()
	}
}

// StopDrain ends the drain that StartDrain began. Connections that are already
// marked for closing are still closed.
func (f *Front) StopDrain() {
	f.drainingSince.Store(0)
	f.notifyChanged()
}

// Draining reports whether the front is draining.
func (f *Front) Draining() bool { return f.drainingSince.Load() != 0 }

// rejectsCommands reports whether commands are rejected, since a drain has lasted for so
// long. While the process goes on, that holds for connections which have been open for as
// long: a new one is served and closed after its reply.
func (c *connection) rejectsCommands() bool {
	return c.front.drainingFor() > drainRejectAfter &&
		(c.front.terminating.Load() || time.Since(c.acceptedAt) > drainRejectAfter)
}

// endIfDrained ends the connection if an operator's drain has lasted for too long and all
// commands that were handled are answered. What has arrived behind them was not read: the
// client sends it again on another connection.
func (c *connection) endIfDrained() (ended bool) {
	if c.front.drainingFor() < drainEndAfter || c.front.terminating.Load() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) > 0 {
		return false
	}
	c.phase = finished
	c.wakeWriter()
	return true
}

// drainingFor returns how long the front has been draining, or a negative value if
// it is not draining.
func (f *Front) drainingFor() time.Duration {
	if since := f.drainingSince.Load(); since != 0 {
		return time.Duration(time.Now().UnixNano() - since)
	}
	return -1
}

// Drain shuts the front down. It closes the listener, and each connection as soon
// as no reply is pending on it, or at once when ctx ends. It returns when all
// connections have ended.
//
// A connection with a pending reply may stay open for longer than drainRejectAfter.
// Commands that arrive on it later are read and rejected: the client wrote them to an
// open connection and expects a reply.
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
		f.accepting.Wait() // a connection may have been accepted and not be counted in serving yet
		f.serving.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		f.processor.Stop()
		f.mu.Lock()
		for c := range f.connections {
			c.abort(metrics.ClosedShutdownLimit)
		}
		f.mu.Unlock()
		<-done
	}
}
