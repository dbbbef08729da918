// Package guard defines the invariants of an ingress, which must hold for any order of events. Monitor counts and logs
// their violations while the program runs. Send.Check is the last check before an attempt is written: from the state of
// the request and its attempts it returns the invariant that the attempt would violate, or None. The package makes no
// policy decisions; it only prevents what no policy decision may cause.
package guard

import (
	"log/slog"
	"sync/atomic"
)

// Invariant identifies an event that must never happen.
type Invariant uint8

// The invariants. Those up to TwoAttemptsInFlight are checked before an attempt is written. An attempt that would
// violate one of them is not written.
const (
	None                     Invariant = iota // no violation
	SendAfterAnswer                           // an attempt of a request that already has its final answer
	SendAfterDeadline                         // an attempt of a request whose deadline has passed
	SendToNonRunning                          // an attempt at a backend that is not running, by the endpoint list
	RetryOfNonIdempotent                      // a retry of a non-idempotent request, after an attempt that may have run
	RetryOutsideScope                         // a retry with an idempotency key outside the scope that drops duplicates
	RetryAfterScopeExpiry                     // a retry with an idempotency key that its scope may have dropped
	TwoAttemptsInFlight                       // a second attempt in flight of a request that may have only one
	AnsweredTwice                             // a second final answer
	AnsweredLate                              // a final answer later than half a second after the request's deadline
	RejectedAfterPossibleRun                  // rejected as safe to retry, though an attempt may have run
	ClosedUnanswered                          // this process closed a client's connection before answering its request
	UnansweredAtExit                          // a request that is still unanswered when the process exits
	invariantCount
)

var invariantNames = [invariantCount]string{
	"none",
	"send_after_end",
	"send_after_deadline",
	"send_to_drained",
	"repeat_of_unsafe",
	"repeat_elsewhere",
	"repeat_after_window",
	"two_attempts_out",
	"answered_twice",
	"answered_late",
	"refused_though_run",
	"closed_unanswered",
	"open_at_exit",
}

// Invariants returns all invariants except None, in their order.
func Invariants() []Invariant {
	all := make([]Invariant, 0, invariantCount-1)
	for i := None + 1; i < invariantCount; i++ {
		all = append(all, i)
	}
	return all
}

// String returns the invariant's name, the same in logs, metrics and tests.
func (i Invariant) String() string { return invariantNames[min(i, invariantCount-1)] }

// maxLogged is the maximum number of logged violations of one invariant; all are counted.
const maxLogged = 20

// Monitor counts violations and logs the first ones of each invariant. It is safe for concurrent use, and a nil Monitor
// does nothing.
type Monitor struct {
	log    *slog.Logger
	counts [invariantCount]atomic.Int64
}

// NewMonitor returns a monitor that logs to log.
func NewMonitor(log *slog.Logger) *Monitor { return &Monitor{log: log} }

// Violated counts a violation of an invariant, and logs it with attributes that name its request, attempt, backend or
// connection. None is no violation.
func (m *Monitor) Violated(invariant Invariant, attrs ...any) {
	if m == nil || invariant == None {
		return
	}
	if m.counts[invariant].Add(1) <= maxLogged {
		m.log.Error("invariant violated", append([]any{"invariant", invariant.String()}, attrs...)...)
	}
}

// Count returns how often an invariant was violated.
func (m *Monitor) Count(invariant Invariant) int64 {
	if m == nil {
		return 0
	}
	return m.counts[invariant].Load()
}
