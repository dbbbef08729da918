package policy

import (
	"slices"
	"time"
)

// attempt is one transmission of a request to a backend.
type attempt struct {
	index              int // among the request's attempts
	backend            *backend
	zone               string // of the backend at sentAt: the endpoint list may move a backend later
	cell               int    // of the backend at sentAt
	sentAt             time.Duration
	ended              bool
	releasedFromWindow bool // overdue, or its zone was lost: it no longer counts toward the window
	mayHaveRun         bool // it is in flight, or its outcome does not rule out that it ran
	connectionLost     bool // it may have run, and its connection ended: see hasLostConnection
}

// sendAttempt sends an attempt of the request to the backend.
func (e *Engine) sendAttempt(r *request, b *backend) {
	if !r.sent {
		r.sent = true
		e.refillRetryBudget()
		r.tenant.ceilingLevel -= r.Units
	}
	a := &attempt{
		index:      len(r.attempts),
		backend:    b,
		zone:       b.Zone,
		cell:       b.Cell,
		sentAt:     e.now,
		mayHaveRun: true,
	}
	r.attempts = append(r.attempts, a)
	r.outstanding++
	r.tenant.inFlight++
	e.window.inFlight++
	b.outstanding = append(b.outstanding, a)
	e.zones[b.Zone].spendCredit()
	b.lastSent = e.now
	e.window.lastSent = e.now
	b.sendPhase = 1
	if e.capacityShare(b) < 1 {
		e.slowStartTokens--
	}
	e.emit(SendAttempt{ID: r.ID, Backend: b.ID, StopAt: e.attemptStopTime(r.class)})
}

// attemptStopTime returns when to stop an attempt so that another can be sent, if
// hedging is not allowed; 0 means never.
func (e *Engine) attemptStopTime(c *class) time.Duration {
	if e.settings.Hedging || c.meanLatency <= 0 || c.Effect == Unsafe {
		return 0
	}
	return e.now + max(c.expectedLatency(2*hedgeDeviations), c.LatencyObjective/3)
}

// handleAttemptEnded records the end of an attempt, then finishes the request,
// retries it or waits for its other attempts.
func (e *Engine) handleAttemptEnded(event AttemptEnded) {
	r := e.requests[event.ID]
	if r == nil || event.Attempt >= len(r.attempts) || r.attempts[event.Attempt].ended {
		return
	}
	e.endAttempt(r, r.attempts[event.Attempt], event)
	switch {
	case r.phase == phaseFinished:
	case event.Finished:
		if r.plan.SettledByReply && event.SettledUnits > 0 && r.charged {
			r.tenant.leasedUnits -= event.SettledUnits - r.Units
		}
		e.finish(r)
	case r.outstanding > 0 || r.phase == phaseQueued: // queued: already requeued when its zone was lost
	case !e.mayRetry(r) || !e.hasTimeToRetry(r) || e.retryBudget < 1 && event.Outcome != NotSent:
		r.reason = NoRetry
		e.rejectOrFail(r)
	default: // the retry of an attempt that was never sent is free
		if event.Outcome != NotSent {
			e.retryBudget--
		}
		e.enqueue(r)
	}
}

// endAttempt removes an ended attempt from all counts and updates the statistics
// with its outcome.
func (e *Engine) endAttempt(r *request, a *attempt, event AttemptEnded) {
	a.ended = true
	a.mayHaveRun = !event.Outcome.NeverRan()
	a.connectionLost = event.Outcome == Reset
	a.backend.outstanding = slices.DeleteFunc(a.backend.outstanding, func(b *attempt) bool { return a == b })
	r.outstanding--
	r.tenant.inFlight--
	if !a.releasedFromWindow {
		e.window.inFlight--
		e.updateWindow(a, r.class, event.Outcome, event.Elapsed)
	}
	e.recordOutcome(a, r.class, event.Outcome, event.Elapsed)
	if event.Unsent && len(r.attempts) == 1 { // no backend has received it: refund the ceiling
		r.sent = false
		r.tenant.ceilingLevel += r.Units
	}
}

// rejectOrFail gives a request its final answer: a rejection if the client can
// safely retry it, otherwise a failure.
func (e *Engine) rejectOrFail(r *request) {
	if !r.safeToReject() {
		e.emit(Fail{ID: r.ID, Reason: r.reason})
		e.finish(r)
		return
	}
	e.reject(r, r.class.LatencyObjective)
}

// reject rejects a request. retryAfter is limited to the current bounds of
// Retry-After.
func (e *Engine) reject(r *request, retryAfter time.Duration) {
	bounded := min(max(retryAfter, e.minZoneRetryAfter), e.settings.MaxRetryAfter)
	e.emit(Reject{ID: r.ID, RetryAfter: e.spreadRetryAfter(bounded), Reason: r.reason})
	e.finish(r)
}

// finish marks a request as finished, returns its units if it was never sent, and
// cancels its attempts in flight.
func (e *Engine) finish(r *request) {
	if r.phase == phaseQueued {
		e.dequeue(r)
	}
	if r.charged && !r.sent {
		r.tenant.leasedUnits += r.Units
	}
	r.phase = phaseFinished
	for _, a := range r.attempts {
		if !a.ended && e.settings.MayCancel && !r.streaming {
			e.emit(CancelAttempt{ID: r.ID, Attempt: a.index})
		}
	}
}
