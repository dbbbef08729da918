// Package lease keeps a registry of the attempts that callers send themselves:
// the backend that each request was granted, the lease and its expiry, and the
// reported outcome. The caller of the package passes in requests, grants,
// decisions and reports, each with the current time, and gets back the state of
// a request and the leases that have expired. The package does no I/O, uses no
// clock and no random numbers, chooses no backends, enforces no quotas, and is
// independent of HTTP.
package lease

import (
	"errors"
	"time"
)

// State is the state of a request.
type State uint8

// The states. Open is followed by Granted or a final state. Granted is followed
// by a final state, or by Open again after a failed or rejected attempt.
const (
	Open     State = iota // the next attempt is not decided yet
	Granted               // a lease is outstanding
	Rejected              // final: no attempt ran, so a retry is safe
	Failed                // final: an attempt may have run
	Served                // final: reported as served
	Unsent                // final: reported as never sent
	Expired               // final: its lease expired without a report, and the attempt may have run
)

// stateNames are the names of the states in replies to callers.
var stateNames = [...]string{"open", "granted", "refused", "failed", "served", "unsent", "lapsed"}

// String returns the state's name in replies to callers.
func (s State) String() string { return stateNames[s] }

// Final reports whether the state can't change any more.
func (s State) Final() bool { return s >= Rejected }

// Outcome is the reported outcome of an attempt.
type Outcome uint8

// The outcomes.
const (
	OutcomeServed   Outcome = iota + 1 // the backend has answered
	OutcomeRejected                    // the backend has rejected the attempt, which never ran
	OutcomeFailed                      // any other result: the attempt may have run
	OutcomeUnsent                      // the attempt was never sent
)

// String returns the outcome's name in reports.
func (o Outcome) String() string {
	switch o {
	case OutcomeServed:
		return "served"
	case OutcomeRejected:
		return "refused"
	case OutcomeFailed:
		return "failed"
	case OutcomeUnsent:
		return "unsent"
	}
	return "unknown"
}

// ParseOutcome returns the outcome with a name, and false if there is none.
func ParseOutcome(name string) (Outcome, bool) {
	for _, outcome := range []Outcome{OutcomeServed, OutcomeRejected, OutcomeFailed, OutcomeUnsent} {
		if outcome.String() == name {
			return outcome, true
		}
	}
	return 0, false
}

// Errors of requests and reports. Callers receive their texts.
var (
	ErrFull     = errors.New("too many requests are open")
	ErrMismatch = errors.New("a request of this id was asked with other particulars")
	ErrUnknown  = errors.New("no such lease, or it is long over")
	ErrLate     = errors.New("the lease had run out before the report: the attempt counts as one that may have run")
	ErrConflict = errors.New("another outcome was reported before, and stands")
)

// Lease is one granted attempt.
type Lease struct {
	// Name identifies the lease in reports. It can't be guessed.
	Name string
	// Backend is the backend's id, Address its host and port.
	Backend string
	Address string
	// Attempt is the number of the attempt within the request.
	Attempt int
	// StartBy is the latest time at which the attempt may be sent.
	StartBy time.Duration
	// ExpiresAt is the latest time at which the outcome may be reported.
	ExpiresAt time.Duration
	outcome   Outcome // 0: none was reported
	expired   bool
}

// Request is a request, with the leases that it was granted.
type Request struct {
	ID string
	// Fingerprint identifies the content that was requested under the ID.
	Fingerprint uint64
	State       State
	// Lease is the last lease; nil: none was granted.
	Lease *Lease
	// RetryAfter is set in state Rejected.
	RetryAfter time.Duration
	leases     []*Lease
	// retainedUntil is when the request is removed, unless a lease is outstanding.
	retainedUntil time.Duration
	// dueAt is when the lease expires or the request is removed, and heapIndex
	// the request's index in the registry's expiryQueue.
	dueAt     time.Duration
	heapIndex int
}

// leaseNamed returns the lease with a name, or nil if there is none.
func (r *Request) leaseNamed(name string) *Lease {
	for _, lease := range r.leases {
		if lease.Name == name {
			return lease
		}
	}
	return nil
}

// mayHaveRun reports whether an attempt was reported as failed and so may have
// run.
func (r *Request) mayHaveRun() bool {
	for _, lease := range r.leases {
		if lease.outcome == OutcomeFailed {
			return true
		}
	}
	return false
}

// applyOutcome sets the state that follows from the outcome of the last lease.
// An unsent attempt makes a retry safe only if no earlier attempt may have run.
func (r *Request) applyOutcome(outcome Outcome) {
	switch {
	case outcome == OutcomeServed:
		r.State = Served
	case outcome == OutcomeUnsent && r.mayHaveRun():
		r.State = Failed
	case outcome == OutcomeUnsent:
		r.State = Unsent
	default:
		r.State = Open
	}
}
