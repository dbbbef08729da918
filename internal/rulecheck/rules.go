package rulecheck

import "time"

// Effect is the effect of a class's requests on the backends. It determines whether a request may be sent again after
// an attempt that may have run.
type Effect uint8

// The effects, with when a request may be sent again.
const (
	Unsafe Effect = iota // never
	Safe                 // always: the request changes nothing
	Keyed                // to the same rack, while it remembers the idempotency key
)

// String returns the effect's name.
func (e Effect) String() string {
	switch e {
	case Unsafe:
		return "unsafe"
	case Safe:
		return "safe"
	case Keyed:
		return "keyed"
	}
	return "unknown"
}

// Ceiling is a tenant's hard limit: a token bucket that starts full.
type Ceiling struct {
	Rate  float64 // refill rate in units per second
	Burst float64 // capacity of the bucket in units
}

// Rules holds the parameters of the five rules.
type Rules struct {
	// Classes holds the effect of each class.
	Classes map[string]Effect
	// MinAttempts holds, by class, the shortest time in which any backend can serve an attempt.
	MinAttempts map[string]time.Duration
	// KeyRetention is how long a rack retains an idempotency key.
	KeyRetention time.Duration
	// DrainGrace is how long an instance may still send to a backend after it was notified that the backend drains.
	DrainGrace time.Duration
	// Ceilings holds the ceilings by plan; a plan without an entry has no ceiling.
	Ceilings map[string]Ceiling
	// CeilingSlack is by how much a ceiling may be exceeded, as a fraction of its burst.
	CeilingSlack float64
	// MaxUnits is the size of the largest request in units. A ceiling may always be exceeded by at least this.
	MaxUnits float64
	// Tolerance is the slack of every time limit. All observers share one clock, but each records an event only when
	// it has read it: a client its answer, a backend its attempt. Two events of an instance may therefore appear
	// reversed by up to the delay of one observer.
	Tolerance time.Duration
}

// DefaultRules returns the platform's parameters, without those of classes (Classes, MinAttempts) and plans (Ceilings).
func DefaultRules() Rules {
	return Rules{
		KeyRetention: 3 * time.Second,
		DrainGrace:   2 * time.Second,
		CeilingSlack: 0.1,
		MaxUnits:     6,
		Tolerance:    50 * time.Millisecond,
	}
}

// The names of the rules in reports.
const (
	NoRequestLost = "no request lost"
	NoEffectTwice = "no effect twice"
	Drains        = "drains kept"
	SlowStart     = "no cold node pushed over"
	Ceilings      = "ceilings kept"
)

// RuleNames lists the rules in the order in which reports show them.
var RuleNames = []string{NoRequestLost, NoEffectTwice, Drains, SlowStart, Ceilings}
