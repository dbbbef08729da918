// Package outlier decides which backends are outliers, from the ends of this instance's own attempts and from the
// observations of its peers. LocalDetector collects the own evidence, Publisher picks what peers need of it, Assess
// pools both kinds into an Assessment of each backend, Decay lets an ejection wear off, and Probation reopens ejected
// backends for single attempts. The result is a slowness per backend, a multiple of the usual latency; no single
// instance's report changes it. The package does no I/O, reads no clock, and knows no connection and no request
// content. None of its types is safe for concurrent use.
package outlier

import (
	"time"

	"hitchspring/policy"
)

const (
	// Horizon is the age beyond which evidence has no weight.
	Horizon = 30 * time.Second

	// adverseThreshold is the failure evidence from which an observation can be adverse: a single failure, until it
	// is two half-lives old.
	adverseThreshold = 0.25
	// maxEvidence bounds the success and the failure evidence on one backend.
	maxEvidence = 8.0
	// fullWeight is the evidence with which an instance's report has its full weight, which is 1.
	fullWeight = 2.5
)

// Cause is what an observation holds against a backend, the gravest first.
type Cause uint8

// The causes. Their numbers are sent to peers.
const (
	NoCause     Cause = iota
	Unreachable       // no connection
	Failing           // errors and dropped connections
	Slow              // answers late or not at all
)

var causeNames = [...]string{"", "unreachable", "failing", "slow"}

// String returns the cause's name, or "unknown" for a number that a newer peer may have sent.
func (c Cause) String() string {
	if int(c) < len(causeNames) {
		return causeNames[c]
	}
	return "unknown"
}

// Observation is the evidence that one instance has gathered on one start of a backend. Times are on the clock of the
// instance that holds the value.
type Observation struct {
	Backend         policy.BackendID
	Started         time.Duration // the start of the backend that it speaks of, as the endpoint list has it
	SuccessEvidence float64       // success evidence, decayed; at most maxEvidence
	FailureEvidence float64       // failure evidence, decayed; at most maxEvidence
	LastSuccess     time.Duration // the last success; 0: never
	LastFailure     time.Duration // the last failure; 0: never
	Onset           time.Duration // the first failure since the last success; 0: none
	Cause           Cause         // of the last failure
}

// IsAdverse reports whether the observation speaks against the backend: its last event was a failure, not long ago. A
// success in earlier times doesn't excuse a backend that fails now.
func (o Observation) IsAdverse() bool {
	return o.FailureEvidence >= adverseThreshold && o.LastFailure > o.LastSuccess
}

// ObservedAt returns the time of the event that the observation rests on: the last failure if it is adverse, else the
// last success.
func (o Observation) ObservedAt() time.Duration {
	if o.IsAdverse() {
		return o.LastFailure
	}
	return o.LastSuccess
}

// isRecentlyAdverse reports whether the observation is adverse and its last failure still has weight.
func (o Observation) isRecentlyAdverse(now time.Duration) bool {
	return o.IsAdverse() && now-o.LastFailure <= Horizon
}
