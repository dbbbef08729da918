// Package guard holds the invariants of an ingress: what must never happen, whatever order of events arises. Monitor
// counts and logs their violations while the program runs, and Send.Check is the last check before an attempt is
// written: from what is known of the request and its attempts it returns the invariant that the attempt would violate,
// or None. The package decides nothing that the policy module decides; it only prevents what no decision may do.
package guard

import (
	"log/slog"
	"sync/atomic"
)

// Invariant names something that must never happen.
type Invariant uint8

// The invariants. Those up to TwoAttemptsOut are checked before an attempt is written; one that violates them is not.
const (
	None                Invariant = iota // no violation
	SendAfterEnd                         // an attempt of a request that has its final answer
	SendAfterDeadline                    // an attempt of a request whose deadline has passed
	SendToDrained                        // an attempt at a backend that is not running by the endpoint list
	RepeatOfUnsafe                       // a retry of a non-idempotent request, after an attempt that may have run
	RepeatElsewhere                      // a retry with an idempotency key outside the group that drops duplicates
	RepeatAfterWindow                    // a retry with an idempotency key that its group may have forgotten
	TwoAttemptsInFlight                  // a second attempt in flight of a request that may have one
	AnsweredTwice                        // a second final answer
	AnsweredLate                         // a final answer later than half a second after the request's deadline
	RejectedThoughRun                    // a rejection, which calls a retry harmless, though an attempt may have run
	ClosedUnanswered                     // this process closed a client's connection on a request without an answer
	OpenAtExit                           // a request without an answer when the process has ended its work
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

// maxLogged is how many violations of one invariant are logged; all are counted.
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
