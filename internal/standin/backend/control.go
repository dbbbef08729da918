package backend

import (
	"time"

	"hitchspring/internal/standin/fault"
)

// Fault adds a fault rule that applies from now on. Rules match commands by class, and callers by instance: n0, n1, ...
func (b *Backend) Fault(rule fault.Rule) { b.faults.Add(b.fleet.clock(), rule) }

// Stop stops the backend abruptly, like a killed process.
func (b *Backend) Stop() { b.update(func(time.Duration) { b.shutDown() }) }

// Reset resets all connections, like a middlebox that has lost its connection state. Work in progress continues.
func (b *Backend) Reset() {
	b.update(func(time.Duration) {
		for nc := range b.conns {
			resetConn(nc)
		}
	})
}

// SetDraining sets whether the backend is draining, which means that it rejects new requests with BUSY.
func (b *Backend) SetDraining(on bool) { b.update(func(time.Duration) { b.draining = on }) }

// SetIdleTimeout sets the idle timeout after which the backend closes a connection; 0 means none.
func (b *Backend) SetIdleTimeout(after time.Duration) { b.idleTimeout.Store(int64(after)) }

// Slow slows the backend down by a factor for d. This includes work in progress.
func (b *Backend) Slow(factor float64, d time.Duration) {
	b.update(func(now time.Duration) { b.machine.slowDown(factor, now+d) })
}

// Pause suspends all work for d. The backend still accepts commands.
func (b *Backend) Pause(d time.Duration) {
	b.update(func(now time.Duration) { b.machine.pausedUntil = now + d })
}

// Neighbour simulates a noisy neighbour for d: another program that takes a share of the machine's capacity during
// periods of length on, with pauses of length off between them.
func (b *Backend) Neighbour(share float64, on, off, d time.Duration) {
	b.update(func(now time.Duration) { b.machine.neighbour = neighbour{share, on, off, now, now + d} })
}

// Partition partitions the backend from one instance for d: commands take no effect and get no reply, and their
// connections are reset when the partition ends.
func (b *Backend) Partition(instance int, d time.Duration) {
	b.update(func(now time.Duration) { b.partitionedUntil[instance] = now + d })
}
