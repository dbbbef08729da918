package backend

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hitchspring/internal/standin/fault"
)

const (
	reportInterval = 300 * time.Millisecond // between changes of a load report
	tickInterval   = time.Millisecond       // between advances of the machines
)

// Fleet is a group of backends that share racks, a clock and an observer. It runs a goroutine that advances the
// machines, one for each listener, one for each connection and one for each reply that is repeated late; Close ends
// them all and waits for them.
type Fleet struct {
	rules      Rules
	clock      func() time.Duration
	stop       chan struct{} // closed by Close
	stopOnce   sync.Once
	wg         sync.WaitGroup
	lastConnID atomic.Uint64

	mu       sync.Mutex // guards all below, and the backends' fields
	rng      *rand.Rand
	backends []*Backend
	racks    map[int]map[string]*keyEntry // by rack and idempotency key
	sweptAt  time.Duration
	records  []Record
	lost     int // commands without a record
}

// keyEntry is an idempotency key that a rack remembers.
type keyEntry struct {
	at  time.Duration // when its first command was queued
	job *job          // the work of that command
}

// NewFleet returns a fleet without backends. The clock is that of all its records; the seed is that of the work of
// each command.
func NewFleet(rules Rules, seed uint64, clock func() time.Duration) *Fleet {
	f := &Fleet{
		rules: rules,
		clock: clock,
		rng:   rand.New(rand.NewPCG(seed, 7)),
		racks: map[int]map[string]*keyEntry{},
		stop:  make(chan struct{}),
	}
	f.wg.Go(f.tick)
	return f
}

// tick advances the machines until the fleet is closed.
func (f *Fleet) tick() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-ticker.C:
		}
		f.mu.Lock()
		now := f.clock()
		for _, b := range f.backends {
			if !b.down {
				b.machine.advance(now)
			}
		}
		f.sweep(now)
		f.mu.Unlock()
	}
}

// Add starts a backend, cold or warm, with an address for each of so many instances, on a loopback host. On a host
// that no other backend ever had, nothing arrives that was sent to one that has ended.
func (f *Fleet) Add(spec Spec, host string, cold bool, instances int) (*Backend, error) {
	instances = max(1, instances)
	b := &Backend{
		Spec:     spec,
		fleet:    f,
		faults:   fault.New(uint64(len(spec.ID))),
		ended:    make(chan struct{}),
		conns:    map[net.Conn]bool{},
		traffic:  make([]Traffic, instances),
		cutUntil: make([]time.Duration, instances),
	}
	for range instances {
		ln, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			for _, l := range b.listeners {
				l.Close()
			}
			return nil, fmt.Errorf("node stand-in: %w", err)
		}
		b.listeners = append(b.listeners, ln)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	b.machine = machine{Spec: spec, rules: &f.rules, now: now, cold: cold, startedAt: now}
	f.backends = append(f.backends, b)
	for i, ln := range b.listeners {
		f.wg.Go(func() { b.accept(i, ln) })
	}
	return b, nil
}

// Backends returns all backends that were added, also those that have ended.
func (f *Fleet) Backends() []*Backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.backends)
}

// Close ends all backends.
func (f *Fleet) Close() {
	for _, b := range f.Backends() {
		b.Stop()
	}
	f.stopOnce.Do(func() { close(f.stop) })
	f.wg.Wait()
}

// sweep forgets the keys that no rack remembers any more, once in KeyMemory.
func (f *Fleet) sweep(now time.Duration) {
	if now-f.sweptAt < max(f.rules.KeyMemory, time.Second) {
		return
	}
	f.sweptAt = now
	for _, rack := range f.racks {
		for key, entry := range rack {
			if now-entry.at >= f.rules.KeyMemory {
				delete(rack, key)
			}
		}
	}
	for _, b := range f.backends {
		for len(b.completions) > 0 && now-b.completions[0] > 2*time.Second {
			b.completions = b.completions[1:]
		}
	}
}
