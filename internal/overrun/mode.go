package overrun

import (
	"slices"
	"time"
)

// Mode is the way in which a quota is currently coordinated.
type Mode uint8

// The modes.
const (
	Normal        Mode = iota // the counter answers
	Late                      // a call has failed, or no total arrived for lateAfter although there is demand
	Disconnected              // calls fail and no total arrived for disconnectedAfter: only the own share is spent
	NeverAnswered             // the counter has never answered for this tenant
	PerRequest                // units are not leased: the counter is called for each request
)

// modeNames holds the names shown to operators.
var modeNames = [...]string{"normal", "late", "alone", "unheard", "asked"}

// String returns the mode's name.
func (m Mode) String() string {
	if int(m) < len(modeNames) {
		return modeNames[m]
	}
	return "unknown"
}

// MarshalText implements encoding.TextMarshaler.
func (m Mode) MarshalText() ([]byte, error) { return []byte(m.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. Unknown names decode to Normal.
func (m *Mode) UnmarshalText(text []byte) error {
	*m = Mode(max(0, slices.Index(modeNames[:], string(text))))
	return nil
}

const (
	// disconnectedAfter is the age of the last total above which failing calls
	// mean a disconnection and not just a single lost call.
	disconnectedAfter = 500 * time.Millisecond
	// lateAfter is the age of the last total above which a quota with demand is
	// Late.
	lateAfter = time.Second
	// minDemand is the demand in units per second up to which an old total is
	// expected.
	minDemand = 0.5
)

// mode returns the quota's mode, given the age of the counter's last total.
func (q *QuotaState) mode(totalAge time.Duration) Mode {
	switch {
	case q.Sparse:
		return PerRequest
	case q.TotalAt == 0:
		return NeverAnswered
	case q.CounterSilent && totalAge > disconnectedAfter:
		return Disconnected
	case q.CounterSilent, totalAge > lateAfter && q.Demand > minDemand:
		return Late
	}
	return Normal
}
