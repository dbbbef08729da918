package rulecheck

import (
	"cmp"
	"slices"
	"time"
)

// The kinds of a client's answer.
const (
	AnswerServed   = "served"
	AnswerRejected = "refused"
	AnswerFailed   = "failed"
)

// Answer is a final answer, as the client read it.
type Answer struct {
	At   time.Duration
	Kind string // AnswerServed, AnswerRejected or AnswerFailed
}

// ClientRequest is one request of a client, as the client recorded it. A client's retry is another request.
type ClientRequest struct {
	ID            string        // new with every request
	Instance      string        // the instance that the request was sent to
	Class         string        // the request's class, a key of Rules.Classes
	SentAt        time.Duration // when the last byte was written
	Timeout       time.Duration // how long the client waits after SentAt
	Answers       []Answer      // all final answers; more than one is a violation
	ForeignAnswer bool          // an answer was not made for this request
	Excused       bool          // the instance was killed or never accepted the request, so no answer is due
}

// deadline is when the client gives up.
func (r ClientRequest) deadline() time.Duration { return r.SentAt + r.Timeout }

// BackendAttempt is one attempt, as its backend recorded it.
type BackendAttempt struct {
	ArrivedAt time.Duration // when the last byte was read, before any fault acted
	EndedAt   time.Duration // when the answer left or the connection was reset; 0: not yet
	Backend   string
	Instance  string // the instance that sent it
	ID        string // of the client's request
	Tenant    string
	Plan      string
	Class     string
	Rack      int // of the backend
	Units     float64
	Busy      bool // rejected by the backend: it never ran, and the instance could know so from EndedAt on
	WarmingUp bool // the backend was in its slow start
}

// neverRan reports whether the instance could know at a time that the attempt never ran.
func (a BackendAttempt) neverRan(at time.Duration) bool {
	return a.Busy && a.EndedAt > 0 && a.EndedAt <= at
}

// Notification is one entry of the endpoint list, as discovery wrote it to an instance.
type Notification struct {
	At                time.Duration
	Instance, Backend string
	Serving           bool // false: the backend drains
}

// Overload is the record of a backend that warmed up: how much of its limit was used, and whether it was exceeded.
type Overload struct {
	Backend  string
	FellAt   time.Duration // when it failed under its load; 0: it did not
	Reason   string        // why it failed
	Pressure float64       // the most load as a fraction of what makes it fail
}

// ObserverDelay is a span in which the machine kept the observers from running.
type ObserverDelay struct {
	At    time.Duration // when the span began
	Delay time.Duration // how long it lasted
}

// Evidence holds all that clients, backends and discovery recorded in a run.
type Evidence struct {
	Requests       []ClientRequest
	Attempts       []BackendAttempt
	Notifications  []Notification
	Overloads      []Overload
	ObserverDelays []ObserverDelay
}

// index is the evidence in the order and grouping that the checks need.
type index struct {
	requests   []ClientRequest
	attempts   []BackendAttempt            // in order of arrival
	attemptsOf map[string][]BackendAttempt // by request, in order of arrival
	requestOf  map[string]*ClientRequest   // by id
}

// newIndex groups the requests and attempts of the evidence.
func newIndex(e Evidence) *index {
	idx := &index{
		requests:   e.Requests,
		attempts:   byArrival(e.Attempts),
		attemptsOf: map[string][]BackendAttempt{},
		requestOf:  map[string]*ClientRequest{},
	}
	for _, attempt := range idx.attempts {
		idx.attemptsOf[attempt.ID] = append(idx.attemptsOf[attempt.ID], attempt)
	}
	for i := range e.Requests {
		idx.requestOf[e.Requests[i].ID] = &e.Requests[i]
	}
	return idx
}

// byArrival returns a copy of the attempts in order of arrival.
func byArrival(attempts []BackendAttempt) []BackendAttempt {
	sorted := slices.Clone(attempts)
	slices.SortStableFunc(sorted, func(a, b BackendAttempt) int { return cmp.Compare(a.ArrivedAt, b.ArrivedAt) })
	return sorted
}
