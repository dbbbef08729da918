package gossip

import "time"

// Bounds of a store. Memory is taken by need.
const (
	// MaxRoundTrip is the longest time between a request and its response for
	// which the ages in the response are believed.
	MaxRoundTrip = 500 * time.Millisecond

	// MaxFactsPerOwner bounds the facts of one owner: one about each of 7,700
	// backends.
	MaxFactsPerOwner = 8192

	// MaxBytes bounds what the facts of all owners take: 350 owners with a fact
	// about each of 100 backends take 7.5 MB. An instance's own facts count
	// too, but are stored even beyond the bound.
	MaxBytes = 8 << 20

	minHorizon = time.Second

	maxOwners         = 4096
	maxNameBytes      = 128 // of an owner, a kind or a subject
	maxDataBytes      = 512 // of one fact
	factOverheadBytes = 160 // of memory that one fact takes besides its strings and data

	maxDigestWatermarks = 36
	maxRecentWatermarks = 8

	// The encoded size of a delta and of a fact, at most, without their strings
	// and data.
	deltaHeaderBytes = 64
	factHeaderBytes  = 32
)

// Counts says how much was not taken over since the start, by cause.
type Counts struct {
	// Late counts responses that took longer than MaxRoundTrip.
	Late int `json:"Late"`
	// EndedIncarnation counts deltas of an incarnation that has been superseded.
	EndedIncarnation int `json:"EndedLife"`
	// Own counts deltas by which others claim to know this instance's facts.
	Own int `json:"Own"`
	// Malformed counts deltas and facts that are outside their bounds.
	Malformed int `json:"Malformed"`
	// Full counts the facts and owners for which there was no capacity. A fact
	// of another owner is requested again, and counts each time.
	Full int `json:"Full"`
}

// validSizes reports whether the strings and the data of a fact are within
// their bounds.
func validSizes(kind, subject string, data []byte) bool {
	return kind != "" && len(kind) <= maxNameBytes && len(subject) <= maxNameBytes && len(data) <= maxDataBytes
}

// factSize estimates the memory that a fact takes, in bytes.
func factSize(f *Fact) int {
	return factOverheadBytes + len(f.Kind) + len(f.Subject) + len(f.Data)
}

// admit reports whether there is capacity for next, which replaces previous
// (nil: nothing), and counts a refusal. Facts of others never keep out what
// this instance has observed itself.
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
