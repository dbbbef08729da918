package policy

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"
)

// RequestID names one try of a client; it is never reused.
type RequestID uint32

// ServerID names a server of the back end; it tells nothing but identity.
type BackendID string

// Effect says whether a class of requests may be repeated.
type Effect uint8

// Effects; anything unknown is Unsafe.
const (
	Unsafe Effect = iota // may never run twice
	Safe                 // may run any number of times
	Keyed                // servers of one group drop repeats for a while
)

// Group says which servers share the keys that they have seen.
type Group uint8

// Groups; anything unknown is one cell.
const (
	GroupCell Group = iota
	GroupZone
	GroupAll
)

// Outcome tells how an attempt, a probe or a counter call ended.
type Outcome uint8

// Outcomes; anything unknown is Failed, which may have run.
const (
	Failed    Outcome = iota // the server answered with an error
	Succeeded                // served
	Rejected                 // turned away unseen: never ran
	TimedOut                 // no answer in time
	NoConnect                // no connection: never ran
	Reset                    // the connection dropped
	Cancelled                // called off
	NotSent                  // never sent: never ran
)

// NeverRan reports whether the outcome proves that the attempt did not run.
func (o Outcome) NeverRan() bool { return o == Rejected || o == NoConnect || o == NotSent }

// Class is a kind of request.
type Class struct {
	Name             string
	PriorityWeight   float64
	LatencyObjective time.Duration // an answer within it earns the full worth
	Deadline         time.Duration
	LateShare        float64 // share of the worth earned after the aim
	Effect           Effect
	Group            Group         // keyed classes: who drops repeats
	RepeatWindow     time.Duration // keyed classes: for how long
}

// Plan sets the quotas of each of its customers, over all gateways together.
type Plan struct {
	Name           string
	Price          float64
	Rate           float64 // units a second; 0: no such quota
	Burst          float64 // units the store holds
	MaxInFlight    int     // attempts out at once; 0: no such quota
	ExcessWeight   float64 // share of the worth earned beyond the quota
	ExcessCost     float64 // share of the worth paid for each try beyond it
	CeilingRate    float64 // units a second; 0: no ceiling
	CeilingBurst   float64
	CeilingSlack   float64
	SettledByReply bool // the true units come with the answer
}

// Settings are what a gateway is told once, at its start.
type Settings struct {
	Index, Instances int // this gateway's number, and how many there are
	Zone             string
	Classes          []Class
	Plans            []Plan
	MaxUnits         float64 // most units of one request
	MaxAttempts      int
	MaxRetryAfter    time.Duration
	MayCancel        bool
	MayProbe         bool
	Hedging          bool // two attempts of a request may be out at once
	Counter          bool // the shared counter may be called
	CounterTimeout   time.Duration
	PollEndpoints    bool // the fleet list comes only when asked for
	CrossZonePrice   float64
	SlowStartShare   float64 // a server starts with this share of its capacity or more
	SlowStartWindow  time.Duration
	OverloadMultiple float64
	OverloadSpan     time.Duration
	DrainGrace       time.Duration
}

// check says what of the settings cannot be decided with.
func (s Settings) check() error {
	if s.Instances < 1 || s.Index < 0 || s.Index >= s.Instances {
		return fmt.Errorf("logic: gateway %d of %d", s.Index, s.Instances)
	}
	if len(s.Classes) == 0 {
		return fmt.Errorf("logic: no classes")
	}
	for _, c := range s.Classes {
		if c.LatencyObjective <= 0 || c.Deadline < c.LatencyObjective {
			return fmt.Errorf("logic: class %q: aim %v, deadline %v", c.Name, c.LatencyObjective, c.Deadline)
		}
	}
	for _, p := range s.Plans {
		figures := []float64{p.Price, p.Rate, p.Burst, float64(p.MaxInFlight), p.CeilingRate, p.CeilingBurst}
		if !(slices.Min(figures) >= 0) || math.IsInf(slices.Max(figures), 1) {
			return fmt.Errorf("logic: plan %q: unusable figures %v", p.Name, figures)
		}
	}
	return nil
}

// Request is one try of a client.
type Request struct {
	ID        RequestID
	Class     string
	Plan      string
	Tenant    string
	GiveUpAt  time.Duration
	Units     float64
	Spread    int    // gateways this customer comes through
	First     int    // number of the first of them
	Delegated bool   // who asks sends the attempts itself, one at a time
	Prior     *Prior // an attempt of it that another gateway has begun, and its units are taken; nil: none
	Charged   bool   // another gateway has taken its units; with Prior always
}

// Account names the books that a request is counted in, here and at the shared counter: its customer's under its plan. It depends on nothing but the
// request, so that all gateways have one name for it, whatever each has heard before; a request that names a customer with another plan is
// counted by itself. The tag of the plan is another one for each customer: with an ending that many names share, a counter that is split by name
// answered fewer calls in time.
func (r *Request) Account() string {
	return r.Tenant + "/" + strconv.FormatUint(hash64(r.Plan+"/"+r.Tenant)>>32, 36)
}

// Prior is an attempt that may have run, begun by another gateway. It is the request's attempt 0 here, and has ended.
type Prior struct {
	Zone string
	Cell int
	At   time.Duration // when it was sent, at the earliest
}

// Load is what a server last said of itself; absent values are not in it.
type Load map[string]float64

// Server is an entry of the fleet list.
type Backend struct {
	ID      BackendID
	Zone    string
	Kind    string
	Cell    int
	State   BackendState
	Size    float64
	Started time.Duration // clock time of its last start; 0: long ago
}

// ServerState is what the fleet list knows of a server.
type BackendState uint8

// States; an unknown one counts as draining.
const (
	Draining BackendState = iota
	Running
	Gone
)

// Hall is what is known of a hall.
type Zone struct {
	Name     string
	Price    float64     // what a server there counts for, against one with the same load elsewhere
	Rate     float64     // attempts a second that it may be sent; 0: none; below 0: any
	Lost     bool        // with Rate 0: what is out there will not be answered soon
	Unproven []BackendID // servers that are not to be sent to yet
}

// Reason says why a request was refused or failed: what kept it, when it was last looked at.
type Reason uint8

// The reasons.
const (
	NoReason    Reason = iota
	Quota              // the block of units is spent, or the counter's total is over the quota
	QuotaKnown         // the same, told by an earlier total: nobody was asked
	QuotaBlind         // the block is spent, and the counter did not answer
	WindowFull         // no attempt might go out in time: the window was full
	CapFull            // the customer's part of its cap on open attempts was
	Ceiling            // the customer's part of its ceiling was spent
	NoBackend          // no server had space: none listed, cold, lost, or none of the group
	CounterLate        // the counter's answer came too late
	NoRetry            // an attempt has failed, and the class, the time or the budget allows no other
	ReasonCount        // how many there are
)

var reasonNames = [ReasonCount]string{
	"none", "quota", "quota-known", "quota-blind", "window", "cap", "ceiling",
	"no-server", "counting", "no-retry",
}

func (r Reason) String() string { return reasonNames[min(r, ReasonCount-1)] }

// Event is something a gateway is told.
type Event interface{ event() }

// The events.
type (
	// Arrival brings a request; the gateway owes it one final answer.
	Arrival struct{ Request }
	// AttemptEnded comes once for each Send.
	AttemptEnded struct {
		ID           RequestID
		Attempt      int
		Backend      BackendID
		Outcome      Outcome
		Took         time.Duration
		Finished     bool // the request has had its final answer
		SettledUnits float64
		Load         Load
		Unsent       bool // of a Handed request: it never left who asked
	}
	// StreamStarted hands an attempt over to the client.
	StreamStarted struct {
		ID      RequestID
		Attempt int
	}
	// Abandoned tells that the client has left.
	Disconnected struct{ ID RequestID }
	// FleetChanged brings the fleet list or changes to it.
	EndpointsChanged struct {
		Complete bool // the entire list, else changes
		Failed   bool // asking failed; the old list holds
		Backends []Backend
	}
	// TimerFired answers a SetTimer.
	TimerFired struct{}
	// ProbeEnded answers a Probe.
	ProbeEnded struct {
		Backend BackendID
		Outcome Outcome
		Took    time.Duration
		Load    Load
	}
	// PeerMessage comes from another gateway.
	PeerMessage struct {
		From int
		Body []byte
	}
	// HallsChanged brings what is known of halls. Without it another hall costs a fixed factor.
	ZonesChanged struct {
		Zones          []Zone
		AvailableShare float64       // share of all halls' capacity that is to be had
		MinRetryAfter  time.Duration // a refused request should not come back before, while a hall returns
	}
	// CountReply answers a Count; for one name replies come in order.
	CounterReply struct {
		Name    string
		Outcome Outcome
		Total   float64
	}
)

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

// Action is something a gateway wants done.
type Action interface{ action() }

// The actions.
type (
	// Send starts an attempt; attempts of a request are numbered from 0 in this order.
	SendAttempt struct {
		ID      RequestID
		Backend BackendID
		StopAt  time.Duration // 0: when the client gives up
	}
	// Cancel stops waiting for an attempt.
	CancelAttempt struct {
		ID      RequestID
		Attempt int
	}
	// Refuse is a final answer: trying again is harmless.
	Reject struct {
		ID         RequestID
		RetryAfter time.Duration // 0: no advice
		Reason     Reason
	}
	// Fail is a final answer that promises nothing.
	Fail struct {
		ID     RequestID
		Reason Reason
	}
	// SetTimer asks for a TimerFired after a while.
	SetTimer struct{ After time.Duration }
	// Probe asks a server how it is.
	ProbeBackend struct{ Backend BackendID }
	// Tell sends a message to one gateway, or to all.
	NotifyInstance struct {
		To   int // below 0: all
		Body []byte
	}
	// Count adds to a named number of the shared counter, kept from its first call on.
	AddToCounter struct {
		Name string
		Add  float64
		Keep time.Duration
	}
	// Watch subscribes to changes of the fleet list.
	WatchEndpoints struct{}
	// Fetch asks for the whole fleet list once.
	FetchEndpoints struct{}
	// CloseIdle shuts idle connections to a server.
	CloseIdleConnections struct{ Backend BackendID }
	// Log adds a line for people.
	LogLine struct{ Text string }
)

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

// State is for people: the window, the attempts that fill it, the requests that are held, the servers listed.
func (e *Engine) Stats() (window float64, busy, held, servers int) {
	return e.window, e.inFlight, len(e.queue), len(e.running)
}

// Holds reports whether a request waits in a queue, let in by its customer's quota.
func (e *Engine) IsQueued(id RequestID) bool {
	r := e.requests[id]
	return r != nil && r.queued && !r.excess
}

// Avoids reports whether a server that serves by the list is left out by choice: after failures in a row, or with its hall.
func (e *Engine) IsAvoided(id BackendID) bool {
	s := e.backends[id]
	return s != nil && s.State == Running && (s.unproven || s.ejectedUntil > e.now || e.unreachable[s.Zone].until > e.now)
}
