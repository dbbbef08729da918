package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

type backend struct {
	Backend
	outstanding                        []*attempt
	slowness, peerSlowness             float64 // latency relative to the fleet's: by its answers, by others' word
	sendPhase                          float64 // part of the space to the next send
	slownessAt, lastSent               time.Duration
	ejectedUntil                       time.Duration // no work before, unless too many are
	consecutiveFailures, untimelyRound int           // failures in a row; last round with an untimely end
	subsetHash                         uint64        // of this gateway's round; who shares the round has other servers
	unproven                           bool          // of a hall that was lost, and not known to be back itself
}

// learned is the relative latency as remembered, or as others say; slowness also what the longest wait shows.
func (e *Engine) learnedSlowness(s *backend) float64 {
	return max(1+(s.slowness-1)*e.slownessRetention(s), s.peerSlowness)
}

func (e *Engine) currentSlowness(s *backend) float64 {
	v := e.learnedSlowness(s)
	if len(s.outstanding) > 0 && e.meanLatency > 0 {
		v = max(v, (e.now-s.outstanding[0].sentAt).Seconds()/(3*e.meanLatency))
	}
	return v
}

// memory is the part left of what was learned: half goes in some aims, or between two answers of a server.
func (e *Engine) slownessRetention(s *backend) float64 {
	half := max(slownessHalfLifeObjectives*e.longestObjective.Seconds(), float64(len(e.running))/max(e.answerRate, 1e-3))
	return math.Exp2(-(e.now - s.slownessAt).Seconds() / half)
}

// choose picks the server with the least expected wait among those that may take the request.
func (e *Engine) chooseBackend(r *request) *backend {
	var best *backend
	bestScore := math.Inf(1)
	anchor := r.bindingAttempt()
	for _, s := range e.running {
		bound := anchor != nil && r.class.Effect != Safe && !sameGroup(r.class.Group, anchor, s)
		h := e.zones[s.Zone]
		crawls := !e.largeFleet && len(s.outstanding) > 0 && e.learnedSlowness(s) > crawlingSlowness // more would crawl with it
		if bound || crawls || s.unproven || !e.slowStartAllows(s) || !h.hasCredit(e.now) {
			continue
		}
		score := e.currentSlowness(s)
		if !e.largeFleet && (e.now-max(s.lastSent, s.Started)).Seconds() < slowStartIdleSeconds*s.sendPhase { // of many: too little
			score = max(score, 1/e.capacityShare(s)) // its answers show the same
		}
		score *= (1 + float64(len(s.outstanding))) * (1 + 0.1*e.rng.Float64())
		if !e.inSubset(s) {
			score *= outsideSubsetFactor
		}
		if h != nil {
			score *= h.Price
		} else if s.Zone != e.settings.Zone && e.settings.CrossZonePrice > 0 {
			score *= 1.3
		}
		if r.hasTried(s) || e.unreachable[s.Zone].until > e.now ||
			s.consecutiveFailures >= failuresToEject && (s.ejectedUntil > e.now || len(s.outstanding) > 0) {
			score *= lastResortFactor
		}
		if score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// sameGroup says whether a server shares the memory of keys with the one that an attempt was sent to, as
// that was then.
func sameGroup(of Group, a *attempt, s *backend) bool {
	return of == GroupAll || of == GroupZone && a.zone == s.Zone || of == GroupCell && a.cell == s.Cell
}

func (r *request) hasTried(s *backend) bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.backend == s })
}

// observe learns from an attempt's end.
func (e *Engine) recordOutcome(a *attempt, c *class, o Outcome, took time.Duration) {
	if o == Cancelled || o == NotSent {
		return
	}
	s, t := a.backend, took.Seconds()
	seen := failurePenalty
	if o == Succeeded {
		if c.meanLatency == 0 {
			c.meanLatency, c.latencyDeviation, e.meanLatency = t, t/2, max(e.meanLatency, t)
		}
		seen = min(t/c.meanLatency, failurePenalty)
		clipped := min(t, c.meanLatency*failurePenalty)
		c.latencyDeviation += 0.02 * (math.Abs(clipped-c.meanLatency) - c.latencyDeviation)
		c.meanLatency += 0.02 * (clipped - c.meanLatency)
		e.meanLatency += 0.05 * (clipped - e.meanLatency)
		s.consecutiveFailures, s.ejectedUntil = 0, 0
		delete(e.unreachable, s.Zone)
		e.answerRate, e.answerRateAt = 1+e.answerRate*math.Exp(-(e.now-e.answerRateAt).Seconds()), e.now
	} else {
		s.consecutiveFailures++
		e.recordUnreachable(s, o)
		if s.consecutiveFailures >= failuresToEject {
			s.ejectedUntil = e.now + e.longestObjective*time.Duration(uint(1)<<min(s.consecutiveFailures-failuresToEject, 4))
		}
	}
	left := e.slownessRetention(s)
	s.slowness = 1 + (s.slowness-1)*left
	s.slowness, s.slownessAt = s.slowness+(1-(1-slownessGain)*left)*(seen-s.slowness), e.now
}

func (e *Engine) handleEndpointsChanged(ev EndpointsChanged) {
	if ev.Failed {
		e.watchingEndpoints = false
		return
	}
	first := len(e.running) == 0
	if e.largeFleet {
		e.refillSlowStartTokens()
	}
	if ev.Complete {
		for _, s := range e.running {
			s.State = Gone
		}
	}
	for _, entry := range ev.Backends {
		s := e.backends[entry.ID]
		if s == nil {
			s = &backend{}
			e.backends[entry.ID] = s
		}
		if s.slowness == 0 || s.Started != entry.Started { // new or restarted: only what is still out stays
			*s = backend{
				outstanding: s.outstanding, slowness: 1, slownessAt: e.now, untimelyRound: -1, sendPhase: e.rng.Float64(),
				unproven: s.unproven, subsetHash: e.hashForSubset(entry.ID),
			}
		}
		s.Backend = entry
	}
	e.answeringBackends, e.answeringBackendsAt, e.running = e.countAnsweringBackends(), e.now, e.running[:0]
	for id, s := range e.backends {
		if s.State == Running {
			e.running = append(e.running, s)
		} else if s.State == Gone && len(s.outstanding) == 0 { // ids are ever new: it would stay for good
			delete(e.backends, id)
		}
	}
	slices.SortFunc(e.running, func(a, b *backend) int { return cmp.Compare(a.ID, b.ID) })
	if first {
		e.window, e.retryBudget = e.windowShare(), e.windowShare()
	}
	for e.subsetCount = 1; e.largeFleet && e.subsetCount < 4 && e.subsetCount*2*minSubset <= len(e.running); {
		e.subsetCount *= 2 // a power of two: a fleet that shrinks adds to a gateway's servers, and takes none
	}
}

// warmth is the share of its capacity that a server surely has: it grows evenly from the cold share.
func (e *Engine) capacityShare(s *backend) float64 {
	age := e.now - s.Started
	if s.Started == 0 || age >= e.settings.SlowStartWindow || e.settings.SlowStartWindow <= 0 {
		return 1
	}
	cold := max(e.settings.SlowStartShare, 0.01)
	return cold + (1-cold)*max(0, age.Seconds())/e.settings.SlowStartWindow.Seconds()
}

// eachAnswers is the answers a second that a warm server gives here. Where most of the fleet has just gone,
// the few that are left have not earned its answers: both figures fade alike.
func (e *Engine) answersPerBackend() float64 {
	if e.backendAnswerRateAt != e.now { // many servers are looked at in one moment
		e.backendAnswerRateAt = e.now
		e.backendAnswerRate = e.answerRate * math.Exp(-(e.now - e.answerRateAt).Seconds()) / max(e.countAnsweringBackends(), 0.1)
	}
	return e.backendAnswerRate
}

// earners is the warm servers that the answers came from; a cold one counts by its warmth, else a fleet that
// is cold as a whole would take its own slowness for all that servers can do.
func (e *Engine) countAnsweringBackends() float64 {
	n := 0.0
	for _, s := range e.running {
		w := e.capacityShare(s)
		if !e.largeFleet { // a crawling one answers little, and that says nothing of the others
			w = min(w, 1/max(1, e.currentSlowness(s)))
		}
		n += w
	}
	return n + max(0, e.answeringBackends-n)*math.Exp(-(e.now-e.answeringBackendsAt).Seconds())
}

// coldRoom spaces sends to a cold server by what warm ones answer here, scaled to its warmth, so that the sum
// over all gateways stays within it; the first comes at a random part of the space.
func (e *Engine) slowStartAllows(s *backend) bool {
	w := e.capacityShare(s)
	if w >= 1 {
		return true
	}
	if e.largeFleet {
		return e.refillSlowStartTokens() >= 1 && e.now-s.lastSent > time.Second
	}
	rate := slowStartRateFactor * w * max(e.answersPerBackend(), initialAttemptsPerBackend/float64(e.settings.Instances))
	return (e.now - max(s.lastSent, s.Started)).Seconds() >= s.sendPhase/rate
}
