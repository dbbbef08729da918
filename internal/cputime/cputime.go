// Package cputime shares processor time among many connections, so that no client can use up the time that the rest of
// the process needs. A goroutine that works for a connection does so in turns, whose cost it measures. As long as all
// connections together use little time, a turn begins at once and takes no lock. Else it waits: the turns of all
// connections then get a fixed share of the processor, and the connection whose turns are short goes first.
//
// What a turn does is up to the caller, and its cost doesn't depend on whether the input is valid. The package does no
// I/O and starts no goroutines.
package cputime

import (
	"container/heap"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// shareOfCore is the part of each core that all turns together may use continuously.
	shareOfCore = 0.5
	// burst is the processor time on one core that may be used in addition to the share before turns have to wait.
	burst = 5 * time.Millisecond
	// quantum is the processor time after which a turn should end, if others wait.
	quantum = 500 * time.Microsecond
	// maxTurnCost bounds the measured cost of one turn, which is elapsed time: the process may have been suspended.
	maxTurnCost = 5 * time.Millisecond
	// timerGranularity is how late a timer may fire although the processor is free.
	timerGranularity = 2 * time.Millisecond
	// maxLateness bounds by how much a timer that fires late prolongs the waits of turns.
	maxLateness = 20 * time.Millisecond
	// waitDiscount reduces the cost by which waiting turns are ordered, per time that they have waited. It bounds the
	// wait of long turns behind short ones.
	waitDiscount = 0.0002
	// meanTurnWeight is the weight of one turn in an account's moving average of costs.
	meanTurnWeight = 0.25
)

// Scheduler decides when turns may begin. Its methods are safe for concurrent use.
type Scheduler struct {
	spread    float64       // elapsed time per processor time used
	tolerance time.Duration // how far paidAt may be ahead of the present
	start     time.Time

	paidAt  atomic.Int64 // nanoseconds after start at which the share covers all time used so far
	stopped atomic.Bool  // turns begin at once

	mu      sync.Mutex // guards the fields below
	waiting turnQueue
	timer   *time.Timer   // calls wake; nil before the first wait
	wakeAt  time.Duration // when the timer is due, since start
}

// NewScheduler returns a scheduler for a process that uses so many cores.
func NewScheduler(cores int) *Scheduler {
	return &Scheduler{
		spread:    1 / (shareOfCore * float64(cores)),
		tolerance: time.Duration(float64(burst) / shareOfCore),
		start:     time.Now(),
	}
}

// Stop ends all waits and lets later turns begin at once. It is called when the connections are about to be closed.
func (s *Scheduler) Stop() {
	s.stopped.Store(true)
	s.grant()
}

// Charge adds processor time that was used outside of turns on behalf of connections. It does nothing if s is nil.
func (s *Scheduler) Charge(cost time.Duration) {
	if s != nil {
		s.charge(time.Since(s.start), min(cost, maxTurnCost))
	}
}

// charge adds processor time at a time since start.
func (s *Scheduler) charge(now, cost time.Duration) {
	owed := int64(s.spread * float64(cost))
	for {
		paidAt := s.paidAt.Load()
		if s.paidAt.CompareAndSwap(paidAt, max(paidAt, int64(now))+owed) {
			return
		}
	}
}

// refund takes back a part of what was charged before.
func (s *Scheduler) refund(cost time.Duration) { s.paidAt.Add(-int64(s.spread * float64(cost))) }

// overdrawn returns for how long turns have to wait at a time since start; 0 or less if they need not.
func (s *Scheduler) overdrawn(now time.Duration) time.Duration {
	if s.stopped.Load() {
		return 0
	}
	return time.Duration(s.paidAt.Load()) - now - s.tolerance
}

// wait waits until a turn may begin whose cost is expected to be as given. quantum has been charged for it then.
func (s *Scheduler) wait(now, expectedCost time.Duration) {
	turn := &waitingTurn{
		order: float64(expectedCost) + waitDiscount*float64(now),
		ready: make(chan struct{}),
	}
	s.mu.Lock()
	heap.Push(&s.waiting, turn)
	s.mu.Unlock()
	s.grant()
	<-turn.ready
}

// grant lets waiting turns begin, as far as there is time for them, and arranges to be called again for the rest.
func (s *Scheduler) grant() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.waiting) > 0 {
		now := time.Since(s.start)
		if wait := s.overdrawn(now); wait > 0 {
			s.grantAt(now, wait)
			return
		}
		s.charge(now, quantum)
		turn := heap.Pop(&s.waiting).(*waitingTurn)
		close(turn.ready)
	}
}

// grantAt arranges for a call of wake. The caller must hold s.mu.
func (s *Scheduler) grantAt(now, wait time.Duration) {
	s.wakeAt = now + wait
	if s.timer == nil {
		s.timer = time.AfterFunc(wait, s.wake)
		return
	}
	s.timer.Reset(wait)
}

// wake is called by the timer. If it is late, the process has had no processor, and that time pays for nothing.
func (s *Scheduler) wake() {
	s.mu.Lock()
	late := time.Since(s.start) - s.wakeAt
	s.mu.Unlock()
	if late > timerGranularity {
		s.paidAt.Add(int64(min(late, maxLateness)))
	}
	s.grant()
}
