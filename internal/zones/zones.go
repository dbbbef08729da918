// Package zones tracks what each zone can take at the moment, how much of this instance's work has to leave its own
// zone and why, and how a lost zone is let in again. In come the endpoint list, attempts and probes with their ends,
// and zone drains, each with its time. Out go facts for the policy module (price, rate limit and state of each zone,
// and the backends that have not proven themselves again), probes to send, and a status for operators and metrics. The
// package chooses no backend, rejects no request, does no I/O, reads no clock and draws nothing at random: the same
// calls give the same facts.
package zones

import (
	"cmp"
	"slices"
	"time"
)

// State is the state of a zone as this instance sees it.
type State uint8

// The states of a zone.
const (
	Up        State = iota // takes what the policy module sends it
	Lost                   // nobody there answers this instance: gets probes, and no request
	Returning              // answers again, and gets a rate that grows over the recovery ramp
	Drained                // taken out of service by operators
)

var stateNames = [...]string{"up", "lost", "returning", "drained"}

// String returns the state's name, as operators and metrics see it.
func (s State) String() string { return stateNames[s] }

// States returns the names of all states.
func States() []string { return slices.Clone(stateNames[:]) }

// Config holds the operators' settings. The zero value of a field that has a default stands for the default.
type Config struct {
	Own               string                   // this instance's zone
	Near              []string                 // zones of the second locality priority; all others have the third
	NearPrice         float64                  // of a backend in a near zone; one at home with the same load has 1
	FarPrice          float64                  // of a backend in any other zone
	Overprovision     float64                  // a zone keeps all its work down to 1/Overprovision of its capacity
	Panic             float64                  // share of all capacity below which no zone is preferred or drained
	Ramp              time.Duration            // length of a recovery ramp, at most, without caution
	RampFrom          float64                  // share of the rate with which a ramp begins
	Forget            time.Duration            // for which a zone is up until one step of caution is taken back
	SlowStartWindow   time.Duration            // of a backend that has just started; 0: none
	SlowStartShare    float64                  // of its capacity that such a backend has at first
	Probe             bool                     // backends may be probed
	LatencyObjectives map[string]time.Duration // by request class
}

// The defaults of Config, which the options file has too.
const (
	DefaultNearPrice     = 2.0
	DefaultFarPrice      = 3.0
	DefaultOverprovision = 1.4
	DefaultPanic         = 0.3
	DefaultRamp          = 4 * time.Second
	DefaultRampFrom      = 0.3
	DefaultForget        = time.Minute
)

// withDefaults returns the settings with each default filled in.
func (c Config) withDefaults() Config {
	c.NearPrice = cmp.Or(c.NearPrice, DefaultNearPrice)
	c.FarPrice = cmp.Or(c.FarPrice, DefaultFarPrice)
	c.Overprovision = cmp.Or(c.Overprovision, DefaultOverprovision)
	c.Panic = cmp.Or(c.Panic, DefaultPanic)
	c.Ramp = cmp.Or(c.Ramp, DefaultRamp)
	c.RampFrom = cmp.Or(c.RampFrom, DefaultRampFrom)
	c.Forget = cmp.Or(c.Forget, DefaultForget)
	return c
}

// priority is the locality priority of a zone.
type priority int

const (
	ownZone priority = iota
	nearZone
	farZone
)

// priorityOf returns the locality priority of a zone.
func (c Config) priorityOf(zone string) priority {
	switch {
	case zone == c.Own:
		return ownZone
	case slices.Contains(c.Near, zone):
		return nearZone
	}
	return farZone
}

// price returns the price of a backend in a zone of a priority, while the own zone is fully preferred.
func (c Config) price(p priority) float64 {
	return [...]float64{ownZone: 1, nearZone: c.NearPrice, farZone: c.FarPrice}[p]
}

// Change is a change of a zone's state that operators should see.
type Change struct {
	Zone     string
	From, To State
	Reason   string
	Caution  int // steps of caution with which the next return begins
}
