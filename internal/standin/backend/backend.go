// Package backend is a stand-in for the platform's backends: RESP2 servers over TCP with a few cores and a request
// queue. A machine model simulates slow start, failure under overload, slowdowns, pauses and a noisy neighbour on the
// same host. Control methods drain a backend, partition it from an instance or stop it, and a fault script affects
// single commands. The backends of a rack deduplicate commands by idempotency key. Each backend listens on a separate
// address for each instance, which identifies the sender. The fleet records every command on arrival, before any fault
// takes effect, and all records use one clock.
package backend

import (
	"net"
	"sync/atomic"
	"time"

	"hitchspring/internal/standin/fault"
)

// Backend is one server of a fleet. The fleet's mutex guards its fields, except those that are set only at its start.
type Backend struct {
	Spec
	fleet      *Fleet
	listeners  []net.Listener // by instance
	faults     *fault.Script
	stopSignal chan struct{} // closed when the backend stops
	// idleTimeout, in nanoseconds, is how long a connection may be idle before it is closed; 0: no limit.
	idleTimeout atomic.Int64

	machine          machine
	conns            map[net.Conn]bool // open connections
	traffic          []Traffic         // by instance
	partitionedUntil []time.Duration   // by instance
	draining         bool
	stopped          bool
	// completions holds the end times of recently completed commands, for the load report.
	completions []time.Duration
}

// Traffic holds totals over one instance's connections to a backend.
type Traffic struct {
	Opened int   // connections opened so far
	Open   int   // currently open connections
	In     int64 // bytes received on connections that are closed by now
	Out    int64 // bytes sent on connections that are closed by now
}

// Addr returns the backend's listen address for an instance.
func (b *Backend) Addr(instance int) string { return b.listeners[instance].Addr().String() }

// Addrs returns the listen addresses, indexed by instance.
func (b *Backend) Addrs() (out []string) {
	for i := range b.listeners {
		out = append(out, b.Addr(i))
	}
	return out
}

// update calls do under the fleet's mutex, after advancing the machine to the current time.
func (b *Backend) update(do func(now time.Duration)) {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	now := b.fleet.clock()
	b.machine.advance(now)
	do(now)
}

// shutDown stops the backend. The caller must hold the fleet's mutex.
func (b *Backend) shutDown() {
	if b.stopped {
		return
	}
	b.stopped = true
	close(b.stopSignal)
	for _, ln := range b.listeners {
		ln.Close()
	}
	for nc := range b.conns {
		resetConn(nc)
	}
	for _, j := range append(b.machine.running, b.machine.queue...) {
		close(j.done) // backends of the rack may wait for the job of a repeated key
	}
	b.machine.running, b.machine.queue = nil, nil
}

// Down reports whether the backend has stopped.
func (b *Backend) Down() bool {
	select {
	case <-b.stopSignal:
		return true
	default:
		return false
	}
}

// resetConn closes a connection with a TCP reset.
func resetConn(nc net.Conn) {
	if tcp, ok := nc.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is already closed
	}
	nc.Close()
}

// Traffic returns the totals over an instance's connections.
func (b *Backend) Traffic(instance int) Traffic {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	return b.traffic[instance]
}

// Load returns the number of requests in flight, the current capacity without slowdowns (in seconds of work per
// second), and whether the backend has stopped.
func (b *Backend) Load() (inFlight int, capacity float64, stopped bool) {
	b.update(func(time.Duration) { inFlight, capacity, stopped = b.machine.inFlight, b.machine.capacity(), b.stopped })
	return inFlight, capacity, stopped
}

// Capacity returns the current effective capacity in seconds of work per second, including slowdowns. It is 0 while
// the backend is stopped, paused, or partitioned from all instances.
func (b *Backend) Capacity() (capacity float64) {
	b.update(func(now time.Duration) {
		reachable := false
		for _, until := range b.partitionedUntil {
			reachable = reachable || until <= now
		}
		if reachable && !b.stopped {
			capacity = b.machine.rate() * float64(b.machine.Cores)
		}
	})
	return capacity
}

// OverloadFailure returns why and when the backend failed from overload during slow start. why is empty if it has not
// failed.
func (b *Backend) OverloadFailure() (why string, at time.Duration) {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	return b.machine.failure, b.machine.failedAt
}

// PeakLoad returns the largest load that the backend received during slow start, as a share of the overload limit. It
// is 0 for a backend without slow start or without requests.
func (b *Backend) PeakLoad() float64 {
	b.fleet.mu.Lock()
	defer b.fleet.mu.Unlock()
	return b.machine.peakLoad
}
