package policy

// retryRatio is what each first attempt adds to the retry budget.
const retryRatio = 0.15

// refillRetryBudget adds the share of one first attempt to the retry budget, up to
// windowShare.
func (e *Engine) refillRetryBudget() {
	e.retryBudget = min(e.windowShare(), e.retryBudget+retryRatio)
}

// mayRetry reports whether another attempt of the request may be sent now without
// the risk that the request takes effect twice. It does not check the retry
// budget.
func (e *Engine) mayRetry(r *request) bool {
	if len(r.attempts) >= max(e.settings.MaxAttempts, 1) || r.streaming || r.phase == phaseFinished {
		return false
	}
	first := r.bindingAttempt()
	if first == nil {
		return true
	}
	switch r.class.Effect {
	case Safe:
		return true
	case Keyed: // the margin covers the transmission to the backend
		return e.now-first.sentAt < r.class.RepeatWindow*9/10
	default:
		return false
	}
}

// hasTimeToRetry reports whether another attempt is expected to get a response
// before the client gives up.
func (e *Engine) hasTimeToRetry(r *request) bool {
	return r.GiveUpAt-e.now >= r.class.expectedLatency(0)+2*e.sweepInterval
}

// safeToReject reports whether the client can safely retry the request: no attempt
// has run, or a repeat has no additional effect at any backend.
func (r *request) safeToReject() bool {
	if r.bindingAttempt() == nil {
		return true
	}
	switch r.class.Effect {
	case Safe:
		return true
	case Keyed:
		return r.class.Group == GroupAll
	default:
		return false
	}
}
