// Package cputime shares processor time among many connections, so that no client can use up the time that the rest of
// the process needs. A goroutine that works for a connection does so in turns, whose cost it measures. As long as all
// connections together use little time, a turn begins at once and takes no lock. Else it waits: the turns of all
// connections then get a fixed share of the processor, and connections whose turns are short and few go first.
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
	// maxDebt bounds for how long turns have to wait for what was used before.
	maxDebt = 20 * time.Millisecond
	// maxGrantInterval is the longest time between two turns while any wait, whatever else uses the processor.
	maxGrantInterval = 5 * time.Millisecond
	// lightDemand is the demand up to which accounts take their turns in FIFO order.
	lightDemand = 100 * time.Microsecond
	// lightTurnsInARow is how many turns of accounts with a light demand may begin in a row while others wait. An
	// account with a heavy turn now and then would else wait behind ever new ones, which have used nothing yet.
	lightTurnsInARow = 5
	// delayPerDemand is by how much an account with a heavy demand takes its turns later than others with one, per
	// demand beyond the light one.
	delayPerDemand = 2000
	// maxDelayRounds bounds that delay, in rounds: the time in which each waiting account gets a turn.
	maxDelayRounds = 1.5
	// grantIntervalWeight is the weight of one interval in the moving average of those between two waiting turns.
	grantIntervalWeight = 0.05
	// meanTurnWeight is the weight of one turn in an account's moving average of costs.
	meanTurnWeight = 0.25
	// recentPeriod is the time in which an account's recent use decays to 1/e.
	recentPeriod = 100 * time.Millisecond
)

// Scheduler decides when turns may begin. Its methods are safe for concurrent use.
type Scheduler struct {
	spread    float64       // elapsed time per processor time used
	tolerance time.Duration // how far paidAt may be ahead of the present
	start     time.Time

	paidAt  atomic.Int64 // nanoseconds after start at which the share covers all time used so far
	stopped atomic.Bool  // turns begin at once

	mu        sync.Mutex    // guards the fields below
	light     turnQueue     // waiting turns of accounts with a light demand
	heavy     turnQueue     // those of the others
	lightRun  int           // turns of light that have begun in a row
	grantedAt time.Duration // when the last waiting turn began, or when the first one began to wait, since start
	interval  time.Duration // moving average of the time between two waiting turns
	timer     *time.Timer   // calls wake; nil before the first wait
	wakeAt    time.Duration // when the timer is due, since start
}

// NewScheduler returns a scheduler for a process that uses so many cores.
func NewScheduler(cores int) *Scheduler {
	spread := 1 / (shareOfCore * float64(cores))
	return &Scheduler{
		spread:    spread,
		tolerance: time.Duration(float64(burst) / shareOfCore),
		interval:  time.Duration(spread * float64(quantum)),
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
	s.postpone(now, time.Duration(s.spread*float64(cost)))
}

// postpone moves paidAt, from now on at least, by a duration. If that is positive, the debt stays within maxDebt.
func (s *Scheduler) postpone(now, by time.Duration) {
	for {
		before := s.paidAt.Load()
		after := min(max(before, int64(now))+int64(by), max(before, int64(now+s.tolerance+maxDebt)))
		if s.paidAt.CompareAndSwap(before, after) {
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

// wait waits until a turn of an account with the given demand may begin. quantum has been charged for it then.
func (s *Scheduler) wait(now, demand time.Duration) {
	turn := &waitingTurn{ready: make(chan struct{})}
	s.mu.Lock()
	if s.waitingTurns() == 0 {
		s.grantedAt = now
	}
	turn.order = now
	if demand <= lightDemand {
		heap.Push(&s.light, turn)
	} else {
		round := time.Duration(s.waitingTurns()+1) * s.interval
		turn.order += min(delayPerDemand*(demand-lightDemand), time.Duration(maxDelayRounds*float64(round)))
		heap.Push(&s.heavy, turn)
	}
	s.grantLocked()
	s.mu.Unlock()
	<-turn.ready
}

// grant lets waiting turns begin, as far as there is time for them, and arranges for wake to grant the rest.
func (s *Scheduler) grant() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grantLocked()
}

func (s *Scheduler) grantLocked() {
	for s.waitingTurns() > 0 {
		now := time.Since(s.start)
		limit := s.grantedAt + maxGrantInterval
		if wait := s.overdrawn(now); wait > 0 && now < limit {
			s.wakeAfter(now, min(wait, limit-now))
			return
		}
		s.grantNext(now)
	}
}

// grantNext lets the first waiting turn begin. The caller must hold s.mu.
func (s *Scheduler) grantNext(now time.Duration) {
	s.charge(now, quantum)
	turn := s.popNext()
	close(turn.ready)
	s.interval += time.Duration(grantIntervalWeight * float64(now-s.grantedAt-s.interval))
	s.grantedAt = now
}

// waitingTurns returns the number of waiting turns. The caller must hold s.mu.
func (s *Scheduler) waitingTurns() int { return len(s.light) + len(s.heavy) }

// popNext removes and returns the waiting turn that is to begin next: a light one, unless a heavy one has waited for
// lightTurnsInARow of them. The caller must hold s.mu.
func (s *Scheduler) popNext() *waitingTurn {
	queue := &s.light
	s.lightRun++
	if len(s.light) == 0 || len(s.heavy) > 0 && s.lightRun > lightTurnsInARow {
		queue = &s.heavy
		s.lightRun = 0
	}
	return heap.Pop(queue).(*waitingTurn)
}

// wakeAfter arranges for a call of wake. The caller must hold s.mu.
func (s *Scheduler) wakeAfter(now, wait time.Duration) {
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
	defer s.mu.Unlock()
	now := time.Since(s.start)
	if late := now - s.wakeAt; late > timerGranularity {
		s.postpone(now, late)
	}
	s.grantLocked()
}
