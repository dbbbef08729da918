package policy

import (
	"math"
	"time"
)

const (
	// latencyGain is the weight of one response in the mean latency of its class.
	latencyGain = 0.02
	// meanLatencyGain is the weight of one response in the mean latency of all classes.
	meanLatencyGain = 0.05
	// slownessGain is the weight of one response in the slowness of its backend.
	slownessGain = 0.15
	// failurePenalty is the relative latency that a failed attempt counts as.
	failurePenalty = 8.0
	// failuresToEject is the number of consecutive failures that eject a backend.
	failuresToEject = 3
	// slownessHalfLifeObjectives is the half-life of a backend's slowness, as a
	// multiple of the longest latency objective.
	slownessHalfLifeObjectives = 8.0
)

// ProbationSlowness is the slowness passed to SetPeerSlowness for a backend on
// probation. It is below 1, so that the backend is preferred to one of mean latency
// and receives requests that show whether it has recovered.
const ProbationSlowness = 0.5

// SetPeerSlowness sets the slowness of backends as reported by other instances, as
// a multiple of the mean latency. For backends that are not in the map, only the
// observations of this instance count. For a backend at ProbationSlowness, the
// observations of this instance are reset too. Reported values are never passed on
// as observations of this instance.
func (e *Engine) SetPeerSlowness(slowness map[BackendID]float64) {
	for id, b := range e.backends {
		b.peerSlowness = slowness[id]
		if b.peerSlowness == ProbationSlowness {
			b.slowness = ProbationSlowness
			b.slownessAt = e.now
			b.consecutiveFailures = 0
			b.ejectedUntil = 0
		}
	}
}

// learnedSlowness returns the backend's observed slowness, decayed over time, or the
// slowness reported by other instances if that is higher.
func (e *Engine) learnedSlowness(b *backend) float64 {
	return max(1+(b.slowness-1)*e.slownessRetention(b), b.peerSlowness)
}

// currentSlowness returns the learned slowness, or a higher value if the oldest
// attempt in flight has already taken longer.
func (e *Engine) currentSlowness(b *backend) float64 {
	slowness := e.learnedSlowness(b)
	if len(b.outstanding) > 0 && e.meanLatency > 0 {
		slowness = max(slowness, (e.now-b.outstanding[0].sentAt).Seconds()/(3*e.meanLatency))
	}
	return slowness
}

// slownessRetention returns the factor by which a backend's slowness has decayed
// since it was last updated. The half-life is several latency objectives, or the
// mean time between two responses of a backend if that is longer.
func (e *Engine) slownessRetention(b *backend) float64 {
	halfLife := max(slownessHalfLifeObjectives*e.longestObjective.Seconds(),
		float64(len(e.running))/max(e.responses.rate, 1e-3))
	return math.Exp2(-(e.now - b.slownessAt).Seconds() / halfLife)
}

// recordOutcome updates the statistics at the end of an attempt: the latency of its
// class, the slowness of its backend, and whether backend and zone are reachable.
func (e *Engine) recordOutcome(a *attempt, c *class, outcome Outcome, took time.Duration) {
	if outcome == Canceled || outcome == NotSent {
		return
	}
	b := a.backend
	observed := failurePenalty
	if outcome == Succeeded {
		observed = e.recordLatency(c, took.Seconds())
		b.consecutiveFailures = 0
		b.ejectedUntil = 0
		delete(e.unreachable, b.Zone)
		e.responses.rate = 1 + e.responses.rate*math.Exp(-(e.now-e.responses.rateAt).Seconds())
		e.responses.rateAt = e.now
	} else {
		e.recordFailure(b, outcome)
	}
	retained := e.slownessRetention(b)
	b.slowness = 1 + (b.slowness-1)*retained
	b.slowness += (1 - (1-slownessGain)*retained) * (observed - b.slowness)
	b.slownessAt = e.now
}

// recordLatency adds a latency, in seconds, to the means and returns it divided by
// the mean of its class, at most failurePenalty.
func (e *Engine) recordLatency(c *class, latency float64) (relative float64) {
	if c.meanLatency == 0 {
		c.meanLatency = latency
		c.latencyDeviation = latency / 2
		e.meanLatency = max(e.meanLatency, latency)
	}
	relative = min(latency/c.meanLatency, failurePenalty)
	clipped := min(latency, c.meanLatency*failurePenalty)
	c.latencyDeviation += latencyGain * (math.Abs(clipped-c.meanLatency) - c.latencyDeviation)
	c.meanLatency += latencyGain * (clipped - c.meanLatency)
	e.meanLatency += meanLatencyGain * (clipped - e.meanLatency)
	return relative
}

// recordFailure counts a failure of a backend and ejects it after several
// consecutive failures, with exponential backoff.
func (e *Engine) recordFailure(b *backend, outcome Outcome) {
	b.consecutiveFailures++
	e.recordUnreachable(b, outcome)
	if b.consecutiveFailures >= failuresToEject {
		backoff := uint(1) << min(b.consecutiveFailures-failuresToEject, 4)
		b.ejectedUntil = e.now + e.longestObjective*time.Duration(backoff)
	}
}
