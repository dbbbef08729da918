package outlier

import (
	"slices"
	"strings"
	"time"

	"hitchspring/policy"
)

// supersededFactor is the multiple of the class's mean latency below which a superseded attempt does not count as slow.
const supersededFactor = 1.5

// AttemptID identifies one attempt of a request.
type AttemptID struct {
	Request policy.RequestID
	Number  int // counts up from the first attempt of the request
}

// LocalDetector collects this instance's own evidence on the backends. It is not safe for concurrent use.
type LocalDetector struct {
	backends   map[policy.BackendID]*backendStats
	classes    map[string]*classLatency    // by request class
	attempts   map[AttemptID]*backendStats // stats of the backend of each attempt in flight
	lastServed AttemptID                   // the last attempt that succeeded
}

// NewLocalDetector returns a detector without backends.
func NewLocalDetector() *LocalDetector {
	return &LocalDetector{
		backends: map[policy.BackendID]*backendStats{},
		classes:  map[string]*classLatency{},
		attempts: map[AttemptID]*backendStats{},
	}
}

// SetBackends sets the backends with their start times. Evidence on other backends and on earlier starts is dropped.
func (d *LocalDetector) SetBackends(starts map[policy.BackendID]time.Duration) {
	for id, stats := range d.backends {
		started, listed := starts[id]
		if listed && started == stats.Started {
			continue
		}
		for _, a := range stats.inFlight {
			delete(d.attempts, a.id)
		}
		delete(d.backends, id)
	}
	for id, started := range starts {
		if d.backends[id] == nil {
			d.backends[id] = &backendStats{Observation: Observation{Backend: id, Started: started}}
		}
	}
}

// AttemptSent records that an attempt of a request class was sent to a backend.
func (d *LocalDetector) AttemptSent(now time.Duration, backend policy.BackendID, id AttemptID, class string) {
	stats := d.backends[backend]
	if stats == nil {
		return
	}
	stats.lastSent = now
	stats.inFlight = append(stats.inFlight, &attempt{id: id, class: class, sentAt: now})
	d.attempts[id] = stats
}

// LastSent returns when an attempt was last sent to a backend; 0 if never.
func (d *LocalDetector) LastSent(backend policy.BackendID) time.Duration {
	if stats := d.backends[backend]; stats != nil {
		return stats.lastSent
	}
	return 0
}

// AttemptEnded records the outcome of an attempt. An attempt at an earlier start of its backend is ignored.
func (d *LocalDetector) AttemptEnded(now time.Duration, id AttemptID, outcome policy.Outcome) {
	stats := d.attempts[id]
	if stats == nil {
		return
	}
	delete(d.attempts, id)
	ended := stats.takeInFlight(id)
	latency := (now - ended.sentAt).Seconds()
	class := d.class(ended.class)
	if class.isKnown() && isLatencySample(outcome, latency, class.mean) {
		stats.latencyRatio = latency / class.mean
		stats.latencyAt = now
	}
	switch outcome {
	case policy.Succeeded:
		d.attemptSucceeded(now, stats, ended, latency)
	case policy.Canceled:
		if d.isSuperseded(now, stats, ended, latency) {
			stats.recordFailure(now, Slow)
		}
	case policy.TimedOut:
		if d.isTimeoutAdverse(now, stats, ended, latency) {
			stats.recordFailure(now, Slow)
		}
	case policy.NoConnect:
		stats.recordFailure(now, Unreachable)
	case policy.Failed, policy.Reset:
		stats.recordFailure(now, Failing)
	case policy.Rejected, policy.NotSent: // says nothing about the backend's health
	}
}

// isLatencySample reports whether the latency of an ended attempt is a usable sample for its backend. For a cancelled
// or timed-out attempt it is only a lower bound, and so is usable only beyond the mean.
func isLatencySample(outcome policy.Outcome, latency, mean float64) bool {
	switch outcome {
	case policy.Succeeded:
		return true
	case policy.Canceled, policy.TimedOut:
		return latency > mean
	default:
		return false
	}
}

// attemptSucceeded records a success, which counts as a failure if it took too long.
func (d *LocalDetector) attemptSucceeded(now time.Duration, stats *backendStats, ended *attempt, latency float64) {
	d.lastServed = ended.id
	slow := d.isSlow(now, stats, ended, latency)
	d.class(ended.class).add(latency)
	switch {
	case !slow:
		stats.recordSuccess(now)
	case !ended.countedSlow:
		stats.recordFailure(now, Slow)
	}
}

// isSlow reports whether a latency in seconds exceeds the limit of the attempt's class, both unscaled and scaled by the
// present fleet latency.
func (d *LocalDetector) isSlow(now time.Duration, stats *backendStats, a *attempt, latency float64) bool {
	limit := d.class(a.class).slowLimit()
	return latency > limit && latency > limit*d.fleetLatency(now, stats)
}

// isSuperseded reports whether a cancelled attempt counts against its backend because a later attempt of the same
// request was served first. Attempts at a slow backend usually end this way, since their requests are hedged.
func (d *LocalDetector) isSuperseded(now time.Duration, stats *backendStats, ended *attempt, latency float64) bool {
	later := d.lastServed.Request == ended.id.Request && d.lastServed.Number > ended.id.Number
	if !later || ended.countedSlow {
		return false
	}
	return latency > supersededFactor*d.class(ended.class).mean*d.fleetLatency(now, stats)
}

// isTimeoutAdverse reports whether a timed-out attempt counts against its backend. While the whole fleet is slow, it
// does so only beyond the limit scaled by the fleet latency.
func (d *LocalDetector) isTimeoutAdverse(now time.Duration, stats *backendStats, ended *attempt, latency float64) bool {
	if ended.countedSlow {
		return false
	}
	fleet := d.fleetLatency(now, stats)
	return fleet < supersededFactor || latency > d.class(ended.class).slowLimit()*fleet
}

// Tick counts attempts in flight that take too long as failures of their backends, before they end.
func (d *LocalDetector) Tick(now time.Duration) {
	for _, stats := range d.backends {
		for _, a := range stats.inFlight {
			if a.countedSlow {
				continue
			}
			if elapsed := (now - a.sentAt).Seconds(); d.isSlow(now, stats, a, elapsed) {
				a.countedSlow = true
				stats.recordFailure(now, Slow)
			}
		}
	}
}

// Observation returns the evidence on a backend, and whether the backend is known.
func (d *LocalDetector) Observation(now time.Duration, backend policy.BackendID) (Observation, bool) {
	stats := d.backends[backend]
	if stats == nil {
		return Observation{}, false
	}
	stats.decay(now)
	return stats.Observation, true
}

// Observations returns the observations of all backends with a success or a failure, sorted by id. A backend with
// negligible failure evidence is omitted unless wanted returns true for it. If wanted is nil, none is omitted.
func (d *LocalDetector) Observations(now time.Duration, wanted func(policy.BackendID) bool) []Observation {
	var observations []Observation
	for id, stats := range d.backends {
		if stats.LastSuccess == 0 && stats.LastFailure == 0 {
			continue
		}
		if wanted != nil && stats.FailureEvidence < negligibleFailureEvidence && !wanted(id) {
			continue
		}
		o, _ := d.Observation(now, id)
		observations = append(observations, o)
	}
	slices.SortFunc(observations, func(a, b Observation) int {
		return strings.Compare(string(a.Backend), string(b.Backend))
	})
	return observations
}
