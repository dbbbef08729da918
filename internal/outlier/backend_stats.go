package outlier

import (
	"math"
	"slices"
	"time"
)

const (
	evidenceHalfLife            = 6 * time.Second
	successRetainedAfterFailure = 0.25                  // fraction of the success evidence
	failureRetainedAfterSuccess = 0.4                   // fraction of the failure evidence
	negligibleFailureEvidence   = adverseThreshold / 16 // less counts as none
)

// backendStats is this instance's evidence on one start of a backend.
type backendStats struct {
	Observation
	evidenceAt   time.Duration // the time to which the evidence is decayed
	inFlight     []*attempt    // in the order in which they were sent
	latencyRatio float64       // latency of the last completed attempt, relative to the mean of its class
	latencyAt    time.Duration // when that attempt ended; 0: never
	lastSent     time.Duration // when an attempt was last sent; 0: never
}

// attempt is an attempt in flight.
type attempt struct {
	id          AttemptID
	class       string
	sentAt      time.Duration
	countedSlow bool // it already counted as a failure because of its latency
}

// takeInFlight removes an attempt from those in flight and returns it.
func (s *backendStats) takeInFlight(id AttemptID) *attempt {
	i := slices.IndexFunc(s.inFlight, func(a *attempt) bool { return a.id == id })
	ended := s.inFlight[i]
	s.inFlight = slices.Delete(s.inFlight, i, i+1)
	return ended
}

// decay decays the evidence to now.
func (s *backendStats) decay(now time.Duration) {
	retained := math.Exp2(-(now - s.evidenceAt).Seconds() / evidenceHalfLife.Seconds())
	s.SuccessEvidence *= retained
	s.FailureEvidence *= retained
	s.evidenceAt = now
}

func (s *backendStats) recordSuccess(now time.Duration) {
	s.decay(now)
	s.SuccessEvidence = min(maxEvidence, s.SuccessEvidence+1)
	s.FailureEvidence *= failureRetainedAfterSuccess
	s.LastSuccess = now
	s.Onset = 0
}

func (s *backendStats) recordFailure(now time.Duration, cause Cause) {
	s.decay(now)
	s.FailureEvidence = min(maxEvidence, s.FailureEvidence+1)
	s.SuccessEvidence *= successRetainedAfterFailure
	s.LastFailure = now
	s.Cause = cause
	if s.Onset == 0 {
		s.Onset = now
	}
}
