package backend

import (
	"time"

	"hitchspring/internal/standin/fault"
)

// Fault puts a rule in force from now on. Calls are known by their class, callers as n0, n1 and so on.
func (b *Backend) Fault(rule fault.Rule) { b.faults.Add(b.fleet.clock(), rule) }

// Stop ends the backend as a killed process would end.
func (b *Backend) Stop() { b.update(func(time.Duration) { b.shutDown() }) }

// Reset resets all connections, as a middlebox does that has lost their state. Work that has begun goes on.
func (b *Backend) Reset() {
	b.update(func(time.Duration) {
		for nc := range b.conns {
			reset(nc)
		}
	})
}

// Drain makes the backend reject new work, or ends that.
func (b *Backend) Drain(on bool) { b.update(func(time.Duration) { b.draining = on }) }

// CloseIdle makes the backend close connections on which no command has come for so long; 0: never.
func (b *Backend) CloseIdle(after time.Duration) { b.idleTimeout.Store(int64(after)) }

// Slow makes the backend slower by a factor for a while, also in what it has begun.
func (b *Backend) Slow(factor float64, d time.Duration) {
	b.update(func(now time.Duration) { b.machine.slowDown(factor, now+d) })
}

// Pause makes the backend do nothing for a while; it still accepts commands.
func (b *Backend) Pause(d time.Duration) {
	b.update(func(now time.Duration) { b.machine.pausedUntil = now + d })
}

// Neighbour lets another program take a share of the machine for d, on and off.
func (b *Backend) Neighbour(share float64, on, off, d time.Duration) {
	b.update(func(now time.Duration) { b.machine.neighbour = neighbour{share, on, off, now, now + d} })
}

// Cut cuts the backend off from one instance for a while: nothing is read or answered, and connections with a command
// are reset at its end.
func (b *Backend) Cut(instance int, d time.Duration) {
	b.update(func(now time.Duration) { b.cutUntil[instance] = now + d })
}
