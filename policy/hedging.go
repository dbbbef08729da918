package policy

// hedgeDeviations is how many mean deviations over the mean latency an attempt
// may take before a hedged request is sent.
const hedgeDeviations = 3.0

// checkOverdue writes off attempts that have been out for longer than the latency
// objective, and sends a hedged request where the answer is overdue.
func (e *Engine) checkOverdue(r *request) {
	for _, a := range r.attempts {
		if !a.ended && !a.writtenOff && e.now-a.sentAt > r.class.LatencyObjective {
			a.writtenOff = true
			e.window.inFlight--
			e.updateWindow(a, r.class, TimedOut, 0)
		}
	}
	if !e.mayHedge(r) {
		return
	}
	last := r.attempts[len(r.attempts)-1]
	if e.now-last.sentAt < r.class.expectedLatency(hedgeDeviations) {
		return
	}
	if b := e.chooseBackend(r); b != nil && !r.hasTried(b) {
		e.retryBudget--
		e.sendAttempt(r, b)
	}
}

// mayHedge reports whether a hedged request is allowed: there is exactly one
// attempt out, time and budget are left, and nobody inside a quota has to wait
// for it.
func (e *Engine) mayHedge(r *request) bool {
	switch {
	case !e.settings.Hedging, r.Delegated, r.phase == phaseQueued, r.outstanding != 1:
		return false
	case e.retryBudget < 1, r.excess:
		return false
	case e.now > r.arrivedAt+r.class.LatencyObjective:
		return false
	case r.class.meanLatency == 0, e.overloaded():
		return false
	default:
		return e.mayRetry(r) && e.maySend(r)
	}
}
