// Package lease records the attempts that callers send themselves: which
// request was granted which backend, under which lease and until when, and what
// was reported of it. It takes in requests, grants, decisions and reports, with
// the time and the lease's name as arguments, and returns what to answer and
// which leases have expired. It does no I/O, draws no random numbers, decides
// neither on backends nor on quotas, and knows nothing of HTTP.
package lease

import (
	"errors"
	"time"
)

// State is the state of a request.
type State uint8

// The states. Open is followed by Granted or a final state, and Granted by a
// final state, or by Open if its attempt has failed and a retry is allowed.
const (
	Open     State = iota // there is no decision on its next attempt
	Granted               // a lease is outstanding
	Rejected              // final: a retry is harmless
	Failed                // final: promises nothing
	Served                // final: reported as served
	Unsent                // final: reported as never sent
	Expired               // final: its lease has expired; it may have run
)

// stateNames are the names of the states in answers.
var stateNames = [...]string{"open", "granted", "refused", "failed", "served", "unsent", "lapsed"}

// String returns the state's name in answers.
func (s State) String() string { return stateNames[s] }

// Final reports whether the state never changes again.
func (s State) Final() bool { return s >= Rejected }

// Outcome is what is reported of an attempt.
type Outcome uint8

// The outcomes.
const (
	OutcomeServed   Outcome = iota + 1 // the backend has answered
	OutcomeRejected                    // the backend has rejected it: it never ran
	OutcomeFailed                      // anything else: it may have run
	OutcomeUnsent                      // it was never sent
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

// ParseOutcome returns the outcome of a name in a report, and false if there is
// none of that name.
func ParseOutcome(name string) (Outcome, bool) {
	for _, outcome := range []Outcome{OutcomeServed, OutcomeRejected, OutcomeFailed, OutcomeUnsent} {
		if outcome.String() == name {
			return outcome, true
		}
	}
	return 0, false
}

// Errors of requests and reports. Their texts are sent to callers.
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
	// Node is the backend's id, Addr its host and port.
	Backend string
	Address string
	// Attempt is the number of the request's attempt.
	Attempt int
	// StartBy is when the attempt must have been sent at the latest.
	StartBy time.Duration
	// ExpiresAt is when the outcome must have been reported at the latest.
	ExpiresAt time.Duration
	outcome   Outcome // 0: none was reported
	expired   bool
}

// Request is a request, with the leases that it was granted.
type Request struct {
	ID string
	// Fingerprint identifies what was requested under the ID.
	Fingerprint uint64
	State       State
	// Lease is the last lease; nil: none was granted.
	Lease *Lease
	// RetryAfter is set in Rejected.
	RetryAfter time.Duration
	leases     []*Lease
	// retainedUntil is when it is forgotten, unless a lease is outstanding.
	retainedUntil time.Duration
	// dueAt is when its lease expires or it is forgotten, heapIndex its place
	// in the registry's expiryQueue.
	dueAt     time.Duration
	heapIndex int
}

// leaseNamed returns the lease of a name.
func (r *Request) leaseNamed(name string) *Lease {
	for _, lease := range r.leases {
		if lease.Name == name {
			return lease
		}
	}
	return nil
}

// mayHaveRun reports whether an attempt has failed.
func (r *Request) mayHaveRun() bool {
	for _, lease := range r.leases {
		if lease.outcome == OutcomeFailed {
			return true
		}
	}
	return false
}

// applyOutcome sets the state that follows from the outcome of the last lease.
// That an attempt was not sent makes a retry harmless only if no earlier one
// may have run.
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
