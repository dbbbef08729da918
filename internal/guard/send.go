package guard

import (
	"time"

	"hitchspring/policy"
)

// Attempt is what is known of an attempt that was handed to a connection.
type Attempt struct {
	Zone     string
	Cell     int
	At       time.Duration // when it was decided on
	Ended    bool
	NeverRan bool // surely
}

// mayHaveRun reports whether the attempt may have run, or may yet.
func (a Attempt) mayHaveRun() bool { return !a.Ended || !a.NeverRan }

// Send is an attempt that is about to be written, and the request that it is of.
type Send struct {
	Class    policy.Class
	Parallel bool // the settings allow two attempts out
	Answered bool // the request has its final answer
	GiveUpAt time.Duration
	Serves   bool // the backend, by the list
	Zone     string
	Cell     int
	Earlier  []Attempt // of the request
}

// Check returns the invariant that the attempt would break if it were written now; None: it may go.
func (s *Send) Check(now time.Duration) Invariant {
	switch {
	case s.Answered:
		return SendAfterEnd
	case now >= s.GiveUpAt:
		return SendAfterDeadline
	case !s.Serves:
		return SendToDrained
	}
	for _, a := range s.Earlier {
		if !s.Parallel && !a.Ended {
			return TwoAttemptsOut
		}
	}
	for _, a := range s.Earlier {
		if a.mayHaveRun() { // the first such: its group and its time bind all that follow
			return s.repeat(a, now)
		}
	}
	return None
}

// repeat checks an attempt after one that may have run.
func (s *Send) repeat(first Attempt, now time.Duration) Invariant {
	switch {
	case s.Class.Effect == policy.Safe:
		return None
	case s.Class.Effect != policy.Keyed:
		return RepeatOfUnsafe
	case s.Class.Group == policy.GroupZone && s.Zone != first.Zone, s.Class.Group == policy.GroupCell && s.Cell != first.Cell:
		return RepeatElsewhere
	case now-first.At > s.Class.RepeatWindow:
		return RepeatAfterWindow
	}
	return None
}

// MayRefuse reports whether a request may be refused: trying again is harmless.
func MayRefuse(class policy.Class, attempts []Attempt) bool {
	if class.Effect == policy.Safe || class.Effect == policy.Keyed && class.Group == policy.GroupAll {
		return true
	}
	for _, a := range attempts {
		if a.mayHaveRun() {
			return false
		}
	}
	return true
}
