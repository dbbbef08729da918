// Package outlier detects outliers among the backends, from the outcomes of this instance's own attempts and from the
// observations of its peers. LocalDetector collects the local evidence, Publisher selects the part that peers need,
// Assess combines local and peer evidence into an assessment of each backend, Decay ends an ejection gradually, and
// Probation reopens ejected backends for single attempts. The result is a slowness per backend, a multiple of the usual
// latency. The report of a single instance never changes it. The package does no I/O, reads no clock, and handles no
// connections and no request content. None of its types is safe for concurrent use.
package outlier

import (
	"time"

	"hitchspring/policy"
)

const (
	// Horizon is the age beyond which evidence has no weight.
	Horizon = 30 * time.Second

	// adverseThreshold is the minimum failure evidence of an adverse observation: that of a single failure after two
	// half-lives.
	adverseThreshold = 0.25
	// maxEvidence bounds the success and the failure evidence on one backend.
	maxEvidence = 8.0
	// fullWeight is the evidence from which an instance's report has its full weight of 1.
	fullWeight = 2.5
)

// Cause is the kind of failure that an observation reports.
type Cause uint8

// The causes, from the most severe to the least. Their numbers are sent to peers.
const (
	NoCause     Cause = iota
	Unreachable       // no connection could be made
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
	Started         time.Duration // start of the observed backend, by the endpoint list
	SuccessEvidence float64       // decayed; at most maxEvidence
	FailureEvidence float64       // decayed; at most maxEvidence
	LastSuccess     time.Duration // the last success; 0: never
	LastFailure     time.Duration // the last failure; 0: never
	Onset           time.Duration // the first failure since the last success; 0: none
	Cause           Cause         // of the last failure
}

// IsAdverse reports whether the observation counts against the backend: its last event was a failure, and the failure
// evidence has not decayed yet. Earlier successes don't make up for the failure.
func (o Observation) IsAdverse() bool {
	return o.FailureEvidence >= adverseThreshold && o.LastFailure > o.LastSuccess
}

// ObservedAt returns the time of the observation: that of the last failure if it is adverse, else of the last success.
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
