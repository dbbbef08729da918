package policy

import "time"

// Action is something that the engine wants done.
type Action interface{ action() }

// SendAttempt starts an attempt. The attempts of a request are numbered from 0
// in the order of these actions.
type SendAttempt struct {
	ID      RequestID
	Backend BackendID
	StopAt  time.Duration // when the attempt is to be stopped; 0: when the client gives up
}

// CancelAttempt stops waiting for an attempt.
type CancelAttempt struct {
	ID      RequestID
	Attempt int
}

// Reject is a final answer: the client may try again without harm.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration // 0: no advice
	Reason     Reason
}

// Fail is a final answer that promises nothing: the request may have run.
type Fail struct {
	ID     RequestID
	Reason Reason
}

// SetTimer requests a TimerFired after a while.
type SetTimer struct{ After time.Duration }

// ProbeBackend requests a health check of a backend.
type ProbeBackend struct{ Backend BackendID }

// NotifyInstance sends a message to one instance, or to all.
type NotifyInstance struct {
	To   int // below 0: all
	Body []byte
}

// AddToCounter adds to a named number of the shared counter.
type AddToCounter struct {
	Name string
	Add  float64
	Keep time.Duration // how long the counter keeps the name, from its first call on
}

// WatchEndpoints subscribes to changes of the endpoint list.
type WatchEndpoints struct{}

// FetchEndpoints requests once the complete endpoint list.
type FetchEndpoints struct{}

// CloseIdleConnections closes idle connections to a backend.
type CloseIdleConnections struct{ Backend BackendID }

// LogLine adds a line for people.
type LogLine struct{ Text string }

func (SendAttempt) action()          {}
func (CancelAttempt) action()        {}
func (Reject) action()               {}
func (Fail) action()                 {}
func (SetTimer) action()             {}
func (ProbeBackend) action()         {}
func (NotifyInstance) action()       {}
func (AddToCounter) action()         {}
func (WatchEndpoints) action()       {}
func (FetchEndpoints) action()       {}
func (CloseIdleConnections) action() {}
func (LogLine) action()              {}
