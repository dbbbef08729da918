package policy

import "time"

// Action is an instruction of the engine to its caller.
type Action interface{ action() }

// SendAttempt sends an attempt to a backend. The attempts of a request are numbered
// from 0 in the order of these actions.
type SendAttempt struct {
	ID      RequestID
	Backend BackendID
	StopAt  time.Duration // when to stop the attempt; 0: when the client gives up
}

// CancelAttempt cancels an attempt in flight.
type CancelAttempt struct {
	ID      RequestID
	Attempt int
}

// Reject is a final answer: the request had no effect or may be repeated, so the
// client can safely retry it.
type Reject struct {
	ID         RequestID
	RetryAfter time.Duration // 0: none
	Reason     Reason
}

// Fail is a final answer: the request may have run, so a retry by the client may
// not be safe.
type Fail struct {
	ID     RequestID
	Reason Reason
}

// SetTimer requests a TimerFired event after a delay.
type SetTimer struct{ After time.Duration }

// ProbeBackend requests a health check of a backend.
type ProbeBackend struct{ Backend BackendID }

// NotifyInstance sends a message to one instance, or to all.
type NotifyInstance struct {
	To   int // negative: all instances
	Body []byte
}

// AddToCounter adds to a named total of the shared counter.
type AddToCounter struct {
	Name      string
	Add       float64
	Retention time.Duration // how long the counter retains the name after its first call
}

// WatchEndpoints subscribes to changes of the endpoint list.
type WatchEndpoints struct{}

// FetchEndpoints requests the complete endpoint list once.
type FetchEndpoints struct{}

// CloseIdleConnections closes idle connections to a backend.
type CloseIdleConnections struct{ Backend BackendID }

// LogLine writes a line to the log.
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
