package cputime

import (
	"math"
	"time"
)

// Account is the use of processor time by one connection. Only one goroutine may use it.
type Account struct {
	scheduler *Scheduler
	active    bool          // a turn has begun and not ended
	prepaid   bool          // quantum was charged for the turn when it began
	began     time.Duration // of the turn, since the scheduler's start
	added     time.Duration // cost of the turn, or of the next one, beyond what is measured
	meanTurn  time.Duration // moving average of the costs of turns
	recentUse float64       // cost of the recent turns at usedAt, in nanoseconds, decaying
	usedAt    time.Duration // end of the last turn, since the scheduler's start
}

// NewAccount returns the account of a connection that has used no time yet.
func (s *Scheduler) NewAccount() *Account { return &Account{scheduler: s} }

// Begin begins a turn, unless one has begun already. It waits while all accounts together have used too much time, and
// reports whether it did.
func (a *Account) Begin() (waited bool) {
	if a.active {
		return false
	}
	s := a.scheduler
	now := time.Since(s.start)
	if s.overdrawn(now) > 0 {
		s.wait(now, a.demand(now))
		now = time.Since(s.start)
		waited = true
	}
	a.active, a.prepaid, a.began = true, waited, now
	return waited
}

// demand returns the larger of the account's usual turn and its recent use. Accounts with a heavy one wait for others.
func (a *Account) demand(now time.Duration) time.Duration {
	return max(a.meanTurn, time.Duration(a.decayedUse(now))+a.added)
}

// decayedUse returns what is left of the recent use at a time since the scheduler's start, in nanoseconds.
func (a *Account) decayedUse(now time.Duration) float64 {
	return a.recentUse * math.Exp(-float64(now-a.usedAt)/float64(recentPeriod))
}

// Add adds a cost to the present turn, or else to the next one, beyond the time that passes in it.
func (a *Account) Add(cost time.Duration) { a.added += cost }

// Overdrawn reports whether a turn that began now would have to wait.
func (a *Account) Overdrawn() bool { return a.scheduler.overdrawn(time.Since(a.scheduler.start)) > 0 }

// MayReadOn reports whether the present turn had to wait, as the next one probably has to, and was light so far. It is
// worth the while then to go on with it.
func (a *Account) MayReadOn() bool {
	return a.active && a.prepaid && time.Since(a.scheduler.start)-a.began+a.added < lightDemand
}

// EndIfExpired ends the present turn if it has used its quantum.
func (a *Account) EndIfExpired() {
	if a.active && time.Since(a.scheduler.start)-a.began+a.added >= quantum {
		a.End()
	}
}

// End ends the present turn, if there is one, and charges for it. It must be called before the goroutine blocks.
func (a *Account) End() {
	if !a.active {
		return
	}
	s := a.scheduler
	now := time.Since(s.start)
	cost := min(now-a.began+a.added, maxTurnCost)
	a.meanTurn += time.Duration(meanTurnWeight * float64(cost-a.meanTurn))
	a.recentUse, a.usedAt = a.decayedUse(now)+float64(cost), now
	a.active, a.added = false, 0
	if a.prepaid && cost < quantum {
		s.refund(quantum - cost)
		s.grant()
		return
	}
	if a.prepaid {
		cost -= quantum
	}
	s.charge(now, cost)
}
