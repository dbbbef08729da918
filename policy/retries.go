package policy

// retryRatio is the number of further attempts that a first attempt earns.
const retryRatio = 0.15

// earnRetries adds to the retry budget what a first attempt earns.
func (e *Engine) earnRetries() {
	e.retryBudget = min(e.windowShare(), e.retryBudget+retryRatio)
}

// mayRetry reports whether another attempt of the request may be sent now
// without an effect that happens twice, apart from the budget.
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
	case Keyed: // the margin is for the way to the backend
		return e.now-first.sentAt < r.class.RepeatWindow*9/10
	default:
		return false
	}
}

// hasTimeToRetry reports whether an answer to another attempt can be expected
// before the client gives up.
func (e *Engine) hasTimeToRetry(r *request) bool {
	return r.GiveUpAt-e.now >= r.class.expectedLatency(0)+2*e.sweepInterval
}

// safeToReject reports whether the client may try again without harm: nothing
// has run, or a repeat has no further effect wherever it runs.
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
