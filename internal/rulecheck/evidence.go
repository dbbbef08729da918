package rulecheck

import (
	"cmp"
	"slices"
	"time"
)

// The kinds of final answers.
const (
	AnswerServed   = "served"
	AnswerRejected = "refused"
	AnswerFailed   = "failed"
)

// Answer is one final answer that a client read.
type Answer struct {
	At   time.Duration
	Kind string // AnswerServed, AnswerRejected or AnswerFailed
}

// ClientRequest is the client's record of one request. A client's retry is a separate request.
type ClientRequest struct {
	ID            string        // unique to the request
	Instance      string        // the instance that received the request
	Class         string        // the request's class, a key of Rules.Classes
	SentAt        time.Duration // when the client wrote the last byte
	Timeout       time.Duration // how long the client waits after SentAt
	Answers       []Answer      // all final answers; more than one is a violation
	ForeignAnswer bool          // an answer carried a value that no backend made for this request
	Excused       bool          // no answer is required: the instance was killed or never accepted the request
}

// deadline returns when the client gives up.
func (r ClientRequest) deadline() time.Duration { return r.SentAt + r.Timeout }

// BackendAttempt is the backend's record of one attempt.
type BackendAttempt struct {
	ArrivedAt time.Duration // when the backend read the last byte, before any injected fault took effect
	EndedAt   time.Duration // when the backend answered or reset the connection; 0: still running
	Backend   string
	Instance  string // the instance that sent it
	ID        string // ID of the client's request
	Tenant    string
	Plan      string
	Class     string
	Rack      int // rack of the backend
	Units     float64
	Busy      bool // the backend rejected it without running it; the instance can know this from EndedAt on
	WarmingUp bool // the backend was in slow start
}

// knownNeverRan reports whether the instance could know, at the given time, that the attempt never ran.
func (a BackendAttempt) knownNeverRan(at time.Duration) bool {
	return a.Busy && a.EndedAt > 0 && a.EndedAt <= at
}

// Notification is discovery's record of one backend's state sent to an instance.
type Notification struct {
	At                time.Duration
	Instance, Backend string
	Serving           bool // false: the backend is draining
}

// Overload is the record of a backend's slow start: its highest load, and whether the backend failed under it.
type Overload struct {
	Backend  string
	FailedAt time.Duration // when the backend failed under its load; 0: it did not fail
	Reason   string        // why the backend failed
	MaxLoad  float64       // maximum load, as a fraction of the load that makes the backend fail
}

// ObserverDelay is a period in which the observers (clients, backends and discovery) were not scheduled to run, so that
// their timestamps may be late.
type ObserverDelay struct {
	At    time.Duration // start of the period
	Delay time.Duration // length of the period
}

// Evidence holds everything that clients, backends and discovery recorded in a run.
type Evidence struct {
	Requests       []ClientRequest
	Attempts       []BackendAttempt
	Notifications  []Notification
	Overloads      []Overload
	ObserverDelays []ObserverDelay
}

// index holds the requests and attempts of the evidence, sorted and grouped for the checks.
type index struct {
	requests          []ClientRequest
	attempts          []BackendAttempt            // in order of arrival
	attemptsByRequest map[string][]BackendAttempt // by request ID, each in order of arrival
	requestByID       map[string]*ClientRequest   // by request ID
}

// newIndex sorts and groups the requests and attempts of the evidence.
func newIndex(e Evidence) *index {
	idx := &index{
		requests:          e.Requests,
		attempts:          byArrival(e.Attempts),
		attemptsByRequest: map[string][]BackendAttempt{},
		requestByID:       map[string]*ClientRequest{},
	}
	for _, attempt := range idx.attempts {
		idx.attemptsByRequest[attempt.ID] = append(idx.attemptsByRequest[attempt.ID], attempt)
	}
	for i := range e.Requests {
		idx.requestByID[e.Requests[i].ID] = &e.Requests[i]
	}
	return idx
}

// byArrival returns a copy of the attempts in order of arrival.
func byArrival(attempts []BackendAttempt) []BackendAttempt {
	sorted := slices.Clone(attempts)
	slices.SortStableFunc(sorted, func(a, b BackendAttempt) int { return cmp.Compare(a.ArrivedAt, b.ArrivedAt) })
	return sorted
}
