package guard

import (
	"time"

	"hitchspring/policy"
)

// Attempt is what is known of an attempt that was handed to a connection.
type Attempt struct {
	Zone     string
	Cell     int
	At       time.Duration // when it was decided
	Ended    bool
	NeverRan bool // by its outcome it surely did not run
}

// mayHaveRun reports whether the attempt may have run, or may yet.
func (a Attempt) mayHaveRun() bool { return !a.Ended || !a.NeverRan }

// Send is an attempt that is about to be written, and what is known of its request.
type Send struct {
	Class          policy.Class
	Parallel       bool          // the settings allow two attempts in flight
	Answered       bool          // the request has its final answer
	GiveUpAt       time.Duration // the request's deadline
	BackendRunning bool          // the backend is running, by the endpoint list
	Zone           string        // of the backend
	Cell           int           // of the backend
	Earlier        []Attempt     // of the request, in the order in which they were sent
}

// Check returns the invariant that the attempt would violate if it were written now, or None.
func (s *Send) Check(now time.Duration) Invariant {
	switch {
	case s.Answered:
		return SendAfterEnd
	case now >= s.GiveUpAt:
		return SendAfterDeadline
	case !s.BackendRunning:
		return SendToDrained
	case !s.Parallel && s.hasInFlight():
		return TwoAttemptsInFlight
	}
	for _, earlier := range s.Earlier {
		if earlier.mayHaveRun() { // the group and the time of the first such attempt bind all that follow
			return s.checkRepeat(earlier, now)
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

// checkRepeat checks an attempt whose request may have run already, in the attempt first.
func (s *Send) checkRepeat(first Attempt, now time.Duration) Invariant {
	switch {
	case s.Class.Effect == policy.Safe:
		return None
	case s.Class.Effect != policy.Keyed:
		return RepeatOfUnsafe
	case !s.isInGroupOf(first):
		return RepeatElsewhere
	case now-first.At > s.Class.RepeatWindow:
		return RepeatAfterWindow
	}
	return None
}

// isInGroupOf reports whether the attempt goes to the group that drops duplicates of an earlier one.
func (s *Send) isInGroupOf(earlier Attempt) bool {
	switch s.Class.Group {
	case policy.GroupZone:
		return s.Zone == earlier.Zone
	case policy.GroupCell:
		return s.Cell == earlier.Cell
	default:
		return true
	}
}

// MayReject reports whether a request may be rejected, which lets its client take a retry for harmless.
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
