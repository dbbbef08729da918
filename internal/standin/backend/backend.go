// Package backend is a stand-in for the backends of the platform: RESP2 over TCP, with a few cores and a queue before
// them. A machine model makes it warm up after a cold start, fall over under overload, slow down, pause, and share
// its host with another program. Control calls drain it, cut it off from an instance or end it, and a fault script
// acts on single commands. The backends of one rack drop repeats of an idempotency key. Each backend has an address
// for each instance, so that it knows who sent what; one observer records every command as it arrives, with one
// clock, before any fault acts on it.
package backend

import (
	"net"
	"sync/atomic"
	"time"

	"hitchspring/internal/standin/fault"
)

// Backend is one server of a fleet. The fleet's mutex guards its fields, apart from those set when it starts.
type Backend struct {
	Spec
	fleet     *Fleet
	listeners []net.Listener // by instance
	faults    *fault.Script
	ended     chan struct{} // closed when the backend ends
	// idleTimeout, in nanoseconds, is when a connection without a command is closed; 0: never.
	idleTimeout atomic.Int64

	machine  machine
	conns    map[net.Conn]bool // open connections
	traffic  []Traffic         // by instance
	cutUntil []time.Duration   // by instance
	draining bool
	down     bool
	// completions holds when commands of the last second ended, for the load report.
	completions []time.Duration
}

// Traffic sums up one instance's connections to a backend.
type Traffic struct {
	Opened int   // connections so far
	Open   int   // connections now
	In     int64 // bytes that the backend read on closed connections
	Out    int64 // bytes that the backend wrote on closed connections
}

// Addr returns the address where the backend listens for an instance.
func (b *Backend) Addr(instance int) string { return b.listeners[instance].Addr().String() }

// Addrs returns all addresses, by instance.
func (b *Backend) Addrs() (out []string) {
	for i := range b.listeners {
		out = append(out, b.Addr(i))
	}
	return out
}

// update does something to the backend under the fleet's mutex, with the machine advanced to now.
func (b *Backend) update(do func(now time.Duration)) {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	now := b.fleet.clock()
	b.machine.advance(now)
	do(now)
}

// shutDown ends the backend. The fleet's mutex is held.
func (b *Backend) shutDown() {
	if b.down {
		return
	}
	b.down = true
	close(b.ended)
	for _, ln := range b.listeners {
		ln.Close()
	}
	for nc := range b.conns {
		reset(nc)
	}
	for _, j := range append(b.machine.running, b.machine.queue...) {
		close(j.done) // other backends may wait for the job of a key that their rack remembers
	}
	b.machine.running, b.machine.queue = nil, nil
}

// Down reports whether the backend has ended.
func (b *Backend) Down() bool {
	select {
	case <-b.ended:
		return true
	default:
		return false
	}
}

// reset closes a connection so that its peer sees a reset.
func reset(nc net.Conn) {
	if tcp, ok := nc.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection has ended
	}
	nc.Close()
}

// Traffic returns the sum of an instance's connections.
func (b *Backend) Traffic(instance int) Traffic {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	return b.traffic[instance]
}

// Load returns the number of requests in flight, the capacity that the backend would have now if nothing slowed it,
// in seconds of work a second, and whether it has ended.
func (b *Backend) Load() (inFlight int, capacity float64, down bool) {
	b.update(func(time.Duration) { inFlight, capacity, down = b.machine.inFlight, b.machine.capacity(), b.down })
	return inFlight, capacity, down
}

// Capacity returns what the backend does now for whoever reaches it, in seconds of work a second: with all that slows
// it, and 0 while it is down, paused, or cut off from every instance.
func (b *Backend) Capacity() (capacity float64) {
	b.update(func(now time.Duration) {
		reachable := false
		for _, until := range b.cutUntil {
			reachable = reachable || until <= now
		}
		if reachable && !b.down {
			capacity = b.machine.rate() * float64(b.machine.Cores)
		}
	})
	return capacity
}

// Fell returns why and when a cold backend fell over by overload; empty if it did not.
func (b *Backend) Fell() (why string, at time.Duration) {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	return b.machine.failure, b.machine.failedAt
}

// Pushed returns the largest share of the overload limit that a cold backend was sent; 1 is the limit. It is 0 for
// one that was never cold, or got nothing.
func (b *Backend) Pushed() float64 {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	return b.machine.peakOverload
}
