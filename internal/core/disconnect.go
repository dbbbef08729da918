package core

import (
	"hitchspring/internal/metrics"
	"hitchspring/policy"
)

// All checks that a request's client is still connected are in this file. They run when the request arrives, when the
// engine has chosen a backend for an attempt, and when the pool is about to write an attempt. NotifyDisconnected alone
// may come too late: a front calls it when it reads the end of the connection, but the command and the end of the
// connection can both wait in the kernel's socket buffer while the front's reader is delayed.

// isDisconnected reports whether a request's client has disconnected. It asks the sink at most once per request and
// event, since the sink may make a system call.
func (c *Core) isDisconnected(r *Request) bool {
	if r.Sink == nil || r.disconnectCheckedAt == c.now && r.disconnectCheckedAt != 0 {
		return false
	}
	r.disconnectCheckedAt = c.now
	return r.Sink.Disconnected()
}

// dropDisconnectedArrival drops an arriving request whose client has already disconnected, before the engine is
// notified. It reports whether it did.
func (c *Core) dropDisconnectedArrival(r *Request) bool {
	if !c.isDisconnected(r) {
		return false
	}
	r.finished = true
	r.withdrawLeased()
	c.metrics.ClientDisconnected(metrics.BeforeAdmission)
	return true
}

// dropIfDisconnected abandons a request whose client has disconnected, before an attempt of it is sent. A delegated
// request that had an earlier lease stays, since the caller may still report the outcome of that attempt.
func (c *Core) dropIfDisconnected(r *Request) {
	if r.finished || r.streaming != nil || r.Delegated && len(r.attempts) > 1 || !c.isDisconnected(r) {
		return
	}
	r.withdrawLeased()
	c.abandonRequest(r)
}

// withdrawLeased removes a delegated request from the lease table; for other requests it does nothing.
func (r *Request) withdrawLeased() {
	if l, ok := r.Sink.(*leasedRequest); ok {
		l.forget()
	}
}

// abandonRequest ends a request whose client has disconnected. Nothing more is sent for it.
func (c *Core) abandonRequest(r *Request) {
	if r.finished {
		return
	}
	r.finished = true
	c.completeWork(r, Answer{Kind: Failed})
	c.metrics.ClientDisconnected(r.disconnectStage())
	c.notifyEngine(policy.Disconnected{ID: r.ID})
	c.withdrawUnsent(r)
	c.releaseRequest(r)
}

// disconnectStage returns the stage that a request had reached when its client disconnected.
func (r *Request) disconnectStage() metrics.DisconnectStage {
	stage := metrics.BeforeAttempt
	for _, attempt := range r.attempts {
		switch {
		case !attempt.Written():
		case !attempt.Ended():
			return metrics.InFlight
		default:
			stage = metrics.BeforeRetry
		}
	}
	return stage
}
