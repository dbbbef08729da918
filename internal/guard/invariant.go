// Package guard holds what must never happen in an ingress, whatever crosses: the invariants, which are counted and logged while the
// program runs, and the last check before an attempt is written. In: what is known of a request and its attempts. Out: the invariant that a step
// would break, or none. It decides nothing that the decision module decides: it says no to what no decision may do.
package guard

import (
	"log/slog"
	"sync/atomic"
)

// Invariant is something that must never happen.
type Invariant uint8

// The invariants. The first group is checked before an attempt is written, which is then held back.
const (
	None              Invariant = iota
	SendAfterEnd                // of a request that has its final answer
	SendAfterDeadline           // of a request whose client waits no longer
	SendToDrained               // to a backend that does not serve by the list
	RepeatOfUnsafe              // of a request that may not be repeated, after an attempt that may have run
	RepeatElsewhere             // of a keyed request, outside the group that drops its repeats
	RepeatAfterWindow           // of a keyed request, when its group may have forgotten it
	TwoAttemptsOut              // of a request that may have one
	AnsweredTwice               // a second final answer
	AnsweredLate                // a final answer later than half a second after its client's time
	RefusedThoughRun            // a refusal, which says that trying again is harmless, after an attempt that may have run
	ClosedUnanswered            // this process closed a client's connection under a request without an answer
	OpenAtExit                  // a request without an answer when the process has ended its work
	invariants
)

var invariantNames = [invariants]string{
	"none", "send_after_end", "send_after_deadline", "send_to_drained", "repeat_of_unsafe", "repeat_elsewhere", "repeat_after_window",
	"two_attempts_out", "answered_twice", "answered_late", "refused_though_run", "closed_unanswered", "open_at_exit",
}

// Invariants are all of them, in their order.
func Invariants() []Invariant {
	all := make([]Invariant, 0, invariants-1)
	for i := None + 1; i < invariants; i++ {
		all = append(all, i)
	}
	return all
}

// String is the invariant's name, the same in log, figures and tests.
func (i Invariant) String() string { return invariantNames[min(i, invariants-1)] }

// mostLogged is how many violations of one invariant are logged; all are counted.
const mostLogged = 20

// Monitor counts violations and logs the first ones. It is safe for many goroutines, and a nil one does nothing.
type Monitor struct {
	log    *slog.Logger
	counts [invariants]atomic.Int64
}

// NewMonitor returns a monitor that logs to log.
func NewMonitor(log *slog.Logger) *Monitor { return &Monitor{log: log} }

// Violated counts a violation, and logs it with what names its request, attempt, backend or connection.
func (m *Monitor) Violated(what Invariant, attrs ...any) {
	if m == nil || what == None {
		return
	}
	if m.counts[what].Add(1) <= mostLogged {
		m.log.Error("invariant violated", append([]any{"invariant", what.String()}, attrs...)...)
	}
}

// Count is how often an invariant was violated.
func (m *Monitor) Count(what Invariant) int64 {
	if m == nil {
		return 0
	}
	return m.counts[what].Load()
}
