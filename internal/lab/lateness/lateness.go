// Package lateness measures how late this process itself is scheduled, because what its observers record can be no more
// precise than that. Its input is a clock. Its output is the spans in which a goroutine that was ready did not run. It
// knows no ingress and no rule.
package lateness

import (
	"slices"
	"sync"
	"time"

	"hitchspring/internal/rulecheck"
)

const (
	wakeInterval = 2 * time.Millisecond
	// minDelay is the longest delay that is not recorded.
	minDelay = 20 * time.Millisecond
	// maxDelays bounds the record.
	maxDelays = 1000
)

// Meter records delays in one goroutine, from Start until Close.
type Meter struct {
	clock func() time.Duration
	stop  chan struct{} // closed by Close
	wg    sync.WaitGroup

	mu     sync.Mutex // guards delays
	delays []rulecheck.ObserverDelay
}

// Start starts a meter that reads the time from clock.
func Start(clock func() time.Duration) *Meter {
	m := &Meter{clock: clock, stop: make(chan struct{})}
	m.wg.Go(m.run)
	return m
}

// run wakes at an interval and records by how much it woke too late.
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
		if delay := now - last - wakeInterval; delay > minDelay {
			m.add(rulecheck.ObserverDelay{At: now - delay, Delay: delay})
		}
		last = now
	}
}

// add records a delay unless the record is full.
func (m *Meter) add(delay rulecheck.ObserverDelay) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.delays) < maxDelays {
		m.delays = append(m.delays, delay)
	}
}

// Delays returns what has been recorded so far.
func (m *Meter) Delays() []rulecheck.ObserverDelay {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.delays)
}

// Close ends the measurement. It is called once.
func (m *Meter) Close() {
	close(m.stop)
	m.wg.Wait()
}
