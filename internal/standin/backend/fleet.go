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
	reportInterval = 300 * time.Millisecond // how often the load report is updated
	tickInterval   = time.Millisecond       // how often the machine models are advanced
)

// Fleet is a group of backends that share racks, a clock and the records. It runs one goroutine that advances the
// machine models, one per listener, one per connection, and one per reply that a fault repeats late. Close stops them
// all and waits for them.
type Fleet struct {
	rules      Rules
	clock      func() time.Duration
	stop       chan struct{} // closed by Close
	stopOnce   sync.Once
	wg         sync.WaitGroup
	lastConnID atomic.Uint64

	mu             sync.Mutex // guards the fields below, and the backends' fields
	rng            *rand.Rand
	backends       []*Backend
	racks          map[int]map[string]*keyEntry // recent idempotency keys, by rack and key
	sweptAt        time.Duration
	records        []Record
	droppedRecords int // commands not recorded because the records were full
}

// keyEntry is the first command of an idempotency key in a rack.
type keyEntry struct {
	at  time.Duration // when the command was queued
	job *job          // the command's work
}

// NewFleet returns a fleet without backends. The clock provides the times of all records; the seed determines the work
// of each command.
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

// tick advances the machine models until the fleet is closed.
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
			if !b.stopped {
				b.machine.advance(now)
			}
		}
		f.sweep(now)
		f.mu.Unlock()
	}
}

// Add starts a backend on a loopback host, with one listener for each instance. If slowStart is set, it begins in slow
// start. A host that no other backend has used ensures that it receives no requests meant for a stopped backend.
func (f *Fleet) Add(spec Spec, host string, slowStart bool, instances int) (*Backend, error) {
	instances = max(1, instances)
	b := &Backend{
		Spec:             spec,
		fleet:            f,
		faults:           fault.New(uint64(len(spec.ID))),
		stopSignal:       make(chan struct{}),
		conns:            map[net.Conn]bool{},
		traffic:          make([]Traffic, instances),
		partitionedUntil: make([]time.Duration, instances),
	}
	for range instances {
		ln, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			for _, l := range b.listeners {
				l.Close()
			}
			return nil, fmt.Errorf("backend stand-in: %w", err)
		}
		b.listeners = append(b.listeners, ln)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock()
	b.machine = machine{Spec: spec, rules: &f.rules, now: now, slowStart: slowStart, startedAt: now}
	f.backends = append(f.backends, b)
	for i, ln := range b.listeners {
		f.wg.Go(func() { b.accept(i, ln) })
	}
	return b, nil
}

// Backends returns all backends that were added, including stopped ones.
func (f *Fleet) Backends() []*Backend {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.backends)
}

// Close stops all backends and waits for the fleet's goroutines.
func (f *Fleet) Close() {
	for _, b := range f.Backends() {
		b.Stop()
	}
	f.stopOnce.Do(func() { close(f.stop) })
	f.wg.Wait()
}

// sweep removes expired idempotency keys and old completions, once every KeyRetention and at most once a second.
func (f *Fleet) sweep(now time.Duration) {
	if now-f.sweptAt < max(f.rules.KeyRetention, time.Second) {
		return
	}
	f.sweptAt = now
	for _, rack := range f.racks {
		for key, entry := range rack {
			if now-entry.at >= f.rules.KeyRetention {
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
