package policy

import "time"

// Event is something that has happened at an instance, for [Engine.Handle].
type Event interface{ event() }

// Arrival brings a request, to which the engine owes one final answer.
type Arrival struct{ Request }

// AttemptEnded comes once for each SendAttempt.
type AttemptEnded struct {
	ID           RequestID
	Attempt      int
	Backend      BackendID
	Outcome      Outcome
	Took         time.Duration
	Finished     bool    // the request has had its final answer
	SettledUnits float64 // the true units, where the plan has them come with the answer; 0: unknown
	Load         Load
	Unsent       bool // of a delegated request: its caller has not sent the attempt
}

// StreamStarted says that the answer of an attempt has begun to go to the
// client, so that no other attempt can answer.
type StreamStarted struct {
	ID      RequestID
	Attempt int
}

// Disconnected says that the client has left.
type Disconnected struct{ ID RequestID }

// EndpointsChanged brings the endpoint list or changes to it.
type EndpointsChanged struct {
	Complete bool // Backends is the entire list, not changes alone
	Failed   bool // the list could not be had; the old one holds
	Backends []Backend
}

// TimerFired answers a SetTimer.
type TimerFired struct{}

// ProbeEnded answers a ProbeBackend.
type ProbeEnded struct {
	Backend BackendID
	Outcome Outcome
	Took    time.Duration
	Load    Load
}

// PeerMessage comes from another instance.
type PeerMessage struct {
	From int
	Body []byte
}

// ZonesChanged brings what is known of zones. Without it another zone costs a
// fixed factor.
type ZonesChanged struct {
	Zones          []Zone
	AvailableShare float64       // share of the capacity of all zones that is available
	MinRetryAfter  time.Duration // least Retry-After of a rejected request, while a zone returns
}

// CounterReply answers an AddToCounter. For one name replies come in order.
type CounterReply struct {
	Name    string
	Outcome Outcome
	Total   float64 // of the name, with what was added
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
