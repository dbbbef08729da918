package guard

import (
	"time"

	"hitchspring/policy"
)

// Attempt is the state of an attempt that was passed to a connection.
type Attempt struct {
	Zone     string
	Cell     int
	At       time.Duration // when the policy module decided to send it
	Ended    bool
	NeverRan bool // its outcome proves that it did not run
}

// mayHaveRun reports whether the attempt may have run or may still run.
func (a Attempt) mayHaveRun() bool { return !a.Ended || !a.NeverRan }

// Send is an attempt that is about to be written, with the state of its request.
type Send struct {
	Class          policy.Class
	Parallel       bool          // the settings allow two attempts in flight
	Answered       bool          // the request has its final answer
	GiveUpAt       time.Duration // the request's deadline
	BackendRunning bool          // the backend is running, by the endpoint list
	Zone           string        // of the backend
	Cell           int           // of the backend
	Earlier        []Attempt     // earlier attempts of the request, in the order in which they were sent
}

// Check returns the invariant that the attempt would violate if it were written now, or None.
func (s *Send) Check(now time.Duration) Invariant {
	switch {
	case s.Answered:
		return SendAfterAnswer
	case now >= s.GiveUpAt:
		return SendAfterDeadline
	case !s.BackendRunning:
		return SendToNonRunning
	case !s.Parallel && s.hasInFlight():
		return TwoAttemptsInFlight
	}
	for _, earlier := range s.Earlier {
		if earlier.mayHaveRun() { // the scope and time of the first one apply to all retries
			return s.checkRetry(earlier, now)
		}
	}
	return None
}

// hasInFlight reports whether an earlier attempt has not ended.
func (s *Send) hasInFlight() bool {
	for _, earlier := range s.Earlier {
		if !earlier.Ended {
			return true
		}
	}
	return false
}

// checkRetry checks an attempt of a request that may have run already. first is the earliest attempt that may have run.
func (s *Send) checkRetry(first Attempt, now time.Duration) Invariant {
	switch {
	case s.Class.Effect == policy.Safe:
		return None
	case s.Class.Effect != policy.Keyed:
		return RetryOfNonIdempotent
	case !s.isInScopeOf(first):
		return RetryOutsideScope
	case now-first.At > s.Class.RepeatWindow:
		return RetryAfterScopeExpiry
	}
	return None
}

// isInScopeOf reports whether the attempt goes to the idempotency scope of an earlier one, which drops its duplicates.
func (s *Send) isInScopeOf(earlier Attempt) bool {
	switch s.Class.Group {
	case policy.GroupZone:
		return s.Zone == earlier.Zone
	case policy.GroupCell:
		return s.Cell == earlier.Cell
	default:
		return true
	}
}

// MayReject reports whether a request may be rejected, which tells its client that a retry is safe.
func MayReject(class policy.Class, attempts []Attempt) bool {
	if class.Effect == policy.Safe || class.Effect == policy.Keyed && class.Group == policy.GroupAll {
		return true
	}
	for _, attempt := range attempts {
		if attempt.mayHaveRun() {
			return false
		}
	}
	return true
}
