package core

import (
	"fmt"

	"hitchspring/policy"
)

// performAction carries out one action that the engine has returned.
func (c *Core) performAction(action policy.Action) {
	switch a := action.(type) {
	case policy.SendAttempt:
		c.sendAttempt(a)
	case policy.CancelAttempt:
		c.cancelAttempt(a)
	case policy.Reject:
		c.recordRejection(a)
		if r := c.requests[a.ID]; c.takeover == nil || !c.queryOutcome(r, a.RetryAfter) {
			c.answerRequest(r, Answer{Kind: Rejected, RetryAfter: a.RetryAfter})
		}
	case policy.Fail:
		c.recordFailure(a)
		c.answerRequest(c.requests[a.ID], Answer{Kind: Failed})
	case policy.SetTimer:
		c.scheduleAfter(a.After, func() { c.notifyEngine(policy.TimerFired{}) })
	case policy.AddToCounter:
		c.addToCounter(a)
	case policy.ProbeBackend:
		c.probeBackend(a.Backend)
	case policy.CloseIdleConnections:
		c.backends.CloseIdle(a.Backend)
	case policy.WatchEndpoints, policy.FetchEndpoints: // the core always watches discovery: reply with its current list
		c.notifyEngine(c.endpointSnapshot())
	case policy.LogLine:
		c.log.Info(a.Text)
	default:
		c.log.Warn("unknown engine action", "action", fmt.Sprintf("%T", a))
	}
}

// cancelAttempt aborts an attempt that the engine has cancelled. It does nothing for a delegated request, whose
// attempts the caller sends itself.
func (c *Core) cancelAttempt(action policy.CancelAttempt) {
	r := c.requests[action.ID]
	if r == nil || r.Delegated || action.Attempt >= len(r.attempts) {
		return
	}
	if !c.cancelAwaiting(r, action.Attempt) {
		c.backends.Abort(r.attempts[action.Attempt], policy.Canceled)
	}
}

// recordRejection counts a rejection by the engine and stores its reason for the request's log line.
func (c *Core) recordRejection(a policy.Reject) {
	c.summary.addRejection(a.Reason)
	c.metrics.Rejected(int(a.Reason))
	if r := c.requests[a.ID]; r != nil {
		r.reason = a.Reason
	}
}

// recordFailure counts a failure by the engine and stores its reason for the request's log line.
func (c *Core) recordFailure(a policy.Fail) {
	c.summary.addFailure(a.Reason)
	c.metrics.Failed(int(a.Reason))
	if r := c.requests[a.ID]; r != nil {
		r.reason = a.Reason
	}
}
