package zones

import (
	"math"
	"slices"
	"time"

	"hitchspring/policy"
)

const (
	unhealthyThreshold   = 2                      // consecutive failures that make a backend unhealthy
	minSilenceTimeout    = 300 * time.Millisecond // minimum time without an answer before a backend counts as silent
	maxSilenceTimeout    = 1500 * time.Millisecond
	silenceTimeoutFactor = 4.0 // multiple of the highest mean latency after which a backend counts as silent
	supersededFactor     = 2.0 // multiple of the mean latency beyond which a cancelled attempt counts as a failure

	latencyGain        = 0.15 // weight of one sample in the relative latency of a backend
	maxRelativeLatency = 8.0
	minRelativeLatency = 0.5  // a backend that is even faster counts with no more capacity
	latencyHalfLife    = 6.0  // seconds in which a backend's deviation from the mean latency decays to one half
	meanLatencyGain    = 0.02 // weight of one sample in the mean latency of its class
	minMeanLatency     = 1e-6 // seconds
	lateDivisor        = 3    // an answer is late after 1/lateDivisor of the latency objective of its class
)

// Backend is an entry of the endpoint list.
type Backend struct {
	ID      policy.BackendID
	Zone    string
	State   policy.BackendState
	Size    float64       // relative capacity; 0 counts as 1
	Started time.Duration // 0: long ago, so without slow start
}

// backend is the state that this instance tracks for one run of a backend process.
type backend struct {
	Backend
	inFlight            []time.Duration // send times of the attempts in flight, oldest first
	consecutiveFailures int             // since the last answer
	failingSince        time.Duration   // time of the first of the consecutive failures
	answeredAt          time.Duration   // time of the last answer; 0: none
	consecutiveAnswers  int             // since the last failure, or since the backend became unproven
	unproven            bool            // gets no requests until it has answered often enough in a row
	probing             bool            // a probe is in flight
	relativeLatency     float64         // average latency relative to the mean of the request class
	latencyUpdatedAt    time.Duration   // when relativeLatency was last updated
}

func newBackend(now time.Duration) *backend {
	return &backend{relativeLatency: 1, latencyUpdatedAt: now}
}

// restart resets the state for a new process with the same id. The attempts and the probe of the old process stay in
// flight, as they may still end.
func (b *backend) restart(now time.Duration) {
	inFlight, probing := b.inFlight, b.probing
	*b = *newBackend(now)
	b.inFlight = inFlight
	b.probing = probing
}

// recordFailure counts a failure that began at since.
func (b *backend) recordFailure(since time.Duration) {
	if b.consecutiveFailures == 0 {
		b.failingSince = since
	}
	b.consecutiveFailures++
	b.consecutiveAnswers = 0
}

func (b *backend) recordAnswer(now time.Duration) {
	b.answeredAt = now
	b.consecutiveFailures = 0
	b.consecutiveAnswers++
}

// recordLatency updates the average of the relative latency with one sample. The weight of earlier samples decays with
// time.
func (b *backend) recordLatency(now time.Duration, relative float64) {
	retained := b.latencyDecay(now)
	b.relativeLatency = 1 + (b.relativeLatency-1)*retained
	b.relativeLatency += (1 - (1-latencyGain)*retained) * (relative - b.relativeLatency)
	b.latencyUpdatedAt = now
}

// latencyDecay returns the factor, 0 to 1, by which the deviation of relativeLatency from 1 has decayed since the last
// update.
func (b *backend) latencyDecay(now time.Duration) float64 {
	return math.Exp2(-(now - b.latencyUpdatedAt).Seconds() / latencyHalfLife)
}

// silentSince returns the time of the last answer, or when the oldest attempt in flight was sent if that is later. An
// attempt must be in flight.
func (b *backend) silentSince() time.Duration { return max(b.inFlight[0], b.answeredAt) }

// AttemptSent records that an attempt was sent to a backend.
func (t *Tracker) AttemptSent(now time.Duration, id policy.BackendID) {
	b := t.backends[id]
	if b == nil {
		return
	}
	b.inFlight = append(b.inFlight, now)
	t.zone(now, b.Zone).sent.add(now)
}

// AttemptEnded records the outcome of an attempt that was sent at sentAt.
func (t *Tracker) AttemptEnded(
	now time.Duration, id policy.BackendID, sentAt time.Duration, class string, outcome policy.Outcome,
) {
	b := t.backends[id]
	if b == nil {
		return
	}
	if i := slices.Index(b.inFlight, sentAt); i >= 0 {
		b.inFlight = slices.Delete(b.inFlight, i, i+1)
	}
	latency := (now - sentAt).Seconds()
	z := t.zone(now, b.Zone)
	switch outcome {
	case policy.NotSent:
		return
	case policy.Canceled:
		// A hedged attempt at another backend was faster. That counts as a failure if this backend has answered nothing
		// since the attempt was sent.
		if b.answeredAt < sentAt && latency > supersededFactor*t.meanLatency[class] {
			b.recordFailure(sentAt)
		}
		return
	case policy.Succeeded:
		t.recordLatency(now, b, class, latency)
		z.answered.add(now)
		b.recordAnswer(now)
	case policy.Rejected: // the backend is healthy but has no capacity left
		b.recordLatency(now, maxRelativeLatency)
		b.recordAnswer(now)
	default: // failed, timed out, reset or not connected
		b.recordFailure(now)
		b.recordLatency(now, maxRelativeLatency)
	}
	z.ended.add(now)
	objective := t.cfg.LatencyObjectives[class]
	if outcome != policy.Succeeded || objective > 0 && now-sentAt > objective/lateDivisor {
		z.late.add(now)
	}
}

// recordLatency adds the latency, in seconds, of a successful attempt to the mean latency of its class and to the
// relative latency of its backend.
func (t *Tracker) recordLatency(now time.Duration, b *backend, class string, latency float64) {
	mean, known := t.meanLatency[class]
	if !known {
		mean = latency
	}
	share := t.capacityShare(now, b)
	if share >= 1 {
		t.meanLatency[class] = mean + meanLatencyGain*(min(latency, maxRelativeLatency*mean)-mean)
	}
	// capacityShare already accounts for the lower capacity during slow start: scaling the latency down avoids counting
	// it twice.
	b.recordLatency(now, min(latency*share/max(mean, minMeanLatency), maxRelativeLatency))
}

// capacityShare returns the share of its full capacity that a backend has at its age: below 1 during slow start.
func (t *Tracker) capacityShare(now time.Duration, b *backend) float64 {
	age := now - b.Started
	if b.Started == 0 || t.cfg.SlowStartWindow <= 0 || age >= t.cfg.SlowStartWindow {
		return 1
	}
	return t.cfg.SlowStartShare + (1-t.cfg.SlowStartShare)*max(0, age.Seconds())/t.cfg.SlowStartWindow.Seconds()
}

// capacity returns the present capacity of a backend, in units of an average backend after slow start. It is 0 if the
// backend is not running, unproven or unhealthy.
func (t *Tracker) capacity(now time.Duration, b *backend) float64 {
	if b.State != policy.Running || b.unproven || t.isUnhealthy(now, b) {
		return 0
	}
	relative := 1 + (b.relativeLatency-1)*b.latencyDecay(now)
	return b.Size * t.capacityShare(now, b) / max(relative, minRelativeLatency)
}

// isUnhealthy reports whether a backend has failed unhealthyThreshold times in a row or has been silent for longer than
// the silence timeout.
func (t *Tracker) isUnhealthy(now time.Duration, b *backend) bool {
	if b.consecutiveFailures >= unhealthyThreshold {
		return true
	}
	return len(b.inFlight) > 0 && now-b.silentSince() > t.silenceTimeout()
}

// silenceTimeout returns how long a backend with attempts in flight may answer nothing before it counts as silent.
func (t *Tracker) silenceTimeout() time.Duration {
	slowest := 0.0
	for _, mean := range t.meanLatency {
		slowest = max(slowest, mean)
	}
	return min(
		max(time.Duration(silenceTimeoutFactor*slowest*float64(time.Second)), minSilenceTimeout), maxSilenceTimeout,
	)
}
