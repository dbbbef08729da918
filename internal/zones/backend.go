package zones

import (
	"math"
	"slices"
	"time"

	"hitchspring/policy"
)

const (
	failuresUnhealthy = 2                      // failures in a row that make a backend unhealthy
	minPatience       = 300 * time.Millisecond // without an answer before a backend can count as silent
	maxPatience       = 1500 * time.Millisecond
	patienceFactor    = 4.0 // usual latencies before a backend can count as silent
	supersededFactor  = 2.0 // usual latencies after which a cancelled attempt counts as a failure

	latencyGain        = 0.15 // weight of one answer in the relative latency of a backend
	maxRelativeLatency = 8.0
	minRelativeLatency = 0.5  // a backend that is faster has no more capacity for it
	latencyHalfLife    = 6.0  // seconds in which half of what was learned of a backend's latency is forgotten
	usualLatencyGain   = 0.02 // weight of one answer in the usual latency of its class
	minUsualLatency    = 1e-6 // seconds
	lateDivisor        = 3    // an answer is late beyond this part of its class's latency objective
)

// Backend is an entry of the endpoint list.
type Backend struct {
	ID      policy.BackendID
	Zone    string
	State   policy.BackendState
	Size    float64       // relative capacity; 0 counts as 1
	Started time.Duration // 0: long ago
}

// backend is what this instance knows of one start of a backend.
type backend struct {
	Backend
	inFlight        []time.Duration // when the attempts in flight were sent, oldest first
	failures        int             // in a row, since the last answer
	failingSince    time.Duration   // the first of those
	answeredAt      time.Duration   // the last answer; 0: none
	answersInRow    int             // since the last failure, or since the backend became unproven
	unproven        bool            // gets no request until it has answered often enough
	probing         bool            // a probe has not ended
	relativeLatency float64         // against the usual latency; 1: usual
	learnedAt       time.Duration   // the time to which relativeLatency is decayed
}

func newBackend(now time.Duration) *backend {
	return &backend{relativeLatency: 1, learnedAt: now}
}

// restart forgets what was known of the process that had the same id before. Its attempts and its probe may still end.
func (b *backend) restart(now time.Duration) {
	inFlight, probing := b.inFlight, b.probing
	*b = *newBackend(now)
	b.inFlight = inFlight
	b.probing = probing
}

// recordFailure counts a failure that began at since.
func (b *backend) recordFailure(since time.Duration) {
	if b.failures == 0 {
		b.failingSince = since
	}
	b.failures++
	b.answersInRow = 0
}

func (b *backend) recordAnswer(now time.Duration) {
	b.answeredAt = now
	b.failures = 0
	b.answersInRow++
}

// learnLatency moves the relative latency towards that of one answer; what was learned long ago weighs less.
func (b *backend) learnLatency(now time.Duration, relative float64) {
	retained := b.latencyRetained(now)
	b.relativeLatency = 1 + (b.relativeLatency-1)*retained
	b.relativeLatency += (1 - (1-latencyGain)*retained) * (relative - b.relativeLatency)
	b.learnedAt = now
}

// latencyRetained returns the share of what was learned of the latency that is not forgotten by now.
func (b *backend) latencyRetained(now time.Duration) float64 {
	return math.Exp2(-(now - b.learnedAt).Seconds() / latencyHalfLife)
}

// silentSince returns since when an answer is awaited in which the backend answered nothing. An attempt must be in
// flight.
func (b *backend) silentSince() time.Duration { return max(b.inFlight[0], b.answeredAt) }

// AttemptSent notes that an attempt was sent to a backend.
func (t *Tracker) AttemptSent(now time.Duration, id policy.BackendID) {
	b := t.backends[id]
	if b == nil {
		return
	}
	b.inFlight = append(b.inFlight, now)
	t.zone(now, b.Zone).sent.add(now)
}

// AttemptEnded notes how an attempt ended that was sent at sentAt.
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
		// A hedged attempt elsewhere was faster. That speaks against a backend that has answered nothing since.
		if b.answeredAt < sentAt && latency > supersededFactor*t.usualLatency[class] {
			b.recordFailure(sentAt)
		}
		return
	case policy.Succeeded:
		t.learnLatency(now, b, class, latency)
		z.answered.add(now)
		b.recordAnswer(now)
	case policy.Rejected: // it answers, and has no capacity left
		b.learnLatency(now, maxRelativeLatency)
		b.recordAnswer(now)
	default: // failed, timed out, reset or not connected
		b.recordFailure(now)
		b.learnLatency(now, maxRelativeLatency)
	}
	z.ended.add(now)
	objective := t.cfg.LatencyObjectives[class]
	if outcome != policy.Succeeded || objective > 0 && now-sentAt > objective/lateDivisor {
		z.late.add(now)
	}
}

// learnLatency takes the latency, in seconds, of an attempt that succeeded into the usual latency of its class and into
// the relative latency of its backend.
func (t *Tracker) learnLatency(now time.Duration, b *backend, class string, latency float64) {
	usual, known := t.usualLatency[class]
	if !known {
		usual = latency
	}
	share := t.capacityShare(now, b)
	if share >= 1 {
		t.usualLatency[class] = usual + usualLatencyGain*(min(latency, maxRelativeLatency*usual)-usual)
	}
	// The capacity that a backend lacks while it warms up counts by its age alone, so its latency is scaled down.
	b.learnLatency(now, min(latency*share/max(usual, minUsualLatency), maxRelativeLatency))
}

// capacityShare returns the share of its capacity that a backend has by its age: below 1 during slow start.
func (t *Tracker) capacityShare(now time.Duration, b *backend) float64 {
	age := now - b.Started
	if b.Started == 0 || t.cfg.SlowStartWindow <= 0 || age >= t.cfg.SlowStartWindow {
		return 1
	}
	return t.cfg.SlowStartShare + (1-t.cfg.SlowStartShare)*max(0, age.Seconds())/t.cfg.SlowStartWindow.Seconds()
}

// capacity returns what a backend can take now, in usual warm backends: 0 if it is not running, unproven or unhealthy.
func (t *Tracker) capacity(now time.Duration, b *backend) float64 {
	if b.State != policy.Running || b.unproven || t.isUnhealthy(now, b) {
		return 0
	}
	relative := 1 + (b.relativeLatency-1)*b.latencyRetained(now)
	return b.Size * t.capacityShare(now, b) / max(relative, minRelativeLatency)
}

// isUnhealthy reports whether a backend shows by itself that it is out of order: by failures in a row, or by a time in
// which it answered nothing.
func (t *Tracker) isUnhealthy(now time.Duration, b *backend) bool {
	if b.failures >= failuresUnhealthy {
		return true
	}
	return len(b.inFlight) > 0 && now-b.silentSince() > t.patience()
}

// patience returns for how long an answer may be awaited before the silence says something.
func (t *Tracker) patience() time.Duration {
	slowest := 0.0
	for _, usual := range t.usualLatency {
		slowest = max(slowest, usual)
	}
	return min(max(time.Duration(patienceFactor*slowest*float64(time.Second)), minPatience), maxPatience)
}
