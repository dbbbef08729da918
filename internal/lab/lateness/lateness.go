// Package lateness measures the scheduling delays of its own process, because they limit the precision of what the
// lab's observers record. It records the times in which a goroutine that was ready to run was not scheduled.
package lateness

import (
	"slices"
	"sync"
	"time"

	"hitchspring/internal/rulecheck"
)

const (
	// wakeInterval is the interval at which the meter wakes up to measure its delay.
	wakeInterval = 2 * time.Millisecond
	// minRecordedDelay is the threshold that a delay must exceed to be recorded.
	minRecordedDelay = 20 * time.Millisecond
	// maxDelays is the maximum number of recorded delays.
	maxDelays = 1000
)

// Meter records scheduling delays of one goroutine, from Start until Close.
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

// run wakes up every wakeInterval and records how late it was.
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
		if delay := now - last - wakeInterval; delay > minRecordedDelay {
			m.add(rulecheck.ObserverDelay{At: now - delay, Delay: delay})
		}
		last = now
	}
}

// add records a delay unless maxDelays is reached.
func (m *Meter) add(delay rulecheck.ObserverDelay) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.delays) < maxDelays {
		m.delays = append(m.delays, delay)
	}
}

// Delays returns the delays recorded so far.
func (m *Meter) Delays() []rulecheck.ObserverDelay {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.delays)
}

// Close stops the meter. It must be called only once.
func (m *Meter) Close() {
	close(m.stop)
	m.wg.Wait()
}
