package policy

import (
	"math"
	"time"
)

const (
	// latencyGain is the weight of one answer in the latency of its class.
	latencyGain = 0.02
	// meanLatencyGain is the weight of one answer in the latency of all.
	meanLatencyGain = 0.05
	// slownessGain is the weight of one answer in the slowness of its backend.
	slownessGain = 0.15
	// failurePenalty is what a failed attempt counts for, in mean latencies.
	failurePenalty = 8.0
	// failuresToEject is the number of failures in a row that eject a backend.
	failuresToEject = 3
	// slownessHalfLifeObjectives is the number of longest latency objectives after
	// which half of a backend's slowness is forgotten.
	slownessHalfLifeObjectives = 8.0
)

// ProbationSlowness is the slowness, for SetPeerSlowness, of a backend that is to
// be tried: it is chosen before one that is as fast as the mean.
const ProbationSlowness = 0.5

// SetPeerSlowness takes over what other instances say of how slow backends are,
// in mean latencies. For backends that are not named, only what this instance sees itself
// counts. What was learned here of a backend at ProbationSlowness is
// forgotten as well. Nothing of it is passed on as this instance's own.
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

// learnedSlowness returns the backend's relative latency as remembered, or as
// other instances say.
func (e *Engine) learnedSlowness(b *backend) float64 {
	return max(1+(b.slowness-1)*e.slownessRetention(b), b.peerSlowness)
}

// currentSlowness returns the learned slowness, or more where the oldest attempt
// that is out shows it.
func (e *Engine) currentSlowness(b *backend) float64 {
	slowness := e.learnedSlowness(b)
	if len(b.outstanding) > 0 && e.meanLatency > 0 {
		slowness = max(slowness, (e.now-b.outstanding[0].sentAt).Seconds()/(3*e.meanLatency))
	}
	return slowness
}

// slownessRetention returns the part that is left of what was learned of a
// backend. Half is forgotten in some latency objectives, or in the time between
// two answers of a backend.
func (e *Engine) slownessRetention(b *backend) float64 {
	halfLife := max(slownessHalfLifeObjectives*e.longestObjective.Seconds(),
		float64(len(e.running))/max(e.answers.rate, 1e-3))
	return math.Exp2(-(e.now - b.slownessAt).Seconds() / halfLife)
}

// recordOutcome learns from the end of an attempt: the latency of its class, the
// slowness of its backend, and whether backend or zone can be reached.
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
		e.answers.rate = 1 + e.answers.rate*math.Exp(-(e.now-e.answers.rateAt).Seconds())
		e.answers.rateAt = e.now
	} else {
		e.recordFailure(b, outcome)
	}
	retained := e.slownessRetention(b)
	b.slowness = 1 + (b.slowness-1)*retained
	b.slowness += (1 - (1-slownessGain)*retained) * (observed - b.slowness)
	b.slownessAt = e.now
}

// recordLatency adds a latency to the means, in seconds, and returns it relative
// to the mean of its class.
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

// recordFailure counts a failure of a backend, and ejects it after several in a
// row, for longer each time.
func (e *Engine) recordFailure(b *backend, outcome Outcome) {
	b.consecutiveFailures++
	e.recordUnreachable(b, outcome)
	if b.consecutiveFailures >= failuresToEject {
		backoff := uint(1) << min(b.consecutiveFailures-failuresToEject, 4)
		b.ejectedUntil = e.now + e.longestObjective*time.Duration(backoff)
	}
}
