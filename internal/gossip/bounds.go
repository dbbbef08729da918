package gossip

import "time"

// Bounds of a store. Memory is allocated as needed.
const (
	// MaxRoundTrip is the longest round trip time for which a response is merged.
	// The ages in a later response would be overestimated too much.
	MaxRoundTrip = 500 * time.Millisecond

	// MaxFactsPerOwner bounds the number of facts of one owner. It suffices for one
	// fact about each of 7,700 backends.
	MaxFactsPerOwner = 8192

	// MaxBytes bounds the estimated memory of the facts of all owners: 350 owners
	// with a fact about each of 100 backends take 7.5 MB. An instance's own facts
	// count too, but are stored even when the bound is exceeded.
	MaxBytes = 8 << 20

	minRetention = time.Second

	maxOwners         = 4096
	maxNameBytes      = 128 // of an owner, a kind or a subject
	maxDataBytes      = 512 // of one fact
	factOverheadBytes = 160 // estimated memory of one fact, without its strings and data

	maxDigestWatermarks = 36
	maxRecentWatermarks = 8

	// The maximum encoded sizes of a delta and of a fact, without their strings and
	// data.
	deltaHeaderBytes = 64
	factHeaderBytes  = 32
)

// Counts holds counters of what was rejected since the start, by cause.
type Counts struct {
	// Late counts responses that arrived later than MaxRoundTrip after the request.
	Late int `json:"Late"`
	// EndedIncarnation counts deltas of an incarnation that a later one superseded.
	EndedIncarnation int `json:"EndedLife"`
	// Own counts deltas received from others about this instance's own facts.
	Own int `json:"Own"`
	// Malformed counts deltas and facts with missing or out-of-range fields.
	Malformed int `json:"Malformed"`
	// Full counts the facts and owners that were rejected because the store was
	// full. A rejected fact of another owner is requested again and counts each time.
	Full int `json:"Full"`
}

// validSizes reports whether the kind is not empty and the strings and the data of
// a fact are within their bounds.
func validSizes(kind, subject string, data []byte) bool {
	return kind != "" && len(kind) <= maxNameBytes && len(subject) <= maxNameBytes && len(data) <= maxDataBytes
}

// factSize returns the estimated memory of a fact, in bytes.
func factSize(f *Fact) int {
	return factOverheadBytes + len(f.Kind) + len(f.Subject) + len(f.Data)
}

// admit reports whether there is capacity for next, which replaces previous (nil
// if there is none), and counts a rejection. Only the bound per owner applies to
// this instance's own facts, so that facts of others never displace them.
func (s *Store) admit(owner *ownerRecord, previous, next *Fact) bool {
	growth := factSize(next)
	if previous != nil {
		growth -= factSize(previous)
	}
	ownerFull := previous == nil && len(owner.facts) >= MaxFactsPerOwner
	storeFull := owner != s.self && s.usedBytes+growth > MaxBytes
	if ownerFull || storeFull {
		s.counts.Full++
		return false
	}
	return true
}
