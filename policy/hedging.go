package policy

// hedgeDeviations is the number of mean deviations above the mean latency after
// which a hedged request is sent.
const hedgeDeviations = 3.0

// checkOverdue removes attempts from the window that have been in flight for longer
// than the latency objective, and sends a hedged request if the response takes
// much longer than the mean latency.
func (e *Engine) checkOverdue(r *request) {
	for _, a := range r.attempts {
		if !a.ended && !a.releasedFromWindow && e.now-a.sentAt > r.class.LatencyObjective {
			a.releasedFromWindow = true
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

// mayHedge reports whether a hedged request is allowed: exactly one attempt is in
// flight, time and retry budget are left, and no request within its quota would be
// delayed.
func (e *Engine) mayHedge(r *request) bool {
	switch {
	case !e.settings.Hedging, r.Delegated, r.phase == phaseQueued, r.outstanding != 1:
		return false
	case e.retryBudget < 1, r.overQuota:
		return false
	case e.now > r.arrivedAt+r.class.LatencyObjective:
		return false
	case r.class.meanLatency == 0, e.overloaded():
		return false
	default:
		return e.mayRetry(r) && e.maySend(r)
	}
}
