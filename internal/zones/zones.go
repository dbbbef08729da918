// Package zones tracks the health and the capacity of each zone, how much of this instance's load must spill to other
// zones and why, and the recovery of lost zones. Its inputs are the endpoint list, the start and end of attempts and
// probes, and zone drains, each with its time. Its outputs are events for the policy module (price, rate limit and
// state of each zone, and the backends that are not yet proven after a loss), the probes to send, and a status for
// operators and metrics. The package chooses no backend, rejects no request, does no I/O, reads no clock and uses no
// random numbers: the same calls give the same results.
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
	Up        State = iota // in service, without a rate limit
	Lost                   // does not answer this instance: gets probes but no requests
	Returning              // answers again: its rate limit grows over the recovery ramp
	Drained                // taken out of service by operators
)

var stateNames = [...]string{"up", "lost", "returning", "drained"}

// String returns the state's name, as shown to operators and in metrics.
func (s State) String() string { return stateNames[s] }

// States returns the names of all states.
func States() []string { return slices.Clone(stateNames[:]) }

// Config holds the operators' settings. A zero field takes its default, if it has one.
type Config struct {
	Own                  string                   // this instance's zone
	Near                 []string                 // zones of the second locality priority; other zones have the third
	NearPrice            float64                  // price of a backend in a near zone; the own zone has 1
	FarPrice             float64                  // price of a backend in any other zone
	Overprovision        float64                  // a zone retains all its load down to 1/Overprovision of its capacity
	Panic                float64                  // available share below which no zone is preferred or drained
	MaxRampDuration      time.Duration            // maximum length of a recovery ramp without caution steps
	RampFrom             float64                  // share of the full rate with which a ramp starts
	CautionDecayInterval time.Duration            // time that a zone is up before one caution step is taken back
	SlowStartWindow      time.Duration            // length of a backend's slow start; 0: no slow start
	SlowStartShare       float64                  // share of its capacity with which a backend starts
	Probe                bool                     // backends may be probed
	LatencyObjectives    map[string]time.Duration // by request class
}

// The defaults of Config. The options file has the same defaults.
const (
	DefaultNearPrice            = 2.0
	DefaultFarPrice             = 3.0
	DefaultOverprovision        = 1.4
	DefaultPanic                = 0.3
	DefaultMaxRampDuration      = 4 * time.Second
	DefaultRampFrom             = 0.3
	DefaultCautionDecayInterval = time.Minute
)

// withDefaults returns the settings with each default filled in.
func (c Config) withDefaults() Config {
	c.NearPrice = cmp.Or(c.NearPrice, DefaultNearPrice)
	c.FarPrice = cmp.Or(c.FarPrice, DefaultFarPrice)
	c.Overprovision = cmp.Or(c.Overprovision, DefaultOverprovision)
	c.Panic = cmp.Or(c.Panic, DefaultPanic)
	c.MaxRampDuration = cmp.Or(c.MaxRampDuration, DefaultMaxRampDuration)
	c.RampFrom = cmp.Or(c.RampFrom, DefaultRampFrom)
	c.CautionDecayInterval = cmp.Or(c.CautionDecayInterval, DefaultCautionDecayInterval)
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

// price returns the price of a backend in a zone of priority p, while the preference for the own zone is not reduced.
func (c Config) price(p priority) float64 {
	return [...]float64{ownZone: 1, nearZone: c.NearPrice, farZone: c.FarPrice}[p]
}

// Change is a state change of a zone that operators should see.
type Change struct {
	Zone     string
	From, To State
	Reason   string
	Caution  int // caution steps of the next recovery
}
