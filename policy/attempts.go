package policy

import (
	"slices"
	"time"
)

// anchor is the first attempt that is out or may have run.
func (r *request) bindingAttempt() *attempt {
	if i := slices.IndexFunc(r.attempts, func(a *attempt) bool { return a.mayHaveRun }); i >= 0 {
		return r.attempts[i]
	}
	return nil
}

// repeatable says whether another attempt may go out now.
func (e *Engine) mayRetry(r *request) bool {
	if len(r.attempts) >= max(e.settings.MaxAttempts, 1) || r.streaming || r.finished {
		return false
	}
	a := r.bindingAttempt()
	return a == nil || r.class.Effect == Safe || // the margin is for the way there
		r.class.Effect == Keyed && e.now-a.sentAt < r.class.RepeatWindow*9/10
}

func (e *Engine) sendAttempt(r *request, s *backend) {
	if !r.sent {
		r.sent = true
		e.retryBudget = min(e.windowShare(), e.retryBudget+retryRatio)
		r.tenant.ceilingLevel -= r.Units
	}
	a := &attempt{index: len(r.attempts), backend: s, zone: s.Zone, cell: s.Cell, sentAt: e.now, mayHaveRun: true}
	r.attempts = append(r.attempts, a)
	r.outstanding, r.tenant.inFlight, e.inFlight = r.outstanding+1, r.tenant.inFlight+1, e.inFlight+1
	s.outstanding = append(s.outstanding, a)
	e.zones[s.Zone].spendCredit()
	s.lastSent, e.lastSent, s.sendPhase = e.now, e.now, 1
	if e.capacityShare(s) < 1 {
		e.slowStartTokens--
	}
	var stop time.Duration
	if !e.settings.Hedging && r.class.meanLatency > 0 && r.class.Effect != Unsafe { // ends for another
		stop = e.now + max(r.class.expectedLatency(2*hedgeDeviations), r.class.LatencyObjective/3)
	}
	e.emit(SendAttempt{ID: r.ID, Backend: s.ID, StopAt: stop})
}

// watch looks after a request that is out: a copy goes to another server when the answer is overdue.
func (e *Engine) checkOverdue(r *request) {
	for _, a := range r.attempts {
		if !a.ended && !a.writtenOff && e.now-a.sentAt > r.class.LatencyObjective {
			a.writtenOff = true
			e.inFlight--
			e.updateWindow(a, r.class, TimedOut, 0)
		}
	}
	if !e.settings.Hedging || r.Delegated || r.queued || r.outstanding != 1 || e.retryBudget < 1 || r.excess ||
		e.now > r.arrivedAt+r.class.LatencyObjective || r.class.meanLatency == 0 || e.overloaded() || !e.mayRetry(r) || !e.maySend(r) {
		return
	}
	if last := r.attempts[len(r.attempts)-1]; e.now-last.sentAt < r.class.expectedLatency(hedgeDeviations) {
		return
	}
	if s := e.chooseBackend(r); s != nil && !r.hasTried(s) {
		e.retryBudget--
		e.sendAttempt(r, s)
	}
}

func (e *Engine) handleAttemptEnded(ev AttemptEnded) {
	r := e.requests[ev.ID]
	if r == nil || ev.Attempt >= len(r.attempts) || r.attempts[ev.Attempt].ended {
		return
	}
	a := r.attempts[ev.Attempt]
	a.ended, a.mayHaveRun = true, !ev.Outcome.NeverRan()
	a.backend.outstanding = slices.DeleteFunc(a.backend.outstanding, func(b *attempt) bool { return a == b })
	r.outstanding, r.tenant.inFlight = r.outstanding-1, r.tenant.inFlight-1
	if !a.writtenOff {
		e.inFlight--
		e.updateWindow(a, r.class, ev.Outcome, ev.Took)
	}
	e.recordOutcome(a, r.class, ev.Outcome, ev.Took)
	if ev.Unsent && len(r.attempts) == 1 { // no node has seen it: it took nothing
		r.sent = false
		r.tenant.ceilingLevel += r.Units
	}
	switch {
	case r.finished:
	case ev.Finished:
		if r.plan.SettledByReply && ev.SettledUnits > 0 && r.charged {
			r.tenant.leasedUnits -= ev.SettledUnits - r.Units
		}
		e.finish(r)
	case r.outstanding > 0 || r.queued: // held: since its hall was lost
	case !e.mayRetry(r) || r.GiveUpAt-e.now < r.class.expectedLatency(0)+2*e.sweepInterval ||
		e.retryBudget < 1 && ev.Outcome != NotSent:
		r.reason = NoRetry
		e.giveUp(r)
	default: // tried again where its class, its time and the budget allow; what was never sent cost nothing
		if ev.Outcome != NotSent {
			e.retryBudget--
		}
		e.enqueue(r)
	}
}

// giveUp answers for good: refused where trying again is surely harmless, else failed.
func (e *Engine) giveUp(r *request) {
	if r.bindingAttempt() != nil && r.class.Effect != Safe && (r.class.Effect != Keyed || r.class.Group != GroupAll) {
		e.emit(Fail{ID: r.ID, Reason: r.reason})
		e.finish(r)
		return
	}
	e.reject(r, r.class.LatencyObjective)
}

func (e *Engine) reject(r *request, after time.Duration) {
	e.emit(Reject{ID: r.ID, RetryAfter: e.spreadRetryAfter(min(max(after, e.minRetryAfter), e.settings.MaxRetryAfter)), Reason: r.reason})
	e.finish(r)
}

// close marks the request as finally answered and calls off what is still out for it.
func (e *Engine) finish(r *request) {
	if r.queued {
		e.dequeue(r)
	}
	if r.charged && !r.sent {
		r.tenant.leasedUnits += r.Units
	}
	r.finished = true
	for _, a := range r.attempts {
		if !a.ended && e.settings.MayCancel && !r.streaming {
			e.emit(CancelAttempt{ID: r.ID, Attempt: a.index})
		}
	}
}
