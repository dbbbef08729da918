package rulecheck

import "time"

// Effect says whether a request of a class may be sent again after an attempt that may have run.
type Effect uint8

// The effects.
const (
	Unsafe Effect = iota // never
	Safe                 // always: it changes nothing
	Keyed                // within the rack that remembers its idempotency key
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
	Rate  float64 // units a second that the bucket gains
	Burst float64 // units that the bucket holds
}

// Rules holds the parameters of the five rules.
type Rules struct {
	// Classes holds the effect of each class.
	Classes map[string]Effect
	// MinAttempts is, by class, the shortest time in which any backend serves an attempt.
	MinAttempts map[string]time.Duration
	// KeyMemory is how long a rack remembers an idempotency key.
	KeyMemory time.Duration
	// DrainGrace is how long an instance may still send to a backend after it was notified that the backend drains.
	DrainGrace time.Duration
	// Ceilings holds the ceiling of each plan; a plan that is not in it has none.
	Ceilings map[string]Ceiling
	// CeilingSlack is the fraction of a ceiling's burst by which it may be exceeded.
	CeilingSlack float64
	// MaxUnits is the largest request in units. A ceiling's slack is never less.
	MaxUnits float64
	// Tolerance is the slack of every time limit. All observers read one clock, but a client records an answer when
	// it has read it, and a backend an attempt when it has read that. Events that one instance ordered may so
	// appear reversed by as much as one observer can be late.
	Tolerance time.Duration
}

// DefaultRules returns the platform's parameters, without classes and ceilings.
func DefaultRules() Rules {
	return Rules{
		KeyMemory:    3 * time.Second,
		DrainGrace:   2 * time.Second,
		CeilingSlack: 0.1,
		MaxUnits:     6,
		Tolerance:    50 * time.Millisecond,
	}
}

// The names of the rules, as reports show them.
const (
	NoRequestLost = "no request lost"
	NoEffectTwice = "no effect twice"
	Drains        = "drains kept"
	SlowStart     = "no cold node pushed over"
	Ceilings      = "ceilings kept"
)

// RuleNames lists the rules in the order in which reports show them.
var RuleNames = []string{NoRequestLost, NoEffectTwice, Drains, SlowStart, Ceilings}
