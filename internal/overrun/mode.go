package overrun

import (
	"slices"
	"time"
)

// Mode is how a quota is coordinated at the moment.
type Mode uint8

// The modes.
const (
	Normal       Mode = iota // the counter answers
	Late                     // a call has failed, or no total came for lateAfter though there is demand
	Disconnected             // calls fail and no total came for disconnectedAfter: only the own share is spent
	NeverHeard               // the counter has never answered for this tenant
	PerRequest               // units aren't leased: the counter is called for each request
)

// modeNames are the names by which operators know the modes.
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

// UnmarshalText implements encoding.TextUnmarshaler. An unknown name is read
// as Normal.
func (m *Mode) UnmarshalText(text []byte) error {
	*m = Mode(max(0, slices.Index(modeNames[:], string(text))))
	return nil
}

const (
	// disconnectedAfter is the age of the last total from which on failing
	// calls are more than one that was lost.
	disconnectedAfter = 500 * time.Millisecond
	// lateAfter is the age of the last total from which on a quota with demand
	// is late.
	lateAfter = time.Second
	// minDemand is the demand in units per second below which a total isn't missed.
	minDemand = 0.5
)

// mode returns how the quota is coordinated, where the last total is of an age.
func (q *QuotaState) mode(totalAge time.Duration) Mode {
	switch {
	case q.Sparse:
		return PerRequest
	case q.TotalAt == 0:
		return NeverHeard
	case q.CounterSilent && totalAge > disconnectedAfter:
		return Disconnected
	case q.CounterSilent, totalAge > lateAfter && q.Demand > minDemand:
		return Late
	}
	return Normal
}
