package policy

import "time"

// Event is an input of [Engine.Handle].
type Event interface{ event() }

// Arrival is a new request. The engine gives each request one final answer.
type Arrival struct{ Request }

// AttemptEnded reports the end of an attempt, once for each SendAttempt.
type AttemptEnded struct {
	ID           RequestID
	Attempt      int
	Backend      BackendID
	Outcome      Outcome
	Elapsed      time.Duration
	Finished     bool    // the client has received the final answer
	SettledUnits float64 // units actually used, for plans with SettledByReply; 0: unknown
	Load         Load
	Unsent       bool // delegated requests: the caller did not send the attempt
}

// StreamStarted reports that the response of an attempt is being streamed to the
// client, so that the response of another attempt can no longer be used.
type StreamStarted struct {
	ID      RequestID
	Attempt int
}

// Disconnected reports that the client has closed its connection or canceled the
// request.
type Disconnected struct{ ID RequestID }

// EndpointsChanged carries the complete endpoint list or changes to it.
type EndpointsChanged struct {
	Complete bool // Backends is the complete list, not only the changes
	Failed   bool // the list could not be fetched; the previous one stays in use
	Backends []Backend
}

// TimerFired is the response to a SetTimer.
type TimerFired struct{}

// ProbeEnded is the result of a ProbeBackend.
type ProbeEnded struct {
	Backend BackendID
	Outcome Outcome
	Elapsed time.Duration
	Load    Load
}

// PeerMessage is a message from another instance.
type PeerMessage struct {
	From int
	Body []byte
}

// ZonesChanged updates the state of zones. For zones without such an update, a
// fixed factor applies to backends outside the instance's own zone.
type ZonesChanged struct {
	Zones          []Zone
	AvailableShare float64       // share of the capacity of all zones that is available
	MinRetryAfter  time.Duration // minimum Retry-After of rejected requests while a zone recovers
}

// CounterReply is the result of an AddToCounter. Replies for one name arrive in the
// order of the calls.
type CounterReply struct {
	Name    string
	Outcome Outcome
	Total   float64 // of the name, after the addition
}

func (Arrival) event()          {}
func (AttemptEnded) event()     {}
func (StreamStarted) event()    {}
func (Disconnected) event()     {}
func (EndpointsChanged) event() {}
func (TimerFired) event()       {}
func (ProbeEnded) event()       {}
func (PeerMessage) event()      {}
func (ZonesChanged) event()     {}
func (CounterReply) event()     {}
