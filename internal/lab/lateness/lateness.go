// Package lateness measures how late this process itself is run: what its observers record can be no better than that. In: a
// clock. Out: the spans in which a goroutine that wanted to run did not. It knows no ingress and no rule.
package lateness

import (
	"slices"
	"sync"
	"time"

	"hitchspring/internal/rulecheck"
)

const (
	wakeInterval = 2 * time.Millisecond
	minDelay     = 20 * time.Millisecond // of lateness
	maxDelays    = 1000
)

// Meter records lateness until Close.
type Meter struct {
	clock func() time.Duration
	stop  chan struct{}
	wg    sync.WaitGroup

	mu     sync.Mutex
	delays []rulecheck.ObserverDelay
}

// Start begins to measure by a clock.
func Start(clock func() time.Duration) *Meter {
	m := &Meter{clock: clock, stop: make(chan struct{})}
	m.wg.Go(m.run)
	return m
}

func (m *Meter) run() {
	ticker := time.NewTicker(wakeInterval)
	defer ticker.Stop()
	for last := m.clock(); ; {
		select {
		case <-m.stop:
			return
		case <-ticker.C:
		}
		now := m.clock()
		if by := now - last - wakeInterval; by > minDelay {
			m.add(rulecheck.ObserverDelay{At: now - by, Delay: by})
		}
		last = now
	}
}

func (m *Meter) add(span rulecheck.ObserverDelay) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.delays) < maxDelays {
		m.delays = append(m.delays, span)
	}
}

// Late is what has been recorded so far.
func (m *Meter) Delays() []rulecheck.ObserverDelay {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.delays)
}

// Close ends the measurement.
func (m *Meter) Close() {
	close(m.stop)
	m.wg.Wait()
}
